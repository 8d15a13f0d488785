// Package platform is the thin front for the platform's protocol: PostgreSQL's
// wire with simple queries, towards clients (front.go) and databases (backend.go).
package platform

import (
	"errors"
	"strconv"
	"strings"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
	"aspenshed/internal/netio"
	"aspenshed/internal/pgwire"
	"aspenshed/internal/sqltag"
)

const (
	maxQuery    = 320 << 10 // a value of 64 KiB in hex, twice, with room for the rest
	maxPipeline = 256       // commands of one connection without an answer
)

// Front serves clients.
type Front struct {
	Loop     *core.Loop
	Log      *logrus.Entry
	Settings *nc.Settings
	Take     func(core.Query, nc.Nanos) *core.Request
	Leave    func(*core.Request)
	Rejected func(string)

	sessions map[*session]bool // the loop's
}

// session is one client connection. The poller's goroutine owns the parser; the loop owns the slots.
type session struct {
	f     *Front
	conn  *netio.Conn
	in    pgwire.Reader
	start bool

	slots  []*slot // commands in order, from the first without an answer written
	closed bool
	ending bool     // close once the slots are written
	quiet  nc.Nanos // when the last answer was written
}

// slot keeps a command's place in the order of answers.
type slot struct {
	s      *session
	r      *core.Request
	answer []byte
	done   bool
}

// Accept makes a session for a new connection.
func (f *Front) Accept(c *netio.Conn) netio.Handler {
	return &session{f: f, conn: c, in: pgwire.Reader{Startup: true, Max: maxQuery}, start: true}
}

// Up registers the session.
func (s *session) Up() {
	s.f.Loop.Post(func() {
		if s.f.sessions == nil {
			s.f.sessions = map[*session]bool{}
		}
		s.f.sessions[s] = true
		s.quiet = s.f.Loop.Now()
	})
}

// Data parses and posts.
func (s *session) Data(b []byte) {
	err := s.in.Feed(b, s.message)
	if errors.Is(err, errBye) {
		s.f.Loop.Post(s.end)
	} else if err != nil {
		s.fatal("08P01", err.Error())
	}
}

var errBye = errors.New("client ended the connection")

func (s *session) message(m pgwire.Message) error {
	if s.start {
		return s.startup(m)
	}
	now := s.f.Loop.Now()
	switch m.Type {
	case 'Q':
		sql, _, ok := pgwire.CString(m.Body)
		if !ok {
			return pgwire.ErrMalformed
		}
		if strings.TrimSpace(sql) == "" {
			s.post(func(x *slot) { x.fill(pgwire.Ready(pgwire.Append(nil, 'I'))) })
			return nil
		}
		q, err := s.f.parse(sql)
		s.post(func(x *slot) { s.f.take(x, q, err, now) })
	case 'X':
		return errBye
	default:
		return errors.New("message type " + strconv.QuoteRune(rune(m.Type)) + " not supported: simple queries only")
	}
	return nil
}

func (s *session) startup(m pgwire.Message) error {
	code := uint32(m.Body[0])<<24 | uint32(m.Body[1])<<16 | uint32(m.Body[2])<<8 | uint32(m.Body[3])
	switch code {
	case pgwire.SSLRequest, pgwire.GSSENCRequest:
		return s.conn.Write([]byte{'N'})
	case pgwire.CancelRequest:
		return errBye
	}
	if code>>16 != 3 {
		return errors.New("protocol version not supported")
	}
	s.start, s.in.Startup = false, false
	return s.conn.Write(pgwire.Welcome())
}

// post gives a command its slot, in order.
func (s *session) post(f func(*slot)) {
	s.f.Loop.Post(func() {
		if s.closed || s.ending {
			return
		}
		if len(s.slots) >= maxPipeline {
			s.f.Rejected("too many commands without an answer on one connection")
			s.end()
			return
		}
		x := &slot{s: s}
		s.slots = append(s.slots, x)
		f(x)
	})
}

// fatal answers what cannot be read and closes once the commands before it have their answers.
func (s *session) fatal(code, problem string) {
	s.post(func(x *slot) {
		s.f.Rejected(problem)
		s.ending = true
		x.fill(pgwire.AppendError(nil, pgwire.Error{Severity: "FATAL", Code: code, Message: problem}))
	})
}

// parse turns a statement into a query.
func (f *Front) parse(sql string) (q core.Query, err error) {
	tag, err := sqltag.Parse(sql)
	if err != nil {
		return q, err
	}
	return f.Query(tag, tag)
}

// Query reads what the comment says. Class and tenant go by name.
func (f *Front) Query(tag sqltag.Tag, statement any) (q core.Query, err error) {
	q = core.Query{Class: -1, Statement: statement, Repeat: tag.Values["r"] == "1"}
	if tag.Values["id"] == "" {
		return q, errors.New("comment names no id")
	}
	for i, c := range f.Settings.Classes {
		if c.Name == tag.Values["c"] {
			q.Class = i
		}
	}
	if q.Class < 0 {
		return q, errors.New("unknown class " + strconv.Quote(tag.Values["c"]))
	}
	if t, ok := tag.Values["t"]; ok && len(f.Settings.Tenants) > 0 {
		q.Tenant = -1
		for i, x := range f.Settings.Tenants {
			if x.Name == t {
				q.Tenant = i
			}
		}
		if q.Tenant < 0 {
			return q, errors.New("unknown tenant " + strconv.Quote(t))
		}
	}
	if f.Settings.Classes[q.Class].Need == nc.OwnWrites || f.Settings.Classes[q.Class].Need == nc.WriteToIt {
		q.Session = sessionKey(tag.SQL)
	}
	d, err := tag.Int("d", 0)
	if err != nil {
		return q, err
	}
	if d <= 0 || d > 1e7 {
		return q, errors.New("comment: d is missing or out of range")
	}
	q.Wait = nc.Nanos(d * 1e6)
	g, err := tag.Int("cluster", -1)
	if err != nil {
		return q, err
	}
	q.Group = int(g)
	after, err := tag.Int("after", 0)
	if err == nil && after > 0 {
		q.SinceCommit = max(f.Loop.Now()-core.UnixMs(after), 1)
	}
	return q, err
}

// sessionKey is the first quoted value of a statement.
func sessionKey(sql string) string {
	parts := strings.SplitN(sql, "'", 3)
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

func (f *Front) take(x *slot, q core.Query, err error, now nc.Nanos) {
	if err != nil {
		f.Rejected(err.Error())
		x.fill(pgwire.Ready(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "42601", Message: err.Error()})))
		return
	}
	q.Client = x
	if r := f.Take(q, now); r != nil && !r.Final {
		x.r = r
	}
}

// Finish writes the one final answer.
func (x *slot) Finish(f core.Final) {
	var b []byte
	switch f.Verdict {
	case core.Served:
		b = f.Value.([]byte)
	case core.Refused:
		e := pgwire.Error{Severity: "ERROR", Code: "53300", Message: "refused: " + f.Reason}
		if f.RetryIn > 0 && x.s.f.Settings.RetryAdvice {
			e.Detail = strconv.FormatInt(int64(f.RetryIn+999999)/1e6, 10)
		}
		b = pgwire.AppendError(nil, e)
	default:
		b = pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "XX000", Message: "failed: " + f.Reason})
	}
	x.fill(pgwire.Ready(b))
}

// fill sets a command's answer and writes all answers that are next in order.
func (x *slot) fill(b []byte) {
	s := x.s
	x.answer, x.done, x.r = b, true, nil
	if s.closed {
		return
	}
	for len(s.slots) > 0 && s.slots[0].done {
		if s.conn.Write(s.slots[0].answer) != nil {
			s.end()
			return
		}
		s.slots = s.slots[1:]
		s.quiet = s.f.Loop.Now()
	}
	if s.ending && len(s.slots) == 0 {
		s.end()
	}
}

// Closed is called when the client has gone.
func (s *session) Closed(error) { s.f.Loop.Post(s.end) }

// end closes the connection; what it still waited for has been left.
func (s *session) end() {
	if s.closed {
		return
	}
	s.closed = true
	s.conn.Close()
	delete(s.f.sessions, s)
	for _, x := range s.slots {
		if x.r != nil {
			s.f.Leave(x.r)
		}
	}
	s.slots = nil
}

// CloseIdle closes connections between requests that have been quiet for that
// long, and reports how many remain. The pause lets a written answer arrive
// before a close that might reset the connection.
func (f *Front) CloseIdle(quiet nc.Nanos) (left int) {
	for s := range f.sessions {
		if len(s.slots) == 0 && f.Loop.Now() >= s.quiet+quiet {
			s.end()
		}
	}
	return len(f.sessions)
}
