package datapath

import (
	"aspenshed"
)

// peakLoad is the highest load of any database in any second, for each kind of load separately.
type peakLoad struct{ handshakes, probes float64 }

// runAndFindPeak runs second by second until the given time and returns the peak load.
func (w *simulation) runAndFindPeak(until aspenshed.Nanos) (peak peakLoad) {
	before := w.loadPerDatabase()
	for w.clock.now < until {
		w.run(w.clock.now + second)
		now := w.loadPerDatabase()
		for i := range now {
			peak.handshakes = max(peak.handshakes, float64(now[i].handshakes-before[i].handshakes))
			peak.probes = max(peak.probes, float64(now[i].probes-before[i].probes))
		}
		before = now
	}
	return peak
}

func (w *simulation) loadPerDatabase() (counts []loadCounts) {
	for _, d := range w.databases {
		counts = append(counts, d.loadCounts)
	}
	return counts
}
