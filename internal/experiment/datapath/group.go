package datapath

import (
	"fmt"

	"aspenshed"

	"aspenshed/internal/experiment/target"
)

const startWatch = 20 * second // after all gateways have started

func fleetSizes(o Options) []int {
	if o.Short {
		return []int{5, 10}
	}
	return []int{150, 300, 600, 1200, 2400}
}

// groupHeld says what is held still where gateways share one group: the target's load of a group, however many there are.
func groupHeld(told string) string {
	return fmt.Sprintf("one group of %.0f databases, %.0f statements/s over all gateways, %s, virtual time",
		target.GroupSize, target.StatementsPerGroup(), told)
}

const (
	toldOne = "each told it is the only gateway (as the daemon does)"
	toldAll = "each told how many gateways there are (as the platform's settings do)"
)

// groupWorld is one group and all gateways before it.
func groupWorld(gateways int, s aspenshed.Settings, o Options) (*world, error) {
	w := newWorld(o.Seed)
	w.addGroups(1, int(target.GroupSize))
	rate := target.StatementsPerGroup()
	if o.Short {
		rate = 50
	}
	return w, w.addGateways(gateways, s, rate/float64(gateways))
}

// measureGroup takes the load of a database in steady state, by gateways.
func measureGroup(r *recorder, o Options) error {
	span := window{90 * second, 30 * second}
	if o.Short {
		span = window{3 * second, 2 * second}
	}
	c := newCurves("gateways", "1", groupHeld(toldOne))
	for _, n := range fleetSizes(o) {
		s, err := settings(1)
		if err != nil {
			return err
		}
		w, err := groupWorld(n, s, o)
		if err != nil {
			return err
		}
		start := w.worstSecond(worldStart + min(span.settle, startWatch))
		w.run(worldStart + span.settle)
		from := countsOf(w)
		w.run(worldStart + span.settle + span.watch)
		to := countsOf(w)
		_, connections := w.counts()
		each := float64(len(w.databases))
		per := func(n int) float64 { return float64(n) / each / (float64(span.watch) / 1e9) }
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
