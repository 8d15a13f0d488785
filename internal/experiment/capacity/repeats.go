package capacity

import (
	"slices"
	"strings"
)

// minRepeatSpread is by what part two runs must differ at the target for the page to say so.
const minRepeatSpread = 0.1

// repeatedSeries is a series that several runs hold.
type repeatedSeries struct {
	name   string
	values []Projection // the oldest run first
}

// repeats are the series that several runs hold and whose axis has a target.
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

// spread is the largest value at the target over the least.
func (x repeatedSeries) spread() float64 {
	least, most := x.values[0].Value, x.values[0].Value
	for _, p := range x.values {
		least, most = min(least, p.Value), max(most, p.Value)
	}
	if least == most {
		return 1
	}
	return most / least
}

// repeatTable shows how far runs of the same series lie apart.
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
