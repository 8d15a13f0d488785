package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

func init() { cases["slowread"] = runSlowRead }

// runSlowRead has one client send 100 reads of 64 KiB values at once on one connection, and read the answers at 4 MiB a
// second (with TROUBLE=0 as fast as it can).
func runSlowRead(e *env) (verdict, error) {
	dbs, _, listen, _, err := startGateway(e, 1)
	if err != nil {
		return notRun, err
	}
	for _, d := range dbs {
		d.padding = strings.Repeat("x", 64<<10-64)
		d.work = func(string) time.Duration { return 5 * time.Millisecond }
	}
	time.Sleep(2 * time.Second)
	c, err := pgDial(listen)
	if err != nil {
		return notRun, err
	}
	if e.trouble {
		c.in.Reset(&slowReader{conn: c.conn, perSecond: 4 << 20})
		_ = c.conn.(*net.TCPConn).SetReadBuffer(256 << 10)
	}
	const n = 100
	var out []byte
	for i := range n {
		out = append(out, pgMessage('Q', fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'k' /* id=%d,c=report,d=2000,cluster=1 */\x00", i))...)
	}
	if _, err := c.conn.Write(out); err != nil {
		return notRun, err
	}
	answered, began := 0, time.Now()
	for answered < n {
		r := c.receive(20 * time.Second)
		e.rec.printf("answer  %d, %d bytes, code %q, %v", answered, len(r.value), r.code, r.err)
		if r.err != nil {
			break
		}
		answered++
	}
	e.rec.say("%d commands sent at once, %d answered in %v", n, answered, time.Since(began).Round(time.Millisecond))
	if answered < n {
		return broken, nil
	}
	return held, nil
}

// slowReader reads a connection at a limited rate.
type slowReader struct {
	conn      net.Conn
	perSecond int
}

func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b[:min(len(b), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.perSecond))
	return n, err
}
