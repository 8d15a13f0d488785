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
	Missing   Kind = iota // its series are in no run
	WorkedOut             // arithmetic over the operators' figures, or over measured ones
	Extended              // a line's value at the target
	Measured              // at the target itself
)

// Value is an amount at the target and where it is from.
type Value struct {
	Amount float64
	Unit   string
	Kind   Kind
	From   []Projection
}

// errMissing says that no run holds the series.
var errMissing = errors.New("not measured yet")

// book reads projections and remembers them as the sources of a value.
type book struct {
	runs *Runs
	from []Projection
}

// at is the series' value at the target of its axis.
func (b *book) at(name string) (float64, error) {
	s, ok := b.runs.Slope(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p, ok := Project(s)
	if !ok {
		return 0, fmt.Errorf("%s: axis %q has no target", name, s.X)
	}
	b.from = append(b.from, p)
	return p.Value, nil
}

// slope is the line's slope: what one more of the axis adds.
func (b *book) slope(name string) (float64, error) {
	_, err := b.at(name)
	if err != nil {
		return 0, err
	}
	return b.from[len(b.from)-1].Slope.Fit.Slope, nil
}

// interceptOf is the line's value at 0, whether or not its axis has a target.
func (b *book) interceptOf(name string) (float64, error) {
	s, ok := b.runs.Slope(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p := projectTo(s, 0)
	b.from = append(b.from, p)
	return s.Fit.Intercept, nil
}

// worstOf is the largest value of any point, whatever its x: what is promised for each single event is no mean.
func (b *book) worstOf(name string) (float64, error) {
	s, ok := b.runs.Slope(name)
	if !ok {
		return 0, fmt.Errorf("%s: %w", name, errMissing)
	}
	p := Projection{Slope: s, Measured: true, Factor: 1}
	for _, x := range s.Points {
		p.Value = max(p.Value, x.Y)
	}
	b.from = append(b.from, p)
	return p.Value, nil
}

// formula works an amount out.
type formula func(*book) (float64, error)

// at is the formula of a series by itself.
func at(name string) formula {
	return func(b *book) (float64, error) { return b.at(name) }
}

// worst is the formula of a series' largest point.
func worst(name string) formula {
	return func(b *book) (float64, error) { return b.worstOf(name) }
}

// intercept is the formula of a line's value at 0.
func intercept(name string) formula {
	return func(b *book) (float64, error) { return b.interceptOf(name) }
}

// fixed is a formula of the operators' figures alone.
func fixed(v float64) formula {
	return func(*book) (float64, error) { return v, nil }
}

// evaluate takes a formula. plain: it is one series' value and nothing else.
func evaluate(runs *Runs, f formula, unit string, plain bool) Value {
	b := &book{runs: runs}
	amount, err := f(b)
	switch {
	case err != nil:
		return Value{Unit: unit, Kind: Missing}
	case !plain:
		return Value{amount, unit, WorkedOut, b.from}
	case slices.ContainsFunc(b.from, func(p Projection) bool { return !p.Measured }):
		return Value{amount, unit, Extended, b.from}
	}
	return Value{amount, unit, Measured, b.from}
}

// String is the amount, marked where it is not measured.
func (v Value) String() string {
	text := quantity(v.Amount, v.Unit)
	switch v.Kind {
	case Missing:
		return "not measured yet"
	case WorkedOut:
		return text + " (worked out)"
	case Extended:
		return text + " (" + v.From[0].beyond() + ")"
	}
	return text
}

// Basis is the series' ranges and files.
func (v Value) Basis() string {
	var parts []string
	for _, p := range v.From {
		part := fmt.Sprintf("`%s`, %s (%s; R² %s)", p.Slope.Name, p.Slope.Source(), p.Range(), number(p.Slope.Fit.R2))
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
	limit float64
	by    string // operators, or assumed: ours, where they have given none
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
		return fmt.Sprintf("**short by %s** (bound %s, %s)", number(b.factor(v)), quantity(b.limit, v.Unit), b.by)
	case v.Amount <= 0:
		return fmt.Sprintf("holds (bound %s, %s)", quantity(b.limit, v.Unit), b.by)
	}
	return fmt.Sprintf("holds %s times over (bound %s, %s)", number(1/b.factor(v)), quantity(b.limit, v.Unit), b.by)
}
