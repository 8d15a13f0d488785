// Package logwriter writes log lines on a goroutine of its own, so that a log that nobody reads, or that can't be
// written, does not hold up the event loop.
package logwriter

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
)

// maxQueuedBytes bounds the lines that wait to be written, which is several seconds of a busy log. Further lines are
// dropped and counted.
const maxQueuedBytes = 256 << 10

// Writer queues lines and writes them in order. Its methods may be called from any goroutine.
type Writer struct {
	out io.Writer
	// onDropped is called once lines can be written again, with the number of those that were dropped since the last call.
	onDropped func(lines int)

	mu      sync.Mutex
	changed *sync.Cond // queued or writing has changed
	queued  []byte     // at most maxQueuedBytes
	writing bool
	dropped int // lines, since the last call of onDropped

	cut bool // only a part of the last line was written; used by run alone
}

// New returns a Writer that writes to out until the program ends.
func New(out io.Writer, onDropped func(lines int)) *Writer {
	w := &Writer{out: out, onDropped: onDropped}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues whole lines. It never blocks and never fails.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued)+len(lines) > maxQueuedBytes {
		w.dropped += countLines(lines)
		return len(lines), nil
	}
	w.queued = append(w.queued, lines...)
	w.changed.Broadcast()
	return len(lines), nil
}

// Flush waits until all queued lines are written or dropped, at most for limit.
func (w *Writer) Flush(limit time.Duration) {
	expired := false
	timer := time.AfterFunc(limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		expired = true
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.queued) > 0 || w.writing) && !expired {
		w.changed.Wait()
	}
}

func (w *Writer) run() {
	for {
		lines := w.takeQueued()
		n, err := 0, w.endCutLine()
		if err == nil {
			n, err = writeAll(w.out, lines)
		}
		w.finishWrite(lines[:n], lines[n:])
		if err == nil {
			w.reportDropped()
		}
	}
}

// takeQueued waits for lines and takes all of them.
func (w *Writer) takeQueued() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) == 0 {
		w.changed.Wait()
	}
	lines := w.queued
	w.queued, w.writing = nil, true
	return lines
}

// endCutLine ends a line of which only a part was written.
func (w *Writer) endCutLine() error {
	if !w.cut {
		return nil
	}
	_, err := writeAll(w.out, []byte{'\n'})
	w.cut = err != nil
	return err
}

func (w *Writer) finishWrite(written, unwritten []byte) {
	if len(written) > 0 {
		w.cut = written[len(written)-1] != '\n'
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += countLines(unwritten)
	w.writing = false
	w.changed.Broadcast()
}

func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.onDropped(dropped)
	}
}

// writeAll writes lines and returns how many bytes were written. A full pipe that does not block is written to
// again once it has room.
func writeAll(out io.Writer, lines []byte) (written int, err error) {
	for written < len(lines) {
		n, err := out.Write(lines[written:])
		written += max(n, 0)
		switch {
		case err == nil && n <= 0:
			return written, io.ErrShortWrite
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			time.Sleep(pollInterval)
		case err != nil:
			return written, err
		}
	}
	return written, nil
}

// pollInterval is how often a full non-blocking pipe is tried again.
const pollInterval = 20 * time.Millisecond

func countLines(b []byte) int { return bytes.Count(b, []byte{'\n'}) }
