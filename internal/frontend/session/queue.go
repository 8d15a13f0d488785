package session

import (
	"cmp"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
)

// A response that has to wait, for an earlier one or for the client to read, is kept in memory. What has run can't be
// refused any more, so the memory of such a response is reserved before its query is submitted. Until there is room, the
// query is queued on its connection. The query that is next in order is always submitted: its response is written at once.

// enqueue submits a query once there is room for its response.
func (x *Slot) enqueue(q request.Query, arrived aspenshed.Nanos) {
	s := x.session
	x.query, x.arrived, x.queuedAt = q, arrived, s.manager.Loop.Now()
	x.until = max(arrived+q.Timeout, s.lastExpected)
	s.lastExpected = x.until
	s.queued = append(s.queued, x)
	s.submitQueued()
}

// submitQueued submits queued queries, in order, as long as there is room for their responses.
func (s *Session) submitQueued() {
	if s.submitting { // a query that was submitted has its response already
		return
	}
	s.submitting = true
	defer func() { s.submitting = false }()
	for len(s.queued) > 0 && !s.left.Load() {
		x := s.queued[0]
		next := x.isNext() && s.writable()
		if !next && !x.reserveWaiting() {
			return
		}
		if s.queued = s.queued[1:]; len(s.queued) == 0 {
			s.queued = nil
		}
		if next && !x.reserveNext() {
			x.shed("no memory for the response")
			continue
		}
		x.submit()
	}
}

// submit passes a query to the pipeline. One that was queued counts as arriving now, as its client does not count the time
// behind earlier responses. Its response comes no later than it would have with the others at once, in the order of the commands.
func (x *Slot) submit() {
	m := x.session.manager
	now := m.Loop.Now()
	if waited := now - x.queuedAt; waited > 0 {
		x.arrived = now
		x.query.Timeout = min(x.query.Timeout, x.until-now)
		if x.query.SinceCommit != 0 {
			x.query.SinceCommit = cmp.Or(x.query.SinceCommit+waited, 1)
		}
		if x.query.Timeout <= 0 {
			x.shed("no memory for the response in time")
			return
		}
	}
	if r := m.Submit(x.query, x.arrived); r != nil && !r.Responded {
		x.request = r
	}
}

// isNext reports whether the response to the command is the next to be written.
func (x *Slot) isNext() bool { return len(x.session.slots) > 0 && x.session.slots[0] == x }

// writable reports whether a response may be written: all that was written before has been sent. Otherwise the session goes
// on once it is.
func (s *Session) writable() bool {
	if s.conn.Unsent() == 0 {
		return true
	}
	s.blocked.Store(true)
	return s.conn.Unsent() == 0 // it may have been sent before the flag was set
}

// sent has the session go on writing if all that was written has been sent. Any goroutine may call it.
func (s *Session) sent() {
	if s.blocked.Load() && s.conn.Unsent() == 0 && s.blocked.Swap(false) {
		s.manager.Loop.Post(s.advance)
	}
}

// waitsForClient reports whether the next command only waits for the client to read what was written.
func (s *Session) waitsForClient() bool {
	next := s.slots[0]
	waits := next.done || len(s.queued) > 0 && s.queued[0] == next
	return waits && s.conn.Unsent() > 0
}

// RefuseQueued refuses all queries that have not been submitted yet. None of them has run.
func (m *Manager) RefuseQueued(reason string) {
	for s := range m.sessions {
		queued := s.queued
		s.queued = nil
		for _, x := range queued {
			x.Respond(request.Response{Status: request.Refused, Reason: reason})
		}
	}
}

// QueuedCount returns the number of queries that have not been submitted yet.
func (m *Manager) QueuedCount() (n int) {
	for s := range m.sessions {
		n += len(s.queued)
	}
	return n
}
