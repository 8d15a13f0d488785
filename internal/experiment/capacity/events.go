package capacity

import (
	"fmt"
	"slices"

	"aspenshed/internal/experiment/measure"
	"aspenshed/internal/experiment/target"
)

// disruption is an event of the operators' requirements and its effects.
type disruption struct {
	event, frequency string
	effects          []effect
}

// effect is one effect of an event at the target.
type effect struct {
	description  string
	unit         string
	value        formula
	singleSeries bool
	bound        bound
}

const gatewaysPerRack = 20.0 // assumed number of gateways on one rack or switch

func disruptions() []disruption {
	zoneShare := target.GatewaysPerZone()
	left := target.Gateways - zoneShare
	return []disruption{
		{"machine of a gateway", fmt.Sprintf("%s a day, all roles", formatNumber(target.MachineFailuresPerDay)), []effect{
			{"clients that come to each other gateway", "1", constant(target.ClientsPerGateway() / (target.Gateways - 1)), false, noBound},
			{"processor time of all others to take them", "s", reconnectTime, false, noBound},
			{"connections to databases that its successor opens", "1", atTarget("datapath.connections-by-members"), true, noBound},
		}},
		{"machine of a primary", fmt.Sprintf("%s changes of primary a day", formatNumber(target.PrimaryChangesPerDay)), []effect{
			{"until 99% of writes are served, longest history, process gone, as the daemon is", "s", largestPoint("datapath.outage-by-gateways-crash"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, process gone, gateways told their number", "s", largestPoint("datapath.outage-by-gateways-crash-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, machine silent, as the daemon is", "s", largestPoint("datapath.outage-by-gateways-silent"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"until 99% of writes are served, longest history, machine silent, gateways told their number", "s", largestPoint("datapath.outage-by-gateways-silent-told"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"from another's being primary to the first served write, one real gateway, process gone", "s", intercept("datapath.first-write-by-hand-over"), true, noBound},
			{"probes at a database in the worst second, process gone, as the daemon is", "1/s", atTarget("database.round-probes-by-gateways-crash"), true, bound{maxPrimaryProbeRate, assumed}},
			{"the same, gateways told their number", "1/s", atTarget("database.round-probes-by-gateways-crash-told"), true, bound{maxPrimaryProbeRate, assumed}},
			{"the same, machine silent, as the daemon is", "1/s", atTarget("database.round-probes-by-gateways-silent"), true, bound{maxPrimaryProbeRate, assumed}},
			{"the same, machine silent, gateways told their number", "1/s", atTarget("database.round-probes-by-gateways-silent-told"), true, bound{maxPrimaryProbeRate, assumed}},
			{"round probes that all gateways may send, as the daemon is: one a round of 250 ms each", "1/s", constant(target.Gateways / probeRoundSeconds(1)), false, bound{maxPrimaryProbeRate, assumed}},
			{"the same, gateways told their number: rounds of 4 s", "1/s", constant(target.Gateways / probeRoundSeconds(target.Gateways)), false, bound{maxPrimaryProbeRate, assumed}},
		}},
		{"rack or switch", "weekly", []effect{
			{"clients that come to each other gateway, 20 gateways a rack (assumed)", "1", constant(gatewaysPerRack * target.ClientsPerGateway() / (target.Gateways - gatewaysPerRack)), false, noBound},
		}},
		{"zone", "once or twice a year", []effect{
			{"clients that come to each other gateway", "1", constant(zoneShare * target.ClientsPerGateway() / left), false, noBound},
			{"statements at each other gateway", "1/s", constant(target.StatementsPerSecond / left), false, noBound},
			{"databases gone at once", "1", constant(target.DatabasesPerZone()), false, noBound},
			{"primaries gone at once", "1", constant(target.DatabasesPerZone() / target.GroupSize), false, noBound},
			{"until 99% of a gateway's writes are served, databases silent, as the daemon is", "s", largestPoint("datapath.zone-outage-by-members"), true, bound{target.MaxPrimaryChangeSeconds, operators}},
			{"writes of a gateway that are not served", "1", atTarget("datapath.zone-writes-lost-by-members"), true, noBound},
			{"handshakes of a gateway in the second after", "1/s", atTarget("datapath.zone-handshakes-by-members"), true, noBound},
			{"probes of a gateway that arrive in the second after", "1/s", atTarget("datapath.zone-probes-by-members"), true, noBound},
			{"bytes to each gateway for its changes, if each brings the whole list (as at 64f1608)", "B", zoneWholeListBytes, false, noBound},
		}},
		{"all gateways of a zone back at once", "as a zone's loss", []effect{
			{"state that they read, if each needs a whole list as the log holds it", "B", zoneSnapshotBytes, false, noBound},
			{"of that each of 5 voters sends, if it is to be over in 11 s", "B/s", zoneSnapshotBytesPerSecond, false, noBound},
		}},
		{"region cut off", "several times a year, minutes", []effect{
			{"gateways that go on by their last state", "1", constant(target.GatewaysPerRegion()), false, noBound},
			{"clients that stay with them", "1", constant(target.ClientConnections / target.Regions), false, noBound},
		}},
		{"rollout of 1,105 changes at once", "as a zone's loss", []effect{
			{"bytes to each gateway, if each brings the whole list (as at 64f1608)", "B", zoneWholeListBytes, false, noBound},
			{"bytes to each gateway, if each brings its member alone", "B", zoneChangeBytes, false, noBound},
		}},
		{"restart of everything", "not asked for a rate", []effect{
			{"state that each gateway reads, the list as the log holds it", "B", atTarget("voter.log-bytes-by-members"), true, noBound},
			{"the same for all gateways", "B", allSnapshotBytes, false, noBound},
			{"processor time of a gateway to take its clients and a first statement of each", "s", atTarget("client.connect-time-by-clients"), true, noBound},
			{"handshakes at a database in the worst second", "1/s", atTarget("database.start-handshakes-by-gateways"), true, bound{maxOverheadRate, assumed}},
			{"probes at a database in the worst second", "1/s", atTarget("database.start-probes-by-gateways"), true, bound{maxPrimaryProbeRate, assumed}},
			{"connections that a database accepts anew", "1", atTarget("database.connections-by-gateways"), true, bound{maxDatabaseConnections, assumed}},
		}},
		{"start of one database, cold", fmt.Sprintf("%s restarts a day, all roles", formatNumber(target.RestartsPerDay)), []effect{
			{"share of what topples it, with safe shares", "1", atTarget("database.cold-share-by-gateways-safe-share"), true, bound{1, settings}},
			{"share of what topples it, without leases", "1", atTarget("database.cold-share-by-gateways-no-leases"), true, bound{1, settings}},
			{"statements a second that it gets, with safe shares", "1/s", atTarget("database.cold-statements-by-gateways-safe-share"), true, noBound},
		}},
	}
}

// probeRoundSeconds is the mean time between two probe rounds of a gateway that is configured with the number of
// gateways. It repeats Router.roundInterval of the routing module, with its constants.
func probeRoundSeconds(gateways float64) float64 {
	const minInterval, maxInterval, smallFleet, roundFleetSize = 0.25, 4.0, 8.0, 40.0
	return min(minInterval*max(1, (smallFleet+max(gateways-smallFleet, 0))/roundFleetSize), maxInterval)
}

func zoneWholeListBytes(b *evaluation) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.DatabasesPerZone(), err
}

func zoneChangeBytes(b *evaluation) (float64, error) {
	each, err := b.slope("voter.log-bytes-by-members")
	return each * target.DatabasesPerZone(), err
}

// reconnectTime is the processor time that the other gateways need to accept a lost gateway's clients.
func reconnectTime(b *evaluation) (float64, error) {
	each, err := b.slope("client.connect-time-by-clients")
	return each * target.ClientsPerGateway(), err
}

func zoneSnapshotBytes(b *evaluation) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.GatewaysPerZone(), err
}

func zoneSnapshotBytesPerSecond(b *evaluation) (float64, error) {
	all, err := zoneSnapshotBytes(b)
	return all / voterCount / target.MaxApplySeconds, err
}

func allSnapshotBytes(b *evaluation) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.Gateways, err
}

// disruptionTable lists the effects of each event at the target.
func disruptionTable(runs *Runs) *table {
	t := &table{header: []string{"event", "how often", "what it does", "at the target", "margin", "from"}}
	for _, l := range disruptions() {
		event, frequency := l.event, l.frequency
		for _, e := range l.effects {
			v := evaluate(runs, e.value, e.unit, e.singleSeries)
			t.addRow(event, frequency, e.description, v.String(), e.bound.margin(v), v.Basis())
			event, frequency = "", ""
		}
	}
	return t
}

// eventTable lists the events that were induced in running installations.
func eventTable(runs *Runs) *table {
	t := &table{header: []string{"event", "run", "gateways", "members", "watched", "in force p50 / p99 / last", "bytes a gateway, mean", "worst minute", "processes (cores, memory)"}}
	for _, r := range runs.All {
		for _, e := range r.Events {
			processes := ""
			for i, u := range e.Roles {
				if i > 0 {
					processes += "; "
				}
				processes += fmt.Sprintf("%s %s %s %s", u.Role, u.Process, formatQuantity(u.Cores, "core"), formatQuantity(u.Memory, "B"))
			}
			t.addRow(e.Name, r.reference(), formatNumber(float64(e.Gateways)), formatNumber(float64(e.Members)), formatQuantity(e.Seconds, "s"),
				fmt.Sprintf("%s / %s / %s of %s", formatQuantity(e.ApplyDelay.P50, "s"), formatQuantity(e.ApplyDelay.P99, "s"), formatQuantity(e.ApplyDelay.Max, "s"), formatNumber(float64(e.ApplyDelay.Count))),
				formatQuantity(e.GatewayBytes, "B/s"), formatQuantity(e.WorstMinuteBytes, "B/s"), processes)
		}
	}
	if len(t.rows) == 0 {
		t.addRow("not measured yet", "", "", "", "", "", "", "", "")
	}
	return t
}

// checkTable lists the checks of each run, failed ones first.
func checkTable(runs *Runs) *table {
	t := &table{header: []string{"check", "run", "bound", "seen", "result"}}
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
			t.addRow(c.Name, r.reference(), formatQuantity(c.Bound, c.Unit), formatQuantity(c.Value, c.Unit), result)
		}
	}
	if len(t.rows) == 0 {
		t.addRow("not measured yet", "", "", "", "")
	}
	return t
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
