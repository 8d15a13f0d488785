package aspenshed

import (
	"strings"
	"testing"
)

func TestConsistencyDecidesMembers(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	for class, want := range map[int]string{anyClass: "bc", boundedClass: "bc", sessionClass: "bc",
		linearizableClass: "a", writeClass: "a"} {
		if got := g.sentTo(g.step(0, g.request(class))); !strings.Contains(want, got) {
			t.Errorf("class %d went to %s, want one of %s", class, got, want)
		}
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

// Incident i1d42c4: a slow primary does not get the reads that no replica can serve.
func TestSlowPrimaryGetsFewerReads(t *testing.T) {
	settings := testSettings()
	settings.ResponsesHaveRole = true
	for took, want := range map[Nanos]bool{20 * ms: true, 390 * ms: false} {
		g := newReportedHarness(t, settings)
		for i := 0; i < 60; i++ {
			q := g.request(writeClass)
			for _, s := range sends(g.step(0, q)) {
				g.step(ms, AttemptResult{ID: s.ID, Member: s.Member, Outcome: Served, Final: true, Duration: took,
					Role: RolePrimary})
			}
		}
		g.step(sec) // no replica is known to be fresh any more
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
