package aspenshed

import (
	"math"
	"math/rand"
	"testing"
)

// deployments are the settings of the two kinds of deployment that routers serve: one whose members answer any read and are
// asked how far they are, and one whose members check reads and report with every answer.
var deployments = []func() Settings{testSettings, checkingSettings}

func checkingSettings() Settings {
	s := testSettings()
	s.MembersCheckStaleness, s.ResponsesHaveReport, s.ProbeCost = true, true, 0.034
	s.WarmUpTime, s.InitialCapacity, s.OverloadFactor, s.OverloadWindow = 14*sec, 0.15, 4, sec
	for i := range s.Classes {
		s.Classes[i].MaxStaleness = 500 * ms
	}
	return s
}

func forEachDeployment(t *testing.T, f func(*testing.T, Settings)) {
	for i, s := range deployments {
		t.Run([]string{"asked", "checked"}[i], func(t *testing.T) { f(t, s()) })
	}
}

// route steps in one request and tells where it went; "": nowhere.
func (g *harness) route(after Nanos, class int) (q Request, member string) {
	q = g.request(class)
	for _, x := range sends(g.step(after, q)) {
		if x.ID == q.ID {
			member = x.Member
		}
	}
	return q, member
}

// A report tells how far a member was when it was made: one that is older than that when it comes proves less.
func TestAnOldReportIsNotTakenForFresh(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		bound := s.Classes[boundedClass].MaxStaleness
		for _, cold := range []bool{false, true} { // members that check are tried where warm: the cold tell
			g := newHarness(t, s)
			m := up("b")
			if cold {
				m.StartedAt = g.now - 10*sec
			}
			g.step(0, completeList(primary("a"), m))
			g.serve(0, writeClass, 20*ms, RolePrimary)
			g.step(0, ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: Report{HasPosition: true, Position: g.now - 220*ms}})
			b, q := g.router.members["b"], &request{class: &s.Classes[boundedClass], group: g.router.groupList[0]}
			if !g.router.freshEnough(q, b) {
				t.Errorf("cold %t: not fresh right after a report 220 ms old", cold)
			}
			if g.step(bound-220*ms, TimerFired{}); g.router.freshEnough(q, b) {
				t.Errorf("cold %t: fresh %d ms after what it reported", cold, bound/ms)
			}
		}
	})
}

// All replicas over the bound: no cold or unchecked one is sent a bounded read, and those that check are not asked for ever.
func TestAllReplicasOverTheBound(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		g := newHarness(t, s)
		g.step(0, completeList(primary("a"), up("b"), up("c")))
		g.serve(0, writeClass, 20*ms, RolePrimary)
		attempts, finals := map[string]int{}, 0
		for range 100 {
			late := Report{HasPosition: true, Position: g.now - 5*sec}
			events := []Event{ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: late}, ProbeResult{Member: "c", Outcome: Served, Duration: ms, Report: late}}
			q := g.request(boundedClass)
			acts := g.step(50*ms, append(events, q)...)
			for range s.MaxAttempts + 1 { // each answer may bring another attempt
				next := []Action{}
				for _, x := range sends(acts) {
					attempts[x.ID]++
					a := AttemptResult{ID: x.ID, Member: x.Member, Attempt: len(g.router.requests[x.ID].attempts) - 1, Outcome: Served, Final: true, Duration: 20 * ms, Role: RolePrimary}
					if x.Member != "a" {
						if a = (AttemptResult{ID: x.ID, Member: x.Member, Attempt: a.Attempt, Outcome: Ineligible, Duration: ms, Role: RoleReplica, Report: late}); !s.MembersCheckStaleness {
							t.Fatalf("a read of data 5 s old at %s", x.Member)
						}
					}
					next = append(next, g.step(ms, a)...)
				}
				finals += count[Refuse](acts)
				acts = next
			}
		}
		for id, n := range attempts {
			if n > s.MaxAttempts {
				t.Errorf("%s: %d attempts", id, n)
			}
		}
		if len(attempts) == 0 && finals == 0 {
			t.Error("neither sent to the primary nor answered")
		}
	})
}

// Guards replicas that check reads against being tried by every one, and reads against a turn at each: who was over the bound
// a moment ago still is. After a pause a read shows whether it has caught up.
func TestWhoWasBehindIsLeftAloneForAMoment(t *testing.T) {
	s := checkingSettings()
	g := newHarness(t, s)
	g.step(0, completeList(up("a"), up("b"), up("c")))
	late := Report{HasPosition: true, Position: g.now - 5*sec}
	for _, id := range []string{"a", "b", "c"} {
		q, _ := g.route(0, anyClass)
		g.step(0, AttemptResult{ID: q.ID, Member: id, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
		g.step(0, ProbeResult{Member: id, Outcome: Served, Duration: ms, Report: late})
	}
	if _, to := g.route(10*ms, boundedClass); to != "" {
		t.Errorf("a read went to %s, which was 5 s behind 10 ms ago", to)
	}
	if n := len(sends(g.step(100*ms, TimerFired{}))); n != 1 {
		t.Errorf("%d attempts after the pause, want 1", n)
	}
}

// A primary that hangs for 20 s: what may have run is never sent again, what was held is answered in its time, a client's retry
// under a new id is a request of its own, and once the primary answers, writes go to it.
func TestAPrimaryThatHangs(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		g := newHarness(t, s)
		g.step(0, completeList(primary("a"), up("b")))
		g.serve(0, writeClass, 20*ms, RolePrimary)
		sent, final := map[string]int{}, map[string]int{}
		due := map[string]Nanos{}
		var events []Event
		hung := g.now + 20*sec
		for n := 0; g.now < hung+15*sec; n++ {
			if n%5 == 0 { // each is a retry, under a new id
				q := g.request(writeClass)
				due[q.ID] = g.now + q.Remaining
				events = append(events, q)
			}
			for id, at := range due {
				if at <= g.now && final[id] == 0 && sent[id] > 0 { // nothing came by its time
					events = append(events, AttemptResult{ID: id, Member: "a", Outcome: TimedOut, Duration: 2 * sec})
					delete(due, id)
				}
			}
			acts := g.step(50*ms, append(events, TimerFired{})...)
			events = nil
			for _, x := range acts {
				switch x := x.(type) {
				case Send:
					if sent[x.ID]++; sent[x.ID] > 1 || x.Member != "a" {
						t.Fatalf("%s sent %d times, to %s", x.ID, sent[x.ID], x.Member)
					}
					if g.now >= hung {
						events = append(events, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RolePrimary})
						final[x.ID]++
					}
				case Cancel:
					t.Fatalf("write %s cancelled: it may still run", x.ID)
				case Refuse:
					if final[x.ID]++; sent[x.ID] > 0 {
						t.Fatalf("%s refused though it may have run", x.ID)
					}
				case Fail:
					final[x.ID]++
				case Probe:
					r := ProbeResult{Member: x.Member, Outcome: TimedOut, Duration: 200 * ms}
					if x.Member == "b" || g.now >= hung {
						r = ProbeResult{Member: x.Member, Outcome: Served, Duration: ms, Report: Report{HasRole: true, Primary: x.Member == "a", HasPosition: true, Position: g.now}}
					}
					events = append(events, r)
				}
			}
		}
		served := 0
		for id, n := range final {
			if n > 1 {
				t.Errorf("%s got %d final answers", id, n)
			}
			if sent[id] > 0 {
				served++
			}
		}
		if served < 30 {
			t.Errorf("%d writes got an answer after they were sent, most of the last 15 s should", served)
		}
	})
}

// Everything 2.8 times slower at once tells nothing of any one member: not all may be left alone, and reads go on.
func TestAllMembersSlowAtOnce(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		g := newHarness(t, s)
		g.step(0, completeList(primary("a"), up("b"), up("c"), up("d")))
		for i := range 400 {
			took := 60 * ms
			if i > 200 {
				took = took * 28 / 10
			}
			if g.serve(20*ms, anyClass, took, RoleReplica) == "" && i > 200 {
				t.Fatalf("request %d went nowhere", i)
			}
			banned := 0
			for _, m := range g.router.memberList {
				if g.router.ejected(m) {
					banned++
				}
			}
			if banned > 1 {
				t.Fatalf("%d of 4 members left alone", banned)
			}
		}
	})
}

// Sizes have no unit: what a cold member may get must not grow with the number that all of them are given. Guards it against
// the work of clients spread over members by their count: at sizes of 5 the budget was five times the part.
func TestTheUnitOfSizesDoesNotMatter(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		var got []float64
		for _, size := range []float64{1, 5} {
			g := newHarness(t, s)
			var all []Member
			for _, m := range []Member{primary("a"), up("b"), up("c"), up("d")} {
				m.Weight = size
				all = append(all, m)
			}
			all[3].StartedAt = g.now - 3*sec
			g.step(0, completeList(all...))
			for range 100 { // clients come, nothing is answered yet
				g.step(20*ms, g.request(writeClass), TimerFired{})
			}
			d := g.router.members["d"]
			got = append(got, d.slowStartBudget+d.randomShare)
		}
		if got[0] <= 0 || got[1] > 1.01*got[0] || got[1] < 0.99*got[0] {
			t.Errorf("budget or chance %.4f and, at five times the sizes, %.4f", got[0], got[1])
		}
	})
}

// A gateway that suddenly carries half of all traffic learns what warm members do for it while the others still remember
// what they did for them: together they must not push a member over that starts in those seconds.
func TestAHotGatewayAndAColdMember(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		const routers, rps, replicas = 5, 150, 5
		s.Routers = routers
		list := completeList(primary("a"), up("b"), up("c"), up("d"), up("e"), up("f"))
		rs := newFleetOf(t, routers, s, list)
		told := map[*harness][]Event{}
		rng := rand.New(rand.NewSource(7))
		cold := rs[0].now + 16*sec // told at once
		var at []Nanos
		for now := Nanos(0); now < 26*sec; now += 20 * ms {
			for left := rng.ExpFloat64(); left < rps*0.02; left += rng.ExpFloat64() {
				g := rs[rng.Intn(routers)]
				if now > 12*sec && rng.Intn(2) == 0 {
					g = rs[0]
				}
				told[g] = append(told[g], g.request(anyClass))
			}
			for _, g := range rs {
				events := append(told[g], TimerFired{})
				if now == 16*sec {
					m := up("f")
					m.StartedAt = cold
					events = append(events, MemberList{Members: []Member{m}})
				}
				told[g] = nil
				for _, x := range g.step(20*ms, events...) {
					send, ok := x.(Send)
					if !ok {
						continue
					}
					if send.Member == "f" && g.now > cold {
						at = append(at, g.now)
					}
					told[g] = append(told[g], AttemptResult{ID: send.ID, Member: send.Member, Attempt: len(g.router.requests[send.ID].attempts) - 1, Outcome: Served, Final: true, Duration: 40 * ms, Role: RoleReplica})
				}
			}
		}
		warm := rps / float64(replicas) // requests a second of a warm member, which can do more
		for i, from := range at {
			n := 0.0
			for _, x := range at[i:] {
				if x < from+s.OverloadWindow {
					n++
				}
			}
			part := s.InitialCapacity + (1-s.InitialCapacity)*float64(from-cold)/float64(s.WarmUpTime)
			if most := s.OverloadFactor*part*warm*float64(s.OverloadWindow)/1e9 + 3*math.Sqrt(s.OverloadFactor*part*warm) + 3; n > most {
				t.Fatalf("%.0f requests in the window that begins %d ms after the start, %.1f topple it", n, (from-cold)/ms, most)
			}
		}
		if len(at) < 30 {
			t.Errorf("%d requests for the cold member in 10 s", len(at))
		}
	})
}
