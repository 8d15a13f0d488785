package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/pgwire"
)

// postgres is one connection that speaks the platform's protocol.
type postgres struct {
	d  *DB
	c  *netio.Conn
	in pgwire.Reader
}

func newPostgres(d *DB, c *netio.Conn) *postgres {
	return &postgres{d: d, c: c, in: pgwire.Reader{Startup: true, MaxSize: 1 << 20}}
}

func (p *postgres) Up()          {}
func (p *postgres) Closed(error) {}

func (p *postgres) Data(b []byte) {
	if p.in.Feed(b, p.message) != nil {
		p.c.Close()
	}
}

func (p *postgres) message(m pgwire.Message) error {
	if p.in.Startup {
		p.in.Startup = false
		return p.c.Write(pgwire.StartupResponse())
	}
	sql, _, ok := pgwire.ReadCString(m.Body)
	switch {
	case m.Type == 'X':
		p.c.Close()
	case !ok || m.Type != 'Q':
		return pgwire.ErrMalformed
	case strings.TrimSpace(sql) == "":
		return p.c.Write(pgwire.AppendReadyForQuery(pgwire.AppendMessage(nil, 'I')))
	case sql == "SHOW health":
		primary, position, waiting := p.d.state()
		x1 := 0
		if primary {
			x1 = 1
		}
		p.say(pgRow(fmt.Sprintf("x0=%d.%03d,x1=%d,queue=%d", position/1000, position%1000, x1, waiting)))
	default:
		p.d.serve(sql, func(value string, v Verdict) {
			switch v {
			case Served:
				p.say(pgRow(value))
			case Down:
				p.c.Close()
			case Miss:
				p.say(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "25006", Message: "this is no primary"}))
			case Full:
				p.say(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "53300", Message: "the queue is full"}))
			}
		})
	}
	return nil
}

func (p *postgres) say(b []byte) {
	primary, position, _ := p.d.state()
	role := "on"
	if primary {
		role = "off"
	}
	b = pgwire.AppendMessage(b, 'S', "recovery\x00", role, "\x00")
	b = pgwire.AppendMessage(b, 'S', "lsn_ms\x00", fmt.Sprint(position), "\x00")
	_ = p.c.Write(pgwire.AppendReadyForQuery(b)) // whom a close has reached needs no answer
}

func pgRow(v string) []byte {
	b := pgwire.AppendMessage(nil, 'T', "\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = pgwire.AppendMessage(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(v)))), v)
	return pgwire.AppendMessage(b, 'C', "SELECT 1\x00")
}

// The account that the stand-ins know, and the queries that tell role and position.
const (
	User     = "gateway"
	Password = "standin"
	Role     = "SELECT @@global.read_only"
	Applied  = "SELECT applied_ms FROM heartbeat"
)

var challenge = []byte("12345678abcdefghijkl")

// mysqlConn is one connection that speaks MySQL's protocol.
type mysqlConn struct {
	d     *DB
	c     *netio.Conn
	in    mysqlwire.Reader
	known bool
	next  uint32
	stmts map[uint32]string
}

func newMySQL(d *DB, c *netio.Conn) *mysqlConn {
	return &mysqlConn{d: d, c: c, in: mysqlwire.Reader{MaxSize: 1 << 20}, stmts: map[uint32]string{}}
}

func (p *mysqlConn) Up()          { _ = p.c.Write(mysqlwire.Greeting(1, challenge)) }
func (p *mysqlConn) Closed(error) {}

func (p *mysqlConn) Data(b []byte) {
	if p.in.Feed(b, p.packet) != nil {
		p.c.Close()
	}
}

func (p *mysqlConn) packet(seq byte, body, _ []byte) error {
	if !p.known {
		l, err := mysqlwire.ParseHandshakeResponse(body)
		if p.known = err == nil && l.User == User && l.VerifyPassword(challenge, Password); !p.known {
			return p.c.Write(mysqlwire.Error{Code: 1045, State: "28000", Message: "denied"}.Packet(seq + 1))
		}
		return p.c.Write(mysqlwire.OK(seq + 1))
	}
	if len(body) == 0 {
		return mysqlwire.ErrMalformed
	}
	sql := string(body[1:])
	switch com := body[0]; {
	case com == mysqlwire.ComPing:
		return p.c.Write(mysqlwire.OK(1))
	case com == mysqlwire.ComStmtPrepare:
		p.next++
		p.stmts[p.next] = sql
		return p.c.Write(mysqlwire.PrepareOK(p.next, sql))
	case com == mysqlwire.ComStmtExecute && len(body) >= 5:
		sql = p.stmts[binary.LittleEndian.Uint32(body[1:])]
		if sql == "" {
			return p.c.Write(mysqlwire.Error{Code: 1243, State: "HY000", Message: "unknown statement"}.Packet(1))
		}
		p.run(sql, true)
	case com == mysqlwire.ComQuery && sql == Role:
		primary, _, _ := p.d.state()
		p.row(map[bool]string{true: "0", false: "1"}[primary])
	case com == mysqlwire.ComQuery && sql == Applied:
		_, position, _ := p.d.state()
		p.row(fmt.Sprint(position))
	case com == mysqlwire.ComQuery:
		p.run(sql, false)
	}
	return nil
}

func (p *mysqlConn) row(v string) { _ = p.c.Write(mysqlwire.TextResult("payload", &v)) }

func (p *mysqlConn) run(sql string, binary bool) {
	p.d.serve(sql, func(value string, v Verdict) {
		switch v {
		case Served:
			if binary {
				_ = p.c.Write(mysqlwire.BinaryResult("payload", value))
				return
			}
			p.row(value)
		case Down:
			p.c.Close()
		case Miss:
			_ = p.c.Write(mysqlwire.Error{Code: 1290, State: "HY000", Message: "running with --read-only"}.Packet(1))
		case Full:
			_ = p.c.Write(mysqlwire.Error{Code: 1040, State: "08004", Message: "Too many connections"}.Packet(1))
		}
	})
}
