package netio

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sirupsen/logrus"
)

// Conn is a connection. Its methods may be called from any goroutine.
type Conn struct {
	mu          sync.Mutex // held while nbConn is registered with the poller: it must not be closed before
	nbConn      *nbio.Conn // nil while dialing
	handler     Handler
	system      System
	closed      atomic.Bool   // the handler gets no more calls
	unsentBytes atomic.Int64  // bytes accepted by Write but not by the kernel
	descriptors *atomic.Int64 // count of the connections in the same direction
	queue       writeQueue
	flusher     *flusher
	cancelDial  context.CancelFunc

	readMu    sync.Mutex                     // held from a read until its Data returns, so that Shutdown finds no data between the two
	flow      atomic.Pointer[FlowController] // the handler, if it is one
	reads     *readQueue
	queued    atomic.Bool // it is in reads
	discarded int         // bytes read after it was closed from this side; readMu guards it
}

// closeViaPoller shuts the socket down and has the poller close it. If another goroutine closed the descriptor, the
// kernel could reuse its number before the poller has handled the pending events of the old connection, which would
// then end the new one.
func closeViaPoller(nb *nbio.Conn) {
	nb.Lock() // prevents a concurrent close
	defer nb.Unlock()
	closeViaPollerLocked(nb)
}

// closeViaPollerLocked is closeViaPoller for callers that hold the lock of the nbio connection.
func closeViaPollerLocked(nb *nbio.Conn) {
	if done, _ := nb.IsClosed(); !done {
		_ = syscall.Shutdown(nb.Hash(), syscall.SHUT_RDWR) // on an error the poller already has the close event
	}
}

// loadConn returns the nbio connection, or nil while dialing.
func (c *Conn) loadConn() *nbio.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nbConn
}

func (c *Conn) setHandler(h Handler) {
	c.handler = h
	if flow, ok := h.(FlowController); ok {
		c.flow.Store(&flow)
	}
}

// flowController returns the handler if it is a FlowController, or else nil.
func (c *Conn) flowController() FlowController {
	if flow := c.flow.Load(); flow != nil {
		return *flow
	}
	return nil
}

// Peer returns the address of the other end, or "" while dialing.
func (c *Conn) Peer() string {
	nb := c.loadConn()
	if nb == nil || nb.RemoteAddr() == nil {
		return ""
	}
	return nb.RemoteAddr().String()
}

// Unsent returns how many written bytes are still queued. Close would drop them.
func (c *Conn) Unsent() int { return int(c.unsentBytes.Load()) }

// readAll passes all received data to the handler, as far as it lets it be read. The caller holds readMu. An error means
// that no more data will come.
func (c *Conn) readAll(nb *nbio.Conn) error {
	buf := make([]byte, shutdownBufferSize)
	for range maxReadsPerEvent {
		if more, err := c.readTurn(nb, buf); !more || err != nil {
			return err
		}
	}
	return nil
}

// Shutdown closes the connection gracefully: it shuts down the sending side, discards what is still received, and closes
// once the peer has closed, after LingerTimeout at the latest. A close with unread data would reset the connection and
// lose what the peer has not read yet.
//
// All data received so far is passed to the handler first. If idle then returns false, Shutdown does nothing and returns
// false. Data received later is never read, which the peer can detect.
// After Shutdown, as after Close, Closed is not called.
func (c *Conn) Shutdown(idle func() bool) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	nb := c.loadConn()
	if nb == nil {
		c.Close()
		return true
	}
	if flow := c.flowController(); flow != nil && !c.closed.Load() {
		c.callHandler(flow.Resumed)
	}
	err := c.readAll(nb)
	if !idle() {
		return false
	}
	c.closed.Store(true)
	if err == nil {
		nb.Lock() // prevents a concurrent close
		if done, _ := nb.IsClosed(); !done {
			err = syscall.Shutdown(nb.Hash(), syscall.SHUT_WR)
		}
		nb.Unlock()
	}
	if err != nil {
		closeViaPoller(nb)
		return true
	}
	time.AfterFunc(LingerTimeout, func() { closeViaPoller(nb) })
	c.reads.add(c) // the poller reports only what arrives from now on
	return true
}

// Close closes the connection at once. Closed is not called.
func (c *Conn) Close() {
	c.closed.Store(true)
	if nb := c.loadConn(); nb != nil {
		closeViaPoller(nb)
	} else if c.cancelDial != nil {
		c.cancelDial()
	}
}

// connectionEnded releases the descriptor and calls Closed, unless the connection was closed from this side.
func (c *Conn) connectionEnded(err error) {
	c.descriptors.Add(-1)
	if nb := c.loadConn(); nb != nil {
		err = cmp.Or(c.closeQueue(nb), err)
	}
	c.waitForReader()
	c.notifyClosed(err)
	if flow := c.flowController(); flow != nil {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		c.callHandler(flow.Released)
	}
}

// waitForReader returns once the handler has processed all data that was read. nbio reports the end of a connection on
// a separate goroutine, which may overtake the one that reads. A read that starts later finds the connection closed.
func (c *Conn) waitForReader() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
}

func (c *Conn) notifyClosed(err error) {
	if !c.closed.Swap(true) {
		c.handler.Closed(err)
	}
}

// callHandler recovers from a panic in the handler, such as in a parser, and closes the connection.
func (c *Conn) callHandler(f func()) {
	defer func() {
		if p := recover(); p != nil {
			logrus.WithField("panic", p).Error("connection closed: panic in its handler")
			if nb := c.loadConn(); nb != nil {
				closeViaPoller(nb)
			}
		}
	}()
	f()
}
