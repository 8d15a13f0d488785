package warmup

import (
	"math"
	"testing"
	"time"
)

var limits = Limits{Capacity: 2, MeanWork: 0.1, InitialCapacity: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2.5,
	OverloadWindow: time.Second}

// The capacity follows the curve, and no curve ends after the warm-up time.
func TestCapacityFollowsCurve(t *testing.T) {
	const start = int64(1e18)
	for curve, want := range map[Curve][3]float64{ByTime: {0.2, 0.6, 1}, ByWork: {0.2, 0.2 + 0.8*0.5, 1}, Late: {0.2, 0.2, 1}} {
		d := Database{Limits: limits}
		d.Curve = curve
		d.Start(start)
		got := [3]float64{d.Share(start)}
		d.done = limits.Capacity * limits.WarmUpTime.Seconds() * byWorkFraction / 2
		got[1], got[2] = d.Share(start+5e9), d.Share(start+10e9)
		for i := range got {
			if math.Abs(got[i]-want[i]) > 1e-9 {
				t.Errorf("%v: shares %v, want %v", curve, got, want)
			}
		}
	}
}

// Arrivals are counted in sliding windows: what is spread over two fixed windows counts in one.
func TestOverloadIsFoundInSlidingWindows(t *testing.T) {
	d := Database{Limits: limits}
	d.Curve = Late
	d.Start(1e18)
	n := 2.5 * 0.2 * 2 / 0.1
	allowed := int(n + 3*math.Sqrt(n) + 3)
	overloaded := false
	for i := range allowed {
		at := int64(1e18) + 600e6 + int64(i)*1e6
		if i >= allowed/2 {
			at += 800e6
		}
		overloaded = d.Arrive(at, limits.MeanWork, i%2) || overloaded
	}
	if overloaded {
		t.Errorf("%d requests in one window overload it, of %.1f allowed", allowed, d.Limit(0.2))
	}
	if !d.Arrive(int64(1e18)+1500e6, limits.MeanWork, 0) {
		t.Errorf("one more does not: %+v", d.Worst)
	}
	if sum := d.Worst.Sources[0] + d.Worst.Sources[1]; math.Abs(sum-d.Worst.Arrived) > 1e-9 || d.Worst.Ratio <= 1 {
		t.Errorf("worst window %+v", d.Worst)
	}
}

// A warmed-up database is never overloaded in the sense of the budget, and works off its backlog at its capacity.
func TestWarmDatabaseHasNoBudget(t *testing.T) {
	d := Database{Limits: limits}
	for range 1000 {
		if d.Arrive(1e18, limits.MeanWork, 0) {
			t.Fatal("overloaded")
		}
	}
	if took := d.Enqueue(1e18, 4); took != 2*time.Second {
		t.Errorf("4 s of work take %v", took)
	}
	if left := d.Delay(1e18 + 1e9).Round(time.Microsecond); left != time.Second {
		t.Errorf("%v left after a second", left)
	}
}

// What can be served is the integral of the capacity; a database that warms by work is as cold as at its start until then.
func TestServable(t *testing.T) {
	for curve, want := range map[Curve]float64{ByTime: 20 * (0.6 + 1) / 2 * 5, Late: 20 * 0.2 * 5, ByWork: 20 * 0.2 / 0.16 * (math.Exp(0.16*5) - 1)} {
		l := limits
		l.Curve = curve
		if got := l.Servable(5*time.Second, 10*time.Second); math.Abs(got-want) > 0.01*want {
			t.Errorf("%v: %.1f requests, want %.1f", curve, got, want)
		}
	}
}
