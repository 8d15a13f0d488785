// Package postgres is the thin front for the platform's protocol: PostgreSQL's
// wire with simple queries, towards clients (front.go) and databases (backend.go).
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

const maxQuery = 144 << 10 // a value of 64 KiB in hex, with room for the rest

// Front serves clients.
type Front struct{ session.Manager }

// clientConn is one client connection; the poller's goroutine owns the parser.
type clientConn struct {
	f       *Front
	conn    *netio.Conn
	session *session.Session
	in      pgwire.Reader
	start   bool
}

// Accept makes a session for a new connection.
func (f *Front) Accept(c *netio.Conn) netio.Handler {
	return &clientConn{f: f, conn: c, session: f.Open(c), in: pgwire.Reader{Startup: true, Max: maxQuery}, start: true}
}

// Up has nothing to say: the client speaks first.
func (s *clientConn) Up() {}

// Closed is called when the client has gone.
func (s *clientConn) Closed(error) { s.session.Gone() }

// Data parses and posts.
func (s *clientConn) Data(b []byte) {
	err := s.in.Feed(b, s.message)
	s.session.Reading(s.in.Partial())
	switch {
	case errors.Is(err, errBye):
		s.session.Gone()
	case err != nil:
		s.session.Fatal(pgwire.AppendError(nil, pgwire.Error{Severity: "FATAL", Code: "08P01", Message: err.Error()}), err.Error())
	}
}

var errBye = errors.New("client ended the connection")

func (s *clientConn) message(m pgwire.Message) error {
	if s.start {
		return s.startup(m)
	}
	arrived := s.f.Loop.Now()
	switch m.Type {
	case 'Q':
		sql, _, ok := pgwire.CString(m.Body)
		if !ok {
			return pgwire.ErrMalformed
		}
		if strings.TrimSpace(sql) == "" {
			s.session.Post(len(m.Body), func(x *session.Slot) { x.Fill(pgwire.Ready(pgwire.Append(nil, 'I'))) })
			return nil
		}
		q, err := s.f.parse(sql)
		s.session.Post(len(m.Body), func(x *session.Slot) { x.Ask(q, err, arrived, s.f.answer) })
	case 'X':
		return errBye
	default:
		return errors.New("message type " + strconv.QuoteRune(rune(m.Type)) + " not supported: simple queries only")
	}
	return nil
}

func (s *clientConn) startup(m pgwire.Message) error {
	switch code := binary.BigEndian.Uint32(m.Body); {
	case code == pgwire.SSLRequest || code == pgwire.GSSENCRequest:
		return s.say([]byte{'N'})
	case code == pgwire.CancelRequest:
		return errBye
	case code>>16 != pgwire.Version3>>16:
		return errors.New("protocol version not supported")
	}
	s.start, s.in.Startup = false, false
	return s.say(pgwire.Welcome())
}

// say answers without a slot. A client that can't be answered has gone: that is no bad input.
func (s *clientConn) say(b []byte) error {
	if s.conn.Write(b) != nil {
		return errBye
	}
	return nil
}

// parse turns a statement into a query.
func (f *Front) parse(sql string) (request.Query, error) {
	tag, err := sqlcomment.Parse(sql)
	if err == nil && tag.Values["id"] == "" {
		err = errors.New("comment names no id")
	}
	if err != nil {
		return request.Query{}, err
	}
	return f.Query(tag, tag)
}

// answer is a final answer in bytes.
func (f *Front) answer(x request.Final) []byte {
	e := pgwire.Error{Severity: "ERROR", Code: "XX000", Message: "failed: " + x.Reason}
	own, known := x.Value.(pgwire.Error)
	switch {
	case x.Verdict == request.Served:
		return pgwire.Ready(x.Value.([]byte))
	case x.Verdict == request.Refused:
		e.Code, e.Message = "53300", "refused: "+x.Reason
		if x.RetryIn > 0 && f.Settings.SendRetryAfter {
			e.Detail = strconv.FormatInt(int64(x.RetryIn+999999)/1e6, 10)
		}
	case known && own.Code != "57P03": // a database's own error, where it does not read as a refusal
		e.Code, e.Message = own.Code, own.Message
	case x.Bad:
		e.Code, e.Message = "42601", x.Reason
	}
	return pgwire.Ready(pgwire.AppendError(nil, e))
}
