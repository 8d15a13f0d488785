package netio

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sirupsen/logrus"
)

// Conn is one connection. Its methods may be called from any goroutine.
type Conn struct {
	mu          sync.Mutex // held while the poller comes to know c: before that nobody may close it
	nbConn      *nbio.Conn // nil while the dial is on
	handler     Handler
	closed      atomic.Bool  // the handler hears nothing more
	unsentBytes atomic.Int64 // bytes that Write has taken and the system not yet
	descriptors *atomic.Int64
	queue       writeQueue
	flusher     *flusher
	cancelDial  context.CancelFunc // of the dial

	readMu sync.Mutex // held from a read to the end of its Data: Shut knows by it that nothing lies between the two
}

// closeViaPoller ends sending at once and has the poller close c. A descriptor that anybody else closed could be another
// connection's before the poller comes to what the system had told it of this one, and that one would end for it.
func closeViaPoller(c *nbio.Conn) {
	c.Lock() // it can't be closed meanwhile
	defer c.Unlock()
	closeViaPollerLocked(c)
}

// closeViaPollerLocked is hangUp for one who holds c's lock.
func closeViaPollerLocked(c *nbio.Conn) {
	if done, _ := c.IsClosed(); !done {
		_ = syscall.Shutdown(c.Hash(), syscall.SHUT_RDWR) // where that fails the poller has the end before it already
	}
}

func (x *Conn) loadConn() *nbio.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.nbConn
}

// Unsent tells whether some of what was written still waits for the peer to read. Close would drop it.
func (x *Conn) Unsent() bool { return x.unsentBytes.Load() > 0 }

// read hands on what has come; the caller holds reading. whole: until nothing is left, though that costs one more call.
// An error means that nothing more will come.
func (x *Conn) read(c *nbio.Conn, buf []byte, whole bool) error {
	for range maxReadsPerEvent {
		n, err := c.Read(buf)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return nil
		case err != nil:
			return err
		case n == 0:
			return io.EOF
		default:
			if !x.closed.Load() {
				x.callHandler(func() { x.handler.Data(buf[:n]) })
			}
			if n < len(buf) && !whole {
				return nil
			}
		}
	}
	return nil
}

// Shut ends the connection in order: it stops sending, drops what still comes, and closes once the peer has, within
// LingerLimit. A close over unread bytes would reset the connection, and take with it what the peer has not read yet.
//
// All that has come before is handed on first. Then idle says whether that leaves the connection without a purpose; if
// not, nothing happens and Shut returns false. What comes later was never read, and its sender knows that.
// After Shut, as after Close, no Closed follows.
func (x *Conn) Shut(idle func() bool) bool {
	x.readMu.Lock()
	defer x.readMu.Unlock()
	c := x.loadConn()
	if c == nil {
		x.Close()
		return true
	}
	err := x.read(c, make([]byte, 4<<10), true)
	if !idle() {
		return false
	}
	x.closed.Store(true)
	if err == nil {
		c.Lock() // it can't be closed meanwhile
		if done, _ := c.IsClosed(); !done {
			err = syscall.Shutdown(c.Hash(), syscall.SHUT_WR)
		}
		c.Unlock()
	}
	if err != nil {
		closeViaPoller(c)
		return true
	}
	time.AfterFunc(LingerTimeout, func() { closeViaPoller(c) })
	return true
}

// Close ends the connection at once; no Closed follows.
func (x *Conn) Close() {
	x.closed.Store(true)
	if c := x.loadConn(); c != nil {
		closeViaPoller(c)
	} else if x.cancelDial != nil {
		x.cancelDial()
	}
}

// connectionEnded gives the descriptor back and tells the handler, unless it closed itself.
func (x *Conn) connectionEnded(err error) {
	x.descriptors.Add(-1)
	if c := x.loadConn(); c != nil {
		err = cmp.Or(x.closeQueue(c), err)
	}
	x.waitForReader()
	x.notifyClosed(err)
}

// waitForReader returns once the handler has had all that was read. nbio reports the end of a connection on a goroutine
// of its own, which may overtake the one that reads. A read that begins later finds the connection ended.
func (x *Conn) waitForReader() {
	x.readMu.Lock()
	defer x.readMu.Unlock()
}

func (x *Conn) notifyClosed(err error) {
	if !x.closed.Swap(true) {
		x.handler.Closed(err)
	}
}

// callHandler keeps a panic in a parser from ending the program: the connection is closed instead.
func (x *Conn) callHandler(f func()) {
	defer func() {
		if p := recover(); p != nil {
			logrus.WithField("panic", p).Error("connection closed: panic while reading it")
			if c := x.loadConn(); c != nil {
				closeViaPoller(c)
			}
		}
	}()
	f()
}
