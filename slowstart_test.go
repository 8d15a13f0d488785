package aspenshed

import (
	"math"
	"testing"
)

// pageLimit is the number of requests of mean work in a window that the rule allows for a budget of n.
func pageLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// newWarmingHarness has served rps reads per second by each of two warmed-up replicas, and then learns that a third one starts.
func newWarmingHarness(t *testing.T, s Settings, rps int) *harness {
	s.Routers = 1
	g := newHarness(t, s)
	g.step(0, completeList(primary("a"), up("b"), up("c"), up("d")))
	for range 3 * rps * 15 {
		g.serve(sec/Nanos(3*rps), anyClass, 50*ms, RoleReplica)
	}
	m := up("d")
	m.StartedAt = g.now
	g.step(0, MemberList{Members: []Member{m}})
	return g
}

// busiestWindow is the highest number of times within a window of that length.
func busiestWindow(at []Nanos, window Nanos) (most int) {
	for i := range at {
		n := 0
		for _, x := range at[i:] {
			if x < at[i]+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards a warming member against a burst after a quiet spell: the budget that was saved up and the one that was added meanwhile
// came within one window.
func TestBurstAfterQuietSpellStaysWithinWindow(t *testing.T) {
	const rps = 400
	g := newWarmingHarness(t, fleetSettings(), rps)
	const usual = 8 * sec
	for range 3 * rps * 8 {
		g.serve(sec/Nanos(3*rps), anyClass, 50*ms, RoleReplica)
	}
	for range 32 {
		g.step(50*ms, TimerFired{})
	}
	age := usual + 1600*ms
	var at []Nanos
	for range 150 {
		var events []Event
		for range 40 {
			events = append(events, g.request(anyClass))
		}
		for _, x := range sends(g.step(10*ms, append(events, TimerFired{})...)) {
			if x.Member == "d" {
				at = append(at, g.now)
			}
			g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 5 * ms, Role: RoleReplica})
		}
	}
	s := fleetSettings()
	capacity := s.InitialCapacity + (1-s.InitialCapacity)*float64(age+s.OverloadWindow)/float64(s.WarmUpTime)
	t.Log(len(at), g.router.groupList[0].warmWorkRate)
	limit := pageLimit(s.OverloadFactor * capacity * rps * float64(s.OverloadWindow) / 1e9)
	if most := busiestWindow(at, s.OverloadWindow); float64(most) > limit {
		t.Errorf("%d requests in one window, %.0f overload the member", most, limit)
	}
}
