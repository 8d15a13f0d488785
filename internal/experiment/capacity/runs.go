// Package capacity generates the tables and plots of docs/CAPACITY.md from the committed runs in docs/capacity: the
// load of each role at the operators' target, the series it is projected from, and the factor by which it misses its
// bound.
package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"aspenshed/internal/experiment/measure"
)

// Run is a committed run of an experiment.
type Run struct {
	measure.Run
	File string // file name within docs/capacity
}

// FittedSeries is a series and the run that it belongs to.
type FittedSeries struct {
	measure.Series
	Run *Run
}

// Source returns a reference to the experiment and commit; the end of the page links it to the run's file.
func (s FittedSeries) Source() string { return s.Run.reference() }

func (r *Run) reference() string { return fmt.Sprintf("[%s %s]", r.Experiment, r.Commit) }

// Runs holds all runs, oldest first. If two runs contain a series of the same name, the newer one is used.
type Runs struct {
	All    []*Run
	series map[string]FittedSeries
}

// ReadRuns reads the runs of a directory. A JSON file that can't be decoded is an error, so that no run is left out
// silently.
func ReadRuns(dir string) (*Runs, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []*Run
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Run{File: filepath.Base(path)}
		if err := json.Unmarshal(b, &r.Run); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, r)
	}
	return NewRuns(all)
}

// NewRuns sorts runs and indexes their series. The recorded fit of each series must match its points.
func NewRuns(all []*Run) (*Runs, error) {
	slices.SortFunc(all, func(a, b *Run) int {
		return cmp.Or(a.Started.Compare(b.Started), strings.Compare(a.File, b.File))
	})
	runs := &Runs{All: all, series: map[string]FittedSeries{}}
	for _, r := range all {
		for _, s := range r.Series {
			fit, err := measure.LeastSquares(s.Points)
			if err != nil {
				return nil, fmt.Errorf("%s: %s: %w", r.File, s.Name, err)
			}
			if !nearlyEqual(fit, s.Fit) {
				return nil, fmt.Errorf("%s: %s: recorded fit %+v differs from the fit of its points %+v", r.File, s.Name, s.Fit, fit)
			}
			runs.series[s.Name] = FittedSeries{s, r}
		}
	}
	return runs, nil
}

// nearlyEqual compares fits with a tolerance for the rounding of differently ordered sums.
func nearlyEqual(a, b measure.Fit) bool {
	close := func(x, y, scale float64) bool { return abs(x-y) <= 1e-9*max(abs(x), abs(y), scale) }
	return close(a.Slope, b.Slope, 0) && close(a.Intercept, b.Intercept, abs(a.Slope))
}

func abs(x float64) float64 { return max(x, -x) }

// SeriesNamed returns the series of the given name.
func (r *Runs) SeriesNamed(name string) (FittedSeries, bool) {
	s, ok := r.series[name]
	return s, ok
}

// AllSeries returns the series in use, sorted by name.
func (r *Runs) AllSeries() (out []FittedSeries) {
	for _, s := range r.series {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b FittedSeries) int { return strings.Compare(a.Name, b.Name) })
	return out
}
