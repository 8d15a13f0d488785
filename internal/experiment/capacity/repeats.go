package capacity

import (
	"slices"
	"strings"
)

// minRepeatSpread is the relative difference at the target from which the page lists a repeated series.
const minRepeatSpread = 0.1

// repeatedSeries is a series that several runs contain.
type repeatedSeries struct {
	name   string
	values []Projection // oldest run first
}

// repeats returns the series that several runs contain and whose axis has a target.
func (r *Runs) repeats() []repeatedSeries {
	byName := map[string][]Projection{}
	for _, run := range r.All {
		for _, s := range run.Series {
			if p, ok := Project(FittedSeries{s, run}); ok {
				byName[s.Name] = append(byName[s.Name], p)
			}
		}
	}
	var out []repeatedSeries
	for name, values := range byName {
		if len(values) > 1 {
			out = append(out, repeatedSeries{name, values})
		}
	}
	slices.SortFunc(out, func(a, b repeatedSeries) int { return strings.Compare(a.name, b.name) })
	return out
}

// spread is the ratio of the largest to the smallest value at the target.
func (x repeatedSeries) spread() float64 {
	smallest, largest := x.values[0].Value, x.values[0].Value
	for _, p := range x.values {
		smallest, largest = min(smallest, p.Value), max(largest, p.Value)
	}
	if smallest == largest {
		return 1
	}
	return largest / smallest
}

// repeatTable lists how much runs of the same series differ.
func repeatTable(runs *Runs) *table {
	t := &table{header: []string{"series", "at the target, by run", "largest over least"}}
	for _, x := range runs.repeats() {
		if s := x.spread(); s >= 0 && s < 1+minRepeatSpread {
			continue
		}
		var values []string
		for _, p := range x.values {
			values = append(values, formatQuantity(p.Value, p.Series.YUnit)+" "+p.Series.Source())
		}
		t.addRow("`"+x.name+"`", strings.Join(values, ", "), formatNumber(x.spread()))
	}
	if len(t.rows) == 0 {
		t.addRow("none", "", "")
	}
	return t
}
