// Package sysfault makes system calls on sockets fail or fall short, as Linux documents that they may. It takes the place
// of netio.Kernel.
package sysfault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"aspenshed/internal/netio"
)

// Call is a system call that can fail.
type Call int

// The calls.
const (
	Accept Call = iota
	Connect
	Read
	Write
)

var callNames = [...]string{"accept", "connect", "read", "write"}

func (c Call) String() string { return callNames[c] }

// Errors that Linux documents for each call, besides those that a peer causes.
var (
	AcceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.EINTR, syscall.EPROTO}
	// ResourceErrors of socket and connect: this machine lacks descriptors, memory or buffers.
	ResourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	// RouteErrors of connect: this machine has no route or local address, or was interrupted.
	RouteErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM}
	// PeerErrors of connect: the other machine, or the way to it.
	PeerErrors = []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	// BrokenErrors of reads and writes on an established connection.
	BrokenErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EPIPE}
)

// Fault is a kind of failure of one call.
type Fault struct {
	Call        Call
	Errno       syscall.Errno // 0: the call is cut short instead
	MaxBytes    int           // of a read or write that is cut short
	Address     string        // of a connect; "": any
	Probability float64       // for each call; 0: always
	Count       int           // calls that fail at the most; 0: no limit
	For         time.Duration // from its injection; 0: until Clear
}

// String describes the fault.
func (f Fault) String() string {
	what := f.Errno.Error()
	if f.Errno == 0 {
		what = fmt.Sprint("at most ", f.MaxBytes, " bytes")
	}
	if f.Probability > 0 {
		what += fmt.Sprintf(" (%.2f)", f.Probability)
	}
	return f.Call.String() + " " + what
}

// System makes calls fail as injected. Its methods may be called from any goroutine.
type System struct {
	netio.Kernel

	mu     sync.Mutex
	random *rand.Rand
	faults []*activeFault
	calls  [len(callNames)]int
}

type activeFault struct {
	Fault
	end   time.Time
	fired int
}

// New returns a System without faults. The seed decides which calls fail where that is left to chance.
func New(seed uint64) *System { return &System{random: rand.New(rand.NewPCG(seed, 0))} }

// Inject makes calls fail from now on.
func (s *System) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := &activeFault{Fault: f}
	if f.For > 0 {
		active.end = time.Now().Add(f.For)
	}
	s.faults = append(s.faults, active)
}

// Clear ends all faults.
func (s *System) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Calls returns how often a call was made, failed ones included.
func (s *System) Calls(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// next counts a call and returns the fault that it meets, or nil.
func (s *System) next(c Call, address string) *activeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c]++
	now := time.Now()
	s.faults = slices.DeleteFunc(s.faults, func(f *activeFault) bool {
		return !f.end.IsZero() && now.After(f.end) || f.Count > 0 && f.fired >= f.Count
	})
	for _, f := range s.faults {
		if f.Call == c && (f.Address == "" || f.Address == address) && (f.Probability == 0 || s.random.Float64() < f.Probability) {
			f.fired++
			return f
		}
	}
	return nil
}

// Accept waits for a connection, unless it fails. A connection that is not accepted stays in the backlog.
func (s *System) Accept(l net.Listener) (net.Conn, error) {
	if f := s.next(Accept, ""); f != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: os.NewSyscallError("accept4", f.Errno)}
	}
	return s.Kernel.Accept(l)
}

// Connect opens a connection, unless it fails.
func (s *System) Connect(ctx context.Context, network, address string) (net.Conn, error) {
	if f := s.next(Connect, address); f != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", f.Errno)}
	}
	return s.Kernel.Connect(ctx, network, address)
}

// Read reads what the kernel has received, or a part of it, or fails.
func (s *System) Read(conn *nbio.Conn, b []byte) (int, error) {
	switch f := s.next(Read, conn.RemoteAddr().String()); {
	case f == nil:
	case f.Errno != 0:
		return 0, f.Errno
	default:
		b = b[:min(len(b), f.MaxBytes)]
	}
	return s.Kernel.Read(conn, b)
}

// Write writes what the kernel accepts, or a part of it, or fails.
func (s *System) Write(descriptor int, b []byte) (int, error) {
	switch f := s.next(Write, ""); {
	case f == nil:
	case f.Errno != 0:
		return -1, f.Errno
	default:
		b = b[:min(len(b), f.MaxBytes)]
	}
	return s.Kernel.Write(descriptor, b)
}
