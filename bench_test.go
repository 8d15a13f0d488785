package aspenshed

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures a Step with one request and one response, for numbers of members (five per group) and of
// requests in flight. It measures the target of issue 8 for the cost of decisions in large fleets.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ members, inFlight int }{{20, 100}, {200, 1000}, {2000, 10000}, {21000, 100},
		{21000, 1200}} {
		b.Run(fmt.Sprintf("members=%d/in_flight=%d", size.members, size.inFlight), func(b *testing.B) {
			s := testSettings()
			r, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * sec
			var list []Member
			for i := range size.members {
				list = append(list, Member{ID: fmt.Sprint("m", i), Group: i / 5, Weight: 1, State: Up})
			}
			r.Step(now, []Event{MemberList{Complete: true, Members: list}})
			for i, m := range list { // the first of each group is its primary; all positions are fresh
				p := now - ms
				r.Step(now, []Event{ProbeResult{Member: m.ID, Outcome: Served, Duration: ms,
					Report: Report{HasPosition: true, Position: p, HasRole: true, Primary: i%5 == 0}}})
			}
			n := 0
			var out []Send // in flight, the oldest first
			ask := func() []Event {
				n++
				return []Event{Request{ID: fmt.Sprint("q", n), Class: anyClass, Group: n % (size.members / 5),
					Remaining: 3600 * sec}}
			}
			for tries := 0; len(out) < size.inFlight && tries < 4*size.inFlight; tries++ {
				now += ms / 100
				out = append(out, sends(r.Step(now, ask()))...)
			}
			begun := len(out)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += ms / 100
				events := ask()
				if len(out) > 0 {
					x := out[0]
					out = out[1:]
					events = append(events, AttemptResult{ID: x.ID, Member: x.Member, Outcome: Served, Final: true,
						Duration: 20 * ms, Role: RoleReplica})
				}
				out = append(out, sends(r.Step(now, events))...)
			}
			b.ReportMetric(float64(begun), "begun")
			b.ReportMetric(float64(len(r.queue)), "held")
		})
	}
}
