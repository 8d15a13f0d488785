package session

import (
	"aspenshed"

	"aspenshed/internal/membudget"
)

// A client is not read while it has that much without an answer, or does not read its answers. Beyond, its data stays in the
// kernel, and TCP slows it down.
const (
	maxUnanswered      = 128 // commands
	scarceUnanswered   = 8   // commands, when the memory for commands or responses is scarce
	maxUnsentBytes     = 256 << 10
	scarceUnsentBytes  = 16 << 10 // when the memory for responses that are not read is scarce
	maxExpectedBytes   = 1 << 20  // of responses to the commands of one connection
	readSize           = 2 << 10  // at once, between commands
	maxPartialReadSize = 64 << 10 // at once, of a command that has begun
	resumeDivisor      = 2        // reading goes on with one in so many of the commands without an answer
)

// unansweredLimit returns how many commands without an answer a connection may have.
func (s *Session) unansweredLimit() int64 {
	budget := s.manager.Budget
	if budget.Scarce(membudget.Requests) || budget.Scarce(membudget.Responses) {
		return scarceUnanswered
	}
	return max(min(maxUnanswered, maxExpectedBytes/max(s.typicalResponse.Load(), 1)), scarceUnanswered)
}

func (s *Session) unsentLimit() int {
	if s.manager.Budget.Scarce(membudget.Unsent) {
		return scarceUnsentBytes
	}
	return maxUnsentBytes
}

func (s *Session) mayRead() bool {
	return !s.inputEnded.Load() && s.unanswered.Load() < s.unansweredLimit() && s.conn.Unsent() < s.unsentLimit()
}

// Paused reports whether no further command may be taken from the connection now. If so, the connection is resumed later.
// The goroutine that reads the connection calls it.
func (s *Session) Paused() bool {
	if s.mayRead() {
		s.paused.Store(false)
		return false
	}
	s.paused.Store(true)
	// The loop may have answered before it could see that: it would not resume the connection.
	return !s.mayRead()
}

// ReadSize returns how many bytes may be read next, of which missing are those of a command that has begun.
func (s *Session) ReadSize(missing int) int {
	if s.Paused() {
		return 0
	}
	return min(max(missing, readSize), maxPartialReadSize)
}

// resume has reading go on once enough commands have their answer. The loop calls it.
func (s *Session) resume() {
	if s.paused.Load() && s.mayRead() && s.unanswered.Load() <= s.unansweredLimit()/resumeDivisor && s.paused.Swap(false) {
		s.conn.Resume()
	}
}

// TurnEnded is called when the connection has been read as far as it was its turn. What is read later may have been received
// by now unless nothing was left.
func (s *Session) TurnEnded(nothingLeft bool) {
	switch {
	case nothingLeft:
		s.behindSince = 0
	case s.behindSince == 0:
		s.behindSince = s.manager.Loop.Now()
	}
}

// Arrived returns when a command that has just been read may have been received.
func (s *Session) Arrived() aspenshed.Nanos {
	if s.behindSince > 0 {
		return s.behindSince
	}
	return s.manager.Loop.Now()
}
