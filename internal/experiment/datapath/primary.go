package datapath

import (
	"fmt"
	"slices"

	"aspenshed"
)

const (
	primarySettle  = 20 * second
	handOver       = 1 * second // from the primary's loss until another database is the primary: the databases' own doing
	primaryWatch   = 30 * second
	primarySeeds   = 3          // histories of each number of gateways, each a point
	servedWindow   = 1 * second // over which the share of writes served is taken
	servedEnough   = 0.99
	deadlineOfSlow = statementWait + second
)

// measurePrimaryLoss loses a group's primary under load and takes how long writes are not served, and how many probes
// the group gets, by gateways.
func measurePrimaryLoss(r *recorder, o Options) error {
	for _, kind := range []struct {
		name, told string
		how        state
		routers    func(gateways int) int
	}{
		{"crash", "process gone; " + toldOne, refusing, func(int) int { return 1 }},
		{"crash-told", "process gone; " + toldAll, refusing, func(n int) int { return n }},
		{"silent", "machine gone; " + toldOne, silent, func(int) int { return 1 }},
		{"silent-told", "machine gone; " + toldAll, silent, func(n int) int { return n }},
	} {
		c := newCurves("gateways", "1", groupHeld(kind.told+fmt.Sprintf("; another is primary after %d s", handOver/second)))
		for _, n := range fleetSizes(o) {
			s, err := settings(kind.routers(n))
			if err != nil {
				return err
			}
			if err := losePrimaries(c, kind.name, n, s, kind.how, o); err != nil {
				return err
			}
			r.progress("primary, %s: %d gateways", kind.name, n)
		}
		if err := c.record(r); err != nil {
			return err
		}
	}
	return nil
}

// losePrimaries adds a point of each history.
func losePrimaries(c *curves, name string, gateways int, s aspenshed.Settings, how state, o Options) error {
	for range primarySeeds {
		outage, probes, err := losePrimary(gateways, s, how, o)
		if err != nil {
			return err
		}
		x := float64(gateways)
		c.add("data path", "datapath.outage-by-gateways-"+name, "from a primary's loss until 99% of writes are served", "s", x, outage.mostServed)
		c.add("data path", "datapath.last-unserved-by-gateways-"+name, "from a primary's loss to the last write that is not served", "s", x, outage.lastUnserved)
		c.add("data path", "datapath.writes-lost-by-gateways-"+name, "writes not served", "1", x, outage.unserved)
		c.add("database", "database.round-probes-by-gateways-"+name, "probes at a database in the worst second", "1/s", x, probes)
		o.Seed++
	}
	return nil
}

// outage is how long writes were not served.
type outage struct {
	mostServed   float64 // s: from then on each second at least servedEnough of the writes that came were served
	lastUnserved float64 // s: when the last write came that was not
	unserved     float64
}

// losePrimary takes the outage and the worst rate of probes at the group's busiest database.
func losePrimary(gateways int, s aspenshed.Settings, how state, o Options) (out outage, probes float64, err error) {
	settle, watch := primarySettle, primaryWatch
	if o.Short {
		settle, watch = 2*second, 4*second
	}
	w, err := groupWorld(gateways, s, o)
	if err != nil {
		return out, 0, err
	}
	var writes []ending
	lost := worldStart + settle
	for _, g := range w.gateways {
		g.ended = func(e ending) {
			if e.class == write && e.arrived >= lost {
				writes = append(writes, e)
			}
		}
	}
	w.run(lost)
	w.lose(w.databases[0], how)
	without := w.worstSecond(lost + handOver)
	w.databases[1].model.Primary = true
	with := w.worstSecond(lost + watch)
	return outageOf(writes, lost, lost+watch-deadlineOfSlow), max(without.probes, with.probes), nil
}

// outageOf takes the writes that came from the loss until the end of those whose answers must be known.
func outageOf(writes []ending, lost, until aspenshed.Nanos) (out outage) {
	windows := make([]struct{ all, served float64 }, (until-lost)/servedWindow+1)
	for _, e := range writes {
		if e.arrived >= until {
			continue
		}
		x := &windows[(e.arrived-lost)/servedWindow]
		x.all++
		if e.served {
			x.served++
			continue
		}
		out.unserved++
		out.lastUnserved = max(out.lastUnserved, float64(e.arrived-lost)/1e9)
	}
	for i, x := range slices.Backward(windows) {
		if x.served < servedEnough*x.all {
			out.mostServed = float64(i+1) * float64(servedWindow) / 1e9
			break
		}
	}
	return out
}
