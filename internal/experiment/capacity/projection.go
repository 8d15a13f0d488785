package capacity

import (
	"fmt"
	"math"
	"strings"

	"aspenshed/internal/experiment/target"
)

// axisTargets are the target values of the varied parameters, by the first words of the axis' name.
var axisTargets = []struct {
	name string
	at   float64
}{
	{"gateways", target.Gateways},
	{"hollow gateways", target.Gateways},
	{"instances", target.Gateways}, // valid while every instance votes
	{"members", target.Databases},
	{"groups", target.Groups()},
	{"statements a second", target.StatementsPerGateway()},
	{"requests in flight", requestsInFlight},
	{"clients", target.ClientsPerGateway()},
	{"changes a second", target.ChangesPerSecond()},
}

// requestsInFlight is the number of requests in flight of a gateway, as in issue 29: its statements of one second.
const requestsInFlight = 1200

// targetTolerance is the largest relative distance from the target at which a point counts as measured at the target.
const targetTolerance = 0.02

// Projection is the value of a series at the target.
type Projection struct {
	Series   FittedSeries
	At       float64
	Value    float64
	Measured bool    // there are points at the target itself: the value is their mean, not the line's
	Factor   float64 // ratio of the target to the largest measured x
}

// Project evaluates a series at the target of its axis; false: the axis has no target.
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
	maxX, sum, n := 0.0, 0.0, 0.0
	for _, x := range s.Points {
		maxX = max(maxX, x.X)
		if math.Abs(x.X-at) <= targetTolerance*at {
			sum, n = sum+x.Y, n+1
		}
	}
	p.Factor = at / maxX
	if n > 0 {
		p.Measured, p.Value = true, sum/n
	}
	return p
}

// Range describes the measured range and how far the target lies beyond it.
func (p Projection) Range() string {
	minX, maxX := p.Series.Points[0].X, p.Series.Points[0].X
	for _, x := range p.Series.Points {
		minX, maxX = min(minX, x.X), max(maxX, x.X)
	}
	text := fmt.Sprintf("%s to %s %s", formatNumber(minX), formatNumber(maxX), p.Series.X)
	if p.Measured {
		return text + ", measured there"
	}
	return text + ", " + p.extrapolation()
}

// extrapolation describes how far the target lies beyond the measured range.
func (p Projection) extrapolation() string {
	if p.Factor > 1 {
		return fmt.Sprintf("extrapolated %s times", formatNumber(p.Factor))
	}
	return "by the line"
}
