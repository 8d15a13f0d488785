package capacity

import (
	"fmt"
	"strings"

	"aspenshed/internal/experiment/target"
)

// role is a part of the installation that the page describes in a section of its own.
type role struct {
	name, prefix string // prefix is that of the names of its series
	listedOnly   bool   // list quantities only: the role's other series are of events or of another axis
	quantities   []roleQuantity
}

// roleQuantity is a quantity of a role at the target, in steady state.
type roleQuantity struct {
	description  string // state, messages, bytes, processor or memory, and of what
	unit         string
	value        formula
	singleSeries bool // value is that of one series alone
	bound        bound
	mechanism    string // packages that carry it
}

// seriesQuantity returns a quantity that one series measures.
func seriesQuantity(description, unit, name string, b bound, mechanism string) roleQuantity {
	return roleQuantity{description, unit, atTarget(name), true, b, mechanism}
}

// derivedQuantity returns a quantity that a formula derives.
func derivedQuantity(description, unit string, f formula, b bound, mechanism string) roleQuantity {
	return roleQuantity{description, unit, f, false, b, mechanism}
}

// noBound marks a quantity without a bound.
var noBound = bound{}

// Assumed bounds, where the operators have not given any, and their reasons.
const (
	halfLoadedCores        = 0.5    // core: the event loop is one goroutine, and a machine is to be at most half loaded
	maxStepCores           = 0.05   // core: issue 29 names it as too much for iterating over members alone
	maxDatabaseConnections = 1000.0 // connection limit of a stand-in database
	maxGatewayConnections  = 4000.0 // backend connection limit in the measured gateway's configuration
	maxClientDescriptors   = 9200.0 // client limit in the same configuration
	overheadShare          = 0.1    // handshakes or probes per statement at a database
	maxPrimaryProbeRate    = target.DatabaseCapacity * overheadShare
	halfMachineCores       = 4.0 // core: half of a machine like the measuring one
	maxOverheadRate        = target.StatementsPerSecond / target.Databases * overheadShare
)

func roles() []role {
	return []role{
		{"client connection", "client.", true, []roleQuantity{
			seriesQuantity("state: descriptors of a gateway", "1", "client.descriptors-by-clients", bound{maxClientDescriptors, assumed}, "netio, frontend/session"),
			derivedQuantity("memory: of one idle connection", "B", perClient("client.memory-by-clients"), noBound, "netio, frontend/session, frontend/postgres"),
			seriesQuantity("memory: resident, of a gateway with all its clients", "B", "client.memory-by-clients", noBound, "netio, frontend/session"),
			seriesQuantity("processor: of a gateway whose clients are all idle", "core", "client.idle-cores-by-clients", bound{halfLoadedCores, assumed}, "frontend/session (sweep)"),
			derivedQuantity("processor: of a gateway for a new connection and its first statement", "s", perClient("client.connect-time-by-clients"), noBound, "netio, frontend"),
			derivedQuantity("messages: statements of one connection", "1/s", constant(target.StatementsPerSecond/target.ClientConnections), noBound, "frontend"),
			derivedQuantity("bytes: of one connection, both directions", "B/s", dividedBy("client.bytes-by-statements", target.ClientsPerGateway()), noBound, "frontend/postgres, protocol/pgwire"),
		}},
		{"gateway, data path", "datapath.", true, []roleQuantity{
			seriesQuantity("state: connections to databases", "1", "datapath.connections-by-members", bound{maxGatewayConnections, assumed}, "dataplane/dispatch (pools)"),
			seriesQuantity("messages: probes", "1/s", "datapath.probes-by-members", noBound, "routing module (refreshPositions)"),
			seriesQuantity("messages: handshakes with databases", "1/s", "datapath.handshakes-by-members", noBound, "dataplane/dispatch"),
			seriesQuantity("messages: calls of Router.Step", "1/s", "datapath.steps-by-members", noBound, "dataplane/eventloop, dataplane/routing"),
			seriesQuantity("messages: reads and writes of sockets", "1/s", "datapath.calls-by-statements", noBound, "netio"),
			seriesQuantity("bytes: at all sockets, both directions", "B/s", "datapath.bytes-by-statements", noBound, "netio, frontend"),
			seriesQuantity("processor: of a real gateway before 6 databases", "core", "datapath.cores-by-statements", bound{halfLoadedCores, assumed}, "all of the data path"),
			seriesQuantity("processor: of Router.Step before 21,000 databases", "core", "datapath.router-cores-by-members", bound{maxStepCores, assumed}, "routing module (runDue, decay, refillSlowStart)"),
			seriesQuantity("processor: of one Router.Step, 100 requests in flight", "s", "datapath.step-by-members-100", noBound, "routing module"),
			seriesQuantity("processor: of one Router.Step, 1,200 requests in flight", "s", "datapath.step-by-members-1200", noBound, "routing module (checkInFlight)"),
			seriesQuantity("memory: routing and connection state, without sockets", "B", "datapath.heap-by-members", noBound, "routing module, dataplane/routing, dataplane/dispatch"),
			derivedQuantity("memory: all of a gateway", "B", gatewayMemoryBytes, noBound, "all of the data path"),
		}},
		{"gateway, control side", "gateway.", false, []roleQuantity{
			seriesQuantity("bytes: control stream, both directions", "B/s", "gateway.bytes-by-gateways", bound{target.ControlBytesPerSecond, operators}, controlClientPackages),
			seriesQuantity("messages: control stream", "1/s", "gateway.messages-by-gateways", noBound, controlClientPackages),
			seriesQuantity("processor", "core", "gateway.cpu-by-gateways", bound{target.ControlCores, operators}, controlClientPackages),
			seriesQuantity("memory", "B", "gateway.memory-by-gateways", bound{target.ControlMemoryBytes, operators}, controlClientPackages),
			seriesQuantity("state: memory with all databases", "B", "gateway.memory-by-members", bound{target.ControlMemoryBytes, operators}, "controlplane/revision"),
			seriesQuantity("in force after a commit, slowest gateway", "s", "gateway.in-force-max-by-gateways", bound{target.MaxApplySeconds, operators}, controlClientPackages),
		}},
		{"relay", "relay.", false, []roleQuantity{
			derivedQuantity("state: streams, if 17 machines less 5 voters carry all gateways", "1", constant(target.Gateways/relayMachines), noBound, "not built"),
			derivedQuantity("state: streams of a relay's machine with one lost", "1", constant(target.Gateways/(relayMachines-1)), noBound, "not built"),
			derivedQuantity("state: streams that voters carry then", "1", constant(relayMachines), noBound, "not built"),
			derivedQuantity("bytes: of a relay's streams to gateways", "B/s", multipliedBy("gateway.bytes-by-gateways", target.Gateways/relayMachines), noBound, "not built"),
			derivedQuantity("bytes: of a voter's streams to relays", "B/s", multipliedBy("gateway.bytes-by-gateways", relayMachines/voterCount), noBound, "not built"),
		}},
		{"voter", "voter.", false, []roleQuantity{
			derivedQuantity("state: streams, if 5 voters alone carry all gateways", "1", constant(target.Gateways/voterCount), noBound, "controlplane/stream, controlplane/subscription"),
			derivedQuantity("state: streams with one voter lost", "1", constant(target.Gateways/(voterCount-1)), noBound, "controlplane/stream, controlplane/subscription"),
			derivedQuantity("bytes: of a voter's streams to gateways, without relays", "B/s", multipliedBy("gateway.bytes-by-gateways", target.Gateways/voterCount), noBound, controlServerPackages),
			seriesQuantity("processor: the busiest", "core", "voter.cpu-max-by-gateways", bound{halfMachineCores, assumed}, controlServerPackages),
			seriesQuantity("memory: the largest", "B", "voter.memory-max-by-gateways", noBound, controlServerPackages),
			seriesQuantity("bytes: written by all voters, sockets and log", "B/s", "voter.bytes-out-by-gateways", noBound, controlServerPackages),
			seriesQuantity("messages: writes of all voters", "1/s", "voter.writes-by-gateways", noBound, controlServerPackages),
		}},
		{"database, as we load it", "database.", true, []roleQuantity{
			seriesQuantity("state: connections", "1", "database.connections-by-gateways", bound{maxDatabaseConnections, assumed}, "dataplane/dispatch (a pool each gateway)"),
			seriesQuantity("messages: statements", "1/s", "database.statements-by-gateways", bound{target.DatabaseCapacity, assumed}, "routing module"),
			seriesQuantity("messages: probes", "1/s", "database.probes-by-gateways", bound{maxOverheadRate, assumed}, "routing module (refreshPositions)"),
			seriesQuantity("messages: handshakes", "1/s", "database.handshakes-by-gateways", bound{maxOverheadRate, assumed}, "dataplane/dispatch"),
		}},
	}
}

const (
	controlClientPackages = "controlplane/subscriber, controlplane/stream, controlplane/subscription"
	controlServerPackages = "controlplane/store, controlplane/stream, controlplane/subscription"
)

const (
	voterCount    = 5.0
	relayMachines = target.ControlMachines - voterCount
)

// perClient returns the slope of a series: the increase per client.
func perClient(name string) formula {
	return func(b *evaluation) (float64, error) { return b.slope(name) }
}

// dividedBy returns the value of a series at the target divided by a count.
func dividedBy(name string, count float64) formula {
	return func(b *evaluation) (float64, error) {
		v, err := b.at(name)
		return v / count, err
	}
}

// multipliedBy returns the value of a series at the target multiplied by a factor.
func multipliedBy(name string, factor float64) formula { return dividedBy(name, 1/factor) }

// gatewayMemoryBytes adds the memory of clients, of routing state and of connections to databases, each of which is
// assumed to need as much as a client's.
func gatewayMemoryBytes(b *evaluation) (float64, error) {
	clients, err := b.at("client.memory-by-clients")
	if err != nil {
		return 0, err
	}
	each, err := b.slope("client.memory-by-clients")
	if err != nil {
		return 0, err
	}
	state, err := b.at("datapath.heap-by-members")
	if err != nil {
		return 0, err
	}
	connections, err := b.at("datapath.connections-by-members")
	return clients + state + connections*each, err
}

// wholeListBytesPerSecond is the rate at which a gateway receives data if every change of a member sends the whole list
// as the log holds it.
func wholeListBytesPerSecond(b *evaluation) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.ChangesPerSecond(), err
}

// baselineExperiment is the experiment that measured the program before gateways subscribed. Its series are not listed
// with the current roles.
const baselineExperiment = "scale-baseline"

// table lists the quantities of a role and, unless listedOnly, the other series of the role that the runs contain.
func (r role) table(runs *Runs) *table {
	t := &table{header: []string{"quantity", "at the target", "margin", "carried by", "from"}}
	listed := map[string]bool{}
	for _, l := range r.quantities {
		v := evaluate(runs, l.value, l.unit, l.singleSeries)
		for _, p := range v.Sources {
			listed[p.Series.Name] = true
		}
		t.addRow(l.description, v.String(), l.bound.margin(v), l.mechanism, v.Basis())
	}
	for _, s := range runs.AllSeries() {
		if r.listedOnly || !strings.HasPrefix(s.Name, r.prefix) || listed[s.Name] || s.Run.Experiment == baselineExperiment {
			continue
		}
		if _, ok := Project(s); ok {
			v := evaluate(runs, atTarget(s.Name), s.YUnit, true)
			t.addRow(s.Y, v.String(), boundOf(s.Name).margin(v), mechanismOf(s.Name), v.Basis())
		}
	}
	if len(t.rows) == 0 {
		t.addRow("nothing", "not measured yet", "", "", "")
	}
	return t
}

// controlBounds are the operators' bounds of series whose names are determined by the runs, by name prefix. A real
// gateway's processor time has no bound here, as it includes the data path; nor has a snapshot, which is not a rate.
var controlBounds = []struct {
	prefix string
	bound  bound
}{
	{"gateway.cpu", bound{target.ControlCores, operators}},
	{"gateway.memory", bound{target.ControlMemoryBytes, operators}},
	{"gateway.real-memory", bound{target.ControlMemoryBytes, operators}},
	{"gateway.bytes", bound{target.ControlBytesPerSecond, operators}},
	{"gateway.in-force", bound{target.MaxApplySeconds, operators}},
}

func boundOf(name string) bound {
	for _, b := range controlBounds {
		if strings.HasPrefix(name, b.prefix) {
			return b.bound
		}
	}
	return noBound
}

// mechanismOf returns the packages for a series that is not among the role's quantities.
func mechanismOf(name string) string {
	role, _, _ := strings.Cut(name, ".")
	switch role {
	case "gateway":
		return controlClientPackages
	case "voter":
		return controlServerPackages
	case "database", "datapath":
		return "routing module, dataplane"
	}
	return ""
}

func (r role) heading() string {
	return fmt.Sprintf("### %s%s\n\n", strings.ToUpper(r.name[:1]), r.name[1:])
}
