package datapath

import (
	"fmt"
	"net"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

const (
	dialTimeout     = 5 * time.Second
	responseTimeout = 3 * time.Second
	readBufferSize  = 4096
)

// clientConn is a client connection to a real gateway.
type clientConn struct {
	conn        net.Conn
	reader      pgwire.Reader
	readyCount  int    // ReadyForQuery messages received
	errorCode   string // of the last error response
	socketBytes int
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	x := &clientConn{conn: c, reader: pgwire.Reader{MaxSize: 1 << 20}}
	if err := x.roundTrip(pgwire.StartupMessage("web", "orders")); err != nil {
		_ = c.Close()
		return nil, err
	}
	return x, nil
}

// query sends one statement of a class and returns the error code of its response; empty: it was served.
func (x *clientConn) query(class int, id int64) (code string, err error) {
	statement := "SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=%s,d=900,cluster=1 */"
	if class == write {
		statement = "INSERT INTO entries (ref, payload) VALUES ('k%d', '\\x00') RETURNING payload /* id=%d,c=%s,d=900,cluster=1 */"
	}
	err = x.roundTrip(pgwire.QueryMessage(fmt.Sprintf(statement, id%100, id, classNames[class])))
	return x.errorCode, err
}

// roundTrip writes a message and reads up to the next ReadyForQuery.
func (x *clientConn) roundTrip(out []byte) error {
	_ = x.conn.SetDeadline(time.Now().Add(responseTimeout))
	x.errorCode = ""
	n, err := x.conn.Write(out)
	x.socketBytes += n
	b := make([]byte, readBufferSize)
	for until := x.readyCount + 1; err == nil && x.readyCount < until; {
		if n, err = x.conn.Read(b); n > 0 {
			x.socketBytes += n
			err = x.reader.Feed(b[:n], x.handleMessage)
		}
	}
	return err
}

func (x *clientConn) handleMessage(m pgwire.Message) error {
	switch m.Type {
	case 'E':
		e, _ := pgwire.ParseError(m.Body)
		x.errorCode = e.Code
	case 'Z':
		x.readyCount++
	}
	return nil
}
