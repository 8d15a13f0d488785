package datapath

import (
	"fmt"
	"slices"

	"aspenshed"
)

const (
	primarySettleTime  = 20 * second
	promotionDelay     = 1 * second // from the primary's loss until another database is the primary: the databases' own doing
	primaryMeasureTime = 30 * second
	runsPerFleetSize   = 3          // histories of each number of gateways, each a point
	servedWindow       = 1 * second // over which the share of writes served is taken
	minServedShare     = 0.99
	maxResponseDelay   = statementTimeout + second
)

// measurePrimaryLoss loses a group's primary under load and takes how long writes are not served, and how many probes
// the group gets, by gateways.
func measurePrimaryLoss(r *recorder, o Options) error {
	for _, kind := range []struct {
		name, told string
		how        machineState
		routers    func(gateways int) int
	}{
		{"crash", "process gone; " + singleGatewayCondition, refusing, func(int) int { return 1 }},
		{"crash-told", "process gone; " + gatewayCountCondition, refusing, func(n int) int { return n }},
		{"silent", "machine gone; " + singleGatewayCondition, silent, func(int) int { return 1 }},
		{"silent-told", "machine gone; " + gatewayCountCondition, silent, func(n int) int { return n }},
	} {
		c := newSeriesSet("gateways", "1", groupConditions(kind.told+fmt.Sprintf("; another is primary after %d s", promotionDelay/second)))
		for _, n := range fleetSizes(o) {
			s, err := settings(kind.routers(n))
			if err != nil {
				return err
			}
			if err := measurePrimaryLosses(c, kind.name, n, s, kind.how, o); err != nil {
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

// measurePrimaryLosses adds a point of each history.
func measurePrimaryLosses(c *seriesSet, name string, gateways int, s aspenshed.Settings, how machineState, o Options) error {
	for range runsPerFleetSize {
		outage, probes, err := simulatePrimaryLoss(gateways, s, how, o)
		if err != nil {
			return err
		}
		x := float64(gateways)
		c.add("data path", "datapath.outage-by-gateways-"+name, "from a primary's loss until 99% of writes are served", "s", x, outage.untilMostServed)
		c.add("data path", "datapath.last-unserved-by-gateways-"+name, "from a primary's loss to the last write that is not served", "s", x, outage.lastUnserved)
		c.add("data path", "datapath.writes-lost-by-gateways-"+name, "writes not served", "1", x, outage.unserved)
		c.add("database", "database.round-probes-by-gateways-"+name, "probes at a database in the worst second", "1/s", x, probes)
		o.Seed++
	}
	return nil
}

// outage is how long writes were not served.
type outage struct {
	untilMostServed float64 // s: from then on each second at least servedEnough of the writes that came were served
	lastUnserved    float64 // s: when the last write came that was not
	unserved        float64
}

// simulatePrimaryLoss takes the outage and the worst rate of probes at the group's busiest database.
func simulatePrimaryLoss(gateways int, s aspenshed.Settings, how machineState, o Options) (out outage, probes float64, err error) {
	settle, watch := primarySettleTime, primaryMeasureTime
	if o.Short {
		settle, watch = 2*second, 4*second
	}
	w, err := newGroupSimulation(gateways, s, o)
	if err != nil {
		return out, 0, err
	}
	var writes []completion
	lost := simulationStart + settle
	for _, g := range w.gateways {
		g.onCompletion = func(e completion) {
			if e.class == write && e.arrivedAt >= lost {
				writes = append(writes, e)
			}
		}
	}
	w.run(lost)
	w.fail(w.databases[0], how)
	without := w.runAndFindPeak(lost + promotionDelay)
	w.databases[1].model.Primary = true
	with := w.runAndFindPeak(lost + watch)
	return computeOutage(writes, lost, lost+watch-maxResponseDelay), max(without.probes, with.probes), nil
}

// computeOutage takes the writes that came from the loss until the end of those whose answers must be known.
func computeOutage(writes []completion, lost, until aspenshed.Nanos) (out outage) {
	windows := make([]struct{ all, served float64 }, (until-lost)/servedWindow+1)
	for _, e := range writes {
		if e.arrivedAt >= until {
			continue
		}
		x := &windows[(e.arrivedAt-lost)/servedWindow]
		x.all++
		if e.served {
			x.served++
			continue
		}
		out.unserved++
		out.lastUnserved = max(out.lastUnserved, float64(e.arrivedAt-lost)/1e9)
	}
	for i, x := range slices.Backward(windows) {
		if x.served < minServedShare*x.all {
			out.untilMostServed = float64(i+1) * float64(servedWindow) / 1e9
			break
		}
	}
	return out
}
