// Package measure defines the format in which experiments write their results and from which the capacity page is
// generated: series of points, linear fits, events with quantiles, and checks that passed or failed.
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

// Series holds the measurements of one quantity of a role while one parameter was varied and all others were constant.
type Series struct {
	Name       string  `json:"name"`   // unique within the committed runs, as in "voter.cpu-by-gateways"
	Role       string  `json:"role"`   // client, data path, gateway, relay, voter, database
	X          string  `json:"x"`      // varied parameter: gateways, members, changes a second, ...
	XUnit      string  `json:"x_unit"` // unit of X, as in "1" or "1/s"
	Y          string  `json:"y"`
	YUnit      string  `json:"y_unit"` // as in "core", "B/s", "B", "s"
	Conditions string  `json:"held"`   // constant parameters as text: "2,100 members, 3 voters"
	Points     []Point `json:"points"`
	Fit        Fit     `json:"fit"`
}

// Fit is the least-squares line through a Series.
type Fit struct {
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	R2          float64 `json:"r2"`
	MaxResidual float64 `json:"max_residual"` // the largest distance of a point from the line, in units of Y
}

// ErrTooFewPoints reports that no line is defined: a fit needs points at two different X.
var ErrTooFewPoints = errors.New("measure: a fit needs points at two different x")

// LeastSquares fits a line to the points.
func LeastSquares(points []Point) (Fit, error) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	distinctX := false
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		distinctX = distinctX || p.X != xs[0]
	}
	if !distinctX {
		return Fit{}, ErrTooFewPoints
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) { // all Y are equal, so the line passes through every point
		f.R2 = 1
	}
	for _, p := range points {
		f.MaxResidual = max(f.MaxResidual, math.Abs(p.Y-f.At(p.X)))
	}
	return f, nil
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Quantiles of a duration, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// Event is an event induced in a running installation, and its measured effect.
type Event struct {
	Name             string    `json:"name"` // steady, burst, leader-killed, zone-restarted, ...
	Gateways         int       `json:"gateways"`
	Members          int       `json:"members"`
	Seconds          float64   `json:"seconds"`            // measured duration
	ApplyDelay       Quantiles `json:"in_force"`           // from the commit until applied at a gateway, over all gateways and changes
	GatewayBytes     float64   `json:"gateway_bytes_s"`    // mean control bytes a second at a gateway's sockets, both directions
	WorstMinuteBytes float64   `json:"worst_minute_bytes"` // the same in the worst minute of the busiest gateway; over the whole duration if shorter
	Roles            []Usage   `json:"roles"`
}

// Usage is the resource use of one process of a role during an event.
type Usage struct {
	Role     string  `json:"role"`
	Process  string  `json:"process"`
	Gateways int     `json:"hosts"` // gateways that the process hosts
	Cores    float64 `json:"cores"` // processor seconds per second
	Memory   float64 `json:"memory_bytes"`
	BytesIn  float64 `json:"bytes_in_s"`
	BytesOut float64 `json:"bytes_out_s"`
}

// Check is an assertion of an experiment.
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
	Commit     string    `json:"commit"` // measured commit; suffix "-dirty": with uncommitted changes
	Started    time.Time `json:"started"`
	Seconds    float64   `json:"seconds"`
	Machine    string    `json:"machine"` // cores and memory
	Command    string    `json:"command"`
	Series     []Series  `json:"series"`
	Events     []Event   `json:"events"`
	Checks     []Check   `json:"checks"`
	Notes      []string  `json:"notes,omitempty"` // for example what was not run, and why
}
