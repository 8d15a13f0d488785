// Package session holds what the two front ends share: client sessions that write responses in the order of their
// commands, and the parsing of the routing fields in a statement's comment.
package session

import (
	"sync/atomic"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/membudget"
)

// Limits bound how long a connection may stay open without a request. Clients that connect and send nothing, or stay
// connected after one request, would otherwise use up the descriptors that other clients need.
type Limits struct {
	// CommandTimeout runs from connecting to the end of the first command, and from the first byte of a later command
	// to its last.
	CommandTimeout aspenshed.Nanos
	IdleTimeout    aspenshed.Nanos // between requests
	// Above ReclaimAbove connections, those that have been idle the longest are closed, provided that they have been
	// idle for at least ReclaimMinIdle. 0: never.
	ReclaimAbove   int
	ReclaimMinIdle aspenshed.Nanos
}

// Conn is a client connection, independent of its wire protocol.
type Conn interface {
	Write([]byte) error
	// Unsent returns how many written bytes have not been sent yet: Close would drop them.
	Unsent() int
	// Resume has the connection read again after the session was paused.
	Resume()
	// Shutdown closes the connection gracefully, unless idle reports false once all received bytes have been read.
	Shutdown(idle func() bool) bool
	Close()
	// Peer returns the address of the client.
	Peer() string
}

// Manager connects the sessions of a front end to its pipeline.
type Manager struct {
	Loop          *eventloop.Loop
	Settings      *aspenshed.Settings
	Limits        Limits
	Submit        func(request.Query, aspenshed.Nanos) *request.Request
	Cancel        func(*request.Request)
	CountRejected func(peer, reason string)
	// Budget counts the memory of commands and responses.
	Budget *membudget.Budget
	// OnClose, if set, is called when a connection ends, with the number of its commands without a response.
	OnClose func(reason request.CloseReason, pending int)
	// CountShed, if set, is called for each command that is refused for want of memory.
	CountShed func()

	responseSizes map[int]responseSize // by class
	sessions      map[*Session]bool    // owned by the loop
	closing       bool                 // connections are closed as soon as they have no pending response
}

// Session is one client connection. The loop owns its slots; the goroutine that reads the connection only calls the methods
// that are exported.
type Session struct {
	manager *Manager
	conn    Conn
	lane    *eventloop.Lane // of its commands
	encode  func(request.Response) []byte

	slots        []*Slot // commands in order, from the first whose response is not written
	peer         string  // the client's address, once it was needed
	closed       bool
	sentCommand  bool            // a whole command has been received
	ending       bool            // close once all slots are written
	idleSince    aspenshed.Nanos // when it connected or, later, when the last response was written
	commandsSeen int64           // commands read that the loop has processed

	queued     []*Slot // those whose query waits for room for its response, in order
	submitting bool    // submitQueued is running
	// lastExpected is when the client expects the last response at the latest. 0: none is pending.
	lastExpected aspenshed.Nanos

	commandBytes  atomic.Int64 // memory of commands without a response
	heldBytes     atomic.Int64 // memory that the client has the front end keep
	responseBytes int64        // memory of responses that are expected or wait; owned by the loop
	responseSize  responseSize // that is expected of the next response; owned by the loop
	// typicalResponse is responseSize for the goroutine that reads the connection.
	typicalResponse atomic.Int64

	unanswered  atomic.Int64    // commands that were read and have no response
	paused      atomic.Bool     // the connection is not read until resume
	blocked     atomic.Bool     // responses wait until the client has read what was written
	inputEnded  atomic.Bool     // no further input is used
	left        atomic.Bool     // the client has left
	behindSince aspenshed.Nanos // when data may have been left in the kernel; 0: none. Owned by the reading goroutine

	commandsRead atomic.Int64 // commands that were read completely
	partialSince atomic.Int64 // arrival of the first byte of an incomplete command; 0: none
	partialBytes atomic.Int64 // memory of an incomplete command
}

// Slot keeps a command's place in the order of responses.
type Slot struct {
	session  *Session
	request  *request.Request
	encode   func(request.Response) []byte
	response []byte
	done     bool
	size     int   // memory of the command
	reserved int64 // memory that is reserved for the response, or that it occupies

	query    request.Query // once it was passed to Submit
	arrived  aspenshed.Nanos
	queuedAt aspenshed.Nanos
	until    aspenshed.Nanos // when the client expects this response at the latest: not before those to earlier commands
}

// Open creates the session of a connection. encode encodes responses that need no backend.
func (m *Manager) Open(c Conn, encode func(request.Response) []byte) *Session {
	s := &Session{manager: m, conn: c, lane: m.Loop.NewLane(), encode: encode}
	m.Loop.Post(func() {
		if m.sessions == nil {
			m.sessions = map[*Session]bool{}
			m.sweep()
		}
		m.sessions[s] = true
		s.idleSince = m.Loop.Now()
	})
	return s
}

// SetPartial records whether an incomplete command has been received.
func (s *Session) SetPartial(part bool) {
	switch {
	case !part:
		s.partialSince.Store(0)
	case s.partialSince.Load() == 0:
		s.partialSince.Store(int64(s.manager.Loop.Now()))
	}
}

// Enqueue reserves the next slot for a command of size bytes and calls f with it on the loop. Without memory for the
// command, it is refused.
func (s *Session) Enqueue(size int, f func(*Slot)) {
	if !s.reserveCommand(size + commandOverhead) {
		s.Shed()
		return
	}
	s.enqueueReserved(size+commandOverhead, f)
}

// enqueueReserved is Enqueue for a command whose memory is reserved.
func (s *Session) enqueueReserved(size int, f func(*Slot)) {
	if s.inputEnded.Load() {
		s.releaseCommand(size)
		return
	}
	s.commandsRead.Add(1)
	s.unanswered.Add(1)
	s.lane.Post(func() {
		s.commandsSeen++
		if s.closed || s.left.Load() {
			s.releaseCommand(size)
			return
		}
		s.sentCommand = true
		x := &Slot{session: s, size: size}
		s.slots = append(s.slots, x)
		f(x)
	})
}

func (s *Session) countRejected(reason string) { s.manager.CountRejected(s.peerAddress(), reason) }

// peerAddress returns the client's address, which is formatted once.
func (s *Session) peerAddress() string {
	if s.peer == "" {
		s.peer = s.conn.Peer()
	}
	return s.peer
}

// Fatal responds to malformed input, and closes the connection once the preceding commands have their responses. Further
// input is not read.
func (s *Session) Fatal(response []byte, problem string) {
	s.enqueueReserved(0, func(x *Slot) {
		s.countRejected(problem)
		s.ending = true
		x.SetResponse(response)
	})
	s.inputEnded.Store(true)
}

// InputEnded reports whether further input is dropped.
func (s *Session) InputEnded() bool { return s.inputEnded.Load() }

// ClientClosed ends the session after the client has closed the connection or asked to end it. Commands that wait for their
// turn are not taken any more.
func (s *Session) ClientClosed() {
	s.inputEnded.Store(true)
	s.left.Store(true)
	s.manager.Loop.Post(func() { s.closeNow(request.ClosedByClient) })
}

// Released gives back what the client had the front end keep, after the connection has ended.
func (s *Session) Released() { s.ReserveHeld(-int(s.heldBytes.Load())) }

// responseTooLarge is the reason of a failure: the query has run, and its response is larger than any that the protocols
// allow, has to wait for an earlier one, and there is no memory for it.
const responseTooLarge = "response too large to wait for an earlier one"

// Submit passes a query to the pipeline, once there is room for its response; encode turns its response into bytes. A non-nil err rejects the query instead.
func (x *Slot) Submit(q request.Query, err error, arrived aspenshed.Nanos, encode func(request.Response) []byte) {
	x.encode = encode
	if err != nil {
		x.session.countRejected(err.Error())
		x.Respond(request.Response{Status: request.Failed, Reason: err.Error(), Invalid: true})
		return
	}
	q.Client = x
	x.enqueue(q, arrived)
}

// Respond implements request.Client: it takes the one response to the query.
func (x *Slot) Respond(f request.Response) {
	s := x.session
	if s.closed {
		return
	}
	b := x.encode(f)
	if f.Status == request.Served {
		s.observeResponse(x.query.Class, len(b))
	}
	if !x.reserveLarger(int64(len(b))) {
		s.countRejected(responseTooLarge)
		b = x.encode(request.Response{Status: request.Failed, Reason: responseTooLarge})
	}
	x.SetResponse(b)
}

// Left implements request.Client.
func (x *Slot) Left() bool { return x.session.left.Load() }

// Peer implements request.Client.
func (x *Slot) Peer() string { return x.session.peerAddress() }

// SetResponse sets a command's response and writes all responses that are next in order.
func (x *Slot) SetResponse(b []byte) {
	s := x.session
	x.done, x.request = true, nil
	if s.closed {
		return
	}
	x.holdResponse(b)
	s.advance()
}

// advance writes the responses that are next in order, and submits the queries for whose responses there is room then.
func (s *Session) advance() {
	if s.closed {
		return
	}
	if !s.writeNext() {
		s.closeNow(request.ClosedWriteFailed)
		return
	}
	s.submitQueued()
	if s.closed {
		return
	}
	if (s.ending || s.manager.closing) && len(s.slots) == 0 && s.conn.Unsent() == 0 { // else sweep closes it
		s.closeGracefully(!s.ending, request.ClosedDraining)
	}
	s.resume()
}

// writeNext writes the responses that are next in order, until one is not sent at once; it returns false if that fails.
func (s *Session) writeNext() bool {
	for len(s.slots) > 0 && s.slots[0].done && s.writable() {
		x := s.slots[0]
		if s.conn.Write(x.response) != nil {
			return false
		}
		x.release()
		s.unanswered.Add(-1)
		s.slots[0] = nil // else the backing array would keep the slot alive
		if s.slots = s.slots[1:]; len(s.slots) == 0 {
			s.slots, s.lastExpected = nil, 0
		}
		s.idleSince = s.manager.Loop.Now()
	}
	return true
}
