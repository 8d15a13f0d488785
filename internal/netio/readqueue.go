package netio

import (
	"errors"
	"io"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// clientTurnReads bounds the reads of a connection with a FlowController before it is the turn of others. One of them
	// usually finds that nothing is left.
	clientTurnReads = 2
	// maxLingerBytes bounds what is read and discarded after Shutdown: a client that sends more than it could not yet know of
	// the end is reset.
	maxLingerBytes = 256 << 10
	// minObservedRead is the shortest piece whose turn is observed: the clock is not read for each short statement.
	minObservedRead = 1 << 10
)

// FlowController is a Handler that decides how much is read from its connection. Its connections are read in turns. All
// methods are called on any goroutine, never concurrently with Data, and must not call Resume.
type FlowController interface {
	Handler
	// ReadSize returns how many bytes may be read next; 0: none until Conn.Resume is called.
	ReadSize() int
	// Resumed is called before reading goes on after Conn.Resume, or after all written data was sent.
	Resumed()
	// TurnEnded is called when it is the turn of others; nothingLeft tells whether all received data has been read.
	TurnEnded(nothingLeft bool)
	// Released is called when the connection has ended, for whatever reason. No other call follows.
	Released()
}

// Resume has reading continue after ReadSize has returned 0. It may be called from any goroutine.
func (c *Conn) Resume() { c.reads.add(c) }

// readQueue reads connections that had more data than one turn allows, or whose reading was resumed, one turn at a time.
type readQueue struct {
	net    *Net
	mu     sync.Mutex
	notify *sync.Cond
	conns  []*Conn // each is in it once
	closed bool
}

func newReadQueue(n *Net) *readQueue {
	q := &readQueue{net: n}
	q.notify = sync.NewCond(&q.mu)
	return q
}

// add gives a connection a turn after those that wait already.
func (q *readQueue) add(c *Conn) {
	if c.queued.Swap(true) {
		return
	}
	q.mu.Lock()
	q.conns = append(q.conns, c)
	q.mu.Unlock()
	q.notify.Signal()
}

// next waits for the connection whose turn it is; nil after stop.
func (q *readQueue) next() *Conn {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.conns) == 0 && !q.closed {
		q.notify.Wait()
	}
	if q.closed {
		return nil
	}
	c := q.conns[0]
	q.conns[0] = nil
	if q.conns = q.conns[1:]; len(q.conns) == 0 {
		q.conns = nil
	}
	return c
}

func (q *readQueue) run() {
	buf := make([]byte, readBufferSize)
	for c := q.next(); c != nil; c = q.next() {
		c.queued.Store(false) // what arrives from now on gives it another turn
		if nb := c.loadConn(); nb != nil {
			q.turn(c, nb, buf)
		}
		runtime.Gosched() // the poller and the event loop have their turn
	}
}

func (q *readQueue) turn(c *Conn, nb *nbio.Conn, buf []byte) {
	c.readMu.Lock()
	if flow := c.flowController(); flow != nil && !c.closed.Load() {
		c.callHandler(flow.Resumed)
	}
	more, err := c.readTurn(nb, buf)
	c.readMu.Unlock()
	switch {
	case err != nil:
		closeViaPoller(nb)
	case more:
		q.add(c)
	}
}

func (q *readQueue) stop() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.notify.Signal()
}

// readTurn reads what a connection may read in one turn and passes it to the handler. The caller holds readMu. more reports
// whether data may be left; an error means that no more data will come.
func (c *Conn) readTurn(nb *nbio.Conn, buf []byte) (more bool, err error) {
	var startedAt time.Time // of the first piece that is not short
	defer func() {
		if !startedAt.IsZero() {
			c.reads.net.observeRead(time.Since(startedAt))
		}
	}()
	for range c.turnReads() {
		size := c.readSize(len(buf))
		if size == 0 { // until Resume
			c.turnEnded(false)
			return false, nil
		}
		n, err := c.system.Read(nb, buf[:size])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			c.turnEnded(true)
			return false, nil
		case err != nil:
			return false, err
		case n == 0:
			return false, io.EOF
		default:
			if n >= minObservedRead && startedAt.IsZero() {
				startedAt = time.Now()
			}
			if err := c.passOn(buf[:n]); err != nil {
				return false, err
			}
		}
	}
	c.turnEnded(false)
	return true, nil
}

func (c *Conn) turnReads() int {
	if c.flow.Load() != nil {
		return clientTurnReads
	}
	return maxReadsPerEvent
}

func (c *Conn) readSize(most int) int {
	flow := c.flowController()
	if flow == nil || c.closed.Load() {
		return most
	}
	return min(flow.ReadSize(), most)
}

func (c *Conn) turnEnded(nothingLeft bool) {
	if flow := c.flowController(); flow != nil && !c.closed.Load() {
		c.callHandler(func() { flow.TurnEnded(nothingLeft) })
	}
}

// passOn passes data to the handler, or discards it after the connection was closed from this side.
func (c *Conn) passOn(b []byte) error {
	if !c.closed.Load() {
		c.callHandler(func() { c.handler.Data(b) })
		return nil
	}
	if c.discarded += len(b); c.discarded > maxLingerBytes {
		return ErrClosed
	}
	return nil
}
