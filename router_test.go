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
		return Class{Name: name, Consistency: n, RetrySafety: e, MaxStaleness: 300 * ms, LatencyTarget: 400 * ms,
			ClientTimeout: 2 * sec, Value: 1,
			LateValue: 0.5, DedupWindow: 500 * ms, DedupScope: DedupGroup}
	}
	return Settings{
		Routers: 3, MinStepInterval: 5 * ms, ListHasRoles: true, MayProbe: true, MayCancel: true, SendRetryAfter: true,
		MaxAttempts: 4, MaxRetryAfter: sec, ResponseSlack: 10 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		WarmUpTime: 10 * sec, OverloadFactor: 2, OverloadWindow: sec, NotifiedAfter: 10 * sec, ProbeCost: 0.01,
		Classes: []Class{class("any", Eventual, Safe), class("bounded", BoundedStaleness, Safe),
			class("session", ReadYourWrites, Safe),
			class("linearizable", Linearizable, Safe), class("write", Write, Unsafe),
			class("deduplicated", Eventual, Deduplicated)},
	}
}

// harness steps one router.
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

// newReportedHarness starts a router whose group 1 has primary a and replicas b and c, all of which have just
// reported.
func newReportedHarness(t *testing.T, s Settings) *harness {
	g := newHarness(t, s)
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	g.reportAll(0)
	return g
}

// reportAll passes in a report of each member: a is the primary, the replicas lag by lag.
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

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":           func(s *Settings) { s.Classes = nil },
		"unknown retry safety": func(s *Settings) { s.Classes[0].RetrySafety = 0 },
		"unknown consistency":  func(s *Settings) { s.Classes[0].Consistency = 99 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestConsistencyDecidesMembers(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for class, want := range map[int]string{anyClass: "bc", boundedClass: "bc", sessionClass: "bc",
		linearizableClass: "a", writeClass: "a"} {
		if got := g.sentTo(g.step(0, g.request(class))); !strings.Contains(want, got) {
			t.Errorf("class %d went to %s, want one of %s", class, got, want)
		}
	}
}

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

// Rule 2 for every outcome and level of retry safety: what may follow the first attempt.
func TestOutcomesAndRetrySafety(t *testing.T) {
	proved := map[Outcome]bool{Overloaded: true, ConnectFailed: true, NotSent: true, Ineligible: true}
	for class, effect := range map[int]RetrySafety{anyClass: Safe, writeClass: Unsafe,
		deduplicatedClass: Deduplicated} {
		for o := Served; o <= UnknownOutcome; o++ {
			g := newReportedHarness(t, testSettings())
			q := g.request(class)
			first := g.sentTo(g.step(0, q))
			acts := g.step(10*ms, AttemptResult{ID: q.ID, Member: first, Outcome: o, Final: o == Served,
				Duration: 10 * ms})
			for i := 0; i < 500 && count[Fail](acts)+count[Refuse](acts) == 0; i++ {
				acts = append(acts, g.step(5*ms)...)
			}
			again, refused, failed := len(sends(acts)), count[Refuse](acts), count[Fail](acts)
			switch {
			case o == Served:
				if again+refused+failed != 0 {
					t.Errorf("retry safety %d after Served: %v", effect, acts)
				}
			case effect == Unsafe && !proved[o]:
				if again+refused != 0 || failed != 1 {
					t.Errorf("unsafe after outcome %d: %d sends, %d refusals, %d failures", o, again, refused, failed)
				}
			case effect == Deduplicated && !proved[o]:
				if refused != 0 {
					t.Errorf("deduplicated after outcome %d: refused outside its scope", o)
				}
			}
			if effect == Unsafe && proved[o] && failed != 0 {
				t.Errorf("unsafe after outcome %d, which proves that nothing was executed: failed", o)
			}
		}
	}
}

func TestDedupWindow(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(deduplicatedClass)
	first := g.sentTo(g.step(0, q))
	acts := g.step(600*ms, AttemptResult{ID: q.ID, Member: first, Outcome: ConnectionLost})
	for i := 0; i < 400; i++ {
		acts = append(acts, g.step(5*ms)...)
	}
	if len(sends(acts)) != 0 || count[Fail](acts) != 1 {
		t.Errorf("deduplicated request past its window: %v", acts)
	}
}

func TestOneFinalResponseInTimeWithoutPrimary(t *testing.T) {
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

func TestDrainingAndRemovedMembersGetNothing(t *testing.T) {
	draining := up("b")
	draining.State = Draining
	for name, update := range map[string]MemberList{
		"draining": {Members: []Member{draining}},
		"removed":  {Members: []Member{{ID: "b", Group: 1, State: Removed}}},
		"absent":   completeList(up("a"), up("c")),
	} {
		g := newReportedHarness(t, testSettings())
		g.step(ms, update)
		for i := 0; i < 20; i++ {
			for _, s := range sends(g.step(ms, g.request(anyClass))) {
				if s.Member == "b" {
					t.Errorf("%s: b was sent a request", name)
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
				t.Fatalf("bounded read went to %s, whose last known position is 350 ms old", s.Member)
			}
		}
	}
}

func TestSessionCommits(t *testing.T) {
	t.Run("sent by the client", func(t *testing.T) {
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
			t.Error("a replica that has the write was not used")
		}
	})
	t.Run("tracked by the router", func(t *testing.T) {
		s := testSettings()
		s.TrackSessionWrites = true
		g := newReportedHarness(t, s)
		w := g.request(writeClass)
		g.step(0, w)
		g.step(10*ms, AttemptResult{ID: w.ID, Member: "a", Outcome: Served, Final: true, Duration: 10 * ms,
			Role: RolePrimary, Position: g.now + 8*ms})
		for _, x := range sends(append(g.step(ms, g.request(sessionClass)), g.step(30*ms)...)) {
			if x.Member != "a" {
				t.Errorf("went to %s before it was known to have the write", x.Member)
			}
		}
		g.reportAll(0)
		if got := g.sentTo(g.step(ms, g.request(sessionClass))); got == "a" {
			t.Error("a replica that has the write was not used")
		}
		g.step(200 * ms)
		if n := len(g.router.groupList[0].sessionCommits); n != 0 {
			t.Errorf("%d commits kept that all members have applied", n)
		}
	})
}

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

func TestDiscoveryIsCalledAgainAfterFailure(t *testing.T) {
	s := testSettings()
	s.WatchDiscovery = true
	g := newHarness(t, s)
	if count[Watch](g.step(0, MemberList{Complete: true, Cached: true})) != 1 {
		t.Fatal("did not call discovery at once")
	}
	acts := g.step(ms, DiscoveryFailed{})
	if count[Watch](acts) != 0 {
		t.Error("called again without a pause")
	}
	for i := 0; i < 20; i++ {
		acts = append(acts, g.step(100*ms)...)
	}
	if count[Watch](acts) == 0 {
		t.Error("never called again")
	}
}

func TestUnknownValuesAreLogged(t *testing.T) {
	s := testSettings()
	s.UnknownKeys = []string{"rules.brandNew"}
	g := newHarness(t, s)
	if count[LogMessage](g.step(0, completeList(up("a"), up("b")))) != 1 {
		t.Error("an unknown settings key was not logged")
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

// Incident i1d42c4: a slow primary does not get the reads that no replica can serve.
func TestSlowPrimaryGetsFewerReads(t *testing.T) {
	for took, want := range map[Nanos]bool{20 * ms: true, 390 * ms: false} {
		g := newReportedHarness(t, testSettings())
		for i := 0; i < 60; i++ {
			q := g.request(writeClass)
			for _, s := range sends(g.step(0, q)) {
				g.step(ms, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: took,
					Role: RolePrimary})
			}
		}
		g.step(sec) // no replica is known to be fresh any more
		g.answerProbe("a", Report{HasRole: true, RoleIsCurrent: true, Primary: true})
		n := 0
		for i := 0; i < 100; i++ {
			q := g.request(boundedClass)
			for _, s := range sends(append(g.step(0, q), g.step(20*ms)...)) {
				n++
				g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: took,
					Role: RolePrimary})
			}
		}
		if (n > 50) != want {
			t.Errorf("primary responding in %d ms: %d of 100 reads went to it", took/ms, n)
		}
	}
}

// Guards against overload in which a hung member got thousands of reads because the windows of the healthy ones were
// full.
func TestEjectedMemberIsNotUsedWhileOthersAreFull(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	b := g.router.members["b"]
	b.ejectionTime, b.ejectedUntil = sec, g.now+sec
	g.router.members["c"].window = 1
	g.sentTo(g.step(0, g.request(anyClass)))
	if s := sends(g.step(ms, g.request(anyClass))); len(s) != 0 && s[0].Member == "b" {
		t.Errorf("sent to %s, which is ejected, while the window of a healthy member was full", s[0].Member)
	}
}

// mayAttempt alone, also for calls that the rest of the module would not make.
func TestMayAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		member string
		spoil  func(*harness, *request)
		want   bool
	}{
		"plain read":         {anyClass, "b", func(*harness, *request) {}, true},
		"plain write":        {writeClass, "a", func(*harness, *request) {}, true},
		"after the response": {anyClass, "b", func(_ *harness, q *request) { q.done = true }, false},
		"after the deadline": {anyClass, "b", func(g *harness, q *request) { q.deadline = g.now }, false},
		"other group": {anyClass, "b",
			func(g *harness, q *request) { q.group = g.router.group(9) }, false},
		"draining": {anyClass, "b",
			func(g *harness, _ *request) { g.router.members["b"].State = Draining }, false},
		"removed": {anyClass, "b",
			func(g *harness, _ *request) { g.router.members["b"].State = Removed }, false},
		"attempts used up": {anyClass, "b",
			func(g *harness, q *request) { q.attempts = endedAttempts(g, 4) }, false},
		"attempts left": {anyClass, "b",
			func(g *harness, q *request) { q.attempts = endedAttempts(g, 3) }, true},
		"one in flight": {anyClass, "b", func(_ *harness, q *request) { q.inFlight = 1 }, false},
		"hedge where allowed": {anyClass, "b",
			func(g *harness, q *request) { g.router.settings.MayHedge, q.inFlight = true, 1 }, true},
		"hedge of a write": {writeClass, "a",
			func(g *harness, q *request) { g.router.settings.MayHedge, q.inFlight = true, 1 }, false},
		"write may have been executed": {writeClass, "a",
			func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, false},
		"read may have been executed": {anyClass, "b",
			func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, true},
		"deduplicated in its window": {deduplicatedClass, "b",
			func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1) }, true},
		"deduplicated past its window": {deduplicatedClass, "b",
			func(g *harness, q *request) { q.maybeExecuted = endedAttempts(g, 1); g.router.now += sec }, false},
		"write at a replica":             {writeClass, "b", func(*harness, *request) {}, false},
		"linearizable read at a replica": {linearizableClass, "b", func(*harness, *request) {}, false},
		"write, primary not trusted": {writeClass, "a",
			func(g *harness, _ *request) { g.router.groupList[0].primaryTrusted = false }, false},
		"stale replica": {boundedClass, "b",
			func(g *harness, _ *request) { g.router.members["b"].position -= sec }, false},
		"replica lacks the commit": {sessionClass, "b",
			func(g *harness, q *request) { q.minPosition = g.now }, false},
		"warming without budget": {anyClass, "b",
			func(g *harness, _ *request) { g.router.members["b"].warmingSince = g.now }, false},
	} {
		g := newReportedHarness(t, testSettings())
		k := &g.router.settings.Classes[c.class]
		q := &request{Request: g.request(c.class), class: k, group: g.router.groupList[0], arrivedAt: g.now,
			deadline: g.now + 5*sec}
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

// Long reads hold up the log of the replica that serves them: all go to the one that lags most.
func TestLongReadsShareLaggingReplica(t *testing.T) {
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
		t.Errorf("a long read went to %s, although it is loaded", got)
	}
	g.router.members["c"].inFlight = 4
	g.router.members["b"].position -= 2 * sec
	if got := g.sentTo(g.step(0, g.request(anyClass))); got != "b" {
		t.Errorf("a long read went to %s, not to the replica that lags most", got)
	}
}

// stepOnTimers steps the router only when its timers fire, until span has passed.
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

// Incident i6b013c: a request with less time left than the timer period got no final response.
func TestFinalResponseBeforeShortDeadline(t *testing.T) {
	for _, left := range []Nanos{8 * ms, 14 * ms, 40 * ms} {
		g := newReportedHarness(t, testSettings())
		g.stepOnTimers(g.step(0), 3*sec)
		q := g.request(anyClass)
		q.Remaining = left
		m := g.sentTo(g.step(0, q))
		acts, _ := g.stepOnTimers(g.step(ms, AttemptResult{ID: q.ID, Member: m, Outcome: Overloaded}), left+5*ms)
		if n := count[Refuse](acts) + len(sends(acts)); n == 0 {
			t.Errorf("%d ms left: no final response and no further attempt", left/ms)
		}
	}
}

func TestIdleRouterStepsRarely(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	if _, n := g.stepOnTimers(g.step(0), 60*sec); n > 120 {
		t.Errorf("an idle router was stepped %d times in a minute", n)
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

func TestWorthlessLateRetryIsRefusedAtOnce(t *testing.T) {
	s := testSettings()
	s.Classes[anyClass].LateValue = 0
	g := newReportedHarness(t, s)
	var q Request
	for _, left := range []Nanos{800 * ms, 1900 * ms, 800 * ms, 810 * ms, 790 * ms, 795 * ms, 1900 * ms, 800 * ms} {
		q = g.request(anyClass) // first requests, and retries that come at once
		q.Remaining = left
		m := g.sentTo(g.step(0, q))
		g.step(ms, AttemptResult{ID: q.ID, Member: m, Outcome: Served, Final: true, Duration: ms, Role: RoleReplica})
	}
	q = g.request(anyClass)
	q.Remaining = sec // of two: its client has waited for a second, past the latency target
	if acts := g.step(0, q); count[Refuse](acts) != 1 || len(sends(acts)) != 0 {
		t.Errorf("a retry past its target: %v", acts)
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

// Guards against queueing a read that was never sent past half of its client's time: it is refused while the client
// can still try elsewhere. A write whose late response is worth more than that costs stays queued.
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
		t.Errorf("%d final responses, only the read's expected", n)
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

// Guards rule 5 where connecting is slow: SendBy is the time up to which the member is known to be fresh enough.
func TestBoundedReadHasSendBy(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for class, want := range map[int]Nanos{anyClass: 0, boundedClass: g.router.members["b"].position +
		300*ms - positionMargin} {
		if s := sends(g.step(ms, g.request(class))); len(s) != 1 || s[0].SendBy != want {
			t.Errorf("class %d: %+v, want by %d", class, s, want)
		}
	}
}

// Guards rule 2 where connecting is slow: a retry must be sent within the window of the oldest attempt that may have
// been executed.
func TestDeduplicatedRetryHasSendBy(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	q := g.request(deduplicatedClass)
	first := g.step(ms, q)
	began := g.now
	if s := sends(first); len(s) != 1 || s[0].SendBy != 0 {
		t.Fatalf("the first attempt: %+v", s)
	}
	again := g.step(100*ms, AttemptResult{ID: q.ID, Member: g.sentTo(first), Outcome: ConnectionLost,
		Duration: 100 * ms})
	if s := sends(again); len(s) != 1 || s[0].SendBy != began+500*ms-positionMargin {
		t.Errorf("the retry: %+v, want by %d", s, began+500*ms-positionMargin)
	}
}

// Guards rules 2 and 5 together, as settings may combine any consistency with any retry safety: the earlier limit
// applies.
func TestSendByIsTheEarlierLimit(t *testing.T) {
	for _, window := range []Nanos{150 * ms, 5000 * ms} {
		s := testSettings()
		s.Classes[boundedClass].RetrySafety, s.Classes[boundedClass].DedupScope,
			s.Classes[boundedClass].DedupWindow = Deduplicated, DedupGroup, window
		g := newReportedHarness(t, s)
		q := g.request(boundedClass)
		first := g.step(ms, q)
		began := g.now
		again := g.step(100*ms, AttemptResult{ID: q.ID, Member: g.sentTo(first), Outcome: ConnectionLost,
			Duration: 100 * ms})
		x := sends(again)
		if len(x) != 1 {
			t.Fatalf("the retry: %+v", again)
		}
		want := g.router.members[x[0].Member].position + 300*ms - positionMargin
		if want = min(want, began+window-positionMargin); x[0].SendBy != want {
			t.Errorf("window %d: send by %d, want %d", window, x[0].SendBy, want)
		}
	}
}

// Guards memory in long runs: members get new ids, and removed ones are dropped once no attempt there is in flight.
func TestRemovedMembersAreDropped(t *testing.T) {
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
	if n, o := len(g.router.members), len(g.router.groups[1].probeOrder); n != 3 || o != 3 ||
		len(g.router.memberList) != 3 {
		t.Errorf("%d members known, %d in the group", n, o)
	}
	g.step(ms, completeList(up("b"), up(last)))
	if g.router.groups[1].primary != nil || len(g.router.memberList) != 2 {
		t.Errorf("the primary was removed, but %+v remains", g.router.groups[1].primary)
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
