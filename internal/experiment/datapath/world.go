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

	oneWayDelay = 250 * aspenshed.Nanos(1e3) // delay between a gateway and a database, within a region

	simulationStart = 1000 * second // any instant: positions must not be negative
)

// clock is virtual time.
type clock struct{ now aspenshed.Nanos }

// Now is the present instant.
func (c *clock) Now() aspenshed.Nanos { return c.now }

// simulation is gateways and databases in virtual time: equal seeds give equal histories.
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

// run goes on until that instant.
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

// reschedule has every gateway look at what was done to it from outside.
func (w *simulation) reschedule() {
	w.queue = w.queue[:0]
	for _, g := range w.gateways {
		g.runDue()
		w.queue = append(w.queue, g)
	}
	heap.Init(&w.queue)
}

// gatewayHeap orders gateways by what is due next.
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
