package session

import (
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

const ms = aspenshed.Nanos(1e6)

type clock struct{ now aspenshed.Nanos }

func (c *clock) Now() aspenshed.Nanos { return c.now }

// slow is a client that has not read all that was written.
type slow struct{ unsent, closed bool }

func (s *slow) Write([]byte) error { return nil }
func (s *slow) Unsent() bool       { return s.unsent }
func (s *slow) Close()             { s.closed = true }
func (s *slow) Shut(idle func() bool) bool {
	s.closed = idle()
	return s.closed
}

// Guards answers that a slow client is still reading: neither the idle limit nor an error behind them cuts them off.
// One that reads nothing at all is not waited for for good.
func TestAnswersAreNotCutOff(t *testing.T) {
	for _, fatal := range []bool{false, true} {
		for _, reads := range []bool{true, false} {
			c := &clock{1000 * ms}
			d := &Manager{Loop: eventloop.NewLoop(c), Limits: Limits{CommandTimeout: 2000 * ms, IdleTimeout: 2000 * ms}, CountRejected: func(string) {}}
			conn := &slow{unsent: true}
			s := d.Open(conn)
			s.Enqueue(1, func(x *Slot) { x.SetResponse([]byte("a long answer")) })
			if fatal {
				s.Fatal([]byte("an error"), "noise")
			}
			pass := func(span aspenshed.Nanos) {
				for ; span > 0; span -= sweepInterval {
					c.now += sweepInterval
					d.Loop.RunPending()
				}
			}
			if pass(5000 * ms); conn.closed || d.CloseIdle() != 1 {
				t.Fatalf("fatal %t: closed with bytes unsent", fatal)
			}
			if conn.unsent = !reads; reads {
				pass(2 * sweepInterval)
			} else {
				pass(unreadTimeout)
			}
			if !conn.closed {
				t.Errorf("fatal %t, reads %t: still open", fatal, reads)
			}
		}
	}
}
