package netio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Dial connects without blocking. Closed(ErrRefused) comes if that fails within
// the limit, Up otherwise.
//
// nbio's own DialAsync (v1.6.8) cannot be used: it cuts an IPv4 address out of
// the first four bytes of its 16-byte form and so dials 0.0.0.0. The net
// package's dialer, which does not block a thread either, connects instead;
// nbio has the socket from then on.
func (n *Net) Dial(addr string, limit time.Duration, reserved bool, h Handler) (*Conn, error) {
	most := n.config.MaxDials
	if !reserved {
		most -= n.config.ReservedDials
	}
	if n.dials.Add(1) > int64(most) {
		n.dials.Add(-1)
		return nil, ErrDescriptorLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	x := &Conn{handler: h, descriptors: &n.dials, flusher: n.flusher, cancelDial: cancel}
	go func() {
		defer cancel()
		var d net.Dialer
		network, where := splitAddress(addr)
		conn, err := d.DialContext(ctx, network, where)
		if err == nil {
			err = n.register(x, conn)
		}
		if errors.Is(err, syscall.ECONNRESET) { // something on the way: a member that is there answers the next dial
			x.connectionEnded(fmt.Errorf("%w: %v", ErrClosed, err))
		} else if err != nil {
			x.connectionEnded(fmt.Errorf("%w: %v", ErrRefused, err))
		}
	}()
	return x, nil
}

// register hands a connected socket to nbio. After an error nothing is left open.
func (n *Net) register(x *Conn, conn net.Conn) error {
	n.stopMu.RLock()
	defer n.stopMu.RUnlock()
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
	x.nbConn = c
	n.published.Add(1)
	_, err = n.engine.AddConn(c)
	x.mu.Unlock()
	switch {
	case err != nil: // nbio has closed it, and OnClose gives the descriptor back
	case x.closed.Load():
		closeViaPoller(c)
	default:
		x.callHandler(x.handler.Up)
	}
	return nil
}
