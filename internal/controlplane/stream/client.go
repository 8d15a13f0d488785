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

const messageClientFailed = "control stream client failed, the gateway goes on by what it last held"

// ErrTimeout says that no answer came in time; the batch may have been carried out.
var ErrTimeout = errors.New("control stream: no answer in time")

// ClientConfig sets up a Client.
type ClientConfig struct {
	Machine subscription.ClientConfig
	Network Network
	Log     *logrus.Entry   // nil: nowhere
	Clock   eventloop.Clock // nil: the wall's
	// OnUpdate hears of every new state, on the client's goroutine; nil: nobody does. It must not block.
	OnUpdate func(Update)
}

// Update is a step of the state: changes, or a whole new one.
type Update struct {
	Revision uint64
	Full     bool // read State; there are no changes
	Changes  []revision.Change
	State    *revision.State // valid during the call alone
}

// Client keeps a copy of the control state by subscribing to one of several servers. One that fails logs it once and
// keeps what it held.
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

	// The loop's own.
	machine            *subscription.Client
	conn               *serverConn // nil: neither connected nor dialling
	timer              *eventloop.Timer
	pendingSubmissions map[uint64]chan<- submitResult // of submissions; bounded by the machine
	failed             bool
}

// submitResult is what came of a submission.
type submitResult struct {
	reply *catalogpb.Reply
	err   error
}

// NewClient dials at once, and again whenever it has lost its server.
func NewClient(c ClientConfig) *Client {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.OnUpdate == nil {
		c.OnUpdate = func(Update) {}
	}
	x := &Client{config: c, log: loggerOrDiscard(c.Log), loop: eventloop.NewLoop(c.Clock), done: make(chan struct{}),
		machine: subscription.NewClient(c.Machine), pendingSubmissions: map[uint64]chan<- submitResult{}}
	x.loop.AfterBatch = func() { x.step() }
	x.loop.OnPanic = x.fail
	x.loop.Post(func() {})
	go func() {
		defer close(x.done)
		x.loop.Run()
	}()
	return x
}

// InForce tells the servers which revision the data plane goes by, and what it refused since the last call.
func (c *Client) InForce(rev uint64, refused []*pb.RefusedChange) {
	c.loop.Post(func() { c.step(subscription.InForce{Revision: rev, Refused: refused}) })
}

// SetServers replaces the servers.
func (c *Client) SetServers(servers []string) {
	c.loop.Post(func() { c.step(subscription.SetServers{Servers: servers}) })
}

// Submit has a batch carried to the leader and waits for the reply. Unless the error is one of subscription's
// ErrNotConnected, ErrTooMany and ErrStopped, the batch may have been carried out.
func (c *Client) Submit(b *catalogpb.Batch, limit time.Duration) (*catalogpb.Reply, error) {
	id, got := c.nextID.Add(1), make(chan submitResult, 1)
	c.loop.Post(func() { c.submit(id, b, got) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-got:
		return a.reply, a.err
	case <-timer.C:
		c.loop.Post(func() { delete(c.pendingSubmissions, id) })
		return nil, ErrTimeout
	case <-c.done:
		return nil, subscription.ErrStopped
	}
}

func (c *Client) submit(id uint64, b *catalogpb.Batch, got chan<- submitResult) {
	if c.failed {
		got <- submitResult{err: subscription.ErrStopped}
		return
	}
	c.pendingSubmissions[id] = got
	c.step(subscription.SubmitCommands{ID: id, Batch: b})
}

// Stats counts what the client has done, and tells where it stands.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.Traffic = c.counters.traffic()
	return out
}

// Stop ends the connection and the client.
func (c *Client) Stop() {
	c.stopOnce.Do(func() {
		c.loop.Post(func() {
			c.step(subscription.Stop{})
			c.loop.Quit()
		})
		<-c.done
	})
}

// step hands events to the machine, one at a time, so that none of a connection follows that connection's end.
func (c *Client) step(events ...subscription.Event) {
	if c.failed {
		return
	}
	actions, next := c.machine.Step(c.loop.Now(), events...)
	for _, a := range actions {
		c.perform(a)
	}
	c.loop.StopTimer(c.timer)
	c.timer = c.loop.At(next, func() {}) // a step follows every batch
	c.updateStats()
}

// updateStats keeps what Stats tells.
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
	if got := c.pendingSubmissions[a.ID]; got != nil {
		got <- submitResult{a.Reply, a.Err}
		delete(c.pendingSubmissions, a.ID)
	}
}

func (c *Client) send(f *pb.SubscriberFrame) {
	if ack := f.GetAck(); ack != nil {
		c.mu.Lock()
		c.stats.InForce = ack.InForce
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

// fail ends the client after a defect; the gateway keeps what it holds.
func (c *Client) fail(cause any) {
	if c.failed {
		return
	}
	c.failed = true
	c.log.WithFields(panicFields(cause)).Error(messageClientFailed)
	c.closeConnection()
	for id, got := range c.pendingSubmissions {
		got <- submitResult{err: subscription.ErrConnectionLost}
		delete(c.pendingSubmissions, id)
	}
}
