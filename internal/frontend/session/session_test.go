package session

import (
	"errors"
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

const ms = aspenshed.Nanos(1e6)

type fakeClock struct{ now aspenshed.Nanos }

func (c *fakeClock) Now() aspenshed.Nanos { return c.now }

// slowConn is a connection whose client has not read all that was written.
type slowConn struct {
	reads   bool // all that is written
	broken  bool // writes fail
	unsent  int
	written int
	closed  bool
	resumed int
}

func (s *slowConn) Write(b []byte) error {
	if s.broken {
		return errors.New("broken")
	}
	s.written++
	if !s.reads {
		s.unsent += len(b)
	}
	return nil
}
func (s *slowConn) Unsent() int  { return s.unsent }
func (s *slowConn) Resume()      { s.resumed++ }
func (s *slowConn) Close()       { s.closed = true }
func (s *slowConn) Peer() string { return "" }
func (s *slowConn) Shutdown(idle func() bool) bool {
	s.closed = idle()
	return s.closed
}

// Guards against truncated responses: a slow client reads on, whether the idle timeout expires or an error follows the
// response. A client that reads nothing is disconnected after a timeout.
func TestResponsesAreNotTruncated(t *testing.T) {
	for _, fatal := range []bool{false, true} {
		for _, reads := range []bool{true, false} {
			c := &fakeClock{1000 * ms}
			m := &Manager{Loop: eventloop.NewLoop(c), Limits: Limits{CommandTimeout: 2000 * ms, IdleTimeout: 2000 * ms},
				CountRejected: func(string, string) {}}
			conn := &slowConn{}
			s := m.Open(conn, encodeStatus)
			s.Enqueue(1, func(x *Slot) { x.SetResponse([]byte("a long response")) })
			if fatal {
				s.Fatal([]byte("an error"), "noise")
			}
			advance := func(span aspenshed.Nanos) {
				for ; span > 0; span -= sweepInterval {
					c.now += sweepInterval
					m.Loop.RunPending()
				}
			}
			if advance(5000 * ms); conn.closed || m.CloseIdle() != 1 {
				t.Fatalf("fatal %t: closed with bytes unsent", fatal)
			}
			if reads {
				conn.reads, conn.unsent = true, 0
				s.sent()
				advance(2 * sweepInterval)
				if fatal && conn.written != 2 {
					t.Errorf("%d responses written", conn.written)
				}
			} else {
				advance(unreadTimeout)
			}
			if !conn.closed {
				t.Errorf("fatal %t, reads %t: still open", fatal, reads)
			}
		}
	}
}

// A client that does not read its responses is not read either, and is read again once it does.
func TestClientsThatDoNotReadArePaused(t *testing.T) {
	m := newTestManager(&fakeClock{1000 * ms}, nil)
	conn := &slowConn{unsent: maxUnsentBytes}
	s := m.Open(conn, encodeStatus)
	if size := s.ReadSize(0); size != 0 {
		t.Errorf("%d bytes may be read", size)
	}
	conn.unsent = 0
	if size := s.ReadSize(0); size != readSize {
		t.Errorf("%d bytes may be read", size)
	}
}

// A command that waited in the kernel while others were read counts from the time when it may have arrived.
func TestArrivalIsNotLaterThanItsBytes(t *testing.T) {
	clock := &fakeClock{1000 * ms}
	m := newTestManager(clock, nil)
	s := m.Open(&countingConn{}, encodeStatus)
	s.TurnEnded(false)
	clock.now += 300 * ms
	s.TurnEnded(false)
	if at := s.Arrived(); at != 1000*ms {
		t.Errorf("arrived at %d ms", at/ms)
	}
	s.TurnEnded(true)
	if at := s.Arrived(); at != 1300*ms {
		t.Errorf("after all was read, arrived at %d ms", at/ms)
	}
}
