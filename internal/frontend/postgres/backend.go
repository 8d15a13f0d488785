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

// maxAnswer is the longest message taken. The protocol speaks of values of 64 KiB, but databases were seen to send
// 400 KB (day rate+silent+leave); longer ones are noise.
const maxAnswer = 512 << 10

// ahead is how far a member's clock may be before ours.
const ahead = aspenshed.Nanos(1e9)

// Backend opens links to databases that speak the platform's protocol.
type Backend struct {
	Net  *netio.Net
	Loop *eventloop.Loop
}

// link is one connection to a database. The poller's goroutine owns the parser
// state, the loop what was sent; they meet in the loop's mailbox and in owed.
type link struct {
	loop    *eventloop.Loop
	ev      request.LinkEvents
	conn    *netio.Conn
	in      pgwire.Reader
	pending session.PendingResponses

	// The poller's.
	ready bool
	next  byte // type of the message that the answer at hand goes on with; 0: none is at hand
	answer
	whole []ended // answers that the bytes at hand have brought to their end

	// The loop's.
	sent   bool   // a statement is out
	rest   []byte // the last byte of one that is about to leave
	limit  *eventloop.Timer
	closed bool
}

// answer is what has come of one so far. Nothing of it is believed before its end.
type answer struct {
	rows   []byte // messages that pass on to the client
	row    string
	params map[string]string
	fault  *pgwire.Error
}

// ended is a whole answer and what it was owed for.
type ended struct {
	request.Result
	what int
}

// What a link may be owed.
const (
	forStatement = iota + 1
	forProbe
	forCheck
)

var (
	errSpoilt = errors.New("spoilt answer")
	errExtra  = errors.New("bytes that belong to no answer")
)

// Open dials. The limit holds until the database is ready for a statement.
func (b *Backend) Open(address string, limit aspenshed.Nanos, probe bool, ev request.LinkEvents) (request.Link, error) {
	l := &link{loop: b.Loop, ev: ev, in: pgwire.Reader{Max: maxAnswer}, next: 'R'}
	conn, err := b.Net.Dial(address, time.Duration(limit), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.limit = b.Loop.At(b.Loop.Now()+limit, func() {
		if !l.closed {
			l.down(fmt.Errorf("%w: not up within the limit", netio.ErrRefused))
		}
	})
	return l, nil
}

// Send writes an empty query and the statement, only d in it changed, but for its last byte. The empty query's answer
// shows that the link is alive and that nothing else came ahead of it: till then a break proves that nothing has run.
func (l *link) Send(statement any, wait aspenshed.Nanos) bool {
	sql := pgwire.Query(statement.(sqlcomment.Tag).WithWait(int64(wait) / 1e6))
	l.rest = sql[len(sql)-1:]
	l.pending.Add(forCheck)
	return l.conn.Write(append(pgwire.Query(""), sql[:len(sql)-1]...)) == nil
}

// checked lets the statement's last byte go.
func (l *link) checked() {
	if !l.ev.Leave() {
		return
	}
	l.pending.Add(forStatement)
	l.sent = true
	if l.conn.Write(l.rest) != nil {
		l.sent = false
		l.down(netio.ErrClosed)
	}
}

// Probe asks for the load report.
func (l *link) Probe() bool {
	l.sent = true
	l.pending.Add(forProbe)
	return l.conn.Write(pgwire.Query("SHOW health")) == nil
}

// Out tells whether a statement may have left.
func (l *link) Out() bool { return l.sent }

// Close ends the connection without another event.
func (l *link) Close() {
	l.closed = true
	l.loop.Stop(l.limit)
	l.conn.Close()
}

// Up greets the database. It may run before Dial has returned.
func (l *link) Up() { l.loop.Post(func() { _ = l.conn.Write(pgwire.Startup("web", "orders")) }) }

// Closed is called when the connection ends by itself.
func (l *link) Closed(err error) { l.loop.Post(func() { l.down(err) }) }

func (l *link) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.ev.Down(request.HowEnded(l.sent, errors.Is(err, netio.ErrRefused)), err)
}

// Data parses; only whole answers reach the loop. What can't be read ends the
// link, and so does what comes unasked: it could be taken for the next answer.
func (l *link) Data(b []byte) {
	err := l.in.Feed(b, l.message)
	if err == nil && l.ready && l.pending.Next() == 0 && l.in.Partial() {
		err = errExtra
	}
	whole := l.whole
	l.whole = nil
	if len(whole) == 0 && err == nil {
		return
	}
	l.loop.Post(func() {
		for i, r := range whole {
			r.Close = r.Close || err != nil && i == len(whole)-1 // the answer is good, the link is not
			if err == nil || r.what != forCheck {                // behind a spoilt check no statement leaves
				l.done(r)
			}
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *link) message(m pgwire.Message) error {
	what := l.pending.Next()
	switch {
	case !l.ready || l.next != 0:
	case what == 0:
		return errExtra
	case what == forCheck:
		l.next = 'I'
	default:
		l.next = 'T'
	}
	switch {
	case m.Type == 'N': // notices get passed over
	case m.Type == 'S':
		k, v, ok := pgwire.Parameter(m.Body)
		if !ok {
			return errSpoilt
		}
		if k == "recovery" || k == "lsn_ms" || k == "health" {
			if l.params == nil {
				l.params = map[string]string{}
			}
			l.params[k] = v
		}
	case m.Type == 'K' && !l.ready:
	case m.Type == 'E' && l.next != 'Z' && what != forCheck:
		e, ok := pgwire.ParseError(m.Body)
		if !ok {
			return errSpoilt
		}
		l.fault, l.next = &e, 'Z'
		if e.Severity == "FATAL" || e.Severity == "PANIC" { // needs no ReadyForQuery
			l.finish(what, true)
		}
	case m.Type != l.next:
		return errSpoilt
	default:
		return l.step(m, what)
	}
	return nil
}

// step takes the message that was due: R Z at the start, then T D C Z for a row, I Z for a check.
func (l *link) step(m pgwire.Message, what int) error {
	ok := true
	switch m.Type {
	case 'R':
		l.next, ok = 'Z', string(m.Body) == "\x00\x00\x00\x00"
	case 'T':
		l.next, ok = 'D', pgwire.IsOneColumn(m.Body)
	case 'D':
		l.next = 'C'
		l.row, ok = pgwire.OneColumn(m.Body)
	case 'C':
		_, rest, whole := pgwire.CString(m.Body)
		l.next, ok = 'Z', whole && len(rest) == 0
	case 'I':
		l.next, ok = 'Z', len(m.Body) == 0
	case 'Z':
		if len(m.Body) != 1 || m.Body[0] != 'I' {
			return errSpoilt
		}
		if l.ready {
			l.finish(what, false)
		} else {
			l.ready = true
			l.loop.Post(l.up)
		}
		l.answer, l.next = answer{}, 0
		return nil
	}
	if !ok {
		return errSpoilt
	}
	if what == forStatement {
		l.rows = pgwire.Append(l.rows, m.Type, string(m.Body))
	}
	return nil
}

func (l *link) up() {
	if !l.closed {
		l.loop.Stop(l.limit)
		l.ev.Up()
	}
}

// finish keeps a whole answer for the loop.
func (l *link) finish(what int, last bool) {
	r := request.Result{Close: last, Outcome: aspenshed.Served, Value: l.rows}
	if e := l.fault; e != nil {
		r.Outcome, r.Detail, r.Value = outcomeOf(e.Code, l.ready), e.Code+" "+e.Message, *e
	}
	switch l.params["recovery"] {
	case "off":
		r.Role = aspenshed.RolePrimary
	case "on":
		r.Role = aspenshed.RoleReplica
	}
	now := l.loop.Now()
	if ms, err := strconv.ParseInt(l.params["lsn_ms"], 10, 64); err == nil && ms > 0 && ms <= int64(now+ahead)/1e6 {
		r.Position = eventloop.UnixMs(ms)
	}
	health := l.params["health"]
	if what == forProbe {
		health = l.row
	}
	r.Report = parseReport(health, now)
	l.pending.Done()
	l.whole = append(l.whole, ended{r, what})
}

func (l *link) done(e ended) {
	switch {
	case l.closed:
	case e.what == forCheck:
		l.checked()
	default:
		l.sent = false
		l.ev.Done(e.Result)
	}
}

// outcomeOf maps a database's error code. ready: it had accepted the connection, so a statement may be out.
func outcomeOf(code string, ready bool) aspenshed.Outcome {
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
		if err != nil || !(f >= 0 && f <= float64(now+ahead)/1e9) || k == "x1" && f != 0 && f != 1 {
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
