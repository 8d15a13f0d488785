package store

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	handshakeMagic   = "ASPRAFT1"
	handshakeSize    = 64 // fixed, so that an unknown peer cannot make us read without bound
	maxClusterBytes  = handshakeSize - len(handshakeMagic)
	handshakeTimeout = 2 * time.Second
	raftTimeout      = 2 * time.Second
	maxHandshakes    = 32 // concurrent inbound handshakes; further connections are closed
)

var errClusterMismatch = errors.New("store: the peer belongs to another cluster, or is not a store")

// newTransport creates raft's network transport on a stream layer that first compares the cluster ids of both ends: an
// instance of another cluster must neither vote here nor replicate to this instance.
func newTransport(c Config, log hclog.Logger) (*raft.NetworkTransport, error) {
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	l := &streamLayer{ln: ln, cluster: c.Cluster, ready: make(chan net.Conn), done: make(chan struct{}), onRejected: func(remote net.Addr) {
		c.Log.WithField("from", remote.String()).Warn("store rejected an instance of another cluster")
	}}
	go l.acceptLoop()
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: l, MaxPool: 3, Timeout: raftTimeout, Logger: log}), nil
}

// streamLayer is a raft.StreamLayer over TCP with a handshake.
type streamLayer struct {
	ln         net.Listener
	cluster    string
	ready      chan net.Conn
	done       chan struct{}
	once       sync.Once
	onRejected func(net.Addr)
}

func (l *streamLayer) handshakeMessage() []byte {
	b := make([]byte, handshakeSize)
	copy(b, handshakeMagic)
	copy(b[len(handshakeMagic):], l.cluster)
	return b
}

func (l *streamLayer) acceptLoop() {
	running := make(chan struct{}, maxHandshakes)
	for {
		c, err := l.ln.Accept()
		if err != nil {
			select {
			case <-l.done:
				return
			case <-time.After(20 * time.Millisecond): // out of file descriptors: no tight loop
				continue
			}
		}
		select {
		case running <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		go func() {
			defer func() { <-running }()
			if err := l.handshake(c, false); err != nil {
				_ = c.Close()
				return
			}
			select {
			case l.ready <- c:
			case <-l.done:
				_ = c.Close()
			}
		}()
	}
}

// handshake exchanges the cluster ids; the dialing end sends first.
func (l *streamLayer) handshake(c net.Conn, dialled bool) error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	if dialled {
		if _, err := c.Write(l.handshakeMessage()); err != nil {
			return err
		}
	}
	b := make([]byte, handshakeSize)
	if _, err := io.ReadFull(c, b); err != nil {
		return err
	}
	if string(b) != string(l.handshakeMessage()) {
		if !dialled {
			l.onRejected(c.RemoteAddr())
		}
		return errClusterMismatch
	}
	if !dialled {
		_, err := c.Write(l.handshakeMessage())
		return err
	}
	return nil
}

// Accept returns the next connection from an instance of this cluster.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and ends Accept.
func (l *streamLayer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.ln.Close()
}

// Addr returns the listen address.
func (l *streamLayer) Addr() net.Addr { return l.ln.Addr() }

// Dial connects to another instance of this cluster.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", string(address), timeout)
	if err != nil {
		return nil, err
	}
	if err := l.handshake(c, true); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return c, nil
}
