package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// listener wraps the listener of nbio, whose accept loop would spin on errors.
type listener struct {
	net.Listener
	system                          System
	stopping, closed                chan struct{}
	accepting                       chan struct{} // closed on Accept: nbio (v1.6.8) loses an earlier Stop, and spins
	acceptOnce, stopOnce, closeOnce sync.Once
	failures                        int            // of accept, since the last log line about them; used by Accept alone
	failureLogLimit                 rate.Sometimes // failures may last
}

// splitAddress returns the network of an address, and the path of a local socket or the host and port.
func splitAddress(addr string) (network, address string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		return "unix", path
	}
	return "tcp", addr
}

// listenLocal creates a socket in a directory that no other user can enter, and moves it to its path once its
// permissions are set, so that others can't open it at any moment. A socket left behind by a killed process is
// replaced.
func listenLocal(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s is in use by another process", path)
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
		l, err = listenLocal(addr)
	} else {
		l, err = net.Listen(network, addr)
	}
	if err != nil {
		return nil, err
	}
	n.listener = &listener{Listener: l, system: n.config.System, stopping: make(chan struct{}), closed: make(chan struct{}), accepting: make(chan struct{}),
		failureLogLimit: rate.Sometimes{Interval: time.Second}}
	return n.listener, nil
}

func (l *listener) Accept() (net.Conn, error) {
	l.acceptOnce.Do(func() { close(l.accepting) })
	c, err := l.system.Accept(l.Listener)
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopping:
		<-l.closed
	case <-l.closed:
	case <-time.After(acceptRetryDelay): // for example out of descriptors; avoids a busy loop
		l.failures++
		l.failureLogLimit.Do(func() {
			logrus.WithError(err).WithField("failures", l.failures).Warn("accept failed")
			l.failures = 0
		})
	}
	return nil, err
}

// stopAccepting closes the listener and returns the connections that were in its backlog.
func (l *listener) stopAccepting() (backlog []net.Conn) {
	l.stopOnce.Do(func() {
		close(l.stopping)
		backlog = l.acceptPending()
		_ = l.Listener.Close()
	})
	return backlog
}

// acceptPending accepts the connections in the backlog, without blocking.
func (l *listener) acceptPending() (backlog []net.Conn) {
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
			default: // EAGAIN: the backlog is empty
				return
			}
			f := os.NewFile(uintptr(next), "accepted")
			if c, err := net.FileConn(f); err == nil {
				backlog = append(backlog, c)
			}
			_ = f.Close()
		}
	})
	return backlog
}

func (l *listener) Close() error {
	for _, c := range l.stopAccepting() {
		_ = c.Close()
	}
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
