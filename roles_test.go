package aspenshed

import (
	"fmt"
	"math/rand"
	"testing"
)

// roleModel is a group whose primary changes, and whose responses arrive late and in any order.
type roleModel struct {
	random    *rand.Rand
	now       Nanos
	router    *Router
	terms     []primaryTerm
	calm      bool // responses take no more than milliseconds
	answers   []roleAnswer
	shown     map[string]shownRoles
	requested int
}

// primaryTerm is the time from which on a member is the primary; "": none is.
type primaryTerm struct {
	from   Nanos
	member string
}

// roleAnswer is a response on its way; it states the role that its member had when it was made.
type roleAnswer struct {
	member            string
	madeAt, arrivesAt Nanos
	event             Event
}

// shownRoles are the newest moments at which a member had each role, by its responses that have arrived.
type shownRoles struct{ claimed, denied Nanos }

const roleModelStart = 100 * sec

func newRoleModel(t *testing.T, seed int64) *roleModel {
	t.Helper()
	router, err := New(testSettings(), uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	x := &roleModel{random: rand.New(rand.NewSource(seed)), now: roleModelStart, router: router,
		terms: []primaryTerm{{0, "a"}}, shown: map[string]shownRoles{}}
	x.step(completeList(up("a"), up("b"), up("c")))
	return x
}

// termAt returns the primary at a time, and until when that member last was the primary before it.
func (x *roleModel) termAt(member string, at Nanos) (primary bool, lastLed Nanos) {
	lastLed = roleModelStart
	for i, term := range x.terms {
		if term.from > at {
			break
		}
		if primary = term.member == member; primary {
			lastLed = at
			if i+1 < len(x.terms) {
				lastLed = min(at, x.terms[i+1].from)
			}
		}
	}
	return primary, lastLed
}

func (x *roleModel) delay() Nanos {
	if !x.calm && x.random.Intn(4) == 0 {
		return Nanos(x.random.Int63n(int64(2 * sec)))
	}
	return Nanos(x.random.Int63n(int64(5 * ms)))
}

// step passes events to the router and has the members answer what it sends.
func (x *roleModel) step(events ...Event) {
	for _, action := range x.router.Step(x.now, events) {
		handledAt := x.now + x.delay()
		answer := roleAnswer{madeAt: handledAt, arrivesAt: handledAt + x.delay()}
		switch action := action.(type) {
		case Send:
			answer.member = action.Member
			answer.event = AttemptResult{ID: action.ID, Attempt: action.Attempt, Member: action.Member, Duration: answer.arrivesAt - x.now}
		case Probe:
			report := Report{HasRole: true, RoleIsCurrent: x.random.Intn(2) == 0, HasPosition: x.random.Intn(2) == 0}
			if !report.RoleIsCurrent {
				answer.madeAt -= Nanos(x.random.Int63n(int64(maxReportAge)))
			}
			answer.member = action.Member
			answer.event = ProbeResult{Member: action.Member, Outcome: Served, Duration: answer.arrivesAt - x.now, Report: report}
		default:
			continue
		}
		x.answers = append(x.answers, answer)
	}
}

// arrived returns the responses that have arrived, in a random order, and records what they show.
func (x *roleModel) arrived() (events []Event) {
	var pending []roleAnswer
	x.random.Shuffle(len(x.answers), func(i, j int) { x.answers[i], x.answers[j] = x.answers[j], x.answers[i] })
	for _, answer := range x.answers {
		if answer.arrivesAt > x.now {
			pending = append(pending, answer)
			continue
		}
		primary, _ := x.termAt(answer.member, answer.madeAt)
		shown := x.shown[answer.member]
		if primary {
			shown.claimed = max(shown.claimed, answer.madeAt)
		} else {
			shown.denied = max(shown.denied, answer.madeAt)
		}
		x.shown[answer.member] = shown
		events = append(events, x.fillIn(answer, primary))
	}
	x.answers = pending
	return events
}

// fillIn completes a response. A replica's position stands still for a while after it has lost the role.
func (x *roleModel) fillIn(answer roleAnswer, primary bool) Event {
	switch event := answer.event.(type) {
	case AttemptResult:
		event.Outcome, event.Final, event.Role = Served, true, RolePrimary
		if !primary {
			event.Role = RoleReplica
			if x.random.Intn(2) == 0 {
				event.Outcome, event.Final = Ineligible, false
			}
		}
		return event
	case ProbeResult:
		event.Report.Primary = primary
		if _, lastLed := x.termAt(answer.member, answer.madeAt); event.Report.HasPosition {
			event.Report.Position = max(lastLed, answer.madeAt-800*ms) / ms * ms
		}
		return event
	}
	return answer.event
}

// violation tells why the trusted primary must not be trusted; "": it may.
func (x *roleModel) violation() string {
	g := x.router.groups[1]
	if !g.primaryTrusted || g.primary == nil {
		return ""
	}
	trusted := g.primary.ID
	evidence := x.shown[trusted]
	if evidence.denied > evidence.claimed {
		return fmt.Sprintf("%s is trusted by a claim of %d, and denied at %d", trusted, evidence.claimed, evidence.denied)
	}
	for id, other := range x.shown {
		if id != trusted && other.claimed > evidence.claimed {
			return fmt.Sprintf("%s is trusted by a claim of %d, and %s claimed at %d", trusted, evidence.claimed, id, other.claimed)
		}
	}
	return ""
}

func (x *roleModel) play(duration Nanos, handovers bool) (failure string) {
	classes := []int{writeClass, anyClass, boundedClass, linearizableClass}
	for end := x.now + duration; x.now < end; x.now += 5 * ms {
		if handovers && x.random.Intn(60) == 0 {
			x.terms = append(x.terms, primaryTerm{x.now, []string{"", "a", "b", "c"}[x.random.Intn(4)]})
		}
		events := x.arrived()
		if x.random.Intn(4) == 0 {
			x.requested++
			events = append(events, Request{ID: fmt.Sprint("q", x.requested), Class: classes[x.random.Intn(len(classes))], Group: 1,
				Remaining: 2 * sec})
		}
		x.step(events...)
		if failure = x.violation(); failure != "" {
			return fmt.Sprintf("after %d ms: %s", (x.now-roleModelStart)/ms, failure)
		}
	}
	return ""
}

// Guards reads at the primary after handovers whose evidence is delayed: in any order and with any delay of responses and
// reports, no member is trusted as the primary on evidence older than a denial of its own or than another's claim. Once
// responses are quick again, the primary is found.
func TestTrustedPrimaryHasNewestEvidence(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		x := newRoleModel(t, seed)
		failure := x.play(20*sec, true)
		x.terms = append(x.terms, primaryTerm{x.now, "c"})
		x.calm = true
		if failure == "" {
			failure = x.play(6*sec, false)
		}
		if g := x.router.groups[1]; failure == "" && (!g.primaryTrusted || g.primary.ID != "c") {
			failure = "the primary is not found"
		}
		if failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}

// handedOver returns a harness in which an attempt at the primary a is pending while a denies its role and b becomes primary.
func handedOver(t *testing.T) (g *harness, pending Request) {
	t.Helper()
	g = newReportedHarness(t, testSettings())
	pending = g.request(writeClass)
	g.step(ms, pending)
	refused := g.request(writeClass)
	g.step(ms, refused)
	g.step(ms, AttemptResult{ID: refused.ID, Member: "a", Outcome: Ineligible, Role: RoleReplica, Duration: ms})
	g.step(500 * ms)
	g.answerProbe("b", Report{HasRole: true, RoleIsCurrent: true, Primary: true})
	if p := g.router.groups[1]; !p.primaryTrusted || p.primary.ID != "b" {
		t.Fatal("b is not the trusted primary")
	}
	return g, pending
}

// answerProbe has a member answer a probe that is sent now.
func (g *harness) answerProbe(member string, report Report) []Action {
	g.router.probe(g.router.members[member])
	return g.step(ms, ProbeResult{Member: member, Outcome: Served, Duration: ms, Report: report})
}

// Guards reads after a handover: a response of the former primary that was delayed, claiming the role that it had, made it
// the trusted primary again until the next write.
func TestLateClaimDoesNotReplaceNewPrimary(t *testing.T) {
	g, pending := handedOver(t)
	acts := g.step(ms, AttemptResult{ID: pending.ID, Member: "a", Outcome: Served, Final: true, Duration: 500 * ms, Role: RolePrimary})
	if p := g.router.groups[1]; p.primary.ID != "b" {
		t.Fatalf("%s is the primary", p.primary.ID)
	}
	if probes := actionsOf[Probe](acts); len(probes) != 1 || probes[0].Member != "b" {
		t.Fatalf("the primary is not confirmed first: %v", acts)
	}
	g.step(ms, ProbeResult{Member: "b", Outcome: Served, Duration: ms, Report: Report{HasRole: true, RoleIsCurrent: true, Primary: true}})
	if got := g.sentTo(g.step(ms, g.request(writeClass))); got != "b" {
		t.Errorf("write sent to %s", got)
	}
}

// Guards writes after a handover: a refusal that was delayed, from before the member became the primary, costs no more than
// one probe.
func TestLateDenialCostsOneProbe(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	pending := g.request(writeClass)
	g.step(ms, pending)
	g.step(100 * ms)
	g.answerProbe("a", Report{HasRole: true, RoleIsCurrent: true, Primary: true})
	acts := g.step(ms, AttemptResult{ID: pending.ID, Member: "a", Outcome: Ineligible, Role: RoleReplica, Duration: 102 * ms})
	if probes := actionsOf[Probe](acts); len(probes) != 1 || probes[0].Member != "a" {
		t.Fatalf("not confirmed: %v", acts)
	}
	acts = g.step(ms, ProbeResult{Member: "a", Outcome: Served, Duration: ms, Report: Report{HasRole: true, RoleIsCurrent: true, Primary: true}})
	if got := g.sentTo(acts); got != "a" {
		t.Errorf("the refused write is sent to %s", got)
	}
}

// Guards reads after a handover: a former primary that applies nothing any more was not believed that it is a replica, as its
// report was taken to be as old as its position.
func TestDenialCountsWhateverThePosition(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	g.answerProbe("a", Report{HasRole: true, RoleIsCurrent: true, Primary: true, HasPosition: true, Position: g.now - 200*ms})
	g.step(50 * ms)
	g.answerProbe("a", Report{HasRole: true, RoleIsCurrent: true, HasPosition: true, Position: g.now - 200*ms})
	if g.router.groups[1].primaryTrusted {
		t.Error("a is trusted although it has said that it is a replica")
	}
}

// Guards the use of connections on a wire whose responses tell no role: a served attempt leaves its connection idle.
func TestServedAttemptWithoutRoleLeavesIdleConnection(t *testing.T) {
	g := newReportedHarness(t, testSettings())
	write := g.request(writeClass)
	g.step(ms, write)
	g.step(ms, AttemptResult{ID: write.ID, Member: "a", Outcome: Served, Final: true, Duration: ms})
	if n := len(g.router.members["a"].idleSince); n != 1 {
		t.Errorf("%d idle connections, want 1", n)
	}
}
