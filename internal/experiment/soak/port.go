package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"aspenshed/internal/protocol/pgwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	maxMessage    = 1 << 20
	readBuffer    = 16 << 10
	pieceSize     = 7 // bytes of a piece, where a link cuts messages
	pieceInterval = time.Millisecond
)

// linkFault is what the link between one gateway and one database does.
type linkFault int

const (
	linkWorks       linkFault = iota
	linkRefuses               // connections are refused, open ones go on
	linkComesUpLate           // new connections take long
	linkResets                // new connections are reset
	linkHolds                 // what is sent is held and arrives later, all at once
	linkSilent                // nothing arrives, and connections stay open
	linkCutsUp                // messages arrive in small pieces
)

var linkFaultNames = [...]string{"works", "refuses", "comes up late", "resets", "holds", "silent", "cuts up"}

func (f linkFault) String() string { return linkFaultNames[f] }

var errDatabaseDown = errors.New("the database is down")

// port is where one gateway reaches one database. Its link has faults of its own.
type port struct {
	db      *database
	gateway int
	address string

	mu        sync.Mutex
	listener  net.Listener
	fault     linkFault
	until     time.Time // the fault ends
	delay     time.Duration
	silent    bool // the database vanished without a word
	conns     map[net.Conn]bool
	listening bool
}

func newPort(d *database, gateway int, listenAddress string) (*port, error) {
	p := &port{db: d, gateway: gateway, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	p.serveListener(l)
	return p, nil
}

func (p *port) serveListener(l net.Listener) {
	p.listener, p.listening = l, true
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.accept(c)
		}
	}()
}

// listen listens again at the same address.
func (p *port) listen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listening {
		return
	}
	for range 50 { // the port may be held for a moment
		l, err := net.Listen("tcp", p.address)
		if err == nil {
			p.serveListener(l)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *port) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listening {
		p.listener.Close()
		p.listening = false
	}
}

// setFault lets the link have a fault for a while.
func (p *port) setFault(f linkFault, delay, duration time.Duration) {
	p.mu.Lock()
	p.fault, p.delay, p.until = f, delay, time.Now().Add(duration)
	p.mu.Unlock()
	if f == linkRefuses {
		p.stopListening()
		time.AfterFunc(duration, func() {
			if p.db.isRunning() {
				p.listen()
			}
		})
	}
}

func (p *port) activeFault() (linkFault, time.Duration, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.until) {
		return linkWorks, 0, time.Time{}
	}
	return p.fault, p.delay, p.until
}

func (p *port) databaseStopped(silent bool) {
	p.mu.Lock()
	p.silent = silent
	p.mu.Unlock()
	if !silent {
		p.stopListening()
		p.resetAll()
	}
}

func (p *port) databaseStarted() {
	p.mu.Lock()
	wasSilent := p.silent
	p.silent = false
	refusing := p.fault == linkRefuses && time.Now().Before(p.until)
	p.mu.Unlock()
	if wasSilent {
		p.resetAll()
	}
	if !refusing {
		p.listen()
	}
}

// connections returns the number of open connections.
func (p *port) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// resetAll resets the open connections.
func (p *port) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	p.conns = map[net.Conn]bool{}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *port) accept(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		c.Close()
	}()
	switch fault, delay, _ := p.activeFault(); fault {
	case linkResets:
		reset(c)
		return
	case linkComesUpLate:
		time.Sleep(delay)
	}
	x := &databaseConn{port: p, conn: c, reader: pgwire.Reader{Startup: true, MaxSize: maxMessage}}
	x.run()
}

// databaseConn is a gateway's connection to a database.
type databaseConn struct {
	port    *port
	conn    net.Conn
	reader  pgwire.Reader
	firstAt time.Time // when the first byte of an incomplete message was sent
	sentAt  time.Time // when the bytes that are being parsed came out of the socket
	readAt  time.Time // when they arrive, after what the link's fault does
}

func (x *databaseConn) run() {
	b := make([]byte, readBuffer)
	for {
		n, err := x.conn.Read(b)
		if err != nil {
			return
		}
		x.sentAt = time.Now()
		x.readAt = x.sentAt
		if !x.pass() {
			continue
		}
		if !x.reader.HasPartial() {
			x.firstAt = x.sentAt
		}
		if x.reader.Feed(b[:n], x.message) != nil {
			return
		}
	}
}

// pass delays or drops what was read, as the link's fault wants it; it reports whether it arrives.
func (x *databaseConn) pass() bool {
	p := x.port
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	switch fault, _, until := p.activeFault(); {
	case silent || fault == linkSilent:
		return false
	case fault == linkHolds:
		time.Sleep(time.Until(until))
		x.readAt = time.Now()
	}
	return true
}

func (x *databaseConn) message(m pgwire.Message) error {
	if x.reader.Startup {
		x.reader.Startup = false
		return x.write(pgwire.StartupResponse())
	}
	sql, _, ok := pgwire.ReadCString(m.Body)
	switch {
	case !ok || m.Type != 'Q':
		return pgwire.ErrMalformed
	case strings.TrimSpace(sql) == "":
		return x.write(pgwire.AppendReadyForQuery(pgwire.AppendMessage(nil, 'I')))
	case sql == "SHOW health":
		return x.write(x.withRole(rowMessages(x.port.db.health())))
	}
	return x.statement(sql)
}

func (x *databaseConn) statement(sql string) error {
	s, err := sqlcomment.Parse(sql)
	if err != nil {
		return err
	}
	d := x.port.db
	starts := d.generation()
	result, took, record := d.begin(x.port.gateway, s, arrivalTimes{x.firstAt, x.sentAt, x.readAt})
	switch result {
	case down:
		reset(x.conn)
		return errDatabaseDown
	case rejectedFull:
		return x.write(x.withRole(errorMessage("53300", "the queue is full")))
	case rejectedNotPrimary:
		return x.write(x.withRole(errorMessage("25006", "this is no primary")))
	}
	time.Sleep(took)
	if !d.complete(record, starts) {
		return errDatabaseDown
	}
	value := fmt.Sprintf("%s by %s", record.id, d.id)
	if strings.Contains(sql, "'"+largeKey) {
		value += strings.Repeat("x", largeValue-len(value))
	}
	return x.write(x.withRole(rowMessages(value)))
}

func errorMessage(code, text string) []byte {
	return pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: code, Message: text})
}

func rowMessages(value string) []byte {
	b := pgwire.AppendMessage(nil, 'T', "\x00\x01payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	b = pgwire.AppendMessage(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	return pgwire.AppendMessage(b, 'C', "SELECT 1\x00")
}

// withRole ends a response with the database's role.
func (x *databaseConn) withRole(b []byte) []byte {
	role := "on"
	if x.port.db.isPrimary() {
		role = "off"
	}
	return pgwire.AppendReadyForQuery(pgwire.AppendMessage(b, 'S', "recovery\x00", role, "\x00"))
}

func (x *databaseConn) write(b []byte) error {
	fault, _, _ := x.port.activeFault()
	x.port.mu.Lock()
	silent := x.port.silent
	x.port.mu.Unlock()
	if silent || fault == linkSilent {
		return nil
	}
	if fault != linkCutsUp {
		_, err := x.conn.Write(b)
		return err
	}
	for len(b) > 0 {
		n := min(pieceSize, len(b))
		if _, err := x.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(pieceInterval)
	}
	return nil
}
