package datapath

import (
	"fmt"
	"runtime"

	"aspenshed"

	"aspenshed/internal/experiment/target"
)

// measureWindow is how long a steady load is measured, after it has settled for long enough that idle connections are
// closed.
type measureWindow struct{ settle, measure aspenshed.Nanos }

// measureSteady measures connections, handshakes, probes and processor time of one gateway at the target, by members
// and by statements per second, in virtual time. Its databases carry no other gateway's load.
func measureSteady(r *recorder, o Options) error {
	members, rates, w := []int{2100, 6300, 10500, 21000}, []float64{150, 300, 600, target.StatementsPerGateway()}, measureWindow{75 * second, 15 * second}
	if o.Short {
		members, rates, w = []int{60, 120}, []float64{20, 40}, measureWindow{2 * second, 2 * second}
	}
	rate, maxMembers := rates[len(rates)-1], members[len(members)-1]
	byMembers := newSeriesSet("members", "1", fmt.Sprintf("one gateway, %.0f statements/s (40%% bounded, 40%% any, 20%% writes), virtual time", rate))
	for _, m := range members {
		if err := measureSteadyPoint(byMembers, "members", m, rate, float64(m), w, o.Seed); err != nil {
			return err
		}
		r.progress("steady: %d members", m)
	}
	byRate := newSeriesSet("statements a second", "1/s", fmt.Sprintf("one gateway, %d members, virtual time", maxMembers))
	for _, x := range rates {
		if err := measureSteadyPoint(byRate, "statements", maxMembers, x, x, w, o.Seed); err != nil {
			return err
		}
		r.progress("steady: %.0f statements/s", x)
	}
	if err := byMembers.record(r); err != nil {
		return err
	}
	return byRate.record(r)
}

// measureSteadyPoint runs one gateway and adds its measurements during the window.
func measureSteadyPoint(c *seriesSet, axis string, members int, rate, x float64, span measureWindow, seed uint64) error {
	before := heapInUse()
	w := newSimulation(seed)
	w.addGroups(members/int(target.GroupSize), int(target.GroupSize))
	databases := heapInUse()
	s, err := settings(1)
	if err != nil {
		return err
	}
	if err := w.addGateways(1, s, rate); err != nil {
		return err
	}
	g := w.gateways[0]
	w.run(simulationStart + span.settle)
	from, steps, responses := totalLoadOf(w), g.steps, g.responses
	w.run(simulationStart + span.settle + span.measure)
	to, seconds := totalLoadOf(w), float64(span.measure)/1e9
	_, connections := w.totalLoad()
	per := func(n int) float64 { return float64(n) / seconds }
	c.add("data path", "datapath.router-cores-by-"+axis, "processor time of Router.Step", "core", x, (g.steps.cpuTime-steps.cpuTime).Seconds()/seconds)
	c.add("data path", "datapath.steps-by-"+axis, "calls of Router.Step", "1/s", x, per(g.steps.count-steps.count))
	c.add("data path", "datapath.connections-by-"+axis, "connections to databases", "1", x, float64(connections))
	c.add("data path", "datapath.handshakes-by-"+axis, "handshakes with databases", "1/s", x, per(to.handshakes-from.handshakes))
	c.add("data path", "datapath.probes-by-"+axis, "probes of databases", "1/s", x, per(to.probes-from.probes))
	c.add("data path", "datapath.unserved-by-"+axis, "statements refused or failed", "1/s", x,
		per(g.responses.refused+g.responses.failed-responses.refused-responses.failed))
	if axis == "members" {
		c.add("data path", "datapath.heap-by-members", "heap of routing and connection state", "B", x, heapInUse()-databases-(databases-before))
	}
	runtime.KeepAlive(w)
	return nil
}

func totalLoadOf(w *simulation) loadCounts {
	all, _ := w.totalLoad()
	return all
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
