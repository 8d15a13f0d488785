package capacity

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../../.."

// Guards against a page or plots that are out of date with the committed runs. The command
// "go run ./internal/experiment/capacity/cmd/capacity" regenerates them.
func TestPageAndPlotsMatchRuns(t *testing.T) {
	runs, err := ReadRuns(filepath.Join(root, RunsPath))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(root, PagePath))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Rewrite(string(page), runs)
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Errorf("%s is out of date with its runs; first difference at line %d", PagePath, firstDifference(want, string(page)))
	}
	plots, err := Plots(runs)
	if err != nil {
		t.Fatal(err)
	}
	for name, svg := range plots {
		got, err := os.ReadFile(filepath.Join(root, PlotPath, name))
		if err != nil || !bytes.Equal(got, svg) {
			t.Errorf("%s/%s is out of date with its runs (%v)", PlotPath, name, err)
		}
	}
	committed, err := filepath.Glob(filepath.Join(root, PlotPath, "*"))
	if err != nil || len(committed) != len(plots) {
		t.Errorf("%d plots committed, %d generated (%v)", len(committed), len(plots), err)
	}
}

func firstDifference(a, b string) int {
	x, y := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range min(len(x), len(y)) {
		if x[i] != y[i] {
			return i + 1
		}
	}
	return min(len(x), len(y)) + 1
}

// Guards the size of the programs: only the capacity command imports the plot packages.
func TestProgramsDoNotImportPlots(t *testing.T) {
	cmd := exec.Command("go", "list", "-deps", "./cmd/...")
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, pkg := range strings.Fields(string(out)) {
		if strings.HasPrefix(pkg, "gonum.org/v1/plot") || strings.HasPrefix(pkg, "aspenshed/internal/experiment/capacity") {
			t.Errorf("cmd imports %s", pkg)
		}
	}
}

func TestRewriteKeepsHandwrittenText(t *testing.T) {
	runs, err := NewRuns(nil)
	if err != nil {
		t.Fatal(err)
	}
	generated, err := sections(runs)
	if err != nil {
		t.Fatal(err)
	}
	page := "prose\n"
	for name := range generated {
		page += beginMark + name + closeMark + "stale\n" + endMark + name + closeMark + "more prose\n"
	}
	got, err := Rewrite(page, runs)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(got, "stale") || !strings.HasPrefix(got, "prose\n") || strings.Count(got, "more prose\n") != len(generated) {
		t.Error(got)
	}
	if again, err := Rewrite(got, runs); err != nil || again != got {
		t.Errorf("rewriting again changes the page (%v)", err)
	}
	for name, bad := range map[string]string{
		"missing section": "prose\n",
		"unknown section": page + beginMark + "unknown" + closeMark + endMark + "unknown" + closeMark,
		"no end":          strings.Replace(page, endMark+"target"+closeMark, "", 1),
		"twice":           page + beginMark + "target" + closeMark + endMark + "target" + closeMark,
	} {
		if _, err := Rewrite(bad, runs); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
