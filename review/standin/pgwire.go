package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// The parts of PostgreSQL's protocol that the protocol page names, for both sides.

func pgMessage(kind byte, body string) []byte {
	b := []byte{kind, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(b[1:], uint32(len(body)+4))
	return append(b, body...)
}

func pgRead(r *bufio.Reader) (kind byte, body []byte, err error) {
	if kind, err = r.ReadByte(); err != nil {
		return 0, nil, err
	}
	body, err = pgBody(r)
	return kind, body, err
}

func pgBody(r *bufio.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:])) - 4
	if n < 0 || n > 1<<20 {
		return nil, errors.New("bad length")
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}

func pgRow(value string) []byte {
	b := pgMessage('T', "\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = append(b, pgMessage('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value)...)
	return append(b, pgMessage('C', "SELECT 1\x00")...)
}

func pgError(code, message string) []byte {
	return pgMessage('E', "SERROR\x00C"+code+"\x00M"+message+"\x00\x00")
}

// fields returns the names and values of the comment at a statement's end.
func fields(sql string) map[string]string {
	out := map[string]string{}
	from := strings.LastIndex(sql, "/*")
	if from < 0 {
		return out
	}
	for _, part := range strings.Split(strings.Trim(sql[from:], "/* "), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		out[k] = v
	}
	return out
}

// pgReply is what a client got for one statement.
type pgReply struct {
	value string // of a row
	code  string // of an error; empty: served
	err   error  // the connection ended or nothing came in time
}

func (r pgReply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code == "53300" || r.code == "57P03":
		return "refused " + r.code
	case r.code != "":
		return "failed " + r.code
	}
	return "served " + r.value
}

// pgClient is one connection of a client.
type pgClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func pgDial(address string) (*pgClient, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &pgClient{conn, bufio.NewReader(conn)}
	body := "\x00\x03\x00\x00user\x00web\x00database\x00orders\x00\x00"
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)); err != nil {
		return nil, err
	}
	if r := c.receive(2 * time.Second); r.err != nil {
		conn.Close()
		return nil, r.err
	}
	return c, nil
}

// query sends one statement and waits for its answer.
func (c *pgClient) query(sql string, wait time.Duration) pgReply {
	if _, err := c.conn.Write(pgMessage('Q', sql+"\x00")); err != nil {
		return pgReply{err: err}
	}
	return c.receive(wait)
}

func (c *pgClient) receive(wait time.Duration) (r pgReply) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	for {
		kind, body, err := pgRead(c.in)
		if err != nil {
			r.err = err
			return r
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				r.value = string(body[6:])
			}
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					r.code = f[1:]
				}
			}
		case 'I':
			r.value = "empty"
		case 'Z':
			return r
		}
	}
}

// pgReady reports whether a gateway answers the empty query.
func pgReady(address string) bool {
	c, err := pgDial(address)
	if err != nil {
		return false
	}
	defer c.conn.Close()
	return c.query("", time.Second).value == "empty"
}

// database is a stand-in database as the protocol page describes it.
type database struct {
	name string
	rec  *recorder
	work func(class string) time.Duration
	// onStatement, if set, is called when a statement's last byte has arrived.
	onStatement func(d *database, at time.Time, sql string, f map[string]string)

	listener net.Listener
	mu       sync.Mutex
	primary  bool
	group    int       // whose data it holds
	padding  string    // at the end of each value
	frozenAt time.Time // its position stands still since then; zero: it follows the primary
	lag      time.Duration
	ran      map[string]int // writes, by id
	conns    map[net.Conn]bool
}

func startDatabase(rec *recorder, name, address string, primary bool) (*database, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &database{name: name, rec: rec, listener: l, primary: primary, group: 1, lag: 10 * time.Millisecond, ran: map[string]int{},
		conns: map[net.Conn]bool{}, work: func(string) time.Duration { return 60 * time.Millisecond }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *database) address() string { return d.listener.Addr().String() }

// position is the time up to which the database has applied all commits, in Unix ms.
func (d *database) position(now time.Time) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.frozenAt.IsZero():
		return d.frozenAt.UnixMilli()
	case d.primary:
		return now.UnixMilli()
	}
	return now.Add(-d.lag).UnixMilli()
}

func (d *database) isPrimary() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary
}

func (d *database) serve(c net.Conn) {
	d.mu.Lock()
	d.conns[c] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	if _, err := pgBody(in); err != nil {
		return
	}
	ready := pgMessage('Z', "I")
	if _, err := c.Write(append(pgMessage('R', "\x00\x00\x00\x00"), ready...)); err != nil {
		return
	}
	for {
		kind, body, err := pgRead(in)
		if err != nil || kind == 'X' {
			return
		}
		sql := strings.TrimSuffix(string(body), "\x00")
		var out []byte
		switch {
		case kind != 'Q':
			return
		case strings.TrimSpace(sql) == "":
			out = pgMessage('I', "")
		case sql == "SELECT 1":
			out = append(pgRow("1"), d.status()...)
		case sql == "SHOW health":
			p, x1 := d.position(time.Now()), 0
			if d.isPrimary() {
				x1 = 1
			}
			out = append(pgRow(fmt.Sprintf("x0=%d.%03d,x1=%d,queue=0", p/1000, p%1000, x1)), d.status()...)
		default:
			out = append(d.run(sql), d.status()...)
		}
		if _, err := c.Write(append(out, ready...)); err != nil {
			return
		}
	}
}

func (d *database) status() []byte {
	role := "on"
	if d.isPrimary() {
		role = "off"
	}
	b := pgMessage('S', "recovery\x00"+role+"\x00")
	return append(b, pgMessage('S', fmt.Sprintf("lsn_ms\x00%d\x00", d.position(time.Now())))...)
}

func (d *database) run(sql string) []byte {
	f := fields(sql)
	now := time.Now()
	write := strings.HasPrefix(sql, "INSERT")
	d.rec.printf("run     %s id=%s c=%s cluster=%s", d.name, f["id"], f["c"], f["cluster"])
	if d.onStatement != nil {
		d.onStatement(d, now, sql, f)
	}
	if write && !d.isPrimary() {
		return pgError("25006", "this is no primary")
	}
	position := d.position(now)
	time.Sleep(d.work(f["c"]))
	if write {
		d.mu.Lock()
		d.ran[f["id"]]++
		d.mu.Unlock()
		return pgRow("written by " + d.name)
	}
	return pgRow(fmt.Sprintf("%s %d group %d", d.name, position, d.group) + d.padding)
}

// stop ends the database and resets its connections.
func (d *database) stop() {
	d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.Close()
	}
}
