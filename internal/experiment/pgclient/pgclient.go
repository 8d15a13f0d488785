// Package pgclient is a PostgreSQL client for experiments: one connection, one statement at a time.
package pgclient

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/pgwire"
)

const (
	dialTimeout     = time.Second
	startupTimeout  = 2 * time.Second
	responseTimeout = 3 * time.Second
	maxMessageBytes = 1 << 20 // size limit of one message
	user            = "web"
	database        = "orders"
)

// Errors of a connection, which can't be used after either of them.
var (
	ErrClosed  = errors.New("pgclient: connection closed")
	ErrTimeout = errors.New("pgclient: response timed out")
)

// Client is one connection. It is used by one goroutine at a time.
type Client struct {
	conn        *netio.Conn
	reader      pgwire.Reader
	connected   chan struct{}
	results     chan string // a response's error code; empty: served
	closed      chan struct{}
	closeOnce   sync.Once
	pendingCode string // of the response being received
}

// Dial connects and completes the startup handshake.
func Dial(n *netio.Net, address string) (*Client, error) {
	c := &Client{reader: pgwire.Reader{MaxSize: maxMessageBytes}, connected: make(chan struct{}), results: make(chan string, 4), closed: make(chan struct{})}
	conn, err := n.Dial(address, dialTimeout, false, c)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	select {
	case <-c.connected:
	case <-c.closed:
		return nil, ErrClosed
	}
	if err := conn.Write(pgwire.StartupMessage(user, database)); err != nil {
		return nil, err
	}
	if _, err := c.awaitResult(startupTimeout); err != nil {
		return nil, err
	}
	return c, nil
}

// Query sends one statement and returns the error code of its response; empty: it was served.
func (c *Client) Query(sql string) (code string, err error) {
	if err := c.conn.Write(pgwire.QueryMessage(sql)); err != nil {
		return "", err
	}
	return c.awaitResult(responseTimeout)
}

func (c *Client) awaitResult(limit time.Duration) (code string, err error) {
	select {
	case code = <-c.results:
		return code, nil
	case <-c.closed:
		return "", ErrClosed
	case <-time.After(limit):
		c.conn.Close()
		return "", ErrTimeout
	}
}

// Error codes with which a gateway refuses a statement without running it.
const (
	codeTooManyConnections = "53300"
	codeCannotConnectNow   = "57P03"
)

// Counts counts responses by result. It is safe for concurrent use.
type Counts struct{ Served, Refused, Failed atomic.Int64 }

// Add counts a result of Query and reports whether the statement was served.
func (c *Counts) Add(code string, err error) (served bool) {
	switch {
	case err != nil:
		c.Failed.Add(1)
	case code == "":
		c.Served.Add(1)
		return true
	case code == codeTooManyConnections || code == codeCannotConnectNow:
		c.Refused.Add(1)
	default:
		c.Failed.Add(1)
	}
	return false
}

// Close ends the connection.
func (c *Client) Close() { c.conn.Close() }

// Connected implements netio.Handler.
func (c *Client) Connected() { close(c.connected) }

// Closed implements netio.Handler.
func (c *Client) Closed(error) { c.closeOnce.Do(func() { close(c.closed) }) }

// Data implements netio.Handler.
func (c *Client) Data(b []byte) {
	if err := c.reader.Feed(b, c.handleMessage); err != nil {
		c.conn.Close()
		c.Closed(err)
	}
}

func (c *Client) handleMessage(m pgwire.Message) error {
	switch m.Type {
	case 'E':
		e, _ := pgwire.ParseError(m.Body)
		c.pendingCode = e.Code
	case 'Z':
		c.results <- c.pendingCode
		c.pendingCode = ""
	}
	return nil
}
