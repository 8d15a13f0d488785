package mode

import (
	"testing"

	"aspenshed"
)

// An instance starts, follows, is disconnected, reconnects and has to catch up before it follows again. Brief contact
// does not end the disconnected mode.
func TestModeTransitions(t *testing.T) {
	var m StateMachine
	at := aspenshed.Nanos(1e9)
	for i, x := range []struct {
		after aspenshed.Nanos
		s     Observation
		want  Mode
	}{
		{0, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 100, AppliedIndex: 10}, CatchingUp},
		{1e8, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 100, AppliedIndex: 100}, Following},
		{1e9, Observation{IsVoter: true, CommitIndex: 100, AppliedIndex: 100}, Following},
		{ContactTimeout - 1e9, Observation{IsVoter: true, CommitIndex: 100, AppliedIndex: 100}, Disconnected},
		{1e8, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 300, AppliedIndex: 100}, Disconnected},
		{ContactTimeout, Observation{IsVoter: true, CommitIndex: 300, AppliedIndex: 100}, Disconnected},
		{1e8, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 300, AppliedIndex: 100}, Disconnected},
		{ReconnectAfter, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 300, AppliedIndex: 299}, CatchingUp},
		{1e8, Observation{LeaderContact: true, IsVoter: true, CommitIndex: 301, AppliedIndex: 301}, Following},
		{1e8, Observation{LeaderContact: true, IsVoter: true, IsLeader: true, CommitIndex: 301, AppliedIndex: 301}, Leading},
		{ContactTimeout, Observation{IsVoter: true, CommitIndex: 301, AppliedIndex: 301}, Disconnected},
		{1e8, Observation{Standalone: true}, Standalone},
	} {
		at += x.after
		if got, _ := m.Step(at, x.s); got != x.want {
			t.Fatalf("step %d: %v, want %v", i, got, x.want)
		}
	}
}

// An instance that is not yet a voter stays in CatchingUp, even with all entries applied.
func TestNonvoterStaysCatchingUp(t *testing.T) {
	var m StateMachine
	for i := range 9 {
		if got, _ := m.Step(aspenshed.Nanos(1e9+i*1e8), Observation{LeaderContact: true, CommitIndex: 5, AppliedIndex: 5}); got != CatchingUp {
			t.Fatalf("mode %v", got)
		}
	}
}
