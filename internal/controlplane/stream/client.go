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
	// Applied hears of every new state, on the client's goroutine; nil: nobody does. It must not block.
	Applied func(Update)
}

// Update is a step of the state: changes, or a whole new one.
type Update struct {
	Revision uint64
	Whole    bool // read State; there are no changes
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
	ended    chan struct{}
	stop     sync.Once

	mu    sync.Mutex
	stats ClientStats

	// The loop's own.
	machine *subscription.Client
	conn    *serverConn // nil: neither connected nor dialling
	timer   *eventloop.Timer
	answers map[uint64]chan<- answer // of submissions; bounded by the machine
	failed  bool
}

// answer is what came of a submission.
type answer struct {
	reply *catalogpb.Reply
	err   error
}

// NewClient dials at once, and again whenever it has lost its server.
func NewClient(c ClientConfig) *Client {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.Applied == nil {
		c.Applied = func(Update) {}
	}
	x := &Client{config: c, log: orDiscard(c.Log), loop: eventloop.NewLoop(c.Clock), ended: make(chan struct{}),
		machine: subscription.NewClient(c.Machine), answers: map[uint64]chan<- answer{}}
	x.loop.AfterBatch = func() { x.step() }
	x.loop.OnPanic = x.fail
	x.loop.Post(func() {})
	go func() {
		defer close(x.ended)
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
	id, got := c.nextID.Add(1), make(chan answer, 1)
	c.loop.Post(func() { c.submit(id, b, got) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-got:
		return a.reply, a.err
	case <-timer.C:
		c.loop.Post(func() { delete(c.answers, id) })
		return nil, ErrTimeout
	case <-c.ended:
		return nil, subscription.ErrStopped
	}
}

func (c *Client) submit(id uint64, b *catalogpb.Batch, got chan<- answer) {
	if c.failed {
		got <- answer{err: subscription.ErrStopped}
		return
	}
	c.answers[id] = got
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
	c.stop.Do(func() {
		c.loop.Post(func() {
			c.step(subscription.Stop{})
			c.loop.Quit()
		})
		<-c.ended
	})
}

// step hands events to the machine, one at a time, so that none of a connection follows that connection's end.
func (c *Client) step(events ...subscription.Event) {
	if c.failed {
		return
	}
	actions, next := c.machine.Step(c.loop.Now(), events...)
	for _, a := range actions {
		c.do(a)
	}
	c.loop.StopTimer(c.timer)
	c.timer = c.loop.At(next, func() {}) // a step follows every batch
	c.note()
}

// note keeps what Stats tells.
func (c *Client) note() {
	state := c.machine.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Subscribed = c.machine.Subscribed()
	c.stats.Revision, c.stats.Digest, c.stats.Records = state.Revision(), state.Digest(revision.Scope{}), state.Len()
}

func (c *Client) do(a subscription.Action) {
	switch a := a.(type) {
	case subscription.Dial:
		c.dial(a.Server)
	case subscription.Send:
		c.send(a.Frame)
	case subscription.HangUp:
		c.hangUp()
	case subscription.Apply:
		c.apply(a)
	case subscription.SubmitDone:
		c.answer(a)
	case subscription.Log:
		writeLine(c.log, &a.LogLine)
	}
}

func (c *Client) apply(a subscription.Apply) {
	if a.Whole {
		c.mu.Lock()
		c.stats.Snapshots++
		c.mu.Unlock()
	}
	c.config.Applied(Update{Revision: a.Revision, Whole: a.Whole, Changes: a.Changes, State: c.machine.State()})
}

func (c *Client) answer(a subscription.SubmitDone) {
	if got := c.answers[a.ID]; got != nil {
		got <- answer{a.Reply, a.Err}
		delete(c.answers, a.ID)
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
		c.lose(c.conn, err)
	}
}

// fail ends the client after a defect; the gateway keeps what it holds.
func (c *Client) fail(cause any) {
	if c.failed {
		return
	}
	c.failed = true
	c.log.WithFields(panicFields(cause)).Error(messageClientFailed)
	c.hangUp()
	for id, got := range c.answers {
		got <- answer{err: subscription.ErrLost}
		delete(c.answers, id)
	}
}
