// Package datapath measures how the cost of the data path grows with the fleet: the routing module by members and by
// requests in flight; connections, handshakes and probes of a gateway and at a database; idle clients; a change of
// primary and a cold start. Gateways are either real processes on loopback or real pipelines in virtual time with
// simulated databases; the conditions of each series say which.
package datapath

import (
	"fmt"
	"io"
	"time"

	"aspenshed/internal/experiment/measure"
)

// Options select the experiments and their extent.
type Options struct {
	Only  string // name of the only experiment to run; empty: all
	Short bool   // a reduced form for tests, whose figures are not for the page
	Seed  uint64
	Out   io.Writer // receives progress messages
}

// experiment is a named measurement that adds its series to a run.
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

// Names returns the valid values of Options.Only.
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
		startedAt := time.Now()
		r.note("%s: load average %s at its start", e.name, loadAverage())
		if err := runOnOneThread(func() error { return e.run(r, o) }); err != nil {
			return r.run, fmt.Errorf("%s: %w", e.name, err)
		}
		r.progress("%s done in %s", e.name, time.Since(startedAt).Round(time.Second))
	}
	if !known {
		return r.run, fmt.Errorf("unknown experiment %q, want one of %v", o.Only, Names())
	}
	r.run.Seconds = time.Since(r.startedAt).Seconds()
	return r.run, nil
}

// recorder collects the results of a run.
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

// addSeries fits a line to the points of a series and adds the series to the run.
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

// seriesSet is a set of series measured at the same values of one axis.
type seriesSet struct {
	x, unit, conditions string
	list                []measure.Series
	index               map[string]int
}

func newSeriesSet(x, unit, held string) *seriesSet {
	return &seriesSet{x: x, unit: unit, conditions: held, index: map[string]int{}}
}

// add appends a point to the series of that name.
func (c *seriesSet) add(role, name, quantity, unit string, x, y float64) {
	i, known := c.index[name]
	if !known {
		i = len(c.list)
		c.index[name] = i
		c.list = append(c.list, measure.Series{Name: name, Role: role, X: c.x, XUnit: c.unit, Y: quantity, YUnit: unit, Conditions: c.conditions})
	}
	c.list[i].Points = append(c.list[i].Points, measure.Point{X: x, Y: y})
}

func (c *seriesSet) record(r *recorder) error {
	for _, s := range c.list {
		if err := r.addSeries(s); err != nil {
			return err
		}
	}
	return nil
}
