package subscription

import (
	"errors"
	"slices"

	"aspenshed"
	"aspenshed/internal/controlplane/admission"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/placement"
	"aspenshed/internal/controlplane/revision"
)

const (
	// ackInterval is how long an acknowledgement may wait for more to acknowledge, ns: small against the 11 s, and ten
	// a second at most.
	ackInterval = 100 * millisecond
	// ackBytes of frames are acknowledged at once, so that a quarter of the window at a time opens again.
	ackBytes = DefaultWindowBytes / 4
	// maxUnanswered bounds the submissions of a client that wait for their answers; it is the server's bound.
	maxUnanswered = maxSubmissions
	// stableAfter is how long a connection has to last until a loss counts as the first again, ns. A server whose stream
	// goes wrong again and again, snapshots included, is thereby left alone for longer each time.
	stableAfter = 10 * second
	// dialTimeout gives up a dial, ns: twice the round trip between the farthest regions and a lost SYN (1 s).
	dialTimeout = 3 * second
)

// phase is how far a client's connection is.
type phase int

const (
	waiting    phase = iota // for the next dial
	dialling                // for the connection
	subscribed              // what comes is checked and applied
	stopped
)

// Client keeps a copy of the state. What it holds stays as it is while there is no connection, and after bad input.
type Client struct {
	config  ClientConfig
	state   *revision.State
	random  random
	faults  faults
	actions []Action

	servers  []string // in the order of placement
	server   int      // the one that is dialled, by its place there
	failures int      // in a row
	busy     bool     // the last server asked to come back later
	backoff  admission.Backoff
	lost     bool // the loss was logged, and its end will be
	diverged bool // the state has to be replaced by a snapshot

	phase       phase
	dialAt      aspenshed.Nanos
	dialledAt   aspenshed.Nanos
	connectedAt aspenshed.Nanos
	heard       aspenshed.Nanos // when something came last

	received   uint64 // the number of the last frame
	position   uint64 // the revision that this connection has brought us to
	step       *stagedStep
	snapshot   *stagedSnapshot
	unacked    int // bytes received since the last acknowledgement
	ackAt      aspenshed.Nanos
	inForce    uint64
	refused    []*pb.RefusedChange
	unanswered map[uint64]bool
}

// maxRefused bounds the refusals that wait for a connection; the oldest go first.
const maxRefused = 256

// NewClient has an empty state, and dials with the first Step.
func NewClient(c ClientConfig) *Client {
	c = c.withDefaults()
	return &Client{config: c, state: revision.NewState(), random: random{c.Seed}, ackAt: never, dialAt: -never,
		servers: placement.Order(c.Subscriber, c.Servers), unanswered: map[uint64]bool{},
		backoff: admission.Backoff{Min: c.MinBackoff, Max: c.MaxBackoff}}
}

// State is what the client holds. It is replaced, not changed, when an Apply is Whole.
func (c *Client) State() *revision.State { return c.state }

// Subscribed reports whether a server serves the client.
func (c *Client) Subscribed() bool { return c.phase == subscribed && c.received > 0 }

// Step takes what happened and tells what to do, and when to be called again at the latest.
func (c *Client) Step(now aspenshed.Nanos, events ...Event) (actions []Action, next aspenshed.Nanos) {
	for _, e := range events {
		c.take(now, e)
	}
	c.checkTimes(now)
	actions, c.actions = c.actions, nil
	return actions, max(now, c.next())
}

func (c *Client) take(now aspenshed.Nanos, e Event) {
	if c.phase == stopped {
		c.refuseSubmit(e)
		return
	}
	switch e := e.(type) {
	case Connected:
		c.connected(now)
	case Disconnected:
		c.disconnected(now, e.Err)
	case Received:
		c.receivedFrame(now, e)
	case BadFrame:
		c.badInput(now, e.Err)
	case InForce:
		c.noteInForce(now, e)
	case SubmitCommands:
		c.submit(e)
	case SetServers:
		c.setServers(now, e.Servers)
	case Stop:
		c.end(ErrStopped, true)
		c.phase = stopped
	}
}

func (c *Client) do(a Action) { c.actions = append(c.actions, a) }

// checkTimes does what is due: a dial, the end of a silent connection, an acknowledgement.
func (c *Client) checkTimes(now aspenshed.Nanos) {
	switch {
	case c.phase == waiting && now >= c.dialAt && len(c.servers) > 0:
		c.phase, c.dialledAt = dialling, now
		c.do(Dial{Server: c.servers[c.server]})
	case c.phase == dialling && now >= c.dialledAt+dialTimeout:
		c.fail(now, ErrSilence, true)
	case c.phase == subscribed && now >= c.heard+c.config.Silence:
		c.fail(now, ErrSilence, true)
	case c.phase == subscribed && now >= c.ackAt:
		c.acknowledge()
	}
}

func (c *Client) next() aspenshed.Nanos {
	switch c.phase {
	case waiting:
		if len(c.servers) > 0 {
			return c.dialAt
		}
	case dialling:
		return c.dialledAt + dialTimeout
	case subscribed:
		return min(c.heard+c.config.Silence, c.ackAt)
	}
	return never
}

// connected subscribes: with what the client has, or with nothing if it has to be replaced.
func (c *Client) connected(now aspenshed.Nanos) {
	if c.phase != dialling {
		return
	}
	c.phase, c.connectedAt, c.heard = subscribed, now, now
	c.received, c.unacked, c.ackAt = 0, 0, never
	c.step, c.snapshot = nil, nil
	m := &pb.Subscribe{Cluster: c.config.Cluster, Subscriber: c.config.Subscriber, Boot: c.config.Boot,
		Scope: wireScope(c.config.Scope), Region: c.config.Region, Zone: c.config.Zone, Release: c.config.Release}
	if !c.diverged {
		m.Revision, m.Digest = c.state.Revision(), uint64(c.state.Digest(revision.Scope{}))
	}
	c.position = m.Revision
	c.do(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Subscribe{Subscribe: m}}})
}

func wireScope(s revision.Scope) *pb.Scope {
	m := &pb.Scope{Sites: s.Sites}
	for _, g := range s.Groups {
		m.Groups = append(m.Groups, &pb.GroupName{Wire: g.Wire, Group: g.ID})
	}
	return m
}

func (c *Client) disconnected(now aspenshed.Nanos, err error) {
	if c.phase != dialling && c.phase != subscribed {
		return
	}
	if err == nil {
		err = ErrEnded
	}
	c.fail(now, err, false)
}

// badInput ends a connection on which something came that can't be right. Nothing of it was applied.
func (c *Client) badInput(now aspenshed.Nanos, err error) {
	if c.phase != subscribed {
		return
	}
	var diverged *DigestError
	if errors.As(err, &diverged) {
		c.noteDiverged(err)
	} else {
		c.log(Warn, messageBadInput, c.located(err))
	}
	c.lost = true // it has been logged
	c.fail(now, err, true)
}

// noteDiverged has the state replaced; it is logged once until that has been done.
func (c *Client) noteDiverged(err error) {
	if !c.diverged {
		c.log(Warn, messageDiverged, c.located(err))
	}
	c.diverged = true
}

// located is an error with its place.
func (c *Client) located(err error) error {
	e := &StreamError{Server: c.serverName(), Revision: c.state.Revision(), Err: err}
	var content *ContentError
	if errors.As(err, &content) {
		e.Key = content.Key
	}
	return e
}

func (c *Client) serverName() string {
	if c.server >= len(c.servers) {
		return ""
	}
	return c.servers[c.server]
}

func (c *Client) log(level Level, message string, err error) {
	line := LogLine{Level: level, Message: message, Subscriber: c.config.Subscriber, Server: c.serverName(),
		Revision: c.state.Revision(), Err: err}
	var located *StreamError
	if errors.As(err, &located) {
		line.Key = located.Key
	}
	c.do(Log{line})
}

// fail ends an attempt that went wrong, and has another server dialled after a backoff: the next in order, but the
// client's own again after a subscription elsewhere, so that subscribers come back to a server that was away.
func (c *Client) fail(now aspenshed.Nanos, err error, hangUp bool) {
	if !c.lost {
		c.log(Warn, messageLost, c.located(err))
		c.lost = true
	}
	stable := c.Subscribed() && now >= c.connectedAt+stableAfter
	if stable {
		c.failures = 0
	}
	away := c.server != 0 && stable
	c.end(err, hangUp)
	c.server = (c.server + 1) % max(1, len(c.servers))
	if away {
		c.server = 0
	}
	c.retry(now)
}

// retry sets the instant of the next dial.
func (c *Client) retry(now aspenshed.Nanos) {
	c.dialAt = now + c.backoff.Delay(c.failures, c.random.next())
	c.failures++
}

// end forgets the connection and what was under way on it.
func (c *Client) end(err error, hangUp bool) {
	if hangUp && (c.phase == dialling || c.phase == subscribed) {
		c.do(HangUp{})
	}
	c.phase = waiting
	c.step, c.snapshot, c.ackAt = nil, nil, never
	for _, id := range sortedIDs(c.unanswered) {
		c.do(SubmitDone{ID: id, Err: errors.Join(ErrLost, err)})
	}
	clear(c.unanswered)
}

func sortedIDs(ids map[uint64]bool) []uint64 {
	out := make([]uint64, 0, len(ids))
	for id := range ids {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// setServers takes new servers; a connection to one of them stays.
func (c *Client) setServers(now aspenshed.Nanos, servers []string) {
	current := c.serverName()
	c.servers = placement.Order(c.config.Subscriber, servers)
	c.server = max(0, slices.Index(c.servers, current))
	if c.phase != waiting && c.serverName() != current {
		c.end(ErrNotConnected, true)
		c.dialAt = now
	}
}
