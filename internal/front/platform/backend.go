package platform

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	nc "aspenshed"

	"aspenshed/internal/core"
	"aspenshed/internal/netio"
	"aspenshed/internal/pgwire"
	"aspenshed/internal/sqltag"
)

const maxAnswer = 1 << 20

// Backend opens links to databases that speak the platform's protocol.
type Backend struct {
	Net  *netio.Net
	Loop *core.Loop
}

// link is one connection to a database. The poller's goroutine owns the parser
// state, the loop what was sent; they meet only in the loop's mailbox.
type link struct {
	loop *core.Loop
	ev   core.LinkEvents
	conn *netio.Conn
	in   pgwire.Reader

	// The poller's.
	ready  bool
	answer bytes.Buffer // messages that pass on to the client
	row    string
	params map[string]string
	fault  *pgwire.Error
	served bool

	// The loop's.
	sent   bool // a statement is out
	probe  bool // it is a probe
	limit  *core.Timer
	closed bool
}

// Open dials. The limit holds until the database is ready for a statement.
func (b *Backend) Open(address string, limit nc.Nanos, probe bool, ev core.LinkEvents) (core.Link, error) {
	l := &link{loop: b.Loop, ev: ev, in: pgwire.Reader{Max: maxAnswer}, params: map[string]string{}}
	conn, err := b.Net.Dial(address, time.Duration(limit), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.limit = b.Loop.At(b.Loop.Now()+limit, func() {
		if !l.closed {
			l.down(errors.New("not up within the limit"))
		}
	})
	return l, nil
}

// Send writes the statement, only d in it changed.
func (l *link) Send(statement any, wait nc.Nanos) bool {
	l.sent = true
	sql := statement.(sqltag.Tag).WithWait(int64(wait) / 1e6)
	if l.conn.Write(pgwire.Query(sql)) != nil {
		l.sent = false
	}
	return l.sent
}

// Probe asks for the load report.
func (l *link) Probe() bool {
	l.sent, l.probe = true, true
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
	l.ev.Down(l.sent, err)
}

// Data parses; only whole answers reach the loop.
func (l *link) Data(b []byte) {
	if err := l.in.Feed(b, l.message); err != nil {
		l.conn.Close()
		l.Closed(err)
	}
}

func (l *link) message(m pgwire.Message) error {
	switch m.Type {
	case 'T', 'D', 'C':
		if l.answer.Len()+len(m.Body) > maxAnswer {
			return pgwire.ErrTooLong
		}
		l.answer.Write(pgwire.Append(nil, m.Type, string(m.Body)))
		if m.Type == 'D' {
			l.row, _ = pgwire.FirstColumn(m.Body)
		}
		l.served = l.served || m.Type == 'C'
	case 'S':
		if k, rest, ok := pgwire.CString(m.Body); ok {
			v, _, _ := pgwire.CString(rest)
			l.params[k] = v
		}
	case 'E':
		e := pgwire.ParseError(m.Body)
		l.fault = &e
		if e.Severity == "FATAL" || e.Severity == "PANIC" { // needs no ReadyForQuery
			l.finish(true)
		}
	case 'Z':
		if !l.ready {
			l.ready = true
			l.params = map[string]string{}
			l.loop.Post(l.up)
			return nil
		}
		l.finish(false)
	}
	return nil
}

func (l *link) up() {
	if !l.closed {
		l.loop.Stop(l.limit)
		l.ev.Up()
	}
}

// finish hands a whole answer to the loop and makes room for the next.
func (l *link) finish(last bool) {
	r := core.Result{Close: last, Outcome: nc.Unknown}
	switch e := l.fault; {
	case e != nil:
		r.Outcome, r.Detail = outcomeOf(e.Code, l.ready), e.Code+" "+e.Message
		r.Value = *e
	case l.served:
		r.Outcome, r.Value = nc.Served, bytes.Clone(l.answer.Bytes())
	}
	switch l.params["recovery"] {
	case "off":
		r.Role = nc.RolePrimary
	case "on":
		r.Role = nc.RoleReplica
	}
	if ms, err := strconv.ParseInt(l.params["lsn_ms"], 10, 64); err == nil {
		r.Position = core.UnixMs(ms)
	}
	row, health := l.row, l.params["health"]
	l.answer, l.row, l.fault, l.served, l.params = bytes.Buffer{}, "", nil, false, map[string]string{}
	l.loop.Post(func() {
		if l.closed {
			return
		}
		if l.probe {
			health = row
		}
		r.Report = parseReport(health)
		l.sent, l.probe = false, false
		l.ev.Done(r)
	})
}

// outcomeOf maps a database's error code. ready: it had accepted the connection, so a statement may be out.
func outcomeOf(code string, ready bool) nc.Outcome {
	switch {
	case code == "53300":
		return nc.Full
	case !ready:
		return nc.NoLink
	case code == "25006" || code == "72000":
		return nc.Turned
	}
	return nc.Errored // XX000 and whatever else: it may have run
}

// parseReport reads a load report: x0=1767225600.123,x1=1,queue=3.
func parseReport(s string) (r nc.Report) {
	for _, part := range strings.Split(s, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			continue
		}
		switch k {
		case "x0":
			r.HasPosition, r.Position = true, nc.Nanos(math.Floor(f*1e3))*1e6
		case "x1":
			r.HasRole, r.Primary = true, f == 1
		case "queue", "backlog":
			r.HasWaiting, r.Waiting = true, f
		case "inflight", "outstanding":
			r.HasHeld, r.Held = true, f
		}
	}
	return r
}
