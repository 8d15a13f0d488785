// Package mysql implements the MySQL wire protocol with prepared statements, towards clients (front.go) and servers
// (backend.go).
package mysql

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const maxPacket = 1 << 20

// Defaults replace the fields that a statement's comment leaves out.
type Defaults struct {
	ReadClass, WriteClass, Tenant string
	Group                         int
	TimeoutMs                     int64
}

// Front is the front end that serves clients.
type Front struct {
	session.Manager
	Accounts map[string]string // passwords by user
	Database string
	Defaults Defaults

	connections atomic.Uint32
}

// clientConn is one client connection. The poller's goroutine owns it, except for the state of its session.
type clientConn struct {
	session.Input
	front     *Front
	conn      *netio.Conn
	session   *session.Session
	reader    mysqlwire.Reader
	challenge []byte
	user      string // of a login with an authentication switch, until it has finished
	phase     int
	stmts     map[uint32]*preparedStmt
	lastID    uint32
}

// The phases of a client connection.
const (
	awaitLogin = iota
	awaitAuthSwitch
	awaitCommand
)

// Accept creates the session of a new connection.
func (f *Front) Accept(c *netio.Conn) netio.Handler {
	s := &clientConn{front: f, conn: c, session: f.Open(c, f.encodeResponse), reader: mysqlwire.Reader{MaxSize: maxPacket},
		challenge: make([]byte, 20)}
	s.Input = session.NewInput(s.session, &s.reader.Assembler, s.Data)
	_, _ = rand.Read(s.challenge) // never fails
	for i, b := range s.challenge {
		s.challenge[i] = b&0x7f | 1 // it must not contain a zero byte
	}
	return s
}

// Connected sends the greeting.
func (s *clientConn) Connected() {
	_ = s.conn.Write(mysqlwire.Greeting(s.front.connections.Add(1), s.challenge))
}

// Closed is called when the connection has ended.
func (s *clientConn) Closed(error) { s.session.ClientClosed() }

// Data parses received bytes and enqueues the commands in them.
func (s *clientConn) Data(b []byte) {
	if s.session.InputEnded() {
		return
	}
	err := s.reader.Feed(b, s.packet)
	s.session.SetPartial(s.reader.HasPartial())
	switch {
	case errors.Is(err, errClientClosed):
		s.session.ClientClosed()
	case errors.Is(err, errAlreadyAnswered):
	case err != nil:
		seq := byte(1)
		if s.phase != awaitCommand {
			seq = 2
		}
		s.session.Fatal(mysqlwire.Error{Code: 1835, State: "HY000", Message: err.Error()}.Packet(seq), err.Error())
	}
}

var (
	errNoMemory        = errors.New("no memory for the login")
	errClientClosed    = errors.New("client ended the connection")
	errAlreadyAnswered = errors.New("the response is already queued; the connection closes after it")
)

func (s *clientConn) packet(p mysqlwire.Packet) error {
	seq, body := p.Seq, p.Body
	if p.Dropped {
		return s.dropped(body)
	}
	switch s.phase {
	case awaitLogin:
		l, err := mysqlwire.ParseHandshakeResponse(body)
		if err != nil {
			return err
		}
		if l.DB != "" && l.DB != s.front.Database {
			return fmt.Errorf("unknown database %q", l.DB)
		}
		if l.Plugin != "" && l.Plugin != mysqlwire.NativePassword {
			s.phase, s.user = awaitAuthSwitch, l.User
			return s.writeNow(mysqlwire.AuthSwitchRequest(seq+1, s.challenge))
		}
		return s.login(seq, l)
	case awaitAuthSwitch:
		return s.login(seq, mysqlwire.Login{User: s.user, AuthResponse: body})
	}
	if len(body) == 0 {
		return mysqlwire.ErrMalformed
	}
	if !s.session.HasRoom(len(body)) {
		return s.dropped(body)
	}
	return s.command(body[0], body[1:])
}

// dropped handles a packet of whose body there was no memory for more than its first bytes.
func (s *clientConn) dropped(prefix []byte) error {
	switch {
	case s.phase != awaitCommand || len(prefix) == 0:
		return errNoMemory
	case prefix[0] != mysqlwire.ComStmtSendLongData:
		s.session.Shed()
	case len(prefix) > 4: // it has no response; the execution gets one
		if st := s.stmts[binary.LittleEndian.Uint32(prefix[1:])]; st != nil {
			st.incomplete = true
		}
	}
	return nil
}

func (s *clientConn) login(seq byte, l mysqlwire.Login) error {
	if password, known := s.front.Accounts[l.User]; !known || !l.VerifyPassword(s.challenge, password) {
		s.session.Fatal(mysqlwire.Error{Code: 1045, State: "28000",
			Message: fmt.Sprintf("Access denied for user '%s'", l.User)}.Packet(seq+1), "access denied")
		return errAlreadyAnswered
	}
	s.phase, s.stmts = awaitCommand, map[uint32]*preparedStmt{}
	return s.writeNow(mysqlwire.OK(seq + 1))
}

// writeNow responds without a slot. A failed write means that the client has disconnected, not that its input is bad.
func (s *clientConn) writeNow(b []byte) error {
	if s.conn.Write(b) != nil {
		return errClientClosed
	}
	return nil
}

func (s *clientConn) command(com byte, body []byte) error {
	switch com {
	case mysqlwire.ComQuit:
		return errClientClosed
	case mysqlwire.ComPing:
		s.reply(mysqlwire.OK(1))
	case mysqlwire.ComResetConnection:
		for id := range s.stmts {
			s.closeStmt(id)
		}
		s.reply(mysqlwire.OK(1))
	case mysqlwire.ComInitDB:
		if string(body) != s.front.Database {
			s.replyError(1049, "42000", fmt.Sprintf("Unknown database '%s'", body))
			break
		}
		s.reply(mysqlwire.OK(1))
	case mysqlwire.ComQuery:
		if tag, ok := s.checkRoutable(string(body)); ok {
			s.submit(&Statement{Tag: tag}, tag, s.front.encodeResponse)
		}
	case mysqlwire.ComStmtPrepare:
		s.prepare(string(body))
	case mysqlwire.ComStmtExecute, mysqlwire.ComStmtSendLongData, mysqlwire.ComStmtClose, mysqlwire.ComStmtReset,
		mysqlwire.ComStmtFetch:
		if len(body) < 4 {
			return mysqlwire.ErrMalformed
		}
		id := binary.LittleEndian.Uint32(body)
		return s.statementCommand(com, id, s.stmts[id], body)
	case mysqlwire.ComSetOption:
		s.replyError(1235, "42000", "multi-statements are not supported")
	default:
		s.replyError(1047, "08S01", fmt.Sprintf("command 0x%02x is not supported", com))
	}
	return nil
}

// reply responds to a command in order without involving a backend.
func (s *clientConn) reply(b []byte) {
	s.session.Enqueue(len(b), func(x *session.Slot) { x.SetResponse(b) })
}

func (s *clientConn) replyError(code uint16, state, message string) {
	s.reply(mysqlwire.Error{Code: code, State: state, Message: message}.Packet(1))
}

// checkRoutable checks a statement's text. It responds to a statement that cannot be routed and then returns false.
func (s *clientConn) checkRoutable(sql string) (sqlcomment.Statement, bool) {
	tag, err := sqlcomment.Parse(sql)
	verb := mysqlwire.FirstKeyword(sql)
	switch {
	case err != nil && !errors.Is(err, sqlcomment.ErrNoComment):
		s.replyInvalid(err)
	case verb == "":
		s.replyError(1065, "42000", "Query was empty")
	case mysqlwire.HasMultipleStatements(sql):
		s.replyError(1235, "42000", "multi-statements are not supported")
	case transactionVerbs[verb]:
		s.replyError(1235, "42000", "transactions are not supported: "+verb)
	case connectorSettings.MatchString(sql):
		s.reply(mysqlwire.OK(1))
	case verb == "SET" || verb == "USE":
		s.replyError(1235, "42000", "session state is not supported: "+verb)
	default:
		return tag, true
	}
	return tag, false
}

// transactionVerbs begin statements that need a dedicated backend connection, which the gateway does not offer.
var transactionVerbs = map[string]bool{"BEGIN": true, "START": true, "COMMIT": true, "ROLLBACK": true, "SAVEPOINT": true,
	"RELEASE": true, "XA": true, "LOCK": true, "UNLOCK": true}

func (s *clientConn) replyInvalid(err error) {
	s.session.Enqueue(0, func(x *session.Slot) { x.Submit(request.Query{}, err, 0, s.front.encodeResponse) })
}

func (s *clientConn) submit(st *Statement, tag sqlcomment.Statement, encode func(request.Response) []byte) {
	arrived := s.session.Arrived()
	q, err := s.front.buildQuery(tag, st)
	s.session.Enqueue(st.size(), func(x *session.Slot) { x.Submit(q, err, arrived, encode) })
}

// isWrite reports whether a statement is anything but a plain read. A read that is taken for a write only adds load to
// the primary.
func isWrite(sql string) bool {
	upper := strings.ToUpper(sql)
	return mysqlwire.FirstKeyword(sql) != "SELECT" || strings.Contains(upper, "FOR UPDATE") || strings.Contains(upper, "INTO ")
}

// connectorSettings matches the session settings that connectors send first; they are acknowledged and ignored.
var connectorSettings = regexp.MustCompile(`(?i)^\s*SET\s+(NAMES\s+'?\w+'?|(SESSION\s+)?AUTOCOMMIT\s*=\s*(1|ON))\s*;?\s*$`)

// buildQuery builds a query from the comment and the configured defaults. A statement that is not known to be a read
// counts as a write that must never run twice, whatever class it names.
func (f *Front) buildQuery(tag sqlcomment.Statement, st *Statement) (request.Query, error) {
	class := f.Defaults.ReadClass
	if isWrite(tag.SQL) {
		class = f.Defaults.WriteClass
	}
	tag.Fields = append(slices.Clip(tag.Fields), // what the comment names comes first and counts
		sqlcomment.Field{Name: "c", Value: class},
		sqlcomment.Field{Name: "cluster", Value: strconv.Itoa(f.Defaults.Group)},
		sqlcomment.Field{Name: "d", Value: strconv.FormatInt(f.Defaults.TimeoutMs, 10)})
	if f.Defaults.Tenant != "" {
		tag.Fields = append(tag.Fields, sqlcomment.Field{Name: "t", Value: f.Defaults.Tenant})
	}
	q, err := f.BuildQuery(tag, st)
	if err != nil {
		return q, err
	}
	switch {
	case st.PrepareOnly: // runs nothing, so any member can serve it
		q.ExternalID, q.Class, q.PrepareOnly = "", f.ClassIndex(f.Defaults.ReadClass), true
	case isWrite(tag.SQL) && f.Settings.Classes[q.Class].Consistency != aspenshed.Write:
		q.Class = f.ClassIndex(f.Defaults.WriteClass)
	}
	return q, nil
}

// encodeResponse encodes a response to the client.
func (f *Front) encodeResponse(x request.Response) []byte {
	switch e, known := x.Value.(mysqlwire.Error); {
	case x.Status == request.Served:
		return x.Value.([]byte)
	case x.Status == request.Refused: // clients retry automatically on SQLSTATE 40001
		m := "refused, nothing ran: " + x.Reason
		if x.RetryAfter > 0 && f.Settings.SendRetryAfter {
			m += fmt.Sprintf("; retry in %d ms", int64(x.RetryAfter+999999)/1e6)
		}
		return mysqlwire.Error{Code: 1213, State: "40001", Message: m}.Packet(1)
	case x.Invalid:
		return mysqlwire.Error{Code: 1210, State: "HY000", Message: x.Reason}.Packet(1)
	case known:
		return e.Packet(1)
	}
	return mysqlwire.Error{Code: 1105, State: "HY000", Message: "failed: " + x.Reason}.Packet(1)
}
