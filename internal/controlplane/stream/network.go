package stream

import (
	"time"

	"aspenshed/internal/netio"
)

// dialTimeout ends a dial. It is longer than the state machine's timeout of 3 s.
const dialTimeout = 5 * time.Second

// Conn is a client's connection. Its methods may be called from any goroutine.
type Conn interface {
	Write([]byte) error
	Close()
}

// Network dials servers. Tests and experiments replace it to simulate delays and partitions between regions.
type Network interface {
	// Dial must not block; the result is reported to the handler unless there is an error.
	Dial(address string, h netio.Handler) (Conn, error)
}

type socketNetwork struct{ net *netio.Net }

// NewNetwork returns a Network that dials through n.
func NewNetwork(n *netio.Net) Network { return socketNetwork{n} }

func (s socketNetwork) Dial(address string, h netio.Handler) (Conn, error) {
	return s.net.Dial(address, dialTimeout, false, h)
}
