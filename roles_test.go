package aspenshed

import (
	"cmp"
	"fmt"
	"math/rand"
	"testing"
)

// roleModel is a group whose primary changes, and whose responses arrive late and in any order.
type roleModel struct {
	random    *rand.Rand
	classes   []int // of the requests
	now       Nanos
	router    *Router
	terms     []primaryTerm
	calm      bool // responses take no more than milliseconds
	silent    bool // responses to statements tell no role
	answers   []roleAnswer
	shown     map[string]shownRoles
	stale     string // the first bounded read that was sent to a member whose data was too old; "": none
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
	settings := testSettings()
	if seed%2 == 0 {
		settings.ProbeCost = 2 * costlyProbe // reads go to the primary before replicas are probed
	}
	router, err := New(settings, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	x := &roleModel{random: rand.New(rand.NewSource(seed)), now: roleModelStart, router: router, silent: seed%3 == 0,
		classes: []int{writeClass, anyClass, boundedClass, linearizableClass},
		terms:   []primaryTerm{{0, "a"}}, shown: map[string]shownRoles{}}
	if seed%5 == 0 {
		x.classes = []int{boundedClass}
	}
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
			x.checkStaleness(action)
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

// positionOf returns up to when a member has applied all commits. A replica stops to apply when it loses the role of the
// primary, and goes on once it lags by its usual lag.
func (x *roleModel) positionOf(member string, at Nanos) Nanos {
	lag := 800 * ms
	if member == "b" {
		lag = 20 * ms
	}
	_, lastLed := x.termAt(member, at)
	return max(lastLed, at-lag)
}

// checkStaleness records a bounded read whose data may be too old, at the latest time at which it may leave.
func (x *roleModel) checkStaleness(s Send) {
	bound := x.router.settings.Classes[boundedClass].MaxStaleness
	if q := x.router.requests[s.ID]; q == nil || q.Request.Class != boundedClass || x.stale != "" {
		return
	}
	if primary, _ := x.termAt(s.Member, x.now); primary {
		return // what it loses later shows in the position up to which the proof holds
	}
	latest := s.SendBy
	if latest == 0 {
		latest = x.now
	}
	if age := latest - x.positionOf(s.Member, x.now); age > bound {
		x.stale = fmt.Sprintf("%s at %s: its data may be %d ms old when the read leaves", s.ID, s.Member, age/ms)
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
		event, role := x.fillIn(answer)
		shown := x.shown[answer.member]
		switch role {
		case RolePrimary:
			shown.claimed = max(shown.claimed, answer.madeAt)
		case RoleReplica:
			shown.denied = max(shown.denied, answer.madeAt)
		}
		x.shown[answer.member] = shown
		events = append(events, event)
	}
	x.answers = pending
	return events
}

// fillIn completes a response by what was true as it was made, and returns the role that it states.
func (x *roleModel) fillIn(answer roleAnswer) (event Event, role Role) {
	role = RoleReplica
	if primary, _ := x.termAt(answer.member, answer.madeAt); primary {
		role = RolePrimary
	}
	switch event := answer.event.(type) {
	case AttemptResult:
		event.Outcome, event.Final, event.Role = Served, true, role
		if role == RoleReplica && x.random.Intn(2) == 0 {
			event.Outcome, event.Final = Ineligible, false
		} else if x.silent {
			event.Role = RoleUnknown
		}
		return event, event.Role
	case ProbeResult:
		event.Report.Primary = role == RolePrimary
		if event.Report.HasPosition {
			event.Report.Position = x.positionOf(answer.member, answer.madeAt) / ms * ms
		}
		return event, role
	}
	return answer.event, RoleUnknown
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
	for end := x.now + duration; x.now < end; x.now += 5 * ms {
		if handovers && x.random.Intn(60) == 0 {
			x.terms = append(x.terms, primaryTerm{x.now, []string{"", "a", "b", "c"}[x.random.Intn(4)]})
		}
		events := x.arrived()
		if handovers && x.random.Intn(200) == 0 { // the list's roles may be any
			listed := up([]string{"a", "b", "c"}[x.random.Intn(3)])
			listed.Primary = true
			events = append(events, completeList(up("a"), up("b"), up("c")), MemberList{Members: []Member{listed}})
		}
		if x.random.Intn(4) == 0 {
			x.requested++
			events = append(events, Request{ID: fmt.Sprint("q", x.requested), Class: x.classes[x.random.Intn(len(x.classes))], Group: 1,
				Remaining: 2 * sec})
		}
		x.step(events...)
		if failure = cmp.Or(x.violation(), x.stale); failure != "" {
			return fmt.Sprintf("after %d ms: %s", (x.now-roleModelStart)/ms, failure)
		}
	}
	return ""
}

// Guards reads at the primary after handovers whose evidence is delayed: in any order and with any delay of responses and
// reports, no member is trusted as the primary on evidence older than a denial of its own or than another's claim, and no
// bounded read goes to a member whose data is older than its bound. Once responses are quick again, the primary is found.
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

// readOnlySettings are those of a front with one class of reads, which go to the primary before replicas are probed.
func readOnlySettings(consistency Consistency) Settings {
	settings := testSettings()
	settings.ProbeCost = 2 * costlyProbe
	read := settings.Classes[boundedClass]
	read.Consistency = consistency
	settings.Classes = []Class{read}
	return settings
}

// readsAlone plays reads of the only class, 50 a second, on a wire whose responses tell no role, with one handover from a to b. It
// returns to which members the reads went, how old the data at a was at the last of them, and how often the primary was
// probed a second.
func readsAlone(t *testing.T, settings Settings, probeAnswered func(handedOver bool) bool) (sent map[string]int, oldest Nanos, probesPerSecond float64) {
	t.Helper()
	g := newHarness(t, settings)
	listed := up("a")
	listed.Primary = true
	const duration = 10 * sec
	handedOverAt, end := g.now+4*sec, g.now+duration
	acts := g.step(0, completeList(listed, up("b")))
	probes := 0
	sent = map[string]int{}
	for g.now < end {
		var events []Event
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				sent[a.Member]++
				if a.Member == "a" && g.now >= handedOverAt {
					oldest = max(oldest, g.now-handedOverAt)
				}
				if limit := g.now + settings.Classes[0].MaxStaleness; a.SendBy == 0 || a.SendBy > limit {
					t.Fatalf("to be sent by %d, want %d at most", a.SendBy, limit)
				}
				events = append(events, AttemptResult{ID: a.ID, Attempt: a.Attempt, Member: a.Member, Outcome: Served, Final: true, Duration: ms})
			case Probe:
				primary := (a.Member == "a") == (g.now < handedOverAt)
				if primary {
					probes++
				}
				if probeAnswered(g.now >= handedOverAt) {
					events = append(events, ProbeResult{Member: a.Member, Outcome: Served, Duration: ms,
						Report: Report{HasRole: true, RoleIsCurrent: true, Primary: primary}})
				}
			}
		}
		acts = g.step(ms, events...)
		if (g.now/ms)%20 == 0 {
			acts = append(acts, g.step(0, g.request(0))...)
		}
	}
	return sent, oldest, float64(probes) / float64(duration/sec)
}

// Guards reads of a gateway that takes no part in a handover: where clients only read, and responses tell no role, it
// went on reading from the former primary to the end. Where positions are unknown, bounded reads are linearizable ones with a
// bound.
func TestReadsAloneFollowHandover(t *testing.T) {
	for _, consistency := range []Consistency{BoundedStaleness, Linearizable} {
		settings := readOnlySettings(consistency)
		bound := settings.Classes[0].MaxStaleness
		sent, oldest, probes := readsAlone(t, settings, func(bool) bool { return true })
		if sent["a"] < 150 || sent["b"] < 250 {
			t.Errorf("consistency %d: reads sent: %v", consistency, sent)
		}
		if oldest > bound {
			t.Errorf("consistency %d: read sent to the former primary %d ms after the handover, bound %d ms", consistency, oldest/ms, bound/ms)
		}
		if most := 2 * float64(sec) / float64(bound); probes > most+1 {
			t.Errorf("consistency %d: %.1f probes a second, want two in the reads' bound at most (%.1f)", consistency, probes, most)
		}
	}
}

// Guards reads at a primary that has not said lately that it is one: the list alone names it, and lists may be seconds late,
// or it answers no probe any more.
func TestUnconfirmedPrimaryServesNoBoundedRead(t *testing.T) {
	for _, consistency := range []Consistency{BoundedStaleness, Linearizable} {
		settings := readOnlySettings(consistency)
		if sent, _, _ := readsAlone(t, settings, func(bool) bool { return false }); len(sent) != 0 {
			t.Errorf("consistency %d: reads sent although no member has answered a probe: %v", consistency, sent)
		}
		_, oldest, _ := readsAlone(t, settings, func(handedOver bool) bool { return !handedOver })
		if bound := settings.Classes[0].MaxStaleness; oldest > bound {
			t.Errorf("consistency %d: read sent to a primary that has answered no probe for %d ms, bound %d ms", consistency, oldest/ms, bound/ms)
		}
	}
}

// Guards service where no replica is left: what any member may serve goes to the primary, confirmed or not, and so do writes.
func TestUnconfirmedPrimaryServesWhatNeedsNoProof(t *testing.T) {
	for class, want := range map[int]int{anyClass: 1, writeClass: 1, boundedClass: 0, sessionClass: 0, linearizableClass: 0} {
		g := newHarness(t, testSettings())
		listed := up("a")
		listed.Primary = true
		g.step(0, completeList(listed))
		g.router.groups[1].spillChance = 1
		if n := len(sends(g.step(ms, g.request(class)))); n != want {
			t.Errorf("class %d: sent %d times to the unconfirmed primary, want %d", class, n, want)
		}
		g.step(10 * ms)
		acts := g.step(ms, ProbeResult{Member: "a", Outcome: Served, Duration: ms, Report: Report{HasRole: true, RoleIsCurrent: true, Primary: true}})
		if n := len(sends(acts)); n != 1-want {
			t.Errorf("class %d: sent %d times once the primary is confirmed, want %d", class, n, 1-want)
		}
	}
}

// Guards writes after a handover in which the former primary leaves: a list that is seconds late named a member that had said
// since that it is a replica, and it was trusted as the primary.
func TestListDoesNotOutweighDenial(t *testing.T) {
	for name, news := range map[string]ProbeResult{
		"it denied":       {Member: "b", Outcome: Served, Duration: ms, Report: Report{HasRole: true, RoleIsCurrent: true}},
		"another claimed": {Member: "a", Outcome: Served, Duration: ms, Report: Report{HasRole: true, RoleIsCurrent: true, Primary: true}},
	} {
		g := newHarness(t, testSettings())
		g.step(0, completeList(up("a"), up("b"), up("c")))
		g.step(ms, news)
		left, listed := up("a"), up("b")
		left.State, listed.Primary = Removed, true
		g.step(ms, MemberList{Members: []Member{left}})
		g.step(ms, MemberList{Members: []Member{listed}})
		if p := g.router.groups[1]; p.primaryTrusted {
			t.Errorf("%s: %s is trusted as the list names it", name, p.primary.ID)
		}
		if probes := actionsOf[Probe](g.step(ms, g.request(writeClass))); len(probes) != 1 || probes[0].Member != "b" {
			t.Errorf("%s: the member that the list names is not probed first: %v", name, probes)
		}
	}
}
