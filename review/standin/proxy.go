package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a network between two sides that can be cut. While it is cut it says nothing: open connections stay open and
// silent, new ones come up nowhere. When it heals, the connections of before are reset.
type link struct {
	mu     sync.Mutex
	isCut  bool
	conns  map[net.Conn]bool
	passed int // bytes
}

func newLink() *link { return &link{conns: map[net.Conn]bool{}} }

// proxy returns an address that leads over the link to target.
func (l *link) proxy(target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) cutNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *link) serve(c net.Conn, target string) {
	l.add(c)
	defer c.Close()
	if l.cutNow() { // until heal closes it
		_, _ = io.Copy(io.Discard, c)
		return
	}
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	l.add(out)
	defer out.Close()
	done := make(chan bool, 2)
	for _, pair := range [][2]net.Conn{{c, out}, {out, c}} {
		go func() {
			l.copy(pair[0], pair[1])
			done <- true
		}()
	}
	<-done
}

// pass counts bytes that may go on now; false: the link is cut.
func (l *link) pass(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return false
	}
	l.passed += n
	return true
}

func (l *link) copy(from, to net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		for !l.pass(n) { // an end is not told either
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.passed = true, 0
}

// heal ends the cut and returns how many bytes have passed since its beginning.
func (l *link) heal() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.isCut, l.conns = false, map[net.Conn]bool{}
	return l.passed
}
