package scale

import (
	"math"
	"testing"
	"time"

	"aspenshed/internal/experiment/measure"
)

func TestSublinearGrowthCheck(t *testing.T) {
	series := func(y func(x float64) float64) []measure.Series {
		s := measure.Series{Name: "s"}
		for _, x := range []float64{150, 600, 2400} {
			s.Points = append(s.Points, measure.Point{X: x, Y: y(x)})
		}
		return []measure.Series{s}
	}
	if c := sublinearGrowthCheck("s", series(math.Sqrt)); !c.Passed || math.Abs(c.Value-0.5) > 1e-9 {
		t.Errorf("%+v", c)
	}
	if c := sublinearGrowthCheck("s", series(func(x float64) float64 { return 3 * x * x })); c.Passed || math.Abs(c.Value-2) > 1e-9 {
		t.Errorf("%+v", c)
	}
	if c := sublinearGrowthCheck("another", nil); c.Passed {
		t.Errorf("a series that was not measured must not pass: %+v", c)
	}
}

func TestSeriesNeedTwoPoints(t *testing.T) {
	var p seriesPoints
	p.add(1, metrics{"gateway.bytes": 10, "gateway.snapshot-bytes": 5})
	p.add(3, metrics{"gateway.bytes": 30})
	all := p.series("members", "members", "1", "held")
	if len(all) != 1 || all[0].Name != "gateway.bytes-by-members" || all[0].Fit.Slope != 10 {
		t.Errorf("%+v", all)
	}
}

// A hollow gateway's memory is that of the workers less an empty worker's for each, divided by the number of
// gateways.
func TestHollowGatewayMemoryExcludesEmptyWorkers(t *testing.T) {
	r := &runner{emptyWorker: Usage{Memory: 100}}
	w := &windowResult{event: measure.Event{Roles: []measure.Usage{
		{Role: RoleVoter, Cores: 9, Memory: 9e9},
		{Role: RoleHollow, Gateways: 10, Cores: 0.1, Memory: 1100},
		{Role: RoleHollow, Gateways: 30, Cores: 0.3, Memory: 3100},
	}}}
	if cores, memory := r.hollowGateway(w); math.Abs(cores-0.01) > 1e-9 || memory != 100 {
		t.Errorf("%v cores, %v bytes", cores, memory)
	}
}

func TestMinuteBoundExtendsShortWindowsAtTheSteadyRate(t *testing.T) {
	r := &runner{run: &measure.Run{}, steadyByteRate: 100}
	short, long := &windowResult{}, &windowResult{}
	short.total.Window, short.total.MaxGatewayBytes = 15*time.Second, 60_000
	long.total.Window, long.total.MaxGatewayBytes = 2*time.Minute, 60_000_000
	r.checkMinuteBound(short)
	r.checkMinuteBound(long)
	if c := r.run.Checks[0]; c.Value != 1075 || !c.Passed {
		t.Errorf("60 kB in 15 s and 100 B/s for 45 s: %+v", c)
	}
	if c := r.run.Checks[1]; c.Value != 500_000 || c.Passed {
		t.Errorf("%+v", c)
	}
}

// A restarted node is measured from its restart, as the counters of its new process begin at zero.
func TestRatesAfterARestart(t *testing.T) {
	begin := time.Now()
	before := usageSnapshot{at: begin, usage: map[string]Usage{"v": {CPU: 50 * time.Second, Read: 1000, Recorded: begin}}}
	after := usageSnapshot{usage: map[string]Usage{"v": {CPU: time.Second, Read: 10, Recorded: begin.Add(10 * time.Second)}}}
	nodes := []*Node{{ID: "v"}, {ID: "down"}}
	got := rates(nodes, before, after)
	if len(got) != 1 || got["v"].Cores != 0.1 || got["v"].Read != 1 {
		t.Errorf("%+v", got)
	}
}
