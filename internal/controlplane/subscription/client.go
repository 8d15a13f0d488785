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
	// ackInterval is how long an acknowledgement may be delayed to cover more frames, ns: short compared with the 11 s in
	// which a change has to be applied, and ten acknowledgements a second at most.
	ackInterval = 100 * millisecond
	// ackThresholdBytes is the number of unacknowledged bytes that are acknowledged at once, so that the window reopens a
	// quarter at a time.
	ackThresholdBytes = DefaultWindowBytes / 4
	// maxClientSubmissions bounds a client's pending submissions; it equals the server's limit.
	maxClientSubmissions = maxSubmissions
	// minStableDuration is how long a connection has to last until its loss resets the backoff, ns. A server whose stream
	// fails repeatedly, snapshots included, is thereby retried after longer and longer delays.
	minStableDuration = 10 * second
	// dialTimeout ends a dial, ns: twice the round trip between the farthest regions and a lost SYN (1 s).
	dialTimeout = 3 * second
)

// phase is the state of a client's connection.
type phase int

const (
	phaseWaiting   phase = iota // until the next dial
	phaseDialing                // a dial is in progress
	phaseConnected              // subscribed; received frames are checked and applied
	phaseStopped
)

// Client keeps a copy of the state. The copy is kept unchanged while there is no connection and after invalid input.
type Client struct {
	config  ClientConfig
	state   *revision.State
	random  random
	faults  faults
	actions []Action

	servers      []string // in the order of placement.Order
	serverIndex  int      // index of the current one in servers
	failures     int      // consecutive ones
	closedAsBusy bool     // the last server closed the connection as BUSY
	backoff      admission.Backoff
	lossLogged   bool // the loss was logged, so the recovery has to be logged too
	diverged     bool // the state differs from the server's and needs a snapshot

	phase       phase
	dialAt      aspenshed.Nanos
	dialedAt    aspenshed.Nanos
	connectedAt aspenshed.Nanos
	lastHeard   aspenshed.Nanos // when the last frame was received

	receivedFrames     uint64 // number of the last received frame
	streamRevision     uint64 // the revision reached through this connection
	update             *partialUpdate
	snapshot           *partialSnapshot
	unackedBytes       int // bytes received since the last acknowledgement
	ackAt              aspenshed.Nanos
	appliedRevision    uint64
	pendingRefusals    []*pb.RefusedChange
	pendingSubmissions map[uint64]bool
}

// maxPendingRefusals bounds the refusals that wait for a connection; the oldest are dropped first.
const maxPendingRefusals = 256

// NewClient returns a client with an empty state. It dials with the first Step.
func NewClient(c ClientConfig) *Client {
	c = c.withDefaults()
	return &Client{config: c, state: revision.NewState(), random: random{c.Seed}, ackAt: never, dialAt: -never,
		servers: placement.Order(c.Subscriber, c.Servers), pendingSubmissions: map[uint64]bool{},
		backoff: admission.Backoff{Min: c.MinBackoff, Max: c.MaxBackoff}}
}

// State returns the client's copy. It is replaced rather than modified when an Apply is Full.
func (c *Client) State() *revision.State { return c.state }

// Subscribed reports whether the client has received a frame from the server that it subscribed to.
func (c *Client) Subscribed() bool { return c.phase == phaseConnected && c.receivedFrames > 0 }

// Step processes events and returns the actions to perform, and the time at which it has to be called again at the
// latest.
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
	case Applied:
		c.recordApplied(now, e)
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

// checkTimers does what is due: a dial, the end of an idle connection, an acknowledgement.
func (c *Client) checkTimers(now aspenshed.Nanos) {
	switch {
	case c.phase == phaseWaiting && now >= c.dialAt && len(c.servers) > 0:
		c.phase, c.dialedAt = phaseDialing, now
		c.emit(Dial{Server: c.servers[c.serverIndex]})
	case c.phase == phaseDialing && now >= c.dialedAt+dialTimeout:
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
		return c.dialedAt + dialTimeout
	case phaseConnected:
		return min(c.lastHeard+c.config.IdleTimeout, c.ackAt)
	}
	return never
}

// onConnected subscribes from the client's revision, or from none if the state has to be replaced.
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

// rejectInput closes a connection on which invalid input was received. None of that input was applied.
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
	c.lossLogged = true // logged above
	c.handleFailure(now, err, true)
}

// markDiverged requests a replacement of the state; it is logged once until the state has been replaced.
func (c *Client) markDiverged(err error) {
	if !c.diverged {
		c.log(Warn, messageDiverged, c.streamError(err))
	}
	c.diverged = true
}

// streamError adds the server, the revision and the key, if there is one, to an error.
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

// handleFailure ends a failed connection or dial and schedules the next dial after a backoff: to the next server in
// order, or to the client's first choice after a stable subscription elsewhere, so that subscribers return to a server
// that was unavailable.
func (c *Client) handleFailure(now aspenshed.Nanos, err error, closeSocket bool) {
	if !c.lossLogged {
		c.log(Warn, messageLost, c.streamError(err))
		c.lossLogged = true
	}
	stable := c.Subscribed() && now >= c.connectedAt+minStableDuration
	if stable {
		c.failures = 0
	}
	returnToFirst := c.serverIndex != 0 && stable
	c.closeConnection(err, closeSocket)
	c.serverIndex = (c.serverIndex + 1) % max(1, len(c.servers))
	if returnToFirst {
		c.serverIndex = 0
	}
	c.scheduleDial(now)
}

// scheduleDial sets the time of the next dial.
func (c *Client) scheduleDial(now aspenshed.Nanos) {
	c.dialAt = now + c.backoff.Delay(c.failures, c.random.next())
	c.failures++
}

// closeConnection drops the connection, partially received data and pending submissions.
func (c *Client) closeConnection(err error, closeSocket bool) {
	if closeSocket && (c.phase == phaseDialing || c.phase == phaseConnected) {
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

// setServers replaces the servers. A connection to a server that is still listed is kept.
func (c *Client) setServers(now aspenshed.Nanos, servers []string) {
	current := c.serverName()
	c.servers = placement.Order(c.config.Subscriber, servers)
	c.serverIndex = max(0, slices.Index(c.servers, current))
	if c.phase != phaseWaiting && c.serverName() != current {
		c.closeConnection(ErrNotConnected, true)
		c.dialAt = now
	}
}
