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
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/pgwire"
	"aspenshed/internal/protocol/sqlcomment"
)

// maxResponse is the longest message taken. The protocol speaks of values of 64 KiB, but databases were seen to send
// 400 KB (day rate+silent+leave); longer ones are noise.
const maxResponse = 512 << 10

// maxClockAhead is how far a member's clock may be before ours.
const maxClockAhead = aspenshed.Nanos(1e9)

// Backend opens links to databases that speak the platform's protocol.
type Backend struct {
	Net  *netio.Net
	Loop *eventloop.Loop
}

// backendConn is one connection to a database. The poller's goroutine owns the parser
// state, the loop what was sent; they meet in the loop's mailbox and in owed.
type backendConn struct {
	loop    *eventloop.Loop
	events  request.ConnectionEvents
	conn    *netio.Conn
	reader  pgwire.Reader
	pending session.PendingResponses

	// The poller's.
	ready    bool
	expected byte // type of the message that the answer at hand goes on with; 0: none is at hand
	partialResponse
	completed []completeResponse // answers that the bytes at hand have brought to their end

	// The loop's.
	sent     bool   // a statement is out
	lastByte []byte // the last byte of one that is about to leave
	timeout  *eventloop.Timer
	closed   bool
}

// partialResponse is what has come of one so far. Nothing of it is believed before its end.
type partialResponse struct {
	rows        []byte // messages that pass on to the client
	row         string
	params      map[string]string
	serverError *pgwire.Error
}

// completeResponse is a whole answer and what it was owed for.
type completeResponse struct {
	request.Result
	kind int
}

// What a link may be owed.
const (
	pendingStatement = iota + 1
	pendingProbe
	pendingCheck
)

var (
	errMalformedResponse = errors.New("spoilt answer")
	errUnsolicited       = errors.New("bytes that belong to no answer")
)

// Open dials. The limit holds until the database is ready for a statement.
func (b *Backend) Open(address string, limit aspenshed.Nanos, probe bool, ev request.ConnectionEvents) (request.Connection, error) {
	l := &backendConn{loop: b.Loop, events: ev, reader: pgwire.Reader{MaxSize: maxResponse}, expected: 'R'}
	conn, err := b.Net.Dial(address, time.Duration(limit), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.timeout = b.Loop.At(b.Loop.Now()+limit, func() {
		if !l.closed {
			l.down(fmt.Errorf("%w: not up within the limit", netio.ErrRefused))
		}
	})
	return l, nil
}

// Send writes an empty query and the statement, only d in it changed, but for its last byte. The empty query's answer
// shows that the link is alive and that nothing else came ahead of it: till then a break proves that nothing has run.
func (l *backendConn) Send(statement any, wait aspenshed.Nanos) bool {
	sql := pgwire.QueryMessage(statement.(sqlcomment.Statement).WithTimeout(int64(wait) / 1e6))
	l.lastByte = sql[len(sql)-1:]
	l.pending.Add(pendingCheck)
	return l.conn.Write(append(pgwire.QueryMessage(""), sql[:len(sql)-1]...)) == nil
}

// sendLastByte lets the statement's last byte go.
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

// Probe asks for the load report.
func (l *backendConn) Probe() bool {
	l.sent = true
	l.pending.Add(pendingProbe)
	return l.conn.Write(pgwire.QueryMessage("SHOW health")) == nil
}

// MayHaveSent tells whether a statement may have left.
func (l *backendConn) MayHaveSent() bool { return l.sent }

// Close ends the connection without another event.
func (l *backendConn) Close() {
	l.closed = true
	l.loop.StopTimer(l.timeout)
	l.conn.Close()
}

// Up greets the database. It may run before Dial has returned.
func (l *backendConn) Up() {
	l.loop.Post(func() { _ = l.conn.Write(pgwire.StartupMessage("web", "orders")) })
}

// Closed is called when the connection ends by itself.
func (l *backendConn) Closed(err error) { l.loop.Post(func() { l.down(err) }) }

func (l *backendConn) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(request.ClassifyLoss(l.sent, errors.Is(err, netio.ErrRefused)), err)
}

// Data parses; only whole answers reach the loop. What can't be read ends the
// link, and so does what comes unasked: it could be taken for the next answer.
func (l *backendConn) Data(b []byte) {
	err := l.reader.Feed(b, l.message)
	if err == nil && l.ready && l.pending.Next() == 0 && l.reader.HasPartial() {
		err = errUnsolicited
	}
	whole := l.completed
	l.completed = nil
	if len(whole) == 0 && err == nil {
		return
	}
	l.loop.Post(func() {
		for i, r := range whole {
			r.CloseConnection = r.CloseConnection || err != nil && i == len(whole)-1 // the answer is good, the link is not
			if err == nil || r.kind != pendingCheck {                                // behind a spoilt check no statement leaves
				l.deliver(r)
			}
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *backendConn) message(m pgwire.Message) error {
	what := l.pending.Next()
	switch {
	case !l.ready || l.expected != 0:
	case what == 0:
		return errUnsolicited
	case what == pendingCheck:
		l.expected = 'I'
	default:
		l.expected = 'T'
	}
	switch {
	case m.Type == 'N': // notices get passed over
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
	case m.Type == 'E' && l.expected != 'Z' && what != pendingCheck:
		e, ok := pgwire.ParseError(m.Body)
		if !ok {
			return errMalformedResponse
		}
		l.serverError, l.expected = &e, 'Z'
		if e.Severity == "FATAL" || e.Severity == "PANIC" { // needs no ReadyForQuery
			l.complete(what, true)
		}
	case m.Type != l.expected:
		return errMalformedResponse
	default:
		return l.advance(m, what)
	}
	return nil
}

// advance takes the message that was due: R Z at the start, then T D C Z for a row, I Z for a check.
func (l *backendConn) advance(m pgwire.Message, what int) error {
	ok := true
	switch m.Type {
	case 'R':
		l.expected, ok = 'Z', string(m.Body) == "\x00\x00\x00\x00"
	case 'T':
		l.expected, ok = 'D', pgwire.IsSingleColumn(m.Body)
	case 'D':
		l.expected = 'C'
		l.row, ok = pgwire.ParseSingleColumn(m.Body)
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
			l.complete(what, false)
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
	if what == pendingStatement {
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

// complete keeps a whole answer for the loop.
func (l *backendConn) complete(what int, last bool) {
	r := request.Result{CloseConnection: last, Outcome: aspenshed.Served, Value: l.rows}
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
	if what == pendingProbe {
		health = l.row
	}
	r.Report = parseReport(health, now)
	l.pending.Done()
	l.completed = append(l.completed, completeResponse{r, what})
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

// outcomeForCode maps a database's error code. ready: it had accepted the connection, so a statement may be out.
func outcomeForCode(code string, ready bool) aspenshed.Outcome {
	switch {
	case code == "53300":
		return aspenshed.Overloaded
	case !ready:
		return aspenshed.ConnectFailed
	case code == "25006" || code == "72000":
		return aspenshed.Ineligible
	case code[:2] == "42" || code[:2] == "22" || code[:2] == "23" || code == "08P01": // no member would do better
		return aspenshed.StatementError
	}
	return aspenshed.ErrorResponse // XX000 and whatever else: it may have run
}

// parseReport reads a load report: x0=1767225600.123,x1=1,queue=3. One that can't be read, or speaks of what
// is still to come, counts as none: half of it could make a member seem fresh or a primary that is neither.
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
