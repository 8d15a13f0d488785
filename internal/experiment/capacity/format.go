package capacity

import (
	"math"
	"strconv"
	"strings"
)

// formatNumber formats a value with three significant digits.
func formatNumber(v float64) string { return formatSignificant(v, 3) }

// formatSignificant formats a value with the given number of significant digits.
func formatSignificant(v float64, significant int) string {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	if a := math.Abs(v); a >= 1e15 || a < 1e-3 {
		return strconv.FormatFloat(v, 'g', significant, 64)
	}
	places := significant - 1 - int(math.Floor(math.Log10(math.Abs(v))))
	digits, scale := max(0, places), math.Pow10(places)
	text := strconv.FormatFloat(math.Round(v*scale)/scale, 'f', digits, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

// groupThousands groups the digits of the integer part by commas.
func groupThousands(text string) string {
	whole, part, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if part != "" {
		whole += "." + part
	}
	return sign + whole
}

// unitPrefixes are the prefixed forms of units that take prefixes, largest first.
var unitPrefixes = map[string][]struct {
	from float64
	text string
}{
	"B":   {{1e9, " GB"}, {1e6, " MB"}, {1e3, " kB"}, {0, " B"}},
	"B/s": {{1e9, " GB/s"}, {1e6, " MB/s"}, {1e3, " kB/s"}, {0, " B/s"}},
	"s":   {{1, " s"}, {1e-3, " ms"}, {1e-6, " µs"}},
}

// formatQuantity formats a value with its unit.
func formatQuantity(v float64, unit string) string {
	for _, p := range unitPrefixes[unit] {
		if abs(v) >= p.from && p.from > 0 {
			return formatNumber(v/p.from) + p.text
		}
	}
	switch unit {
	case "", "1":
		return formatSignificant(v, 4)
	case "1/s":
		return formatNumber(v) + "/s"
	case "core":
		return formatNumber(v) + " core"
	}
	return formatNumber(v) + " " + unit
}

// table is a Markdown table.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) String() string {
	var b strings.Builder
	writeRow := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	writeRow(t.header)
	separator := make([]string, len(t.header))
	for i := range separator {
		separator[i] = "---"
	}
	writeRow(separator)
	for _, r := range t.rows {
		writeRow(r)
	}
	return b.String()
}
