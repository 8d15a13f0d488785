package aspenshed

import (
	"fmt"
	"testing"
)

func TestUnresponsiveMemberIsEjected(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	n := 0
	for i := 0; i < 600; i++ { // b never responds, c at once
		for _, s := range sends(g.step(5*ms, g.request(anyClass))) {
			if s.Member == "b" {
				n++
			} else {
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms,
					Role: RoleReplica})
			}
		}
	}
	if n > 60 {
		t.Errorf("a member that never responds got %d of 600 reads", n)
	}
}

// Incident ifc64c8: lost responses of members that respond to others do not shrink their windows, and the requests
// are sent again.
func TestLostResponsesAreNotQueueing(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	queued, lost := 0, map[string]Nanos{}
	for i := 0; i < 2000; i++ {
		var done []Event
		for id, at := range lost {
			if g.now >= at+2*sec {
				g.t.Fatalf("%s was never moved", id)
			}
		}
		acts := g.step(5*ms, g.request(anyClass))
		if len(sends(acts)) == 0 {
			queued++
		}
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if g.requestCount%6 == 0 {
					lost[a.ID] = g.now
				} else {
					done = append(done, AttemptResult{ID: a.ID, Attempt: len(g.router.requests[a.ID].attempts) - 1,
						Member: a.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
				}
			case Cancel:
				delete(lost, a.ID)
				done = append(done, AttemptResult{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
			case Refuse:
				delete(lost, a.ID)
			}
		}
		for id, at := range lost {
			if g.now >= at+1900*ms {
				done = append(done, AttemptResult{ID: id, Attempt: len(g.router.requests[id].attempts) - 1,
					Outcome: TimedOut})
				delete(lost, id)
			}
		}
		g.step(0, done...)
	}
	if queued > 200 {
		t.Errorf("%d of 2000 reads were queued although the members were idle", queued)
	}
}

// One quick response must not get a member ejected that takes its usual time.
func TestOneQuickResponseIsNotTypical(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(anyClass)
	m := g.sentTo(g.step(0, q))
	g.step(5*ms, AttemptResult{ID: q.ID, Member: m, Outcome: Served, Final: true, Duration: 5 * ms, Role: RoleReplica})
	acts := g.step(5*ms, g.request(anyClass))
	g.sentTo(acts)
	if acts, _ = g.stepOnTimers(acts, 200*ms); count[Cancel](acts) != 0 {
		t.Error("an attempt was cancelled after half its latency target")
	}
}

// Incident i6b013c: many routers with little traffic overloaded a group, as no window limits a single attempt in
// flight.
func TestLowTrafficRouterSendsLessToSlowGroup(t *testing.T) {
	sent := func(took Nanos, outcome Outcome) (n int) {
		g := newReportedHarness(t, testSettings())
		for i := 0; i < 200; i++ {
			for _, s := range sends(g.step(200*ms, g.request(anyClass))) {
				n++
				g.step(took, AttemptResult{ID: s.ID, Member: s.Member, Outcome: outcome, Final: outcome == Served,
					Duration: took, Role: RoleReplica})
			}
		}
		return
	}
	if n := sent(100*ms, Served); n != 200 {
		t.Errorf("%d of 200 reads sent to a quick group", n)
	}
	if n := sent(800*ms, Served); n > 100 || n < 2 {
		t.Errorf("%d of 200 reads sent to a group that responds at twice the target", n)
	}
}

// Idle connections that were dropped silently are told from a failed member: a response on a new connection clears
// the member.
func TestDroppedIdleConnections(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	write := func(outcome Outcome) (closed int) {
		q := g.request(writeClass)
		acts := g.step(ms, q)
		for i := 0; i < 40 && len(sends(acts)) == 0; i++ { // a primary that is not trusted is probed first
			acts = append(acts, g.step(5*ms, ProbeResult{Member: "a", Outcome: Served,
				Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now}})...)
		}
		g.sentTo(acts)
		g.step(50*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: outcome, Final: outcome == Served,
			Duration: 50 * ms, Role: map[Outcome]Role{Served: RolePrimary}[outcome]})
		return count[CloseIdleConnections](acts)
	}
	for range 3 { // idle for 2 s: lost; on the new connection after it: served
		write(Served)
		g.step(2 * sec)
		write(TimedOut)
		write(Served)
	}
	g.step(2 * sec)
	if write(Served) == 0 {
		t.Error("a write was sent on a connection that had been idle for longer than connections last")
	}
	if g.step(500 * ms); write(Served) != 0 {
		t.Error("a connection in use a short while ago was closed")
	}
}

// A router with little traffic gets too few samples of each of many groups: those of all groups count for each.
func TestSlowGroupsAreObservedTogether(t *testing.T) {
	g := newHarness(t, testSettings())
	var list []Member
	for n := range 10 {
		for _, id := range []string{"a", "b", "c"} {
			list = append(list, Member{ID: fmt.Sprint(id, n), Group: n, Weight: 1, State: Up})
		}
	}
	g.step(0, MemberList{Complete: true, Cached: true, Members: list})
	refused := 0
	for i := range 60 {
		q := g.request(anyClass)
		q.Group = i % 10
		acts := g.step(sec, q)
		refused += count[Refuse](acts)
		for _, s := range sends(acts) {
			g.step(800*ms, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 800 * ms,
				Role: RoleReplica})
		}
	}
	if refused < 10 {
		t.Errorf("%d of 60 reads refused for ten groups that all respond at twice the target", refused)
	}
}

// Guards writes at a primary that has become slow: one attempt at a time would leave its cores idle.
func TestSlowPrimaryKeepsMinWindow(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for range 60 {
		q := g.request(writeClass)
		if acts := g.step(100*ms, q); len(sends(acts)) == 1 {
			g.step(390*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: 390 * ms,
				Role: RolePrimary})
		}
	}
	if a, b := g.router.members["a"], g.router.members["b"]; a.latencyRatio < slowLatencyRatio ||
		a.window != minPrimaryWindow || b.window < initialWindow {
		t.Errorf("latency ratio %.2f, window %.1f; a replica's %.1f", a.latencyRatio, a.window, b.window)
	}
}

// Guards writes against dead connections: an attempt that will never get a response does not count in the window of a
// member that responds to all others, and says nothing about its load. Safe reads move elsewhere.
func TestLostAttemptsDoNotFillWindow(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	lost := g.request(writeClass)
	g.step(ms, lost)
	var ratio float64
	for range 80 {
		q := g.request(writeClass)
		g.step(5*ms, q)
		g.step(20*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: 20 * ms,
			Role: RolePrimary})
		ratio = g.router.members["a"].latencyRatio
	}
	if a := g.router.members["a"]; a.inFlight != 0 {
		t.Errorf("%d attempts in the window, want none", a.inFlight)
	}
	g.step(ms, AttemptResult{ID: lost.ID, Member: "a", Outcome: TimedOut, Duration: 2 * sec})
	if a := g.router.members["a"]; a.inFlight != 0 || a.latencyRatio > ratio {
		t.Errorf("after its timeout: %d in the window, latency ratio %.3f, was %.3f", a.inFlight, a.latencyRatio, ratio)
	}
}

// Guards a group against one failing member: its attempts are given up all at once, but the others may be healthy.
func TestFailingMemberDoesNotRaiseGroupLatencyRatio(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	at := map[string]string{}
	for range 12 {
		q := g.request(anyClass)
		at[q.ID] = g.sentTo(g.step(0, q))
	}
	for id, m := range at { // b responds, c is silent until its reads are moved away
		if m != "c" {
			g.step(0, AttemptResult{ID: id, Member: m, Outcome: Served, Final: true, Duration: 20 * ms})
		}
	}
	cancelled := 0
	for range 100 {
		for _, a := range g.step(10 * ms) {
			if c, ok := a.(Cancel); ok {
				cancelled++
				g.step(0, AttemptResult{ID: c.ID, Attempt: c.Attempt, Member: "c", Outcome: Cancelled,
					Duration: 400 * ms})
			}
		}
	}
	if cancelled < 3 || g.router.groups[1].latencyRatio > slowLatencyRatio {
		t.Errorf("%d reads moved away, latency ratio of the group %.2f", cancelled, g.router.groups[1].latencyRatio)
	}
}
