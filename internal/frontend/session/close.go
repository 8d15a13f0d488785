package session

import (
	"cmp"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
)

const (
	sweepInterval           = aspenshed.Nanos(100e6) // more often when connections are scarce
	crowdedSweepInterval    = aspenshed.Nanos(20e6)
	unreadTimeout           = aspenshed.Nanos(10e9)  // for a client to read its last response
	crowdedFirstByteTimeout = aspenshed.Nanos(100e6) // for a first byte while connections are scarce
)

// reportClose tells the manager's observer that the session ends with that many commands without a response.
func (s *Session) reportClose(reason request.CloseReason) {
	if s.manager.OnClose != nil {
		s.manager.OnClose(reason, len(s.slots))
	}
}

// closeGracefully closes a connection that has no pending response, from our side. It does nothing if a command has
// been read that the loop has not processed, which gets its response first, or, with keepPartial, if a command has been
// received in part. The client can detect that anything it sent later was not read.
func (s *Session) closeGracefully(keepPartial bool, reason request.CloseReason) {
	if s.conn.Shutdown(func() bool {
		return s.ending || s.commandsRead.Load() == s.commandsSeen && !(keepPartial && s.partialSince.Load() > 0)
	}) {
		s.closed = true
		if s.ending {
			reason = request.ClosedInvalid
		}
		s.reportClose(reason)
		delete(s.manager.sessions, s)
	}
}

// closeNow closes the connection immediately and cancels its requests in flight.
func (s *Session) closeNow(reason request.CloseReason) {
	if s.closed {
		return
	}
	s.closed = true
	s.reportClose(reason)
	s.conn.Close()
	delete(s.manager.sessions, s)
	for _, x := range s.slots {
		if x.request != nil {
			s.manager.Cancel(x.request)
		}
		x.release()
	}
	s.slots, s.queued = nil, nil
}

// sweep closes connections without a request that have reached their limits, and reclaims idle ones when connections
// are scarce.
func (m *Manager) sweep() {
	now, next := m.Loop.Now(), sweepInterval
	crowded := m.Limits.ReclaimAbove > 0 && len(m.sessions) > m.Limits.ReclaimAbove
	var reclaimable []*Session
	for s := range m.sessions {
		switch {
		case len(s.slots) > 0 && s.waitsForClient() && now >= s.idleSince+unreadTimeout:
			s.closeNow(request.ClosedUnread)
		case len(s.slots) > 0:
		case now >= s.deadline(crowded) && s.conn.Unsent() > 0: // the client reads nothing
			s.closeNow(request.ClosedUnread)
		case now >= s.deadline(crowded):
			s.closeGracefully(false, request.ClosedIdle)
		case crowded && s.sentCommand && s.partialSince.Load() == 0 && s.conn.Unsent() == 0 &&
			now >= s.idleSince+m.Limits.ReclaimMinIdle:
			reclaimable = append(reclaimable, s)
		}
	}
	slices.SortFunc(reclaimable, func(a, b *Session) int { return cmp.Compare(a.idleSince, b.idleSince) })
	for _, s := range reclaimable[:min(len(reclaimable), max(len(m.sessions)-m.Limits.ReclaimAbove, 0))] {
		s.closeGracefully(true, request.ClosedReclaimed)
	}
	if crowded {
		next = crowdedSweepInterval
	}
	m.Loop.At(now+next, m.sweep)
}

// deadline returns when a session without a request is closed.
func (s *Session) deadline(crowded bool) aspenshed.Nanos {
	partialSince := aspenshed.Nanos(s.partialSince.Load())
	switch {
	case s.conn.Unsent() > 0: // a slow reader gets the rest; one that reads nothing is disconnected
		return s.idleSince + unreadTimeout
	case s.ending:
		return 0
	case crowded && !s.sentCommand && partialSince == 0:
		return s.idleSince + crowdedFirstByteTimeout
	case !s.sentCommand:
		return s.idleSince + s.manager.Limits.CommandTimeout
	case partialSince > 0:
		return max(s.idleSince, partialSince) + s.manager.Limits.CommandTimeout
	}
	return s.idleSince + s.manager.Limits.IdleTimeout
}

// SessionCount returns the number of open sessions.
func (m *Manager) SessionCount() int { return len(m.sessions) }

// PartialSessions returns the number of sessions with an incomplete command.
func (m *Manager) PartialSessions() (n int) {
	for s := range m.sessions {
		if s.partialSince.Load() > 0 {
			n++
		}
	}
	return n
}

// CloseIdle closes connections that are between requests, and from now on each connection as soon as its last response
// is written. It returns how many remain.
func (m *Manager) CloseIdle() (remaining int) {
	m.closing = true
	for s := range m.sessions {
		if len(s.slots) == 0 && s.conn.Unsent() == 0 {
			s.closeGracefully(true, request.ClosedDraining)
		}
	}
	return len(m.sessions)
}
