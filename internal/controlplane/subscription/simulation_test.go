package subscription

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	pb "aspenshed/internal/controlplane/controlpb"
)

// drawProfile draws a history with faults of all kinds at any rates.
func drawProfile(t *rapid.T) profile {
	rate := rapid.SampledFrom([]int{0, 0, 20, 60, 150})
	return profile{
		seed:        rapid.Uint64().Draw(t, "seed"),
		servers:     rapid.IntRange(1, 3).Draw(t, "servers"),
		subscribers: rapid.IntRange(1, 5).Draw(t, "subscribers"),
		keys:        rapid.IntRange(1, 25).Draw(t, "keys"),
		ticks:       rapid.IntRange(10, 120).Draw(t, "ticks"),
		partitions:  rate.Draw(t, "cuts"),
		breaks:      rate.Draw(t, "breaks"),
		restarts:    rate.Draw(t, "restarts"),
		slow:        rate.Draw(t, "slow"),
	}
}

// requiredReasons are the closing reasons that have to occur in the histories, so that all of them are covered.
var requiredReasons = []pb.Closing_Reason{pb.Closing_FUTURE_REVISION, pb.Closing_TOO_SLOW, pb.Closing_BUSY, pb.Closing_REPLACED}

// Checks the main invariants: whatever breaks, is partitioned, restarts or is slow, no subscriber ever has a state that
// was not committed, goes back, or misses a binding change that the log still has; and after all faults have ended, all
// converge.
func TestSubscribersConvergeToCommittedState(t *testing.T) {
	t.Parallel()
	snapshots, binding, closed := 0, 0, map[pb.Closing_Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawProfile(t))
		if err := s.run(); err != nil {
			t.Fatal(err)
		}
		snapshots += s.snapshots
		binding += s.binding
		for reason, n := range s.closed {
			closed[reason] += n
		}
	})
	t.Logf("%d snapshots, %d binding changes, closed: %v", snapshots, binding, closed)
	for _, reason := range requiredReasons {
		if closed[reason] == 0 {
			t.Errorf("no session was closed as %v", reason)
		}
	}
	if snapshots == 0 || binding == 0 {
		t.Error("no snapshot or no binding change was applied")
	}
}

// The same with frames that are changed, lost or duplicated in flight: they are never applied, and the stream recovers.
func TestCorruptFramesAreNotApplied(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		p.corruptions = rapid.IntRange(50, 500).Draw(t, "corruptions")
		if err := newSimulation(p).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// Checks that equal seeds give equal histories and results.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	for i := range 30 {
		p := rapid.Custom(drawProfile).Example(i)
		p.corruptions = 100
		var outcomes []string
		for range 2 {
			s := newSimulation(p)
			err := s.run()
			outcomes = append(outcomes, fmt.Sprint(err, s.now, s.snapshots, s.binding, s.closed, s.rng.Uint64()))
		}
		if outcomes[0] != outcomes[1] {
			t.Fatalf("history %d: %s, then %s", i, outcomes[0], outcomes[1])
		}
	}
}

// Each injected fault must be detected within a number of histories. This shows that the checks can fail.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const histories = 1000
	for name, inject := range map[string]func(*profile){
		"binding changes coalesced":        func(p *profile) { p.injected.coalesceBinding = true },
		"window ignored":                   func(p *profile) { p.injected.ignoreWindow = true },
		"first commit skipped":             func(p *profile) { p.injected.skipFirstCommit = true },
		"partial snapshot applied":         func(p *profile) { p.injected.applyFirstChunk = true },
		"digest skipped, frames corrupted": func(p *profile) { p.injected.skipDigestCheck, p.corruptions = true, 200 },
		"older snapshot accepted":          func(p *profile) { p.injected.acceptOlderSnapshot, p.corruptions = true, 200 },
		"coalesced before projected":       func(p *profile) { p.injected.coalesceBeforeProject = true },
		"stalled sessions kept":            func(p *profile) { p.injected.keepStalledSessions = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range histories {
				p := rapid.Custom(drawProfile).Example(i)
				inject(&p)
				if err := newSimulation(p).run(); err != nil {
					t.Logf("detected in history %d: %v", i+1, err)
					return
				}
			}
			t.Errorf("not detected in %d histories", histories)
		})
	}
}
