package datapath

import (
	"container/heap"
	"io"
	"math/rand/v2"

	"aspenshed"

	"github.com/sirupsen/logrus"
)

const (
	second      = aspenshed.Nanos(1e9)
	millisecond = aspenshed.Nanos(1e6)

	oneWay = 250 * aspenshed.Nanos(1e3) // delay between a gateway and a database, within a region

	worldStart = 1000 * second // any instant: positions must not be negative
)

// clock is virtual time.
type clock struct{ now aspenshed.Nanos }

// Now is the present instant.
func (c *clock) Now() aspenshed.Nanos { return c.now }

// world is gateways and databases in virtual time: equal seeds give equal histories.
type world struct {
	clock     clock
	log       *logrus.Entry
	random    *rand.Rand
	databases []*database
	gateways  []*gateway
	queue     dueHeap
}

func newWorld(seed uint64) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &world{clock: clock{worldStart}, log: logrus.NewEntry(log), random: rand.New(rand.NewPCG(seed, seed))}
}

// run goes on until that instant.
func (w *world) run(until aspenshed.Nanos) {
	w.reschedule()
	for len(w.queue) > 0 && w.queue[0].due <= until {
		g := w.queue[0]
		w.clock.now = max(w.clock.now, g.due)
		g.turn()
		heap.Fix(&w.queue, 0)
	}
	w.clock.now = until
}

// reschedule has every gateway look at what was done to it from outside.
func (w *world) reschedule() {
	w.queue = w.queue[:0]
	for _, g := range w.gateways {
		g.turn()
		w.queue = append(w.queue, g)
	}
	heap.Init(&w.queue)
}

// dueHeap orders gateways by what is due next.
type dueHeap []*gateway

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].number < h[j].number
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(*gateway)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
