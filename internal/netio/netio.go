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
	ErrRefused = errors.New("connection refused or never up")
	ErrBudget  = errors.New("descriptor budget spent")
	ErrClosed  = errors.New("connection closed")
)

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

// Config sets up a Net.
type Config struct {
	Name   string
	Listen string // empty: dials only; unix:PATH: a local socket that only this user can open
	Accept func(*Conn) Handler
	// Clients and Dials are the descriptors for each way in and out. Of the latter the last
	// Reserved are for discovery and probes: without those no link would be of use.
	Clients, Dials, Reserved int
	// WriteBuffer bounds the bytes that one connection queues; one that queues more is closed. 0: maxWriteBuffer.
	WriteBuffer int
	// Queued bounds the bytes that wait on all connections together for their peers to read; beyond it one may
	// add to what waits on it only up to its share, this over the number of connections: those whose peers read nothing end,
	// and one that is slow for a moment does not. 0: each connection's own bound is the only one.
	Queued int64
}

// Net is one engine.
type Net struct {
	cfg            Config
	eng            *nbio.Engine
	clients, dials atomic.Int64
	turnedAway     atomic.Int64   // clients since the last log line about them
	logAway        rate.Sometimes // clients that come back at once must not fill the log
	ln             *listener
	flusher        *flusher
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
	nc := nbio.Config{Name: cfg.Name, NPoller: 1, ReadBufferSize: readSize, Listen: n.listen}
	if cfg.Listen != "" {
		network, addr := split(cfg.Listen)
		nc.Network, nc.Addrs = network, []string{addr}
	}
	n.eng = nbio.NewEngine(nc)
	var err error
	if n.flusher, err = newFlusher(cfg); err != nil {
		return n, err
	}
	n.flusher.writeBuffer = cmp.Or(cfg.WriteBuffer, maxWriteBuffer)
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
	n.eng.OnClose(func(c *nbio.Conn, err error) {
		n.published.Load()
		if x, ok := c.Session().(*Conn); ok {
			x.end(err)
		}
	})
	if err := n.eng.Start(); err != nil {
		n.flusher.stop()
		return n, err
	}
	go n.flusher.run()
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
		if n.flusher != nil {
			n.flusher.stop()
		}
	})
}

func (n *Net) opened(c *nbio.Conn) {
	if c.Session() != nil { // dialled
		return
	}
	syscall.CloseOnExec(c.Hash())
	x := &Conn{c: c, budget: &n.clients, flusher: n.flusher}
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

type nobody struct{}

func (nobody) Up()          {}
func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}
