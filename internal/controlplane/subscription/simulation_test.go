package subscription

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	pb "aspenshed/internal/controlplane/controlpb"
)

// drawProfile is a history with faults of all kinds at any rates.
func drawProfile(t *rapid.T) profile {
	rate := rapid.SampledFrom([]int{0, 0, 20, 60, 150})
	return profile{
		seed:        rapid.Uint64().Draw(t, "seed"),
		servers:     rapid.IntRange(1, 3).Draw(t, "servers"),
		subscribers: rapid.IntRange(1, 5).Draw(t, "subscribers"),
		keys:        rapid.IntRange(1, 25).Draw(t, "keys"),
		ticks:       rapid.IntRange(10, 120).Draw(t, "ticks"),
		cuts:        rate.Draw(t, "cuts"),
		breaks:      rate.Draw(t, "breaks"),
		restarts:    rate.Draw(t, "restarts"),
		slow:        rate.Draw(t, "slow"),
	}
}

// reasonsSeen are the closings that the histories have to bring about, so that they leave nothing out.
var reasonsSeen = []pb.Closing_Reason{pb.Closing_FUTURE_REVISION, pb.Closing_TOO_SLOW, pb.Closing_BUSY, pb.Closing_REPLACED}

// Guards the whole of it: whatever breaks, is cut, restarts or is slow, no subscriber ever holds what was not
// committed, goes back, or misses a binding change that the log still has; and once all is healed all agree.
func TestSubscribersHoldWhatWasCommitted(t *testing.T) {
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
	for _, reason := range reasonsSeen {
		if closed[reason] == 0 {
			t.Errorf("no session was closed as %v", reason)
		}
	}
	if snapshots == 0 || binding == 0 {
		t.Error("the histories leave something out")
	}
}

// The same with frames that are changed, lost or doubled on their way: never applied, and healed.
func TestCorruptFramesTakeNoEffect(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		p.corruptions = rapid.IntRange(50, 500).Draw(t, "corruptions")
		if err := newSimulation(p).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards that a seed names a history: the verdict is the same each time.
func TestEqualSeedsAreEqualHistories(t *testing.T) {
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

// Each planted fault must be found within so many histories: the simulation is able to fail.
func TestPlantedFaultsAreFound(t *testing.T) {
	const histories = 1000
	for name, plant := range map[string]func(*profile){
		"binding changes coalesced":        func(p *profile) { p.planted.coalesceBinding = true },
		"window ignored":                   func(p *profile) { p.planted.ignoreWindow = true },
		"resumed one commit too late":      func(p *profile) { p.planted.skipFirstCommit = true },
		"half a snapshot applied":          func(p *profile) { p.planted.applyFirstChunk = true },
		"digest skipped, frames corrupted": func(p *profile) { p.planted.skipDigestCheck, p.corruptions = true, 200 },
		"older snapshot taken":             func(p *profile) { p.planted.acceptOlderSnapshot, p.corruptions = true, 200 },
		"coalesced before projected":       func(p *profile) { p.planted.coalesceBeforeProject = true },
		"stalled sessions kept":            func(p *profile) { p.planted.keepStalledSessions = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range histories {
				p := rapid.Custom(drawProfile).Example(i)
				plant(&p)
				if err := newSimulation(p).run(); err != nil {
					t.Logf("found in history %d: %v", i+1, err)
					return
				}
			}
			t.Errorf("not found in %d histories", histories)
		})
	}
}
