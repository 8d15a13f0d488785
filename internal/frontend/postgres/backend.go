package postgres

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/assembler"
	"aspenshed/internal/protocol/pgwire"
	"aspenshed/internal/protocol/sqlcomment"
)

// maxResponse is the longest message accepted. The protocol limits values to 64 KiB, but databases were seen to send
// 400 KB; longer messages are treated as malformed.
const maxResponse = 512 << 10

// maxClockAhead is how far a member's clock may be ahead of ours; the router finds out by how much it is. A machine's clock
// may have been set to another time zone.
const maxClockAhead = aspenshed.Nanos(25 * 3600e9)

// Backend opens connections to databases that speak the platform's protocol.
type Backend struct {
	Net    *netio.Net
	Loop   *eventloop.Loop
	Budget *membudget.Budget // counts responses that are not complete
}

// backendConn is one connection to a database. The poller's goroutine owns the parser state, the loop the state of what
// was sent; they communicate through the loop's mailbox and pending.
type backendConn struct {
	loop    *eventloop.Loop
	events  request.ConnectionEvents
	conn    *netio.Conn
	reader  pgwire.Reader
	pending session.PendingResponses
	memory  *membudget.Account // of the response that is not complete

	// Owned by the poller.
	ready    bool
	expected byte // type of the next message of the current response; 0: no response has begun
	partialResponse
	completed []completeResponse // responses completed by the bytes being parsed

	// Owned by the loop.
	sent     bool   // a statement or probe is in flight
	lastByte []byte // of the statement: withheld until the check response arrives
	timeout  *eventloop.Timer
	closed   bool
}

// partialResponse is the received part of a response. None of it is used before the response is complete.
type partialResponse struct {
	rows        []byte // messages that are forwarded to the client
	bodyBytes   int    // that are counted for rows
	row         string
	params      map[string]string
	serverError *pgwire.Error
}

// completeResponse is a complete response and the kind of command that it answers.
type completeResponse struct {
	request.Result
	kind int
}

// The kinds of pending responses.
const (
	pendingStatement = iota + 1
	pendingProbe
	pendingCheck
)

var (
	errMalformedResponse = errors.New("malformed response")
	errUnsolicited       = errors.New("bytes that belong to no response")

	errNoMemoryForResponse = errors.New("no memory for the response")
)

// Open dials. The timeout covers the time until the database is ready for a statement.
func (b *Backend) Open(address string, connectTimeout aspenshed.Nanos, probe bool,
	events request.ConnectionEvents) (request.Connection, error) {
	l := &backendConn{loop: b.Loop, events: events, reader: pgwire.Reader{MaxSize: maxResponse}, expected: 'R'}
	l.limitMemory(b.Budget)
	conn, err := b.Net.Dial(address, time.Duration(connectTimeout), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.timeout = b.Loop.At(b.Loop.Now()+connectTimeout, func() {
		if !l.closed {
			l.down(fmt.Errorf("%w: not ready within the connect timeout", netio.ErrRefused))
		}
	})
	return l, nil
}

// limitMemory has incomplete responses counted in a budget.
func (l *backendConn) limitMemory(budget *membudget.Budget) {
	l.memory = budget.NewAccount(membudget.Received, session.GuaranteedResponseBytes)
	l.reader.Limits = assembler.Limits{Reserve: l.memory.Reserve}
}

// Send writes an empty query, then the statement with its d field updated, but without its last byte. The response to
// the empty query shows that the connection works and that no stray bytes preceded it. Until the last byte is sent, a
// lost connection proves that nothing has run.
func (l *backendConn) Send(statement any, timeout aspenshed.Nanos) bool {
	sql := pgwire.QueryMessage(statement.(sqlcomment.Statement).WithTimeout(int64(timeout) / 1e6))
	l.lastByte = sql[len(sql)-1:]
	l.pending.Add(pendingCheck)
	return l.conn.Write(append(pgwire.QueryMessage(""), sql[:len(sql)-1]...)) == nil
}

// sendLastByte sends the withheld last byte of the statement.
func (l *backendConn) sendLastByte() {
	if !l.events.AllowSend() {
		return
	}
	l.pending.Add(pendingStatement)
	l.sent = true
	if l.conn.Write(l.lastByte) != nil {
		l.sent = false
		l.down(netio.ErrClosed)
	}
}

// Probe queries the load report.
func (l *backendConn) Probe() bool {
	l.sent = true
	l.pending.Add(pendingProbe)
	return l.conn.Write(pgwire.QueryMessage("SHOW health")) == nil
}

// MayHaveSent reports whether a statement may have been sent.
func (l *backendConn) MayHaveSent() bool { return l.sent }

// Close closes the connection; no event follows.
func (l *backendConn) Close() {
	l.closed = true
	l.loop.StopTimer(l.timeout)
	l.conn.Close()
	l.memory.Close()
}

// Connected sends the startup message, on the loop as Connected may run before Dial has returned.
func (l *backendConn) Connected() {
	l.loop.Post(func() { _ = l.conn.Write(pgwire.StartupMessage("web", "orders")) })
}

// Closed is called when the connection ends other than by Close.
func (l *backendConn) Closed(err error) { l.loop.Post(func() { l.down(err) }) }

func (l *backendConn) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(session.ClassifyLoss(l.sent, err), err)
}

// Data parses received bytes; only complete responses reach the loop. Malformed input closes the connection, and so do
// unsolicited bytes, as they could be taken for the next response.
func (l *backendConn) Data(b []byte) {
	err := l.reader.Feed(b, l.message)
	if err == nil && l.ready && l.pending.Next() == 0 && l.reader.HasPartial() {
		err = errUnsolicited
	}
	completed := l.completed
	l.completed = nil
	if len(completed) == 0 && err == nil {
		return
	}
	l.loop.Post(func() {
		for i, r := range completed {
			// The last response is valid, but the connection is not.
			r.CloseConnection = r.CloseConnection || err != nil && i == len(completed)-1
			if err == nil || r.kind != pendingCheck { // after a malformed check the statement is not sent
				l.deliver(r)
			}
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *backendConn) message(m pgwire.Message) error {
	if m.Dropped {
		return errNoMemoryForResponse
	}
	kind := l.pending.Next()
	switch {
	case !l.ready || l.expected != 0:
	case kind == 0:
		return errUnsolicited
	case kind == pendingCheck:
		l.expected = 'I'
	default:
		l.expected = 'T'
	}
	switch {
	case m.Type == 'N': // notices are ignored
	case m.Type == 'S':
		k, v, ok := pgwire.ParseParameterStatus(m.Body)
		if !ok {
			return errMalformedResponse
		}
		if k == "recovery" || k == "lsn_ms" || k == "health" {
			if l.params == nil {
				l.params = map[string]string{}
			}
			l.params[k] = v
		}
	case m.Type == 'K' && !l.ready:
	case m.Type == 'E' && l.expected != 'Z' && kind != pendingCheck:
		e, ok := pgwire.ParseError(m.Body)
		if !ok {
			return errMalformedResponse
		}
		l.serverError, l.expected = &e, 'Z'
		if e.Severity == "FATAL" || e.Severity == "PANIC" { // no ReadyForQuery follows
			l.complete(kind, true)
		}
	case m.Type != l.expected:
		return errMalformedResponse
	default:
		return l.advance(m, kind)
	}
	return nil
}

// advance handles the expected message: R Z at startup, then T D C Z for a row, I Z for a check.
func (l *backendConn) advance(m pgwire.Message, kind int) error {
	ok := true
	switch m.Type {
	case 'R':
		l.expected, ok = 'Z', string(m.Body) == "\x00\x00\x00\x00"
	case 'T':
		l.expected, ok = 'D', pgwire.IsSingleColumn(m.Body)
	case 'D':
		l.expected = 'C'
		l.row, ok = pgwire.ParseSingleColumn(m.Body)
		if kind != pendingProbe {
			l.row = "" // it is forwarded as part of rows
		}
	case 'C':
		_, rest, whole := pgwire.ReadCString(m.Body)
		l.expected, ok = 'Z', whole && len(rest) == 0
	case 'I':
		l.expected, ok = 'Z', len(m.Body) == 0
	case 'Z':
		if len(m.Body) != 1 || m.Body[0] != 'I' {
			return errMalformedResponse
		}
		if l.ready {
			l.complete(kind, false)
		} else {
			l.ready = true
			l.loop.Post(l.up)
		}
		l.partialResponse, l.expected = partialResponse{}, 0
		return nil
	}
	if !ok {
		return errMalformedResponse
	}
	if kind == pendingStatement {
		if !l.memory.Reserve(len(m.Body)) {
			return errNoMemoryForResponse
		}
		l.bodyBytes += len(m.Body)
		l.rows = pgwire.AppendMessage(l.rows, m.Type, string(m.Body))
	}
	return nil
}

func (l *backendConn) up() {
	if !l.closed {
		l.loop.StopTimer(l.timeout)
		l.events.Ready()
	}
}

// complete records a complete response for the loop.
func (l *backendConn) complete(kind int, fatal bool) {
	r := request.Result{CloseConnection: fatal, Outcome: aspenshed.Served, Value: l.rows}
	if e := l.serverError; e != nil {
		r.Outcome, r.Detail, r.Value = outcomeForCode(e.Code, l.ready), e.Code+" "+e.Message, *e
	}
	switch l.params["recovery"] {
	case "off":
		r.Role = aspenshed.RolePrimary
	case "on":
		r.Role = aspenshed.RoleReplica
	}
	now := l.loop.Now()
	if ms, err := strconv.ParseInt(l.params["lsn_ms"], 10, 64); err == nil && ms > 0 && ms <= int64(now+maxClockAhead)/1e6 {
		r.Position = eventloop.FromUnixMillis(ms)
	}
	health := l.params["health"]
	if kind == pendingProbe {
		health = l.row
	}
	r.Report = parseReport(health, now)
	l.pending.Done()
	l.memory.Reserve(-l.bodyBytes)
	l.completed = append(l.completed, completeResponse{r, kind})
}

func (l *backendConn) deliver(e completeResponse) {
	switch {
	case l.closed:
	case e.kind == pendingCheck:
		l.sendLastByte()
	default:
		l.sent = false
		l.events.Done(e.Result)
	}
}

// outcomeForCode maps a database's error code. ready: the database had accepted the connection, so a statement may have
// been sent.
func outcomeForCode(code string, ready bool) aspenshed.Outcome {
	switch {
	case code == "53300":
		return aspenshed.Overloaded
	case !ready:
		return aspenshed.ConnectFailed
	case code == "25006" || code == "72000":
		return aspenshed.Ineligible
	case code[:2] == "42" || code[:2] == "22" || code[:2] == "23" || code == "08P01": // would fail on any member
		return aspenshed.StatementError
	}
	return aspenshed.ErrorResponse // XX000 and all others: the statement may have run
}

// parseReport parses a load report such as x0=1767225600.123,x1=1,queue=3. A report that is malformed or names a time
// far in the future counts as none, as a part of it could wrongly make a member seem fresh or the primary.
func parseReport(s string, now aspenshed.Nanos) (r aspenshed.Report) {
	if s == "" {
		return r
	}
	for _, part := range strings.Split(s, ",") {
		k, v, _ := strings.Cut(part, "=")
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= 0 && f <= float64(now+maxClockAhead)/1e9) || k == "x1" && f != 0 && f != 1 {
			return aspenshed.Report{}
		}
		switch k {
		case "x0":
			r.HasPosition, r.Position = true, aspenshed.Nanos(math.Floor(f*1e3))*1e6
		case "x1":
			r.HasRole, r.Primary = true, f == 1
		case "queue", "backlog":
			r.HasQueued, r.Queued = true, f
		case "inflight", "outstanding":
			r.HasInFlight, r.InFlight = true, f
		}
	}
	return r
}
