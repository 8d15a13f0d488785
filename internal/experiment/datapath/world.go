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

	oneWayDelay = 250 * aspenshed.Nanos(1e3) // network delay between a gateway and a database within a region

	simulationStart = 1000 * second // arbitrary, but large enough that positions are not negative
)

// clock is virtual time.
type clock struct{ now aspenshed.Nanos }

// Now returns the virtual time.
func (c *clock) Now() aspenshed.Nanos { return c.now }

// simulation runs gateways and databases in virtual time: equal seeds give equal results.
type simulation struct {
	clock     clock
	log       *logrus.Entry
	random    *rand.Rand
	databases []*database
	gateways  []*gateway
	queue     gatewayHeap
}

func newSimulation(seed uint64) *simulation {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &simulation{clock: clock{simulationStart}, log: logrus.NewEntry(log), random: rand.New(rand.NewPCG(seed, seed))}
}

// run advances virtual time to the given time.
func (w *simulation) run(until aspenshed.Nanos) {
	w.reschedule()
	for len(w.queue) > 0 && w.queue[0].nextDue <= until {
		g := w.queue[0]
		w.clock.now = max(w.clock.now, g.nextDue)
		g.runDue()
		heap.Fix(&w.queue, 0)
	}
	w.clock.now = until
}

// reschedule runs due events of every gateway and rebuilds the queue, as events may have been added from outside.
func (w *simulation) reschedule() {
	w.queue = w.queue[:0]
	for _, g := range w.gateways {
		g.runDue()
		w.queue = append(w.queue, g)
	}
	heap.Init(&w.queue)
}

// gatewayHeap orders gateways by the time of their next event.
type gatewayHeap []*gateway

func (h gatewayHeap) Len() int { return len(h) }
func (h gatewayHeap) Less(i, j int) bool {
	return h[i].nextDue < h[j].nextDue || h[i].nextDue == h[j].nextDue && h[i].number < h[j].number
}
func (h gatewayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *gatewayHeap) Push(x any)   { *h = append(*h, x.(*gateway)) }
func (h *gatewayHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
