// Package measure is the form in which experiments write what they have measured, and from which the capacity page is
// made: series of points, fits of a line through them, events with their quantiles, and checks that passed or failed.
package measure

import (
	"errors"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is what was measured of one quantity of a role while one other thing was varied and all else held still.
type Series struct {
	Name       string  `json:"name"`   // unique within the committed runs, as in "voter.cpu-by-gateways"
	Role       string  `json:"role"`   // client, data path, gateway, relay, voter, database
	X          string  `json:"x"`      // what was varied: gateways, members, changes a second, ...
	XUnit      string  `json:"x_unit"` // of X, as in "1" or "1/s"
	Y          string  `json:"y"`
	YUnit      string  `json:"y_unit"` // as in "core", "B/s", "B", "s"
	Conditions string  `json:"held"`   // what was held still, in words: "2,100 members, 3 voters"
	Points     []Point `json:"points"`
	Fit        Fit     `json:"fit"`
}

// Fit is the line through a Series by least squares.
type Fit struct {
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	R2          float64 `json:"r2"`
	MaxResidual float64 `json:"max_residual"` // the largest distance of a point from the line, in units of Y
}

// ErrTooFewPoints says that no line goes through the points: a fit needs two different X.
var ErrTooFewPoints = errors.New("measure: a fit needs points at two different x")

// LeastSquares fits a line.
func LeastSquares(points []Point) (Fit, error) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	differ := false
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		differ = differ || p.X != xs[0]
	}
	if !differ {
		return Fit{}, ErrTooFewPoints
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) { // all Y are equal: the line goes through every point
		f.R2 = 1
	}
	for _, p := range points {
		f.MaxResidual = max(f.MaxResidual, math.Abs(p.Y-f.At(p.X)))
	}
	return f, nil
}

// At is the line's value.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Quantiles of a duration, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// Event is one thing that was done to a running installation, and what came of it.
type Event struct {
	Name             string    `json:"name"` // steady, burst, leader-killed, zone-restarted, ...
	Gateways         int       `json:"gateways"`
	Members          int       `json:"members"`
	Seconds          float64   `json:"seconds"`            // how long it was watched
	ApplyDelay       Quantiles `json:"in_force"`           // from the commit to in force at a gateway, over all gateways and changes
	GatewayBytes     float64   `json:"gateway_bytes_s"`    // mean control bytes a second at a gateway's sockets, both directions
	WorstMinuteBytes float64   `json:"worst_minute_bytes"` // the same in the worst minute at the gateway with most; where less than a minute was watched, over all of it
	Roles            []Usage   `json:"roles"`
}

// Usage is what one process of a role used during an event.
type Usage struct {
	Role     string  `json:"role"`
	Process  string  `json:"process"`
	Gateways int     `json:"hosts"` // gateways in the process
	Cores    float64 `json:"cores"` // processor seconds a second
	Memory   float64 `json:"memory_bytes"`
	BytesIn  float64 `json:"bytes_in_s"`
	BytesOut float64 `json:"bytes_out_s"`
}

// Check is something that an experiment asserts.
type Check struct {
	Name   string  `json:"name"`
	Bound  float64 `json:"bound"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Passed bool    `json:"passed"`
	Detail string  `json:"detail,omitempty"`
}

// Run is the result of one experiment.
type Run struct {
	Experiment string    `json:"experiment"`
	Commit     string    `json:"commit"` // that was measured; "-dirty" behind it: with changes
	Started    time.Time `json:"started"`
	Seconds    float64   `json:"seconds"`
	Machine    string    `json:"machine"` // cores and memory
	Command    string    `json:"command"`
	Series     []Series  `json:"series"`
	Events     []Event   `json:"events"`
	Checks     []Check   `json:"checks"`
	Notes      []string  `json:"notes,omitempty"` // what was not run, and why
}
