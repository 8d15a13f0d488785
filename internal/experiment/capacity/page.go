package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"aspenshed/internal/experiment/target"
)

// Paths of the page, the runs that it is generated from and its plots, relative to the module's root.
const (
	PagePath = "docs/CAPACITY.md"
	RunsPath = "docs/capacity"
	PlotPath = "docs/capacity/plots"
)

const (
	beginMark = "<!-- begin "
	endMark   = "<!-- end "
	closeMark = " -->\n"
)

// sections returns the generated sections of the page by marker name.
func sections(runs *Runs) (map[string]string, error) {
	plots, err := plotSection(runs)
	if err != nil {
		return nil, err
	}
	return map[string]string{
		"target":  targetTable().String(),
		"ranked":  rankedTable(runs, requirements()).String(),
		"before":  rankedTable(runs, requirementsBeforeSubscription()).String(),
		"roles":   roleTables(runs),
		"losses":  disruptionTable(runs).String(),
		"events":  eventTable(runs).String(),
		"checks":  checkTable(runs).String(),
		"claims":  referenceTable(runs).String(),
		"runs":    runTable(runs).String() + references(runs),
		"repeats": repeatTable(runs).String(),
		"slopes":  seriesTable(runs).String(),
		"plots":   plots,
		"summary": summary(runs),
	}, nil
}

// Rewrite replaces the text between the section markers of the page with the generated sections and keeps all other
// text.
func Rewrite(page string, runs *Runs) (string, error) {
	generated, err := sections(runs)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for rest := page; ; {
		before, after, found := strings.Cut(rest, beginMark)
		out.WriteString(before)
		if !found {
			break
		}
		name, after, ok := strings.Cut(after, closeMark)
		text, known := generated[name]
		_, after, ended := strings.Cut(after, endMark+name+closeMark)
		if !ok || !known || !ended {
			return "", fmt.Errorf("section %q is unknown, repeated or has no end marker", name)
		}
		delete(generated, name)
		out.WriteString(beginMark + name + closeMark + "\n" + text + "\n" + endMark + name + closeMark)
		rest = after
	}
	for name := range generated {
		return "", fmt.Errorf("section %q is missing from the page", name)
	}
	return out.String(), nil
}

// Write generates the page and the plots from the committed runs. root is the module's root directory.
func Write(root string) error {
	runs, err := ReadRuns(filepath.Join(root, RunsPath))
	if err != nil {
		return err
	}
	path := filepath.Join(root, PagePath)
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := Rewrite(string(page), runs)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	plots, err := Plots(runs)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(root, PlotPath), 0o755); err != nil {
		return err
	}
	for name, svg := range plots {
		if err := os.WriteFile(filepath.Join(root, PlotPath, name), svg, 0o644); err != nil {
			return err
		}
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

func targetTable() *table {
	t := &table{header: []string{"what follows from the operators' figures", ""}}
	for _, x := range []struct {
		what  string
		value float64
	}{
		{"statements at a gateway a second", target.StatementsPerGateway()},
		{"clients of a gateway", target.ClientsPerGateway()},
		{"gateways of a zone", target.GatewaysPerZone()},
		{"gateways of a region", target.GatewaysPerRegion()},
		{"databases of a zone: gone at once with it", target.DatabasesPerZone()},
		{"groups of 6 databases (6: assumed, as issue 29 reckons)", target.Groups()},
		{"statements at a database a second", target.StatementsPerDatabase()},
		{"statements at a group a second", target.StatementsPerGroup()},
		{"changes of configuration a second", target.ChangesPerSecond()},
		{"restarts and replacements of machines a second", target.RestartsPerSecond()},
	} {
		t.addRow(x.what, formatSignificant(x.value, 4))
	}
	return t
}

func roleTables(runs *Runs) string {
	var b strings.Builder
	for i, r := range roles() {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString(r.heading() + r.table(runs).String())
	}
	return b.String()
}

func runTable(runs *Runs) *table {
	t := &table{header: []string{"run", "began", "took", "machine", "command", "notes"}}
	for _, r := range runs.All {
		t.addRow(r.reference(), r.Started.Format("2006-01-02 15:04"), formatQuantity(r.Seconds, "s"), r.Machine, "`"+r.Command+"`", strings.Join(r.Notes, "; "))
	}
	if len(t.rows) == 0 {
		t.addRow("none yet", "", "", "", "", "")
	}
	return t
}

// references lists the link targets of the runs that the tables refer to.
func references(runs *Runs) string {
	var b strings.Builder
	for _, r := range runs.All {
		fmt.Fprintf(&b, "\n%s: capacity/%s", r.reference(), r.File)
	}
	return b.String() + "\n"
}

func seriesTable(runs *Runs) *table {
	t := &table{header: []string{"series", "quantity", "by", "slope", "intercept", "R²", "largest residual", "points", "held still", "run"}}
	for _, s := range runs.AllSeries() {
		minX, maxX := s.Points[0].X, s.Points[0].X
		for _, p := range s.Points {
			minX, maxX = min(minX, p.X), max(maxX, p.X)
		}
		t.addRow("`"+s.Name+"`", s.Y, s.X, formatQuantity(s.Fit.Slope, s.YUnit), formatQuantity(s.Fit.Intercept, s.YUnit), formatNumber(s.Fit.R2), formatQuantity(s.Fit.MaxResidual, s.YUnit),
			fmt.Sprintf("%d, %s to %s", len(s.Points), formatNumber(minX), formatNumber(maxX)), s.Conditions, s.Source())
	}
	if len(t.rows) == 0 {
		t.addRow("none yet", "", "", "", "", "", "", "", "", "")
	}
	return t
}

// summary counts the requirements that hold, fall short or are not measured.
func summary(runs *Runs) string {
	short, met, missing := 0, 0, 0
	for _, n := range requirements() {
		switch v := evaluate(runs, n.value, n.unit, n.singleSeries); {
		case v.Kind == Missing:
			missing++
		case n.bound.factor(v) > 1:
			short++
		default:
			met++
		}
	}
	return fmt.Sprintf("Of %d needs below %d fall short, %d hold, %d are not measured yet.\n", len(requirements()), short, met, missing)
}
