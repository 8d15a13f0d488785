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
)

// listener guards nbio's accept loop, which spins on every error.
type listener struct {
	net.Listener
	stopping, closed                chan struct{}
	accepting                       chan struct{} // closed at the first Accept: nbio (v1.6.8) forgets a Stop that comes before it, and spins
	acceptOnce, stopOnce, closeOnce sync.Once
}

// splitAddress tells a local socket's path from host and port.
func splitAddress(addr string) (network, where string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		return "unix", path
	}
	return "tcp", addr
}

// listenLocal makes a socket in a folder that nobody else can enter, and moves it out once its permissions are set: there
// is no moment at which others could open it. One that a killed program left behind is replaced.
func listenLocal(path string) (net.Listener, error) {
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
		l, err = listenLocal(addr)
	} else {
		l, err = net.Listen(network, addr)
	}
	if err != nil {
		return nil, err
	}
	n.listener = &listener{Listener: l, stopping: make(chan struct{}), closed: make(chan struct{}), accepting: make(chan struct{})}
	return n.listener, nil
}

func (l *listener) Accept() (net.Conn, error) {
	l.acceptOnce.Do(func() { close(l.accepting) })
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopping:
		<-l.closed
	case <-l.closed:
	case <-time.After(10 * time.Millisecond): // out of descriptors, say
		logrus.WithError(err).Warn("accept failed")
	}
	return nil, err
}

// stopAccepting closes the listener and returns the connections that waited to be accepted.
func (l *listener) stopAccepting() (waiting []net.Conn) {
	l.stopOnce.Do(func() {
		close(l.stopping)
		waiting = l.acceptPending()
		_ = l.Listener.Close()
	})
	return waiting
}

// acceptPending accepts what is there, without acceptPending for more.
func (l *listener) acceptPending() (out []net.Conn) {
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
	for _, c := range l.stopAccepting() {
		_ = c.Close()
	}
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
