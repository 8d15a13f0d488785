package aspenshed

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"aspenshed/internal/experiment/warmup"
)

// deployments are the settings of the two kinds of deployment: one whose members serve any read and are probed for
// their position, and one whose members check the staleness of reads and report with every response.
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
		t.Run([]string{"members are probed", "members check staleness"}[i], func(t *testing.T) { f(t, s()) })
	}
}

// route passes in one request and returns the member it was sent to; "": none.
func (g *harness) route(after Nanos, class int) (q Request, member string) {
	q = g.request(class)
	for _, x := range sends(g.step(after, q)) {
		if x.ID == q.ID {
			member = x.Member
		}
	}
	return q, member
}

// A report's position is as of when it was made: the older a report is on arrival, the less freshness it proves.
func TestOldReportDoesNotProveFreshness(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		bound := s.Classes[boundedClass].MaxStaleness
		// Members that check staleness are tried if they are warmed up; if they are warming, the report decides.
		for _, warming := range []bool{false, true} {
			g := newHarness(t, s)
			m := up("b")
			if warming {
				m.StartedAt = g.now - 10*sec
			}
			g.step(0, completeList(primary("a"), m))
			g.serve(0, writeClass, 20*ms, RolePrimary)
			g.step(0, ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: Report{HasPosition: true,
				Position: g.now - 220*ms}})
			b, q := g.router.members["b"], &request{class: &s.Classes[boundedClass], group: g.router.groupList[0]}
			if !g.router.freshEnough(q, b) {
				t.Errorf("warming %t: not fresh right after a report 220 ms old", warming)
			}
			if g.step(bound-220*ms, TimerFired{}); g.router.freshEnough(q, b) {
				t.Errorf("warming %t: fresh %d ms after the position it reported", warming, bound/ms)
			}
		}
	})
}

// All replicas exceed the staleness bound: a replica that is warming or does not check staleness is sent no bounded
// read, and those that check are not tried endlessly.
func TestAllReplicasTooStale(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		g := newHarness(t, s)
		g.step(0, completeList(primary("a"), up("b"), up("c")))
		g.serve(0, writeClass, 20*ms, RolePrimary)
		attempts, finals := map[string]int{}, 0
		for range 100 {
			late := Report{HasPosition: true, Position: g.now - 5*sec}
			events := []Event{ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: late},
				ProbeResult{Member: "c", Outcome: Served, Duration: ms, Report: late}}
			q := g.request(boundedClass)
			acts := g.step(50*ms, append(events, q)...)
			for range s.MaxAttempts + 1 { // each result may cause another attempt
				next := []Action{}
				for _, x := range sends(acts) {
					attempts[x.ID]++
					a := AttemptResult{ID: x.ID, Member: x.Member, Attempt: len(g.router.requests[x.ID].attempts) - 1,
						Outcome: Served, Final: true, Duration: 20 * ms, Role: RolePrimary}
					if x.Member != "a" {
						if a = (AttemptResult{ID: x.ID, Member: x.Member, Attempt: a.Attempt, Outcome: Ineligible,
							Duration: ms, Role: RoleReplica, Report: late}); !s.MembersCheckStaleness {
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
			t.Error("neither sent to the primary nor refused")
		}
	})
}

// Guards replicas that check staleness against being tried by every read, and reads against trying every replica: one
// that exceeded the bound a moment ago still does. After a pause a read shows whether it has caught up.
func TestLaggingReplicaIsSkippedBriefly(t *testing.T) {
	s := checkingSettings()
	g := newHarness(t, s)
	g.step(0, completeList(up("a"), up("b"), up("c")))
	late := Report{HasPosition: true, Position: g.now - 5*sec}
	for _, id := range []string{"a", "b", "c"} {
		q, _ := g.route(0, anyClass)
		g.step(0, AttemptResult{ID: q.ID, Member: id, Outcome: Served, Final: true, Duration: 20 * ms,
			Role: RoleReplica})
		g.step(0, ProbeResult{Member: id, Outcome: Served, Duration: ms, Report: late})
	}
	if _, to := g.route(10*ms, boundedClass); to != "" {
		t.Errorf("a read went to %s, which lagged by 5 s 10 ms ago", to)
	}
	if n := len(sends(g.step(100*ms, TimerFired{}))); n != 1 {
		t.Errorf("%d attempts after the pause, want 1", n)
	}
}

// A primary hangs for 20 s: what may have been executed is never sent again, queued requests get a response in time,
// a client's retry under a new id is a new request, and once the primary responds, writes go to it.
func TestHungPrimary(t *testing.T) {
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
				if at <= g.now && final[id] == 0 && sent[id] > 0 { // no response by its deadline
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
						events = append(events, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true,
							Duration: 20 * ms, Role: RolePrimary})
						final[x.ID]++
					}
				case Cancel:
					t.Fatalf("write %s cancelled: it may still be executed", x.ID)
				case Refuse:
					if final[x.ID]++; sent[x.ID] > 0 {
						t.Fatalf("%s refused although it may have been executed", x.ID)
					}
				case Fail:
					final[x.ID]++
				case Probe:
					r := ProbeResult{Member: x.Member, Outcome: TimedOut, Duration: 200 * ms}
					if x.Member == "b" || g.now >= hung {
						r = ProbeResult{Member: x.Member, Outcome: Served, Duration: ms, Report: Report{HasRole: true,
							Primary: x.Member == "a", HasPosition: true, Position: g.now}}
					}
					events = append(events, r)
				}
			}
		}
		served := 0
		for id, n := range final {
			if n > 1 {
				t.Errorf("%s got %d final responses", id, n)
			}
			if sent[id] > 0 {
				served++
			}
		}
		if served < 30 {
			t.Errorf("%d writes got a response after they were sent, most of the last 15 s should", served)
		}
	})
}

// All members become 2.8 times slower at once, which says nothing about any single one: they are not all ejected, and
// reads go on.
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
				t.Fatalf("request %d was not sent", i)
			}
			ejected := 0
			for _, m := range g.router.memberList {
				if g.router.ejected(m) {
					ejected++
				}
			}
			if ejected > 1 {
				t.Fatalf("%d of 4 members ejected", ejected)
			}
		}
	})
}

// Weights have no unit: the budget of a warming member must not grow with the weight that all members have. Guards
// against spreading the clients' work over the number of members: at weights of 5 the budget was five times the
// share.
func TestUnitOfWeightsDoesNotMatter(t *testing.T) {
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
			for range 100 { // requests arrive, none has a response yet
				g.step(20*ms, g.request(writeClass), TimerFired{})
			}
			d := g.router.members["d"]
			got = append(got, d.slowStartLimit)
		}
		if got[0] <= 0 || got[1] > 1.01*got[0] || got[1] < 0.99*got[0] {
			t.Errorf("budget or random share %.4f and, at five times the weights, %.4f", got[0], got[1])
		}
	})
}

// A gateway that suddenly carries half of all traffic measures a higher work rate while the others still remember
// theirs from before: together they must not overload a member that starts in those seconds.
func TestBusyGatewayAndWarmingMember(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, s Settings) {
		const routers, rps, replicas = 5, 150, 5
		s.Routers = routers
		list := completeList(primary("a"), up("b"), up("c"), up("d"), up("e"), up("f"))
		rs := newFleetOf(t, routers, s, list)
		pending := map[*harness][]Event{}
		rng := rand.New(rand.NewSource(7))
		startedAt := rs[0].now + 16*sec     // notified at once
		const warmedUpRate = rps / replicas // requests per second of a warmed-up member
		var at []Nanos
		f := warmup.Database{Limits: warmup.Limits{Capacity: warmedUpRate * 0.1, MeanWork: 0.1, InitialCapacity: s.InitialCapacity,
			WarmUpTime: time.Duration(s.WarmUpTime), OverloadFactor: s.OverloadFactor, OverloadWindow: time.Duration(s.OverloadWindow)}}
		later := map[Nanos]map[*harness][]Event{} // results of f, by their time
		for now := Nanos(0); now < 26*sec; now += 20 * ms {
			for left := rng.ExpFloat64(); left < rps*0.02; left += rng.ExpFloat64() {
				g := rs[rng.Intn(routers)]
				if now > 12*sec && rng.Intn(2) == 0 {
					g = rs[0]
				}
				pending[g] = append(pending[g], g.request(anyClass))
			}
			for _, g := range rs {
				events := append(append(pending[g], later[now][g]...), TimerFired{})
				if now == 16*sec {
					f.Start(int64(startedAt))
					m := up("f")
					m.StartedAt = startedAt
					events = append(events, MemberList{Members: []Member{m}})
				}
				pending[g] = nil
				for _, x := range g.step(20*ms, events...) {
					send, ok := x.(Send)
					if !ok {
						continue
					}
					if send.Member == "f" && g.now > startedAt {
						at = append(at, g.now)
					}
					result := AttemptResult{ID: send.ID, Member: send.Member,
						Attempt: len(g.router.requests[send.ID].attempts) - 1, Outcome: Served, Final: true,
						Duration: 40 * ms, Role: RoleReplica}
					if send.Member != "f" || g.now <= startedAt {
						pending[g] = append(pending[g], result)
						continue
					}
					result.Duration = Nanos(f.Enqueue(int64(g.now), 0.1)) // it serves no more than its capacity
					due := now + (result.Duration/(20*ms)+1)*20*ms
					if later[due] == nil {
						later[due] = map[*harness][]Event{}
					}
					later[due][g] = append(later[due][g], result)
				}
			}
		}
		for i, from := range at {
			n := 0.0
			for _, x := range at[i:] {
				if x < from+s.OverloadWindow {
					n++
				}
			}
			capacity := s.InitialCapacity + (1-s.InitialCapacity)*float64(from-startedAt)/float64(s.WarmUpTime)
			if most := s.OverloadFactor*capacity*warmedUpRate*float64(s.OverloadWindow)/1e9 +
				3*math.Sqrt(s.OverloadFactor*capacity*warmedUpRate) + 3; n > most {
				t.Fatalf("%.0f requests in the window that begins %d ms after the start, %.1f overload it", n,
					(from-startedAt)/ms, most)
			}
		}
		if len(at) < 30 {
			t.Errorf("%d requests for the warming member in 10 s", len(at))
		}
	})
}
