package stream

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/protocol/frame"
)

const messageClientFailed = "control stream client failed, the gateway keeps its last control state"

// ErrTimeout reports that no reply was received in time; the batch may have been executed.
var ErrTimeout = errors.New("control stream: no reply in time")

// ClientConfig configures a Client.
type ClientConfig struct {
	Machine subscription.ClientConfig
	Network Network
	Log     *logrus.Entry   // nil: discarded
	Clock   eventloop.Clock // nil: the system clock
	// OnUpdate is called with every new state, on the client's goroutine; nil: not called. It must not block.
	OnUpdate func(Update)
}

// Update is a change of the state: some changes, or a whole new state.
type Update struct {
	Revision uint64
	Full     bool // replaced by a snapshot: read State; Changes is empty
	Changes  []revision.Change
	State    *revision.State // valid during the call only
}

// Client keeps a copy of the control state by subscribing to one of several servers. A client that fails logs this once
// and keeps its copy.
type Client struct {
	config   ClientConfig
	log      *logrus.Entry
	loop     *eventloop.Loop
	counters counters
	nextID   atomic.Uint64 // of submissions
	done     chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	stats ClientStats

	// Used on the loop only.
	machine            *subscription.Client
	conn               *serverConn // nil: neither connected nor dialing
	timer              *eventloop.Timer
	pendingSubmissions map[uint64]chan<- submitResult // by id; bounded by the state machine
	failed             bool
}

// submitResult is the result of a submission.
type submitResult struct {
	reply *catalogpb.Reply
	err   error
}

// NewClient returns a client that dials at once, and again whenever it loses its server.
func NewClient(c ClientConfig) *Client {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.OnUpdate == nil {
		c.OnUpdate = func(Update) {}
	}
	client := &Client{config: c, log: loggerOrDiscard(c.Log), loop: eventloop.NewLoop(c.Clock), done: make(chan struct{}),
		machine: subscription.NewClient(c.Machine), pendingSubmissions: map[uint64]chan<- submitResult{}}
	client.loop.AfterBatch = func() { client.step() }
	client.loop.OnPanic = client.fail
	client.loop.Post(func() {})
	go func() {
		defer close(client.done)
		client.loop.Run()
	}()
	return client
}

// ReportApplied reports to the server which revision the data plane has applied, and which changes it refused since
// the last call.
func (c *Client) ReportApplied(rev uint64, refused []*pb.RefusedChange) {
	c.loop.Post(func() { c.step(subscription.Applied{Revision: rev, Refused: refused}) })
}

// SetServers replaces the servers.
func (c *Client) SetServers(servers []string) {
	c.loop.Post(func() { c.step(subscription.SetServers{Servers: servers}) })
}

// Submit sends a batch to be forwarded to the leader and waits for the reply. Unless the error is one of subscription's
// ErrNotConnected, ErrTooManySubmissions and ErrStopped, the batch may have been executed.
func (c *Client) Submit(b *catalogpb.Batch, limit time.Duration) (*catalogpb.Reply, error) {
	id, result := c.nextID.Add(1), make(chan submitResult, 1)
	c.loop.Post(func() { c.submit(id, b, result) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-result:
		return a.reply, a.err
	case <-timer.C:
		c.loop.Post(func() { delete(c.pendingSubmissions, id) })
		return nil, ErrTimeout
	case <-c.done:
		return nil, subscription.ErrStopped
	}
}

func (c *Client) submit(id uint64, b *catalogpb.Batch, result chan<- submitResult) {
	if c.failed {
		result <- submitResult{err: subscription.ErrStopped}
		return
	}
	c.pendingSubmissions[id] = result
	c.step(subscription.SubmitCommands{ID: id, Batch: b})
}

// Stats returns the counters and the state of the client.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.Traffic = c.counters.traffic()
	return out
}

// Stop closes the connection and stops the client.
func (c *Client) Stop() {
	c.stopOnce.Do(func() {
		c.loop.Post(func() {
			c.step(subscription.Stop{})
			c.loop.Quit()
		})
		<-c.done
	})
}

// step passes events to the state machine, one at a time, so that no event of a connection follows that connection's
// end.
func (c *Client) step(events ...subscription.Event) {
	if c.failed {
		return
	}
	actions, next := c.machine.Step(c.loop.Now(), events...)
	for _, a := range actions {
		c.perform(a)
	}
	c.loop.StopTimer(c.timer)
	c.timer = c.loop.At(next, func() {}) // AfterBatch calls step after every batch
	c.updateStats()
}

// updateStats updates the state that Stats returns.
func (c *Client) updateStats() {
	state := c.machine.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Subscribed = c.machine.Subscribed()
	c.stats.Revision, c.stats.Digest, c.stats.Records = state.Revision(), state.Digest(revision.Scope{}), state.Len()
}

func (c *Client) perform(a subscription.Action) {
	switch a := a.(type) {
	case subscription.Dial:
		c.dial(a.Server)
	case subscription.Send:
		c.send(a.Frame)
	case subscription.CloseConnection:
		c.closeConnection()
	case subscription.Apply:
		c.apply(a)
	case subscription.SubmitDone:
		c.completeSubmission(a)
	case subscription.Log:
		writeLogLine(c.log, &a.LogLine)
	}
}

func (c *Client) apply(a subscription.Apply) {
	if a.Full {
		c.mu.Lock()
		c.stats.Snapshots++
		c.mu.Unlock()
	}
	c.config.OnUpdate(Update{Revision: a.Revision, Full: a.Full, Changes: a.Changes, State: c.machine.State()})
}

func (c *Client) completeSubmission(a subscription.SubmitDone) {
	if result := c.pendingSubmissions[a.ID]; result != nil {
		result <- submitResult{a.Reply, a.Err}
		delete(c.pendingSubmissions, a.ID)
	}
}

func (c *Client) send(f *pb.SubscriberFrame) {
	if ack := f.GetAck(); ack != nil {
		c.mu.Lock()
		c.stats.AppliedRevision = ack.InForce
		c.mu.Unlock()
	}
	b, err := frame.Append(nil, f)
	if err == nil && c.conn != nil {
		err = c.conn.write(b)
	}
	if err != nil {
		c.connectionLost(c.conn, err)
	}
}

// fail stops the client after a panic; the gateway keeps its copy of the state.
func (c *Client) fail(cause any) {
	if c.failed {
		return
	}
	c.failed = true
	c.log.WithFields(panicFields(cause)).Error(messageClientFailed)
	c.closeConnection()
	for id, result := range c.pendingSubmissions {
		result <- submitResult{err: subscription.ErrConnectionLost}
		delete(c.pendingSubmissions, id)
	}
}
