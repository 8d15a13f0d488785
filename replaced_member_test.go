package aspenshed

import "testing"

// routeMany sends requests of a class and group, a millisecond apart, and counts how many each member gets. Each is served
// at once.
func (g *harness) routeMany(class, group, n int) map[string]int {
	g.t.Helper()
	counts := map[string]int{}
	for range n {
		q := g.request(class)
		q.Group = group
		for _, s := range sends(g.step(ms, q)) {
			counts[s.Member]++
			g.step(0, AttemptResult{ID: q.ID, Attempt: s.Attempt, Member: s.Member, Outcome: Served, Final: true, Duration: 100 * ms})
		}
	}
	return counts
}

func inGroup(m Member, group int) Member {
	m.Group = group
	return m
}

// listsNaming returns the lists with which a router may be notified of changed members.
func listsNaming(ms ...Member) map[string]MemberList {
	all := append([]Member{up("a"), up("b")}, ms...)
	return map[string]MemberList{"complete": completeList(all...), "changes": {Members: ms},
		"cached": {Complete: true, Cached: true, Members: all}}
}

// Guards against requests of a group at a member that is listed in another one, and the other way round.
func TestRegroupedMemberServesItsNewGroupAlone(t *testing.T) {
	for name, list := range listsNaming(inGroup(up("c"), 2), inGroup(up("d"), 2)) {
		g := newReportedHarness(t, testSettings())
		g.step(ms, list)
		if got := g.routeMany(anyClass, 1, 40); got["c"]+got["d"] > 0 || got["b"] == 0 {
			t.Errorf("%s: reads of group 1 went to %v", name, got)
		}
		if got := g.routeMany(anyClass, 2, 40); got["a"]+got["b"] > 0 || got["c"] == 0 || got["d"] == 0 {
			t.Errorf("%s: reads of group 2 went to %v", name, got)
		}
	}
}

// Guards against writes of a group at the primary of another one, to which a member has moved.
func TestRegroupedPrimaryTakesNoWritesOfItsFormerGroup(t *testing.T) {
	for name, list := range listsNaming(inGroup(up("c"), 2), inGroup(up("d"), 2)) {
		g := newReportedHarness(t, testSettings())
		g.step(ms, list)
		g.step(ms, ProbeResult{Member: "c", Outcome: Served, Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
		if got := g.routeMany(writeClass, 1, 5); got["a"] != 5 {
			t.Errorf("%s: writes of group 1 went to %v", name, got)
		}
		if got := g.routeMany(writeClass, 2, 5); got["c"] != 5 {
			t.Errorf("%s: writes of group 2 went to %v", name, got)
		}
	}
}

// Guards the group that its primary leaves: it finds another one, and requests that wait for it don't follow the former.
func TestGroupThatLosesItsPrimaryFindsAnother(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	g.step(ms, MemberList{Members: []Member{inGroup(up("a"), 2)}})
	acts := g.step(ms, g.request(writeClass))
	if len(sends(acts)) > 0 {
		t.Fatalf("a write was sent without a primary: %v", acts)
	}
	g.step(ms, ProbeResult{Member: "a", Outcome: Served, Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
	acts = g.step(20*ms, ProbeResult{Member: "b", Outcome: Served, Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + 20*ms}})
	if to := g.sentTo(acts); to != "b" {
		t.Errorf("the queued write went to %s", to)
	}
}

// Guards against what a response of the former place of a member says being taken for the new one.
func TestResponseOfAFormerPlaceIsNotOfTheNewOne(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(writeClass)
	if to := g.sentTo(g.step(ms, q)); to != "a" {
		t.Fatalf("the write went to %s", to)
	}
	g.step(ms, MemberList{Members: []Member{inGroup(up("a"), 2)}})
	acts := g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: ms, Role: RolePrimary, Position: g.now,
		Report: Report{HasPosition: true, Position: g.now, HasRole: true, Primary: true}})
	acts = append(acts, g.step(ms, g.request(writeClass))...)
	other := g.request(writeClass)
	other.Group = 2
	if acts = append(acts, g.step(ms, other)...); len(sends(acts)) > 0 {
		t.Errorf("writes were sent to a former primary: %v", sends(acts))
	}
	if m := g.router.members["a"]; m.position != 0 || m.primaryDeniedAt != 0 || m.primaryProvenAt != 0 || m.inFlight != 0 || len(m.idleSince) != 0 {
		t.Errorf("known of the new place: position %d, primary denied at %d, proven at %d, %d in flight, %d idle connections", m.position, m.primaryDeniedAt, m.primaryProvenAt, m.inFlight, len(m.idleSince))
	}
}

// Guards a member that is listed again, elsewhere, while a request is still out at its former place.
func TestMemberListedAgainElsewhereWhileARequestIsOut(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(writeClass)
	g.step(ms, q)
	g.step(ms, completeList(up("b"), up("c")))
	g.step(ms, completeList(inGroup(up("a"), 2), up("b"), up("c")))
	if got := g.routeMany(anyClass, 1, 20); got["a"] > 0 {
		t.Errorf("reads of group 1 went to %v", got)
	}
	if got := g.routeMany(anyClass, 2, 5); got["a"] != 5 {
		t.Errorf("reads of group 2 went to %v", got)
	}
}

// A member that is not up keeps its place: nothing is sent to it, and an entry that says that it leaves may name no more.
func TestDrainingMemberKeepsItsPlace(t *testing.T) {
	for _, state := range []MemberState{Draining, Removed} {
		g := newReportedHarness(t, testSettings())
		q := g.request(anyClass)
		g.step(ms, q)
		for _, id := range []string{"b", "c"} {
			g.step(ms, MemberList{Members: []Member{{ID: id, State: state}}})
		}
		for _, id := range []string{"b", "c"} {
			if m := g.router.members[id]; m != nil && (m.Group != 1 || m.group != g.router.groups[1]) {
				t.Errorf("state %d: %s is in group %d", state, id, m.Group)
			}
		}
		for group := range 2 {
			if got := g.routeMany(anyClass, group, 10); got["b"]+got["c"] > 0 {
				t.Errorf("state %d: reads went to %v", state, got)
			}
		}
	}
}

// A member that keeps being moved leaves nothing behind, while requests are out at each of its former places.
func TestFormerPlacesAreForgotten(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for i := range 50 {
		g.step(ms, MemberList{Members: []Member{inGroup(up("c"), 2+i%2)}})
		q := g.request(anyClass)
		q.Group = 2 + i%2
		if to := g.sentTo(g.step(ms, q)); to != "c" {
			t.Fatalf("move %d: the read went to %s", i, to)
		}
	}
	listed := 0
	for _, group := range g.router.groupList {
		listed += len(group.probeOrder)
	}
	if r := g.router; len(r.members) != 3 || len(r.memberList) != 3 || listed != 3 {
		t.Errorf("%d members, %d in the list, %d in groups; want 3", len(r.members), len(r.memberList), listed)
	}
}

// Guards reads against a server that has taken over a member's ID at another address: the position that its predecessor
// had says nothing of its data.
func TestNewAddressHasNoPosition(t *testing.T) {
	for name, list := range listsNaming(at(up("c"), "h:2")) {
		for _, class := range []int{boundedClass, sessionClass} {
			g := newHarness(t, testSettings())
			g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{at(up("a"), "h:0"), at(up("b"), "h:3"), at(up("c"), "h:1")}})
			g.reportAll(0)
			g.step(ms, list)
			q := g.request(class)
			q.SinceCommit = 50 * ms
			for _, s := range sends(g.step(ms, q)) {
				if s.Member == "c" {
					t.Errorf("%s: a read of class %d went to a server of unknown position", name, class)
				}
			}
			if m := g.router.members["c"]; m.Address != "h:2" || m.position != 0 || m.lastHeardAt != 0 {
				t.Errorf("%s: known of the new server: %+v", name, m.Member)
			}
			// The new server lags: it gets no such read before it has caught up.
			lagging := Report{HasPosition: true, Position: g.now - 3*sec, HasRole: true}
			g.step(ms, ProbeResult{Member: "c", Outcome: Served, Report: lagging})
			if got := g.routeMany(boundedClass, 1, 20); got["c"] > 0 {
				t.Errorf("%s: bounded reads went to %v", name, got)
			}
		}
	}
}

// Guards against writes at a server that has taken over the ID of the primary at another address.
func TestNewAddressOfThePrimaryIsNoPrimary(t *testing.T) {
	for name, list := range listsNaming(at(up("a"), "h:2")) {
		g := newHarness(t, testSettings())
		g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{at(up("a"), "h:1"), up("b"), up("c")}})
		g.reportAll(0)
		g.step(ms, list)
		if got := sends(g.step(ms, g.request(linearizableClass))); len(got) > 0 {
			t.Errorf("%s: %v was sent without a known primary", name, got)
		}
		g.reportAll(0)
		if got := g.routeMany(writeClass, 1, 3); got["a"] != 3 {
			t.Errorf("%s: writes went to %v after the new server had reported that it is the primary", name, got)
		}
	}
}

// Guards against a role that the list still has from the former server: a replacement is the primary once it says so.
func TestListedRoleOfAReplacementIsProbed(t *testing.T) {
	primary := func(m Member) Member {
		m.Primary = true
		return m
	}
	for name, a := range map[string]Member{"address": primary(at(up("a"), "h:2")), "group": primary(inGroup(at(up("a"), "h:1"), 2))} {
		g := newHarness(t, testSettings())
		g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{primary(at(up("a"), "h:1")), up("b"), up("c")}})
		g.reportAll(0)
		for range 2 { // a second list says the same
			g.step(ms, completeList(a, up("b"), up("c")))
			q := g.request(linearizableClass)
			q.Group = a.Group
			if acts := g.step(ms, q); len(sends(acts)) > 0 {
				t.Errorf("%s: a read that needs the primary was sent by the list's word: %v", name, sends(acts))
			}
		}
		if !g.router.members["a"].probePending {
			t.Errorf("%s: the replacement is not probed", name)
		}
		g.step(ms, ProbeResult{Member: "a", Outcome: Served, Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
		if got := g.routeMany(writeClass, a.Group, 3); got["a"] < 3 {
			t.Errorf("%s: writes went to %v", name, got)
		}
	}
}

// Guards reads that need the primary, whose connection is still being opened when the member says that it is a replica.
func TestAttemptAtAFormerPrimaryIsRevoked(t *testing.T) {
	for class, revoked := range map[int]bool{writeClass: true, linearizableClass: true, anyClass: false} {
		g := newReportedHarness(t, testSettings())
		q := g.request(class)
		member := g.sentTo(g.step(ms, q))
		if !g.router.MaySend(q.ID, 0) {
			t.Errorf("class %d: revoked without news", class)
		}
		g.step(ms, ProbeResult{Member: member, Outcome: TimedOut})
		if !g.router.MaySend(q.ID, 0) {
			t.Errorf("class %d: revoked by a probe without a result", class)
		}
		report := Report{HasRole: true, HasPosition: true, Position: g.now + ms}
		g.step(ms, ProbeResult{Member: member, Outcome: Served, Report: report})
		if g.router.MaySend(q.ID, 0) == revoked {
			t.Errorf("class %d: revoked %t, want %t", class, !revoked, revoked)
		}
	}
}

// An entry without an address says nothing of where the member is reached.
func TestEntryWithoutAddressKeepsTheMember(t *testing.T) {
	g := newHarness(t, testSettings())
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{at(up("a"), "h:1"), up("b"), up("c")}})
	g.reportAll(0)
	g.step(ms, completeList(up("a"), at(up("b"), "h:2"), up("c")))
	g.step(ms, completeList(at(up("a"), "h:1"), at(up("b"), "h:2"), up("c")))
	if r := g.router; r.members["a"].position == 0 || r.members["b"].position == 0 || !r.groups[1].primaryTrusted {
		t.Error("what was known of the members is lost")
	}
}

func at(m Member, address string) Member {
	m.Address = address
	return m
}
