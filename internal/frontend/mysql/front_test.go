package mysql

import (
	"encoding/binary"
	"strings"
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/mysqlwire"
)

// countingConn counts the packets written to it.
type countingConn struct{ ok, refused, failed int }

func (c *countingConn) Write(b []byte) error {
	switch {
	case b[4] != 0xff:
		c.ok++
	case mysqlwire.ParseError(b[4:]).Code == 1213:
		c.refused++
	default:
		c.failed++
	}
	return nil
}
func (c *countingConn) Unsent() int               { return 0 }
func (c *countingConn) Resume()                   {}
func (c *countingConn) Peer() string              { return "" }
func (c *countingConn) Close()                    {}
func (c *countingConn) Shutdown(func() bool) bool { return true }

// newTestClient returns a client that is logged in, of a front end whose backend answers everything with OK.
func newTestClient(budget *membudget.Budget) (*clientConn, *countingConn, *Front) {
	loop := eventloop.NewLoop(eventloop.NewClock())
	f := &Front{Manager: session.Manager{Loop: loop, Budget: budget, Limits: session.Limits{CommandTimeout: 60e9, IdleTimeout: 60e9}, CountRejected: func(string, string) {},
		Settings: &aspenshed.Settings{Classes: []aspenshed.Class{{Name: "read", Consistency: aspenshed.Eventual, RetrySafety: aspenshed.Safe},
			{Name: "write", Consistency: aspenshed.Write, RetrySafety: aspenshed.Unsafe}}},
		Submit: func(q request.Query, _ aspenshed.Nanos) *request.Request {
			q.Client.Respond(request.Response{Status: request.Served, Value: mysqlwire.OK(1)})
			return nil
		}},
		Defaults: Defaults{ReadClass: "read", WriteClass: "write", TimeoutMs: 1000}}
	conn := &countingConn{}
	s := &clientConn{front: f, session: f.Open(conn, f.encodeResponse), phase: awaitCommand, stmts: map[uint32]*preparedStmt{},
		reader: mysqlwire.Reader{MaxSize: maxPacket}}
	s.Input = session.NewInput(s.session, &s.reader.Assembler, s.Data)
	return s, conn, f
}

// send has the client send a command, and runs the loop.
func (s *clientConn) send(com byte, body ...[]byte) {
	s.Data(mysqlwire.Command(com, body...))
	s.front.Loop.RunPending()
}

func statementID(id uint32) []byte { return binary.LittleEndian.AppendUint32(nil, id) }

// Guards against memory exhaustion by what clients have the front end keep: prepared statements and long data. Beyond the budget
// they are refused, an execution that lacks a part too; all is given back when it is closed, reset or executed, and at the end of the
// connection.
func TestKeptMemoryIsBoundedAndGivenBack(t *testing.T) {
	budget := membudget.New(4 << 20)
	used := func() int64 { return budget.Used(membudget.Requests) }
	s, conn, _ := newTestClient(budget)
	statement := []byte("SELECT '" + strings.Repeat("x", 100_000) + "'")
	for range 20 {
		s.send(mysqlwire.ComStmtPrepare, statement)
	}
	if used() > budget.Limit(membudget.Requests) || conn.ok == 0 || conn.refused == 0 || conn.ok+conn.refused != 20 {
		t.Errorf("%d bytes are held, %d statements prepared, %d refused", used(), conn.ok, conn.refused)
	}
	s.send(mysqlwire.ComResetConnection)
	if used() != 0 {
		t.Errorf("after a reset %d bytes are held", used())
	}
	s.send(mysqlwire.ComStmtPrepare, []byte("INSERT INTO t VALUES (?)"))
	kept := used()
	*conn = countingConn{}
	part := make([]byte, 200_000)
	for range 10 {
		s.send(mysqlwire.ComStmtSendLongData, statementID(s.lastID), []byte{0, 0}, part[:80_000])
	}
	if used() > budget.Limit(membudget.Requests) || conn.ok+conn.refused+conn.failed != 0 {
		t.Errorf("%d bytes are held; long data got responses: %+v", used(), *conn)
	}
	s.send(mysqlwire.ComStmtExecute, statementID(s.lastID), []byte{0, 1, 0, 0, 0})
	if conn.refused != 1 || used() != kept {
		t.Errorf("an execution that lacks a part: %+v, %d bytes are held, want %d", *conn, used(), kept)
	}
	s.send(mysqlwire.ComStmtSendLongData, statementID(s.lastID), []byte{0, 0}, part)
	s.send(mysqlwire.ComStmtExecute, statementID(s.lastID), []byte{0, 1, 0, 0, 0})
	if conn.ok != 1 || used() != kept {
		t.Errorf("the next execution: %+v, %d bytes are held, want %d", *conn, used(), kept)
	}
	s.send(mysqlwire.ComStmtSendLongData, statementID(s.lastID), []byte{0, 0}, part)
	s.Released()
	if used() != 0 || budget.Used(membudget.Partial) != 0 || budget.Used(membudget.Responses) != 0 {
		t.Errorf("after the end %d bytes are held", used())
	}
}

// A packet for whose body there is no memory is refused in its turn; long data gets no response, but the execution that lacks it.
func TestDroppedPacketsKeepTheOrder(t *testing.T) {
	budget := membudget.New(4 << 20)
	s, conn, _ := newTestClient(budget)
	s.send(mysqlwire.ComStmtPrepare, []byte("INSERT INTO t VALUES (?)"))
	budget.Add(membudget.Partial, budget.Limit(membudget.Partial))
	sendInPieces := func(b []byte) {
		for _, half := range [][]byte{b[:len(b)/2], b[len(b)/2:]} {
			s.Data(half)
		}
		s.front.Loop.RunPending()
	}
	*conn = countingConn{}
	sendInPieces(mysqlwire.Command(mysqlwire.ComQuery, []byte("SELECT "+strings.Repeat("1", 50_000))))
	if conn.refused != 1 {
		t.Errorf("a query: %+v", *conn)
	}
	sendInPieces(mysqlwire.Command(mysqlwire.ComStmtSendLongData, statementID(s.lastID), []byte{0, 0}, make([]byte, 50_000)))
	if conn.refused+conn.ok+conn.failed != 1 {
		t.Errorf("long data got a response: %+v", *conn)
	}
	s.send(mysqlwire.ComStmtExecute, statementID(s.lastID), []byte{0, 1, 0, 0, 0})
	s.send(mysqlwire.ComPing)
	if conn.refused != 2 || conn.ok != 1 {
		t.Errorf("the execution and a ping: %+v", *conn)
	}
}

// Guards against memory exhaustion by the texts of prepared statements that connections to servers keep.
func TestPreparedTextsOnConnectionsAreBounded(t *testing.T) {
	const conns, size = 100, 64 << 10
	budget := membudget.New(16 << 20)
	unkept := 0
	var all []*backendConn
	for range conns {
		l := &backendConn{backend: &Backend{Loop: eventloop.NewLoop(eventloop.NewClock())}, conn: &netio.Conn{},
			memory: budget.NewAccount(membudget.Received, session.GuaranteedResponseBytes), prepared: map[string]mysqlwire.PrepareResponse{}}
		all = append(all, l)
		for id := range uint32(3) {
			sql := strings.Repeat("x", size) + string(rune('a'+id))
			for range 2 { // the second takes the first one's place
				l.keepPrepared(sql, mysqlwire.PrepareResponse{ID: id + 1})
			}
			if l.unkeptID != 0 {
				unkept++
				l.unkeptID = 0
			}
		}
	}
	if used := budget.Used(membudget.Received); used > budget.Limit(membudget.Received) || used < size || unkept == 0 {
		t.Errorf("%d bytes are held, %d statements were not kept", used, unkept)
	}
	for _, l := range all {
		l.Close()
	}
	if used := budget.Used(membudget.Received); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// Guards against a connection that is closed with all that was taken on it, as responses behind a missing one are larger than
// expected.
func TestResponsesBehindMissingOneArrive(t *testing.T) {
	const commands = 100
	s, conn, f := newTestClient(membudget.New(36 << 20))
	var queries []request.Query
	f.Submit = func(q request.Query, _ aspenshed.Nanos) *request.Request {
		queries = append(queries, q)
		return nil
	}
	answer := func(i, size int) {
		q := queries[i]
		queries = append(queries[:i:i], queries[i+1:]...)
		q.Client.Respond(request.Response{Status: request.Served, Value: append(mysqlwire.OK(1), make([]byte, size)...)})
		f.Loop.RunPending()
	}
	s.send(mysqlwire.ComQuery, []byte("SELECT 1"))
	answer(0, 100)
	for range commands {
		s.send(mysqlwire.ComQuery, []byte("SELECT 1"))
	}
	for len(queries) > 0 {
		for len(queries) > 1 {
			answer(1, 128<<10)
		}
		answer(0, 128<<10)
	}
	if conn.ok != commands+1 || f.SessionCount() != 1 {
		t.Errorf("%d of %d responses, %d connections open", conn.ok, commands+1, f.SessionCount())
	}
}
