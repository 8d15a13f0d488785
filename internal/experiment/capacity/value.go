package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kind says how far a value is to be trusted.
type Kind int

// The kinds.
const (
	Missing      Kind = iota // its series are in no run
	Derived                  // arithmetic over the operators' figures, or over measured ones
	Extrapolated             // a line's value at the target
	Measured                 // at the target itself
)

// Value is an amount at the target and where it is from.
type Value struct {
	Amount  float64
	Unit    string
	Kind    Kind
	Sources []Projection
}

// errMissing says that no run holds the series.
var errMissing = errors.New("not measured yet")

// evaluation reads projections and remembers them as the sources of a value.
type evaluation struct {
	runs    *Runs
	sources []Projection
}

// at is the series' value at the target of its axis.
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

// slope is the line's slope: what one more of the axis adds.
func (b *evaluation) slope(name string) (float64, error) {
	_, err := b.at(name)
	if err != nil {
		return 0, err
	}
	return b.sources[len(b.sources)-1].Series.Fit.Slope, nil
}

// intercept is the line's value at 0, whether or not its axis has a target.
func (b *evaluation) intercept(name string) (float64, error) {
	s, ok := b.runs.SeriesNamed(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p := projectTo(s, 0)
	b.sources = append(b.sources, p)
	return s.Fit.Intercept, nil
}

// largest is the largest value of any point, whatever its x: what is promised for each single event is no mean.
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

// formula works an amount out.
type formula func(*evaluation) (float64, error)

// atTarget is the formula of a series by itself.
func atTarget(name string) formula {
	return func(b *evaluation) (float64, error) { return b.at(name) }
}

// largestPoint is the formula of a series' largest point.
func largestPoint(name string) formula {
	return func(b *evaluation) (float64, error) { return b.largest(name) }
}

// intercept is the formula of a line's value at 0.
func intercept(name string) formula {
	return func(b *evaluation) (float64, error) { return b.intercept(name) }
}

// constant is a formula of the operators' figures alone.
func constant(v float64) formula {
	return func(*evaluation) (float64, error) { return v, nil }
}

// evaluate takes a formula. plain: it is one series' value and nothing else.
func evaluate(runs *Runs, f formula, unit string, plain bool) Value {
	b := &evaluation{runs: runs}
	amount, err := f(b)
	switch {
	case err != nil:
		return Value{Unit: unit, Kind: Missing}
	case !plain:
		return Value{amount, unit, Derived, b.sources}
	case slices.ContainsFunc(b.sources, func(p Projection) bool { return !p.Measured }):
		return Value{amount, unit, Extrapolated, b.sources}
	}
	return Value{amount, unit, Measured, b.sources}
}

// String is the amount, marked where it is not measured.
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

// Basis is the series' ranges and files.
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

// bound is what an amount may reach, and who says so.
type bound struct {
	limit  float64
	source string // operators, or assumed: ours, where they have given none
}

const (
	operators = "operators"
	settings  = "settings" // a database's, as the classes' file has them
	assumed   = "assumed"
)

// Factor is the amount over the bound: above 1 it falls short by that.
func (b bound) factor(v Value) float64 { return v.Amount / b.limit }

// margin says how an amount stands to its bound.
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
