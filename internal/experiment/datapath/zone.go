package datapath

import (
	"fmt"

	"aspenshed/internal/experiment/target"
)

// measureZoneLoss has a zone's databases fall silent at once before one gateway that goes on by its old list: for each
// group that loses its primary so another takes over after handOver.
func measureZoneLoss(r *recorder, o Options) error {
	members, rate := []int{2100, 6300, 10500, 21000}, target.StatementsPerGateway()
	if o.Short {
		members, rate = []int{114, 228}, 50
	}
	c := newCurves("members", "1", fmt.Sprintf("one gateway, %.0f statements/s, every %.0fth database silent, no new list, another is primary after %d s, virtual time",
		rate, target.Zones, handOver/second))
	for _, m := range members {
		if err := loseZone(c, m, rate, o); err != nil {
			return err
		}
		r.progress("zone: %d members", m)
	}
	return c.record(r)
}

func loseZone(c *curves, members int, rate float64, o Options) error {
	settle, watch := 65*second, 20*second
	if o.Short {
		settle, watch = 2*second, 4*second
	}
	s, err := settings(1)
	if err != nil {
		return err
	}
	w := newWorld(o.Seed)
	w.addGroups(members/int(target.GroupSize), int(target.GroupSize))
	if err := w.addGateways(1, s, rate); err != nil {
		return err
	}
	g := w.gateways[0]
	w.run(worldStart + settle)
	var writes []ending
	unservedReads := 0
	lost := worldStart + settle
	g.ended = func(e ending) {
		switch {
		case e.arrived < lost:
		case e.class == write:
			writes = append(writes, e)
		case !e.served:
			unservedReads++
		}
	}
	without := w.zoneOut()
	before := countsOf(w)
	w.run(lost + handOver)
	for _, d := range without {
		d.model.Primary = true
	}
	after := countsOf(w)
	w.run(lost + watch)
	out := outageOf(writes, lost, lost+watch-deadlineOfSlow)
	x, first := float64(members), float64(handOver)/1e9
	c.add("data path", "datapath.zone-outage-by-members", "from a zone's loss until 99% of writes are served", "s", x, out.mostServed)
	c.add("data path", "datapath.zone-writes-lost-by-members", "writes not served after a zone's loss", "1", x, out.unserved)
	c.add("data path", "datapath.zone-reads-lost-by-members", "reads not served after a zone's loss", "1", x, float64(unservedReads))
	c.add("data path", "datapath.zone-probes-by-members", "probes that arrive in the second after a zone's loss", "1/s", x, float64(after.probes-before.probes)/first)
	c.add("data path", "datapath.zone-handshakes-by-members", "handshakes in the second after a zone's loss", "1/s", x, float64(after.handshakes-before.handshakes)/first)
	return nil
}

// zoneOut silences every so manieth database and names who is to take over from the primaries among them.
func (w *world) zoneOut() (successors []*database) {
	const zones = int(target.Zones)
	for i := 0; i < len(w.databases); i += zones {
		d := w.databases[i]
		wasPrimary := d.model.Primary
		w.lose(d, silent)
		if wasPrimary {
			successors = append(successors, w.databases[i+1]) // of the same group: its primary comes first
		}
	}
	return successors
}
