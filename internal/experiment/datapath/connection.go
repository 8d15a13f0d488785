package datapath

import (
	"fmt"
	"net"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

const (
	dialLimit   = 5 * time.Second
	answerLimit = 3 * time.Second
	answerBytes = 4096
)

// clientConn is a client's connection to a real gateway.
type clientConn struct {
	c     net.Conn
	in    pgwire.Reader
	ready int    // ReadyForQuery messages that came
	code  string // of the last error
	bytes int
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, dialLimit)
	if err != nil {
		return nil, err
	}
	x := &clientConn{c: c, in: pgwire.Reader{MaxSize: 1 << 20}}
	if err := x.roundTrip(pgwire.StartupMessage("web", "orders")); err != nil {
		_ = c.Close()
		return nil, err
	}
	return x, nil
}

// ask sends one statement of a class; code is an error's, empty: it was served.
func (x *clientConn) ask(class int, id int64) (code string, err error) {
	verb := "SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=%s,d=900,cluster=1 */"
	if class == write {
		verb = "INSERT INTO entries (ref, payload) VALUES ('k%d', '\\x00') RETURNING payload /* id=%d,c=%s,d=900,cluster=1 */"
	}
	err = x.roundTrip(pgwire.QueryMessage(fmt.Sprintf(verb, id%100, id, classNames[class])))
	return x.code, err
}

// roundTrip writes and reads up to the next ReadyForQuery.
func (x *clientConn) roundTrip(out []byte) error {
	_ = x.c.SetDeadline(time.Now().Add(answerLimit))
	x.code = ""
	n, err := x.c.Write(out)
	x.bytes += n
	b := make([]byte, answerBytes)
	for until := x.ready + 1; err == nil && x.ready < until; {
		if n, err = x.c.Read(b); n > 0 {
			x.bytes += n
			err = x.in.Feed(b[:n], x.message)
		}
	}
	return err
}

func (x *clientConn) message(m pgwire.Message) error {
	switch m.Type {
	case 'E':
		e, _ := pgwire.ParseError(m.Body)
		x.code = e.Code
	case 'Z':
		x.ready++
	}
	return nil
}
