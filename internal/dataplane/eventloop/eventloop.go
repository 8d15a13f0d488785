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

// UnixMs is the instant of a Unix time in milliseconds.
func UnixMs(ms int64) aspenshed.Nanos { return aspenshed.Nanos(ms * 1e6) }

// Timer is a pending call of a Loop.
type Timer struct {
	at    aspenshed.Nanos
	order uint64
	index int
	f     func()
}

// Loop is the one goroutine that owns a Router and all request state. Other
// goroutines only Post to its mailbox.
type Loop struct {
	Clock
	// AfterBatch runs once all that was at hand has been handled.
	AfterBatch func()
	// Panicked hears of a panic in what the loop calls; the loop goes on.
	Panicked func(any)

	mu     sync.Mutex
	box    []func()
	notify chan struct{}
	timers timerHeap
	order  uint64
	quit   bool
}

// NewLoop makes a Loop; Run or Turn drives it.
func NewLoop(c Clock) *Loop {
	return &Loop{Clock: c, AfterBatch: func() {}, Panicked: func(p any) { panic(p) }, notify: make(chan struct{}, 1)}
}

// Post has the loop call f. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.box = append(l.box, f)
	l.mu.Unlock()
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// At calls f at that time. Only the loop's goroutine may call it.
func (l *Loop) At(at aspenshed.Nanos, f func()) *Timer {
	l.order++
	t := &Timer{at: at, order: l.order, f: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop takes a timer back. A nil timer or one that has run is ignored.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Quit ends Run after the current batch.
func (l *Loop) Quit() { l.quit = true }

// Turn handles all that is at hand and reports when the next timer is due; 0: never.
func (l *Loop) Turn() (next aspenshed.Nanos) {
	for {
		l.mu.Lock()
		box := l.box
		l.box = nil
		l.mu.Unlock()
		for _, f := range box {
			l.call(f)
		}
		now := l.Now()
		ran := len(box) > 0
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.call(heap.Pop(&l.timers).(*Timer).f)
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
			l.Panicked(p)
		}
	}()
	f()
}

// Run drives the loop in real time until Quit.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := l.Turn()
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
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
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
