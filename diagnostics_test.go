package aspenshed

import (
	"slices"
	"testing"
)

func diagnosticSettings() Settings {
	s := fleetSettings()
	s.Diagnostics, s.TraceRequests = true, true
	return s
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// The report lacked when a start was learned, from what, the assumed capacity and what the member was sent.
func TestWarmingMemberIsReported(t *testing.T) {
	g := newHarness(t, diagnosticSettings())
	g.step(0, completeList(primary("a"), up("b"), up("c")))
	for range 300 {
		g.serve(50*ms, anyClass, 100*ms, RoleReplica)
	}
	restarted := up("c")
	restarted.StartedAt = g.now
	learnedAt := g.now
	acts := g.step(0, MemberList{Members: []Member{restarted}})
	attempts := 0
	for range 100 {
		q := g.request(anyClass)
		step := g.step(50*ms, q, TimerFired{})
		for _, x := range sends(step) {
			if x.Member == "c" {
				attempts++
			}
			step = append(step, g.step(0, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true, Duration: 100 * ms,
				Role: RoleReplica})...)
		}
		acts = append(acts, step...)
	}
	reports := actionsOf[SlowStartReport](acts)
	reported := 0
	for _, x := range reports {
		reported += x.Sent.Attempts
		if x.Member != "c" || x.LearnedAt != learnedAt || x.Source != StateListed || x.Estimates.Group <= 0 {
			t.Errorf("report %+v", x)
		}
	}
	if len(reports) < 2 || len(reports) > 5 || attempts == 0 || reported > attempts || reported < attempts/2 {
		t.Errorf("%d reports of %d attempts in 5 s, %d were sent", len(reports), reported, attempts)
	}
	changes := actionsOf[MemberStateChanged](acts)
	if len(changes) != 1 || changes[0] != (MemberStateChanged{"c", PhaseUp, PhaseWarming, StateListed}) {
		t.Errorf("state changes %+v", changes)
	}
}

// A refusal names its cause, and so does a request that waits.
func TestRefusalsNameTheirCause(t *testing.T) {
	g := newHarness(t, diagnosticSettings())
	g.step(0, completeList(up("a"), up("b")))
	var refusals []Refuse
	var queued []RequestQueued
	q := g.request(writeClass)
	for range 300 { // no member ever says that it is the primary
		acts := g.step(10*ms, q, TimerFired{})
		if q.ID = "again"; len(refusals) == 0 {
			refusals, queued = append(refusals, actionsOf[Refuse](acts)...), append(queued, actionsOf[RequestQueued](acts)...)
		}
		q = Request{ID: "q1", Class: -1}
	}
	if len(queued) == 0 || queued[0].Cause != CauseNoPrimary {
		t.Errorf("queued: %+v", queued)
	}
	if len(refusals) == 0 || refusals[0].Cause != CauseInvalid { // a second request with the same ID
		t.Errorf("refused: %+v", refusals)
	}
	g = newHarness(t, diagnosticSettings())
	g.step(0, completeList(up("a"), up("b")))
	refusals = nil
	g.step(0, g.request(writeClass))
	for range 300 {
		refusals = append(refusals, actionsOf[Refuse](g.step(10*ms, TimerFired{}))...)
	}
	if len(refusals) != 1 || refusals[0].Cause != CauseNoPrimary {
		t.Errorf("refused: %+v", refusals)
	}
}

// Without Settings.Diagnostics and TraceRequests nothing is reported: simulators have no form for it.
func TestReportsAreOff(t *testing.T) {
	g := newHarness(t, fleetSettings())
	m := up("b")
	m.StartedAt = g.now
	acts := g.step(0, completeList(up("a"), m), g.request(writeClass))
	for range 100 {
		acts = append(acts, g.step(50*ms, TimerFired{})...)
	}
	if n := count[SlowStartReport](acts) + count[MemberStateChanged](acts) + count[RequestQueued](acts); n != 0 {
		t.Errorf("%d reports", n)
	}
}

// Each change of the trusted primary is reported once, with what the router learned it from.
func TestPrimaryChangesAreReported(t *testing.T) {
	s := testSettings()
	s.Diagnostics = true
	g := newHarness(t, s)
	var got []PrimaryChanged
	step := func(after Nanos, events ...Event) {
		for _, a := range g.step(after, events...) {
			if change, ok := a.(PrimaryChanged); ok {
				got = append(got, change)
			}
		}
	}
	listed := up("a")
	listed.Primary = true
	step(0, completeList(listed, up("b"), up("c")))
	write := g.request(writeClass)
	step(ms, write)
	step(ms, AttemptResult{ID: write.ID, Member: "a", Outcome: Served, Final: true, Duration: ms, Role: RolePrimary})
	write = g.request(writeClass)
	step(ms, write)
	step(ms, AttemptResult{ID: write.ID, Member: "a", Outcome: ConnectionLost, Duration: ms})
	step(ms, ProbeResult{Member: "b", Outcome: Served, Duration: ms,
		Report: Report{HasRole: true, Primary: true, HasPosition: true, Position: g.now + ms}})
	draining := up("b")
	draining.State = Draining
	step(ms, MemberList{Members: []Member{draining}})
	want := []PrimaryChanged{
		{Group: 1, Member: "a", Trusted: true, Source: RoleFromList},
		{Group: 1, Member: "a", Source: RoleFromFailure},
		{Group: 1, Member: "b", Trusted: true, Source: RoleFromReport},
		{Group: 1, Member: "b", Source: RoleFromList},
	}
	for i := range got {
		got[i].Age = 0
	}
	if !slices.Equal(got, want) {
		t.Errorf("reported\n%+v, want\n%+v", got, want)
	}
}
