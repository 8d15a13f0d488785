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

// statement is a statement that has arrived whole at a database.
type statement struct {
	at  time.Time
	sql string
	id  string
}

// answer is how a database answers a statement.
type answer struct {
	after time.Duration
	value string
	never bool
}

// database is a stand-in of one database. It listens on loopback.
type database struct {
	name    string
	primary bool
	// isPrimary tells the role at the moment; nil: that of primary.
	isPrimary func() bool
	serve     func(s statement) answer // nil: at once
	handle    func(*database, net.Conn)

	mu       sync.Mutex
	address  string
	hung     bool // it takes commands and answers none
	listener net.Listener
	conns    map[net.Conn]bool
	seen     []statement
	firstAt  time.Time // of the first connection since it was opened
}

func newDatabase(name string, primary bool, handle func(*database, net.Conn)) (*database, error) {
	d := &database{name: name, primary: primary, handle: handle, address: host + ":0", conns: map[net.Conn]bool{}}
	return d, d.open()
}

// open starts to listen, at the former address if there is one.
func (d *database) open() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.address, d.firstAt = l, l.Addr().String(), time.Time{}
	d.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[c] = true
			if d.firstAt.IsZero() {
				d.firstAt = time.Now()
			}
			d.mu.Unlock()
			go func() {
				defer func() {
					c.Close()
					d.mu.Lock()
					delete(d.conns, c)
					d.mu.Unlock()
				}()
				d.handle(d, c)
			}()
		}
	}()
	return nil
}

// die does what the end of its process does: connections are reset, new ones refused.
func (d *database) die() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener.Close()
	for c := range d.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// arrived records a statement.
func (d *database) arrived(sql string) statement {
	s := statement{time.Now(), sql, field(sql, "id")}
	current.note("%s runs %s: %s", d.name, s.id, short(sql))
	d.mu.Lock()
	d.seen = append(d.seen, s)
	d.mu.Unlock()
	return s
}

// after returns the statements that have arrived later than that.
func (d *database) after(t time.Time) (out []statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.seen {
		if s.at.After(t) {
			out = append(out, s)
		}
	}
	return out
}

func (d *database) leads() bool {
	if d.isPrimary != nil {
		return d.isPrimary()
	}
	return d.primary
}

// hang has the database answer nothing from now on. Its connections stay open, and new ones come up.
func (d *database) hang() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hung = true
}

func (d *database) isHung() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hung
}

func (d *database) connectedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstAt
}

func (d *database) answerTo(s statement) answer {
	if d.serve == nil {
		return answer{value: "of " + d.name}
	}
	return d.serve(s)
}

// field returns a field of a statement's comment.
func field(sql, name string) string {
	i := strings.LastIndex(sql, "/*")
	if i < 0 {
		return ""
	}
	for _, part := range strings.Split(strings.TrimSuffix(strings.TrimSpace(sql[i+2:]), "*/"), ",") {
		if k, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok && k == name {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

func pgMessage(typ byte, body []byte) []byte {
	var b []byte
	if typ != 0 {
		b = append(b, typ)
	}
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body)+4)), body...)
}

func readPG(in *bufio.Reader, typed bool) (typ byte, body []byte, err error) {
	if typed {
		if typ, err = in.ReadByte(); err != nil {
			return 0, nil, err
		}
	}
	var head [4]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 4 || n > 1<<22 {
		return 0, nil, errors.New("bad length")
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(in, body)
	return typ, body, err
}

var pgReady = pgMessage('Z', []byte("I"))

func pgRow(value string) []byte {
	b := pgMessage('T', []byte("\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = append(b, pgMessage('D', append(row, value...))...)
	return append(b, pgMessage('C', []byte("SELECT 1\x00"))...)
}

// servePG speaks the platform's protocol as a database.
func servePG(d *database, c net.Conn) {
	in := bufio.NewReader(c)
	if _, _, err := readPG(in, false); err != nil {
		return
	}
	if _, err := c.Write(append(pgMessage('R', make([]byte, 4)), pgReady...)); err != nil {
		return
	}
	for {
		typ, body, err := readPG(in, true)
		if err != nil || typ != 'Q' {
			return
		}
		sql := strings.TrimSuffix(string(body), "\x00")
		now := time.Now().UnixMilli()
		role, x1 := "on", 0
		if d.primary {
			role, x1 = "off", 1
		}
		tail := pgMessage('S', []byte("recovery\x00"+role+"\x00"))
		var out []byte
		switch {
		case strings.TrimSpace(sql) == "":
			out = pgMessage('I', nil)
		case sql == "SHOW health":
			out = append(pgRow(fmt.Sprintf("x0=%d.%03d,x1=%d,queue=0", now/1000, now%1000, x1)), tail...)
		default:
			write := strings.HasPrefix(sql, "INSERT")
			if write && !d.primary {
				out = append(pgMessage('E', []byte("SERROR\x00C25006\x00Mno primary\x00\x00")), tail...)
				break
			}
			a := d.answerTo(d.arrived(sql))
			if a.never {
				_, _ = io.Copy(io.Discard, in)
				return
			}
			time.Sleep(a.after)
			out = append(pgRow(a.value), tail...)
		}
		if d.isHung() {
			continue
		}
		if _, err := c.Write(append(out, pgReady...)); err != nil {
			return
		}
	}
}

// pgClient is a client of the platform's protocol.
type pgClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialPG(address string) (*pgClient, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	p := &pgClient{c, bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(pgMessage(0, []byte("\x00\x03\x00\x00user\x00web\x00database\x00orders\x00\x00"))); err != nil {
		c.Close()
		return nil, err
	}
	if _, _, err := p.result(); err != nil {
		c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return p, nil
}

func pgQuery(sql string) []byte { return pgMessage('Q', append([]byte(sql), 0)) }

// result reads one answer: a value, the code of an error, or the end of the connection.
func (p *pgClient) result() (value, code string, err error) {
	for {
		typ, body, err := readPG(p.in, true)
		if err != nil {
			return "", "", err
		}
		switch typ {
		case 'D':
			value = string(body[6:])
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					code = f[1:]
				}
			}
		case 'Z':
			return value, code, nil
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " no answer: " + err.Error()
}

// ask sends one statement and waits for its answer.
func (p *pgClient) ask(sql string, limit time.Duration) (value, code string, err error) {
	_ = p.conn.SetDeadline(time.Now().Add(limit))
	if sql != "" { // else the question whether it is ready
		current.note("sent %s", short(sql))
		defer func() { current.note("answered %s: %s %s%s", field(sql, "id"), short(value), code, errorText(err)) }()
	}
	if _, err := p.conn.Write(pgQuery(sql)); err != nil {
		return "", "", err
	}
	return p.result()
}
