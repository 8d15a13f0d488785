package aspenshed

import (
	"fmt"
	"reflect"
	"testing"
)

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
