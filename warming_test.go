package aspenshed

import "testing"

func TestWarmingMemberGetsAtMostItsShare(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	warming := up("d")
	warming.StartedAt = g.now
	g.step(ms, MemberList{Members: []Member{warming}})
	n := map[string]int{}
	for i := 0; i < 2000; i++ {
		q := g.request(anyClass)
		for _, s := range sends(g.step(5*ms, q)) {
			n[s.Member]++
			g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms,
				Role: RoleReplica})
		}
		if i == 199 && n["d"] > n["b"]/2 {
			t.Errorf("in its first second the warming member got %d, a warmed-up one %d", n["d"], n["b"])
		}
	}
	if n["d"] == 0 {
		t.Error("the warming member never got anything")
	}
}

// Guards rule 4 where members reject reads that they are too stale for: a restarted member resumes at its old
// position, and the reads that it rejects load it too. A warmed-up member is tried, as only its responses show its
// position.
func TestLaggingWarmingMemberGetsNoReads(t *testing.T) {
	for _, c := range []struct {
		warming bool
		age     Nanos
		tried   bool
	}{{true, 2 * sec, false}, {true, 100 * ms, true}, {false, 2 * sec, true}} {
		s := testSettings()
		s.MembersCheckStaleness, s.ResponsesHaveReport = true, true
		g := newHarness(t, s)
		m := up("b")
		if c.warming {
			m.StartedAt = g.now - 2*sec
		}
		g.step(0, completeList(primary("a"), m))
		g.serve(0, writeClass, 20*ms, RolePrimary)
		n := 0
		for range 40 {
			g.step(50*ms, ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: Report{HasPosition: true,
				Position: g.now - c.age}})
			for _, x := range sends(g.step(110*ms, g.request(boundedClass))) {
				if x.Member == "b" {
					n++
				}
				g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 10 * ms})
			}
		}
		if n > 0 != c.tried {
			t.Errorf("%+v: %d reads", c, n)
		}
	}
}

// Incident i8e3937: a group whose members have all restarted still serves requests, few at first.
func TestGroupOfWarmingMembersIsServed(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	serve := func(n int) (served int) {
		for i := 0; i < n; i++ {
			for _, s := range sends(g.step(5*ms, g.request(anyClass))) {
				served++
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms,
					Role: RoleReplica})
			}
		}
		return
	}
	serve(400)
	var warming []Member
	for _, id := range []string{"a", "b", "c"} {
		m := up(id)
		m.StartedAt = g.now
		warming = append(warming, m)
	}
	g.step(ms, completeList(warming...))
	if n := serve(600); n < 40 {
		t.Errorf("%d of 600 reads served in the three seconds after all members restarted", n)
	}
}

// Rule 4 in large fleets: what hundreds of routers with little traffic together send to a restarted member stays
// within its limit.
func TestWarmingMemberUnderHundredsOfRouters(t *testing.T) {
	const routers, members, rate = 300, 5, 3 // requests per second at each router
	s := testSettings()
	s.OverloadFactor, s.Routers = 2.5, routers
	ids := []string{"a", "b", "c", "d", "e"}
	var list []Member
	for _, id := range ids {
		list = append(list, up(id))
	}
	var rs []*harness
	for i := range routers {
		r, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		rs = append(rs, &harness{t: t, router: r, now: 100 * sec})
		rs[i].step(0, MemberList{Complete: true, Cached: true, Members: list})
		rs[i].reportAll(0)
	}
	back := rs[0].now + 10*sec
	var at []Nanos // sends to the restarted member after its return
	for now, tick := rs[0].now, 0; now < back+6*sec; now, tick = now+ms, tick+1 {
		for i, g := range rs {
			if g.now = now; now == back {
				m := up("b")
				m.StartedAt = now
				g.step(0, MemberList{Members: []Member{m}})
			}
			if (tick+i*7)%(1000/rate) != 0 {
				continue
			}
			for _, x := range sends(g.step(0, g.request(anyClass))) {
				if x.Member == "b" && now >= back {
					at = append(at, now)
				}
				g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 100 * ms,
					Role: RoleReplica})
			}
		}
	}
	capacity := float64(routers*rate) / (members - 1) / 0.8 // requests per second of a warmed-up member
	limit := int(s.OverloadFactor * s.InitialCapacity * capacity * float64(s.OverloadWindow) / 1e9)
	for i, from := 0, 0; i < len(at); i++ {
		for at[from] < at[i]-s.OverloadWindow {
			from++
		}
		if n := i - from + 1; at[i] < back+sec && n > limit {
			t.Fatalf("%d sends within %d ms of the restart, at most %d", n, (at[i]-back)/ms, limit)
		}
	}
	if len(at) == 0 {
		t.Error("the restarted member got nothing")
	}
}

// A member that refused a connection and is reachable again counts as restarted, although the list does not say so.
func TestRecoveredMemberIsWarming(t *testing.T) {
	s := testSettings()
	s.ConnectTimeout = 250 * ms
	g := newReportedHarness(t, s)
	q := g.request(anyClass)
	m := g.sentTo(g.step(0, q))
	g.step(ms, AttemptResult{ID: q.ID, Member: m, Outcome: ConnectFailed, Duration: ms})
	for i := 0; i < 100 && !g.router.warming(g.router.members[m]); i++ {
		for _, a := range g.step(100*ms, g.request(anyClass)) {
			if p, ok := a.(Probe); ok && p.Member == m {
				g.step(ms, ProbeResult{Member: m, Outcome: Served, Duration: ms})
			}
		}
	}
	if !g.router.warming(g.router.members[m]) {
		t.Error("a member that is reachable again is not warming")
	}
}

// Guards warming members where routers share them by lease: without a valid lease a router uses its unleased share,
// with one also the leased share, of the work rate that all have agreed on. A share for another start has no effect.
// A start is warming until its end is agreed on, or for MaxWarmUpTime, whatever age its own clock shows.
func TestWarmingMemberIsSharedByLease(t *testing.T) {
	const unleased, rate = 0.1, 20 // of the budget; work per second that warmed-up members do for all routers
	sent := func(share SlowStartShare, after Nanos) (n float64) {
		s := testSettings()
		s.UnleasedShare, s.MaxWarmUpTime, s.OverloadFactor = unleased, 20*sec, 2.5
		g := newReportedHarness(t, s)
		d := up("d")
		d.StartedAt = 1 // long ago, by a clock that is far off
		share.Member = "d"
		if share.StartedAt == 0 {
			share.StartedAt = d.StartedAt
		}
		if share.Until > 0 {
			share.Until += g.now
		}
		g.step(ms, MemberList{Members: []Member{d}}, share)
		for end := g.now + after; g.now < end; {
			q := g.request(anyClass)
			for _, x := range sends(g.step(ms, q)) {
				if x.Member == "d" {
					n += g.router.typicalLatency[anyClass] / 1e9
				}
				g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 20 * ms,
					Role: RoleReplica})
			}
		}
		return n
	}
	// What may be sent within the first second: the share of what overloads it, as its capacity rises from its start.
	s := testSettings()
	most := func(share float64) float64 {
		return share * 2.5 * rate * (s.InitialCapacity + float64(sec)/float64(s.WarmUpTime))
	}
	burst := 1.2 * 0.25 // one request of the fastest class, at its initial estimate
	without := sent(SlowStartShare{WorkRate: rate}, sec)
	with := sent(SlowStartShare{WorkRate: rate, LeasedShare: 0.5, Until: 10 * sec}, sec)
	if without > most(unleased)+burst || with > most(unleased+0.5)+burst || with < 2*without {
		t.Errorf("%.2f without a lease (%.2f at most), %.2f with (%.2f at most)", without, most(unleased)+burst, with,
			most(unleased+0.5)+burst)
	}
	if over := sent(SlowStartShare{WorkRate: rate, LeasedShare: 0.5, Until: 1}, sec); over > most(unleased)+burst {
		t.Errorf("%.2f after the lease's end", over)
	}
	if other := sent(SlowStartShare{WarmedUp: true, StartedAt: 5}, sec); other > most(unleased)+burst {
		t.Errorf("%.2f by the share for another start", other)
	}
	if warmedUp := sent(SlowStartShare{WarmedUp: true}, sec); warmedUp < 1.3*with {
		t.Errorf("%.2f once agreed to be warmed up, %.2f with a lease", warmedUp, with)
	}
	if g, l := sent(SlowStartShare{WorkRate: 0.001}, 19*sec), sent(SlowStartShare{WorkRate: 0.001}, 25*sec); l < g+3 {
		t.Errorf("%.2f in the first 19 s, %.2f in 25 s: its warm-up did not end by itself", g, l)
	}
}
