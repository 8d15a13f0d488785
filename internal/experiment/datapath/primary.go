package datapath

import (
	"fmt"
	"slices"

	"aspenshed"
)

const (
	primarySettleTime  = 20 * second
	promotionDelay     = 1 * second // from the loss of the primary until the databases promote another
	primaryMeasureTime = 30 * second
	runsPerFleetSize   = 3          // simulations for each number of gateways, each giving a point
	servedWindow       = 1 * second // interval over which the share of served writes is computed
	minServedShare     = 0.99
	maxResponseDelay   = statementTimeout + second
)

// measurePrimaryLoss takes a group's primary down under load and measures how long writes are not served and how many
// probes the group receives, by the number of gateways.
func measurePrimaryLoss(r *recorder, o Options) error {
	for _, kind := range []struct {
		name, conditions string
		failure          machineState
		routers          func(gateways int) int
	}{
		{"crash", "process gone; " + singleGatewayCondition, refusing, func(int) int { return 1 }},
		{"crash-told", "process gone; " + gatewayCountCondition, refusing, func(n int) int { return n }},
		{"silent", "machine gone; " + singleGatewayCondition, silent, func(int) int { return 1 }},
		{"silent-told", "machine gone; " + gatewayCountCondition, silent, func(n int) int { return n }},
	} {
		c := newSeriesSet("gateways", "1", groupConditions(kind.conditions+fmt.Sprintf("; another is primary after %d s", promotionDelay/second)))
		for _, n := range fleetSizes(o) {
			s, err := settings(kind.routers(n))
			if err != nil {
				return err
			}
			if err := measurePrimaryLosses(c, kind.name, n, s, kind.failure, o); err != nil {
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

// measurePrimaryLosses adds one point for each simulation.
func measurePrimaryLosses(c *seriesSet, name string, gateways int, s aspenshed.Settings, failure machineState, o Options) error {
	for range runsPerFleetSize {
		outage, probes, err := simulatePrimaryLoss(gateways, s, failure, o)
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

// outage describes how long writes were not served.
type outage struct {
	untilMostServed float64 // s: from then on at least minServedShare of the writes that arrived in each second were served
	lastUnserved    float64 // s: arrival of the last write that was not served
	unserved        float64
}

// simulatePrimaryLoss returns the outage and the highest rate of probes at any database of the group.
func simulatePrimaryLoss(gateways int, s aspenshed.Settings, failure machineState, o Options) (out outage, probes float64, err error) {
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
	w.fail(w.databases[0], failure)
	beforePromotion := w.runAndFindPeak(lost + promotionDelay)
	w.databases[1].model.Primary = true
	afterPromotion := w.runAndFindPeak(lost + watch)
	return computeOutage(writes, lost, lost+watch-maxResponseDelay), max(beforePromotion.probes, afterPromotion.probes), nil
}

// computeOutage evaluates the writes that arrived from the loss until the given time; all of them must have completed.
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
