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

// ErrWriteBufferFull is the error of a write on a connection whose peer does not read.
var ErrWriteBufferFull = errors.New("write buffer full")

// defaultMaxWriteBuffer bounds what waits on one connection for its peer to read, where the Config says nothing else: a write that
// would come to more with what waits ends the connection. A single write that finds nothing waiting may be longer, as whoever
// made it holds it already.
const defaultMaxWriteBuffer = 2 << 20

// writeQueue is what waits for the system to take it; the lock of nbio's connection guards it.
type writeQueue struct {
	buffer     []byte
	sent       int   // of buffer, by the system
	registered bool  // the flusher's epoll knows the descriptor
	err        error // no more may be written
}

// Write sends or queues b. An error means that its last byte never left.
func (x *Conn) Write(b []byte) error {
	c := x.loadConn()
	if c == nil || x.closed.Load() {
		return ErrClosed
	}
	c.Lock() // it can't be closed meanwhile
	defer c.Unlock()
	if !x.canWrite(c) {
		return ErrClosed
	}
	err := x.sendOrQueue(c, b)
	if err != nil {
		x.failWrites(c, err)
	}
	return err
}

// canWrite tells whether a write may be tried. Its caller holds c's lock, as do those of the functions below.
func (x *Conn) canWrite(c *nbio.Conn) bool {
	ended, _ := c.IsClosed()
	return !ended && x.queue.err == nil
}

func (x *Conn) sendOrQueue(c *nbio.Conn, b []byte) error {
	q := &x.queue
	waiting := len(q.buffer) - q.sent
	switch {
	case waiting == 0:
		n, err := writeAvailable(c.Hash(), b)
		if err != nil || n == len(b) {
			return err
		}
		b = b[n:]
	case x.exceedsLimit(waiting + len(b)):
		return ErrWriteBufferFull
	}
	if q.sent > waiting { // each byte is moved once at most for each that has been taken
		q.buffer = append(q.buffer[:0], q.buffer[q.sent:]...)
		q.sent = 0
	}
	q.buffer = append(q.buffer, b...)
	x.updateCounts()
	return x.flusher.watch(x, c.Hash())
}

// flush writes on what waits, once the system takes more.
func (x *Conn) flush() {
	c := x.loadConn()
	c.Lock()
	defer c.Unlock()
	if !x.canWrite(c) {
		return
	}
	q := &x.queue
	n, err := writeAvailable(c.Hash(), q.buffer[q.sent:])
	q.sent += n
	x.updateCounts()
	if q.sent == len(q.buffer) {
		q.buffer, q.sent = nil, 0
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
	closeViaPollerLocked(c)
}

// closeQueue drops what waits on a connection that has ended, and returns why writes failed, if one did.
func (x *Conn) closeQueue(c *nbio.Conn) error {
	c.Lock()
	defer c.Unlock()
	failed := x.queue.err
	x.dropQueue(cmp.Or(failed, ErrClosed))
	x.flusher.unregister(x, c.Hash())
	return failed
}

func (x *Conn) dropQueue(why error) {
	x.queue.err = why
	x.queue.buffer, x.queue.sent = nil, 0
	x.updateCounts()
}

// exceedsLimit tells whether that many bytes may not wait on the connection.
func (x *Conn) exceedsLimit(waiting int) bool {
	total := x.flusher.queued.Load() - x.unsentBytes.Load() + int64(waiting)
	return waiting > x.flusher.maxWriteBuffer || waiting > x.flusher.fairShare && total > x.flusher.maxQueued
}

// updateCounts brings the counts of what waits up to date.
func (x *Conn) updateCounts() {
	waiting := int64(len(x.queue.buffer) - x.queue.sent)
	x.flusher.queued.Add(waiting - x.unsentBytes.Swap(waiting))
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

	maxWriteBuffer int // bytes that may wait on one connection

	queued    atomic.Int64 // bytes that wait on all connections
	maxQueued int64
	fairShare int // of a connection, beyond maxQueued

	mu      sync.Mutex
	blocked map[int32]*Conn // by descriptor; no more than there are
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
	f := &flusher{epoll: os.NewFile(uintptr(descriptor), "epoll"), blocked: map[int32]*Conn{}, maxQueued: cmp.Or(c.MaxQueued, math.MaxInt64)}
	f.fairShare = int(f.maxQueued) / max(c.MaxClients+c.MaxDials, 1)
	if f.raw, err = f.epoll.SyscallConn(); err != nil {
		return nil, errors.Join(err, f.epoll.Close())
	}
	return f, nil
}

// watch has x flushed once its descriptor takes more. The caller holds the lock of x's nbio connection.
func (f *flusher) watch(x *Conn, descriptor int) error {
	operation := syscall.EPOLL_CTL_ADD
	if x.queue.registered {
		operation = syscall.EPOLL_CTL_MOD
	}
	x.queue.registered = true
	f.mu.Lock()
	f.blocked[int32(descriptor)] = x
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

// unregister drops a connection that has ended; the system forgets its descriptor by itself.
func (f *flusher) unregister(x *Conn, descriptor int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked[int32(descriptor)] == x {
		delete(f.blocked, int32(descriptor))
	}
}

func (f *flusher) lookup(descriptor int32) *Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[descriptor]
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
			if x := f.lookup(event.Fd); x != nil {
				x.flush()
			}
		}
	}
}

func (f *flusher) stop() { _ = f.epoll.Close() }
