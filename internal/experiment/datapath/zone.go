package datapath

import (
	"fmt"

	"aspenshed/internal/experiment/target"
)

// measureZoneLoss makes all databases of a zone unresponsive at once while one gateway keeps its old member list. In
// each group that loses its primary, another database is promoted after promotionDelay.
func measureZoneLoss(r *recorder, o Options) error {
	members, rate := []int{2100, 6300, 10500, 21000}, target.StatementsPerGateway()
	if o.Short {
		members, rate = []int{114, 228}, 50
	}
	c := newSeriesSet("members", "1", fmt.Sprintf("one gateway, %.0f statements/s, every %.0fth database silent, no new list, another is primary after %d s, virtual time",
		rate, target.Zones, promotionDelay/second))
	for _, m := range members {
		if err := measureZonePoint(c, m, rate, o); err != nil {
			return err
		}
		r.progress("zone: %d members", m)
	}
	return c.record(r)
}

func measureZonePoint(c *seriesSet, members int, rate float64, o Options) error {
	settle, watch := 65*second, 20*second
	if o.Short {
		settle, watch = 2*second, 4*second
	}
	s, err := settings(1)
	if err != nil {
		return err
	}
	w := newSimulation(o.Seed)
	w.addGroups(members/int(target.GroupSize), int(target.GroupSize))
	if err := w.addGateways(1, s, rate); err != nil {
		return err
	}
	g := w.gateways[0]
	w.run(simulationStart + settle)
	var writes []completion
	unservedReads := 0
	lost := simulationStart + settle
	g.onCompletion = func(e completion) {
		switch {
		case e.arrivedAt < lost:
		case e.class == write:
			writes = append(writes, e)
		case !e.served:
			unservedReads++
		}
	}
	successors := w.silenceZone()
	before := totalLoadOf(w)
	w.run(lost + promotionDelay)
	for _, d := range successors {
		d.model.Primary = true
	}
	after := totalLoadOf(w)
	w.run(lost + watch)
	out := computeOutage(writes, lost, lost+watch-maxResponseDelay)
	x, first := float64(members), float64(promotionDelay)/1e9
	c.add("data path", "datapath.zone-outage-by-members", "from a zone's loss until 99% of writes are served", "s", x, out.untilMostServed)
	c.add("data path", "datapath.zone-writes-lost-by-members", "writes not served after a zone's loss", "1", x, out.unserved)
	c.add("data path", "datapath.zone-reads-lost-by-members", "reads not served after a zone's loss", "1", x, float64(unservedReads))
	c.add("data path", "datapath.zone-probes-by-members", "probes that arrive in the second after a zone's loss", "1/s", x, float64(after.probes-before.probes)/first)
	c.add("data path", "datapath.zone-handshakes-by-members", "handshakes in the second after a zone's loss", "1/s", x, float64(after.handshakes-before.handshakes)/first)
	return nil
}

// silenceZone makes every target.Zones-th database unresponsive and returns the successors of the primaries among them.
func (w *simulation) silenceZone() (successors []*database) {
	const zones = int(target.Zones)
	for i := 0; i < len(w.databases); i += zones {
		d := w.databases[i]
		wasPrimary := d.model.Primary
		w.fail(d, silent)
		if wasPrimary {
			successors = append(successors, w.databases[i+1]) // of the same group, as its primary comes first
		}
	}
	return successors
}
