package netio

import (
	"context"
	"net"
	"syscall"

	"github.com/lesismal/nbio"
)

// System makes the system calls of a Net, but for those within nbio. Tests inject faults in its place.
type System interface {
	Accept(l net.Listener) (net.Conn, error)
	Connect(ctx context.Context, network, address string) (net.Conn, error)
	Read(conn *nbio.Conn, b []byte) (int, error)
	Write(descriptor int, b []byte) (int, error)
}

// Kernel is the System that makes real calls.
type Kernel struct{}

// Accept waits for a connection.
func (Kernel) Accept(l net.Listener) (net.Conn, error) { return l.Accept() }

// Connect opens a connection.
func (Kernel) Connect(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Read reads what the kernel has received.
func (Kernel) Read(conn *nbio.Conn, b []byte) (int, error) { return conn.Read(b) }

// Write writes what the kernel accepts.
func (Kernel) Write(descriptor int, b []byte) (int, error) { return syscall.Write(descriptor, b) }
