package aspenshed_test

import (
	"fmt"

	"aspenshed"
)

// A router of one group: a write waits until a member says that it is the primary.
func Example() {
	const ms = 1_000_000 // in Nanos
	r, err := aspenshed.New(aspenshed.Settings{
		MinStepInterval: ms, MayProbe: true, MaxAttempts: 4,
		Classes: []aspenshed.Class{
			{Name: "lookup", Consistency: aspenshed.BoundedStaleness, MaxStaleness: 1000 * ms, LatencyTarget: 200 * ms, ClientTimeout: 1000 * ms,
				Value: 1, RetrySafety: aspenshed.Safe},
			{Name: "save", Consistency: aspenshed.Write, LatencyTarget: 500 * ms, ClientTimeout: 5000 * ms, Value: 2,
				RetrySafety: aspenshed.Unsafe},
		},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []aspenshed.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case aspenshed.Probe:
				fmt.Println("probe", a.Member)
			case aspenshed.Send:
				fmt.Println("send", a.ID, "to", a.Member)
			}
		}
	}
	now := aspenshed.Nanos(1000 * ms)
	members := []aspenshed.Member{
		{ID: "db1", Weight: 1, State: aspenshed.Up},
		{ID: "db2", Weight: 1, State: aspenshed.Up},
	}
	show(r.Step(now, []aspenshed.Event{aspenshed.MemberList{Complete: true, Cached: true, Members: members}}))
	show(r.Step(now, []aspenshed.Event{aspenshed.Request{ID: "w1", Class: 1, Remaining: 5000 * ms}}))
	now += 2 * ms
	show(r.Step(now, []aspenshed.Event{aspenshed.ProbeResult{Member: "db1", Outcome: aspenshed.Served,
		Report: aspenshed.Report{HasRole: true, Primary: true, HasPosition: true, Position: now - ms}}}))
	// Output:
	// probe db1
	// send w1 to db1
}
