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
	maxPipeline  = 256                    // commands of one connection without an answer
	sweepEvery   = aspenshed.Nanos(100e6) // for clients that say nothing, and often when connections get scarce
	sweepCrowded = aspenshed.Nanos(20e6)
	unreadLimit  = aspenshed.Nanos(10e9)  // for a client to read its last answer
	crowdedLimit = aspenshed.Nanos(100e6) // for a first byte while connections are scarce
)

// Limits bound what a connection may hold on to without a request of its own:
// clients that connect and say nothing, or ask once and stay, would otherwise
// use up the descriptors that the others need.
type Limits struct {
	Silent aspenshed.Nanos // from connecting to the first whole command, and from a later command's first byte to its last
	Idle   aspenshed.Nanos // between requests
	// Beyond Roomy connections they get scarce: those idle for longest make room, if for Spare at least. 0: never.
	Roomy int
	Spare aspenshed.Nanos
	// Unanswered bounds the bytes of commands without an answer, of all connections together; 0: defaultUnanswered.
	Unanswered int64
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
	Loop     *eventloop.Loop
	Settings *aspenshed.Settings
	Limits   Limits
	Take     func(request.Query, aspenshed.Nanos) *request.Request
	Leave    func(*request.Request)
	Rejected func(string)

	unanswered atomic.Int64      // bytes, of all connections
	sessions   map[*Session]bool // the loop's
	closing    bool              // connections are closed as soon as nothing is owed on them
}

// Session is one client connection. The loop owns its slots; the goroutine
// that reads the connection only calls Post, Fatal and Gone.
type Session struct {
	manager *Manager
	conn    Conn

	slots  []*Slot // commands in order, from the first without an answer written
	closed bool
	asked  bool            // it has sent a whole command
	ending bool            // close once the slots are written
	quiet  aspenshed.Nanos // when it connected or, later, when the last answer was written
	taken  int64           // of the commands that were read, those that the loop has seen

	unanswered atomic.Int64 // bytes of commands without an answer, and of answers that wait for one before them
	overdrawn  bool         // nothing more is taken; owned by the goroutine that reads

	read  atomic.Int64 // commands that were read whole
	begun atomic.Int64 // when the first byte of a command came whose last is still missing; 0: none
}

// Slot keeps a command's place in the order of answers.
type Slot struct {
	s      *Session
	r      *request.Request
	form   func(request.Final) []byte
	answer []byte
	done   bool
	size   int // of what it keeps, in bytes
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
		s.quiet = d.Loop.Now()
	})
	return s
}

// Reading notes whether part of a command has come and the rest not yet.
func (s *Session) Reading(part bool) {
	switch {
	case !part:
		s.begun.Store(0)
	case s.begun.Load() == 0:
		s.begun.Store(int64(s.manager.Loop.Now()))
	}
}

// Post gives a command of that many bytes its slot, in order, and has f called with it on the loop.
func (s *Session) Post(size int, f func(*Slot)) {
	if s.overdrawn {
		return
	}
	size += commandOverhead
	s.read.Add(1)
	if !s.reserve(size) {
		s.overdrawn = true
		s.manager.Loop.Post(func() {
			s.taken++
			s.refuseMore("too many bytes without an answer")
		})
		return
	}
	s.manager.Loop.Post(func() {
		s.taken++
		if s.closed || s.ending {
			s.release(size)
			return
		}
		if len(s.slots) >= maxPipeline {
			s.release(size)
			s.refuseMore("too many commands without an answer on one connection")
			return
		}
		s.asked = true
		x := &Slot{s: s, size: size}
		s.slots = append(s.slots, x)
		f(x)
	})
}

// refuseMore ends the connection once the commands before have the answers that they are owed.
func (s *Session) refuseMore(why string) {
	if !s.closed && !s.ending {
		s.manager.Rejected(why)
		s.ending = true
	}
}

// Fatal answers what cannot be read, and closes once the commands before it have their answers.
func (s *Session) Fatal(answer []byte, problem string) {
	s.Post(len(answer), func(x *Slot) {
		s.manager.Rejected(problem)
		s.ending = true
		x.Fill(answer)
	})
}

// Gone ends the session: the client has closed it or taken its leave.
func (s *Session) Gone() { s.manager.Loop.Post(s.end) }

// Ask hands a query on; form turns its final answer into bytes. err is why there is no query.
func (x *Slot) Ask(q request.Query, err error, arrived aspenshed.Nanos, form func(request.Final) []byte) {
	x.form = form
	if err != nil {
		x.s.manager.Rejected(err.Error())
		x.Finish(request.Final{Verdict: request.Failed, Reason: err.Error(), Bad: true})
		return
	}
	q.Client = x
	if r := x.s.manager.Take(q, arrived); r != nil && !r.Final {
		x.r = r
	}
}

// Finish takes the one final answer.
func (x *Slot) Finish(f request.Final) { x.Fill(x.form(f)) }

// Fill sets a command's answer and writes all answers that are next in order.
func (x *Slot) Fill(b []byte) {
	s := x.s
	x.answer, x.done, x.r = b, true, nil
	if s.closed {
		return
	}
	x.size += len(b)
	s.keep(len(b))
	waits := len(s.slots) > 0 && s.slots[0] != x
	for len(s.slots) > 0 && s.slots[0].done {
		if s.conn.Write(s.slots[0].answer) != nil {
			s.end()
			return
		}
		s.release(s.slots[0].size)
		s.slots[0] = nil // else the array under the rest would keep the answer
		if s.slots = s.slots[1:]; len(s.slots) == 0 {
			s.slots = nil
		}
		s.quiet = s.manager.Loop.Now()
	}
	if waits && !s.within(0) {
		s.manager.Rejected("too many bytes without an answer")
		s.end()
		return
	}
	if (s.ending || s.manager.closing) && len(s.slots) == 0 && !s.conn.Unsent() { // else sweep ends it
		s.retire(!s.ending)
	}
}

// retire ends the connection on our part, with nothing owed on it. What the client had under way then was never read,
// and it knows that; a command that has been read is answered first. whole: so is one of which a part has come.
func (s *Session) retire(whole bool) {
	if s.conn.Shut(func() bool {
		return s.ending || s.read.Load() == s.taken && !(whole && s.begun.Load() > 0)
	}) {
		s.closed = true
		delete(s.manager.sessions, s)
	}
}

// end closes the connection at once, as its client has gone; what it still waited for has been left.
func (s *Session) end() {
	if s.closed {
		return
	}
	s.closed = true
	s.conn.Close()
	delete(s.manager.sessions, s)
	for _, x := range s.slots {
		if x.r != nil {
			s.manager.Leave(x.r)
		}
		s.release(x.size)
	}
	s.slots = nil
}

// sweep closes connections that hold no request and have reached their limits, and makes room where they are scarce.
func (d *Manager) sweep() {
	now, next := d.Loop.Now(), sweepEvery
	crowded := d.Limits.Roomy > 0 && len(d.sessions) > d.Limits.Roomy
	var spare []*Session
	for s := range d.sessions {
		switch {
		case len(s.slots) > 0:
		case now >= s.limit(crowded) && s.conn.Unsent(): // it reads nothing
			s.end()
		case now >= s.limit(crowded):
			s.retire(false)
		case crowded && s.asked && s.begun.Load() == 0 && !s.conn.Unsent() && now >= s.quiet+d.Limits.Spare:
			spare = append(spare, s)
		}
	}
	slices.SortFunc(spare, func(a, b *Session) int { return cmp.Compare(a.quiet, b.quiet) })
	for _, s := range spare[:min(len(spare), max(len(d.sessions)-d.Limits.Roomy, 0))] {
		s.retire(true)
	}
	if crowded {
		next = sweepCrowded
	}
	d.Loop.At(now+next, d.sweep)
}

// limit is when a session without a request is closed.
func (s *Session) limit(crowded bool) aspenshed.Nanos {
	begun := aspenshed.Nanos(s.begun.Load())
	switch {
	case s.conn.Unsent(): // a slow reader is owed the rest; one that does not read at all is not waited for
		return s.quiet + unreadLimit
	case s.ending:
		return 0
	case crowded && !s.asked && begun == 0:
		return s.quiet + crowdedLimit
	case !s.asked:
		return s.quiet + s.manager.Limits.Silent
	case begun > 0:
		return max(s.quiet, begun) + s.manager.Limits.Silent
	}
	return s.quiet + s.manager.Limits.Idle
}

// Sessions is the number of open ones.
func (d *Manager) Sessions() int { return len(d.sessions) }

// Halfway is the number of sessions that have sent part of a command and not yet the rest.
func (d *Manager) Halfway() (n int) {
	for s := range d.sessions {
		if s.begun.Load() > 0 {
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
			s.retire(true)
		}
	}
	return len(d.sessions)
}

// Query reads what a statement's comment says of it. Class and tenant go by name.
func (d *Manager) Query(tag sqlcomment.Tag, statement any) (q request.Query, err error) {
	q = request.Query{Name: tag.Values["id"], Statement: statement, Repeat: tag.Values["r"] == "1"}
	if q.Class = d.Class(tag.Values["c"]); q.Class < 0 {
		return q, errors.New("unknown class " + sqlcomment.Short(tag.Values["c"]))
	}
	if t, ok := tag.Values["t"]; ok && len(d.Settings.Tenants) > 0 {
		if q.Tenant = d.tenant(t); q.Tenant < 0 {
			return q, errors.New("unknown tenant " + sqlcomment.Short(t))
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
	q.Wait = aspenshed.Nanos(wait * 1e6)
	group, err := tag.Int("cluster", -1)
	if err != nil {
		return q, err
	}
	q.Group = int(group)
	after, err := tag.Int("after", 0)
	if err == nil && after > 0 {
		q.SinceCommit = max(d.Loop.Now()-eventloop.UnixMs(after), 1)
	}
	return q, err
}

// Class is the number of a class, or -1.
func (d *Manager) Class(name string) int {
	for i, c := range d.Settings.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (d *Manager) tenant(name string) int {
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
