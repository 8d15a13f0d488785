package eventloop

import (
	"container/heap"
	"sync"
	"time"

	"aspenshed"
)

// Clock is monotonic. Its instants are Unix nanoseconds as of the start, so
// positions and start times on the wire compare with it directly.
type Clock interface{ Now() aspenshed.Nanos }

type wallClock struct{ start time.Time }

// NewClock maps Unix time to the monotonic clock once.
func NewClock() Clock { return wallClock{time.Now()} }

func (c wallClock) Now() aspenshed.Nanos {
	return aspenshed.Nanos(c.start.UnixNano() + int64(time.Since(c.start)))
}

// FromUnixMillis is the instant of a Unix time in milliseconds.
func FromUnixMillis(ms int64) aspenshed.Nanos { return aspenshed.Nanos(ms * 1e6) }

// Timer is a pending call of a Loop.
type Timer struct {
	at       aspenshed.Nanos
	seq      uint64
	index    int
	callback func()
}

// Loop is the one goroutine that owns a Router and all request state. Other
// goroutines only Post to its mailbox.
type Loop struct {
	Clock
	// AfterBatch runs once all that was at hand has been handled.
	AfterBatch func()
	// OnPanic hears of a panic in what the loop calls; the loop goes on.
	OnPanic func(any)

	mu      sync.Mutex
	queue   []func()
	notify  chan struct{}
	timers  timerHeap
	lastSeq uint64
	quit    bool
}

// NewLoop makes a Loop; Run or Turn drives it.
func NewLoop(c Clock) *Loop {
	return &Loop{Clock: c, AfterBatch: func() {}, OnPanic: func(p any) { panic(p) }, notify: make(chan struct{}, 1)}
}

// Post has the loop call f. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// At calls f at that time. Only the loop's goroutine may call it.
func (l *Loop) At(at aspenshed.Nanos, f func()) *Timer {
	l.lastSeq++
	t := &Timer{at: at, seq: l.lastSeq, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// StopTimer takes a timer back. A nil timer or one that has run is ignored.
func (l *Loop) StopTimer(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Quit ends Run after the current batch.
func (l *Loop) Quit() { l.quit = true }

// RunPending handles all that is at hand and reports when the next timer is due; 0: never.
func (l *Loop) RunPending() (next aspenshed.Nanos) {
	for {
		l.mu.Lock()
		box := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, f := range box {
			l.call(f)
		}
		now := l.Now()
		ran := len(box) > 0
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.call(heap.Pop(&l.timers).(*Timer).callback)
			ran = true
		}
		if !ran {
			break
		}
		l.call(l.AfterBatch)
	}
	if len(l.timers) == 0 {
		return 0
	}
	return l.timers[0].at
}

// call guards the gateway against a defect in one stage or front: all other
// requests go on, and relay's timer still answers the one it struck.
func (l *Loop) call(f func()) {
	defer func() {
		if p := recover(); p != nil {
			l.OnPanic(p)
		}
	}()
	f()
}

// Run drives the loop in real time until Quit.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := l.RunPending()
		if l.quit {
			return
		}
		wait := time.Hour
		if next > 0 {
			wait = max(time.Duration(next-l.Now()), 0)
		}
		timer.Reset(wait)
		select {
		case <-l.notify:
		case <-timer.C:
		}
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
