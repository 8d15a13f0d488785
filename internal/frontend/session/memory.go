package session

// What a command takes is kept until it has its answer, and an answer until those before it are written. These bounds are in
// bytes; a connection that reaches them is ended as one that has too many commands without an answer is.
const (
	// maxUnanswered is for one connection: a whole pipeline of the longest commands of the platform's wire.
	maxUnanswered = maxPipeline * (160 << 10)
	// maxUnansweredInAll is for all connections of a front together. Beyond it each may still have fairUnanswered, and one
	// command of any size: who sends one and waits for its answer is always served.
	maxUnansweredInAll = 64 << 20
	fairUnanswered     = 256 << 10
	// commandOverhead is about what a command takes beside its bytes: its slot, its request and its turn in the loop's mailbox.
	commandOverhead = 256
)

// reserve counts a command's bytes, if there is room for them. Any goroutine may call it.
func (s *Session) reserve(size int) bool {
	s.keep(size)
	if s.within(size) {
		return true
	}
	s.release(size)
	return false
}

// within tells whether what has been counted is within the bounds; alone: one command of that size always is.
func (s *Session) within(alone int) bool {
	own := s.unanswered.Load()
	return own <= max(int64(alone), fairUnanswered) || own <= maxUnanswered && s.manager.unanswered.Load() <= maxUnansweredInAll
}

func (s *Session) keep(size int) {
	s.unanswered.Add(int64(size))
	s.manager.unanswered.Add(int64(size))
}

func (s *Session) release(size int) { s.keep(-size) }
