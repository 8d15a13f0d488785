package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"regexp"
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
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	maxResponse = 4 << 20 // of one result
	maxPrepared = 64      // prepared statements kept on one connection
)

// Statement is what the MySQL front end sends to a member.
type Statement struct {
	Tag         sqlcomment.Statement
	PrepareOnly bool // prepare the statement without executing it
	Execute     *mysqlwire.Execute
	LongData    []LongData
}

// LongData is a part of a parameter that a client sent before the execution.
type LongData struct {
	Param uint16
	Data  []byte
}

// size returns about how many bytes of memory the statement occupies.
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

// Probes are the queries for a member's role and replication position.
type Probes struct {
	Role string // first column 0 or OFF: the primary
	// Position gives, in the first column, the Unix time in milliseconds up to which the member has applied; empty:
	// positions are unknown.
	Position string
}

// Backend opens connections to MySQL servers.
type Backend struct {
	Net                      *netio.Net
	Loop                     *eventloop.Loop
	User, Password, Database string
	Probes                   Probes
	Budget                   *membudget.Budget // counts responses that are not complete
}

// backendConn is one connection to a server. The poller's goroutine owns the reading side up to complete responses, the
// loop everything else.
type backendConn struct {
	backend *Backend
	events  request.ConnectionEvents
	conn    *netio.Conn
	reader  mysqlwire.Reader
	pending session.PendingResponses
	memory  *membudget.Account // of the response that is not complete

	// Owned by the poller.
	phase     int // of the login
	response  mysqlwire.ResponseReader
	seq       byte                       // of the response's last packet
	completed []mysqlwire.ResponseReader // responses completed by the bytes being parsed

	// Owned by the loop.
	timeout       *eventloop.Timer
	closed        bool
	sent          bool // a statement or probe may have been sent
	stmt          *Statement
	prepared      map[string]mysqlwire.PrepareResponse
	unkeptID      uint32                          // of the prepared statement in use for which there was no memory; 0: none
	onResponse    func(*mysqlwire.ResponseReader) // handles the next complete response
	report        aspenshed.Report
	trailingBytes bool // more bytes followed the response: it is valid, the connection is not
}

// The kinds of pending responses.
const (
	pendingResult = iota + 1
	pendingPrepare
	pendingCheck
)

var (
	errMalformedResponse = errors.New("malformed response")
	errUnsolicited       = errors.New("bytes that belong to no response")

	errNoMemoryForResponse = errors.New("no memory for the response")
)

// The phases of a login.
const (
	awaitGreeting = iota
	awaitLoginResult
	loggedIn
)

// Open dials. The timeout covers the time until the login has succeeded.
func (b *Backend) Open(address string, connectTimeout aspenshed.Nanos, probe bool,
	events request.ConnectionEvents) (request.Connection, error) {
	l := &backendConn{backend: b, events: events, reader: mysqlwire.Reader{MaxSize: maxResponse},
		prepared: map[string]mysqlwire.PrepareResponse{}}
	l.memory = b.Budget.NewAccount(membudget.Received, session.GuaranteedResponseBytes)
	l.reader.Limits = assembler.Limits{Reserve: l.memory.Reserve}
	conn, err := b.Net.Dial(address, time.Duration(connectTimeout), probe, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.timeout = b.Loop.At(b.Loop.Now()+connectTimeout, func() {
		l.down(fmt.Errorf("%w: not ready within the connect timeout", netio.ErrRefused))
	})
	return l, nil
}

// Connected does nothing: the server sends the first packet.
func (l *backendConn) Connected() {}

// Closed is called when the connection ends other than by Close.
func (l *backendConn) Closed(err error) { l.backend.Loop.Post(func() { l.down(err) }) }

func (l *backendConn) down(err error) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(session.ClassifyLoss(l.sent, err), err)
}

// Close closes the connection; no event follows.
func (l *backendConn) Close() {
	l.closed = true
	l.backend.Loop.StopTimer(l.timeout)
	l.conn.Close()
	l.memory.Close()
}

// MayHaveSent reports whether the statement itself may have been sent; preparing it runs nothing.
func (l *backendConn) MayHaveSent() bool { return l.sent }

// Data parses received bytes; only complete responses reach the loop. Malformed input closes the connection, and so do
// unsolicited bytes, as they could be taken for the next response.
func (l *backendConn) Data(b []byte) {
	err := l.reader.Feed(b, l.packet)
	if err == nil && l.phase == loggedIn && l.pending.Next() == 0 && l.reader.HasPartial() {
		err = errUnsolicited
	}
	completed := l.completed
	l.completed = nil
	if len(completed) == 0 && err == nil {
		return
	}
	l.backend.Loop.Post(func() {
		l.trailingBytes = err != nil
		for _, a := range completed {
			l.deliver(&a)
		}
		if err != nil {
			l.down(err)
		}
	})
}

func (l *backendConn) deliver(a *mysqlwire.ResponseReader) {
	handle := l.onResponse
	if !l.closed && handle != nil {
		l.onResponse = nil
		handle(a)
	}
}

func (l *backendConn) packet(p mysqlwire.Packet) error {
	seq, body, raw := p.Seq, p.Body, p.Raw
	if p.Dropped {
		return errNoMemoryForResponse
	}
	if l.phase != loggedIn {
		return l.login(seq, body)
	}
	kind := l.pending.Next()
	if l.response.FirstPacket == nil {
		if kind == 0 {
			return errUnsolicited
		}
		l.response.IsPrepare, l.seq = kind == pendingPrepare, 0
	}
	if l.seq++; l.seq != seq {
		return errMalformedResponse
	}
	if !l.memory.Reserve(len(raw)) {
		return errNoMemoryForResponse
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
	l.memory.Reserve(-len(a.Raw))
	if kind == pendingCheck && (a.Err != nil || a.FirstPacket[0] != 0) {
		return errMalformedResponse
	}
	l.pending.Done()
	l.completed = append(l.completed, a)
	return nil
}

// login responds to the greeting, and to a request to switch to the native password method with a new challenge.
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
			return errors.New("server requests an unsupported authentication method")
		}
		out = func() []byte {
			return mysqlwire.AppendPacket(nil, seq+1, mysqlwire.Scramble(fresh, l.backend.Password))
		}
	}
	// Write on the loop, as Dial may not have returned yet.
	l.backend.Loop.Post(func() { _ = l.conn.Write(out()) })
	return nil
}

// loginRefused handles a failed login. Errors 1040 and 1203, too many connections, mean that the server is overloaded.
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

// Send pings the server: the response shows that the connection works and that no stray bytes preceded it. Then it
// sends the statement. A prepared statement that is unknown on this connection is prepared first; that runs nothing, so
// only the execution counts as sent.
func (l *backendConn) Send(statement any, timeout aspenshed.Nanos) bool {
	l.stmt = statement.(*Statement)
	return l.sendCommand(pendingCheck, mysqlwire.Command(mysqlwire.ComPing), func(*mysqlwire.ResponseReader) {
		if !l.trailingBytes && !l.sendStatement(timeout) { // after trailing bytes, Data closes the connection itself
			l.down(netio.ErrClosed)
		}
	})
}

func (l *backendConn) sendStatement(timeout aspenshed.Nanos) bool {
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
	return l.sent && l.sendCommand(pendingResult,
		mysqlwire.Command(mysqlwire.ComQuery, []byte(s.Tag.WithTimeout(int64(timeout)/1e6))), l.finishAttempt)
}

func (l *backendConn) sendCommand(kind int, command []byte, onResponse func(*mysqlwire.ResponseReader)) bool {
	l.onResponse = onResponse
	l.pending.Add(kind)
	if l.conn.Write(command) != nil {
		l.sent = false
		return false
	}
	return true
}

func (l *backendConn) prepare() bool {
	if len(l.prepared) >= maxPrepared { // any one: it is prepared again when needed
		for sql, p := range l.prepared {
			delete(l.prepared, sql)
			l.memory.Reserve(-len(sql))
			l.closeStatement(p.ID)
			break
		}
	}
	return l.sendCommand(pendingPrepare, mysqlwire.Command(mysqlwire.ComStmtPrepare,
		[]byte(l.stmt.Tag.SQL)), func(a *mysqlwire.ResponseReader) {
		p, ok := mysqlwire.ParsePrepareResponse(a.FirstPacket)
		if ok && a.Err == nil {
			l.keepPrepared(l.stmt.Tag.SQL, p)
		}
		if a.Err != nil || l.stmt.PrepareOnly {
			l.finishAttempt(a)
		} else if l.trailingBytes || !l.execute(p) {
			l.down(netio.ErrClosed)
		}
	})
}

// keepPrepared keeps a prepared statement for later executions, if there is memory for its text.
func (l *backendConn) keepPrepared(sql string, p mysqlwire.PrepareResponse) {
	old, exists := l.prepared[sql]
	switch {
	case exists:
		l.closeStatement(old.ID)
	case !l.memory.Reserve(len(sql)):
		l.unkeptID = p.ID
		return
	}
	l.prepared[sql] = p
}

func (l *backendConn) closeStatement(id uint32) {
	_ = l.conn.Write(mysqlwire.Command(mysqlwire.ComStmtClose, binary.LittleEndian.AppendUint32(nil, id)))
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

// finishAttempt reports the result of an attempt. A success tells nothing of the server's role, whatever the statement: a
// replica serves all that does not write, writes to temporary tables, and the writes of accounts that its read-only switch
// does not bind. The probes ask for the role.
func (l *backendConn) finishAttempt(a *mysqlwire.ResponseReader) {
	r := request.Result{Outcome: aspenshed.Served, Value: a.Raw}
	if a.Err != nil {
		r = resultForError(*a.Err)
	}
	if l.unkeptID != 0 {
		l.closeStatement(l.unkeptID)
		l.unkeptID = 0
	}
	l.sent, l.stmt, r.CloseConnection = false, nil, l.trailingBytes
	l.events.Done(r)
}

// The error codes of servers that are read-only.
const (
	errOptionPreventsStatement = 1290 // the option may also be another one
	errReadOnlyMode            = 1836
)

// serverOption matches an option of the server in an error message.
var serverOption = regexp.MustCompile(`--([a-z_-]+)`)

// namesOtherOption tells whether a message names an option of the server, and one that does not make it read-only.
func namesOtherOption(message string) bool {
	option := serverOption.FindStringSubmatch(message)
	return option != nil && !strings.Contains(strings.ReplaceAll(option[1], "_", "-"), "read-only")
}

// resultForError maps a server's error. An error of the statement itself is the response, as the statement would fail
// on any server; after an error of the server another server may be tried.
func resultForError(e mysqlwire.Error) request.Result {
	r := request.Result{Outcome: aspenshed.ErrorResponse, Value: e, Detail: strconv.Itoa(int(e.Code)) + " " + e.Message}
	switch {
	case e.Code == errOptionPreventsStatement && namesOtherOption(e.Message):
		r.Outcome = aspenshed.StatementError
	case e.Code == errOptionPreventsStatement || e.Code == errReadOnlyMode: // nothing has run
		r.Outcome, r.Role = aspenshed.Ineligible, aspenshed.RoleReplica
	case e.Code == 1040 || e.Code == 1203:
		r.Outcome = aspenshed.Overloaded
	case len(e.State) == 5 && e.State >= "21" && e.State < "45":
		r.Outcome = aspenshed.StatementError
	}
	return r
}

// Probe queries the role, then the position.
func (l *backendConn) Probe() bool {
	l.report, l.stmt = aspenshed.Report{}, nil
	l.sent = true
	return l.sendCommand(pendingResult, mysqlwire.Command(mysqlwire.ComQuery, []byte(l.backend.Probes.Role)),
		func(a *mysqlwire.ResponseReader) {
			if v, _, ok := mysqlwire.ReadLenencString(a.FirstRow); ok {
				l.report.HasRole, l.report.RoleIsCurrent = true, true
				l.report.Primary = v == "0" || v == "OFF"
			}
			if a.Err != nil || l.backend.Probes.Position == "" {
				l.finishProbe(a)
			} else if l.trailingBytes || !l.sendCommand(pendingResult, mysqlwire.Command(mysqlwire.ComQuery,
				[]byte(l.backend.Probes.Position)), l.handlePosition) {
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
