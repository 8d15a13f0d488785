package rollout

import (
	"fmt"
	"testing"
)

func TestStatusCountsAndListsMostLagging(t *testing.T) {
	tracker := NewTracker()
	for i := range 100 {
		tracker.SetApplied(fmt.Sprintf("g%03d", i), uint64(i))
	}
	tracker.Remove("g000")
	s := tracker.Status(60, 60)
	if s.Subscribers != 99 || s.InForce != 40 || len(s.Lagging) != maxReportedLagging {
		t.Fatalf("%v", s)
	}
	if first, last := s.Lagging[0], s.Lagging[maxReportedLagging-1]; first.Subscriber != "g001" || last.InForce != 20 {
		t.Errorf("lagging from %v to %v", first, last)
	}
	if s := tracker.Status(60, 55); s.Revision != 60 || s.InForce != 45 {
		t.Errorf("%v", s)
	}
	if s := tracker.Status(0, 0); s.InForce != 99 || len(s.Lagging) != 0 {
		t.Errorf("%v", s)
	}
}

func TestRefusalsAreBoundedAndNewestFirst(t *testing.T) {
	tracker := NewTracker()
	for i := range maxRefusals + 50 {
		tracker.AddRefusal(fmt.Sprint("g", i), uint64(i%2), "config", "no such group")
	}
	if len(tracker.refusals) != maxRefusals {
		t.Errorf("%d kept", len(tracker.refusals))
	}
	s := tracker.Status(1, 1)
	if len(s.Refusals) != maxReportedRefusals || s.Refusals[0].Subscriber != fmt.Sprint("g", maxRefusals+49) ||
		s.Refusals[1].Subscriber != fmt.Sprint("g", maxRefusals+47) || s.Refusals[0].Reason != "no such group" {
		t.Errorf("%v", s.Refusals)
	}
}

func BenchmarkSetApplied(b *testing.B) {
	tracker := NewTracker()
	names := make([]string, 2400)
	for i := range names {
		names[i] = fmt.Sprint("gateway-", i)
	}
	for i := range b.N {
		tracker.SetApplied(names[i%len(names)], uint64(i))
	}
}
