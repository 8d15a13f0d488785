// Package session holds what the two fronts share: sessions whose answers keep the
// order of their commands, and the reading of a statement's comment.
package session

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync/atomic"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	maxPendingCommands      = 256                    // commands of one connection without an answer
	sweepInterval           = aspenshed.Nanos(100e6) // for clients that say nothing, and often when connections get scarce
	crowdedSweepInterval    = aspenshed.Nanos(20e6)
	unreadTimeout           = aspenshed.Nanos(10e9)  // for a client to read its last answer
	crowdedFirstByteTimeout = aspenshed.Nanos(100e6) // for a first byte while connections are scarce
)

// Limits bound what a connection may hold on to without a request of its own:
// clients that connect and say nothing, or ask once and stay, would otherwise
// use up the descriptors that the others need.
type Limits struct {
	CommandTimeout aspenshed.Nanos // from connecting to the first whole command, and from a later command's first byte to its last
	IdleTimeout    aspenshed.Nanos // between requests
	// Beyond ReclaimAbove connections they get scarce: those idle for longest make room, if for Spare at least. 0: never.
	ReclaimAbove   int
	ReclaimMinIdle aspenshed.Nanos
	// MaxPendingBytes bounds the bytes of commands without an answer, of all connections together; 0: defaultUnanswered.
	MaxPendingBytes int64
}

// Conn is a client's connection, whatever its wire.
type Conn interface {
	Write([]byte) error
	// Unsent tells whether some of what was written has not left: a close would drop it.
	Unsent() bool
	// Shut ends the connection in order, unless what has come till then leaves it not idle.
	Shut(idle func() bool) bool
	Close()
}

// Manager is where a front's sessions meet their pipeline.
type Manager struct {
	Loop          *eventloop.Loop
	Settings      *aspenshed.Settings
	Limits        Limits
	Submit        func(request.Query, aspenshed.Nanos) *request.Request
	Cancel        func(*request.Request)
	CountRejected func(string)

	pendingBytes atomic.Int64      // bytes, of all connections
	sessions     map[*Session]bool // the loop's
	closing      bool              // connections are closed as soon as nothing is owed on them
}

// Session is one client connection. The loop owns its slots; the goroutine
// that reads the connection only calls Post, Fatal and Gone.
type Session struct {
	manager *Manager
	conn    Conn

	slots        []*Slot // commands in order, from the first without an answer written
	closed       bool
	sentCommand  bool            // it has sent a whole command
	ending       bool            // close once the slots are written
	idleSince    aspenshed.Nanos // when it connected or, later, when the last answer was written
	commandsSeen int64           // of the commands that were read, those that the loop has seen

	pendingBytes atomic.Int64 // bytes of commands without an answer, and of answers that wait for one before them
	overLimit    bool         // nothing more is taken; owned by the goroutine that reads

	commandsRead atomic.Int64 // commands that were read whole
	partialSince atomic.Int64 // when the first byte of a command came whose last is still missing; 0: none
}

// Slot keeps a command's place in the order of answers.
type Slot struct {
	session  *Session
	request  *request.Request
	encode   func(request.Response) []byte
	response []byte
	done     bool
	size     int // of what it keeps, in bytes
}

// Open makes a session for a connection.
func (d *Manager) Open(c Conn) *Session {
	s := &Session{manager: d, conn: c}
	d.Loop.Post(func() {
		if d.sessions == nil {
			d.sessions = map[*Session]bool{}
			d.sweep()
		}
		d.sessions[s] = true
		s.idleSince = d.Loop.Now()
	})
	return s
}

// SetPartial notes whether part of a command has come and the rest not yet.
func (s *Session) SetPartial(part bool) {
	switch {
	case !part:
		s.partialSince.Store(0)
	case s.partialSince.Load() == 0:
		s.partialSince.Store(int64(s.manager.Loop.Now()))
	}
}

// Enqueue gives a command of that many bytes its slot, in order, and has f called with it on the loop.
func (s *Session) Enqueue(size int, f func(*Slot)) {
	if s.overLimit {
		return
	}
	size += commandOverhead
	s.commandsRead.Add(1)
	if !s.reserve(size) {
		s.overLimit = true
		s.manager.Loop.Post(func() {
			s.commandsSeen++
			s.rejectFurther("too many bytes without an answer")
		})
		return
	}
	s.manager.Loop.Post(func() {
		s.commandsSeen++
		if s.closed || s.ending {
			s.releasePending(size)
			return
		}
		if len(s.slots) >= maxPendingCommands {
			s.releasePending(size)
			s.rejectFurther("too many commands without an answer on one connection")
			return
		}
		s.sentCommand = true
		x := &Slot{session: s, size: size}
		s.slots = append(s.slots, x)
		f(x)
	})
}

// rejectFurther ends the connection once the commands before have the answers that they are owed.
func (s *Session) rejectFurther(why string) {
	if !s.closed && !s.ending {
		s.manager.CountRejected(why)
		s.ending = true
	}
}

// Fatal answers what cannot be read, and closes once the commands before it have their answers.
func (s *Session) Fatal(answer []byte, problem string) {
	s.Enqueue(len(answer), func(x *Slot) {
		s.manager.CountRejected(problem)
		s.ending = true
		x.SetResponse(answer)
	})
}

// ClientClosed ends the session: the client has closed it or taken its leave.
func (s *Session) ClientClosed() { s.manager.Loop.Post(s.closeNow) }

// Submit hands a query on; form turns its final answer into bytes. err is why there is no query.
func (x *Slot) Submit(q request.Query, err error, arrived aspenshed.Nanos, form func(request.Response) []byte) {
	x.encode = form
	if err != nil {
		x.session.manager.CountRejected(err.Error())
		x.Respond(request.Response{Status: request.Failed, Reason: err.Error(), Invalid: true})
		return
	}
	q.Client = x
	if r := x.session.manager.Submit(q, arrived); r != nil && !r.Responded {
		x.request = r
	}
}

// Respond takes the one final answer.
func (x *Slot) Respond(f request.Response) { x.SetResponse(x.encode(f)) }

// SetResponse sets a command's answer and writes all answers that are next in order.
func (x *Slot) SetResponse(b []byte) {
	s := x.session
	x.response, x.done, x.request = b, true, nil
	if s.closed {
		return
	}
	x.size += len(b)
	s.addPending(len(b))
	waits := len(s.slots) > 0 && s.slots[0] != x
	for len(s.slots) > 0 && s.slots[0].done {
		if s.conn.Write(s.slots[0].response) != nil {
			s.closeNow()
			return
		}
		s.releasePending(s.slots[0].size)
		s.slots[0] = nil // else the array under the rest would keep the answer
		if s.slots = s.slots[1:]; len(s.slots) == 0 {
			s.slots = nil
		}
		s.idleSince = s.manager.Loop.Now()
	}
	if waits && !s.withinLimits(0) {
		s.manager.CountRejected("too many bytes without an answer")
		s.closeNow()
		return
	}
	if (s.ending || s.manager.closing) && len(s.slots) == 0 && !s.conn.Unsent() { // else sweep ends it
		s.closeGracefully(!s.ending)
	}
}

// closeGracefully ends the connection on our part, with nothing owed on it. What the client had under way then was never read,
// and it knows that; a command that has been read is answered first. whole: so is one of which a part has come.
func (s *Session) closeGracefully(whole bool) {
	if s.conn.Shut(func() bool {
		return s.ending || s.commandsRead.Load() == s.commandsSeen && !(whole && s.partialSince.Load() > 0)
	}) {
		s.closed = true
		delete(s.manager.sessions, s)
	}
}

// closeNow closes the connection at once, as its client has gone; what it still waited for has been left.
func (s *Session) closeNow() {
	if s.closed {
		return
	}
	s.closed = true
	s.conn.Close()
	delete(s.manager.sessions, s)
	for _, x := range s.slots {
		if x.request != nil {
			s.manager.Cancel(x.request)
		}
		s.releasePending(x.size)
	}
	s.slots = nil
}

// sweep closes connections that hold no request and have reached their limits, and makes room where they are scarce.
func (d *Manager) sweep() {
	now, next := d.Loop.Now(), sweepInterval
	crowded := d.Limits.ReclaimAbove > 0 && len(d.sessions) > d.Limits.ReclaimAbove
	var spare []*Session
	for s := range d.sessions {
		switch {
		case len(s.slots) > 0:
		case now >= s.deadline(crowded) && s.conn.Unsent(): // it reads nothing
			s.closeNow()
		case now >= s.deadline(crowded):
			s.closeGracefully(false)
		case crowded && s.sentCommand && s.partialSince.Load() == 0 && !s.conn.Unsent() && now >= s.idleSince+d.Limits.ReclaimMinIdle:
			spare = append(spare, s)
		}
	}
	slices.SortFunc(spare, func(a, b *Session) int { return cmp.Compare(a.idleSince, b.idleSince) })
	for _, s := range spare[:min(len(spare), max(len(d.sessions)-d.Limits.ReclaimAbove, 0))] {
		s.closeGracefully(true)
	}
	if crowded {
		next = crowdedSweepInterval
	}
	d.Loop.At(now+next, d.sweep)
}

// deadline is when a session without a request is closed.
func (s *Session) deadline(crowded bool) aspenshed.Nanos {
	begun := aspenshed.Nanos(s.partialSince.Load())
	switch {
	case s.conn.Unsent(): // a slow reader is owed the rest; one that does not read at all is not waited for
		return s.idleSince + unreadTimeout
	case s.ending:
		return 0
	case crowded && !s.sentCommand && begun == 0:
		return s.idleSince + crowdedFirstByteTimeout
	case !s.sentCommand:
		return s.idleSince + s.manager.Limits.CommandTimeout
	case begun > 0:
		return max(s.idleSince, begun) + s.manager.Limits.CommandTimeout
	}
	return s.idleSince + s.manager.Limits.IdleTimeout
}

// SessionCount is the number of open ones.
func (d *Manager) SessionCount() int { return len(d.sessions) }

// PartialSessions is the number of sessions that have sent part of a command and not yet the rest.
func (d *Manager) PartialSessions() (n int) {
	for s := range d.sessions {
		if s.partialSince.Load() > 0 {
			n++
		}
	}
	return n
}

// CloseIdle closes connections between requests, from now on each as soon as it has its last answer, and reports how
// many remain.
func (d *Manager) CloseIdle() (left int) {
	d.closing = true
	for s := range d.sessions {
		if len(s.slots) == 0 && !s.conn.Unsent() {
			s.closeGracefully(true)
		}
	}
	return len(d.sessions)
}

// BuildQuery reads what a statement's comment says of it. Class and tenant go by name.
func (d *Manager) BuildQuery(tag sqlcomment.Statement, statement any) (q request.Query, err error) {
	q = request.Query{ExternalID: tag.Fields["id"], Statement: statement, IsRetry: tag.Fields["r"] == "1"}
	if q.Class = d.ClassIndex(tag.Fields["c"]); q.Class < 0 {
		return q, errors.New("unknown class " + sqlcomment.QuoteTruncated(tag.Fields["c"]))
	}
	if t, ok := tag.Fields["t"]; ok && len(d.Settings.Tenants) > 0 {
		if q.Tenant = d.tenantIndex(t); q.Tenant < 0 {
			return q, errors.New("unknown tenant " + sqlcomment.QuoteTruncated(t))
		}
	}
	if n := d.Settings.Classes[q.Class].Consistency; n == aspenshed.ReadYourWrites || n == aspenshed.Write {
		q.Session = sessionKey(tag.SQL)
	}
	wait, err := tag.Int("d", 0)
	if err != nil {
		return q, err
	}
	if wait <= 0 || wait > 1e7 {
		return q, errors.New("comment: d is missing or out of range")
	}
	q.Timeout = aspenshed.Nanos(wait * 1e6)
	group, err := tag.Int("cluster", -1)
	if err != nil {
		return q, err
	}
	q.Group = int(group)
	after, err := tag.Int("after", 0)
	if err == nil && after > 0 {
		q.SinceCommit = max(d.Loop.Now()-eventloop.FromUnixMillis(after), 1)
	}
	return q, err
}

// ClassIndex is the number of a class, or -1.
func (d *Manager) ClassIndex(name string) int {
	for i, c := range d.Settings.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (d *Manager) tenantIndex(name string) int {
	for i, t := range d.Settings.Tenants {
		if t.Name == name {
			return i
		}
	}
	return -1
}

// sessionKey is the first quoted value of a statement.
func sessionKey(sql string) string {
	parts := strings.SplitN(sql, "'", 3)
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}
