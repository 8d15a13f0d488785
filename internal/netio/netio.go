// Package netio is the project's only door to sockets: one nbio engine with
// at most one listener, non-blocking dials, a budget of descriptors and bounded
// write buffers.
package netio

import (
	"cmp"
	"errors"
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
	ErrRefused         = errors.New("connection refused or never up")
	ErrDescriptorLimit = errors.New("descriptor budget spent")
	ErrClosed          = errors.New("connection closed")
)

const (
	stopTimeout      = 2 * time.Second // for an engine to end
	readBufferSize   = 64 << 10
	maxReadsPerEvent = 64 // of one connection at a time: more than a system's receive buffer holds
	// LingerTimeout is how long a connection that was shut is read on for, so that what its client had under way does not
	// reset it: a few round trips, and with the 2 s of a client that says nothing less than the 3 s that bad ones get.
	LingerTimeout = 500 * time.Millisecond
)

// Handler takes what happens on one connection. Data must copy what it keeps, never runs twice at once and not after
// Closed; it, Up and Closed may run on any goroutine.
type Handler interface {
	Up()
	Data([]byte)
	Closed(error)
}

// Config sets up a Net.
type Config struct {
	Name   string
	Listen string // empty: dials only; unix:PATH: a local socket that only this user can open
	Accept func(*Conn) Handler
	// MaxClients and MaxDials are the descriptors for each way in and out. Of the latter the last
	// ReservedDials are for discovery and probes: without those no link would be of use.
	MaxClients, MaxDials, ReservedDials int
	// MaxWriteBuffer bounds the bytes that one connection queues; one that queues more is closed. 0: maxWriteBuffer.
	MaxWriteBuffer int
	// MaxQueued bounds the bytes that wait on all connections together for their peers to read; beyond it one may
	// add to what waits on it only up to its share, this over the number of connections: those whose peers read nothing end,
	// and one that is slow for a moment does not. 0: each connection's own bound is the only one.
	MaxQueued int64
}

// Net is one engine.
type Net struct {
	config          Config
	engine          *nbio.Engine
	clients, dials  atomic.Int64
	rejectedClients atomic.Int64   // clients since the last log line about them
	rejectLogLimit  rate.Sometimes // clients that come back at once must not fill the log
	listener        *listener
	flusher         *flusher
	stopOnce        sync.Once
	stopMu          sync.RWMutex // held from a look at stopped to the poller's knowing of a connection
	stopped         bool
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
	n := &Net{config: cfg, rejectLogLimit: rate.Sometimes{Interval: time.Second}}
	nc := nbio.Config{Name: cfg.Name, NPoller: 1, ReadBufferSize: readBufferSize, Listen: n.listen}
	if cfg.Listen != "" {
		network, addr := splitAddress(cfg.Listen)
		nc.Network, nc.Addrs = network, []string{addr}
	}
	n.engine = nbio.NewEngine(nc)
	var err error
	if n.flusher, err = newFlusher(cfg); err != nil {
		return n, err
	}
	n.flusher.maxWriteBuffer = cmp.Or(cfg.MaxWriteBuffer, defaultMaxWriteBuffer)
	n.engine.OnOpen(n.onOpen)
	n.engine.OnRead(func(c *nbio.Conn) {
		n.published.Load()
		x, ok := c.Session().(*Conn)
		if !ok {
			return
		}
		x.readMu.Lock()
		err := x.read(c, n.engine.PollerBuffer(c), false)
		x.readMu.Unlock()
		if err != nil {
			_ = c.CloseWithError(err)
		}
	})
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		n.published.Load()
		if x, ok := c.Session().(*Conn); ok {
			x.connectionEnded(err)
		}
	})
	if err := n.engine.Start(); err != nil {
		n.flusher.stop()
		return n, err
	}
	go n.flusher.run()
	if n.listener != nil {
		<-n.listener.accepting
	}
	return n, nil
}

// Addr is where the Net listens.
func (n *Net) Addr() string { return n.listener.Addr().String() }

// ClientCount is the number of clients' connections that are open, those included that were shut and linger.
func (n *Net) ClientCount() int { return int(n.clients.Load()) }

// StopListening refuses new connections from now on; open ones stay, those included that the system has taken and the
// poller not yet: closing the listener would reset them.
func (n *Net) StopListening() {
	for _, c := range n.listener.stopAccepting() {
		if _, err := n.engine.AddConn(c); err != nil {
			logrus.WithError(err).Warn("accept failed")
			_ = c.Close()
		}
	}
}

// Stop closes everything. It does not wait for ever: nbio (v1.6.8) forgets a Stop that comes before its poller runs,
// and would wait for that poller's end.
func (n *Net) Stop() {
	n.stopOnce.Do(func() {
		n.stopMu.Lock()
		n.stopped = true
		n.stopMu.Unlock()
		done := make(chan struct{})
		go func() { n.engine.Stop(); close(done) }()
		select {
		case <-done:
		case <-time.After(stopTimeout):
		}
		if n.flusher != nil {
			n.flusher.stop()
		}
	})
}

func (n *Net) onOpen(c *nbio.Conn) {
	if c.Session() != nil { // dialled
		return
	}
	syscall.CloseOnExec(c.Hash())
	x := &Conn{nbConn: c, descriptors: &n.clients, flusher: n.flusher}
	c.SetSession(x)
	if n.clients.Add(1) > int64(n.config.MaxClients) {
		n.rejectedClients.Add(1)
		n.rejectLogLimit.Do(func() {
			logrus.WithFields(logrus.Fields{"open": n.config.MaxClients, "closed": n.rejectedClients.Swap(0)}).
				Warn("client connections closed: descriptor budget spent")
		})
		x.handler = discardHandler{}
		n.published.Add(1)
		x.Close()
		return
	}
	x.handler = n.config.Accept(x)
	n.published.Add(1)
	x.callHandler(x.handler.Up)
}

type discardHandler struct{}

func (discardHandler) Up()          {}
func (discardHandler) Data([]byte)  {}
func (discardHandler) Closed(error) {}
