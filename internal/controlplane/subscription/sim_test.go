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

// profile configures a simulated history. The rates are per tick, in thousandths.
type profile struct {
	seed        uint64
	servers     int
	subscribers int
	keys        int
	ticks       int
	partitions  int // a server or subscriber changes its side of a partition
	breaks      int // a connection breaks
	restarts    int // a server or a subscriber restarts without its state
	slow        int // a subscriber stops or resumes reading
	corruptions int // a frame in flight is changed, lost or duplicated
	injected    faults
}

// simulation runs several servers, which receive the same commits at different times, and many subscribers in simulated
// time. Frames of a connection keep their order; otherwise anything may be delayed, lost or partitioned.
type simulation struct {
	profile
	rng         *rand.Rand
	now         aspenshed.Nanos
	reference   *referenceLog
	servers     []*simServer
	subscribers []*simSubscriber
	faultsEnded bool
	failure     error
	snapshots   int // that were applied
	binding     int // binding changes applied
	closed      map[pb.Closing_Reason]int
}

type simServer struct {
	name        string
	machine     *Server
	up          bool
	partition   int
	applied     int               // commits
	receivedAt  []aspenshed.Nanos // when each commit was applied
	nextStep    aspenshed.Nanos
	lastSession SessionID
	connections map[SessionID]*simConnection
}

type simSubscriber struct {
	name             string
	machine          *Client
	scope            revision.Scope
	partition        int
	slow             bool
	nextStep         aspenshed.Nanos
	conn             *simConnection
	revision         uint64          // the last applied
	undisturbedSince aspenshed.Nanos // since when no fault has affected it; never: not connected
}

const (
	simWindowBytes = 1200
	simFrameBytes  = 400
	simOutputBytes = 3000
	simCacheBytes  = 4000
	// simSnapshotRate, in bytes a second, admits some two snapshots a second.
	simSnapshotRate = 3000
	// simMaxLatency is the longest time that a commit may take to reach an undisturbed subscriber, ns: at most a few
	// windows are queued for it.
	simMaxLatency = 5 * second
	// simSettleTime is the time for all subscribers to converge after all faults have ended, ns: the snapshots of all take
	// a few seconds.
	simSettleTime = 60 * second
)

func newSimulation(p profile) *simulation {
	s := &simulation{profile: p, closed: map[pb.Closing_Reason]int{},
		rng: rand.New(rand.NewPCG(p.seed, 1)), now: aspenshed.Nanos(p.seed%2000) * second}
	s.reference = newReferenceLog(s.rng, p.keys)
	var names []string
	for i := range p.servers {
		x := &simServer{name: fmt.Sprint("s", i)}
		names = append(names, x.name)
		s.servers = append(s.servers, x)
		s.startServer(x)
	}
	for i := range p.subscribers {
		x := &simSubscriber{name: fmt.Sprint("g", i), scope: randomScope(s.rng)}
		s.subscribers = append(s.subscribers, x)
		s.startSubscriber(x, names)
	}
	return s
}

// startServer starts a server from the state of an earlier commit; the later commits are delivered again.
func (s *simulation) startServer(x *simServer) {
	x.machine = NewServer(ServerConfig{Cluster: "c", LogBytes: 300 * (3 + s.rng.IntN(30)), WindowBytes: simWindowBytes,
		HeartbeatInterval: second / 5, FlushDelay: second / 20, StallTimeout: second, SnapshotRate: simSnapshotRate, SnapshotBurst: 1500,
		Seed: s.rng.Uint64()})
	x.machine.encoder.frameBytes, x.machine.maxOutputBytes = simFrameBytes, simOutputBytes
	x.machine.encoder.cacheBytes = simCacheBytes
	x.machine.faults = s.injected
	x.up, x.connections, x.nextStep = true, map[SessionID]*simConnection{}, s.now
	x.applied = s.rng.IntN(x.applied + 1)
	x.receivedAt = x.receivedAt[:x.applied]
	if x.applied > 0 {
		c := s.reference.commits[x.applied-1]
		var records []revision.Record
		for _, r := range c.state {
			records = append(records, r)
		}
		x.machine.Reset(c.revision, records)
	}
}

func (s *simulation) startSubscriber(x *simSubscriber, servers []string) {
	x.machine = NewClient(ClientConfig{Cluster: "c", Subscriber: x.name, Boot: fmt.Sprint(s.rng.Uint32()), Scope: x.scope,
		Servers: servers, Seed: s.rng.Uint64(), IdleTimeout: 7 * second / 10, MinBackoff: second / 20, MaxBackoff: second / 2})
	x.machine.faults = s.injected
	x.nextStep, x.revision, x.undisturbedSince = s.now, 0, never
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %.3f s: %w", float64(s.now)/1e9, fmt.Errorf(format, args...))
	}
}

// run simulates the history: first with faults, then without until all have converged.
func (s *simulation) run() error {
	s.reference.commit(3) // at least one, as a server without commits has no state
	for range s.ticks {
		s.now += aspenshed.Nanos(s.rng.Int64N(int64(80 * millisecond)))
		s.injectFaults()
		s.appendRandomCommits()
		s.tick()
		if s.failure != nil {
			return s.failure
		}
	}
	s.endFaults()
	for end := s.now + simSettleTime; s.now < end && s.failure == nil; s.now += 50 * millisecond {
		s.tick()
		if s.converged() {
			return s.failure
		}
	}
	s.reportDivergence()
	return s.failure
}

// appendRandomCommits appends a commit now and then, and rarely a burst of them.
func (s *simulation) appendRandomCommits() {
	n := 0
	switch s.rng.IntN(60) {
	case 0:
		n = 40
	default:
		n = s.rng.IntN(5) / 4
	}
	for range n {
		s.reference.commit(3)
	}
}

func (s *simulation) tick() {
	for _, x := range s.servers {
		s.stepServer(x)
	}
	for _, x := range s.subscribers {
		s.deliverToSubscriber(x)
		if s.now >= x.nextStep {
			s.stepSubscriber(x)
		}
		s.checkLatency(x)
	}
	s.checkBounds()
}

func (s *simulation) stepServer(x *simServer) {
	if !x.up {
		return
	}
	happened := s.deliverCommits(x)
	for _, id := range sortedSessions(x.connections) {
		happened = s.deliverToServer(x.connections[id]) || happened
	}
	for happened || s.now >= x.nextStep {
		var out []Output
		out, x.nextStep = x.machine.Step(s.now)
		bytes := 0
		for _, o := range out {
			bytes += len(o.Frame)
			s.handleOutput(x, o)
		}
		// Closing frames are not counted towards the limits.
		if most := simOutputBytes + simWindowBytes + len(out)*200; bytes > most {
			s.fail("%s: %d bytes in one step, more than %d", x.name, bytes, most)
		}
		happened = false
	}
}

func sortedSessions(m map[SessionID]*simConnection) (out []SessionID) {
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// deliverCommits delivers to a server some of the commits that it lacks, or all after the faults have ended.
func (s *simulation) deliverCommits(x *simServer) (any bool) {
	for x.applied < len(s.reference.commits) && (s.faultsEnded || s.rng.IntN(3) > 0) {
		c := s.reference.commits[x.applied]
		x.machine.Commit(c.revision, c.changes)
		x.receivedAt = append(x.receivedAt, s.now)
		x.applied++
		any = true
	}
	return any
}

// checkServerLog fails on log lines that must not occur without corrupted frames.
func (s *simulation) checkServerLog(l *LogLine) {
	switch l.Message {
	case messageDigestMismatch, messageInvalidSubscriberInput:
		s.fail("%s: %v", l.Message, l.Err)
	case messageSessionClosed:
		s.closed[l.Err.(*SubscriberError).Reason]++
	}
}

func (s *simulation) stepSubscriber(x *simSubscriber, events ...Event) {
	var actions []Action
	actions, x.nextStep = x.machine.Step(s.now, events...)
	for _, a := range actions {
		s.perform(x, a)
	}
}

func (s *simulation) perform(x *simSubscriber, a Action) {
	switch a := a.(type) {
	case Dial:
		s.dial(x, a.Server)
	case Send:
		b, err := proto.Marshal(a.Frame)
		if err != nil || x.conn == nil {
			s.fail("%s sends without a connection: %v", x.name, err)
			return
		}
		s.send(x.conn, &x.conn.toServer, packet{frame: b})
	case CloseConnection:
		if x.conn != nil {
			s.send(x.conn, &x.conn.toServer, packet{})
			x.conn.clientEnd = true
		}
		x.conn, x.undisturbedSince = nil, never
	case Apply:
		s.checkApply(x, a)
		s.stepSubscriber(x, Applied{Revision: a.Revision})
	case Log:
		if (a.Message == messageDiverged || a.Message == messageInvalidInput) && s.corruptions == 0 {
			s.fail("%s: %s: %v", x.name, a.Message, a.Err)
		}
	}
}
