package capacity

import (
	"fmt"
	"math"
	"strings"

	"aspenshed/internal/experiment/target"
)

// axisTargets are the values at the target of what is varied, by the first words of its name.
var axisTargets = []struct {
	name string
	at   float64
}{
	{"gateways", target.Gateways},
	{"hollow gateways", target.Gateways},
	{"instances", target.Gateways}, // as long as each instance votes
	{"members", target.Databases},
	{"groups", target.Groups()},
	{"statements a second", target.StatementsPerGateway()},
	{"requests in flight", requestsInFlight},
	{"clients", target.ClientsPerGateway()},
	{"changes a second", target.ChangesPerSecond()},
}

// requestsInFlight of a gateway is as in issue 29: what it has within a second of its statements.
const requestsInFlight = 1200

// targetTolerance is how near a measured point must lie to count as measured at the target.
const targetTolerance = 0.02

// Projection is a slope's value at the target.
type Projection struct {
	Series   FittedSeries
	At       float64
	Value    float64
	Measured bool    // there are points at the target itself: the value is their mean, and no line's
	Factor   float64 // target over the largest x that was measured
}

// Project takes a slope to the target of its axis; false: the axis has none.
func Project(s FittedSeries) (Projection, bool) {
	for _, a := range axisTargets {
		if strings.HasPrefix(s.X, a.name) {
			return projectTo(s, a.at), true
		}
	}
	return Projection{}, false
}

func projectTo(s FittedSeries, at float64) Projection {
	p := Projection{Series: s, At: at, Value: s.Fit.At(at)}
	most, sum, n := 0.0, 0.0, 0.0
	for _, x := range s.Points {
		most = max(most, x.X)
		if math.Abs(x.X-at) <= targetTolerance*at {
			sum, n = sum+x.Y, n+1
		}
	}
	p.Factor = at / most
	if n > 0 {
		p.Measured, p.Value = true, sum/n
	}
	return p
}

// Range is what was measured, and how far the target lies beyond.
func (p Projection) Range() string {
	least, most := p.Series.Points[0].X, p.Series.Points[0].X
	for _, x := range p.Series.Points {
		least, most = min(least, x.X), max(most, x.X)
	}
	text := fmt.Sprintf("%s to %s %s", formatNumber(least), formatNumber(most), p.Series.X)
	if p.Measured {
		return text + ", measured there"
	}
	return text + ", " + p.extrapolation()
}

// extrapolation is how far the target lies from what was measured.
func (p Projection) extrapolation() string {
	if p.Factor > 1 {
		return fmt.Sprintf("extrapolated %s times", formatNumber(p.Factor))
	}
	return "by the line"
}
