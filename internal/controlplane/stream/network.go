package stream

import (
	"time"

	"aspenshed/internal/netio"
)

// dialTimeout gives up a dial: no sooner than the machine does, whose limit is 3 s.
const dialTimeout = 5 * time.Second

// Conn is a connection as a client uses it. Its methods may be called from any goroutine.
type Conn interface {
	Write([]byte) error
	Close()
}

// Network dials servers. It is the seam for delays and cuts between regions.
type Network interface {
	// Dial must not block; the handler hears of the outcome unless there is an error.
	Dial(address string, h netio.Handler) (Conn, error)
}

type socketNetwork struct{ net *netio.Net }

// NewNetwork dials through n.
func NewNetwork(n *netio.Net) Network { return socketNetwork{n} }

func (s socketNetwork) Dial(address string, h netio.Handler) (Conn, error) {
	return s.net.Dial(address, dialTimeout, false, h)
}
