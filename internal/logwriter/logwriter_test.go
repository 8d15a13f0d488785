package logwriter

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// faultyLog is a log that can be held up, and that fails or accepts only some bytes of the next writes.
type faultyLog struct {
	mu      sync.Mutex
	content bytes.Buffer
	held    sync.Mutex // held: writes block
	faults  []fault
}

type fault struct {
	accepted int
	err      error
}

func (l *faultyLog) Write(b []byte) (int, error) {
	l.held.Lock()
	defer l.held.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return l.content.Write(b)
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	n, _ := l.content.Write(b[:min(f.accepted, len(b))])
	return n, f.err
}

func (l *faultyLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.String()
}

// writeLine writes a line and waits until it is written or dropped, so that it is a write of its own.
func writeLine(w *Writer, line string) {
	_, _ = w.Write([]byte(line + "\n"))
	w.Flush(testTimeout)
}

func TestLinesAreWrittenDespiteFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults  []fault
		want    string
		dropped int
	}{
		"none":                     {nil, "first\nsecond\nthird\n", 0},
		"part of a line":           {[]fault{{2, nil}}, "first\nsecond\nthird\n", 0},
		"a full non-blocking pipe": {[]fault{{2, syscall.EAGAIN}, {0, syscall.EAGAIN}}, "first\nsecond\nthird\n", 0},
		"an interrupted write":     {[]fault{{3, syscall.EINTR}}, "first\nsecond\nthird\n", 0},
		"no room for a line":       {[]fault{{0, syscall.ENOSPC}}, "second\nthird\n", 1},
		"no room for two lines":    {[]fault{{0, syscall.ENOSPC}, {0, syscall.ENOSPC}}, "third\n", 2},
		"a cut line":               {[]fault{{2, syscall.ENOSPC}}, "fi\nsecond\nthird\n", 1},
		"cut, then no room":        {[]fault{{2, syscall.ENOSPC}, {0, syscall.EIO}}, "fi\nthird\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			log, dropped := &faultyLog{faults: c.faults}, make(chan int, 10)
			w := New(log, func(lines int) { dropped <- lines })
			for _, line := range []string{"first", "second", "third"} {
				writeLine(w, line)
			}
			if got := log.text(); got != c.want {
				t.Errorf("the log holds %q, want %q", got, c.want)
			}
			if c.dropped == 0 {
				return
			}
			select {
			case lines := <-dropped:
				if lines != c.dropped {
					t.Errorf("%d lines reported as dropped, want %d", lines, c.dropped)
				}
			case <-time.After(testTimeout):
				t.Error("dropped lines were never reported")
			}
		})
	}
}

// Guards the event loop and the memory against a log that nobody reads.
func TestBlockedLogHoldsUpNobody(t *testing.T) {
	log, dropped := &faultyLog{}, make(chan int, 10)
	w := New(log, func(lines int) { dropped <- lines })
	log.held.Lock()
	line := strings.Repeat("x", 1023) + "\n"
	const lines = 2 * maxQueuedBytes / 1024
	for range lines {
		_, _ = w.Write([]byte(line))
	}
	w.Flush(time.Millisecond)
	log.held.Unlock()
	w.Flush(testTimeout)
	written := strings.Count(log.text(), "\n")
	if n := <-dropped; n != lines-written || written < maxQueuedBytes/1024 {
		t.Errorf("%d lines written and %d reported as dropped of %d", written, n, lines)
	}
}

// Guards the threads of the program against a pipe that nobody reads.
func TestFullPipeBlocksNoThread(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	_ = writer.Fd() // makes it block, as a standard stream does
	out := WithoutBlocking(writer)
	full := make(chan int, 1)
	go func() {
		written := 0
		for chunk := make([]byte, 4<<10); ; {
			n, err := out.Write(chunk)
			if written += n; err != nil {
				full <- written
				return
			}
		}
	}()
	select {
	case written := <-full:
		if content, err := io.ReadAll(io.LimitReader(reader, int64(written))); err != nil || len(content) != written {
			t.Errorf("read %d bytes, %v; %d were written", len(content), err, written)
		}
	case <-time.After(testTimeout):
		t.Error("a write to a full pipe blocks")
	}
}
