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
	// MaxSubscribers is the number of subscribers served at once: 2,400 gateways that have all connected to one of five
	// voters, three times over. Further ones are asked to retry later.
	MaxSubscribers = 8192
	// maxRefusedConnections is the number of connections beyond MaxSubscribers that are kept open until they have been
	// sent the reason; further ones are closed at once.
	maxRefusedConnections = 256
	// maxConcurrentBatches is the number of subscribers' batches that are being forwarded to the leader at once.
	maxConcurrentBatches = 64
	// maxQueuedBatches is the number of batches that wait to be forwarded; further ones are refused at once and may be
	// retried.
	maxQueuedBatches = 4096
	// closeTimeout is how long a connection that is being closed may take to send its last frame, ns.
	closeTimeout = aspenshed.Nanos(1e9)
	// closePollInterval is how often such a connection is checked, ns.
	closePollInterval = aspenshed.Nanos(20e6)
	// stopTimeout bounds the time that Stop takes: the last frames, and some scheduling.
	stopTimeout = 2 * time.Second
)

const (
	messageServerFailed  = "control stream server failed, this instance continues without it"
	messageStopping      = "control stream server stopping"
	messageQueueOverflow = "control stream server fell behind the replicated log, reloading the state"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listen  string
	Cluster string
	Log     *logrus.Entry   // nil: discarded
	Clock   eventloop.Clock // nil: the system clock
	// Forward sends a subscriber's batch to the leader and returns the reply; it may block.
	Forward func(*catalogpb.Batch) *catalogpb.Reply
	// Records returns all distributed records and their revision. It is called after the commit queue has overflowed; if
	// it is nil, the server then fails.
	Records func() (uint64, []revision.Record)
	Machine subscription.ServerConfig
}

// Server serves the control stream. A server that fails logs this once, closes its connections and leaves the rest of
// the process running.
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

	// Used on the loop only.
	machine         *subscription.Server
	connections     map[subscription.SessionID]*subscriberConn
	timer           *eventloop.Timer
	queuedBatches   []submission // waiting to be forwarded
	inFlightBatches int
	failed          bool
}

// submission is a batch submitted by a session.
type submission struct {
	session subscription.SessionID
	submit  *pb.Submit
}

// NewServer starts a server and listens. It has no state until the first Reset or Publish.
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

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.net.Addr() }

// Publish queues a commit. It doesn't block.
func (s *Server) Publish(rev uint64, changes []revision.Change) {
	if s.commits.push(rev, changes) {
		s.loop.Post(s.applyCommits)
	}
}

// Reset queues a replacement of the state. It doesn't block.
func (s *Server) Reset(rev uint64, records []revision.Record) {
	if s.commits.reset(rev, records) {
		s.loop.Post(s.applyCommits)
	}
}

// Rollout returns the progress of this server's subscribers with a revision; 0 is the newest. It returns nil after the
// server has stopped.
func (s *Server) Rollout(rev uint64) (status *catalogpb.RolloutStatus) {
	s.runOnLoop(func() { status = s.machine.Rollout(rev) })
	return status
}

// Subscribers lists the subscribed sessions by subscriber name.
func (s *Server) Subscribers() (out []subscription.SubscriberStatus) {
	s.runOnLoop(func() { out = s.machine.Subscribers() })
	return out
}

// Stats returns the server's counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{Traffic: s.counters.traffic(), Connections: s.net.ClientCount(), Opened: s.opened.Load(),
		Closed: s.closed.Load(), Submitted: s.forwardedBatches.Load(), Overflows: s.commits.overflows()}
}

// Stop closes all sessions with the reason SHUTTING_DOWN, and stops the server.
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
		case <-time.After(stopTimeout): // with a test's clock that doesn't advance
		}
		s.net.Stop()
		s.loop.Post(s.loop.Quit)
		<-s.done
	})
}

// quitOnceClosed ends the loop when the last frames have been sent, or at the deadline.
func (s *Server) quitOnceClosed(deadline aspenshed.Nanos) {
	if len(s.connections) == 0 || s.loop.Now() >= deadline {
		s.loop.Quit()
		return
	}
	s.loop.At(s.loop.Now()+closePollInterval, func() { s.quitOnceClosed(deadline) })
}

// runOnLoop runs f on the loop and waits for it, unless the loop has ended.
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

// applyCommits passes the queued commits to the state machine.
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
		s.fail("the commit queue overflowed")
		return
	}
	s.log.Warn(messageQueueOverflow)
	s.machine.Reset(s.config.Records())
}

// step performs the due outputs of the state machine, and sets the timer for the next step.
func (s *Server) step() {
	if s.failed {
		return
	}
	outputs, next := s.machine.Step(s.loop.Now())
	for i := range outputs {
		s.perform(&outputs[i])
	}
	s.loop.StopTimer(s.timer)
	s.timer = s.loop.At(next, func() {}) // AfterBatch calls step after every batch
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

// forward forwards a batch to the leader now, or queues it until another batch is done.
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

// forwardBatch forwards a batch and waits for the reply, outside the loop.
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

// fail stops the server after a panic, or if the state can't be reloaded; the process continues, and subscribers move
// to other servers.
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
