package aspenshed

import "math"

// movingRate is an exponentially weighted mean of what arrives per second.
type movingRate struct {
	span     float64 // s: time constant
	sum      float64
	coverage float64 // fraction of span that has been observed, 0 to 1
}

func newMovingRate(span float64) movingRate { return movingRate{span: span} }

func (m *movingRate) add(x float64) { m.sum += x }

// pass lowers the weight of what has arrived by the time that passed.
func (m *movingRate) pass(seconds float64) {
	factor := math.Exp(-seconds / max(m.span, 1e-9))
	m.sum *= factor
	m.coverage = 1 - (1-m.coverage)*factor
}

func (m *movingRate) perSecond() float64 { return m.sum / max(m.span*m.coverage, minRateSpan) }

// demand is the work that arrives for the members of one role of a group.
type demand struct{ recent, usual movingRate }

func newDemand() demand { return demand{newMovingRate(rateDecay), newMovingRate(usualDemandSpan)} }

func (d *demand) add(work float64) {
	d.recent.add(work)
	d.usual.add(work)
}

func (d *demand) pass(seconds float64) {
	d.recent.pass(seconds)
	d.usual.pass(seconds)
}

// perSecond returns the higher rate of now and usually: after a quiet spell, a burst must not find a large share for each of
// its requests. A rate of now by few requests of that mean work is chance.
func (d *demand) perSecond(meanWork float64) float64 {
	if d.recent.sum < minRecentRequests*meanWork {
		return d.usual.perSecond()
	}
	return max(d.recent.perSecond(), d.usual.perSecond())
}
