package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/pgwire"
)

// postgresConn is one connection that speaks the PostgreSQL protocol.
type postgresConn struct {
	db     *DB
	conn   *netio.Conn
	reader pgwire.Reader
}

func newPostgresConn(d *DB, c *netio.Conn) *postgresConn {
	return &postgresConn{db: d, conn: c, reader: pgwire.Reader{Startup: true, MaxSize: 1 << 20}}
}

func (p *postgresConn) Connected()   {}
func (p *postgresConn) Closed(error) {}

func (p *postgresConn) Data(b []byte) {
	if p.reader.Feed(b, p.message) != nil {
		p.conn.Close()
	}
}

func (p *postgresConn) message(m pgwire.Message) error {
	if p.reader.Startup {
		p.reader.Startup = false
		return p.conn.Write(pgwire.StartupResponse())
	}
	sql, _, ok := pgwire.ReadCString(m.Body)
	switch {
	case m.Type == 'X':
		p.conn.Close()
	case !ok || m.Type != 'Q':
		return pgwire.ErrMalformed
	case strings.TrimSpace(sql) == "":
		return p.conn.Write(pgwire.AppendReadyForQuery(pgwire.AppendMessage(nil, 'I')))
	case sql == "SHOW health":
		primary, position, inFlight := p.db.state()
		x1 := 0
		if primary {
			x1 = 1
		}
		p.write(postgresRow(fmt.Sprintf("x0=%d.%03d,x1=%d,queue=%d", position/1000, position%1000, x1, inFlight)))
	default:
		p.db.serve(sql, func(value string, result Result) {
			switch result {
			case Served:
				p.write(postgresRow(value))
			case Unavailable:
				p.conn.Close()
			case NotPrimary:
				p.write(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "25006", Message: "this is no primary"}))
			case Overloaded:
				p.write(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: "53300", Message: "the queue is full"}))
			}
		})
	}
	return nil
}

func (p *postgresConn) write(b []byte) {
	primary, position, _ := p.db.state()
	role := "on"
	if primary {
		role = "off"
	}
	b = pgwire.AppendMessage(b, 'S', "recovery\x00", role, "\x00")
	b = pgwire.AppendMessage(b, 'S', "lsn_ms\x00", fmt.Sprint(position), "\x00")
	_ = p.conn.Write(pgwire.AppendReadyForQuery(b)) // fails if the connection is closed; then no response is needed
}

func postgresRow(v string) []byte {
	b := pgwire.AppendMessage(nil, 'T', "\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = pgwire.AppendMessage(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(v)))), v)
	return pgwire.AppendMessage(b, 'C', "SELECT 1\x00")
}

// The account that MySQL stand-ins accept, and the queries that they answer with role and position.
const (
	User          = "gateway"
	Password      = "standin"
	RoleQuery     = "SELECT @@global.read_only"
	PositionQuery = "SELECT applied_ms FROM heartbeat"
)

var challenge = []byte("12345678abcdefghijkl")

// mysqlConn is one connection that speaks the MySQL protocol.
type mysqlConn struct {
	db              *DB
	conn            *netio.Conn
	reader          mysqlwire.Reader
	authenticated   bool
	lastStatementID uint32
	statements      map[uint32]string
}

func newMySQLConn(d *DB, c *netio.Conn) *mysqlConn {
	return &mysqlConn{db: d, conn: c, reader: mysqlwire.Reader{MaxSize: 1 << 20}, statements: map[uint32]string{}}
}

func (p *mysqlConn) Connected()   { _ = p.conn.Write(mysqlwire.Greeting(1, challenge)) }
func (p *mysqlConn) Closed(error) {}

func (p *mysqlConn) Data(b []byte) {
	if p.reader.Feed(b, p.packet) != nil {
		p.conn.Close()
	}
}

func (p *mysqlConn) packet(packet mysqlwire.Packet) error {
	seq, body := packet.Seq, packet.Body
	if !p.authenticated {
		l, err := mysqlwire.ParseHandshakeResponse(body)
		if p.authenticated = err == nil && l.User == User && l.VerifyPassword(challenge, Password); !p.authenticated {
			return p.conn.Write(mysqlwire.Error{Code: 1045, State: "28000", Message: "denied"}.Packet(seq + 1))
		}
		return p.conn.Write(mysqlwire.OK(seq + 1))
	}
	if len(body) == 0 {
		return mysqlwire.ErrMalformed
	}
	sql := string(body[1:])
	switch command := body[0]; {
	case command == mysqlwire.ComPing:
		return p.conn.Write(mysqlwire.OK(1))
	case command == mysqlwire.ComStmtPrepare:
		p.lastStatementID++
		p.statements[p.lastStatementID] = sql
		return p.conn.Write(mysqlwire.PrepareOK(p.lastStatementID, sql))
	case command == mysqlwire.ComStmtExecute && len(body) >= 5:
		sql = p.statements[binary.LittleEndian.Uint32(body[1:])]
		if sql == "" {
			return p.conn.Write(mysqlwire.Error{Code: 1243, State: "HY000", Message: "unknown statement"}.Packet(1))
		}
		p.execute(sql, true)
	case command == mysqlwire.ComQuery && sql == RoleQuery:
		primary, _, _ := p.db.state()
		p.writeRow(map[bool]string{true: "0", false: "1"}[primary])
	case command == mysqlwire.ComQuery && sql == PositionQuery:
		_, position, _ := p.db.state()
		p.writeRow(fmt.Sprint(position))
	case command == mysqlwire.ComQuery:
		p.execute(sql, false)
	}
	return nil
}

func (p *mysqlConn) writeRow(v string) { _ = p.conn.Write(mysqlwire.TextResult("payload", &v)) }

func (p *mysqlConn) execute(sql string, binary bool) {
	p.db.serve(sql, func(value string, result Result) {
		switch result {
		case Served:
			if binary {
				_ = p.conn.Write(mysqlwire.BinaryResult("payload", value))
				return
			}
			p.writeRow(value)
		case Unavailable:
			p.conn.Close()
		case NotPrimary:
			_ = p.conn.Write(mysqlwire.Error{Code: 1290, State: "HY000", Message: "running with --read-only"}.Packet(1))
		case Overloaded:
			_ = p.conn.Write(mysqlwire.Error{Code: 1040, State: "08004", Message: "Too many connections"}.Packet(1))
		}
	})
}
