package scale

import (
	"math"
	"testing"
	"time"

	"aspenshed/internal/experiment/measure"
)

func TestGrowthCheckTellsLinearFromLess(t *testing.T) {
	series := func(y func(x float64) float64) []measure.Series {
		s := measure.Series{Name: "s"}
		for _, x := range []float64{150, 600, 2400} {
			s.Points = append(s.Points, measure.Point{X: x, Y: y(x)})
		}
		return []measure.Series{s}
	}
	if c := growthCheck("s", series(math.Sqrt)); !c.Passed || math.Abs(c.Value-0.5) > 1e-9 {
		t.Errorf("%+v", c)
	}
	if c := growthCheck("s", series(func(x float64) float64 { return 3 * x * x })); c.Passed || math.Abs(c.Value-2) > 1e-9 {
		t.Errorf("%+v", c)
	}
	if c := growthCheck("another", nil); c.Passed {
		t.Errorf("what was not measured does not pass: %+v", c)
	}
}

func TestSeriesNeedTwoPoints(t *testing.T) {
	var p seriesPoints
	p.add(1, figures{"gateway.bytes": 10, "gateway.snapshot-bytes": 5})
	p.add(3, figures{"gateway.bytes": 30})
	all := p.series("members", "members", "1", "held")
	if len(all) != 1 || all[0].Name != "gateway.bytes-by-members" || all[0].Fit.Slope != 10 {
		t.Errorf("%+v", all)
	}
}

// A hollow gateway is its worker's process less an empty one, by the gateways in it.
func TestHollowGatewayIsLessTheEmptyWorker(t *testing.T) {
	r := &runner{empty: Usage{Memory: 100}}
	w := &windowResult{event: measure.Event{Roles: []measure.Usage{
		{Role: RoleVoter, Cores: 9, Memory: 9e9},
		{Role: RoleHollow, Gateways: 10, Cores: 0.1, Memory: 1100},
		{Role: RoleHollow, Gateways: 30, Cores: 0.3, Memory: 3100},
	}}}
	if cores, memory := r.hollowGateway(w); math.Abs(cores-0.01) > 1e-9 || memory != 100 {
		t.Errorf("%v cores, %v bytes", cores, memory)
	}
}

func TestMinuteBoundFillsUpWithTheSteadyRate(t *testing.T) {
	r := &runner{run: &measure.Run{}, steadyBytes: 100}
	short, long := &windowResult{}, &windowResult{}
	short.total.Window, short.total.MaxBytes = 15*time.Second, 60_000
	long.total.Window, long.total.MaxBytes = 2*time.Minute, 60_000_000
	r.holdMinuteBound(short)
	r.holdMinuteBound(long)
	if c := r.run.Checks[0]; c.Value != 1075 || !c.Passed {
		t.Errorf("60 kB in 15 s and 100 B/s for 45 s: %+v", c)
	}
	if c := r.run.Checks[1]; c.Value != 500_000 || c.Passed {
		t.Errorf("%+v", c)
	}
}

// A node that was started again counts from its start, not from what its former process had used.
func TestRatesAfterANewStart(t *testing.T) {
	begin := time.Now()
	before := accounts{at: begin, usage: map[string]Usage{"v": {CPU: 50 * time.Second, Read: 1000, Recorded: begin}}}
	after := accounts{usage: map[string]Usage{"v": {CPU: time.Second, Read: 10, Recorded: begin.Add(10 * time.Second)}}}
	nodes := []*Node{{ID: "v"}, {ID: "down"}}
	got := rates(nodes, before, after)
	if len(got) != 1 || got["v"].Cores != 0.1 || got["v"].Read != 1 {
		t.Errorf("%+v", got)
	}
}
