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
	// ackThresholdBytes of frames are acknowledged at once, so that a quarter of the window at a time opens again.
	ackThresholdBytes = DefaultWindowBytes / 4
	// maxClientSubmissions bounds the submissions of a client that wait for their answers; it is the server's bound.
	maxClientSubmissions = maxSubmissions
	// minStableDuration is how long a connection has to last until a loss counts as the first again, ns. A server whose stream
	// goes wrong again and again, snapshots included, is thereby left alone for longer each time.
	minStableDuration = 10 * second
	// dialTimeout gives up a dial, ns: twice the round trip between the farthest regions and a lost SYN (1 s).
	dialTimeout = 3 * second
)

// phase is how far a client's connection is.
type phase int

const (
	phaseWaiting   phase = iota // for the next dial
	phaseDialing                // for the connection
	phaseConnected              // what comes is checked and applied
	phaseStopped
)

// Client keeps a copy of the state. What it holds stays as it is while there is no connection, and after bad input.
type Client struct {
	config  ClientConfig
	state   *revision.State
	random  random
	faults  faults
	actions []Action

	servers      []string // in the order of placement
	serverIndex  int      // the one that is dialled, by its place there
	failures     int      // in a row
	closedAsBusy bool     // the last server asked to come back later
	backoff      admission.Backoff
	lossLogged   bool // the loss was logged, and its end will be
	diverged     bool // the state has to be replaced by a snapshot

	phase       phase
	dialAt      aspenshed.Nanos
	dialledAt   aspenshed.Nanos
	connectedAt aspenshed.Nanos
	lastHeard   aspenshed.Nanos // when something came last

	receivedFrames     uint64 // the number of the last frame
	streamRevision     uint64 // the revision that this connection has brought us to
	update             *partialUpdate
	snapshot           *partialSnapshot
	unackedBytes       int // bytes received since the last acknowledgement
	ackAt              aspenshed.Nanos
	inForce            uint64
	pendingRefusals    []*pb.RefusedChange
	pendingSubmissions map[uint64]bool
}

// maxPendingRefusals bounds the refusals that wait for a connection; the oldest go first.
const maxPendingRefusals = 256

// NewClient has an empty state, and dials with the first Step.
func NewClient(c ClientConfig) *Client {
	c = c.withDefaults()
	return &Client{config: c, state: revision.NewState(), random: random{c.Seed}, ackAt: never, dialAt: -never,
		servers: placement.Order(c.Subscriber, c.Servers), pendingSubmissions: map[uint64]bool{},
		backoff: admission.Backoff{Min: c.MinBackoff, Max: c.MaxBackoff}}
}

// State is what the client holds. It is replaced, not changed, when an Apply is Whole.
func (c *Client) State() *revision.State { return c.state }

// Subscribed reports whether a server serves the client.
func (c *Client) Subscribed() bool { return c.phase == phaseConnected && c.receivedFrames > 0 }

// Step takes what happened and tells what to do, and when to be called again at the latest.
func (c *Client) Step(now aspenshed.Nanos, events ...Event) (actions []Action, next aspenshed.Nanos) {
	for _, e := range events {
		c.handleEvent(now, e)
	}
	c.checkTimers(now)
	actions, c.actions = c.actions, nil
	return actions, max(now, c.nextDeadline())
}

func (c *Client) handleEvent(now aspenshed.Nanos, e Event) {
	if c.phase == phaseStopped {
		c.rejectSubmit(e)
		return
	}
	switch e := e.(type) {
	case Connected:
		c.onConnected(now)
	case Disconnected:
		c.onDisconnected(now, e.Err)
	case Received:
		c.onFrame(now, e)
	case BadFrame:
		c.rejectInput(now, e.Err)
	case InForce:
		c.recordInForce(now, e)
	case SubmitCommands:
		c.submit(e)
	case SetServers:
		c.setServers(now, e.Servers)
	case Stop:
		c.closeConnection(ErrStopped, true)
		c.phase = phaseStopped
	}
}

func (c *Client) emit(a Action) { c.actions = append(c.actions, a) }

// checkTimers does what is due: a dial, the end of a silent connection, an acknowledgement.
func (c *Client) checkTimers(now aspenshed.Nanos) {
	switch {
	case c.phase == phaseWaiting && now >= c.dialAt && len(c.servers) > 0:
		c.phase, c.dialledAt = phaseDialing, now
		c.emit(Dial{Server: c.servers[c.serverIndex]})
	case c.phase == phaseDialing && now >= c.dialledAt+dialTimeout:
		c.handleFailure(now, ErrIdleTimeout, true)
	case c.phase == phaseConnected && now >= c.lastHeard+c.config.IdleTimeout:
		c.handleFailure(now, ErrIdleTimeout, true)
	case c.phase == phaseConnected && now >= c.ackAt:
		c.sendAck()
	}
}

func (c *Client) nextDeadline() aspenshed.Nanos {
	switch c.phase {
	case phaseWaiting:
		if len(c.servers) > 0 {
			return c.dialAt
		}
	case phaseDialing:
		return c.dialledAt + dialTimeout
	case phaseConnected:
		return min(c.lastHeard+c.config.IdleTimeout, c.ackAt)
	}
	return never
}

// onConnected subscribes: with what the client has, or with nothing if it has to be replaced.
func (c *Client) onConnected(now aspenshed.Nanos) {
	if c.phase != phaseDialing {
		return
	}
	c.phase, c.connectedAt, c.lastHeard = phaseConnected, now, now
	c.receivedFrames, c.unackedBytes, c.ackAt = 0, 0, never
	c.update, c.snapshot = nil, nil
	m := &pb.Subscribe{Cluster: c.config.Cluster, Subscriber: c.config.Subscriber, Boot: c.config.Boot,
		Scope: scopeToProto(c.config.Scope), Region: c.config.Region, Zone: c.config.Zone, Release: c.config.Release}
	if !c.diverged {
		m.Revision, m.Digest = c.state.Revision(), uint64(c.state.Digest(revision.Scope{}))
	}
	c.streamRevision = m.Revision
	c.emit(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Subscribe{Subscribe: m}}})
}

func scopeToProto(s revision.Scope) *pb.Scope {
	m := &pb.Scope{Sites: s.Sites}
	for _, g := range s.Groups {
		m.Groups = append(m.Groups, &pb.GroupName{Wire: g.Wire, Group: g.ID})
	}
	return m
}

func (c *Client) onDisconnected(now aspenshed.Nanos, err error) {
	if c.phase != phaseDialing && c.phase != phaseConnected {
		return
	}
	if err == nil {
		err = ErrConnectionEnded
	}
	c.handleFailure(now, err, false)
}

// rejectInput ends a connection on which something came that can't be right. Nothing of it was applied.
func (c *Client) rejectInput(now aspenshed.Nanos, err error) {
	if c.phase != phaseConnected {
		return
	}
	var diverged *DigestError
	if errors.As(err, &diverged) {
		c.markDiverged(err)
	} else {
		c.log(Warn, messageInvalidInput, c.streamError(err))
	}
	c.lossLogged = true // it has been logged
	c.handleFailure(now, err, true)
}

// markDiverged has the state replaced; it is logged once until that has been done.
func (c *Client) markDiverged(err error) {
	if !c.diverged {
		c.log(Warn, messageDiverged, c.streamError(err))
	}
	c.diverged = true
}

// streamError is an error with its place.
func (c *Client) streamError(err error) error {
	e := &StreamError{Server: c.serverName(), Revision: c.state.Revision(), Err: err}
	var content *InvalidMessageError
	if errors.As(err, &content) {
		e.Key = content.Key
	}
	return e
}

func (c *Client) serverName() string {
	if c.serverIndex >= len(c.servers) {
		return ""
	}
	return c.servers[c.serverIndex]
}

func (c *Client) log(level Level, message string, err error) {
	line := LogLine{Level: level, Message: message, Subscriber: c.config.Subscriber, Server: c.serverName(),
		Revision: c.state.Revision(), Err: err}
	var located *StreamError
	if errors.As(err, &located) {
		line.Key = located.Key
	}
	c.emit(Log{line})
}

// handleFailure ends an attempt that went wrong, and has another server dialled after a backoff: the next in order, but the
// client's own again after a subscription elsewhere, so that subscribers come back to a server that was away.
func (c *Client) handleFailure(now aspenshed.Nanos, err error, hangUp bool) {
	if !c.lossLogged {
		c.log(Warn, messageLost, c.streamError(err))
		c.lossLogged = true
	}
	stable := c.Subscribed() && now >= c.connectedAt+minStableDuration
	if stable {
		c.failures = 0
	}
	away := c.serverIndex != 0 && stable
	c.closeConnection(err, hangUp)
	c.serverIndex = (c.serverIndex + 1) % max(1, len(c.servers))
	if away {
		c.serverIndex = 0
	}
	c.scheduleDial(now)
}

// scheduleDial sets the instant of the next dial.
func (c *Client) scheduleDial(now aspenshed.Nanos) {
	c.dialAt = now + c.backoff.Delay(c.failures, c.random.next())
	c.failures++
}

// closeConnection forgets the connection and what was under way on it.
func (c *Client) closeConnection(err error, hangUp bool) {
	if hangUp && (c.phase == phaseDialing || c.phase == phaseConnected) {
		c.emit(CloseConnection{})
	}
	c.phase = phaseWaiting
	c.update, c.snapshot, c.ackAt = nil, nil, never
	for _, id := range sortedIDs(c.pendingSubmissions) {
		c.emit(SubmitDone{ID: id, Err: errors.Join(ErrConnectionLost, err)})
	}
	clear(c.pendingSubmissions)
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
	c.serverIndex = max(0, slices.Index(c.servers, current))
	if c.phase != phaseWaiting && c.serverName() != current {
		c.closeConnection(ErrNotConnected, true)
		c.dialAt = now
	}
}
