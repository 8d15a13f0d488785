// Package netio provides all socket I/O of the project: an nbio engine with at most one listener, non-blocking dials,
// limits on open connections and bounded write buffers.
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

	"aspenshed/internal/membudget"
)

// Errors of a dial and errors passed to Handler.Closed.
var (
	ErrRefused         = errors.New("connection refused or not established in time")
	ErrDescriptorLimit = errors.New("connection limit reached")
	ErrClosed          = errors.New("connection closed")
	ErrNoResources     = errors.New("connection not opened: this machine lacks descriptors, memory or buffers")
	ErrNoRoute         = errors.New("connection not opened: this machine has no route or local address")
)

const (
	stopTimeout      = 2 * time.Second // for an engine to stop
	readBufferSize   = 64 << 10
	maxReadsPerEvent = 64 // bounds what one connection without a FlowController reads before the turn of others
	// shutdownBufferSize is that of the reads before the end of a connection.
	shutdownBufferSize = 4 << 10
	// LingerTimeout is how long a connection is read from after Shutdown, so that data in flight from the client doesn't
	// reset it. It covers a few round trips, and together with the 2 s granted to a silent client it stays below the 3 s granted
	// to a misbehaving one.
	LingerTimeout = 500 * time.Millisecond
)

// Handler receives the events of one connection, on any goroutine. Connected is called when the connection is
// established. Data must copy what it keeps; it is never called concurrently with itself, nor after Closed.
type Handler interface {
	Connected()
	Data([]byte)
	Closed(error)
}

// Config sets up a Net.
type Config struct {
	Name   string
	Listen string // address; empty to only dial; unix:PATH for a local socket that only this user can open
	Accept func(*Conn) Handler
	// MaxClients and MaxDials limit the open connections in each direction. The last ReservedDials of MaxDials are
	// reserved for discovery and probes, without which no other connection would be useful.
	MaxClients, MaxDials, ReservedDials int
	// MaxWriteBuffer limits the bytes queued on one connection; beyond it the connection is closed. 0 for the default,
	// defaultMaxWriteBuffer.
	MaxWriteBuffer int
	// MaxQueued limits the bytes queued on all connections together. Beyond it, a connection may only queue up to its fair
	// share, which is MaxQueued divided by the maximum number of connections: connections whose peers read nothing are
	// closed, but not those that are slow for a moment. 0 for no limit but that of each connection.
	MaxQueued int64
	System    System // nil: Kernel
	// Budget counts the bytes that are queued.
	Budget *membudget.Budget
}

// Net is an engine with its connections.
type Net struct {
	config          Config
	engine          *nbio.Engine
	clients, dials  atomic.Int64
	rejectedClients atomic.Int64   // since the last log line about them
	rejectLogLimit  rate.Sometimes // clients that reconnect at once must not flood the log
	listener        *listener
	flusher         *flusher
	reads           *readQueue
	stopOnce        sync.Once
	stopMu          sync.RWMutex // held from the check of stopped until a connection is registered with the poller
	stopped         bool
	// published counts the connections created. It establishes a happens-before relation between the goroutine that
	// creates a connection and the poller's, as epoll provides none in the Go memory model.
	published   atomic.Uint64
	longestRead atomic.Int64 // in nanoseconds, of the time that the poller spent on one connection, since TakeStats
}

// Stats tell how long connections kept the poller.
type Stats struct {
	LongestRead time.Duration // reading and parsing of one connection before the next one's turn
}

// TakeStats returns the maxima since its last call.
func (n *Net) TakeStats() Stats { return Stats{LongestRead: time.Duration(n.longestRead.Swap(0))} }

// observeRead records how long the poller spent on one connection.
func (n *Net) observeRead(d time.Duration) {
	for longest := n.longestRead.Load(); int64(d) > longest && !n.longestRead.CompareAndSwap(longest, int64(d)); {
		longest = n.longestRead.Load()
	}
}

func init() {
	// nbio allocates a table of this many pointers for each engine.
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, 1<<16)
	logging.SetLevel(logging.LevelNone)
}

// New returns a Net whose engine is running.
func New(config Config) (*Net, error) {
	if config.System == nil {
		config.System = Kernel{}
	}
	n := &Net{config: config, rejectLogLimit: rate.Sometimes{Interval: time.Second}}
	// With edge-triggered events the poller does not report a connection again that is not read for a while, but still
	// reports its end.
	nc := nbio.Config{Name: config.Name, NPoller: 1, ReadBufferSize: readBufferSize, Listen: n.listen, EpollMod: nbio.EPOLLET}
	if config.Listen != "" {
		network, addr := splitAddress(config.Listen)
		nc.Network, nc.Addrs = network, []string{addr}
	}
	n.engine = nbio.NewEngine(nc)
	var err error
	if n.flusher, err = newFlusher(config); err != nil {
		return n, err
	}
	n.flusher.maxWriteBuffer = cmp.Or(config.MaxWriteBuffer, defaultMaxWriteBuffer)
	n.engine.OnOpen(n.onOpen)
	n.reads = newReadQueue(n)
	n.engine.OnRead(n.onRead)
	n.engine.OnClose(func(nb *nbio.Conn, err error) {
		n.published.Load()
		if c, ok := nb.Session().(*Conn); ok {
			c.connectionEnded(err)
		}
	})
	if err := n.engine.Start(); err != nil {
		n.flusher.stop()
		return n, err
	}
	go n.flusher.run()
	go n.reads.run()
	if n.listener != nil {
		<-n.listener.accepting
	}
	return n, nil
}

// Addr returns the address on which the Net listens.
func (n *Net) Addr() string { return n.listener.Addr().String() }

// ClientCount returns the number of open client connections, including those that linger after Shutdown.
func (n *Net) ClientCount() int { return int(n.clients.Load()) }

// StopListening refuses new connections. Open connections stay, including those in the backlog of the listener, which
// its close would reset.
func (n *Net) StopListening() {
	for _, c := range n.listener.stopAccepting() {
		if _, err := n.engine.AddConn(c); err != nil {
			logrus.WithError(err).Warn("accept failed")
			_ = c.Close()
		}
	}
}

// Stop closes all connections and the listener. It waits at most stopTimeout: nbio (v1.6.8) loses a Stop that is called
// before its poller runs, and would wait for the poller forever.
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
		n.reads.stop()
	})
}

// onRead has the first turn after data has arrived.
func (n *Net) onRead(nb *nbio.Conn) {
	n.published.Load()
	c, ok := nb.Session().(*Conn)
	if !ok || c.queued.Load() {
		return
	}
	c.readMu.Lock()
	more, err := c.readTurn(nb, n.engine.PollerBuffer(nb))
	c.readMu.Unlock()
	switch {
	case err != nil:
		_ = nb.CloseWithError(err)
	case more:
		n.reads.add(c)
	}
}

func (n *Net) onOpen(nb *nbio.Conn) {
	if nb.Session() != nil { // dialled
		return
	}
	syscall.CloseOnExec(nb.Hash())
	c := &Conn{nbConn: nb, system: n.config.System, descriptors: &n.clients, flusher: n.flusher, reads: n.reads}
	nb.SetSession(c)
	if n.clients.Add(1) > int64(n.config.MaxClients) {
		n.rejectedClients.Add(1)
		n.rejectLogLimit.Do(func() {
			logrus.WithFields(logrus.Fields{"open": n.config.MaxClients, "closed": n.rejectedClients.Swap(0)}).
				Warn("client connections closed: connection limit reached")
		})
		c.handler = noopHandler{}
		n.published.Add(1)
		c.Close()
		return
	}
	c.setHandler(n.config.Accept(c))
	n.published.Add(1)
	c.callHandler(c.handler.Connected)
}

// noopHandler ignores the events of a connection that is closed right after it was accepted.
type noopHandler struct{}

func (noopHandler) Connected()   {}
func (noopHandler) Data([]byte)  {}
func (noopHandler) Closed(error) {}
