package aspenshed

import (
	"fmt"
	"testing"
)

// skewedHarness is a router whose clock is behind that of its members: the machine's clock was stepped back before the
// router started. a is the primary; b lags by lag, and c doesn't lag.
type skewedHarness struct {
	*harness
	behind, lag Nanos
}

func newSkewedHarness(t *testing.T, behind, lag Nanos) *skewedHarness {
	g := &skewedHarness{newHarness(t, testSettings()), behind, lag}
	g.now = 10_000 * sec
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	return g
}

// membersNow is the present by the members' clock.
func (g *skewedHarness) membersNow() Nanos { return g.now + g.behind }

func (g *skewedHarness) report(id string) ProbeResult {
	position := g.membersNow()
	if id == "b" {
		position -= g.lag
	}
	return ProbeResult{Member: id, Outcome: Served, Duration: ms,
		Report: Report{HasPosition: true, Position: position, HasRole: true, Primary: id == "a"}}
}

// advance lets time pass; each member reports every 50 ms.
func (g *skewedHarness) advance(d Nanos) {
	for end := g.now + d; g.now < end; {
		g.step(50*ms, TimerFired{})
		g.step(0, g.report("b"), g.report("c"), g.report("a"))
	}
}

// countReads sends reads of a class and counts where they go. Each is answered at once.
func (g *skewedHarness) countReads(class int, sinceCommit Nanos) map[string]int {
	counts := map[string]int{}
	for range 40 {
		q := g.request(class)
		q.SinceCommit = sinceCommit
		for _, s := range sends(g.step(ms, g.report("b"), g.report("c"), g.report("a"), q)) {
			counts[s.Member]++
			role := RoleReplica
			if s.Member == "a" {
				role = RolePrimary
			}
			g.step(0, AttemptResult{ID: s.ID, Member: s.Member, Attempt: s.Attempt, Outcome: Served, Final: true, Duration: ms, Role: role})
		}
	}
	return counts
}

// Guards against reads of old data by a gateway whose clock is behind that of the databases.
func TestClockBehindMembersServesNoStaleRead(t *testing.T) {
	for _, behind := range []Nanos{0, 5 * ms, 100 * ms, 400 * ms, 900 * ms, 3 * sec, 3600 * sec} {
		for _, lag := range []Nanos{310 * ms, 600 * ms, 1500 * ms, behind + 100*ms, behind + 250*ms} {
			t.Run(fmt.Sprintf("behind %d ms, lag %d ms", behind/ms, lag/ms), func(t *testing.T) {
				bound := testSettings().Classes[boundedClass].MaxStaleness
				g := newSkewedHarness(t, behind, lag)
				for _, wait := range []Nanos{0, 0, 100 * ms, 2 * sec} {
					g.advance(wait)
					if n := g.countReads(boundedClass, 0)["b"]; n > 0 && lag > bound {
						t.Errorf("%d bounded reads of data %d ms old", n, lag/ms)
					}
					afterCommit := -behind + lag/2 // the session's commit is half the lag old
					if n := g.countReads(sessionClass, afterCommit)["b"]; n > 0 && afterCommit != 0 {
						t.Errorf("%d reads of a session whose commit b lacks", n)
					}
				}
			})
		}
	}
}

// Guards against a primary that serves all bounded reads because of a step of the gateway's clock.
func TestReplicasServeReadsWhateverTheClockSays(t *testing.T) {
	for _, behind := range []Nanos{0, 3 * sec, 3600 * sec, -3 * sec, -3600 * sec} {
		t.Run(fmt.Sprintf("behind %d s", behind/sec), func(t *testing.T) {
			g := newSkewedHarness(t, behind, 0)
			g.advance(4 * sec)
			if n := g.countReads(boundedClass, 0); n["b"]+n["c"] < 35 {
				t.Errorf("reads went to %v, want at least 35 of 40 at replicas", n)
			}
		})
	}
}

// A position from the future that no other one confirms is an error of its member: other members serve on.
func TestSingleFuturePositionIsIgnored(t *testing.T) {
	g := newSkewedHarness(t, 0, 0)
	g.advance(sec)
	wrong := g.report("b")
	wrong.Report.Position += 500 * sec
	g.step(ms, wrong)
	g.advance(100 * ms)
	if n := g.countReads(boundedClass, 0); n["b"]+n["c"] < 35 {
		t.Errorf("reads went to %v, want at least 35 of 40 at replicas", n)
	}
	g.lag = 2 * sec
	g.advance(sec)
	if n := g.countReads(boundedClass, 0)["b"]; n > 0 {
		t.Errorf("%d bounded reads at b, which lags", n)
	}
}

// While no primary is at work, all positions stand still: that doesn't show that the members' clock is behind.
func TestPositionsThatStandStillDoNotMoveTheClock(t *testing.T) {
	g := newSkewedHarness(t, 0, 0)
	g.advance(sec)
	stopped := g.now
	for range 100 {
		g.behind = stopped - g.now
		g.advance(50 * ms)
	}
	if n := g.countReads(boundedClass, 0); n["b"]+n["c"] > 0 {
		t.Errorf("reads went to %v, though the replicas stand still since %d ms", n, (g.now-stopped)/ms)
	}
}

// Guards cold members against a gateway that starts while its clock is ahead, and takes a start of just now for an old one.
func TestStampsAreAgedByTheMembersClock(t *testing.T) {
	for _, behind := range []Nanos{0, 3 * sec, 3600 * sec, -3 * sec, -30 * sec, -3600 * sec} {
		for _, age := range []Nanos{sec, 9 * sec, 60 * sec, 1800 * sec} {
			g := newSkewedHarness(t, behind, 0)
			warmUp := g.router.settings.WarmUpTime * 11 / 10
			started := up("c")
			started.StartedAt = g.membersNow() - age
			g.step(0, completeList(up("a"), up("b"), started))
			g.step(ms, g.report("b"), g.report("a"))
			for elapsed := Nanos(0); elapsed <= warmUp+5*sec; elapsed += 100 * ms {
				warming, left := g.router.warming(g.router.members["c"]), warmUp-age-elapsed
				if !warming && left > 0 {
					t.Fatalf("clock behind %d s, started %d s ago: not warming %d ms later", behind/sec, age/sec, elapsed/ms)
				}
				if warming && left < -minDelayShown && elapsed > 2*delayWindow {
					t.Fatalf("clock behind %d s, started %d s ago: still warming %d ms later", behind/sec, age/sec, elapsed/ms)
				}
				g.advance(100 * ms)
			}
		}
	}
}

// Guards against taking for the members' clock what is none, such as the time since a member's start: replicas would seem fresh.
func TestPositionsThatAreNoTimesDoNotMoveTheClock(t *testing.T) {
	for name, rate := range map[string]Nanos{"zero": 0, "time since the start": 1} {
		g := newSkewedHarness(t, 0, 0)
		g.now = 500_000 * sec
		start := g.now
		for range 60 {
			report := func(id string) ProbeResult {
				return ProbeResult{Member: id, Outcome: Served, Duration: ms,
					Report: Report{HasPosition: true, Position: rate * (g.now - start), HasRole: true, Primary: id == "a"}}
			}
			g.step(50*ms, report("a"), report("b"), report("c"))
		}
		b, q := g.router.members["b"], &request{class: &g.router.settings.Classes[boundedClass], group: g.router.groupList[0]}
		if g.router.clock.lead != 0 || g.router.freshEnough(q, b) {
			t.Errorf("%s: lead %d, fresh %t", name, g.router.clock.lead, g.router.freshEnough(q, b))
		}
	}
}

// Guards against stale reads while reports are late: that all primaries report the same delay was taken for members whose
// clock is behind, and replicas seemed fresh, although positions or commits had shown the clock to be right.
func TestLateReportsDoNotMoveTheClock(t *testing.T) {
	for name, prepare := range map[string]func(g *skewedHarness){
		"reports were in time before": func(g *skewedHarness) { g.advance(sec) },
		"a commit told the time": func(g *skewedHarness) {
			g.step(ms, ProbeResult{Member: "a", Outcome: Served, Report: Report{HasRole: true, RoleIsCurrent: true, Primary: true}})
			write := g.request(writeClass)
			if got := g.sentTo(g.step(ms, write)); got != "a" {
				t.Fatalf("write sent to %s", got)
			}
			g.step(ms, AttemptResult{ID: write.ID, Member: "a", Outcome: Served, Final: true, Duration: ms, Role: RolePrimary,
				Position: g.now + ms})
		},
	} {
		g := newSkewedHarness(t, 0, 0)
		prepare(g)
		g.behind = -2500 * ms // what reports show from now on
		g.advance(3 * sec)
		q := &request{class: &g.router.settings.Classes[boundedClass], group: g.router.groupList[0]}
		if b := g.router.members["b"]; g.router.clock.lead != 0 || g.router.freshEnough(q, b) {
			t.Errorf("%s: lead %d, fresh %t", name, g.router.clock.lead, g.router.freshEnough(q, b))
		}
	}
}
