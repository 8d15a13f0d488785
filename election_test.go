package aspenshed

import "testing"

func TestProbeRoundFollowsListOrder(t *testing.T) {
	g := newHarness(t, testSettings())
	acts := g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	if count[Probe](acts) != 0 {
		t.Fatalf("probed although no request needs the primary: %v", acts)
	}
	acts = g.step(0, g.request(writeClass))
	if count[Probe](acts) != 1 || acts[0] != (Probe{"a"}) {
		t.Fatalf("first probe: %v", acts)
	}
	if n := len(sends(acts)); n != 0 {
		t.Fatal("a write was sent before a primary was found")
	}
	acts = g.step(ms, ProbeResult{Member: "a", Outcome: Served, Report: Report{HasRole: true, HasPosition: true,
		Position: g.now}})
	if count[Probe](acts) != 1 || acts[0] != (Probe{"b"}) {
		t.Fatalf("second probe: %v", acts)
	}
	if acts = g.step(100 * ms); count[Probe](acts) != 0 {
		t.Fatalf("third member probed before the timeout: %v", acts)
	}
	if acts = g.step(100 * ms); count[Probe](acts) != 1 {
		t.Fatalf("third member not probed after the timeout: %v", acts)
	}
	acts = g.step(ms, ProbeResult{Member: "c", Outcome: Served, Report: Report{HasRole: true, Primary: true,
		HasPosition: true, Position: g.now}})
	if got := g.sentTo(acts); got != "c" {
		t.Fatalf("queued write went to %s", got)
	}
	if g.router.groupList[0].probeOrder[0].ID != "c" {
		t.Error("the primary found is not first in the probe order")
	}
}

func TestFailedPrimaryIsDistrustedAndItsConnectionsClosed(t *testing.T) {
	for _, o := range []Outcome{ConnectionLost, ConnectFailed, TimedOut, Ineligible} {
		g := newReportedHarness(t, testSettings())
		q := g.request(writeClass)
		g.sentTo(g.step(0, q))
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: o,
			Role: map[Outcome]Role{Ineligible: RoleReplica}[o]})
		if count[Probe](acts) == 0 {
			t.Errorf("outcome %d: no probe round started", o)
		}
		if n := len(sends(g.step(0, g.request(writeClass)))); n != 0 {
			t.Errorf("outcome %d: a write was not queued", o)
		}
		acts = g.step(ms, ProbeResult{Member: "b", Outcome: Served,
			Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
		if count[CloseIdleConnections](acts) != 1 {
			t.Errorf("outcome %d: idle connections of the old primary not closed: %v", o, acts)
		}
		for _, s := range sends(acts) {
			if s.Member != "b" {
				t.Errorf("outcome %d: queued write went to %s", o, s.Member)
			}
		}
	}
}

// Guards rule 3: a draining member gets nothing new, not even a probe, however its attempts end.
func TestDrainingMemberIsNotProbed(t *testing.T) {
	for _, state := range []MemberState{Up, Draining} {
		g := newReportedHarness(t, testSettings())
		q := g.request(anyClass)
		to := sends(g.step(0, q))[0].Member
		m := up(to)
		m.State = state
		g.step(ms, MemberList{Members: []Member{m}})
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: to, Outcome: ConnectionLost})
		if n := count[Probe](acts); n > 0 != (state == Up) {
			t.Errorf("state %d: %d probes of a member whose connection was lost", state, n)
		}
	}
}

// Probes have a cost: an idle group is not probed, and a read that finds no fresh replica probes one, not all.
func TestProbesOnlyOnDemand(t *testing.T) {
	g := newHarness(t, testSettings())
	acts := g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c"), up("d")}})
	acts, _ = g.stepOnTimers(acts, 10*sec)
	if n := count[Probe](acts); n != 0 {
		t.Errorf("%d probes of an idle group", n)
	}
	g = newReportedHarness(t, testSettings())
	g.router.probeCredit = -5 // no credit for a second one
	g.step(5 * sec)
	if n := count[Probe](g.step(0, g.request(boundedClass))); n != 1 {
		t.Errorf("%d probes for one read", n)
	}
}

// Guards a fleet that loses single connections while all members are healthy: each loss used to eject the member,
// until hardly any was left. A probe decides; if its connection is lost too, it is repeated.
func TestOnlyFailedProbeEjectsAfterConnectionLoss(t *testing.T) {
	for _, c := range []struct {
		probes  []Outcome
		ejected bool
	}{{[]Outcome{Served}, false}, {[]Outcome{ConnectionLost, Served}, false},
		{[]Outcome{ConnectionLost, ConnectionLost}, true},
		{[]Outcome{ConnectFailed}, true}, {[]Outcome{TimedOut}, true}} {
		g := newReportedHarness(t, testSettings())
		q := g.request(anyClass)
		first := g.sentTo(g.step(ms, q))
		m := g.router.members[first]
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: first, Outcome: ConnectionLost, Duration: ms})
		for _, o := range c.probes {
			if g.router.ejected(m) || count[Probe](acts) != 1 {
				t.Errorf("%v: ejected %t, %d probes", c, g.router.ejected(m), count[Probe](acts))
			}
			acts = g.step(ms, ProbeResult{Member: first, Outcome: o})
		}
		if g.router.ejected(m) != c.ejected {
			t.Errorf("%v: ejected %t", c, g.router.ejected(m))
		}
	}
}

// Guards writes where connections get lost: a report older than the last response restores trust in the primary if it
// confirms it; an older report that says otherwise does not count.
func TestOldReportConfirmsPrimaryAfterConnectionLoss(t *testing.T) {
	for primary, trusted := range map[bool]bool{true: true, false: false} {
		g := newReportedHarness(t, testSettings())
		q := g.request(writeClass)
		g.step(ms, q)
		g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: ms, Role: RolePrimary})
		q = g.request(writeClass)
		g.step(ms, q)
		if g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: ConnectionLost,
			Duration: ms}); g.router.groups[1].primaryTrusted {
			t.Fatal("the primary is trusted after a lost connection")
		}
		g.step(ms, ProbeResult{Member: "a", Outcome: Served, Duration: ms, Report: Report{HasPosition: true,
			Position: g.now - 100*ms, HasRole: true, Primary: primary}})
		if g.router.groups[1].primaryTrusted != trusted || g.router.members["a"].primaryDeniedAt != 0 {
			t.Errorf("report says primary %t: trusted %t", primary, g.router.groups[1].primaryTrusted)
		}
	}
}
