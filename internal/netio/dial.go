package netio

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Dial connects without blocking. Connected is called on success within the timeout, and Closed otherwise, with
// ErrRefused, with ErrNoResources or ErrNoRoute where this machine is at fault, or, for a connection that was reset, with
// ErrClosed. With reserved set, the dial may use the ReservedDials.
//
// nbio's own DialAsync (v1.6.8) can't be used: it takes an IPv4 address from the first four bytes of its 16-byte form,
// and so dials 0.0.0.0. The dialer of package net, which doesn't block a thread either, connects instead, and the
// socket is then passed to nbio.
func (n *Net) Dial(addr string, timeout time.Duration, reserved bool, h Handler) (*Conn, error) {
	maxDials := n.config.MaxDials
	if !reserved {
		maxDials -= n.config.ReservedDials
	}
	if n.dials.Add(1) > int64(maxDials) {
		n.dials.Add(-1)
		return nil, ErrDescriptorLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{handler: h, system: n.config.System, descriptors: &n.dials, flusher: n.flusher, reads: n.reads, cancelDial: cancel}
	go func() {
		defer cancel()
		network, address := splitAddress(addr)
		conn, err := n.config.System.Connect(ctx, network, address)
		if err == nil {
			err = n.register(c, conn)
		}
		if err != nil {
			c.connectionEnded(classifyDialError(err))
		}
	}()
	return c, nil
}

// register passes a connected socket to nbio. On an error, it is closed.
func (n *Net) register(c *Conn, conn net.Conn) error {
	n.stopMu.RLock()
	defer n.stopMu.RUnlock()
	if n.stopped { // no connection may be registered with a poller that stops
		_ = conn.Close()
		return ErrClosed
	}
	// nbio duplicates the descriptor. A child process must not inherit the copy: it would outlive its close here, and
	// epoll would keep reporting events under a number that belongs to another connection by then.
	syscall.ForkLock.RLock()
	nb, err := nbio.NBConn(conn)
	if err == nil {
		syscall.CloseOnExec(nb.Hash())
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		_ = conn.Close()
		return err
	}
	nb.SetSession(c)
	c.mu.Lock()
	c.nbConn = nb
	n.published.Add(1)
	_, err = n.engine.AddConn(nb)
	c.mu.Unlock()
	switch {
	case err != nil: // nbio has closed it, and OnClose releases the descriptor
	case c.closed.Load():
		closeViaPoller(nb)
	default:
		c.callHandler(c.handler.Connected)
	}
	return nil
}
