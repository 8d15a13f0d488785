package aspenshed

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Class numbers of testSettings.
const (
	anyClass = iota
	boundedClass
	sessionClass
	linearizableClass
	writeClass
	deduplicatedClass
)

const sec = 1000 * ms

func testSettings() Settings {
	class := func(name string, n Consistency, e RetrySafety) Class {
		return Class{Name: name, Consistency: n, RetrySafety: e, MaxStaleness: 300 * ms, LatencyTarget: 400 * ms, ClientTimeout: 2 * sec, Value: 1,
			LateValue: 0.5, DedupWindow: 500 * ms, DedupScope: DedupGroup}
	}
	return Settings{
		Routers: 3, MinStepInterval: 5 * ms, ListHasRoles: true, MayProbe: true, MayCancel: true, SendRetryAfter: true,
		MaxAttempts: 4, MaxRetryAfter: sec, ResponseSlack: 10 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		WarmUpTime: 10 * sec, OverloadFactor: 2, OverloadWindow: sec, NotifiedAfter: 10 * sec, ProbeCost: 0.01,
		Classes: []Class{class("any", Eventual, Safe), class("bounded", BoundedStaleness, Safe), class("session", ReadYourWrites, Safe),
			class("fresh", Linearizable, Safe), class("write", Write, Unsafe), class("keyed", Eventual, Deduplicated)},
	}
}

// harness drives one router by hand.
type harness struct {
	t            *testing.T
	router       *Router
	now          Nanos
	requestCount int
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: r, now: 100 * sec}
}

func up(id string) Member { return Member{ID: id, Group: 1, Weight: 1, State: Up} }

func completeList(ms ...Member) MemberList { return MemberList{Complete: true, Members: ms} }

func (g *harness) step(after Nanos, events ...Event) []Action {
	g.now += after
	return g.router.Step(g.now, events)
}

// newReportedHarness starts a router whose group 1 has primary a and replicas b and c, all heard of just now.
func newReportedHarness(t *testing.T, s Settings) *harness {
	g := newHarness(t, s)
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	g.reportAll(0)
	return g
}

// reportAll gives a report of each member: a is the primary, the replicas lag behind by lag.
func (g *harness) reportAll(lag Nanos) []Action {
	rep := func(id string, primary bool, at Nanos) ProbeResult {
		return ProbeResult{Member: id, Outcome: Served, Duration: ms,
			Report: Report{HasPosition: true, Position: at, HasRole: true, Primary: primary}}
	}
	return g.step(ms, rep("a", true, g.now+ms), rep("b", false, g.now+ms-lag), rep("c", false, g.now+ms-lag))
}

func (g *harness) request(class int) Request {
	g.requestCount++
	return Request{ID: fmt.Sprint("q", g.requestCount), Class: class, Group: 1, Session: "s", Remaining: 2 * sec}
}

func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return
}

func count[T Action](acts []Action) (n int) {
	for _, a := range acts {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return
}

func (g *harness) sentTo(acts []Action) string {
	g.t.Helper()
	s := sends(acts)
	if len(s) != 1 {
		g.t.Fatalf("%d sends, want one: %v", len(s), acts)
	}
	return s[0].Member
}

func TestNewRejectsSettingsItCannotServe(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"unknown effect": func(s *Settings) { s.Classes[0].RetrySafety = 0 },
		"unknown need":   func(s *Settings) { s.Classes[0].Consistency = 99 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestEachNeedGoesWhereItMay(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for class, want := range map[int]string{anyClass: "bc", boundedClass: "bc", sessionClass: "bc", linearizableClass: "a", writeClass: "a"} {
		if got := g.sentTo(g.step(0, g.request(class))); !strings.Contains(want, got) {
			t.Errorf("class %d went to %s, want one of %s", class, got, want)
		}
	}
}

func TestRoundGoesInListOrderAndFoundPrimaryHeads(t *testing.T) {
	g := newHarness(t, testSettings())
	acts := g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	if count[Probe](acts) != 0 {
		t.Fatalf("probed though nothing wants the primary: %v", acts)
	}
	acts = g.step(0, g.request(writeClass))
	if count[Probe](acts) != 1 || acts[0] != (Probe{"a"}) {
		t.Fatalf("first probe: %v", acts)
	}
	if n := len(sends(acts)); n != 0 {
		t.Fatal("a write went out before a primary was found")
	}
	acts = g.step(ms, ProbeResult{Member: "a", Outcome: Served, Report: Report{HasRole: true, HasPosition: true, Position: g.now}})
	if count[Probe](acts) != 1 || acts[0] != (Probe{"b"}) {
		t.Fatalf("second probe: %v", acts)
	}
	if acts = g.step(100 * ms); count[Probe](acts) != 0 {
		t.Fatalf("third member asked before the time-out: %v", acts)
	}
	if acts = g.step(100 * ms); count[Probe](acts) != 1 {
		t.Fatalf("third member not asked after the time-out: %v", acts)
	}
	acts = g.step(ms, ProbeResult{Member: "c", Outcome: Served, Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now}})
	if got := g.sentTo(acts); got != "c" {
		t.Fatalf("held write went to %s", got)
	}
	if g.router.groupList[0].probeOrder[0].ID != "c" {
		t.Error("the found primary does not head the list")
	}
}

func TestBrokenLinkDistrustsHoldsAndClosesOldPool(t *testing.T) {
	for _, o := range []Outcome{ConnectionLost, ConnectFailed, TimedOut, Ineligible} {
		g := newReportedHarness(t, testSettings())
		q := g.request(writeClass)
		g.sentTo(g.step(0, q))
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: o, Role: map[Outcome]Role{Ineligible: RoleReplica}[o]})
		if count[Probe](acts) == 0 {
			t.Errorf("outcome %d: no round began", o)
		}
		if n := len(sends(g.step(0, g.request(writeClass)))); n != 0 {
			t.Errorf("outcome %d: a write was not held", o)
		}
		acts = g.step(ms, ProbeResult{Member: "b", Outcome: Served,
			Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
		if count[CloseIdleConnections](acts) != 1 {
			t.Errorf("outcome %d: old pool not closed: %v", o, acts)
		}
		for _, s := range sends(acts) {
			if s.Member != "b" {
				t.Errorf("outcome %d: held write went to %s", o, s.Member)
			}
		}
	}
}

// Rule 2, over every outcome and effect: what may follow the first attempt.
func TestOutcomesAndEffects(t *testing.T) {
	proved := map[Outcome]bool{Overloaded: true, ConnectFailed: true, NotSent: true, Ineligible: true}
	for class, effect := range map[int]RetrySafety{anyClass: Safe, writeClass: Unsafe, deduplicatedClass: Deduplicated} {
		for o := Served; o <= UnknownOutcome; o++ {
			g := newReportedHarness(t, testSettings())
			q := g.request(class)
			first := g.sentTo(g.step(0, q))
			acts := g.step(10*ms, AttemptResult{ID: q.ID, Member: first, Outcome: o, Final: o == Served, Duration: 10 * ms})
			for i := 0; i < 500 && count[Fail](acts)+count[Refuse](acts) == 0; i++ {
				acts = append(acts, g.step(5*ms)...)
			}
			again, refused, failed := len(sends(acts)), count[Refuse](acts), count[Fail](acts)
			switch {
			case o == Served:
				if again+refused+failed != 0 {
					t.Errorf("effect %d after Served: %v", effect, acts)
				}
			case effect == Unsafe && !proved[o]:
				if again+refused != 0 || failed != 1 {
					t.Errorf("unsafe after outcome %d: %d sends, %d refusals, %d failures", o, again, refused, failed)
				}
			case effect == Deduplicated && !proved[o]:
				if refused != 0 {
					t.Errorf("keyed after outcome %d: refused outside its scope", o)
				}
			}
			if effect == Unsafe && proved[o] && failed != 0 {
				t.Errorf("unsafe after outcome %d, which proves that nothing ran: failed", o)
			}
		}
	}
}

func TestKeyedWindow(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(deduplicatedClass)
	first := g.sentTo(g.step(0, q))
	acts := g.step(600*ms, AttemptResult{ID: q.ID, Member: first, Outcome: ConnectionLost})
	for i := 0; i < 400; i++ {
		acts = append(acts, g.step(5*ms)...)
	}
	if len(sends(acts)) != 0 || count[Fail](acts) != 1 {
		t.Errorf("keyed request past its window: %v", acts)
	}
}

func TestOneFinalAnswerInTimeWithoutAPrimary(t *testing.T) {
	g := newHarness(t, testSettings())
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b")}})
	q := g.request(writeClass)
	acts := g.step(0, q)
	for i := 0; i < 500; i++ {
		got := g.step(5 * ms)
		if count[Refuse](got) > 0 && Nanos(i+1)*5*ms > q.Remaining {
			t.Error("answered too late")
		}
		acts = append(acts, got...)
	}
	if count[Refuse](acts) != 1 || count[Fail](acts) != 0 {
		t.Errorf("%d refusals, %d failures, want one refusal", count[Refuse](acts), count[Fail](acts))
	}
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	drain := up("b")
	drain.State = Draining
	for name, news := range map[string]MemberList{
		"draining": {Members: []Member{drain}},
		"gone":     {Members: []Member{{ID: "b", Group: 1, State: Removed}}},
		"absent":   completeList(up("a"), up("c")),
	} {
		g := newReportedHarness(t, testSettings())
		g.step(ms, news)
		for i := 0; i < 20; i++ {
			for _, s := range sends(g.step(ms, g.request(anyClass))) {
				if s.Member == "b" {
					t.Errorf("%s: b was sent to", name)
				}
			}
		}
	}
}

func TestStaleReplicaIsNotRead(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	g.step(350 * ms) // now the known positions are older than the bound
	for i := 0; i < 20; i++ {
		for _, s := range sends(g.step(ms, g.request(boundedClass))) {
			if s.Member != "a" {
				t.Fatalf("bounded read went to %s, last known to be 350 ms behind", s.Member)
			}
		}
	}
}

func TestSessionTokens(t *testing.T) {
	t.Run("told", func(t *testing.T) {
		g := newReportedHarness(t, testSettings())
		g.step(300 * ms)
		g.reportAll(200 * ms)
		q := g.request(sessionClass)
		q.SinceCommit = 100 * ms
		for _, s := range sends(append(g.step(0, q), g.step(30*ms)...)) {
			if s.Member != "a" {
				t.Errorf("went to %s, which lacks the session's write", s.Member)
			}
		}
		q = g.request(sessionClass)
		q.SinceCommit = 500 * ms
		if got := g.sentTo(g.step(0, q)); got == "a" {
			t.Error("a replica that has the write was passed over")
		}
	})
	t.Run("remembered", func(t *testing.T) {
		s := testSettings()
		s.TrackSessionWrites = true
		g := newReportedHarness(t, s)
		w := g.request(writeClass)
		g.step(0, w)
		g.step(10*ms, AttemptResult{ID: w.ID, Member: "a", Outcome: Served, Final: true, Duration: 10 * ms, Role: RolePrimary, Position: g.now + 8*ms})
		for _, x := range sends(append(g.step(ms, g.request(sessionClass)), g.step(30*ms)...)) {
			if x.Member != "a" {
				t.Errorf("went to %s before it was known to have the write", x.Member)
			}
		}
		g.reportAll(0)
		if got := g.sentTo(g.step(ms, g.request(sessionClass))); got == "a" {
			t.Error("a replica that has the write was passed over")
		}
		g.step(200 * ms)
		if n := len(g.router.groupList[0].sessionCommits); n != 0 {
			t.Errorf("%d tokens kept that every member has passed", n)
		}
	})
}

func TestColdMemberGetsAtMostItsPart(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	cold := up("d")
	cold.StartedAt = g.now
	g.step(ms, MemberList{Members: []Member{cold}})
	n := map[string]int{}
	for i := 0; i < 2000; i++ {
		q := g.request(anyClass)
		for _, s := range sends(g.step(5*ms, q)) {
			n[s.Member]++
			g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
		}
		if i == 199 && n["d"] > n["b"]/2 {
			t.Errorf("in its first second the cold member got %d, a warm one %d", n["d"], n["b"])
		}
	}
	if n["d"] == 0 {
		t.Error("the cold member never got anything")
	}
}

func TestSilentMemberIsLeftAlone(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	n := 0
	for i := 0; i < 600; i++ { // b answers nothing, c at once
		for _, s := range sends(g.step(5*ms, g.request(anyClass))) {
			if s.Member == "b" {
				n++
			} else {
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
			}
		}
	}
	if n > 60 {
		t.Errorf("a member that never answers got %d of 600 reads", n)
	}
}

// Guards rule 3: nothing new goes to a member that drains, a probe neither, whatever its attempts come to.
func TestWhoDrainsIsNotProbed(t *testing.T) {
	for _, state := range []MemberState{Up, Draining} {
		g := newReportedHarness(t, testSettings())
		q := g.request(anyClass)
		to := sends(g.step(0, q))[0].Member
		m := up(to)
		m.State = state
		g.step(ms, MemberList{Members: []Member{m}})
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: to, Outcome: ConnectionLost})
		if n := count[Probe](acts); n > 0 != (state == Up) {
			t.Errorf("state %d: %d probes of a member whose link broke", state, n)
		}
	}
}

// Guards rule 4 where members turn away reads that they are too old for: a member that starts again goes on from where it
// stood, and what it turns away pushes it over as well. A warm one is tried, as only its answers tell how far it is.
func TestAColdMemberThatIsBehindGetsNoReadsToTurnAway(t *testing.T) {
	for _, c := range []struct {
		cold  bool
		age   Nanos
		tried bool
	}{{true, 2 * sec, false}, {true, 100 * ms, true}, {false, 2 * sec, true}} {
		s := testSettings()
		s.MembersCheckStaleness, s.ResponsesHaveReport = true, true
		g := newHarness(t, s)
		m := up("b")
		if c.cold {
			m.StartedAt = g.now - 2*sec
		}
		g.step(0, completeList(primary("a"), m))
		g.serve(0, writeClass, 20*ms, RolePrimary)
		n := 0
		for range 40 {
			g.step(50*ms, ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: Report{HasPosition: true, Position: g.now - c.age}})
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

func TestDiscoveryIsAskedAgainAfterABreak(t *testing.T) {
	s := testSettings()
	s.WatchDiscovery = true
	g := newHarness(t, s)
	if count[Watch](g.step(0, MemberList{Complete: true, Cached: true})) != 1 {
		t.Fatal("did not subscribe at once")
	}
	acts := g.step(ms, DiscoveryFailed{})
	if count[Watch](acts) != 0 {
		t.Error("asked again without a pause")
	}
	for i := 0; i < 20; i++ {
		acts = append(acts, g.step(100*ms)...)
	}
	if count[Watch](acts) == 0 {
		t.Error("never asked again")
	}
}

func TestUnknownThingsAreNoted(t *testing.T) {
	s := testSettings()
	s.UnknownKeys = []string{"rules.brandNew"}
	g := newHarness(t, s)
	if count[LogMessage](g.step(0, completeList(up("a"), up("b")))) != 1 {
		t.Error("an unknown settings key was not noted")
	}
	g = newReportedHarness(t, testSettings())
	q := g.request(writeClass)
	g.step(0, q)
	acts := g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: UnknownOutcome})
	if count[LogMessage](acts) != 1 || count[Fail](acts) != 1 || count[Refuse](acts) != 0 {
		t.Errorf("an unknown outcome of a write: %v", acts)
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	a, b := playRandomEvents(t, 5, nil), playRandomEvents(t, 5, nil)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

// Incident i8e3937: a group whose members have all restarted is still served, a little at first.
func TestWholeGroupColdIsServed(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	serve := func(n int) (served int) {
		for i := 0; i < n; i++ {
			for _, s := range sends(g.step(5*ms, g.request(anyClass))) {
				served++
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
			}
		}
		return
	}
	serve(400)
	var cold []Member
	for _, id := range []string{"a", "b", "c"} {
		m := up(id)
		m.StartedAt = g.now
		cold = append(cold, m)
	}
	g.step(ms, completeList(cold...))
	if n := serve(600); n < 40 {
		t.Errorf("%d of 600 reads served in the three seconds after all members restarted", n)
	}
}

// Incident ifc64c8: lost answers at members that answer others do not close their windows, and are asked again.
func TestLostAnswersAreNotAQueue(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	held, late := 0, map[string]Nanos{}
	for i := 0; i < 2000; i++ {
		var done []Event
		for id, at := range late {
			if g.now >= at+2*sec {
				g.t.Fatalf("%s was never moved", id)
			}
		}
		acts := g.step(5*ms, g.request(anyClass))
		if len(sends(acts)) == 0 {
			held++
		}
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if g.requestCount%6 == 0 {
					late[a.ID] = g.now
				} else {
					done = append(done, AttemptResult{ID: a.ID, Attempt: len(g.router.requests[a.ID].attempts) - 1, Member: a.Member,
						Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
				}
			case Cancel:
				delete(late, a.ID)
				done = append(done, AttemptResult{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
			case Refuse:
				delete(late, a.ID)
			}
		}
		for id, at := range late {
			if g.now >= at+1900*ms {
				done = append(done, AttemptResult{ID: id, Attempt: len(g.router.requests[id].attempts) - 1, Outcome: TimedOut})
				delete(late, id)
			}
		}
		g.step(0, done...)
	}
	if held > 200 {
		t.Errorf("%d of 2000 reads were held though the members were idle", held)
	}
}

// Incident i1d42c4: a slow primary is spared the reads that no replica can serve.
func TestSlowPrimaryIsSpared(t *testing.T) {
	for took, want := range map[Nanos]bool{20 * ms: true, 390 * ms: false} {
		g := newReportedHarness(t, testSettings())
		for i := 0; i < 60; i++ {
			q := g.request(writeClass)
			for _, s := range sends(g.step(0, q)) {
				g.step(ms, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: took, Role: RolePrimary})
			}
		}
		g.step(sec) // nothing is known fresh any more
		n := 0
		for i := 0; i < 100; i++ {
			q := g.request(boundedClass)
			for _, s := range sends(append(g.step(0, q), g.step(20*ms)...)) {
				n++
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: took, Role: RolePrimary})
			}
		}
		if (n > 50) != want {
			t.Errorf("primary answering in %d ms: %d of 100 reads spilled", took/ms, n)
		}
	}
}

// Under overload a hung member drew thousands of reads because the well ones were at their windows.
func TestSuspectIsNotDrawnWhileOthersAreFull(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	b := g.router.members["b"]
	b.ejectionTime, b.ejectedUntil = sec, g.now+sec
	g.router.members["c"].window = 1
	g.sentTo(g.step(0, g.request(anyClass)))
	if s := sends(g.step(ms, g.request(anyClass))); len(s) != 0 && s[0].Member == "b" {
		t.Errorf("sent to %s, a suspect, while a well member was only full", s[0].Member)
	}
}

// The guard alone, whatever the rest of the module would ask of it.
func TestGuard(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		member string
		spoil  func(*harness, *request)
		want   bool
	}{
		"plain read":            {anyClass, "b", func(*harness, *request) {}, true},
		"plain write":           {writeClass, "a", func(*harness, *request) {}, true},
		"after the answer":      {anyClass, "b", func(_ *harness, q *request) { q.done = true }, false},
		"after the deadline":    {anyClass, "b", func(g *harness, q *request) { q.deadline = g.now }, false},
		"other group":           {anyClass, "b", func(g *harness, q *request) { q.group = g.router.group(9) }, false},
		"draining":              {anyClass, "b", func(g *harness, _ *request) { g.router.members["b"].State = Draining }, false},
		"gone":                  {anyClass, "b", func(g *harness, _ *request) { g.router.members["b"].State = Removed }, false},
		"attempts spent":        {anyClass, "b", func(g *harness, q *request) { q.attempts = endedAttempts(g, 4) }, false},
		"attempts left":         {anyClass, "b", func(g *harness, q *request) { q.attempts = endedAttempts(g, 3) }, true},
		"one already out":       {anyClass, "b", func(_ *harness, q *request) { q.inFlight = 1 }, false},
		"copy where allowed":    {anyClass, "b", func(g *harness, q *request) { g.router.settings.MayHedge, q.inFlight = true, 1 }, true},
		"copy of a write":       {writeClass, "a", func(g *harness, q *request) { g.router.settings.MayHedge, q.inFlight = true, 1 }, false},
		"write may have run":    {writeClass, "a", func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, false},
		"read may have run":     {anyClass, "b", func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, true},
		"keyed in its window":   {deduplicatedClass, "b", func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, true},
		"keyed past its window": {deduplicatedClass, "b", func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1); g.router.now += sec }, false},
		"write at a replica":    {writeClass, "b", func(*harness, *request) {}, false},
		"fresh at a replica":    {linearizableClass, "b", func(*harness, *request) {}, false},
		"write, distrusted":     {writeClass, "a", func(g *harness, _ *request) { g.router.groupList[0].primaryTrusted = false }, false},
		"stale replica":         {boundedClass, "b", func(g *harness, _ *request) { g.router.members["b"].position -= sec }, false},
		"short of the token":    {sessionClass, "b", func(g *harness, q *request) { q.minPosition = g.now }, false},
		"cold without budget":   {anyClass, "b", func(g *harness, _ *request) { g.router.members["b"].warmingSince = g.now }, false},
	} {
		g := newReportedHarness(t, testSettings())
		k := &g.router.settings.Classes[c.class]
		q := &request{Request: g.request(c.class), class: k, group: g.router.groupList[0], arrivedAt: g.now, deadline: g.now + 5*sec}
		c.spoil(g, q)
		if got := g.router.mayAttempt(q, g.router.members[c.member]); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func endedAttempts(g *harness, n int) (out []*attempt) {
	for i := 0; i < n; i++ {
		out = append(out, &attempt{member: g.router.members["c"], number: i, sentAt: g.now - 10*ms, ended: true})
	}
	return
}

// Long reads hold up the log of the replica that has them: all go to one, the one furthest behind.
func TestLongReadsKeepTogether(t *testing.T) {
	s := testSettings()
	s.Classes[anyClass].LatencyTarget = 6 * sec // expected to be long
	g := newReportedHarness(t, s)
	for i := 0; i < 4; i++ {
		if got := g.sentTo(g.step(0, g.request(anyClass))); got != "c" {
			t.Errorf("a long read went to %s, not to the last of equals", got)
		}
	}
	g.router.members["c"].inFlight = 20
	if got := g.sentTo(g.step(0, g.request(anyClass))); got != "b" {
		t.Errorf("a long read went to %s, though it is crowded", got)
	}
	g.router.members["c"].inFlight = 4
	g.router.members["b"].position -= 2 * sec
	if got := g.sentTo(g.step(0, g.request(anyClass))); got != "b" {
		t.Errorf("a long read went to %s, not to the replica furthest behind", got)
	}
}

// stepOnTimers steps the router only when it asked to be woken, until the given time has passed.
func (g *harness) stepOnTimers(acts []Action, span Nanos) (all []Action, steps int) {
	due := map[Nanos]bool{}
	end := g.now + span
	for {
		all = append(all, acts...)
		for _, a := range acts {
			if w, ok := a.(SetTimer); ok {
				due[g.now+max(w.After, 1000)] = true
			}
		}
		next := end + 1
		for at := range due {
			next = min(next, at)
		}
		if next > end {
			return
		}
		delete(due, next)
		steps++
		acts = g.step((next-g.now)/1000*1000, TimerFired{}) // timers are rounded down
	}
}

// Incident i6b013c: a request with less time left than the wake-up period got no final answer.
func TestFinalAnswerBeforeAShortDeadline(t *testing.T) {
	for _, left := range []Nanos{8 * ms, 14 * ms, 40 * ms} {
		g := newReportedHarness(t, testSettings())
		g.stepOnTimers(g.step(0), 3*sec)
		q := g.request(anyClass)
		q.Remaining = left
		m := g.sentTo(g.step(0, q))
		acts, _ := g.stepOnTimers(g.step(ms, AttemptResult{ID: q.ID, Member: m, Outcome: Overloaded}), left+5*ms)
		if n := count[Refuse](acts) + len(sends(acts)); n == 0 {
			t.Errorf("%d ms left: no answer and no further attempt", left/ms)
		}
	}
}

func TestIdleRouterSeldomWakes(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	if _, n := g.stepOnTimers(g.step(0), 60*sec); n > 120 {
		t.Errorf("an idle router woke %d times in a minute", n)
	}
}

// One quick answer must not make a member that takes its usual time suspect.
func TestOneQuickAnswerIsNotTypical(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(anyClass)
	m := g.sentTo(g.step(0, q))
	g.step(5*ms, AttemptResult{ID: q.ID, Member: m, Outcome: Served, Final: true, Duration: 5 * ms, Role: RoleReplica})
	acts := g.step(5*ms, g.request(anyClass))
	g.sentTo(acts)
	if acts, _ = g.stepOnTimers(acts, 200*ms); count[Cancel](acts) != 0 {
		t.Error("an attempt was called off after half its aim")
	}
}

// Incident i6b013c: many quiet routers jammed a group, as no window binds at one attempt in flight.
func TestQuietRouterSendsLessToASlowGroup(t *testing.T) {
	sent := func(took Nanos, outcome Outcome) (n int) {
		g := newReportedHarness(t, testSettings())
		for i := 0; i < 200; i++ {
			for _, s := range sends(g.step(200*ms, g.request(anyClass))) {
				n++
				g.step(took, AttemptResult{ID: s.ID, Member: s.Member, Outcome: outcome, Final: outcome == Served, Duration: took, Role: RoleReplica})
			}
		}
		return
	}
	if n := sent(100*ms, Served); n != 200 {
		t.Errorf("%d of 200 reads sent to a quick group", n)
	}
	if n := sent(800*ms, Served); n > 100 || n < 2 {
		t.Errorf("%d of 200 reads sent to a group that answers at twice the aim", n)
	}
}

func TestLateTryThatEarnsNothingIsRefusedAtOnce(t *testing.T) {
	s := testSettings()
	s.Classes[anyClass].LateValue = 0
	g := newReportedHarness(t, s)
	var q Request
	for _, left := range []Nanos{800 * ms, 1900 * ms, 800 * ms, 810 * ms, 790 * ms, 795 * ms, 1900 * ms, 800 * ms} {
		q = g.request(anyClass) // first tries, and later ones that come back at once
		q.Remaining = left
		m := g.sentTo(g.step(0, q))
		g.step(ms, AttemptResult{ID: q.ID, Member: m, Outcome: Served, Final: true, Duration: ms, Role: RoleReplica})
	}
	q = g.request(anyClass)
	q.Remaining = sec // of two: its client has waited for a second, past the aim
	if acts := g.step(0, q); count[Refuse](acts) != 1 || len(sends(acts)) != 0 {
		t.Errorf("a try past its aim: %v", acts)
	}
}

// Probes have a price: an idle group is not asked, and a read that finds nobody fresh asks one replica, not all.
func TestProbesOnlyWhatIsWanted(t *testing.T) {
	g := newHarness(t, testSettings())
	acts := g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c"), up("d")}})
	acts, _ = g.stepOnTimers(acts, 10*sec)
	if n := count[Probe](acts); n != 0 {
		t.Errorf("%d probes of an idle group", n)
	}
	g = newReportedHarness(t, testSettings())
	g.router.probeCredit = -5 // a second one is not paid for
	g.step(5 * sec)
	if n := count[Probe](g.step(0, g.request(boundedClass))); n != 1 {
		t.Errorf("%d probes for one read", n)
	}
}

// Rule 4 at size: what some hundreds of quiet routers send a restarted member together stays within its limit.
func TestColdMemberUnderHundredsOfRouters(t *testing.T) {
	const routers, members, rate = 300, 5, 3 // requests a second at each router
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
				g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 100 * ms, Role: RoleReplica})
			}
		}
	}
	capacity := float64(routers*rate) / (members - 1) / 0.8 // requests a second of a warm member
	limit := int(s.OverloadFactor * s.InitialCapacity * capacity * float64(s.OverloadWindow) / 1e9)
	for i, from := 0, 0; i < len(at); i++ {
		for at[from] < at[i]-s.OverloadWindow {
			from++
		}
		if n := i - from + 1; at[i] < back+sec && n > limit {
			t.Fatalf("%d sends within %d ms of the return, at most %d", n, (at[i]-back)/ms, limit)
		}
	}
	if len(at) == 0 {
		t.Error("the restarted member got nothing")
	}
}

// A member that refused a connection and is back counts as started, though the list says nothing of it.
func TestUnlistedReturnIsCold(t *testing.T) {
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
		t.Error("a member that came back is not taken as cold")
	}
}

// Connections that die unseen while idle are told from a bad member: an answer on a new connection clears it.
func TestDroppedIdleConnections(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	write := func(outcome Outcome) (closed int) {
		q := g.request(writeClass)
		acts := g.step(ms, q)
		for i := 0; i < 40 && len(sends(acts)) == 0; i++ { // a distrusted primary is asked first
			acts = append(acts, g.step(5*ms, ProbeResult{Member: "a", Outcome: Served,
				Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now}})...)
		}
		g.sentTo(acts)
		g.step(50*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: outcome, Final: outcome == Served, Duration: 50 * ms,
			Role: map[Outcome]Role{Served: RolePrimary}[outcome]})
		return count[CloseIdleConnections](acts)
	}
	for range 3 { // idle for 2 s: lost; on the new connection after it: answered
		write(Served)
		g.step(2 * sec)
		write(TimedOut)
		write(Served)
	}
	g.step(2 * sec)
	if write(Served) == 0 {
		t.Error("a write went out on a connection that had lain idle for longer than they live")
	}
	if g.step(500 * ms); write(Served) != 0 {
		t.Error("a connection in use a short while ago was closed")
	}
}

// A quiet router hears of each of many groups too seldom: what all groups show counts for each.
func TestSlowGroupsAreToldTogether(t *testing.T) {
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
			g.step(800*ms, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: 800 * ms, Role: RoleReplica})
		}
	}
	if refused < 10 {
		t.Errorf("%d of 60 reads refused by ten groups that all answer at twice the aim", refused)
	}
}

// Guards against holding a read that was never sent past half its client's time: it is refused while the
// client can still turn elsewhere. A write whose late answer earns more than that costs is held on.
func TestUnsentReadIsRefusedBeforeHalfItsTime(t *testing.T) {
	s := testSettings()
	s.Classes[linearizableClass].LateValue, s.Classes[writeClass].LateValue = 0.2, 0.5
	g := newReportedHarness(t, s)
	g.step(ms, MemberList{Complete: true, Members: []Member{{ID: "m1", Group: 1, Weight: 1, State: Draining}}})
	g.step(ms, g.request(linearizableClass), g.request(writeClass))
	acts, refused := []Action{}, Nanos(0)
	for past := Nanos(0); past < sec; past += 5 * ms {
		acts = append(acts, g.step(5*ms, TimerFired{"sweep"})...)
		if refused == 0 && count[Refuse](acts) > 0 {
			refused = past + 5*ms
		}
	}
	if half := g.request(linearizableClass).Remaining / 2; refused == 0 || refused >= half || refused < half/2 {
		t.Errorf("read refused after %d ms of %d", refused/ms, 2*half/ms)
	}
	if n := count[Refuse](acts) + count[Fail](acts); n != 1 {
		t.Errorf("%d final answers, only the read's expected", n)
	}
}

// Guards a fleet whose connections are cut here and there, all members being well: each cut used to ban its
// member, until hardly any was left. The probe decides; one that is cut too is made again.
func TestOnlyAProbeBansAfterACut(t *testing.T) {
	for _, c := range []struct {
		probes []Outcome
		banned bool
	}{{[]Outcome{Served}, false}, {[]Outcome{ConnectionLost, Served}, false}, {[]Outcome{ConnectionLost, ConnectionLost}, true},
		{[]Outcome{ConnectFailed}, true}, {[]Outcome{TimedOut}, true}} {
		g := newReportedHarness(t, testSettings())
		q := g.request(anyClass)
		first := g.sentTo(g.step(ms, q))
		m := g.router.members[first]
		acts := g.step(ms, AttemptResult{ID: q.ID, Member: first, Outcome: ConnectionLost, Duration: ms})
		for _, o := range c.probes {
			if g.router.ejected(m) || count[Probe](acts) != 1 {
				t.Errorf("%v: banned %t, %d probes", c, g.router.ejected(m), count[Probe](acts))
			}
			acts = g.step(ms, ProbeResult{Member: first, Outcome: o})
		}
		if g.router.ejected(m) != c.banned {
			t.Errorf("%v: banned %t", c, g.router.ejected(m))
		}
	}
}

// Guards writes where connections are cut: a report is older than the last answer, but the same word trusts the
// primary again; an older word that says otherwise does not count.
func TestAnOldReportConfirmsThePrimaryAfterACut(t *testing.T) {
	for primary, trusted := range map[bool]bool{true: true, false: false} {
		g := newReportedHarness(t, testSettings())
		q := g.request(writeClass)
		g.step(ms, q)
		g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: ms, Role: RolePrimary})
		q = g.request(writeClass)
		g.step(ms, q)
		if g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: ConnectionLost, Duration: ms}); g.router.groups[1].primaryTrusted {
			t.Fatal("the primary is trusted after a cut")
		}
		g.step(ms, ProbeResult{Member: "a", Outcome: Served, Duration: ms, Report: Report{HasPosition: true, Position: g.now - 100*ms, HasRole: true, Primary: primary}})
		if g.router.groups[1].primaryTrusted != trusted || !g.router.members["a"].claimsPrimary {
			t.Errorf("report says primary %t: trusted %t", primary, g.router.groups[1].primaryTrusted)
		}
	}
}

// Guards rule 5 where links are slow to come up: the send says until when what is known of the member suffices.
func TestBoundedReadSaysByWhenItMustLeave(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for class, want := range map[int]Nanos{anyClass: 0, boundedClass: g.router.members["b"].position + 300*ms - positionMargin} {
		if s := sends(g.step(ms, g.request(class))); len(s) != 1 || s[0].SendBy != want {
			t.Errorf("class %d: %+v, want by %d", class, s, want)
		}
	}
}

// Guards rule 2 where links are slow to come up: a repeat must leave within the window of the oldest that may have run.
func TestKeyedRepeatSaysByWhenItMustLeave(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(deduplicatedClass)
	first := g.step(ms, q)
	began := g.now
	if s := sends(first); len(s) != 1 || s[0].SendBy != 0 {
		t.Fatalf("the first attempt: %+v", s)
	}
	again := g.step(100*ms, AttemptResult{ID: q.ID, Member: g.sentTo(first), Outcome: ConnectionLost, Duration: 100 * ms})
	if s := sends(again); len(s) != 1 || s[0].SendBy != began+500*ms-positionMargin {
		t.Errorf("the repeat: %+v, want by %d", s, began+500*ms-positionMargin)
	}
}

// Guards rules 2 and 5 together, as settings may give any class any effect: whichever binds first.
func TestAKeyedBoundedRepeatLeavesWithinBoth(t *testing.T) {
	for _, window := range []Nanos{150 * ms, 5000 * ms} {
		s := testSettings()
		s.Classes[boundedClass].RetrySafety, s.Classes[boundedClass].DedupScope, s.Classes[boundedClass].DedupWindow = Deduplicated, DedupGroup, window
		g := newReportedHarness(t, s)
		q := g.request(boundedClass)
		first := g.step(ms, q)
		began := g.now
		again := g.step(100*ms, AttemptResult{ID: q.ID, Member: g.sentTo(first), Outcome: ConnectionLost, Duration: 100 * ms})
		x := sends(again)
		if len(x) != 1 {
			t.Fatalf("the repeat: %+v", again)
		}
		want := g.router.members[x[0].Member].position + 300*ms - positionMargin
		if want = min(want, began+window-positionMargin); x[0].SendBy != want {
			t.Errorf("window %d: to leave by %d, want %d", window, x[0].SendBy, want)
		}
	}
}

// Guards memory on long days: members come under new ids, and those that left are forgotten once nothing is out there.
func TestTheGoneAreForgotten(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	last := "c"
	for i := range 200 {
		q, next, left := g.request(anyClass), up(fmt.Sprint("n", i)), up(last)
		left.State = Removed
		to := g.sentTo(g.step(ms, q))
		g.step(ms, MemberList{Members: []Member{next, left}})
		g.step(ms, AttemptResult{ID: q.ID, Member: to, Outcome: Served, Final: true})
		g.reportAll(0)
		last = next.ID
	}
	g.step(ms, completeList(up("a"), up("b"), up(last)))
	if n, o := len(g.router.members), len(g.router.groups[1].probeOrder); n != 3 || o != 3 || len(g.router.memberList) != 3 {
		t.Errorf("%d members known, %d in the group", n, o)
	}
	g.step(ms, completeList(up("b"), up(last)))
	if g.router.groups[1].primary != nil || len(g.router.memberList) != 2 {
		t.Errorf("the primary left: %+v remains", g.router.groups[1].primary)
	}
}

// Guards writes against a primary that has become slow: with one attempt at a time it has cores to spare.
func TestSlowPrimaryKeepsAWindow(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for range 60 {
		q := g.request(writeClass)
		if acts := g.step(100*ms, q); len(sends(acts)) == 1 {
			g.step(390*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: 390 * ms, Role: RolePrimary})
		}
	}
	if a, b := g.router.members["a"], g.router.members["b"]; a.latencyRatio < slowLatencyRatio || a.window != minPrimaryWindow || b.window < initialWindow {
		t.Errorf("strain %.2f, window %.1f; a replica's %.1f", a.latencyRatio, a.window, b.window)
	}
}

// Guards writes against connections that fall silent: an attempt that will never be answered takes no place in the
// window of a member that answers all others, and tells nothing of its load. Safe reads move on.
func TestLostAttemptsTakeNoPlace(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	lost := g.request(writeClass)
	g.step(ms, lost)
	var strain float64
	for range 80 {
		q := g.request(writeClass)
		g.step(5*ms, q)
		g.step(20*ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Served, Final: true, Duration: 20 * ms, Role: RolePrimary})
		strain = g.router.members["a"].latencyRatio
	}
	if a := g.router.members["a"]; a.inFlight != 0 {
		t.Errorf("%d attempts in the window, want none", a.inFlight)
	}
	g.step(ms, AttemptResult{ID: lost.ID, Member: "a", Outcome: TimedOut, Duration: 2 * sec})
	if a := g.router.members["a"]; a.inFlight != 0 || a.latencyRatio > strain {
		t.Errorf("after its time-out: %d in the window, strain %.3f, was %.3f", a.inFlight, a.latencyRatio, strain)
	}
}

// Guards a group against one sick member: its attempts are given up all at once, but the others may be well.
func TestASickMemberIsNoStrainOfItsGroup(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	at := map[string]string{}
	for range 12 {
		q := g.request(anyClass)
		at[q.ID] = g.sentTo(g.step(0, q))
	}
	for id, m := range at { // b answers, c is silent until its reads are moved away
		if m != "c" {
			g.step(0, AttemptResult{ID: id, Member: m, Outcome: Served, Final: true, Duration: 20 * ms})
		}
	}
	cancelled := 0
	for range 100 {
		for _, a := range g.step(10 * ms) {
			if c, ok := a.(Cancel); ok {
				cancelled++
				g.step(0, AttemptResult{ID: c.ID, Attempt: c.Attempt, Member: "c", Outcome: Cancelled, Duration: 400 * ms})
			}
		}
	}
	if cancelled < 3 || g.router.groups[1].latencyRatio > slowLatencyRatio {
		t.Errorf("%d reads moved away, strain of the group %.2f", cancelled, g.router.groups[1].latencyRatio)
	}
}

// Guards cold members where routers share them by agreement: without a valid lease a router uses its safe share, with
// one that and the lease's part, of the rate that all have agreed on; word of another start counts for nothing; and
// a start is cold until it is agreed to be warm, or for the longest time, whatever its own clock says of its age.
func TestColdMemberIsSharedByAgreement(t *testing.T) {
	const safe, rate = 0.1, 20 // of the budget; work a second that warm members answer for all
	sent := func(share SlowStartShare, after Nanos) (n float64) {
		s := testSettings()
		s.UnleasedShare, s.MaxWarmUpTime, s.OverloadFactor = safe, 20*sec, 2.5
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
				g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
			}
		}
		return n
	}
	// What may be sent within the first second: the share of what topples it, as its capacity rises from its start.
	s := testSettings()
	most := func(share float64) float64 {
		return share * 2.5 * rate * (s.InitialCapacity + float64(sec)/float64(s.WarmUpTime))
	}
	burst := 1.2 * 0.25 // one request of the shortest class, at its first estimate
	without := sent(SlowStartShare{WorkRate: rate}, sec)
	with := sent(SlowStartShare{WorkRate: rate, LeasedShare: 0.5, Until: 10 * sec}, sec)
	if without > most(safe)+burst || with > most(safe+0.5)+burst || with < 2*without {
		t.Errorf("%.2f without a lease (%.2f at most), %.2f with (%.2f at most)", without, most(safe)+burst, with, most(safe+0.5)+burst)
	}
	if over := sent(SlowStartShare{WorkRate: rate, LeasedShare: 0.5, Until: 1}, sec); over > most(safe)+burst {
		t.Errorf("%.2f after the lease's end", over)
	}
	if other := sent(SlowStartShare{WarmedUp: true, StartedAt: 5}, sec); other > most(safe)+burst {
		t.Errorf("%.2f by word of another start", other)
	}
	if warm := sent(SlowStartShare{WarmedUp: true}, sec); warm < 1.3*with {
		t.Errorf("%.2f once it is agreed to be warm, %.2f with a lease", warm, with)
	}
	if g, l := sent(SlowStartShare{WorkRate: 0.001}, 19*sec), sent(SlowStartShare{WorkRate: 0.001}, 25*sec); l < g+3 {
		t.Errorf("%.2f in the first 19 s, %.2f in 25 s: it never got warm by itself", g, l)
	}
}
