package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kind tells how a value was obtained, and so how far it can be relied on.
type Kind int

// Kinds of values.
const (
	Missing      Kind = iota // a series of it is in no run
	Derived                  // calculated from the operators' figures or from measured values
	Extrapolated             // value of the fitted line at the target
	Measured                 // measured at the target itself
)

// Value is an amount at the target and its sources.
type Value struct {
	Amount  float64
	Unit    string
	Kind    Kind
	Sources []Projection
}

// errMissing reports that no run contains the series.
var errMissing = errors.New("not measured yet")

// evaluation reads projections for a formula and records them as the sources of its value.
type evaluation struct {
	runs    *Runs
	sources []Projection
}

// at returns the value of a series at the target of its axis.
func (b *evaluation) at(name string) (float64, error) {
	s, ok := b.runs.SeriesNamed(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p, ok := Project(s)
	if !ok {
		return 0, fmt.Errorf("%s: axis %q has no target", name, s.X)
	}
	b.sources = append(b.sources, p)
	return p.Value, nil
}

// slope returns the slope of the fitted line: the increase per unit of the axis.
func (b *evaluation) slope(name string) (float64, error) {
	_, err := b.at(name)
	if err != nil {
		return 0, err
	}
	return b.sources[len(b.sources)-1].Series.Fit.Slope, nil
}

// intercept returns the value of the fitted line at 0, whether or not its axis has a target.
func (b *evaluation) intercept(name string) (float64, error) {
	s, ok := b.runs.SeriesNamed(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p := projectTo(s, 0)
	b.sources = append(b.sources, p)
	return s.Fit.Intercept, nil
}

// largest returns the largest value of any point, whatever its x: a bound that holds for each single event can't be
// checked against a mean.
func (b *evaluation) largest(name string) (float64, error) {
	s, ok := b.runs.SeriesNamed(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p := Projection{Series: s, Measured: true, Factor: 1}
	for _, x := range s.Points {
		p.Value = max(p.Value, x.Y)
	}
	b.sources = append(b.sources, p)
	return p.Value, nil
}

// formula calculates an amount.
type formula func(*evaluation) (float64, error)

// atTarget is the formula for the value of a series at its target.
func atTarget(name string) formula {
	return func(b *evaluation) (float64, error) { return b.at(name) }
}

// largestPoint is the formula for the largest point of a series.
func largestPoint(name string) formula {
	return func(b *evaluation) (float64, error) { return b.largest(name) }
}

// intercept is the formula for the value of the fitted line at 0.
func intercept(name string) formula {
	return func(b *evaluation) (float64, error) { return b.intercept(name) }
}

// constant is a formula that uses the operators' figures alone.
func constant(v float64) formula {
	return func(*evaluation) (float64, error) { return v, nil }
}

// evaluate evaluates a formula. singleSeries tells that it is the value of one series alone.
func evaluate(runs *Runs, f formula, unit string, singleSeries bool) Value {
	b := &evaluation{runs: runs}
	amount, err := f(b)
	switch {
	case err != nil:
		return Value{Unit: unit, Kind: Missing}
	case !singleSeries:
		return Value{amount, unit, Derived, b.sources}
	case slices.ContainsFunc(b.sources, func(p Projection) bool { return !p.Measured }):
		return Value{amount, unit, Extrapolated, b.sources}
	}
	return Value{amount, unit, Measured, b.sources}
}

// String formats the amount, marked if it is not measured.
func (v Value) String() string {
	text := formatQuantity(v.Amount, v.Unit)
	switch v.Kind {
	case Missing:
		return "not measured yet"
	case Derived:
		return text + " (worked out)"
	case Extrapolated:
		return text + " (" + v.Sources[0].extrapolation() + ")"
	}
	return text
}

// Basis describes the measured ranges and sources of the series used.
func (v Value) Basis() string {
	var parts []string
	for _, p := range v.Sources {
		part := fmt.Sprintf("`%s`, %s (%s; R² %s)", p.Series.Name, p.Series.Source(), p.Range(), formatNumber(p.Series.Fit.R2))
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	switch {
	case v.Kind == Missing:
		return ""
	case len(parts) == 0:
		return "the operators' figures"
	}
	return strings.Join(parts, "; ")
}

// bound is the limit of an amount and the source of the limit.
type bound struct {
	limit  float64
	source string // operators; settings; or assumed, where the operators have given none
}

const (
	operators = "operators"
	settings  = "settings" // a database's limits, as configured with the classes
	assumed   = "assumed"
)

// factor is the ratio of the amount to the bound; above 1 the amount exceeds the bound by that factor.
func (b bound) factor(v Value) float64 { return v.Amount / b.limit }

// margin describes how an amount compares with its bound.
func (b bound) margin(v Value) string {
	switch {
	case b.limit == 0 || v.Kind == Missing:
		return ""
	case b.factor(v) > 1:
		return fmt.Sprintf("**short by %s** (bound %s, %s)", formatNumber(b.factor(v)), formatQuantity(b.limit, v.Unit), b.source)
	case v.Amount <= 0:
		return fmt.Sprintf("holds (bound %s, %s)", formatQuantity(b.limit, v.Unit), b.source)
	}
	return fmt.Sprintf("holds %s times over (bound %s, %s)", formatNumber(1/b.factor(v)), formatQuantity(b.limit, v.Unit), b.source)
}
