package netio

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// Errors of system calls that say nothing about the machine that was dialled.
var (
	resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	routeErrors    = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN,
		syscall.EINTR, syscall.EACCES, syscall.EPERM}
)

// classifyDialError wraps the error of a dial in one of this package's.
func classifyDialError(err error) error {
	return fmt.Errorf("%w: %v", dialErrorKind(err), err)
}

func dialErrorKind(err error) error {
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno):
		return ErrRefused
	case errno == syscall.ECONNRESET: // reset by the network: a reachable member accepts the next dial
		return ErrClosed
	case slices.Contains(resourceErrors, errno):
		return ErrNoResources
	case slices.Contains(routeErrors, errno):
		return ErrNoRoute
	}
	return ErrRefused
}
