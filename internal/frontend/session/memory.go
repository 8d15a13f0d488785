package session

import "cmp"

// What a command takes is kept until it has its answer, and an answer until those before it are written. These bounds are in
// bytes; a connection that reaches them is ended as one that has too many commands without an answer is.
const (
	// defaultMaxPendingBytes is for all connections of a front together, where its Limits do not say. One connection may have half
	// of it. Beyond it each may still have fairUnanswered, and one command of any size: who sends one and waits for its
	// answer is always served.
	defaultMaxPendingBytes = 64 << 20
	guaranteedPendingBytes = 16 << 10
	// commandOverhead is about what a command takes beside its bytes: its slot, its request and its turn in the loop's mailbox.
	commandOverhead = 256
)

// reserve counts a command's bytes, if there is room for them. Any goroutine may call it.
func (s *Session) reserve(size int) bool {
	s.addPending(size)
	if s.withinLimits(size) {
		return true
	}
	s.releasePending(size)
	return false
}

// withinLimits tells whether what has been counted is withinLimits the bounds; alone: one command of that size always is.
func (s *Session) withinLimits(alone int) bool {
	limit := cmp.Or(s.manager.Limits.MaxPendingBytes, defaultMaxPendingBytes)
	own := s.pendingBytes.Load()
	return own <= max(int64(alone), guaranteedPendingBytes) || own <= limit/2 && s.manager.pendingBytes.Load() <= limit
}

func (s *Session) addPending(size int) {
	s.pendingBytes.Add(int64(size))
	s.manager.pendingBytes.Add(int64(size))
}

func (s *Session) releasePending(size int) { s.addPending(-size) }
