package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"aspenshed/internal/experiment/target"
)

// requirement is a bound of the target and the quantity that is measured against it.
type requirement struct {
	description  string
	unit         string
	value        formula
	singleSeries bool
	bound        bound
	reason       string
}

// requirements lists the requirements of the current program.
func requirements() []requirement {
	const ownPart = "1 s of it is taken for the databases' own; what they need more comes on top"
	return []requirement{
		{"control bytes of a gateway, both directions", "B/s", atTarget("gateway.bytes-by-gateways"), true, bound{target.ControlBytesPerSecond, operators}, ""},
		{"control processor time of a gateway", "core", atTarget("gateway.cpu-by-gateways"), true, bound{target.ControlCores, operators}, ""},
		{"control memory of a gateway", "B", atTarget("gateway.memory-by-gateways"), true, bound{target.ControlMemoryBytes, operators}, ""},
		{"commit to in force at the slowest gateway, steady", "s", atTarget("gateway.in-force-max-by-gateways"), true, bound{target.MaxApplySeconds, operators}, ""},
		{"processor time of the busiest voter", "core", atTarget("voter.cpu-max-by-gateways"), true, bound{halfMachineCores, assumed}, "half of a machine of 8 cores"},
		{"connections at a database", "1", atTarget("database.connections-by-gateways"), true, bound{maxDatabaseConnections, assumed}, "each gateway keeps a connection to each database that it used within 60 s"},
		{"connections of a gateway to databases", "1", atTarget("datapath.connections-by-members"), true, bound{maxGatewayConnections, assumed}, "the same from the other end"},
		{"handshakes at a database, steady", "1/s", atTarget("database.handshakes-by-gateways"), true, bound{maxOverheadRate, assumed}, "a connection lies idle for longer than 60 s, and is opened again"},
		{"probes at a database, steady", "1/s", atTarget("database.probes-by-gateways"), true, bound{maxOverheadRate, assumed}, "each gateway asks for itself how far a replica is, for bounded reads"},
		{"probes at a database, worst second, primary's process gone, as the daemon is", "1/s", atTarget("database.round-probes-by-gateways-crash"), true, bound{maxPrimaryProbeRate, assumed}, "the daemon tells each gateway that it is the only one"},
		{"probes at a database, worst second, primary's process gone, gateways told their number", "1/s", atTarget("database.round-probes-by-gateways-crash-told"), true, bound{maxPrimaryProbeRate, assumed}, "steady probes go on beside the rounds"},
		{"probes at a database, worst second after all gateways start", "1/s", atTarget("database.start-probes-by-gateways"), true, bound{maxPrimaryProbeRate, assumed}, "no position is known yet"},
		{"handshakes at a database, worst second after all gateways start", "1/s", atTarget("database.start-handshakes-by-gateways"), true, bound{maxOverheadRate, assumed}, "no connection is there yet"},
		{"Router.Step of a gateway before 21,000 databases", "core", atTarget("datapath.router-cores-by-members"), true, bound{maxStepCores, assumed}, "walks all groups each step and all members each 50 ms"},
		{"whole data path of a gateway before 6 databases", "core", atTarget("datapath.cores-by-statements"), true, bound{halfLoadedCores, assumed}, "one loop and one poller"},
		{"whole data path of a gateway before 21,000 databases", "core", gatewayCores, false, bound{halfLoadedCores, assumed}, "the sum of the two above"},
		{"cold database, safe shares, share of what topples it", "1", atTarget("database.cold-share-by-gateways-safe-share"), true, bound{1, settings}, "1: it falls"},
		{"cold database, no leases, share of what topples it", "1", atTarget("database.cold-share-by-gateways-no-leases"), true, bound{1, settings}, "1: it falls"},
		{"cold database, what could be saved up sent at once, share of the budget's rest", "1", constant(burstTerm(target.Gateways)), false, bound{1, settings}, "the burst term of docs/design/store.md: a bound by proof. Where a gateway's part is less than a request it saves nothing and draws by chance, and the two rows on cold databases show what came"},
		{"memory of a gateway with its idle clients, resident", "B", atTarget("client.memory-by-clients"), true, bound{target.ControlMemoryBytes, assumed}, "held against what control alone is given: the data path has no bound yet"},
		{"memory of a gateway, all of it", "B", gatewayMemoryBytes, false, bound{target.ControlMemoryBytes, assumed}, "held against the same"},
		{"change of primary, longest history, process gone, as the daemon is", "s", largestPoint("datapath.outage-by-gateways-crash"), true, bound{target.MaxPrimaryChangeSeconds, operators}, ownPart},
		{"change of primary, longest history, process gone, gateways told their number", "s", largestPoint("datapath.outage-by-gateways-crash-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}, ownPart},
		{"change of primary, longest history, machine silent, as the daemon is", "s", largestPoint("datapath.outage-by-gateways-silent"), true, bound{target.MaxPrimaryChangeSeconds, operators}, ownPart},
		{"change of primary, longest history, machine silent, gateways told their number", "s", largestPoint("datapath.outage-by-gateways-silent-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}, ownPart},
	}
}

// requirementsBeforeSubscription lists the requirements of the program before gateways subscribed, when every instance
// voted and the whole member list was replicated.
func requirementsBeforeSubscription() []requirement {
	return []requirement{
		{"control bytes of a gateway: the whole list for each change", "B/s", wholeListBytesPerSecond, false, bound{target.ControlBytesPerSecond, operators}, "PutInventory"},
		{"control bytes of a gateway: heartbeats in the log", "B/s", atTarget("voter.log-bytes-by-instances"), true, bound{target.ControlBytesPerSecond, operators}, "each instance's heartbeat goes to every instance"},
		{"processor time of one instance, idle", "core", dividedBy("voter.cpu-by-instances", target.Gateways), false, bound{target.ControlCores, operators}, "a line in one process; what the leader sends to each is not in it"},
		{"memory of what all instances have learned", "B", learnedCatalogBytes, false, bound{target.ControlMemoryBytes, operators}, "kept of each instance"},
	}
}

// learnedCatalogBytes is the memory that every instance needs for the learned state of all instances.
func learnedCatalogBytes(b *evaluation) (float64, error) {
	each, err := b.at("voter.catalog-bytes-by-groups")
	return each * target.Gateways, err
}

// burstTerm is the ratio of the requests that all gateways can have saved, 1.2 each, to the remaining budget of a cold
// database, 0.1 M c W. c is the database's capacity at its start.
func burstTerm(gateways float64) float64 {
	const saved, remaining, multiple, share, window = 1.2, 0.1, 2.5, 0.15, 1.5
	return gateways * saved / (remaining * multiple * share * target.DatabaseCapacity * window)
}

// gatewayCores adds the cost of Router.Step with all databases to that of a real gateway with a few.
func gatewayCores(b *evaluation) (float64, error) {
	real, err := b.at("datapath.cores-by-statements")
	if err != nil {
		return 0, err
	}
	step, err := b.at("datapath.router-cores-by-members")
	return real + step, err
}

// rankedTable lists the requirements by factor, largest first: those that fall short, those that hold, and last those
// that were not measured.
func rankedTable(runs *Runs, needs []requirement) *table {
	type ranked struct {
		requirement
		Value
	}
	var all []ranked
	for _, n := range needs {
		all = append(all, ranked{n, evaluate(runs, n.value, n.unit, n.singleSeries)})
	}
	factor := func(r ranked) float64 {
		if r.Kind == Missing {
			return -1
		}
		return r.bound.factor(r.Value)
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(factor(b), factor(a)) })
	t := &table{header: []string{"", "what", "at the target", "bound", "factor", "why", "from"}}
	for i, r := range all {
		text := ""
		switch f := factor(r); {
		case f > 1:
			text = "**short by " + formatNumber(f) + "**"
		case f >= 0:
			text = "holds: " + formatNumber(f) + " of the bound"
		}
		t.addRow(fmt.Sprint(i+1), r.description, r.Value.String(), formatQuantity(r.bound.limit, r.unit)+" ("+r.bound.source+")", text, r.reason, r.Basis())
	}
	return t
}
