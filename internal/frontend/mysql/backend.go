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
	maxResponse = 4 << 20 // of one result
	maxPrepared = 64      // statements kept on one link
)

// Statement is what the MySQL front has a member do.
type Statement struct {
	Tag         sqlcomment.Statement
	PrepareOnly bool // only prepare it
	Execute     *mysqlwire.Execute
	LongData    []LongData
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
	for _, piece := range s.LongData {
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

// backendConn is one connection to a server. The poller's goroutine owns the reading
// side up to whole answers; all else is the loop's.
type backendConn struct {
	backend *Backend
	events  request.ConnectionEvents
	conn    *netio.Conn
	reader  mysqlwire.Reader
	pending session.PendingResponses

	// The poller's.
	phase     int // of the login
	response  mysqlwire.ResponseReader
	seq       byte                       // of the answer's last packet
	completed []mysqlwire.ResponseReader // answers that the bytes at hand have brought to their end

	// The loop's.
	timeout       *eventloop.Timer
	closed        bool
	sent          bool // the statement's last byte may have left
	stmt          *Statement
	prepared      map[string]mysqlwire.PrepareResponse
	onResponse    func(*mysqlwire.ResponseReader) // what the next whole answer is for
	report        aspenshed.Report
	trailingBytes bool // more came than belongs to the answer: it is good, the link is not
}

// What a link may be owed.
const (
	pendingResult = iota + 1
	pendingPrepare
	pendingCheck
)

var (
	errMalformedResponse = errors.New("spoilt answer")
	errUnsolicited       = errors.New("bytes that belong to no answer")
)

const (
	awaitGreeting = iota
	awaitLoginResult
	loggedIn
)

// Open dials. The limit holds until the server has let the link in.
func (b *Backend) Open(address string, limit aspenshed.Nanos, probe bool, ev request.ConnectionEvents) (request.Connection, error) {
	l := &backendConn{backend: b, events: ev, reader: mysqlwire.Reader{MaxSize: maxResponse}, prepared: map[string]mysqlwire.PrepareResponse{}}
	conn, err := b.Net.Dial(address, time.Duration(limit), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.timeout = b.Loop.At(b.Loop.Now()+limit, func() { l.down(fmt.Errorf("%w: not up within the limit", netio.ErrRefused)) })
	return l, nil
}

// Up waits for the greeting.
func (l *backendConn) Up() {}

// Closed is called when the connection ends by itself.
func (l *backendConn) Closed(err error) { l.backend.Loop.Post(func() { l.down(err) }) }

func (l *backendConn) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(request.ClassifyLoss(l.sent, errors.Is(err, netio.ErrRefused)), err)
}

// Close ends the connection without another event.
func (l *backendConn) Close() {
	l.closed = true
	l.backend.Loop.StopTimer(l.timeout)
	l.conn.Close()
}

// MayHaveSent tells whether the statement itself may have left; preparing it runs nothing.
func (l *backendConn) MayHaveSent() bool { return l.sent }

// Data parses; only whole answers reach the loop. What can't be read ends the
// link, and so does what comes unasked: it could be taken for the next answer.
func (l *backendConn) Data(b []byte) {
	err := l.reader.Feed(b, l.packet)
	if err == nil && l.phase == loggedIn && l.pending.Next() == 0 && l.reader.HasPartial() {
		err = errUnsolicited
	}
	whole := l.completed
	l.completed = nil
	if len(whole) == 0 && err == nil {
		return
	}
	l.backend.Loop.Post(func() {
		l.trailingBytes = err != nil
		for _, a := range whole {
			l.deliver(&a)
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *backendConn) deliver(a *mysqlwire.ResponseReader) {
	then := l.onResponse
	if !l.closed && then != nil {
		l.onResponse = nil
		then(a)
	}
}

func (l *backendConn) packet(seq byte, body, raw []byte) error {
	if l.phase != loggedIn {
		return l.login(seq, body)
	}
	what := l.pending.Next()
	if l.response.FirstPacket == nil {
		if what == 0 {
			return errUnsolicited
		}
		l.response.IsPrepare, l.seq = what == pendingPrepare, 0
	}
	if l.seq++; l.seq != seq {
		return errMalformedResponse
	}
	done, err := l.response.Add(body, raw)
	if err == nil && len(l.response.Raw) > maxResponse {
		err = mysqlwire.ErrTooLong
	}
	if err != nil || !done {
		return err
	}
	a := l.response
	l.response = mysqlwire.ResponseReader{}
	if what == pendingCheck && (a.Err != nil || a.FirstPacket[0] != 0) {
		return errMalformedResponse
	}
	l.pending.Done()
	l.completed = append(l.completed, a)
	return nil
}

// login answers the greeting, and a wish for a native password with another challenge.
func (l *backendConn) login(seq byte, body []byte) error {
	var challenge []byte
	var out func() []byte
	switch {
	case len(body) == 0:
		return mysqlwire.ErrMalformed
	case l.phase == awaitGreeting:
		var err error
		if challenge, err = mysqlwire.ParseGreeting(body); err != nil {
			return l.loginRefused(err)
		}
		l.phase = awaitLoginResult
		out = func() []byte {
			return mysqlwire.HandshakeResponse(seq+1, mysqlwire.Login{User: l.backend.User, DB: l.backend.Database,
				AuthResponse: mysqlwire.Scramble(challenge, l.backend.Password)})
		}
	case body[0] == 0:
		l.phase = loggedIn
		l.backend.Loop.Post(func() {
			if !l.closed {
				l.backend.Loop.StopTimer(l.timeout)
				l.events.Ready()
			}
		})
		return nil
	case body[0] == 0xff:
		e := mysqlwire.ParseError(body)
		return l.loginRefused(&e)
	default:
		plugin, fresh, ok := mysqlwire.ParseAuthSwitchRequest(body)
		if !ok || plugin != mysqlwire.NativePassword {
			return errors.New("server wants a way to log in that is not supported")
		}
		out = func() []byte {
			return mysqlwire.AppendPacket(nil, seq+1, mysqlwire.Scramble(fresh, l.backend.Password))
		}
	}
	// The connection is the loop's to write on: its Dial may not have returned yet.
	l.backend.Loop.Post(func() { _ = l.conn.Write(out()) })
	return nil
}

// loginRefused ends a link that the server did not let in: too many connections are a full server.
func (l *backendConn) loginRefused(err error) error {
	var e *mysqlwire.Error
	if errors.As(err, &e) && (e.Code == 1040 || e.Code == 1203) {
		l.backend.Loop.Post(func() {
			if !l.closed {
				l.events.Done(request.Result{Outcome: aspenshed.Overloaded, CloseConnection: true, Detail: e.Message})
			}
		})
		return nil
	}
	return err
}

// Send pings: the answer shows that the link is alive and that nothing else came ahead of it. Then it writes the
// statement. One that is prepared is first prepared here, if this server has not seen it; that runs nothing, so
// only the execution counts as sent.
func (l *backendConn) Send(statement any, wait aspenshed.Nanos) bool {
	l.stmt = statement.(*Statement)
	return l.sendCommand(pendingCheck, mysqlwire.Command(mysqlwire.ComPing), func(*mysqlwire.ResponseReader) {
		if !l.trailingBytes && !l.sendStatement(wait) { // where more came, down follows anyway
			l.down(netio.ErrClosed)
		}
	})
}

func (l *backendConn) sendStatement(wait aspenshed.Nanos) bool {
	s := l.stmt
	p, known := l.prepared[s.Tag.SQL]
	switch {
	case s.PrepareOnly:
		return l.events.AllowSend() && l.prepare()
	case s.Execute != nil && known:
		return l.execute(p)
	case s.Execute != nil:
		return l.prepare()
	}
	l.sent = l.events.AllowSend()
	return l.sent && l.sendCommand(pendingResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(s.Tag.WithTimeout(int64(wait)/1e6))), l.finishAttempt)
}

func (l *backendConn) sendCommand(what int, command []byte, then func(*mysqlwire.ResponseReader)) bool {
	l.onResponse = then
	l.pending.Add(what)
	if l.conn.Write(command) != nil {
		l.sent = false
		return false
	}
	return true
}

func (l *backendConn) prepare() bool {
	if len(l.prepared) >= maxPrepared { // any will do: it is prepared again when it is wanted
		for sql, p := range l.prepared {
			delete(l.prepared, sql)
			_ = l.conn.Write(mysqlwire.Command(mysqlwire.ComStmtClose, binary.LittleEndian.AppendUint32(nil, p.ID)))
			break
		}
	}
	return l.sendCommand(pendingPrepare, mysqlwire.Command(mysqlwire.ComStmtPrepare, []byte(l.stmt.Tag.SQL)), func(a *mysqlwire.ResponseReader) {
		p, ok := mysqlwire.ParsePrepareResponse(a.FirstPacket)
		if ok && a.Err == nil {
			if old, twice := l.prepared[l.stmt.Tag.SQL]; twice {
				_ = l.conn.Write(mysqlwire.Command(mysqlwire.ComStmtClose, binary.LittleEndian.AppendUint32(nil, old.ID)))
			}
			l.prepared[l.stmt.Tag.SQL] = p
		}
		if a.Err != nil || l.stmt.PrepareOnly {
			l.finishAttempt(a)
		} else if l.trailingBytes || !l.execute(p) {
			l.down(netio.ErrClosed)
		}
	})
}

func (l *backendConn) execute(p mysqlwire.PrepareResponse) bool {
	var b []byte
	for _, d := range l.stmt.LongData {
		head := binary.LittleEndian.AppendUint16(binary.LittleEndian.AppendUint32(nil, p.ID), d.Param)
		b = append(b, mysqlwire.Command(mysqlwire.ComStmtSendLongData, head, d.Data)...)
	}
	l.sent = l.events.AllowSend()
	return l.sent && l.sendCommand(pendingResult, append(b, l.stmt.Execute.Packet(p.ID)...), l.finishAttempt)
}

// finishAttempt ends an attempt.
func (l *backendConn) finishAttempt(a *mysqlwire.ResponseReader) {
	r := request.Result{Outcome: aspenshed.Served, Value: a.Raw}
	if a.Err != nil {
		r = resultForError(*a.Err)
	} else if l.stmt != nil && !l.stmt.PrepareOnly && isWrite(l.stmt.Tag.SQL) {
		r.Role = aspenshed.RolePrimary // it has taken a write
	}
	l.sent, l.stmt, r.CloseConnection = false, nil, l.trailingBytes
	l.events.Done(r)
}

// resultForError maps a server's error. What the statement itself got wrong is the
// answer, as no server would do better; what the server got wrong may be tried elsewhere.
func resultForError(e mysqlwire.Error) request.Result {
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
func (l *backendConn) Probe() bool {
	l.report, l.stmt = aspenshed.Report{}, nil
	l.sent = true
	return l.sendCommand(pendingResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(l.backend.Probes.Role)), func(a *mysqlwire.ResponseReader) {
		if v, _, ok := mysqlwire.ReadLenencString(a.FirstRow); ok {
			l.report.HasRole, l.report.Primary = true, v == "0" || v == "OFF"
		}
		if a.Err != nil || l.backend.Probes.Position == "" {
			l.finishProbe(a)
		} else if l.trailingBytes || !l.sendCommand(pendingResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(l.backend.Probes.Position)), l.handlePosition) {
			l.down(netio.ErrClosed)
		}
	})
}

func (l *backendConn) handlePosition(a *mysqlwire.ResponseReader) {
	if v, _, ok := mysqlwire.ReadLenencString(a.FirstRow); ok {
		if ms, err := strconv.ParseInt(v, 10, 64); err == nil && ms > 0 {
			l.report.HasPosition, l.report.Position = true, eventloop.FromUnixMillis(ms)
		}
	}
	l.finishProbe(a)
}

func (l *backendConn) finishProbe(a *mysqlwire.ResponseReader) {
	r := request.Result{Outcome: aspenshed.Served, Report: l.report}
	if a.Err != nil {
		r = request.Result{Outcome: aspenshed.ErrorResponse, Detail: a.Err.Message}
	}
	l.sent, r.CloseConnection = false, l.trailingBytes
	l.events.Done(r)
}
