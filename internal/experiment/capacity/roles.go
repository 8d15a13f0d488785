package capacity

import (
	"fmt"
	"strings"

	"aspenshed/internal/experiment/target"
)

// role is a part of the installation, as the page lists them.
type role struct {
	name, prefix string // prefix of the series that belong to it
	whole        bool   // lines are all that is to be listed: other series are of events, or of another axis
	lines        []line
}

// line is one quantity of a role at the target, in steady state.
type line struct {
	what      string // state, messages, bytes, processor or memory, and of what
	unit      string
	value     formula
	plain     bool // value is one series and nothing else
	bound     bound
	mechanism string // by package
}

// series is a line that one series gives.
func series(what, unit, name string, b bound, mechanism string) line {
	return line{what, unit, at(name), true, b, mechanism}
}

// derived is a line that is worked out.
func derived(what, unit string, f formula, b bound, mechanism string) line {
	return line{what, unit, f, false, b, mechanism}
}

// noBound is for what nobody limits.
var noBound = bound{}

// Bounds that the operators have not given, and why these.
const (
	halfLoaded        = 0.5    // core: the loop is one goroutine, and a machine is to be no more than half loaded
	stepCores         = 0.05   // core: issue 29 names it as too much for walking alone
	databaseConns     = 1000.0 // what a stand-in database takes
	gatewayConns      = 4000.0 // descriptors for databases in the measured gateway's file
	clientDescriptors = 9200.0 // and for clients
	sideWorkShare     = 0.1    // handshakes or probes for each statement at a database
	primaryProbeBound = target.DatabaseCapacity * sideWorkShare
	halfMachine       = 4.0 // core: half of a machine like the one that measured
	sideWork          = target.StatementsPerSecond / target.Databases * sideWorkShare
)

func roles() []role {
	return []role{
		{"client connection", "client.", true, []line{
			series("state: descriptors of a gateway", "1", "client.descriptors-by-clients", bound{clientDescriptors, assumed}, "netio, frontend/session"),
			derived("memory: of one idle connection", "B", perClient("client.memory-by-clients"), noBound, "netio, frontend/session, frontend/postgres"),
			series("memory: resident, of a gateway with all its clients", "B", "client.memory-by-clients", noBound, "netio, frontend/session"),
			series("processor: of a gateway whose clients are all idle", "core", "client.idle-cores-by-clients", bound{halfLoaded, assumed}, "frontend/session (sweep)"),
			derived("processor: of a gateway for a new connection and its first statement", "s", perClient("client.connect-time-by-clients"), noBound, "netio, frontend"),
			derived("messages: statements of one connection", "1/s", fixed(target.StatementsPerSecond/target.ClientConnections), noBound, "frontend"),
			derived("bytes: of one connection, both directions", "B/s", shared("client.bytes-by-statements", target.ClientsPerGateway()), noBound, "frontend/postgres, protocol/pgwire"),
		}},
		{"gateway, data path", "datapath.", true, []line{
			series("state: connections to databases", "1", "datapath.connections-by-members", bound{gatewayConns, assumed}, "dataplane/dispatch (pools)"),
			series("messages: probes", "1/s", "datapath.probes-by-members", noBound, "routing module (refreshPositions)"),
			series("messages: handshakes with databases", "1/s", "datapath.handshakes-by-members", noBound, "dataplane/dispatch"),
			series("messages: calls of Router.Step", "1/s", "datapath.steps-by-members", noBound, "dataplane/eventloop, dataplane/routing"),
			series("messages: reads and writes of sockets", "1/s", "datapath.calls-by-statements", noBound, "netio"),
			series("bytes: at all sockets, both directions", "B/s", "datapath.bytes-by-statements", noBound, "netio, frontend"),
			series("processor: of a real gateway before 6 databases", "core", "datapath.cores-by-statements", bound{halfLoaded, assumed}, "all of the data path"),
			series("processor: of Router.Step before 21,000 databases", "core", "datapath.router-cores-by-members", bound{stepCores, assumed}, "routing module (sweep, fade, earn)"),
			series("processor: of one Router.Step, 100 requests in flight", "s", "datapath.step-by-members-100", noBound, "routing module"),
			series("processor: of one Router.Step, 1,200 requests in flight", "s", "datapath.step-by-members-1200", noBound, "routing module (watchFlights)"),
			series("memory: routing and connection state, without sockets", "B", "datapath.heap-by-members", noBound, "routing module, dataplane/routing, dataplane/dispatch"),
			derived("memory: all of a gateway", "B", gatewayMemory, noBound, "all of the data path"),
		}},
		{"gateway, control side", "gateway.", false, []line{
			series("bytes: control stream, both directions", "B/s", "gateway.bytes-by-gateways", bound{target.ControlBytesPerSecond, operators}, controlSide),
			series("messages: control stream", "1/s", "gateway.messages-by-gateways", noBound, controlSide),
			series("processor", "core", "gateway.cpu-by-gateways", bound{target.ControlCores, operators}, controlSide),
			series("memory", "B", "gateway.memory-by-gateways", bound{target.ControlMemoryBytes, operators}, controlSide),
			series("state: memory with all databases", "B", "gateway.memory-by-members", bound{target.ControlMemoryBytes, operators}, "controlplane/revision"),
			series("in force after a commit, slowest gateway", "s", "gateway.in-force-max-by-gateways", bound{target.MaxApplySeconds, operators}, controlSide),
		}},
		{"relay", "relay.", false, []line{
			derived("state: streams, if 17 machines less 5 voters carry all gateways", "1", fixed(target.Gateways/relayMachines), noBound, "not built"),
			derived("state: streams of a relay's machine with one lost", "1", fixed(target.Gateways/(relayMachines-1)), noBound, "not built"),
			derived("state: streams that voters carry then", "1", fixed(relayMachines), noBound, "not built"),
			derived("bytes: of a relay's streams to gateways", "B/s", times("gateway.bytes-by-gateways", target.Gateways/relayMachines), noBound, "not built"),
			derived("bytes: of a voter's streams to relays", "B/s", times("gateway.bytes-by-gateways", relayMachines/voters), noBound, "not built"),
		}},
		{"voter", "voter.", false, []line{
			derived("state: streams, if 5 voters alone carry all gateways", "1", fixed(target.Gateways/voters), noBound, "controlplane/stream, controlplane/subscription"),
			derived("state: streams with one voter lost", "1", fixed(target.Gateways/(voters-1)), noBound, "controlplane/stream, controlplane/subscription"),
			derived("bytes: of a voter's streams to gateways, without relays", "B/s", times("gateway.bytes-by-gateways", target.Gateways/voters), noBound, controlServer),
			series("processor: the busiest", "core", "voter.cpu-max-by-gateways", bound{halfMachine, assumed}, controlServer),
			series("memory: the largest", "B", "voter.memory-max-by-gateways", noBound, controlServer),
			series("bytes: written by all voters, sockets and log", "B/s", "voter.bytes-out-by-gateways", noBound, controlServer),
			series("messages: writes of all voters", "1/s", "voter.writes-by-gateways", noBound, controlServer),
		}},
		{"database, as we load it", "database.", true, []line{
			series("state: connections", "1", "database.connections-by-gateways", bound{databaseConns, assumed}, "dataplane/dispatch (a pool each gateway)"),
			series("messages: statements", "1/s", "database.statements-by-gateways", bound{target.DatabaseCapacity, assumed}, "routing module"),
			series("messages: probes", "1/s", "database.probes-by-gateways", bound{sideWork, assumed}, "routing module (refreshPositions)"),
			series("messages: handshakes", "1/s", "database.handshakes-by-gateways", bound{sideWork, assumed}, "dataplane/dispatch"),
		}},
	}
}

const (
	controlSide   = "controlplane/subscriber, controlplane/stream, controlplane/subscription"
	controlServer = "controlplane/store, controlplane/stream, controlplane/subscription"
)

const (
	voters        = 5.0
	relayMachines = target.ControlMachines - voters
)

// perClient is a line's slope.
func perClient(name string) formula {
	return func(b *book) (float64, error) { return b.slope(name) }
}

// shared is a series' value over so many.
func shared(name string, among float64) formula {
	return func(b *book) (float64, error) {
		v, err := b.at(name)
		return v / among, err
	}
}

// times is a series' value so often.
func times(name string, often float64) formula { return shared(name, 1/often) }

// gatewayMemory adds clients, routing state and the buffers of connections to databases, each taken for a client's.
func gatewayMemory(b *book) (float64, error) {
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

// wholeLists is what a gateway receives if every change of a member brings the list as the log holds it.
func wholeLists(b *book) (float64, error) {
	list, err := b.at("voter.log-bytes-by-members")
	return list * target.ChangesPerSecond(), err
}

// baseline is the experiment that measured the program before gateways subscribed: no part of the roles as they are.
const baseline = "scale-baseline"

// table is the lines of a role, and whatever else the runs hold of it.
func (r role) table(runs *Runs) *table {
	t := &table{head: []string{"quantity", "at the target", "margin", "carried by", "from"}}
	listed := map[string]bool{}
	for _, l := range r.lines {
		v := evaluate(runs, l.value, l.unit, l.plain)
		for _, p := range v.From {
			listed[p.Slope.Name] = true
		}
		t.add(l.what, v.String(), l.bound.margin(v), l.mechanism, v.Basis())
	}
	for _, s := range runs.Slopes() {
		if r.whole || !strings.HasPrefix(s.Name, r.prefix) || listed[s.Name] || s.Run.Experiment == baseline {
			continue
		}
		if _, ok := Project(s); ok {
			v := evaluate(runs, at(s.Name), s.YUnit, true)
			t.add(s.Y, v.String(), boundOf(s.Name).margin(v), mechanismOf(s.Name), v.Basis())
		}
	}
	if len(t.rows) == 0 {
		t.add("nothing", "not measured yet", "", "", "")
	}
	return t
}

// controlBounds are the operators' bounds of series that the runs name themselves, by the start of their names. A real
// gateway's processor time has none here, as its data path is part of it; nor has a snapshot, which is no rate.
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

// mechanismOf is the packages of a role's series that have no line of their own.
func mechanismOf(name string) string {
	role, _, _ := strings.Cut(name, ".")
	switch role {
	case "gateway":
		return controlSide
	case "voter":
		return controlServer
	case "database", "datapath":
		return "routing module, dataplane"
	}
	return ""
}

func (r role) heading() string {
	return fmt.Sprintf("### %s%s\n\n", strings.ToUpper(r.name[:1]), r.name[1:])
}
