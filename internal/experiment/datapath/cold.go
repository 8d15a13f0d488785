package datapath

import (
	"aspenshed"
)

const (
	leasePoolShare  = 0.5         // the daemon's default; the rest is split into safe shares
	maxColdStart    = 18 * second // how long a member counts as cold without a slow-start share from the store
	coldSettleTime  = 20 * second // time to learn the work rate of warm members
	coldMeasureTime = 17 * second // slightly longer than a cold start
)

// measureColdStart restarts one replica cold and measures the load that the gateways send as a share of the load at
// which it collapses: with safe shares of (1-p)/N and no leases, and, for comparison, without shares, where each
// gateway relies on its own measurements.
func measureColdStart(r *recorder, o Options) error {
	settle, watch := coldSettleTime, coldMeasureTime
	if o.Short {
		settle, watch = 2*second, 2*second
	}
	for _, kind := range []struct {
		name, conditions string
		change           func(s *aspenshed.Settings, gateways int)
	}{
		{"safe-share", "each with a safe share of (1-0.5)/N of a cold database, the agreed rate and no lease", func(s *aspenshed.Settings, n int) {
			s.UnleasedShare, s.MaxWarmUpTime = (1-leasePoolShare)/float64(n), maxColdStart
		}},
		{"no-leases", "no leases, " + singleGatewayCondition, func(*aspenshed.Settings, int) {}},
	} {
		c := newSeriesSet("gateways", "1", groupConditions(kind.conditions))
		for _, n := range fleetSizes(o) {
			s, err := settings(1)
			if err != nil {
				return err
			}
			kind.change(&s, n)
			w, err := newGroupSimulation(n, s, o)
			if err != nil {
				return err
			}
			w.run(simulationStart + settle)
			d := w.databases[len(w.databases)-1]
			rate := w.learnedWorkRate()
			w.restartCold(d)
			if s.UnleasedShare > 0 {
				w.announceSlowStart(d, rate)
			}
			before := d.statements
			w.run(simulationStart + settle + watch)
			x := float64(n)
			c.add("database", "database.cold-share-by-gateways-"+kind.name, "largest share of what topples a cold database", "1", x, d.model.PeakOverload)
			c.add("database", "database.cold-statements-by-gateways-"+kind.name, "statements at a cold database", "1/s", x,
				float64(d.statements-before)/(float64(watch)/1e9))
			r.progress("cold, %s: %d gateways", kind.name, n)
		}
		if err := c.record(r); err != nil {
			return err
		}
	}
	return nil
}

// learnedWorkRate returns the work rate that the catalog would hold of the first group: the sum over gateways of the
// work per second that its warm members serve.
func (w *simulation) learnedWorkRate() (rate float64) {
	for _, g := range w.gateways {
		if l := g.router.Learned(); len(l.Groups) > 0 {
			rate += l.Groups[0].WorkRate
		}
	}
	return rate
}

// announceSlowStart passes the store's slow-start share of a database that has just started to all gateways.
func (w *simulation) announceSlowStart(d *database, rate float64) {
	for _, g := range w.gateways {
		g.pipeline.AddEvent(aspenshed.SlowStartShare{Member: d.id, StartedAt: w.clock.now, WorkRate: rate})
	}
}
