package datapath

import (
	"fmt"

	"aspenshed"

	"aspenshed/internal/experiment/target"
)

const startupWindow = 20 * second // measured after all gateways have started

func fleetSizes(o Options) []int {
	if o.Short {
		return []int{5, 10}
	}
	return []int{150, 300, 600, 1200, 2400}
}

// groupConditions describes the constant parameters where gateways share one group: the group's target load, whatever
// the number of gateways.
func groupConditions(fleet string) string {
	return fmt.Sprintf("one group of %.0f databases, %.0f statements/s over all gateways, %s, virtual time",
		target.GroupSize, target.StatementsPerGroup(), fleet)
}

const (
	singleGatewayCondition = "each told it is the only gateway (as the daemon does)"
	gatewayCountCondition  = "each told how many gateways there are (as the platform's settings do)"
)

// newGroupSimulation returns a simulation of one group and the given number of gateways.
func newGroupSimulation(gateways int, s aspenshed.Settings, o Options) (*simulation, error) {
	w := newSimulation(o.Seed)
	w.addGroups(1, int(target.GroupSize))
	rate := target.StatementsPerGroup()
	if o.Short {
		rate = 50
	}
	return w, w.addGateways(gateways, s, rate/float64(gateways))
}

// measureGroup measures the load of a database at start and in steady state, by the number of gateways.
func measureGroup(r *recorder, o Options) error {
	span := measureWindow{90 * second, 30 * second}
	if o.Short {
		span = measureWindow{3 * second, 2 * second}
	}
	c := newSeriesSet("gateways", "1", groupConditions(singleGatewayCondition))
	for _, n := range fleetSizes(o) {
		s, err := settings(1)
		if err != nil {
			return err
		}
		w, err := newGroupSimulation(n, s, o)
		if err != nil {
			return err
		}
		start := w.runAndFindPeak(simulationStart + min(span.settle, startupWindow))
		w.run(simulationStart + span.settle)
		from := totalLoadOf(w)
		w.run(simulationStart + span.settle + span.measure)
		to := totalLoadOf(w)
		_, connections := w.totalLoad()
		each := float64(len(w.databases))
		per := func(n int) float64 { return float64(n) / each / (float64(span.measure) / 1e9) }
		c.add("database", "database.start-handshakes-by-gateways", "handshakes at a database in the worst second after all gateways start", "1/s", float64(n), start.handshakes)
		c.add("database", "database.start-probes-by-gateways", "probes at a database in the worst second after all gateways start", "1/s", float64(n), start.probes)
		c.add("database", "database.connections-by-gateways", "connections at a database", "1", float64(n), float64(connections)/each)
		c.add("database", "database.handshakes-by-gateways", "handshakes at a database", "1/s", float64(n), per(to.handshakes-from.handshakes))
		c.add("database", "database.probes-by-gateways", "probes at a database", "1/s", float64(n), per(to.probes-from.probes))
		c.add("database", "database.statements-by-gateways", "statements at a database", "1/s", float64(n), per(to.statements-from.statements))
		r.progress("group: %d gateways", n)
	}
	return c.record(r)
}
