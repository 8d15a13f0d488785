// Package eventloop provides the single-threaded event loop that owns a router and its requests.
package eventloop

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"aspenshed"
)

// Clock is a monotonic clock. Its values are Unix nanoseconds, anchored at its creation, so they compare directly with
// positions and start times on the wire.
type Clock interface{ Now() aspenshed.Nanos }

type wallClock struct{ start time.Time }

// NewClock returns a Clock that reads the Unix time once and follows the monotonic clock from then on.
func NewClock() Clock { return wallClock{time.Now()} }

func (c wallClock) Now() aspenshed.Nanos {
	return aspenshed.Nanos(c.start.UnixNano() + int64(time.Since(c.start)))
}

// FromUnixMillis converts a Unix time in milliseconds.
func FromUnixMillis(ms int64) aspenshed.Nanos { return aspenshed.Nanos(ms * 1e6) }

// Timer is a scheduled callback of a Loop.
type Timer struct {
	at       aspenshed.Nanos
	seq      uint64
	index    int
	callback func()
}

// Bounds of a batch, after which timers and AfterBatch have their turn.
const (
	maxPosted    = 256 // functions posted to the loop
	maxLaneCalls = 64  // functions of all lanes
	laneTurn     = 4   // functions of one lane, before the turn of the others

	maxKeptQueue = 8 // elements of an empty queue whose memory is kept
)

// Loop runs on the single goroutine that owns a router and all request state. Other goroutines may only call Post, NewLane
// and the methods of a Lane.
type Loop struct {
	Clock
	// AfterBatch is called after each batch of posted functions and due timers.
	AfterBatch func()
	// OnPanic is called with the value of a panic in a callback; the loop continues.
	OnPanic func(any)

	mu          sync.Mutex
	queue       []func()
	queuedSince time.Time // when the first of queue was posted
	lanes       []*Lane   // that have functions, in the order of their turns
	batch       []func()  // the functions of the running batch; owned by the loop
	notify      chan struct{}
	timers      timerHeap
	lastSeq     uint64
	quit        bool
	stats       Stats
}

// Stats tell how far a Loop was behind.
type Stats struct {
	MaxQueued             int           // posted functions that waited at once
	MaxWait, LongestBatch time.Duration // of a posted function; of a batch with the timers and AfterBatch that follow it
}

// TakeStats returns the maxima since its last call. It may only be called from the loop's goroutine.
func (l *Loop) TakeStats() (s Stats) {
	s, l.stats = l.stats, s
	return s
}

// NewLoop returns a Loop, which Run or RunPending drives.
func NewLoop(c Clock) *Loop {
	return &Loop{Clock: c, AfterBatch: func() {}, OnPanic: func(p any) { panic(p) }, notify: make(chan struct{}, 1)}
}

// Post queues f to be called by the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	if len(l.queue) == 0 {
		l.queuedSince = time.Now()
	}
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	l.wake()
}

func (l *Loop) wake() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// At schedules a call of f. It may only be called from the loop's goroutine.
func (l *Loop) At(at aspenshed.Nanos, f func()) *Timer {
	l.lastSeq++
	t := &Timer{at: at, seq: l.lastSeq, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// StopTimer cancels a timer. A nil timer, or one that has fired, is ignored.
func (l *Loop) StopTimer(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Quit ends Run after the current batch.
func (l *Loop) Quit() { l.quit = true }

// RunPending runs all posted functions and due timers, and returns when the next timer is due; 0 if there is none.
func (l *Loop) RunPending() (next aspenshed.Nanos) {
	for {
		startedAt := time.Now()
		l.takeBatch(startedAt)
		for _, f := range l.batch {
			l.call(f)
		}
		now := l.Now()
		ran := len(l.batch) > 0
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.call(heap.Pop(&l.timers).(*Timer).callback)
			ran = true
		}
		if !ran {
			break
		}
		l.call(l.AfterBatch)
		if l.quit { // others may post without a pause
			break
		}
		if len(l.batch) >= maxLaneCalls {
			runtime.Gosched() // goroutines that read connections have their turn
		}
		l.stats.LongestBatch = max(l.stats.LongestBatch, time.Since(startedAt))
	}
	if len(l.timers) == 0 {
		return 0
	}
	return l.timers[0].at
}

// takeBatch takes the functions of the next batch: those posted to the loop, then the turns of the lanes.
func (l *Loop) takeBatch(now time.Time) {
	clear(l.batch)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		l.stats.MaxQueued = max(l.stats.MaxQueued, len(l.queue))
		l.stats.MaxWait = max(l.stats.MaxWait, now.Sub(l.queuedSince))
	}
	count := min(len(l.queue), maxPosted)
	l.batch = append(l.batch[:0], l.queue[:count]...)
	l.queue = dropFirst(l.queue, count)
	for calls := 0; calls < maxLaneCalls && len(l.lanes) > 0; {
		lane := l.lanes[0]
		l.lanes = dropFirst(l.lanes, 1)
		count := min(len(lane.queue), laneTurn)
		l.batch = append(l.batch, lane.queue[:count]...)
		lane.queue = dropFirst(lane.queue, count)
		calls += count
		if len(lane.queue) > 0 {
			l.lanes = append(l.lanes, lane)
		}
	}
}

// dropFirst removes the first n elements of a queue. The memory of a short queue is used again.
func dropFirst[T any](queue []T, n int) []T {
	rest := queue[n:]
	if len(rest) <= n {
		copy(queue, rest)
		clear(queue[len(rest):])
		rest = queue[:len(rest)]
	}
	if len(rest) == 0 && cap(rest) > maxKeptQueue {
		return nil
	}
	return rest
}

// call runs f and recovers from a panic, so that a defect in one stage or front doesn't affect other requests. The
// request concerned still gets a response from its deadline timer in the response stage.
func (l *Loop) call(f func()) {
	defer func() {
		if p := recover(); p != nil {
			l.OnPanic(p)
		}
	}()
	f()
}

// Run drives the loop in real time until Quit is called.
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
