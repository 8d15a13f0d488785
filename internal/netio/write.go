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

	"aspenshed/internal/membudget"
)

// All writes are made here and none by nbio (v1.6.8): when a write fails, or its buffer is full, nbio closes the
// descriptor on the writing goroutine. The kernel may then reuse its number while the poller still has a pending event
// of the old connection, which would end the new one. Here a failed write shuts the socket down, and the poller closes
// it.

// ErrWriteBufferFull is the error of a write to a peer that does not read fast enough.
var ErrWriteBufferFull = errors.New("write buffer full")

// defaultMaxWriteBuffer is the default limit of the bytes queued on one connection: a write that would exceed it closes
// the connection. A single write to an empty queue may be longer, as its caller already holds it in memory.
const defaultMaxWriteBuffer = 2 << 20

// writeQueue holds the bytes that the kernel has not accepted yet. The lock of the nbio connection guards it.
type writeQueue struct {
	buffer     []byte
	sent       int   // bytes of buffer that the kernel has accepted
	registered bool  // the descriptor is registered with the epoll of the flusher
	err        error // why no more may be written
}

// Write sends or queues b. An error means that its last byte was not sent.
func (c *Conn) Write(b []byte) error {
	nb := c.loadConn()
	if nb == nil || c.closed.Load() {
		return ErrClosed
	}
	nb.Lock() // prevents a concurrent close
	defer nb.Unlock()
	if !c.canWrite(nb) {
		return ErrClosed
	}
	err := c.sendOrQueue(nb, b)
	if err != nil {
		c.failWrites(nb, err)
	}
	return err
}

// canWrite reports whether the connection is open and no write has failed. The caller holds the lock of the nbio
// connection, as do the callers of the functions below.
func (c *Conn) canWrite(nb *nbio.Conn) bool {
	ended, _ := nb.IsClosed()
	return !ended && c.queue.err == nil
}

func (c *Conn) sendOrQueue(nb *nbio.Conn, b []byte) error {
	q := &c.queue
	waiting := len(q.buffer) - q.sent
	switch {
	case waiting == 0:
		n, err := c.writeAvailable(nb.Hash(), b)
		if err != nil || n == len(b) {
			return err
		}
		b = b[n:]
	case c.exceedsLimit(waiting + len(b)):
		return ErrWriteBufferFull
	}
	if q.sent > waiting { // moves at most one byte for each byte sent
		q.buffer = append(q.buffer[:0], q.buffer[q.sent:]...)
		q.sent = 0
	}
	q.buffer = append(q.buffer, b...)
	c.updateCounts()
	return c.flusher.watch(c, nb.Hash())
}

// flush writes queued bytes once the kernel accepts more. Unlike the functions around it, it takes the lock itself.
func (c *Conn) flush() {
	nb := c.loadConn()
	nb.Lock()
	defer nb.Unlock()
	if !c.canWrite(nb) {
		return
	}
	q := &c.queue
	n, err := c.writeAvailable(nb.Hash(), q.buffer[q.sent:])
	q.sent += n
	c.updateCounts()
	if q.sent == len(q.buffer) {
		q.buffer, q.sent = nil, 0
		if c.flow.Load() != nil {
			c.reads.add(c)
		}
		return
	}
	if err == nil {
		err = c.flusher.watch(c, nb.Hash())
	}
	if err != nil {
		c.failWrites(nb, err)
	}
}

// failWrites drops the queue and has the poller close the connection.
func (c *Conn) failWrites(nb *nbio.Conn, err error) {
	c.dropQueue(err)
	closeViaPollerLocked(nb)
}

// closeQueue drops the queue of a connection that has ended, and returns the error of a failed write, if any. It takes
// the lock itself.
func (c *Conn) closeQueue(nb *nbio.Conn) error {
	nb.Lock()
	defer nb.Unlock()
	err := c.queue.err
	c.dropQueue(cmp.Or(err, ErrClosed))
	c.flusher.unregister(c, nb.Hash())
	return err
}

func (c *Conn) dropQueue(err error) {
	c.queue.err = err
	c.queue.buffer, c.queue.sent = nil, 0
	c.updateCounts()
}

// exceedsLimit reports whether the connection may not queue that many bytes.
func (c *Conn) exceedsLimit(waiting int) bool {
	total := c.flusher.queued.Load() - c.unsentBytes.Load() + int64(waiting)
	return waiting > c.flusher.maxWriteBuffer || waiting > c.flusher.fairShare && total > c.flusher.maxQueued
}

// updateCounts updates the counts of queued bytes.
func (c *Conn) updateCounts() {
	waiting := int64(len(c.queue.buffer) - c.queue.sent)
	more := waiting - c.unsentBytes.Swap(waiting)
	c.flusher.queued.Add(more)
	c.flusher.budget.Add(membudget.Unsent, more)
}

// writeAvailable writes as much as the kernel accepts without blocking.
func (c *Conn) writeAvailable(descriptor int, b []byte) (n int, err error) {
	for n < len(b) {
		k, err := c.system.Write(descriptor, b[n:])
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

// flusher waits until blocked connections are writable. It uses its own epoll, as that of nbio doesn't report
// connections with writes that nbio has not made itself. It closes no descriptor, so a stale event only costs a
// needless flush of the connection that has its number.
type flusher struct {
	epoll *os.File // watched by the Go runtime's poller, so that no thread blocks in it
	raw   syscall.RawConn

	maxWriteBuffer int // limit of the bytes queued on one connection

	queued    atomic.Int64 // bytes queued on all connections
	budget    *membudget.Budget
	maxQueued int64
	fairShare int // bytes that a connection may queue beyond maxQueued

	mu      sync.Mutex
	blocked map[int32]*Conn // by descriptor, so no more than there are descriptors
}

func newFlusher(config Config) (*flusher, error) {
	descriptor, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if err := syscall.SetNonblock(descriptor, true); err != nil { // makes os.NewFile use the runtime's poller
		_ = syscall.Close(descriptor)
		return nil, os.NewSyscallError("fcntl", err)
	}
	f := &flusher{epoll: os.NewFile(uintptr(descriptor), "epoll"), blocked: map[int32]*Conn{}, budget: config.Budget, maxQueued: cmp.Or(config.MaxQueued, math.MaxInt64)}
	f.fairShare = int(f.maxQueued) / max(config.MaxClients+config.MaxDials, 1)
	if f.raw, err = f.epoll.SyscallConn(); err != nil {
		return nil, errors.Join(err, f.epoll.Close())
	}
	return f, nil
}

// watch has the connection flushed once its descriptor is writable. The caller holds the lock of its nbio connection.
func (f *flusher) watch(c *Conn, descriptor int) error {
	operation := syscall.EPOLL_CTL_ADD
	if c.queue.registered {
		operation = syscall.EPOLL_CTL_MOD
	}
	c.queue.registered = true
	f.mu.Lock()
	f.blocked[int32(descriptor)] = c
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

// unregister removes a connection that has ended. The kernel removes a closed descriptor from the epoll by itself.
func (f *flusher) unregister(c *Conn, descriptor int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked[int32(descriptor)] == c {
		delete(f.blocked, int32(descriptor))
	}
}

func (f *flusher) lookup(descriptor int32) *Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[descriptor]
}

// run flushes writable connections until stop is called.
func (f *flusher) run() {
	events := make([]syscall.EpollEvent, 128)
	for {
		var n int
		err := f.raw.Read(func(epoll uintptr) bool {
			n = pollWithoutWaiting(int(epoll), events)
			return n > 0
		})
		if err != nil { // closed
			return
		}
		for _, event := range events[:n] {
			if c := f.lookup(event.Fd); c != nil {
				c.flush()
			}
		}
	}
}

// pollWithoutWaiting returns the number of events. An interrupted call is made again, as the runtime reports events to come,
// not those that are there.
func pollWithoutWaiting(epoll int, events []syscall.EpollEvent) int {
	for {
		if n, err := syscall.EpollWait(epoll, events, 0); !errors.Is(err, syscall.EINTR) {
			return n
		}
	}
}

func (f *flusher) stop() { _ = f.epoll.Close() }
