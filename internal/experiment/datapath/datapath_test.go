package datapath

import (
	"io"
	"reflect"
	"slices"
	"strings"
	"testing"

	"aspenshed"

	"aspenshed/internal/experiment/measure"
)

func runShort(t *testing.T, name string, seed uint64) measure.Run {
	t.Helper()
	r, err := Run(Options{Only: name, Short: true, Seed: seed, Out: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards the reproducibility of the page's figures: in virtual time equal seeds give equal series.
func TestVirtualTimeIsDeterministic(t *testing.T) {
	for _, name := range []string{"group", "cold", "primary", "zone"} {
		a, b := runShort(t, name, 7), runShort(t, name, 7)
		if !reflect.DeepEqual(a.Series, b.Series) {
			t.Errorf("%s: two runs of seed 7 differ", name)
		}
		if other := runShort(t, name, 8); reflect.DeepEqual(a.Series, other.Series) {
			t.Errorf("%s: seed 8 gives the same series as seed 7", name)
		}
	}
}

// Every experiment's short form yields named series with a fit; some run a real gateway process on loopback.
func TestShortExperimentsYieldFittedSeries(t *testing.T) {
	seen := map[string]bool{}
	for _, name := range Names() {
		r := runShort(t, name, 1)
		if len(r.Series) == 0 {
			t.Errorf("%s: no series", name)
		}
		for _, s := range r.Series {
			if seen[s.Name] || s.Role == "" || s.YUnit == "" || s.Conditions == "" || len(s.Points) < 2 {
				t.Errorf("%s: series %+v", name, s)
			}
			seen[s.Name] = true
		}
		if !slices.Contains(r.Notes, "seed 1") {
			t.Errorf("%s: notes %q name no seed", name, r.Notes)
		}
	}
}

func TestUnknownExperimentIsRejected(t *testing.T) {
	if _, err := Run(Options{Only: "nothing", Out: io.Discard}); err == nil || !strings.Contains(err.Error(), `"nothing"`) {
		t.Error(err)
	}
}

func TestOutage(t *testing.T) {
	const lost = 100 * second
	at := func(seconds float64, served bool) completion {
		return completion{class: write, arrivedAt: lost + aspenshed.Nanos(seconds*1e9), served: served}
	}
	for _, c := range []struct {
		name   string
		writes []completion
		want   outage
	}{
		{"all served", []completion{at(0.1, true), at(1.1, true)}, outage{}},
		{"unserved in the first second only", []completion{at(0.5, false), at(1.5, true)}, outage{1, 0.5, 1}},
		{"one of two unserved in the third second", []completion{at(0.5, true), at(2.25, false), at(2.5, true), at(3, true)}, outage{3, 2.25, 1}},
		{"writes after the end are ignored", []completion{at(0.5, true), at(9.5, false)}, outage{}},
	} {
		if got := computeOutage(c.writes, lost, lost+9*second); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards the simulation's counts: statements reach databases, each open connection is listed once at its database, and
// a failed primary has none.
func TestConnectionsAreCountedOnce(t *testing.T) {
	s, err := settings(1)
	if err != nil {
		t.Fatal(err)
	}
	w := newSimulation(3)
	w.addGroups(2, 3)
	if err := w.addGateways(4, s, 40); err != nil {
		t.Fatal(err)
	}
	w.run(simulationStart + 5*second)
	counts, open := w.totalLoad()
	if counts.statements < 600 || counts.statements > 1000 || open == 0 || counts.handshakes < open {
		t.Fatalf("%+v, %d open, after 800 statements requested", counts, open)
	}
	lost := w.databases[0]
	w.fail(lost, refusing)
	w.run(w.clock.now + 3*second)
	if len(lost.connections) != 0 || lost.model.Primary {
		t.Errorf("a failed database keeps %d connections", len(lost.connections))
	}
	for _, d := range w.databases {
		for i, l := range d.connections {
			if l.index != i || l.closed {
				t.Fatalf("connection %d of %s: index %d, closed %v", i, d.id, l.index, l.closed)
			}
		}
	}
}
