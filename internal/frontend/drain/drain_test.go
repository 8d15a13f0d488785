package drain

import (
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

const ms = aspenshed.Nanos(1e6)

type fakeClock struct{ now aspenshed.Nanos }

func (c *fakeClock) Now() aspenshed.Nanos { return c.now }

// front is a Front with requests, and with connections that are open until they are idle.
type front struct {
	clock *fakeClock
	// hung is set for one whose connections never end, as its clients don't read their responses.
	hung                                    bool
	pending                                 int
	listening                               bool
	stoppedAt, idleClosedAt, respondedAllAt aspenshed.Nanos
}

func (f *front) StopListening() { f.listening, f.stoppedAt = false, f.clock.now }
func (f *front) CloseIdle()     { f.idleClosedAt = f.clock.now }
func (f *front) RespondAll(string) {
	if f.respondedAllAt == 0 {
		f.respondedAllAt = f.clock.now
	}
	f.pending = 0
}
func (f *front) Pending() int { return f.pending }
func (f *front) Remaining() int {
	if f.hung {
		return f.pending + 1
	}
	return f.pending
}

var schedule = Schedule{StopListening: 400 * ms, CloseIdle: 2000 * ms, RespondAll: 3400 * ms, End: 3550 * ms}

// run drains front ends and returns when that ended.
func run(t *testing.T, clock *fakeClock, fronts ...*front) (endedAt aspenshed.Nanos) {
	t.Helper()
	d := &Drain{Loop: eventloop.NewLoop(clock), Schedule: schedule, Done: func() { endedAt = clock.now }}
	pending := 0
	for _, f := range fronts {
		f.clock, f.listening = clock, true
		pending += f.pending
		d.Fronts = append(d.Fronts, f)
	}
	if got := d.Pending(); got != pending {
		t.Errorf("%d requests are pending, want %d", got, pending)
	}
	d.Start()
	for ; endedAt == 0 && clock.now < 10_000*ms; clock.now += ms {
		d.Loop.RunPending()
	}
	return endedAt
}

// Guards against a front end whose pending requests get no response at the end of the program: all front ends are drained alike,
// whichever of them has pending requests, and one that hangs does not keep the others from it.
func TestAllFrontsAreDrainedAlike(t *testing.T) {
	for name, hung := range map[string][2]bool{"none hangs": {}, "the first hangs": {true, false}, "the second hangs": {false, true}, "both hang": {true, true}} {
		fronts := []*front{{hung: hung[0], pending: 3}, {hung: hung[1], pending: 5}}
		want := schedule.RespondAll
		if hung[0] || hung[1] {
			want = schedule.End
		}
		clock := &fakeClock{1000 * ms}
		if got := run(t, clock, fronts...) - 1000*ms; got != want {
			t.Errorf("%s: it ended after %d ms, want %d", name, got/ms, want/ms)
		}
		for i, f := range fronts {
			if f.listening || f.stoppedAt != 1000*ms+schedule.StopListening || f.respondedAllAt != 1000*ms+schedule.RespondAll || f.pending != 0 {
				t.Errorf("%s, front %d: %+v", name, i, *f)
			}
		}
	}
}

// A program that has nothing to respond to ends once it has stopped listening; connections between requests stay open for longer.
func TestDrainEndsWhenNothingRemains(t *testing.T) {
	idle := &front{}
	if got := run(t, &fakeClock{1000 * ms}, idle, &front{}) - 1000*ms; got != schedule.StopListening || idle.idleClosedAt != 0 {
		t.Errorf("it ended after %d ms, idle connections were closed at %d", got/ms, idle.idleClosedAt)
	}
	if got := run(t, &fakeClock{1000 * ms}); got != 1000*ms+schedule.StopListening {
		t.Errorf("without front ends it ended at %d ms", got/ms)
	}
}
