// Package drain ends the front ends of a program gracefully: what holds for one of them holds for all.
package drain

import (
	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

// Interval is the time between two looks at what remains.
const Interval = aspenshed.Nanos(10e6)

// reason is why a request that is still pending at the end gets no other response.
const reason = "the gateway ends"

// Front is a front end that is drained. Its methods are called on the event loop.
type Front interface {
	StopListening()
	// CloseIdle closes connections between requests, and from then on each connection once its last response is sent.
	CloseIdle()
	// RespondAll gives each pending request a response.
	RespondAll(reason string)
	// Pending returns the number of requests without a response.
	Pending() int
	// Remaining returns the number of open connections and pending requests.
	Remaining() int
}

// Schedule holds the times of a drain, counted from its start.
type Schedule struct {
	StopListening aspenshed.Nanos // open connections are still served
	CloseIdle     aspenshed.Nanos
	RespondAll    aspenshed.Nanos
	End           aspenshed.Nanos // whatever remains then
}

// Drain drains all front ends of a program.
type Drain struct {
	Loop     *eventloop.Loop
	Fronts   []Front
	Schedule Schedule
	// Done is called when nothing remains, or at the end of the schedule.
	Done func()

	startedAt aspenshed.Nanos
}

// Pending returns the number of requests without a response at all front ends.
func (d *Drain) Pending() (n int) {
	for _, f := range d.Fronts {
		n += f.Pending()
	}
	return n
}

// Start begins the drain.
func (d *Drain) Start() {
	d.startedAt = d.Loop.Now()
	d.Loop.At(d.startedAt+d.Schedule.StopListening, func() {
		for _, f := range d.Fronts {
			f.StopListening()
		}
		d.tick()
	})
}

// tick does what is due, and ends the drain when nothing remains.
func (d *Drain) tick() {
	now := d.Loop.Now()
	elapsed := now - d.startedAt
	remaining := 0
	for _, f := range d.Fronts {
		d.advance(f, elapsed)
		remaining += f.Remaining()
	}
	if remaining == 0 || elapsed >= d.Schedule.End {
		d.Done()
		return
	}
	d.Loop.At(now+Interval, d.tick)
}

// advance does what is due at one front end.
func (d *Drain) advance(f Front, elapsed aspenshed.Nanos) {
	if elapsed >= d.Schedule.RespondAll {
		f.RespondAll(reason)
	}
	if elapsed >= d.Schedule.CloseIdle {
		f.CloseIdle()
	}
}
