package soak

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

const (
	dialTimeout    = 500 * time.Millisecond
	handshakeLimit = time.Second
	answerMargin   = lostAfter + 500*time.Millisecond // how long a client waits for a late answer
)

// Error codes with which a gateway refuses a request.
var refusalCodes = map[string]bool{"53300": true, "57P03": true}

var errHandshake = errors.New("the gateway did not complete the handshake")

// clientConn is a client's connection to a gateway.
type clientConn struct {
	conn   net.Conn
	reader pgwire.Reader
	used   bool
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: conn, reader: pgwire.Reader{MaxSize: maxMessage}}
	if _, err := conn.Write(pgwire.StartupMessage("web", "orders")); err != nil {
		conn.Close()
		return nil, err
	}
	if _, _, err := c.await(time.Now().Add(handshakeLimit)); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", errHandshake, err)
	}
	return c, nil
}

// await reads until a response is complete, and returns the code of its error and whether it had a row.
func (c *clientConn) await(until time.Time) (code string, row bool, err error) {
	_ = c.conn.SetReadDeadline(until)
	b := make([]byte, 4096)
	done := false
	for !done {
		n, err := c.conn.Read(b)
		if n > 0 {
			parseErr := c.reader.Feed(b[:n], func(m pgwire.Message) error {
				switch m.Type {
				case 'E':
					e, _ := pgwire.ParseError(m.Body)
					code = e.Code
					done = done || e.Severity == "FATAL"
				case 'D':
					row = true
				case 'Z':
					done = true
				}
				return nil
			})
			err = errors.Join(err, parseErr)
		}
		if err != nil && !done {
			return code, row, err
		}
	}
	return code, row, nil
}

// connPool holds the resting connections to one gateway.
type connPool struct {
	mu    sync.Mutex
	conns []*clientConn
}

func (p *connPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.conns); n > 0 {
		c := p.conns[n-1]
		p.conns = p.conns[:n-1]
		return c
	}
	return nil
}

func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
}

// closeAll closes the resting connections.
func (p *connPool) closeAll() {
	for c := p.take(); c != nil; c = p.take() {
		c.conn.Close()
	}
}

func statementText(id string, class int, group int, timeout time.Duration) string {
	if classes[class].write {
		return fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('%s', '\\x9f03') RETURNING payload /* id=%s,c=%s,d=%d,cluster=%d */",
			id, id, classes[class].name, timeout.Milliseconds(), group)
	}
	return fmt.Sprintf("SELECT payload FROM entries WHERE ref = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", id, id, classes[class].name,
		timeout.Milliseconds(), group)
}

// send sends a request on a connection and waits for its answer, or until the client leaves.
func (c *clientConn) send(x *requestRecord, group int, timeout, leaveAfter time.Duration) {
	query := pgwire.QueryMessage(statementText(x.id, x.class, group, timeout))
	x.sentAt = time.Now()
	x.deadline = x.sentAt.Add(timeout)
	if _, err := c.conn.Write(query); err != nil {
		x.answer, x.endedAt = connClosed, time.Now()
		return
	}
	until := x.deadline.Add(answerMargin)
	if leaveAfter > 0 {
		until = x.sentAt.Add(leaveAfter)
	}
	code, row, err := c.await(until)
	x.endedAt = time.Now()
	var timeoutErr net.Error
	switch {
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout() && leaveAfter > 0:
		x.answer = left
		c.conn.Close()
		x.endedAt = time.Now()
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		x.answer = unanswered
	case err != nil:
		x.answer = connClosed
	case refusalCodes[code]:
		x.answer = refused
	case code != "" || !row:
		x.answer = failed
	default:
		x.answer = served
	}
}
