package session

import (
	"slices"
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/membudget"
)

// maxTurn is how many commands of one client come before the others' turn at most.
const maxTurn = 4

// countingConn counts the responses written to it.
type countingConn struct{ responses, refusals, failures, closed, resumed int }

func (c *countingConn) Write(b []byte) error {
	c.responses++
	switch string(b) {
	case "refused":
		c.refusals++
	case "failed":
		c.failures++
	}
	return nil
}
func (c *countingConn) Unsent() int  { return 0 }
func (c *countingConn) Resume()      { c.resumed++ }
func (c *countingConn) Peer() string { return "" }
func (c *countingConn) Close()       { c.closed++ }
func (c *countingConn) Shutdown(idle func() bool) bool {
	if !idle() {
		return false
	}
	c.closed++
	return true
}

// encodeStatus encodes responses that the session gives itself.
func encodeStatus(r request.Response) []byte {
	if r.Status == request.Refused {
		return []byte("refused")
	}
	return []byte("failed")
}

func newTestManager(clock eventloop.Clock, budget *membudget.Budget) *Manager {
	return &Manager{Loop: eventloop.NewLoop(clock), Budget: budget, Limits: Limits{CommandTimeout: 2000 * ms, IdleTimeout: 2000 * ms},
		CountRejected: func(string, string) {}}
}

// usedMemory returns what all holders have in use.
func usedMemory(b *membudget.Budget) (sum int64) {
	for _, h := range membudget.Holders() {
		sum += b.Used(h)
	}
	return sum
}

// Guards against memory exhaustion by clients that keep sending while the loop is busy: they are not read beyond a bound,
// whatever the size of their commands, and no connection is closed for it. Each command that was read gets its response, in
// time with those of other clients; for want of memory that is a refusal. Then all are read again, and no memory is held.
func TestClientsThatKeepSendingArePaused(t *testing.T) {
	const flooders = 20
	for name, size := range map[string]int{"long": 140 << 10, "short": 1} {
		t.Run(name, func(t *testing.T) {
			clock := &fakeClock{1000 * ms}
			budget := membudget.New(8 << 20)
			m := newTestManager(clock, budget)
			var conns []*countingConn
			var sessions []*Session
			for range flooders + 1 {
				c := &countingConn{}
				conns, sessions = append(conns, c), append(sessions, m.Open(c, encodeStatus))
			}
			m.Loop.RunPending()
			var slots []*Slot
			accept := func(x *Slot) { slots = append(slots, x) }
			sent := make([]int, flooders+1)
			for range 20_000 { // commands arrive in turn while the loop is blocked
				for i, s := range sessions[:flooders] {
					if !s.Paused() {
						s.Enqueue(size, accept)
						sent[i]++
					}
				}
				if got, most := budget.Used(membudget.Requests), budget.Limit(membudget.Requests)+flooders*guaranteedRequestBytes; got > most {
					t.Fatalf("%d bytes of commands are held, %d are allowed", got, most)
				}
			}
			last := sessions[flooders]
			if last.Paused() {
				t.Fatal("a client that has sent nothing is not read")
			}
			last.Enqueue(1, accept)
			last.Enqueue(2<<20, accept)
			sent[flooders] = 2
			m.Loop.RunPending()
			// It sent last, but waits for no more than one turn of each other client.
			if at := slices.IndexFunc(slots, func(x *Slot) bool { return x.session == last }); at < 0 || at > flooders*maxTurn {
				t.Errorf("the client that sends a short command was accepted at place %d", at)
			}
			for _, x := range slots {
				x.SetResponse([]byte("answer"))
			}
			m.Loop.RunPending()
			for i, c := range conns {
				if c.closed > 0 || c.responses != sent[i] || sent[i] > maxUnanswered || sent[i] == 0 {
					t.Errorf("connection %d: %d responses to %d commands, closed %d times", i, c.responses, sent[i], c.closed)
				}
				if i < flooders && c.resumed == 0 {
					t.Errorf("connection %d is not read again", i)
				}
			}
			if conns[flooders].refusals != 1 {
				t.Errorf("%d refusals of the command for which there is no memory", conns[flooders].refusals)
			}
			if used := usedMemory(budget); used != 0 {
				t.Errorf("%d bytes are still held", used)
			}
		})
	}
}

// Guards against hundreds of large responses at once: requests are refused while those before them may fill the memory, and
// the size that is expected follows the responses.
func TestExpectedResponsesAreBounded(t *testing.T) {
	const clients, value = 400, 64 << 10
	budget := membudget.New(16 << 20) // responses may have 5 MiB
	m := newTestManager(&fakeClock{1000 * ms}, budget)
	var accepted []request.Client
	m.Submit = func(q request.Query, _ aspenshed.Nanos) *request.Request {
		accepted = append(accepted, q.Client)
		return nil
	}
	shed := 0
	m.CountShed = func() { shed++ }
	for round := range 3 {
		accepted, shed = nil, 0
		for range clients {
			m.Open(&countingConn{}, encodeValue).Enqueue(100, func(x *Slot) { x.Submit(request.Query{}, nil, 0, encodeValue) })
		}
		m.Loop.RunPending()
		if most := int(budget.Limit(membudget.Responses)) / value; round > 0 && len(accepted) > most || len(accepted)+shed != clients || len(accepted) == 0 {
			t.Errorf("round %d: %d accepted, %d refused, at most %d may be accepted", round, len(accepted), shed, most)
		}
		for _, c := range accepted {
			c.Respond(request.Response{Status: request.Served, Value: make([]byte, value)})
		}
	}
	if used := usedMemory(budget); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
	// A client whose own responses are short is not refused for the long ones of others.
	short := m.Open(&countingConn{}, encodeValue)
	for range 200 {
		short.observeResponse(0, 100)
	}
	if got := short.expectedResponse(0); got != minResponseSize {
		t.Errorf("%d bytes are expected of a client with short responses", got)
	}
	short.observeResponse(0, value)
	if got := m.Open(&countingConn{}, encodeValue).expectedResponse(0); got < value/2 {
		t.Errorf("%d bytes are expected of a new client after a long response", got)
	}
}

// Commands of a client that has left are not taken any more, although they were read before and the loop has not been told.
func TestCommandsOfALeftClientAreNotTaken(t *testing.T) {
	budget := membudget.New(16 << 20)
	m := newTestManager(&fakeClock{1000 * ms}, budget)
	s := m.Open(&countingConn{}, encodeStatus)
	m.Loop.RunPending()
	taken := 0
	for range maxUnanswered {
		s.Enqueue(100, func(*Slot) { taken++ })
	}
	s.left.Store(true)
	m.Loop.RunPending()
	if taken != 0 || usedMemory(budget) != 0 {
		t.Errorf("%d commands taken, %d bytes still held", taken, usedMemory(budget))
	}
	s.ClientClosed()
	m.Loop.RunPending()
	if taken != 0 || usedMemory(budget) != 0 || m.SessionCount() != 0 {
		t.Errorf("%d commands taken, %d bytes still held, %d sessions", taken, usedMemory(budget), m.SessionCount())
	}
}

// Input after a fatal error is neither read nor parsed.
func TestNothingIsReadAfterAFatalError(t *testing.T) {
	m := newTestManager(&fakeClock{1000 * ms}, membudget.New(16<<20))
	conn := &countingConn{}
	s := m.Open(conn, encodeStatus)
	s.Fatal([]byte("an error"), "noise")
	if size := s.ReadSize(100); size != 0 || !s.InputEnded() {
		t.Errorf("%d bytes may be read", size)
	}
	for range 1000 {
		s.Fatal([]byte("an error"), "noise")
		s.Enqueue(1, func(*Slot) { t.Error("a command was taken") })
	}
	m.Loop.RunPending()
	if conn.responses != 1 || conn.closed != 1 {
		t.Errorf("%d responses, closed %d times", conn.responses, conn.closed)
	}
}
