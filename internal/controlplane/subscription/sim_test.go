package subscription

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// profile is what a simulated history is made of. The rates are per tick, in thousandths.
type profile struct {
	seed        uint64
	servers     int
	subscribers int
	keys        int
	ticks       int
	cuts        int // a server or subscriber changes its side of a split
	breaks      int // a connection breaks
	restarts    int // a server or a subscriber loses all it has
	slow        int // a subscriber stops reading, or reads on
	corruptions int // a frame on its way is changed, lost or doubled
	planted     faults
}

// simulation is several servers that hear the same commits at different times and many subscribers, in simulated time.
// Within a connection bytes keep their order; everything else may be late, lost or cut.
type simulation struct {
	profile
	rng         *rand.Rand
	now         aspenshed.Nanos
	truth       *truth
	servers     []*simServer
	subscribers []*simSubscriber
	healed      bool
	problem     error
	snapshots   int // that took effect
	binding     int // changes seen
	closed      map[pb.Closing_Reason]int
}

type simServer struct {
	name    string
	machine *Server
	up      bool
	side    int
	applied int               // commits
	heardAt []aspenshed.Nanos // when it took each commit
	due     aspenshed.Nanos
	last    SessionID
	sides   map[SessionID]*connection
}

type simSubscriber struct {
	name     string
	machine  *Client
	scope    revision.Scope
	side     int
	slow     bool
	due      aspenshed.Nanos
	link     *connection
	revision uint64          // the last applied
	calm     aspenshed.Nanos // undisturbed since then; never: not connected
}

const (
	simWindow = 1200
	simFrame  = 400
	simOutput = 3000
	simKept   = 4000
	// simSnapshotRate, bytes a second, admits some two snapshots a second.
	simSnapshotRate = 3000
	// simPrompt is how long an undisturbed subscriber may take for a commit, ns: its queue is some windows long at most.
	simPrompt = 5 * second
	// simSettle is how long everybody may take after all faults are healed, ns: the snapshots of all take a few seconds.
	simSettle = 60 * second
)

func newSimulation(p profile) *simulation {
	s := &simulation{profile: p, closed: map[pb.Closing_Reason]int{},
		rng: rand.New(rand.NewPCG(p.seed, 1)), now: aspenshed.Nanos(p.seed%2000) * second}
	s.truth = newTruth(s.rng, p.keys)
	var names []string
	for i := range p.servers {
		x := &simServer{name: fmt.Sprint("s", i)}
		names = append(names, x.name)
		s.servers = append(s.servers, x)
		s.startServer(x)
	}
	for i := range p.subscribers {
		x := &simSubscriber{name: fmt.Sprint("g", i), scope: anyScope(s.rng)}
		s.subscribers = append(s.subscribers, x)
		s.startSubscriber(x, names)
	}
	return s
}

// startServer gives it the state of a snapshot that it has, and the commits after that to hear again.
func (s *simulation) startServer(x *simServer) {
	x.machine = NewServer(ServerConfig{Cluster: "c", LogBytes: 300 * (3 + s.rng.IntN(30)), WindowBytes: simWindow,
		HeartbeatInterval: second / 5, FlushDelay: second / 20, StallTimeout: second, SnapshotRate: simSnapshotRate, SnapshotBurst: 1500,
		Seed: s.rng.Uint64()})
	x.machine.encoder.frameBytes, x.machine.maxOutputBytes = simFrame, simOutput
	x.machine.encoder.cacheBytes = simKept
	x.machine.faults = s.planted
	x.up, x.sides, x.due = true, map[SessionID]*connection{}, s.now
	x.applied = s.rng.IntN(x.applied + 1)
	x.heardAt = x.heardAt[:x.applied]
	if x.applied > 0 {
		c := s.truth.commits[x.applied-1]
		var records []revision.Record
		for _, r := range c.after {
			records = append(records, r)
		}
		x.machine.Reset(c.revision, records)
	}
}

func (s *simulation) startSubscriber(x *simSubscriber, servers []string) {
	x.machine = NewClient(ClientConfig{Cluster: "c", Subscriber: x.name, Boot: fmt.Sprint(s.rng.Uint32()), Scope: x.scope,
		Servers: servers, Seed: s.rng.Uint64(), IdleTimeout: 7 * second / 10, MinBackoff: second / 20, MaxBackoff: second / 2})
	x.machine.faults = s.planted
	x.due, x.revision, x.calm = s.now, 0, never
}

func (s *simulation) fail(format string, args ...any) {
	if s.problem == nil {
		s.problem = fmt.Errorf("at %.3f s: %w", float64(s.now)/1e9, fmt.Errorf(format, args...))
	}
}

// run plays the history: faults first, then everything healed until all agree.
func (s *simulation) run() error {
	s.truth.commit(3) // at least one: a server without any has no state
	for range s.ticks {
		s.now += aspenshed.Nanos(s.rng.Int64N(int64(80 * millisecond)))
		s.someFaults()
		s.someCommits()
		s.tick()
		if s.problem != nil {
			return s.problem
		}
	}
	s.heal()
	for end := s.now + simSettle; s.now < end && s.problem == nil; s.now += 50 * millisecond {
		s.tick()
		if s.agreed() {
			return s.problem
		}
	}
	s.describeDisagreement()
	return s.problem
}

// someCommits now and then makes one, and seldom a burst of them.
func (s *simulation) someCommits() {
	n := 0
	switch s.rng.IntN(60) {
	case 0:
		n = 40
	default:
		n = s.rng.IntN(5) / 4
	}
	for range n {
		s.truth.commit(3)
	}
}

func (s *simulation) tick() {
	for _, x := range s.servers {
		s.stepServer(x)
	}
	for _, x := range s.subscribers {
		s.deliverTo(x)
		if s.now >= x.due {
			s.stepSubscriber(x)
		}
		s.checkPrompt(x)
	}
	s.checkBounds()
}

func (s *simulation) stepServer(x *simServer) {
	if !x.up {
		return
	}
	happened := s.hearCommits(x)
	for _, id := range sortedSessions(x.sides) {
		happened = s.deliverFrom(x.sides[id]) || happened
	}
	for happened || s.now >= x.due {
		var out []Output
		out, x.due = x.machine.Step(s.now)
		bytes := 0
		for _, o := range out {
			bytes += len(o.Frame)
			s.output(x, o)
		}
		if most := simOutput + simWindow + len(out)*200; bytes > most { // closings come beside
			s.fail("%s: %d bytes in one step, over %d", x.name, bytes, most)
		}
		happened = false
	}
}

func sortedSessions(m map[SessionID]*connection) (out []SessionID) {
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// hearCommits gives a server some of the commits that it lacks; once healed, all.
func (s *simulation) hearCommits(x *simServer) (any bool) {
	for x.applied < len(s.truth.commits) && (s.healed || s.rng.IntN(3) > 0) {
		c := s.truth.commits[x.applied]
		x.machine.Commit(c.revision, c.changes)
		x.heardAt = append(x.heardAt, s.now)
		x.applied++
		any = true
	}
	return any
}

// noteServerLine fails on what no history without corruption may bring about.
func (s *simulation) noteServerLine(l *LogLine) {
	switch l.Message {
	case messageDigestMismatch, messageInvalidSubscriberInput:
		s.fail("%s: %v", l.Message, l.Err)
	case messageSessionClosed:
		s.closed[l.Err.(*SubscriberError).Reason]++
	}
}

func (s *simulation) stepSubscriber(x *simSubscriber, events ...Event) {
	var actions []Action
	actions, x.due = x.machine.Step(s.now, events...)
	for _, a := range actions {
		s.act(x, a)
	}
}

func (s *simulation) act(x *simSubscriber, a Action) {
	switch a := a.(type) {
	case Dial:
		s.dial(x, a.Server)
	case Send:
		b, err := proto.Marshal(a.Frame)
		if err != nil || x.link == nil {
			s.fail("%s sends without a connection: %v", x.name, err)
			return
		}
		s.send(x.link, &x.link.up, transit{frame: b})
	case CloseConnection:
		if x.link != nil {
			s.send(x.link, &x.link.up, transit{})
			x.link.clientEnd = true
		}
		x.link, x.calm = nil, never
	case Apply:
		s.checkApply(x, a)
		s.stepSubscriber(x, InForce{Revision: a.Revision})
	case Log:
		if (a.Message == messageDiverged || a.Message == messageInvalidInput) && s.corruptions == 0 {
			s.fail("%s: %s: %v", x.name, a.Message, a.Err)
		}
	}
}
