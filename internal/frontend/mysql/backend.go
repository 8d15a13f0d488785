package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	maxAnswer   = 4 << 20 // of one result
	maxPrepared = 64      // statements kept on one link
)

// Statement is what the MySQL front has a member do.
type Statement struct {
	Tag     sqlcomment.Tag
	Prepare bool // only prepare it
	Execute *mysqlwire.Execute
	Long    []LongData
}

// LongData is a piece of a parameter that a client sent ahead of the execution.
type LongData struct {
	Param uint16
	Data  []byte
}

// size is roughly what the statement keeps in memory, in bytes.
func (s *Statement) size() int {
	size := len(s.Tag.SQL)
	if s.Execute != nil {
		size += len(s.Execute.Values)
	}
	for _, piece := range s.Long {
		size += len(piece.Data)
	}
	return size
}

// Probes are the queries that ask a member for its role and position.
type Probes struct {
	Role     string // first column 0 or OFF: the primary
	Position string // first column: Unix time in milliseconds up to which it has applied; empty: not provable
}

// Backend opens links to MySQL servers.
type Backend struct {
	Net                      *netio.Net
	Loop                     *eventloop.Loop
	User, Password, Database string
	Probes                   Probes
}

// link is one connection to a server. The poller's goroutine owns the reading
// side up to whole answers; all else is the loop's.
type link struct {
	b       *Backend
	ev      request.LinkEvents
	conn    *netio.Conn
	in      mysqlwire.Reader
	pending session.PendingResponses

	// The poller's.
	phase  int // of the login
	answer mysqlwire.Answer
	seq    byte               // of the answer's last packet
	whole  []mysqlwire.Answer // answers that the bytes at hand have brought to their end

	// The loop's.
	limit    *eventloop.Timer
	closed   bool
	sent     bool // the statement's last byte may have left
	stmt     *Statement
	prepared map[string]mysqlwire.Prepared
	then     func(*mysqlwire.Answer) // what the next whole answer is for
	report   aspenshed.Report
	extra    bool // more came than belongs to the answer: it is good, the link is not
}

// What a link may be owed.
const (
	forResult = iota + 1
	forPrepare
	forCheck
)

var (
	errSpoilt = errors.New("spoilt answer")
	errExtra  = errors.New("bytes that belong to no answer")
)

const (
	greeting = iota
	loggingIn
	ready
)

// Open dials. The limit holds until the server has let the link in.
func (b *Backend) Open(address string, limit aspenshed.Nanos, probe bool, ev request.LinkEvents) (request.Link, error) {
	l := &link{b: b, ev: ev, in: mysqlwire.Reader{Max: maxAnswer}, prepared: map[string]mysqlwire.Prepared{}}
	conn, err := b.Net.Dial(address, time.Duration(limit), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.limit = b.Loop.At(b.Loop.Now()+limit, func() { l.down(fmt.Errorf("%w: not up within the limit", netio.ErrRefused)) })
	return l, nil
}

// Up waits for the greeting.
func (l *link) Up() {}

// Closed is called when the connection ends by itself.
func (l *link) Closed(err error) { l.b.Loop.Post(func() { l.down(err) }) }

func (l *link) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.ev.Down(request.HowEnded(l.sent, errors.Is(err, netio.ErrRefused)), err)
}

// Close ends the connection without another event.
func (l *link) Close() {
	l.closed = true
	l.b.Loop.Stop(l.limit)
	l.conn.Close()
}

// Out tells whether the statement itself may have left; preparing it runs nothing.
func (l *link) Out() bool { return l.sent }

// Data parses; only whole answers reach the loop. What can't be read ends the
// link, and so does what comes unasked: it could be taken for the next answer.
func (l *link) Data(b []byte) {
	err := l.in.Feed(b, l.packet)
	if err == nil && l.phase == ready && l.pending.Next() == 0 && l.in.Partial() {
		err = errExtra
	}
	whole := l.whole
	l.whole = nil
	if len(whole) == 0 && err == nil {
		return
	}
	l.b.Loop.Post(func() {
		l.extra = err != nil
		for _, a := range whole {
			l.done(&a)
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *link) done(a *mysqlwire.Answer) {
	then := l.then
	if !l.closed && then != nil {
		l.then = nil
		then(a)
	}
}

func (l *link) packet(seq byte, body, raw []byte) error {
	if l.phase != ready {
		return l.login(seq, body)
	}
	what := l.pending.Next()
	if l.answer.First == nil {
		if what == 0 {
			return errExtra
		}
		l.answer.Prepare, l.seq = what == forPrepare, 0
	}
	if l.seq++; l.seq != seq {
		return errSpoilt
	}
	done, err := l.answer.Add(body, raw)
	if err == nil && len(l.answer.Raw) > maxAnswer {
		err = mysqlwire.ErrTooLong
	}
	if err != nil || !done {
		return err
	}
	a := l.answer
	l.answer = mysqlwire.Answer{}
	if what == forCheck && (a.Err != nil || a.First[0] != 0) {
		return errSpoilt
	}
	l.pending.Done()
	l.whole = append(l.whole, a)
	return nil
}

// login answers the greeting, and a wish for a native password with another challenge.
func (l *link) login(seq byte, body []byte) error {
	var challenge []byte
	var out func() []byte
	switch {
	case len(body) == 0:
		return mysqlwire.ErrMalformed
	case l.phase == greeting:
		var err error
		if challenge, err = mysqlwire.ParseGreeting(body); err != nil {
			return l.turnedAway(err)
		}
		l.phase = loggingIn
		out = func() []byte {
			return mysqlwire.Response(seq+1, mysqlwire.Login{User: l.b.User, DB: l.b.Database,
				Auth: mysqlwire.Scramble(challenge, l.b.Password)})
		}
	case body[0] == 0:
		l.phase = ready
		l.b.Loop.Post(func() {
			if !l.closed {
				l.b.Loop.Stop(l.limit)
				l.ev.Up()
			}
		})
		return nil
	case body[0] == 0xff:
		e := mysqlwire.ParseError(body)
		return l.turnedAway(&e)
	default:
		plugin, fresh, ok := mysqlwire.ParseSwitch(body)
		if !ok || plugin != mysqlwire.NativePassword {
			return errors.New("server wants a way to log in that is not supported")
		}
		out = func() []byte { return mysqlwire.Packet(nil, seq+1, mysqlwire.Scramble(fresh, l.b.Password)) }
	}
	// The connection is the loop's to write on: its Dial may not have returned yet.
	l.b.Loop.Post(func() { _ = l.conn.Write(out()) })
	return nil
}

// turnedAway ends a link that the server did not let in: too many connections are a full server.
func (l *link) turnedAway(err error) error {
	var e *mysqlwire.Error
	if errors.As(err, &e) && (e.Code == 1040 || e.Code == 1203) {
		l.b.Loop.Post(func() {
			if !l.closed {
				l.ev.Done(request.Result{Outcome: aspenshed.Overloaded, Close: true, Detail: e.Message})
			}
		})
		return nil
	}
	return err
}

// Send pings: the answer shows that the link is alive and that nothing else came ahead of it. Then it writes the
// statement. One that is prepared is first prepared here, if this server has not seen it; that runs nothing, so
// only the execution counts as sent.
func (l *link) Send(statement any, wait aspenshed.Nanos) bool {
	l.stmt = statement.(*Statement)
	return l.ask(forCheck, mysqlwire.Command(mysqlwire.ComPing), func(*mysqlwire.Answer) {
		if !l.extra && !l.begin(wait) { // where more came, down follows anyway
			l.down(netio.ErrClosed)
		}
	})
}

func (l *link) begin(wait aspenshed.Nanos) bool {
	s := l.stmt
	p, known := l.prepared[s.Tag.SQL]
	switch {
	case s.Prepare:
		return l.ev.Leave() && l.prepare()
	case s.Execute != nil && known:
		return l.execute(p)
	case s.Execute != nil:
		return l.prepare()
	}
	l.sent = l.ev.Leave()
	return l.sent && l.ask(forResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(s.Tag.WithWait(int64(wait)/1e6))), l.finish)
}

func (l *link) ask(what int, command []byte, then func(*mysqlwire.Answer)) bool {
	l.then = then
	l.pending.Add(what)
	if l.conn.Write(command) != nil {
		l.sent = false
		return false
	}
	return true
}

func (l *link) prepare() bool {
	if len(l.prepared) >= maxPrepared { // any will do: it is prepared again when it is wanted
		for sql, p := range l.prepared {
			delete(l.prepared, sql)
			_ = l.conn.Write(mysqlwire.Command(mysqlwire.ComStmtClose, binary.LittleEndian.AppendUint32(nil, p.ID)))
			break
		}
	}
	return l.ask(forPrepare, mysqlwire.Command(mysqlwire.ComStmtPrepare, []byte(l.stmt.Tag.SQL)), func(a *mysqlwire.Answer) {
		p, ok := mysqlwire.ParsePrepared(a.First)
		if ok && a.Err == nil {
			if old, twice := l.prepared[l.stmt.Tag.SQL]; twice {
				_ = l.conn.Write(mysqlwire.Command(mysqlwire.ComStmtClose, binary.LittleEndian.AppendUint32(nil, old.ID)))
			}
			l.prepared[l.stmt.Tag.SQL] = p
		}
		if a.Err != nil || l.stmt.Prepare {
			l.finish(a)
		} else if l.extra || !l.execute(p) {
			l.down(netio.ErrClosed)
		}
	})
}

func (l *link) execute(p mysqlwire.Prepared) bool {
	var b []byte
	for _, d := range l.stmt.Long {
		head := binary.LittleEndian.AppendUint16(binary.LittleEndian.AppendUint32(nil, p.ID), d.Param)
		b = append(b, mysqlwire.Command(mysqlwire.ComStmtSendLongData, head, d.Data)...)
	}
	l.sent = l.ev.Leave()
	return l.sent && l.ask(forResult, append(b, l.stmt.Execute.Command(p.ID)...), l.finish)
}

// finish ends an attempt.
func (l *link) finish(a *mysqlwire.Answer) {
	r := request.Result{Outcome: aspenshed.Served, Value: a.Raw}
	if a.Err != nil {
		r = outcomeOf(*a.Err)
	} else if l.stmt != nil && !l.stmt.Prepare && isWrite(l.stmt.Tag.SQL) {
		r.Role = aspenshed.RolePrimary // it has taken a write
	}
	l.sent, l.stmt, r.Close = false, nil, l.extra
	l.ev.Done(r)
}

// outcomeOf maps a server's error. What the statement itself got wrong is the
// answer, as no server would do better; what the server got wrong may be tried elsewhere.
func outcomeOf(e mysqlwire.Error) request.Result {
	r := request.Result{Outcome: aspenshed.ErrorResponse, Value: e, Detail: strconv.Itoa(int(e.Code)) + " " + e.Message}
	switch {
	case e.Code == 1290 || e.Code == 1836: // read-only: untouched
		r.Outcome, r.Role = aspenshed.Ineligible, aspenshed.RoleReplica
	case e.Code == 1040 || e.Code == 1203:
		r.Outcome = aspenshed.Overloaded
	case len(e.State) == 5 && e.State >= "21" && e.State < "45":
		r.Outcome = aspenshed.StatementError
	}
	return r
}

// Probe asks for the role, then for the position.
func (l *link) Probe() bool {
	l.report, l.stmt = aspenshed.Report{}, nil
	l.sent = true
	return l.ask(forResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(l.b.Probes.Role)), func(a *mysqlwire.Answer) {
		if v, _, ok := mysqlwire.LenencString(a.Row); ok {
			l.report.HasRole, l.report.Primary = true, v == "0" || v == "OFF"
		}
		if a.Err != nil || l.b.Probes.Position == "" {
			l.probed(a)
		} else if l.extra || !l.ask(forResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(l.b.Probes.Position)), l.positioned) {
			l.down(netio.ErrClosed)
		}
	})
}

func (l *link) positioned(a *mysqlwire.Answer) {
	if v, _, ok := mysqlwire.LenencString(a.Row); ok {
		if ms, err := strconv.ParseInt(v, 10, 64); err == nil && ms > 0 {
			l.report.HasPosition, l.report.Position = true, eventloop.UnixMs(ms)
		}
	}
	l.probed(a)
}

func (l *link) probed(a *mysqlwire.Answer) {
	r := request.Result{Outcome: aspenshed.Served, Report: l.report}
	if a.Err != nil {
		r = request.Result{Outcome: aspenshed.ErrorResponse, Detail: a.Err.Message}
	}
	l.sent, r.Close = false, l.extra
	l.ev.Done(r)
}
