// Package assembler cuts a byte stream into the frames of a wire protocol. It accepts fragments of any size, holds no more
// memory than it was granted, and stops between two frames when it is told to.
package assembler

import "slices"

const (
	maxPrefix  = 16 // bytes that are kept of a dropped frame
	minBuffer  = 512
	growFactor = 2
)

// Wire tells where the frames of a protocol end.
type Wire interface {
	// HeaderSize returns how many bytes tell the size of the next frame, at most maxPrefix.
	HeaderSize() int
	// FrameSize returns the size of the frame that begins with header, including the header.
	FrameSize(header []byte) (int, error)
}

// Frame is a frame of a stream.
type Frame struct {
	Bytes   []byte // the whole frame, only valid during the call; its first bytes, with the header, if it was dropped
	Dropped bool   // there was no memory for it
}

// Limits bound what an Assembler holds. The zero value sets no bound.
type Limits struct {
	// Reserve reports whether the assembler may hold n more bytes. A frame that doesn't get them is dropped. Negative n
	// are given back, which always succeeds.
	Reserve func(n int) bool
	// Paused reports whether no further frame may be passed on. What has been fed already is kept until the next Feed.
	Paused func() bool
}

// Assembler holds the state of a stream. After an error it drops its input.
type Assembler struct {
	Limits

	partial  []byte // the start of an incomplete frame
	size     int    // of that frame; 0: not known yet
	dropping bool   // the frame that has begun is dropped
	skip     int    // bytes of it that have not come yet
	prefix   []byte // the first bytes of it
	backlog  []byte // what came after the pause began
	reserved int
	err      error
}

// Feed processes the next bytes and calls each for every frame that they complete. After an error it returns the same
// error and drops its input.
func (a *Assembler) Feed(wire Wire, b []byte, each func(Frame) error) error {
	if a.err != nil {
		return a.err
	}
	if len(a.backlog) > 0 {
		b = append(a.backlog, b...)
	}
	rest, err := a.process(wire, b, each)
	if a.err = err; err != nil {
		a.Drop()
		return err
	}
	a.keepBacklog(rest)
	return nil
}

// HasPartial reports whether a frame has begun and not ended.
func (a *Assembler) HasPartial() bool { return len(a.partial) > 0 || a.dropping }

// HasBacklog reports whether input waits for the end of a pause.
func (a *Assembler) HasBacklog() bool { return len(a.backlog) > 0 }

// Buffered returns how many bytes of memory are held.
func (a *Assembler) Buffered() int { return cap(a.partial) + len(a.backlog) }

// Missing returns how many bytes of a frame that has begun are known to be missing.
func (a *Assembler) Missing() int {
	if a.dropping {
		return a.skip
	}
	return max(a.size-len(a.partial), 0)
}

// Drop releases all memory. No input is to follow, or only such that is to be dropped.
func (a *Assembler) Drop() {
	a.partial, a.backlog, a.size, a.dropping, a.skip = nil, nil, 0, false, 0
	a.adjustReservation()
}

func (a *Assembler) paused() bool { return a.Paused != nil && a.Paused() }

// process passes on the frames in b until it is paused, and returns what it has not used.
func (a *Assembler) process(wire Wire, b []byte, each func(Frame) error) (rest []byte, err error) {
	for len(b) > 0 && !a.paused() {
		switch {
		case a.dropping:
			b, err = a.skipDropped(b, each)
		case len(a.partial) > 0:
			b, err = a.extend(wire, b, each)
		default:
			b, err = a.begin(wire, b, each)
		}
		if err != nil {
			return nil, err
		}
	}
	return b, nil
}

// begin handles input at the start of a frame.
func (a *Assembler) begin(wire Wire, b []byte, each func(Frame) error) ([]byte, error) {
	head := wire.HeaderSize()
	if len(b) < head {
		a.grow(b, head)
		return nil, nil
	}
	size, err := wire.FrameSize(b[:head])
	if err != nil {
		return nil, err
	}
	if len(b) >= size {
		return b[size:], each(Frame{Bytes: b[:size]})
	}
	a.size = size
	a.grow(b, size)
	return nil, nil
}

// extend adds input to the incomplete frame.
func (a *Assembler) extend(wire Wire, b []byte, each func(Frame) error) ([]byte, error) {
	want := a.size
	if want == 0 {
		want = wire.HeaderSize()
	}
	n := min(want-len(a.partial), len(b))
	a.grow(b[:n], want)
	b = b[n:]
	switch {
	case a.dropping:
		return a.skipDropped(b, each)
	case len(a.partial) < want:
		return b, nil
	}
	if a.size == 0 {
		size, err := wire.FrameSize(a.partial)
		if err != nil {
			return nil, err
		}
		if a.size = size; size > want {
			return b, nil
		}
	}
	frame := a.partial
	a.partial, a.size = nil, 0 // idle connections hold no memory
	err := each(Frame{Bytes: frame})
	a.adjustReservation()
	return b, err
}

// skipDropped counts the input of a dropped frame.
func (a *Assembler) skipDropped(b []byte, each func(Frame) error) ([]byte, error) {
	n := min(a.skip, len(b))
	a.addPrefix(b[:n])
	if a.skip -= n; a.skip > 0 {
		return nil, nil
	}
	a.dropping = false
	return b[n:], each(Frame{Bytes: a.prefix, Dropped: true})
}

func (a *Assembler) addPrefix(b []byte) {
	a.prefix = append(a.prefix, b[:min(len(b), maxPrefix-len(a.prefix))]...)
}

// grow adds b to the incomplete frame, of which size bytes are expected. Without memory for it, the frame is dropped.
func (a *Assembler) grow(b []byte, size int) {
	need := len(a.partial) + len(b)
	if need > cap(a.partial) {
		room := min(size, max(need, growFactor*cap(a.partial), minBuffer))
		if a.size > 0 && !a.reserve(room-cap(a.partial)) {
			a.dropping, a.skip, a.prefix = true, a.size-need, nil
			a.addPrefix(a.partial)
			a.addPrefix(b)
			a.partial, a.size = nil, 0
			a.adjustReservation()
			return
		}
		a.partial = append(make([]byte, 0, room), a.partial...)
	}
	a.partial = append(a.partial, b...)
}

func (a *Assembler) reserve(n int) bool {
	if a.Reserve != nil && !a.Reserve(n) {
		return false
	}
	a.reserved += n
	return true
}

// adjustReservation gives back what is reserved for memory that is not held any more.
func (a *Assembler) adjustReservation() {
	if excess := a.reserved - cap(a.partial); excess > 0 {
		a.reserve(-excess)
	}
}

// keepBacklog keeps input that came after a pause began. It is no more than what was fed at once.
func (a *Assembler) keepBacklog(rest []byte) {
	if a.backlog = nil; len(rest) > 0 {
		a.backlog = slices.Clone(rest)
	}
}
