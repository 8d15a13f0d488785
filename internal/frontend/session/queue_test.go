package session

import (
	"math/rand/v2"
	"slices"
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/membudget"
)

const largestValue = 2 * 64 << 10 // of 64 KiB, in hex

// backend keeps what a manager submits until it is answered.
type backend struct {
	manager *Manager
	queries []request.Query
}

func newBackend(m *Manager) *backend {
	b := &backend{manager: m}
	m.Submit = func(q request.Query, _ aspenshed.Nanos) *request.Request {
		b.queries = append(b.queries, q)
		return nil
	}
	return b
}

// answer answers the query at an index with a value of size bytes.
func (b *backend) answer(i, size int) {
	q := b.queries[i]
	b.queries = append(b.queries[:i:i], b.queries[i+1:]...)
	q.Client.Respond(request.Response{Status: request.Served, Value: make([]byte, size)})
	b.manager.Loop.RunPending()
}

// encodeValue encodes a value as itself, and the end of a query that was not served by its first letter.
func encodeValue(r request.Response) []byte {
	if r.Status == request.Served {
		return r.Value.([]byte)
	}
	return encodeStatus(r)
}

// sendQueries has a client send commands at once, each with a query.
func sendQueries(s *Session, count int) {
	for range count {
		s.Enqueue(100, func(x *Slot) { x.Submit(request.Query{Timeout: 1e15}, nil, s.manager.Loop.Now(), encodeValue) })
	}
	s.manager.Loop.RunPending()
}

// Guards against a connection that is closed with all that was taken on it, as the responses behind a missing one are larger
// than expected: each command gets its response, and responses stay within their share of the memory.
func TestResponsesBehindMissingOneAreBounded(t *testing.T) {
	for _, memoryMB := range []int64{4, 36, 84} {
		budget := membudget.New(memoryMB << 20)
		clock := &fakeClock{1000 * ms}
		m := newTestManager(clock, budget)
		b := newBackend(m)
		conn := &countingConn{}
		s := m.Open(conn, encodeStatus)
		sendQueries(s, 1)
		b.answer(0, 100) // the sizes of responses are underestimated from now on
		sendQueries(s, maxUnanswered)
		longest := 0
		for len(b.queries) > 0 {
			longest = max(longest, len(b.queries))
			for len(b.queries) > 1 { // the first comes last
				b.answer(1, largestValue)
			}
			if got, most := budget.Used(membudget.Responses), budget.Limit(membudget.Responses)/waitingShareDivisor; got > most {
				t.Fatalf("%d MB: %d bytes of responses are held, %d may wait", memoryMB, got, most)
			}
			clock.now += 3000 * ms
			b.answer(0, largestValue)
		}
		if conn.closed != 0 || conn.responses != maxUnanswered+1 || conn.refusals != 0 || usedMemory(budget) != 0 {
			t.Errorf("%d MB: closed %d times, %d responses, %d refusals, %d bytes still held", memoryMB, conn.closed, conn.responses, conn.refusals,
				usedMemory(budget))
		}
		if longest < 2 {
			t.Errorf("%d MB: queries were submitted one by one", memoryMB)
		}
	}
}

// Guards against memory exhaustion by responses larger than the protocols allow: where there is no memory for them behind a
// missing one, their command fails, and the connection stays.
func TestTooLargeResponsesBehindMissingOneFail(t *testing.T) {
	const limit, largest = 64 << 20, 4 << 20
	budget := membudget.New(limit * 16 / 4) // responses may have four sixteenths
	m := newTestManager(&fakeClock{1000 * ms}, budget)
	b := newBackend(m)
	conn := &countingConn{}
	sendQueries(m.Open(conn, encodeStatus), maxUnanswered)
	for len(b.queries) > 0 {
		for len(b.queries) > 1 {
			b.answer(1, largest)
			if got := budget.Used(membudget.Responses); got > limit {
				t.Fatalf("%d bytes of responses are held", got)
			}
		}
		b.answer(0, largest)
	}
	if conn.closed != 0 || conn.responses != maxUnanswered || conn.failures == 0 || conn.failures == maxUnanswered || usedMemory(budget) != 0 {
		t.Errorf("closed %d times, %d responses, %d of them failures, %d bytes still held", conn.closed, conn.responses, conn.failures, usedMemory(budget))
	}
}

// The memory for responses is bounded over all connections too, none of which uses much: many clients with a few commands each
// get all their responses, in any order of the databases' answers.
func TestResponsesOfManyClientsAreBounded(t *testing.T) {
	const clients, commands, seed = 200, 10, 53
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	budget := membudget.New(36 << 20)
	m := newTestManager(&fakeClock{1000 * ms}, budget)
	b := newBackend(m)
	var conns []*countingConn
	var sessions []*Session
	for range clients {
		conn := &countingConn{}
		conns, sessions = append(conns, conn), append(sessions, m.Open(conn, encodeStatus))
		for range 100 {
			sessions[len(sessions)-1].observeResponse(0, 100)
		}
	}
	for _, s := range sessions {
		sendQueries(s, commands)
	}
	for len(b.queries) > 0 {
		b.answer(random.IntN(len(b.queries)), largestValue)
		if got := budget.Used(membudget.Responses); got > budget.Limit(membudget.Responses) {
			t.Fatalf("%d bytes of responses are held", got)
		}
	}
	for i, conn := range conns {
		if conn.closed != 0 || conn.responses != commands || conn.failures != 0 {
			t.Errorf("client %d: closed %d times, %d responses, %d of them failures", i, conn.closed, conn.responses, conn.failures)
		}
	}
	if usedMemory(budget) != 0 || m.QueuedCount() != 0 {
		t.Errorf("%d bytes still held, %d queries queued", usedMemory(budget), m.QueuedCount())
	}
}

// A query that was queued behind earlier responses has its time from then on, but gets its response no later than the last of the
// pipelined queries would have had it; and its session's last commit keeps its place in time.
func TestTimeBehindEarlierResponsesDoesNotCount(t *testing.T) {
	clock := &fakeClock{1000 * ms}
	m := newTestManager(clock, membudget.New(4<<20))
	b := newBackend(m)
	var arrivals []aspenshed.Nanos
	submit := m.Submit
	m.Submit = func(q request.Query, arrived aspenshed.Nanos) *request.Request {
		arrivals = append(arrivals, arrived)
		return submit(q, arrived)
	}
	conn := &countingConn{}
	s := m.Open(conn, encodeStatus)
	for _, timeout := range []aspenshed.Nanos{2000 * ms, 500 * ms, 500 * ms, 1900 * ms, 100 * ms} { // one is next, there is room for one behind it
		s.Enqueue(100, func(x *Slot) {
			x.Submit(request.Query{SinceCommit: 50 * ms, Timeout: timeout}, nil, 990*ms, encodeValue)
		})
	}
	m.Loop.RunPending()
	if len(b.queries) != 2 || m.QueuedCount() != 3 {
		t.Fatalf("%d queries were submitted, %d are queued", len(b.queries), m.QueuedCount())
	}
	clock.now += 700 * ms
	b.answer(0, 100)
	b.answer(0, 100)
	if want := []aspenshed.Nanos{990 * ms, 990 * ms, 1700 * ms, 1700 * ms}; !slices.Equal(arrivals, want) {
		t.Errorf("arrivals %v", arrivals)
	}
	for i, timeout := range []aspenshed.Nanos{500 * ms, 1290 * ms} {
		if got := b.queries[i]; got.SinceCommit != 750*ms || got.Timeout != timeout {
			t.Errorf("the last commit of query %d is %d ms old, %d ms are left", i, got.SinceCommit/ms, got.Timeout/ms)
		}
	}
	clock.now += 1290 * ms // when the first would have had its response at the latest
	b.answer(0, 100)
	b.answer(0, 100)
	if len(b.queries) != 0 || conn.responses != 5 || conn.refusals != 1 {
		t.Errorf("%d queries pending, %d responses, %d refusals", len(b.queries), conn.responses, conn.refusals)
	}
}

// A drain answers what is queued with a refusal, as nothing of it has run.
func TestQueuedQueriesAreRefused(t *testing.T) {
	m := newTestManager(&fakeClock{1000 * ms}, membudget.New(4<<20))
	b := newBackend(m)
	conn := &countingConn{}
	sendQueries(m.Open(conn, encodeStatus), 10)
	submitted := len(b.queries)
	m.RefuseQueued("the gateway ends")
	if m.QueuedCount() != 0 {
		t.Errorf("%d queries are queued", m.QueuedCount())
	}
	for len(b.queries) > 0 {
		b.answer(0, 100)
	}
	if conn.closed != 0 || conn.responses != 10 || conn.refusals != 10-submitted {
		t.Errorf("closed %d times, %d responses, %d refusals; %d queries were submitted", conn.closed, conn.responses, conn.refusals, submitted)
	}
}

// Guards against connections that are closed with requests under way: of all reasons for which a connection is closed, only
// those may meet them after which no response can reach the client.
func TestNoConnectionIsClosedWithRequestsUnderWay(t *testing.T) {
	for reason, provoke := range map[request.CloseReason]func(*Session, *slowConn, *fakeClock){
		request.ClosedByClient:    func(s *Session, _ *slowConn, _ *fakeClock) { s.ClientClosed() },
		request.ClosedWriteFailed: func(_ *Session, c *slowConn, _ *fakeClock) { c.broken = true },
		request.ClosedInvalid:     func(s *Session, _ *slowConn, _ *fakeClock) { s.Fatal([]byte("an error"), "noise") },
		request.ClosedUnread:      func(_ *Session, c *slowConn, _ *fakeClock) { c.reads = false },
		request.ClosedIdle:        func(_ *Session, _ *slowConn, clock *fakeClock) { clock.now += 10 * unreadTimeout },
		request.ClosedReclaimed: func(s *Session, _ *slowConn, clock *fakeClock) {
			s.manager.Limits.ReclaimAbove = 1
			s.manager.Open(&slowConn{}, encodeStatus)
			clock.now += 1
		},
		request.ClosedDraining: func(s *Session, _ *slowConn, _ *fakeClock) { s.manager.CloseIdle() },
	} {
		t.Run(reason.String(), func(t *testing.T) {
			clock := &fakeClock{1000 * ms}
			m := newTestManager(clock, membudget.New(4<<20))
			b := newBackend(m)
			unanswered := map[request.CloseReason]int{}
			m.OnClose = func(reason request.CloseReason, pending int) { unanswered[reason] += pending }
			conn := &slowConn{reads: true}
			s := m.Open(conn, encodeStatus)
			sendQueries(s, 10)
			provoke(s, conn, clock)
			for step := range 300 {
				clock.now += sweepInterval
				m.Loop.RunPending()
				if step > 5 && len(b.queries) > 0 {
					b.answer(0, 100)
				}
			}
			if _, known := unanswered[reason]; !known && reason != request.ClosedIdle && reason != request.ClosedReclaimed {
				t.Errorf("it was not closed for that reason, but %v", unanswered)
			}
			for got, pending := range unanswered {
				if pending > 0 && !got.MayLeaveUnanswered() {
					t.Errorf("closed for %s with %d commands without a response", got, pending)
				}
			}
			if !reason.MayLeaveUnanswered() && conn.written < 10 {
				t.Errorf("%d of 10 commands have their response", conn.written)
			}
			if used := usedMemory(m.Budget); used != 0 {
				t.Errorf("%d bytes are still held", used)
			}
		})
	}
}

// Guards against responses that are lost at the end of the program: at a drain a client that reads late gets all of them, those of
// commands that were queued too, and its connection is closed only then.
func TestDrainSendsResponsesThatWaitForTheClient(t *testing.T) {
	const commands = 10
	m := newTestManager(&fakeClock{1000 * ms}, membudget.New(4<<20))
	b := newBackend(m)
	conn := &slowConn{}
	s := m.Open(conn, encodeStatus)
	sendQueries(s, commands)
	for len(b.queries) > 0 {
		b.answer(0, 100)
	}
	m.CloseIdle()
	m.RefuseQueued("the gateway ends")
	for conn.written < commands {
		written := conn.written
		if conn.closed || m.CloseIdle() != 1 {
			t.Fatalf("closed after %d of %d responses", written, commands)
		}
		conn.unsent = 0 // the client reads on
		s.sent()
		m.Loop.RunPending()
		if conn.written == written {
			t.Fatalf("nothing is written after %d of %d responses", written, commands)
		}
	}
	if conn.closed {
		t.Error("closed before the last response was sent")
	}
	conn.unsent = 0
	if m.CloseIdle(); !conn.closed {
		t.Error("still open")
	}
}
