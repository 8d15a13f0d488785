// Package loopback chooses addresses on the loopback interface for listeners that are opened later, possibly by another
// process.
package loopback

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// HoldAddress returns a loopback address with a free port, which no other socket is given until the program ends: neither a
// listener on any free port nor an outgoing connection. Listeners that name the port can be opened and closed meanwhile.
func HoldAddress() (string, error) {
	// A socket that is bound and does not listen keeps the port from being chosen. With SO_REUSEADDR on both, as net.Listen
	// sets it, another one may still be bound to it and listen.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	address, err := bind(socket)
	if err != nil {
		return "", errors.Join(err, syscall.Close(socket))
	}
	return address, nil
}

// bind binds a socket to a free port and returns its address.
func bind(socket int) (string, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	host := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", &net.AddrError{Err: "not an IPv4 address"}
	}
	return netip.AddrPortFrom(host, uint16(inet.Port)).String(), nil
}
