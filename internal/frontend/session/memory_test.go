package session

import (
	"testing"

	"aspenshed/internal/dataplane/eventloop"
)

// counting is a client that notes how many answers were written to it.
type counting struct{ answers, closed int }

func (c *counting) Write([]byte) error { c.answers++; return nil }
func (c *counting) Unsent() bool       { return false }
func (c *counting) Close()             { c.closed++ }
func (c *counting) Shut(idle func() bool) bool {
	if !idle() {
		return false
	}
	c.closed++
	return true
}

// Guards the memory, and the other clients: many that send without end, while the loop is busy elsewhere, are held to a bound.
// One that sends a single command, however long, is taken. What was taken is answered, and those that overdrew are closed then.
func TestAFloodOfCommandsIsBounded(t *testing.T) {
	const flooders, limit = 20, 8 << 20
	for name, size := range map[string]int{"long": 140 << 10, "short": 1} {
		t.Run(name, func(t *testing.T) {
			clock := &clock{1000 * ms}
			rejected := 0
			m := &Manager{Loop: eventloop.NewLoop(clock), Limits: Limits{CommandTimeout: 2000 * ms, IdleTimeout: 2000 * ms, MaxPendingBytes: limit},
				CountRejected: func(string) { rejected++ }}
			var conns []*counting
			var sessions []*Session
			for range flooders + 1 {
				c := &counting{}
				conns, sessions = append(conns, c), append(sessions, m.Open(c))
			}
			m.Loop.RunPending()
			var slots []*Slot
			take := func(x *Slot) { slots = append(slots, x) }
			for range 200_000 { // commands come in turn, and the loop stands still
				for _, s := range sessions[:flooders] {
					s.Enqueue(size, take)
				}
				if got := m.pendingBytes.Load(); got > limit+flooders*max(guaranteedPendingBytes, int64(size)+commandOverhead) {
					t.Fatalf("%d bytes are kept", got)
				}
			}
			sessions[flooders].Enqueue(1<<20, take)
			m.Loop.RunPending()
			taken := len(slots)
			if last := slots[taken-1]; last.session != sessions[flooders] {
				t.Error("the one that sends a single command was not taken")
			}
			if rejected != flooders {
				t.Errorf("%d of %d floods were ended", rejected, flooders)
			}
			for _, x := range slots {
				x.SetResponse([]byte("answer"))
			}
			for range 3 {
				clock.now += sweepInterval
				m.Loop.RunPending()
			}
			answers := 0
			for i, c := range conns {
				answers += c.answers
				if want := i < flooders; (c.closed > 0) != want {
					t.Errorf("connection %d: closed %d times", i, c.closed)
				}
			}
			if answers != taken || m.pendingBytes.Load() != 0 {
				t.Errorf("%d of %d commands were answered; %d bytes still count", answers, taken, m.pendingBytes.Load())
			}
		})
	}
}

// Guards the memory against answers that pile up behind one that does not come: the connection ends, and all is given back.
func TestAnswersBehindOneThatDoesNotComeAreBounded(t *testing.T) {
	const limit = 64 << 20
	clock := &clock{1000 * ms}
	m := &Manager{Loop: eventloop.NewLoop(clock), Limits: Limits{MaxPendingBytes: limit}, CountRejected: func(string) {}}
	conn := &counting{}
	s := m.Open(conn)
	var slots []*Slot
	for range maxPendingCommands {
		s.Enqueue(1, func(x *Slot) { slots = append(slots, x) })
	}
	m.Loop.RunPending()
	filled := 0
	for _, x := range slots[1:] {
		if conn.closed == 0 {
			x.SetResponse(make([]byte, 4<<20))
			filled++
		}
		if got := m.pendingBytes.Load(); got > limit/2+4<<20 {
			t.Fatalf("%d bytes are kept", got)
		}
	}
	if conn.closed != 1 || filled > limit/2>>22+1 || m.pendingBytes.Load() != 0 {
		t.Errorf("closed %d times after %d answers, %d bytes still count", conn.closed, filled, m.pendingBytes.Load())
	}
}
