package mode

import (
	"testing"

	"aspenshed"
)

// The modes of one instance's day: it starts, follows, is cut off, comes back and has to catch up before it counts
// as following again; a flicker of contact does not bring it back.
func TestADay(t *testing.T) {
	var m Machine
	at := aspenshed.Nanos(1e9)
	for i, x := range []struct {
		after aspenshed.Nanos
		s     Seen
		want  Mode
	}{
		{0, Seen{Contact: true, Voter: true, Commit: 100, Applied: 10}, CatchingUp},
		{1e8, Seen{Contact: true, Voter: true, Commit: 100, Applied: 100}, Following},
		{1e9, Seen{Voter: true, Commit: 100, Applied: 100}, Following},
		{CutAfter - 1e9, Seen{Voter: true, Commit: 100, Applied: 100}, CutOff},
		{1e8, Seen{Contact: true, Voter: true, Commit: 300, Applied: 100}, CutOff},
		{CutAfter, Seen{Voter: true, Commit: 300, Applied: 100}, CutOff},
		{1e8, Seen{Contact: true, Voter: true, Commit: 300, Applied: 100}, CutOff},
		{BackAfter, Seen{Contact: true, Voter: true, Commit: 300, Applied: 299}, CatchingUp},
		{1e8, Seen{Contact: true, Voter: true, Commit: 301, Applied: 301}, Following},
		{1e8, Seen{Contact: true, Voter: true, Leads: true, Commit: 301, Applied: 301}, Leading},
		{CutAfter, Seen{Voter: true, Commit: 301, Applied: 301}, CutOff},
		{1e8, Seen{Alone: true}, Alone},
	} {
		at += x.after
		if got, _ := m.Step(at, x.s); got != x.want {
			t.Fatalf("step %d: %v, want %v", i, got, x.want)
		}
	}
}

// A joiner that may not vote yet is still catching up, however little it lacks.
func TestANonvoterIsNotYetFollowing(t *testing.T) {
	var m Machine
	for i := range 9 {
		if got, _ := m.Step(aspenshed.Nanos(1e9+i*1e8), Seen{Contact: true, Commit: 5, Applied: 5}); got != CatchingUp {
			t.Fatalf("mode %v", got)
		}
	}
}
