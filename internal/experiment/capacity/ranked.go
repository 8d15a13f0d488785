package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"aspenshed/internal/experiment/target"
)

// need is something that the target asks for and a measurement stands against.
type need struct {
	what  string
	unit  string
	value formula
	plain bool
	bound bound
	why   string
}

func needs() []need {
	return []need{
		{"control bytes a gateway, if each change brings the whole list (as at 64f1608)", "B/s", wholeLists, false, bound{target.ControlBytes, operators}, "PutInventory"},
		{"log entries for heartbeats, if each instance votes (as at 64f1608)", "1/s", at("voter.log-entries-by-instances"), true, bound{10 * target.ChangesPerSecond(), assumed}, "ten times the changes themselves"},
		{"connections at a database", "1", at("database.connections-by-gateways"), true, bound{databaseConns, assumed}, "each gateway keeps a connection to each member it uses within 60 s"},
		{"connections of a gateway", "1", at("datapath.connections-by-members"), true, bound{gatewayConns, assumed}, "the same from the other end"},
		{"handshakes at a database, steady", "1/s", at("database.handshakes-by-gateways"), true, bound{target.StatementsPerDatabase() * sideWorkShare, assumed}, "one for ten statements"},
		{"probes at a database, steady", "1/s", at("database.probes-by-gateways"), true, bound{target.StatementsPerDatabase() * sideWorkShare, assumed}, "one for ten statements; positions are not shared"},
		{"probes at a database in the worst second of a primary's loss, process gone", "1/s", at("database.round-probes-by-gateways-crash"), true, bound{primaryProbeBound, assumed}, "the daemon tells each Router that it is the only one"},
		{"the same, gateways told their number", "1/s", at("database.round-probes-by-gateways-crash-told"), true, bound{primaryProbeBound, assumed}, ""},
		{"Router.Step of a gateway", "core", at("datapath.router-cores-by-members"), true, bound{stepCores, assumed}, "walks all members each 50 ms and all groups and requests each step"},
		{"whole data path of a gateway, 6 databases", "core", at("datapath.cores-by-statements"), true, bound{halfLoaded, assumed}, "one loop"},
		{"whole data path of a gateway, 21,000 databases", "core", wholeGateway, false, bound{halfLoaded, assumed}, "one loop: the sum of the two above"},
		{"cold database, safe shares", "1", at("database.cold-share-by-gateways-safe-share"), true, bound{1, operators}, "1: it falls"},
		{"cold database, no leases", "1", at("database.cold-share-by-gateways-no-leases"), true, bound{1, operators}, "1: it falls"},
		{"cold database, saved-up requests all at once (docs/design/store.md)", "1", fixed(burstTerm(target.Gateways)), false, bound{1, operators}, "a bound by proof, not what was seen"},
		{"memory of a gateway with its idle clients", "B", at("client.memory-by-clients"), true, bound{target.ControlMemory, assumed}, "held against what control alone is given: nobody gave the data path a bound"},
		{"memory of a gateway, all of it", "B", gatewayMemory, false, bound{target.ControlMemory, assumed}, "held against the same"},
		{"change of primary, process gone", "s", at("datapath.outage-by-gateways-crash"), true, bound{target.PrimaryChangeMax, operators}, "1 s of it the databases' own"},
		{"change of primary, process gone, gateways told their number", "s", at("datapath.outage-by-gateways-crash-told"), true, bound{target.PrimaryChangeMax, operators}, "1 s of it the databases' own"},
		{"change of primary, machine silent", "s", at("datapath.outage-by-gateways-silent"), true, bound{target.PrimaryChangeMax, operators}, "1 s of it the databases' own"},
		{"change of primary, machine silent, gateways told their number", "s", at("datapath.outage-by-gateways-silent-told"), true, bound{target.PrimaryChangeMax, operators}, "1 s of it the databases' own"},
	}
}

// burstTerm is what all gateways' saved-up requests are of a cold database's budget: 1.2 requests each against 0.1 M c W,
// the budget's rest. c is what a database can do at its start.
func burstTerm(gateways float64) float64 {
	const saved, rest, multiple, share, window = 1.2, 0.1, 2.5, 0.15, 1.5
	return gateways * saved / (rest * multiple * share * target.DatabaseCapacity * window)
}

// wholeGateway adds Router.Step before all databases to a real gateway before a few.
func wholeGateway(b *book) (float64, error) {
	real, err := b.at("datapath.cores-by-statements")
	if err != nil {
		return 0, err
	}
	step, err := b.at("datapath.router-cores-by-members")
	return real + step, err
}

// rankedTable lists what does not hold by its factor, the worst first, then what holds, then what was not measured.
func rankedTable(runs *Runs) *table {
	type ranked struct {
		need
		Value
	}
	var all []ranked
	for _, n := range needs() {
		all = append(all, ranked{n, evaluate(runs, n.value, n.unit, n.plain)})
	}
	factor := func(r ranked) float64 {
		if r.Kind == Missing {
			return -1
		}
		return r.bound.factor(r.Value)
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(factor(b), factor(a)) })
	t := &table{head: []string{"", "what", "at the target", "bound", "factor", "why", "from"}}
	for i, r := range all {
		text := ""
		switch f := factor(r); {
		case f > 1:
			text = "**short by " + number(f) + "**"
		case f >= 0:
			text = "holds: " + number(f) + " of the bound"
		}
		t.add(fmt.Sprint(i+1), r.what, r.Value.String(), quantity(r.bound.limit, r.unit)+" ("+r.bound.by+")", text, r.why, r.Basis())
	}
	return t
}
