package netio

import (
	"cmp"
	"errors"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// All writes are made here and none by nbio (v1.6.8): where a write fails, or its buffer is full, nbio closes the descriptor on
// the goroutine that writes. Its number may then be the next connection's while the poller still has an event of the old
// one at hand, and would end the new one by it. Here a failed write stops both ways of the connection, and the poller closes.

// ErrFull is the error of a write on a connection whose peer does not read.
var ErrFull = errors.New("write buffer full")

// maxWriteBuffer bounds what waits on one connection for its peer to read, where the Config says nothing else: a write that
// would come to more with what waits ends the connection. A single write that finds nothing waiting may be longer, as whoever
// made it holds it already.
const maxWriteBuffer = 2 << 20

// writeQueue is what waits for the system to take it; the lock of nbio's connection guards it.
type writeQueue struct {
	buffer  []byte
	taken   int   // of buffer, by the system
	watched bool  // the flusher's epoll knows the descriptor
	failed  error // no more may be written
}

// Write sends or queues b. An error means that its last byte never left.
func (x *Conn) Write(b []byte) error {
	c := x.conn()
	if c == nil || x.closed.Load() {
		return ErrClosed
	}
	c.Lock() // it can't be closed meanwhile
	defer c.Unlock()
	if !x.writable(c) {
		return ErrClosed
	}
	err := x.sendOrQueue(c, b)
	if err != nil {
		x.failWrites(c, err)
	}
	return err
}

// writable tells whether a write may be tried. Its caller holds c's lock, as do those of the functions below.
func (x *Conn) writable(c *nbio.Conn) bool {
	ended, _ := c.IsClosed()
	return !ended && x.queue.failed == nil
}

func (x *Conn) sendOrQueue(c *nbio.Conn, b []byte) error {
	q := &x.queue
	waiting := len(q.buffer) - q.taken
	switch {
	case waiting == 0:
		n, err := writeAvailable(c.Hash(), b)
		if err != nil || n == len(b) {
			return err
		}
		b = b[n:]
	case x.tooMuch(waiting + len(b)):
		return ErrFull
	}
	if q.taken > waiting { // each byte is moved once at most for each that has been taken
		q.buffer = append(q.buffer[:0], q.buffer[q.taken:]...)
		q.taken = 0
	}
	q.buffer = append(q.buffer, b...)
	x.countWaiting()
	return x.flusher.watch(x, c.Hash())
}

// flush writes on what waits, once the system takes more.
func (x *Conn) flush() {
	c := x.conn()
	c.Lock()
	defer c.Unlock()
	if !x.writable(c) {
		return
	}
	q := &x.queue
	n, err := writeAvailable(c.Hash(), q.buffer[q.taken:])
	q.taken += n
	x.countWaiting()
	if q.taken == len(q.buffer) {
		q.buffer, q.taken = nil, 0
		return
	}
	if err == nil {
		err = x.flusher.watch(x, c.Hash())
	}
	if err != nil {
		x.failWrites(c, err)
	}
}

// failWrites drops what waits and has the poller close the connection.
func (x *Conn) failWrites(c *nbio.Conn, err error) {
	x.dropQueue(err)
	shutDown(c)
}

// endWrites drops what waits on a connection that has ended, and returns why writes failed, if one did.
func (x *Conn) endWrites(c *nbio.Conn) error {
	c.Lock()
	defer c.Unlock()
	failed := x.queue.failed
	x.dropQueue(cmp.Or(failed, ErrClosed))
	x.flusher.forget(x, c.Hash())
	return failed
}

func (x *Conn) dropQueue(why error) {
	x.queue.failed = why
	x.queue.buffer, x.queue.taken = nil, 0
	x.countWaiting()
}

// tooMuch tells whether that many bytes may not wait on the connection.
func (x *Conn) tooMuch(waiting int) bool {
	total := x.flusher.queued.Load() - x.unsent.Load() + int64(waiting)
	return waiting > x.flusher.writeBuffer || waiting > x.flusher.share && total > x.flusher.maxQueued
}

// countWaiting brings the counts of what waits up to date.
func (x *Conn) countWaiting() {
	waiting := int64(len(x.queue.buffer) - x.queue.taken)
	x.flusher.queued.Add(waiting - x.unsent.Swap(waiting))
}

// writeAvailable writes as much as the system takes at once.
func writeAvailable(descriptor int, b []byte) (n int, err error) {
	for n < len(b) {
		k, err := syscall.Write(descriptor, b[n:])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return n, nil
		case err != nil:
			return n, err
		default:
			n += k
		}
	}
	return n, nil
}

// flusher waits for connections whose writes got stuck, in an epoll of its own: nbio's is not told of writes that it has not
// made. It closes no descriptor, and a stale event of one costs a needless try of the connection that has its number.
type flusher struct {
	epoll *os.File // Go's own poller watches it, so no thread waits in it
	raw   syscall.RawConn

	writeBuffer int // bytes that may wait on one connection

	queued    atomic.Int64 // bytes that wait on all connections
	maxQueued int64
	share     int // of a connection, beyond maxQueued

	mu    sync.Mutex
	stuck map[int32]*Conn // by descriptor; no more than there are
}

func newFlusher(c Config) (*flusher, error) {
	descriptor, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if err := syscall.SetNonblock(descriptor, true); err != nil { // NewFile goes by it
		_ = syscall.Close(descriptor)
		return nil, os.NewSyscallError("fcntl", err)
	}
	f := &flusher{epoll: os.NewFile(uintptr(descriptor), "epoll"), stuck: map[int32]*Conn{}, maxQueued: cmp.Or(c.Queued, math.MaxInt64)}
	f.share = int(f.maxQueued) / max(c.Clients+c.Dials, 1)
	if f.raw, err = f.epoll.SyscallConn(); err != nil {
		return nil, errors.Join(err, f.epoll.Close())
	}
	return f, nil
}

// watch has x flushed once its descriptor takes more. The caller holds the lock of x's nbio connection.
func (f *flusher) watch(x *Conn, descriptor int) error {
	operation := syscall.EPOLL_CTL_ADD
	if x.queue.watched {
		operation = syscall.EPOLL_CTL_MOD
	}
	x.queue.watched = true
	f.mu.Lock()
	f.stuck[int32(descriptor)] = x
	f.mu.Unlock()
	event := syscall.EpollEvent{Fd: int32(descriptor), Events: syscall.EPOLLOUT | syscall.EPOLLONESHOT}
	var err error
	if controlErr := f.raw.Control(func(epoll uintptr) {
		err = syscall.EpollCtl(int(epoll), operation, descriptor, &event)
	}); controlErr != nil {
		return controlErr
	}
	return os.NewSyscallError("epoll_ctl", err)
}

// forget drops a connection that has ended; the system forgets its descriptor by itself.
func (f *flusher) forget(x *Conn, descriptor int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stuck[int32(descriptor)] == x {
		delete(f.stuck, int32(descriptor))
	}
}

func (f *flusher) connection(descriptor int32) *Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stuck[descriptor]
}

// run flushes until stop.
func (f *flusher) run() {
	events := make([]syscall.EpollEvent, 128)
	for {
		var n int
		err := f.raw.Read(func(epoll uintptr) bool {
			n, _ = syscall.EpollWait(int(epoll), events, 0)
			return n > 0
		})
		if err != nil { // closed
			return
		}
		for _, event := range events[:n] {
			if x := f.connection(event.Fd); x != nil {
				x.flush()
			}
		}
	}
}

func (f *flusher) stop() { _ = f.epoll.Close() }
