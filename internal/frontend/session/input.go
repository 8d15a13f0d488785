package session

import "aspenshed/internal/protocol/assembler"

// Input connects what a client sends to its session. It implements netio.FlowController but for the methods of a Handler,
// for a front end to embed.
type Input struct {
	session *Session
	frames  *assembler.Assembler
	data    func([]byte)
}

// NewInput returns the Input of a session whose bytes frames assembles. data is the front end's Handler.Data.
func NewInput(s *Session, frames *assembler.Assembler, data func([]byte)) Input {
	frames.Limits = assembler.Limits{Reserve: s.ReservePartial, Paused: s.Paused}
	return Input{session: s, frames: frames, data: data}
}

// ReadSize returns how many bytes may be read next. What came before a pause is taken first: the pause may have ended since,
// and the loop resumes only a session that is still paused.
func (i *Input) ReadSize() int {
	if i.frames.HasBacklog() {
		i.data(nil)
	}
	if i.frames.HasBacklog() {
		return 0
	}
	return i.session.ReadSize(i.frames.Missing())
}

// Resumed processes what came before a pause, and has responses written that waited for the client to read.
func (i *Input) Resumed() {
	i.session.sent()
	i.data(nil)
}

// TurnEnded records whether data may be left in the kernel.
func (i *Input) TurnEnded(nothingLeft bool) {
	i.session.TurnEnded(nothingLeft && !i.frames.HasBacklog())
}

// Released gives all memory back after the connection has ended.
func (i *Input) Released() {
	i.frames.Drop()
	i.session.Released()
}
