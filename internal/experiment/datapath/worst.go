package datapath

import (
	"aspenshed"
)

// worst is the load of whichever database had most, in whichever second that was.
type worst struct{ handshakes, probes float64 }

// worstSecond runs second by second until then.
func (w *world) worstSecond(until aspenshed.Nanos) (most worst) {
	before := w.eachCounts()
	for w.clock.now < until {
		w.run(w.clock.now + second)
		now := w.eachCounts()
		for i := range now {
			most.handshakes = max(most.handshakes, float64(now[i].handshakes-before[i].handshakes))
			most.probes = max(most.probes, float64(now[i].probes-before[i].probes))
		}
		before = now
	}
	return most
}

func (w *world) eachCounts() (counts []loadCounts) {
	for _, d := range w.databases {
		counts = append(counts, d.loadCounts)
	}
	return counts
}
