package mode

import (
	"testing"

	"aspenshed"
)

// The modes of one instance's day: it starts, follows, is cut off, comes back and has to catch up before it counts
// as following again; a flicker of contact does not bring it back.
func TestADay(t *testing.T) {
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

// A joiner that may not vote yet is still catching up, however little it lacks.
func TestANonvoterIsNotYetFollowing(t *testing.T) {
	var m StateMachine
	for i := range 9 {
		if got, _ := m.Step(aspenshed.Nanos(1e9+i*1e8), Observation{LeaderContact: true, CommitIndex: 5, AppliedIndex: 5}); got != CatchingUp {
			t.Fatalf("mode %v", got)
		}
	}
}
