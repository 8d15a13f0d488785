// Package datapath measures what the data path costs as the fleet grows: the routing module by members and requests in
// flight, connections, handshakes and probes of a gateway and at a database, clients that are idle, a change of primary
// and a cold start. Gateways are either real processes on loopback or real pipelines in virtual time over simulated
// databases; each series says which.
package datapath

import (
	"fmt"
	"io"
	"time"

	"aspenshed/internal/experiment/measure"
)

// Options say what is measured, and how much of it.
type Options struct {
	Only  string // the one experiment to run; empty: all
	Short bool   // a fraction of each, for tests: its figures are not for the page
	Seed  uint64
	Out   io.Writer // progress
}

// experiment adds its series to a run.
type experiment struct {
	name string
	run  func(*recorder, Options) error
}

func experiments() []experiment {
	return []experiment{
		{"step", measureStep},
		{"steady", measureSteady},
		{"group", measureGroup},
		{"cold", measureColdStart},
		{"primary", measurePrimaryLoss},
		{"zone", measureZoneLoss},
		{"clients", measureClients},
		{"statements", measureStatements},
		{"first-write", measureFirstWrite},
	}
}

// Names are the experiments that Options.Only may name.
func Names() (names []string) {
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs the experiments one after another.
func Run(o Options) (measure.Run, error) {
	r := &recorder{startedAt: time.Now(), out: o.Out}
	r.run.Experiment, r.run.Started = "datapath", r.startedAt.UTC().Truncate(time.Second)
	r.note("seed %d", o.Seed)
	known := false
	for _, e := range experiments() {
		if o.Only != "" && o.Only != e.name {
			continue
		}
		known = true
		begun := time.Now()
		r.note("%s: load average %s at its start", e.name, loadAverage())
		if err := runOnOneThread(func() error { return e.run(r, o) }); err != nil {
			return r.run, fmt.Errorf("%s: %w", e.name, err)
		}
		r.progress("%s done in %s", e.name, time.Since(begun).Round(time.Second))
	}
	if !known {
		return r.run, fmt.Errorf("unknown experiment %q: it is one of %v", o.Only, Names())
	}
	r.run.Seconds = time.Since(r.startedAt).Seconds()
	return r.run, nil
}

// recorder gathers a run.
type recorder struct {
	run       measure.Run
	startedAt time.Time
	out       io.Writer
}

func (r *recorder) note(format string, args ...any) {
	r.run.Notes = append(r.run.Notes, fmt.Sprintf(format, args...))
}

func (r *recorder) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// addSeries fits a line through the points and keeps them.
func (r *recorder) addSeries(s measure.Series) error {
	fit, err := measure.LeastSquares(s.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.Fit = fit
	r.run.Series = append(r.run.Series, s)
	r.progress("%s: slope %.4g, intercept %.4g %s, R2 %.3f", s.Name, fit.Slope, fit.Intercept, s.YUnit, fit.R2)
	return nil
}

// seriesSet are several quantities that are measured at the same values of one axis.
type seriesSet struct {
	x, unit, conditions string
	list                []measure.Series
	index               map[string]int
}

func newSeriesSet(x, unit, held string) *seriesSet {
	return &seriesSet{x: x, unit: unit, conditions: held, index: map[string]int{}}
}

// add puts one point to the quantity of that name.
func (c *seriesSet) add(role, name, what, unit string, x, y float64) {
	at, known := c.index[name]
	if !known {
		at = len(c.list)
		c.index[name] = at
		c.list = append(c.list, measure.Series{Name: name, Role: role, X: c.x, XUnit: c.unit, Y: what, YUnit: unit, Conditions: c.conditions})
	}
	c.list[at].Points = append(c.list[at].Points, measure.Point{X: x, Y: y})
}

func (c *seriesSet) record(r *recorder) error {
	for _, s := range c.list {
		if err := r.addSeries(s); err != nil {
			return err
		}
	}
	return nil
}
