// Package capacity turns the committed runs of docs/capacity into the tables and plots of docs/CAPACITY.md: what each
// role carries at the operators' target, from which slope, and by what factor that falls short.
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

// Run is a committed run.
type Run struct {
	measure.Run
	File string // its name within docs/capacity
}

// FittedSeries is a series and the run that it is of.
type FittedSeries struct {
	measure.Series
	Run *Run
}

// Source names experiment and commit; the page's end says where that file lies.
func (s FittedSeries) Source() string { return s.Run.reference() }

func (r *Run) reference() string { return fmt.Sprintf("[%s %s]", r.Experiment, r.Commit) }

// Runs are all of them, the oldest first. Where two hold a series of the same name the newer one counts.
type Runs struct {
	All    []*Run
	series map[string]FittedSeries
}

// ReadRuns reads a folder. Files that are no runs are an error: nothing is left out unseen.
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

// NewRuns puts runs together. Each fit must be that of its points.
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
				return nil, fmt.Errorf("%s: %s: the fit %+v is not that of its points, %+v", r.File, s.Name, s.Fit, fit)
			}
			runs.series[s.Name] = FittedSeries{s, r}
		}
	}
	return runs, nil
}

// nearlyEqual allows for the order of additions.
func nearlyEqual(a, b measure.Fit) bool {
	close := func(x, y, scale float64) bool { return abs(x-y) <= 1e-9*max(abs(x), abs(y), scale) }
	return close(a.Slope, b.Slope, 0) && close(a.Intercept, b.Intercept, abs(a.Slope))
}

func abs(x float64) float64 { return max(x, -x) }

// SeriesNamed is the series of that name.
func (r *Runs) SeriesNamed(name string) (FittedSeries, bool) {
	s, ok := r.series[name]
	return s, ok
}

// AllSeries are all that count, by name.
func (r *Runs) AllSeries() (out []FittedSeries) {
	for _, s := range r.series {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b FittedSeries) int { return strings.Compare(a.Name, b.Name) })
	return out
}
