// Package postgres implements the platform's protocol, the PostgreSQL wire protocol with simple queries, towards
// clients (front.go) and databases (backend.go).
package postgres

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/pgwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const maxQuery = 144 << 10 // a value of 64 KiB in hex, and room for the rest of the statement

// Front is the front end that serves clients.
type Front struct{ session.Manager }

// clientConn is one client connection; the poller's goroutine owns the parser.
type clientConn struct {
	session.Input
	front        *Front
	conn         *netio.Conn
	session      *session.Session
	reader       pgwire.Reader
	awaitStartup bool
	askedFor     map[uint32]bool // kinds of encryption that the client asked for; nil after the startup
}

// Accept creates the session of a new connection.
func (f *Front) Accept(c *netio.Conn) netio.Handler {
	s := &clientConn{front: f, conn: c, session: f.Open(c, f.encodeResponse), reader: pgwire.Reader{Startup: true, MaxSize: maxQuery}, awaitStartup: true,
		askedFor: map[uint32]bool{}}
	s.Input = session.NewInput(s.session, &s.reader.Assembler, s.Data)
	return s
}

// Connected does nothing: the client sends the first message.
func (s *clientConn) Connected() {}

// Closed is called when the connection has ended.
func (s *clientConn) Closed(error) { s.session.ClientClosed() }

// Data parses received bytes and enqueues the commands in them.
func (s *clientConn) Data(b []byte) {
	if s.session.InputEnded() {
		return
	}
	err := s.reader.Feed(b, s.message)
	s.session.SetPartial(s.reader.HasPartial())
	switch {
	case errors.Is(err, errClientClosed):
		s.session.ClientClosed()
	case err != nil:
		s.session.Fatal(pgwire.AppendError(nil, pgwire.Error{Severity: "FATAL", Code: "08P01", Message: err.Error()}), err.Error())
	}
}

var (
	errClientClosed = errors.New("client ended the connection")
	errAskedAgain   = errors.New("encryption was declined already")
	errNoMemory     = errors.New("no memory for the startup packet")
)

func (s *clientConn) message(m pgwire.Message) error {
	if s.awaitStartup {
		return s.startup(m)
	}
	arrived := s.session.Arrived()
	switch m.Type {
	case 'Q':
		if m.Dropped || !s.session.HasRoom(len(m.Body)) {
			s.session.Shed()
			return nil
		}
		sql, _, ok := pgwire.ReadCString(m.Body)
		if !ok {
			return pgwire.ErrMalformed
		}
		if strings.TrimSpace(sql) == "" {
			s.session.Enqueue(len(m.Body), func(x *session.Slot) { x.SetResponse(pgwire.AppendReadyForQuery(pgwire.AppendMessage(nil, 'I'))) })
			return nil
		}
		q, err := s.front.parseStatement(sql)
		s.session.Enqueue(len(m.Body), func(x *session.Slot) { x.Submit(q, err, arrived, s.front.encodeResponse) })
	case 'X':
		return errClientClosed
	default:
		return errors.New("message type " + strconv.QuoteRune(rune(m.Type)) + " not supported: simple queries only")
	}
	return nil
}

func (s *clientConn) startup(m pgwire.Message) error {
	if m.Dropped {
		return errNoMemory
	}
	switch code := binary.BigEndian.Uint32(m.Body); {
	case code == pgwire.SSLRequest || code == pgwire.GSSENCRequest:
		if s.askedFor[code] {
			return errAskedAgain
		}
		s.askedFor[code] = true
		return s.writeNow([]byte{'N'})
	case code == pgwire.CancelRequest:
		return errClientClosed
	case code>>16 != pgwire.ProtocolVersion3>>16:
		return errors.New("protocol version not supported")
	}
	s.awaitStartup, s.reader.Startup, s.askedFor = false, false, nil
	return s.writeNow(pgwire.StartupResponse())
}

// writeNow responds without a slot. A failed write means that the client has disconnected, not that its input is bad.
func (s *clientConn) writeNow(b []byte) error {
	if s.conn.Write(b) != nil {
		return errClientClosed
	}
	return nil
}

// parseStatement builds a query from a statement and its comment.
func (f *Front) parseStatement(sql string) (request.Query, error) {
	tag, err := sqlcomment.Parse(sql)
	if err == nil && tag.Fields.Get("id") == "" {
		err = errors.New("comment names no id")
	}
	if err != nil {
		return request.Query{}, err
	}
	return f.BuildQuery(tag, tag)
}

// encodeResponse encodes a response to the client.
func (f *Front) encodeResponse(x request.Response) []byte {
	e := pgwire.Error{Severity: "ERROR", Code: "XX000", Message: "failed: " + x.Reason}
	own, known := x.Value.(pgwire.Error)
	switch {
	case x.Status == request.Served:
		return pgwire.AppendReadyForQuery(x.Value.([]byte))
	case x.Status == request.Refused:
		e.Code, e.Message = "53300", "refused: "+x.Reason
		if x.RetryAfter > 0 && f.Settings.SendRetryAfter {
			e.Detail = strconv.FormatInt(int64(x.RetryAfter+999999)/1e6, 10)
		}
	case known && own.Code != "57P03": // the database's own error, unless its code would read as a refusal
		e.Code, e.Message = own.Code, own.Message
	case x.Invalid:
		e.Code, e.Message = "42601", x.Reason
	}
	return pgwire.AppendReadyForQuery(pgwire.AppendError(nil, e))
}
