package stream

import (
	"sync"
	"sync/atomic"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

const (
	// MaxSubscribers are served at once: 2,400 gateways that have all come to one of five voters, three times over.
	// Who comes beyond is asked to come back later.
	MaxSubscribers = 8192
	// maxRefusedConnections connections beyond them are open for as long as it takes to say so; further ones are closed at once.
	maxRefusedConnections = 256
	// maxConcurrentBatches batches of subscribers are on their way to the leader at once.
	maxConcurrentBatches = 64
	// maxQueuedBatches wait for that; further ones are refused at once and may be repeated.
	maxQueuedBatches = 4096
	// closeTimeout is how long a connection that is closed may take to send its last frame, ns.
	closeTimeout = aspenshed.Nanos(1e9)
	// closePollInterval is how often that is looked at, ns.
	closePollInterval = aspenshed.Nanos(20e6)
	// stopTimeout bounds the server's end: the last frames, and some scheduling.
	stopTimeout = 2 * time.Second
)

const (
	messageServerFailed  = "control stream server failed, this instance goes on without it"
	messageStopping      = "control stream server stops"
	messageQueueOverflow = "control stream server fell behind the log, reading the state anew"
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	Listen  string
	Cluster string
	Log     *logrus.Entry   // nil: nowhere
	Clock   eventloop.Clock // nil: the wall's
	// Forward takes a subscriber's batch to the leader; it may block.
	Forward func(*catalogpb.Batch) *catalogpb.Reply
	// Records reads all that is distributed, at its revision. It is called where commits came faster than they were
	// taken up; without it the server then ends.
	Records func() (uint64, []revision.Record)
	Machine subscription.ServerConfig
}

// Server serves the control stream. One that fails logs it once, closes its connections and leaves the rest of the
// process running.
type Server struct {
	config           ServerConfig
	log              *logrus.Entry
	loop             *eventloop.Loop
	net              *netio.Net
	commits          commitQueue
	counters         counters
	nextID           atomic.Uint64
	opened           atomic.Uint64
	closed           atomic.Uint64
	forwardedBatches atomic.Uint64
	done             chan struct{}
	stopOnce         sync.Once

	// The loop's own.
	machine         *subscription.Server
	connections     map[subscription.SessionID]*subscriberConn
	timer           *eventloop.Timer
	queuedBatches   []submission // that wait to be carried
	inFlightBatches int
	failed          bool
}

// submission is a batch of a session.
type submission struct {
	session subscription.SessionID
	submit  *pb.Submit
}

// NewServer listens and serves. It has no state until the first Reset or Publish.
func NewServer(c ServerConfig) (*Server, error) {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.Machine.Cluster = c.Cluster; c.Machine.MaxSessions == 0 {
		c.Machine.MaxSessions = MaxSubscribers
	}
	s := &Server{config: c, log: loggerOrDiscard(c.Log), loop: eventloop.NewLoop(c.Clock), done: make(chan struct{}),
		machine: subscription.NewServer(c.Machine), connections: map[subscription.SessionID]*subscriberConn{}}
	s.loop.AfterBatch = s.step
	s.loop.OnPanic = s.fail
	var err error
	s.net, err = netio.New(netio.Config{Name: "control", Listen: c.Listen, MaxClients: c.Machine.MaxSessions + maxRefusedConnections, Accept: s.accept})
	if err != nil {
		return nil, err
	}
	go func() {
		defer close(s.done)
		s.loop.Run()
	}()
	s.loop.Post(func() {})
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.net.Addr() }

// Publish takes a commit. It doesn't block.
func (s *Server) Publish(rev uint64, changes []revision.Change) {
	if s.commits.push(rev, changes) {
		s.loop.Post(s.applyCommits)
	}
}

// Reset replaces the state. It doesn't block.
func (s *Server) Reset(rev uint64, records []revision.Record) {
	if s.commits.reset(rev, records) {
		s.loop.Post(s.applyCommits)
	}
}

// Rollout tells how far this server's subscribers are with a revision; 0 is the newest. It returns nil after the end.
func (s *Server) Rollout(rev uint64) (status *catalogpb.RolloutStatus) {
	s.runOnLoop(func() { status = s.machine.Rollout(rev) })
	return status
}

// Subscribers lists those that are subscribed, by name.
func (s *Server) Subscribers() (out []subscription.SubscriberStatus) {
	s.runOnLoop(func() { out = s.machine.Subscribers() })
	return out
}

// Stats counts what the server has done.
func (s *Server) Stats() ServerStats {
	return ServerStats{Traffic: s.counters.traffic(), Connections: s.net.ClientCount(), Opened: s.opened.Load(),
		Closed: s.closed.Load(), Submitted: s.forwardedBatches.Load(), Overflows: s.commits.overflows()}
}

// Stop tells all subscribers that the server ends, and ends it.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.loop.Post(func() {
			s.log.WithField("subscribers", len(s.connections)).Info(messageStopping)
			s.machine.Stop(s.loop.Now())
			s.step()
			s.quitOnceClosed(s.loop.Now() + closeTimeout)
		})
		select {
		case <-s.done:
		case <-time.After(stopTimeout): // a clock of a test that stands still
		}
		s.net.Stop()
		s.loop.Post(s.loop.Quit)
		<-s.done
	})
}

// quitOnceClosed ends the loop when the last frames have left, or at the limit.
func (s *Server) quitOnceClosed(limit aspenshed.Nanos) {
	if len(s.connections) == 0 || s.loop.Now() >= limit {
		s.loop.Quit()
		return
	}
	s.loop.At(s.loop.Now()+closePollInterval, func() { s.quitOnceClosed(limit) })
}

// runOnLoop has the loop call f and waits for it, unless the loop has ended.
func (s *Server) runOnLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
	case <-s.done:
	}
}

// applyCommits hands what was published to the machine.
func (s *Server) applyCommits() {
	items, overflowed := s.commits.popAll()
	if s.failed {
		return
	}
	if overflowed {
		s.reloadState()
	}
	for i := range items {
		if items[i].reset {
			s.machine.Reset(items[i].revision, items[i].records)
		} else {
			s.machine.Commit(items[i].revision, items[i].changes)
		}
	}
}

func (s *Server) reloadState() {
	if s.config.Records == nil {
		s.fail("the feed of commits overflowed")
		return
	}
	s.log.Warn(messageQueueOverflow)
	s.machine.Reset(s.config.Records())
}

// step carries out what the machine says is due, and sets the timer for its next time.
func (s *Server) step() {
	if s.failed {
		return
	}
	outputs, next := s.machine.Step(s.loop.Now())
	for i := range outputs {
		s.perform(&outputs[i])
	}
	s.loop.StopTimer(s.timer)
	s.timer = s.loop.At(next, func() {}) // the step follows every batch
}

func (s *Server) perform(o *subscription.Output) {
	if o.Log != nil {
		writeLogLine(s.log, o.Log)
	}
	conn := s.connections[o.Session]
	if conn != nil && len(o.Frame) > 0 {
		conn.write(o.Frame)
	}
	if o.Submit != nil {
		s.forward(submission{o.Session, o.Submit})
	}
	if conn != nil && o.Close {
		s.closed.Add(1)
		conn.closeAfterFlush(s.loop.Now() + closeTimeout)
	}
}

// forward has a batch taken to the leader, now or once another has been.
func (s *Server) forward(b submission) {
	switch {
	case s.inFlightBatches < maxConcurrentBatches:
		s.inFlightBatches++
		go s.forwardBatch(b)
	case len(s.queuedBatches) < maxQueuedBatches:
		s.queuedBatches = append(s.queuedBatches, b)
	default:
		s.reply(b, &catalogpb.Reply{Refused: "too many batches at once", Retry: true})
	}
}

// forwardBatch waits for the leader, away from the loop.
func (s *Server) forwardBatch(b submission) {
	s.forwardedBatches.Add(1)
	reply := s.config.Forward(b.submit.GetBatch())
	s.loop.Post(func() {
		s.inFlightBatches--
		s.reply(b, reply)
		if len(s.queuedBatches) > 0 {
			next := s.queuedBatches[0]
			s.queuedBatches = s.queuedBatches[1:]
			s.forward(next)
		}
	})
}

func (s *Server) reply(b submission, reply *catalogpb.Reply) {
	s.machine.Submitted(s.loop.Now(), b.session, &pb.Submitted{Id: b.submit.GetId(), Reply: reply})
}

// fail ends the service after a defect; the process goes on, and subscribers find other servers.
func (s *Server) fail(cause any) {
	if s.failed {
		return
	}
	s.failed = true
	s.log.WithFields(panicFields(cause)).Error(messageServerFailed)
	for _, conn := range s.connections {
		conn.socket.Close()
	}
	clear(s.connections)
	s.net.StopListening()
}
