package capacity

import (
	"fmt"
	"slices"

	"aspenshed/internal/experiment/measure"
	"aspenshed/internal/experiment/target"
)

// loss is one of the operators' events and what it does by arithmetic.
type loss struct {
	event, often string
	effects      []effect
}

// effect is one consequence.
type effect struct {
	what  string
	unit  string
	value formula
	plain bool
	bound bound
}

const rackGateways = 20.0 // assumed: of one rack or switch

func losses() []loss {
	zoneShare := target.GatewaysPerZone()
	left := target.Gateways - zoneShare
	return []loss{
		{"machine of a gateway", fmt.Sprintf("%s a day, all roles", number(target.MachineFailuresPerDay)), []effect{
			{"clients that come to each other gateway", "1", fixed(target.ClientsPerGateway() / (target.Gateways - 1)), false, noBound},
			{"processor time of all others to take them", "s", lostClients, false, noBound},
			{"connections to databases that its successor opens", "1", at("datapath.connections-by-members"), true, noBound},
		}},
		{"machine of a primary", fmt.Sprintf("%s changes of primary a day", number(target.PrimaryChangesPerDay)), []effect{
			{"until 99% of writes are served, longest history, process gone, as the daemon is", "s", worst("datapath.outage-by-gateways-crash"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, process gone, gateways told their number", "s", worst("datapath.outage-by-gateways-crash-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, machine silent, as the daemon is", "s", worst("datapath.outage-by-gateways-silent"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, machine silent, gateways told their number", "s", worst("datapath.outage-by-gateways-silent-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"from another's being primary to the first served write, one real gateway, process gone", "s", intercept("datapath.first-write-by-hand-over"), true, noBound},
			{"probes at a database in the worst second, process gone, as the daemon is", "1/s", at("database.round-probes-by-gateways-crash"), true, bound{primaryProbeBound, assumed}},
			{"the same, gateways told their number", "1/s", at("database.round-probes-by-gateways-crash-told"), true, bound{primaryProbeBound, assumed}},
			{"the same, machine silent, as the daemon is", "1/s", at("database.round-probes-by-gateways-silent"), true, bound{primaryProbeBound, assumed}},
			{"the same, machine silent, gateways told their number", "1/s", at("database.round-probes-by-gateways-silent-told"), true, bound{primaryProbeBound, assumed}},
			{"round probes that all gateways may send, as the daemon is: one a round of 250 ms each", "1/s", fixed(target.Gateways / roundSeconds(1)), false, bound{primaryProbeBound, assumed}},
			{"the same, gateways told their number: rounds of 4 s", "1/s", fixed(target.Gateways / roundSeconds(target.Gateways)), false, bound{primaryProbeBound, assumed}},
		}},
		{"rack or switch", "weekly", []effect{
			{"clients that come to each other gateway, 20 gateways a rack (assumed)", "1", fixed(rackGateways * target.ClientsPerGateway() / (target.Gateways - rackGateways)), false, noBound},
		}},
		{"zone", "once or twice a year", []effect{
			{"clients that come to each other gateway", "1", fixed(zoneShare * target.ClientsPerGateway() / left), false, noBound},
			{"statements at each other gateway", "1/s", fixed(target.StatementsPerSecond / left), false, noBound},
			{"databases gone at once", "1", fixed(target.DatabasesPerZone()), false, noBound},
			{"primaries gone at once", "1", fixed(target.DatabasesPerZone() / target.GroupSize), false, noBound},
			{"until 99% of a gateway's writes are served, databases silent, as the daemon is", "s", worst("datapath.zone-outage-by-members"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"writes of a gateway that are not served", "1", at("datapath.zone-writes-lost-by-members"), true, noBound},
			{"handshakes of a gateway in the second after", "1/s", at("datapath.zone-handshakes-by-members"), true, noBound},
			{"probes of a gateway that arrive in the second after", "1/s", at("datapath.zone-probes-by-members"), true, noBound},
			{"bytes to each gateway for its changes, if each brings the whole list (as at 64f1608)", "B", zoneWhole, false, noBound},
		}},
		{"all gateways of a zone back at once", "as a zone's loss", []effect{
			{"state that they read, if each needs a whole list as the log holds it", "B", zoneSnapshots, false, noBound},
			{"of that each of 5 voters sends, if it is to be over in 11 s", "B/s", zoneSnapshotRate, false, noBound},
		}},
		{"region cut off", "several times a year, minutes", []effect{
			{"gateways that go on by their last state", "1", fixed(target.GatewaysPerRegion()), false, noBound},
			{"clients that stay with them", "1", fixed(target.ClientConnections / target.Regions), false, noBound},
		}},
		{"rollout of 1,105 changes at once", "as a zone's loss", []effect{
			{"bytes to each gateway, if each brings the whole list (as at 64f1608)", "B", zoneWhole, false, noBound},
			{"bytes to each gateway, if each brings its member alone", "B", zoneChanges, false, noBound},
		}},
		{"restart of everything", "not asked for a rate", []effect{
			{"state that each gateway reads, the list as the log holds it", "B", at("voter.log-bytes-by-members"), true, noBound},
			{"the same for all gateways", "B", allSnapshots, false, noBound},
			{"processor time of a gateway to take its clients and a first statement of each", "s", at("client.connect-time-by-clients"), true, noBound},
			{"handshakes at a database in the worst second", "1/s", at("database.start-handshakes-by-gateways"), true, bound{sideWork, assumed}},
			{"probes at a database in the worst second", "1/s", at("database.start-probes-by-gateways"), true, bound{primaryProbeBound, assumed}},
			{"connections that a database accepts anew", "1", at("database.connections-by-gateways"), true, bound{databaseConns, assumed}},
		}},
		{"start of one database, cold", fmt.Sprintf("%s restarts a day, all roles", number(target.RestartsPerDay)), []effect{
			{"share of what topples it, with safe shares", "1", at("database.cold-share-by-gateways-safe-share"), true, bound{1, settings}},
			{"share of what topples it, without leases", "1", at("database.cold-share-by-gateways-no-leases"), true, bound{1, settings}},
			{"statements a second that it gets, with safe shares", "1/s", at("database.cold-statements-by-gateways-safe-share"), true, noBound},
		}},
	}
}

// roundSeconds is the mean time between two probe rounds of a gateway that is told how many there are: roundWait of the
// routing module, with its constants.
func roundSeconds(gateways float64) float64 {
	const every, longest, smallFleet, asOften = 0.25, 4.0, 8.0, 40.0
	return min(every*max(1, (smallFleet+max(gateways-smallFleet, 0))/asOften), longest)
}

func zoneWhole(b *book) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.DatabasesPerZone(), err
}

func zoneChanges(b *book) (float64, error) {
	each, err := b.slope("voter.log-bytes-by-members")
	return each * target.DatabasesPerZone(), err
}

// lostClients is what a lost gateway's clients cost the others.
func lostClients(b *book) (float64, error) {
	each, err := b.slope("client.connect-time-by-clients")
	return each * target.ClientsPerGateway(), err
}

func zoneSnapshots(b *book) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.GatewaysPerZone(), err
}

func zoneSnapshotRate(b *book) (float64, error) {
	all, err := zoneSnapshots(b)
	return all / voters / target.MaxApplySeconds, err
}

func allSnapshots(b *book) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.Gateways, err
}

// lossTable is what each event does at the target.
func lossTable(runs *Runs) *table {
	t := &table{head: []string{"event", "how often", "what it does", "at the target", "margin", "from"}}
	for _, l := range losses() {
		event, often := l.event, l.often
		for _, e := range l.effects {
			v := evaluate(runs, e.value, e.unit, e.plain)
			t.add(event, often, e.what, v.String(), e.bound.margin(v), v.Basis())
			event, often = "", ""
		}
	}
	return t
}

// eventTable is the events that were played to running installations.
func eventTable(runs *Runs) *table {
	t := &table{head: []string{"event", "run", "gateways", "members", "watched", "in force p50 / p99 / last", "bytes a gateway, mean", "worst minute", "processes (cores, memory)"}}
	for _, r := range runs.All {
		for _, e := range r.Events {
			processes := ""
			for i, u := range e.Roles {
				if i > 0 {
					processes += "; "
				}
				processes += fmt.Sprintf("%s %s %s %s", u.Role, u.Process, quantity(u.Cores, "core"), quantity(u.Memory, "B"))
			}
			t.add(e.Name, r.reference(), number(float64(e.Gateways)), number(float64(e.Members)), quantity(e.Seconds, "s"),
				fmt.Sprintf("%s / %s / %s of %s", quantity(e.ApplyDelay.P50, "s"), quantity(e.ApplyDelay.P99, "s"), quantity(e.ApplyDelay.Max, "s"), number(float64(e.ApplyDelay.Count))),
				quantity(e.GatewayBytes, "B/s"), quantity(e.WorstMinuteBytes, "B/s"), processes)
		}
	}
	if len(t.rows) == 0 {
		t.add("not measured yet", "", "", "", "", "", "", "", "")
	}
	return t
}

// checkTable is what the runs asserted, what failed first.
func checkTable(runs *Runs) *table {
	t := &table{head: []string{"check", "run", "bound", "seen", "result"}}
	for _, r := range runs.All {
		checks := slices.Clone(r.Checks)
		slices.SortStableFunc(checks, func(a, b measure.Check) int { return boolInt(a.Passed) - boolInt(b.Passed) })
		for _, c := range checks {
			result := "passed"
			if !c.Passed {
				result = "**failed**"
			}
			if c.Detail != "" {
				result += ": " + c.Detail
			}
			t.add(c.Name, r.reference(), quantity(c.Bound, c.Unit), quantity(c.Value, c.Unit), result)
		}
	}
	if len(t.rows) == 0 {
		t.add("not measured yet", "", "", "", "")
	}
	return t
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
