// Package netio is the project's only door to sockets: one nbio engine with
// at most one listener, non-blocking dials, a budget of descriptors and bounded
// write buffers.
package netio

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// The errors that a Handler can tell apart.
var (
	ErrRefused = errors.New("connection refused or never up")
	ErrBudget  = errors.New("descriptor budget spent")
	ErrClosed  = errors.New("connection closed")
)

const maxWriteBuffer = 2 << 20 // bytes of one connection, where Config.WriteBuffer is 0; nbio closes one that queues more

const (
	stopLimit = 2 * time.Second // for an engine to end
	readSize  = 64 << 10
	maxReads  = 64 // of one connection at a time: more than a system's receive buffer holds
	// LingerLimit is how long a connection that was shut is read on for, so that what its client had under way does not
	// reset it: a few round trips, and with the 2 s of a client that says nothing less than the 3 s that bad ones get.
	LingerLimit = 500 * time.Millisecond
)

// Handler takes what happens on one connection. Data must copy what it keeps, never runs twice at once and not after
// Closed; it, Up and Closed may run on any goroutine.
type Handler interface {
	Up()
	Data([]byte)
	Closed(error)
}

// Conn is one connection. Its methods may be called from any goroutine.
type Conn struct {
	mu     sync.Mutex // held while the poller comes to know c: before that nobody may close it
	c      *nbio.Conn // nil while the dial is on
	h      Handler
	closed atomic.Bool  // the handler hears nothing more
	unsent atomic.Int64 // bytes that Write has taken and the system not yet
	budget *atomic.Int64
	cancel context.CancelFunc // of the dial

	reading sync.Mutex // held from a read to the end of its Data: Shut knows by it that nothing lies between the two
}

// Config sets up a Net.
type Config struct {
	Name   string
	Listen string // empty: dials only; unix:PATH: a local socket that only this user can open
	Accept func(*Conn) Handler
	// Clients and Dials are the descriptors for each way in and out. Of the latter the last
	// Reserved are for discovery and probes: without those no link would be of use.
	Clients, Dials, Reserved int
	// WriteBuffer bounds the bytes that one connection queues; one that queues more is closed. 0: 2 MiB.
	WriteBuffer int
}

// Net is one engine.
type Net struct {
	cfg            Config
	eng            *nbio.Engine
	clients, dials atomic.Int64
	turnedAway     atomic.Int64   // clients since the last log line about them
	logAway        rate.Sometimes // clients that come back at once must not fill the log
	ln             *listener
	stop           sync.Once
	ending         sync.RWMutex // held from a look at stopped to the poller's knowing of a connection
	stopped        bool
	// published counts connections made. It orders the poller's goroutine after the one that made a
	// connection; epoll does so too, but that is no order to Go's memory model.
	published atomic.Uint64
}

func init() {
	// nbio allots a table of that many pointers for each engine.
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 1<<16)
	logging.SetLevel(logging.LevelNone)
}

// New starts an engine.
func New(cfg Config) (*Net, error) {
	n := &Net{cfg: cfg, logAway: rate.Sometimes{Interval: time.Second}}
	nc := nbio.Config{Name: cfg.Name, NPoller: 1, ReadBufferSize: readSize, MaxWriteBufferSize: cmp.Or(cfg.WriteBuffer, maxWriteBuffer),
		Listen: n.listen}
	if cfg.Listen != "" {
		network, addr := split(cfg.Listen)
		nc.Network, nc.Addrs = network, []string{addr}
	}
	n.eng = nbio.NewEngine(nc)
	n.eng.OnOpen(n.opened)
	n.eng.OnRead(func(c *nbio.Conn) {
		n.published.Load()
		x, ok := c.Session().(*Conn)
		if !ok {
			return
		}
		x.reading.Lock()
		err := x.read(c, n.eng.PollerBuffer(c), false)
		x.reading.Unlock()
		if err != nil {
			_ = c.CloseWithError(err)
		}
	})
	n.eng.OnWrittenSize(func(c *nbio.Conn, _ []byte, size int) {
		if x, ok := c.Session().(*Conn); ok {
			x.unsent.Add(-int64(size))
		}
	})
	n.eng.OnClose(func(c *nbio.Conn, err error) {
		n.published.Load()
		if x, ok := c.Session().(*Conn); ok {
			x.end(err)
		}
	})
	if err := n.eng.Start(); err != nil {
		return n, err
	}
	if n.ln != nil {
		<-n.ln.accepting
	}
	return n, nil
}

// Addr is where the Net listens.
func (n *Net) Addr() string { return n.ln.Addr().String() }

// Clients is the number of clients' connections that are open, those included that were shut and linger.
func (n *Net) Clients() int { return int(n.clients.Load()) }

// StopListening refuses new connections from now on; open ones stay, those included that the system has taken and the
// poller not yet: closing the listener would reset them.
func (n *Net) StopListening() {
	for _, c := range n.ln.hush() {
		if _, err := n.eng.AddConn(c); err != nil {
			logrus.WithError(err).Warn("accept failed")
			_ = c.Close()
		}
	}
}

// Stop closes everything. It does not wait for ever: nbio (v1.6.8) forgets a Stop that comes before its poller runs,
// and would wait for that poller's end.
func (n *Net) Stop() {
	n.stop.Do(func() {
		n.ending.Lock()
		n.stopped = true
		n.ending.Unlock()
		done := make(chan struct{})
		go func() { n.eng.Stop(); close(done) }()
		select {
		case <-done:
		case <-time.After(stopLimit):
		}
	})
}

func (n *Net) opened(c *nbio.Conn) {
	if c.Session() != nil { // dialled
		return
	}
	syscall.CloseOnExec(c.Hash())
	x := &Conn{c: c, budget: &n.clients}
	c.SetSession(x)
	if n.clients.Add(1) > int64(n.cfg.Clients) {
		n.turnedAway.Add(1)
		n.logAway.Do(func() {
			logrus.WithFields(logrus.Fields{"open": n.cfg.Clients, "closed": n.turnedAway.Swap(0)}).
				Warn("client connections closed: descriptor budget spent")
		})
		x.h = nobody{}
		n.published.Add(1)
		x.Close()
		return
	}
	x.h = n.cfg.Accept(x)
	n.published.Add(1)
	x.guard(x.h.Up)
}

// Dial connects without blocking. Closed(ErrRefused) comes if that fails within
// the limit, Up otherwise.
//
// nbio's own DialAsync (v1.6.8) cannot be used: it cuts an IPv4 address out of
// the first four bytes of its 16-byte form and so dials 0.0.0.0. The net
// package's dialer, which does not block a thread either, connects instead;
// nbio has the socket from then on.
func (n *Net) Dial(addr string, limit time.Duration, reserved bool, h Handler) (*Conn, error) {
	most := n.cfg.Dials
	if !reserved {
		most -= n.cfg.Reserved
	}
	if n.dials.Add(1) > int64(most) {
		n.dials.Add(-1)
		return nil, ErrBudget
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	x := &Conn{h: h, budget: &n.dials, cancel: cancel}
	go func() {
		defer cancel()
		var d net.Dialer
		network, where := split(addr)
		conn, err := d.DialContext(ctx, network, where)
		if err == nil {
			err = n.adopt(x, conn)
		}
		if errors.Is(err, syscall.ECONNRESET) { // something on the way: a member that is there answers the next dial
			x.end(fmt.Errorf("%w: %v", ErrClosed, err))
		} else if err != nil {
			x.end(fmt.Errorf("%w: %v", ErrRefused, err))
		}
	}()
	return x, nil
}

// adopt hands a connected socket to nbio. After an error nothing is left open.
func (n *Net) adopt(x *Conn, conn net.Conn) error {
	n.ending.RLock()
	defer n.ending.RUnlock()
	if n.stopped { // a poller that ends must come to know no more connections
		_ = conn.Close()
		return ErrClosed
	}
	// nbio's own descriptor, a copy, must not be inherited: in another program it would outlive its close here, and epoll go
	// on telling of it under a number that is another connection's by then.
	syscall.ForkLock.RLock()
	c, err := nbio.NBConn(conn)
	if err == nil {
		syscall.CloseOnExec(c.Hash())
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		_ = conn.Close()
		return err
	}
	c.SetSession(x)
	x.mu.Lock()
	x.c = c
	n.published.Add(1)
	_, err = n.eng.AddConn(c)
	x.mu.Unlock()
	switch {
	case err != nil: // nbio has closed it, and OnClose gives the descriptor back
	case x.closed.Load():
		hangUp(c)
	default:
		x.guard(x.h.Up)
	}
	return nil
}

// hangUp ends sending at once and has the poller close c. A descriptor that anybody else closed could be another
// connection's before the poller comes to what the system had told it of this one, and that one would end for it.
func hangUp(c *nbio.Conn) {
	c.Lock() // it can't be closed meanwhile
	defer c.Unlock()
	if done, _ := c.IsClosed(); !done {
		_ = syscall.Shutdown(c.Hash(), syscall.SHUT_RDWR) // where that fails the poller has the end before it already
	}
}

// Write sends or queues b. An error means that its last byte never left.
func (x *Conn) Write(b []byte) error {
	c := x.conn()
	if c == nil || x.closed.Load() {
		return ErrClosed
	}
	x.unsent.Add(int64(len(b)))
	_, err := c.Write(b)
	return err
}

func (x *Conn) conn() *nbio.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.c
}

// Unsent tells whether some of what was written still waits for the peer to read. Close would drop it.
func (x *Conn) Unsent() bool { return x.unsent.Load() > 0 }

// read hands on what has come; the caller holds reading. whole: until nothing is left, though that costs one more call.
// An error means that nothing more will come.
func (x *Conn) read(c *nbio.Conn, buf []byte, whole bool) error {
	for range maxReads {
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
				x.guard(func() { x.h.Data(buf[:n]) })
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
	x.reading.Lock()
	defer x.reading.Unlock()
	c := x.conn()
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
		hangUp(c)
		return true
	}
	time.AfterFunc(LingerLimit, func() { hangUp(c) })
	return true
}

// Close ends the connection at once; no Closed follows.
func (x *Conn) Close() {
	x.closed.Store(true)
	if c := x.conn(); c != nil {
		hangUp(c)
	} else if x.cancel != nil {
		x.cancel()
	}
}

// end gives the descriptor back and tells the handler, unless it closed itself.
func (x *Conn) end(err error) {
	x.budget.Add(-1)
	x.waitForReader()
	x.fail(err)
}

// waitForReader returns once the handler has had all that was read. nbio reports the end of a connection on a goroutine
// of its own, which may overtake the one that reads. A read that begins later finds the connection ended.
func (x *Conn) waitForReader() {
	x.reading.Lock()
	defer x.reading.Unlock()
}

func (x *Conn) fail(err error) {
	if !x.closed.Swap(true) {
		x.h.Closed(err)
	}
}

// guard keeps a panic in a parser from ending the program: the connection is closed instead.
func (x *Conn) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			logrus.WithField("panic", p).Error("connection closed: panic while reading it")
			if c := x.conn(); c != nil {
				hangUp(c)
			}
		}
	}()
	f()
}

type nobody struct{}

func (nobody) Up()          {}
func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}

// listener guards nbio's accept loop, which spins on every error.
type listener struct {
	net.Listener
	quiet, done       chan struct{}
	accepting         chan struct{} // closed at the first Accept: nbio (v1.6.8) forgets a Stop that comes before it, and spins
	first, once, stop sync.Once
}

// split tells a local socket's path from host and port.
func split(addr string) (network, where string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		return "unix", path
	}
	return "tcp", addr
}

// local makes a socket in a folder that nobody else can enter, and moves it out once its permissions are set: there
// is no moment at which others could open it. One that a killed program left behind is replaced.
func local(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s is in use by another program", path)
	}
	dir, err := os.MkdirTemp(filepath.Dir(path), ".s")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	err = os.Chmod(filepath.Join(dir, "s"), 0o600)
	if err = errors.Join(err, os.Rename(filepath.Join(dir, "s"), path)); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

func (n *Net) listen(network, addr string) (l net.Listener, err error) {
	if network == "unix" {
		l, err = local(addr)
	} else {
		l, err = net.Listen(network, addr)
	}
	if err != nil {
		return nil, err
	}
	n.ln = &listener{Listener: l, quiet: make(chan struct{}), done: make(chan struct{}), accepting: make(chan struct{})}
	return n.ln, nil
}

func (l *listener) Accept() (net.Conn, error) {
	l.first.Do(func() { close(l.accepting) })
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.quiet:
		<-l.done
	case <-l.done:
	case <-time.After(10 * time.Millisecond): // out of descriptors, say
		logrus.WithError(err).Warn("accept failed")
	}
	return nil, err
}

// hush closes the listener and returns the connections that waited to be accepted.
func (l *listener) hush() (waiting []net.Conn) {
	l.once.Do(func() {
		close(l.quiet)
		waiting = l.waiting()
		_ = l.Listener.Close()
	})
	return waiting
}

// waiting accepts what is there, without waiting for more.
func (l *listener) waiting() (out []net.Conn) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		for {
			next, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
			case syscall.EINTR, syscall.ECONNABORTED:
				continue
			default: // EAGAIN: that was all
				return
			}
			f := os.NewFile(uintptr(next), "accepted")
			if c, err := net.FileConn(f); err == nil {
				out = append(out, c)
			}
			_ = f.Close()
		}
	})
	return out
}

func (l *listener) Close() error {
	for _, c := range l.hush() {
		_ = c.Close()
	}
	l.stop.Do(func() { close(l.done) })
	return nil
}
