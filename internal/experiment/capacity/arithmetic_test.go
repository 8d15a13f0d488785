package capacity

import (
	"math"
	"strings"
	"testing"
	"time"

	"aspenshed/internal/experiment/measure"
)

// runOnLine returns a run with one series whose points lie on y = intercept + slope x at the given x.
func runOnLine(t *testing.T, name, x string, intercept, slope float64, xs ...float64) *Run {
	t.Helper()
	s := measure.Series{Name: name, X: x, YUnit: "B"}
	for _, at := range xs {
		s.Points = append(s.Points, measure.Point{X: at, Y: intercept + slope*at})
	}
	fit, err := measure.LeastSquares(s.Points)
	if err != nil {
		t.Fatal(err)
	}
	s.Fit = fit
	return &Run{Run: measure.Run{Experiment: "test", Commit: "abc", Started: time.Unix(0, 0), Series: []measure.Series{s}}, File: name + ".json"}
}

func testRuns(t *testing.T) *Runs {
	t.Helper()
	runs, err := NewRuns([]*Run{
		runOnLine(t, "voter.log-bytes-by-members", "members of the inventory", 100, 63, 2100, 10500),
		runOnLine(t, "client.connect-time-by-clients", "clients", 0.1, 0.0005, 500, 4000),
		runOnLine(t, "gateway.bytes-by-gateways", "gateways", 400, 0, 150, 2400),
		runOnLine(t, "voter.catalog-bytes-by-groups", "groups", 0, 86, 35, 350),
		runOnLine(t, "client.memory-by-clients", "clients", 20e6, 10e3, 500, 4000),
		runOnLine(t, "datapath.heap-by-members", "members", 1e6, 1000, 2100, 10500),
		runOnLine(t, "datapath.connections-by-members", "members", 0, 0.5, 2100, 10500),
		runOnLine(t, "datapath.cores-by-statements", "statements a second", 0.1, 1e-4, 100, 600),
		runOnLine(t, "datapath.router-cores-by-members", "members", 0, 1e-5, 2100, 21000),
		runOnLine(t, "client.bytes-by-statements", "statements a second", 0, 400, 100, 600),
		runOnLine(t, "database.connections-by-gateways", "gateways", 10, 0.9, 150, 2400),
	})
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

// Every derived quantity, compared with values calculated by hand from testRuns.
func TestDerivedQuantities(t *testing.T) {
	for _, c := range []struct {
		name  string
		value formula
		want  float64
	}{
		{"series at its target: 100 + 63 x 21,000", atTarget("voter.log-bytes-by-members"), 1323100},
		{"learned state of all instances: 2,400 x 86 B x 3,500", learnedCatalogBytes, 722400000},
		{"whole lists: 1,323,100 x 63,000 / 86,400", wholeListBytesPerSecond, 964760.4},
		{"changes of a whole zone, whole lists: 1,323,100 x 21,000 / 19", zoneWholeListBytes, 1462373684},
		{"changes of a whole zone, members alone: 63 x 1,105.26", zoneChangeBytes, 69631.6},
		{"snapshots of all gateways: 1,323,100 x 2,400", allSnapshotBytes, 3175440000},
		{"snapshots of a zone's gateways: 1,323,100 x 2,400 / 19", zoneSnapshotBytes, 167128421},
		{"snapshot rate of each of 5 voters, within 11 s", zoneSnapshotBytesPerSecond, 3038698.6},
		{"reconnecting a lost gateway's clients: 6,666.67 x 0.5 ms", reconnectTime, 3.33333},
		{"streams: 200 times 400 B/s", multipliedBy("gateway.bytes-by-gateways", 200), 80000},
		{"the largest point: 10 + 0.9 x 2,400", largestPoint("database.connections-by-gateways"), 2170},
		{"intercept of the line", intercept("client.memory-by-clients"), 20e6},
		{"one client: the slope", perClient("client.memory-by-clients"), 10000},
		{"bytes of one client: 400 x 1,208.33 / 6,666.67", dividedBy("client.bytes-by-statements", 6666.667), 72.5},
		{"memory: 86.67 MB of clients, 22 MB of state, 10,500 connections of 10 kB", gatewayMemoryBytes, 213666667},
		{"cores: 0.1 + 0.1208 + 0.21", gatewayCores, 0.43083},
		{"burst of saved requests: 2,400 x 1.2 / (0.1 x 2.5 x 60 x 1.5)", constant(burstTerm(2400)), 128},
		{"burst of two gateways: 2 x 1.2 / 22.5", constant(burstTerm(2)), 0.10667},
		{"probe round of the daemon: 250 ms", constant(probeRoundSeconds(1)), 0.25},
		{"probe round with 80 gateways configured: 0.25 x 80 / 40", constant(probeRoundSeconds(80)), 0.5},
		{"probe round with 2,400 gateways configured: the maximum", constant(probeRoundSeconds(2400)), 4},
	} {
		got, err := c.value(&evaluation{runs: testRuns(t)})
		if err != nil || math.Abs(got-c.want) > 1e-4*math.Abs(c.want) {
			t.Errorf("%s: %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}

func TestValueKinds(t *testing.T) {
	runs := testRuns(t)
	for _, c := range []struct {
		name         string
		value        formula
		singleSeries bool
		want         Kind
	}{
		{"series in no run", atTarget("database.nothing"), true, Missing},
		{"beyond the range", atTarget("voter.log-bytes-by-members"), true, Extrapolated},
		{"at the target", atTarget("database.connections-by-gateways"), true, Measured},
		{"arithmetic", wholeListBytesPerSecond, false, Derived},
		{"arithmetic over what is missing", dividedBy("database.nothing", 2), false, Missing},
	} {
		if v := evaluate(runs, c.value, "B", c.singleSeries); v.Kind != c.want {
			t.Errorf("%s: kind %d, want %d", c.name, v.Kind, c.want)
		}
	}
	if v := evaluate(runs, atTarget("voter.log-bytes-by-members"), "B", true); v.String() != "1.32 MB (extrapolated 2 times)" {
		t.Errorf("%s", v)
	}
	if v := evaluate(runs, wholeListBytesPerSecond, "B/s", false); !strings.HasSuffix(v.String(), "(worked out)") || !strings.Contains(v.Basis(), "extrapolated 2 times") {
		t.Errorf("%s from %s", v, v.Basis())
	}
}

// Points measured at the target take precedence over the line, as a quantity that grows in steps has no fitting line.
func TestProjectionPrefersPointsAtTarget(t *testing.T) {
	s := measure.Series{Name: "x", X: "gateways", Points: []measure.Point{{X: 150, Y: 1}, {X: 1200, Y: 1}, {X: 2400, Y: 5}, {X: 2400, Y: 7}}}
	s.Fit, _ = measure.LeastSquares(s.Points)
	p, ok := Project(FittedSeries{s, &Run{}})
	if !ok || !p.Measured || p.Value != 6 || p.Factor != 1 {
		t.Errorf("%+v %v", p, ok)
	}
}

func TestMargin(t *testing.T) {
	for _, c := range []struct {
		amount, limit float64
		want          string
	}{
		{14000, 7000, "**short by 2** (bound 7 kB/s, operators)"},
		{3500, 7000, "holds 2 times over (bound 7 kB/s, operators)"},
		{0, 7000, "holds (bound 7 kB/s, operators)"},
		{5, 0, ""},
	} {
		if got := (bound{c.limit, operators}).margin(Value{Amount: c.amount, Unit: "B/s", Kind: Measured}); got != c.want {
			t.Errorf("%v of %v: %q, want %q", c.amount, c.limit, got, c.want)
		}
	}
}

func TestQuantity(t *testing.T) {
	for _, c := range []struct {
		v    float64
		unit string
		want string
	}{
		{0, "B", "0 B"}, {999, "B", "999 B"}, {1234567, "B", "1.23 MB"}, {960e3, "B/s", "960 kB/s"}, {4.2e-6, "s", "4.2 µs"}, {3e-10, "s", "3e-10 s"},
		{0.0123, "s", "12.3 ms"}, {12, "s", "12 s"}, {21000, "1", "21,000"}, {1105.26, "1", "1,105"}, {1208.33, "1/s", "1,210/s"}, {0.021, "core", "0.021 core"},
		{-0.5, "core", "-0.5 core"}, {1.6e7, "1", "16,000,000"},
	} {
		if got := formatQuantity(c.v, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.v, c.unit, got, c.want)
		}
	}
}

// The requirement with the largest factor comes first, unmeasured ones last.
func TestRanking(t *testing.T) {
	rows := rankedTable(testRuns(t), requirements()).rows
	if len(rows) != len(requirements()) {
		t.Fatalf("%d rows of %d requirements", len(rows), len(requirements()))
	}
	if !strings.HasPrefix(rows[0][1], "cold database, what could") || rows[0][4] != "**short by 128**" {
		t.Errorf("first: %q", rows[0])
	}
	if second := rows[1]; !strings.HasPrefix(second[1], "whole data path") && !strings.HasPrefix(second[1], "Router.Step") {
		t.Errorf("second: %q", second)
	}
	if last := rows[len(rows)-1]; last[2] != "not measured yet" {
		t.Errorf("last: %q", last)
	}
}

// A series in two runs is listed, with both values, only if they differ by at least a tenth at the target.
func TestRepeats(t *testing.T) {
	older, newer := runOnLine(t, "x", "gateways", 0, 2, 1200, 2400), runOnLine(t, "x", "gateways", 0, 5, 1200, 2400)
	same, again := runOnLine(t, "y", "gateways", 0, 2, 1200, 2400), runOnLine(t, "y", "gateways", 0, 2.1, 1200, 2400)
	newer.Started, again.Started = time.Unix(60, 0), time.Unix(60, 0)
	runs, err := NewRuns([]*Run{older, newer, same, again})
	if err != nil {
		t.Fatal(err)
	}
	rows := repeatTable(runs).rows
	if len(rows) != 1 || rows[0][1] != "4.8 kB [test abc], 12 kB [test abc]" || rows[0][2] != "2.5" {
		t.Errorf("%q", rows)
	}
}

func TestNewRunsRejectsInconsistentFit(t *testing.T) {
	r := runOnLine(t, "x", "gateways", 1, 2, 10, 20)
	r.Series[0].Fit.Slope = 3
	if _, err := NewRuns([]*Run{r}); err == nil {
		t.Error("no error")
	}
}

func TestNewestSeriesWins(t *testing.T) {
	older, newer := runOnLine(t, "x", "gateways", 1, 2, 10, 20), runOnLine(t, "x", "gateways", 1, 5, 10, 20)
	newer.Started = time.Unix(60, 0)
	runs, err := NewRuns([]*Run{newer, older})
	if err != nil {
		t.Fatal(err)
	}
	if s, ok := runs.SeriesNamed("x"); !ok || math.Abs(s.Fit.Slope-5) > 1e-9 {
		t.Errorf("%+v", s)
	}
}
