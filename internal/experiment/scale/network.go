package scale

import (
	"errors"
	"sync"
	"time"

	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/netio"
)

// maxQueuedBytes bounds what one connection holds back on either way while it is delayed or cut off; beyond it the connection
// ends, as one whose peer never acknowledges. It is twice the window of a control stream and more.
const maxQueuedBytes = 8 << 20

// partitionPollInterval is how often a connection that is cut off looks whether it is healed: far below a lost segment's retransmission.
const partitionPollInterval = 50 * time.Millisecond

// ErrQueueFull ends a connection on which too much waits.
var ErrQueueFull = errors.New("scale: too much waits on a delayed connection")

// EmulatedNetwork is the network between the gateways of a child and the servers: delays by zone, and regions that are cut off. It
// hands out a stream.Network for each zone.
type EmulatedNetwork struct {
	next               stream.Network
	zoneOf             map[string]int // of servers, by address
	delays             bool
	mu                 sync.Mutex
	partitionedRegions map[int]bool
}

// NewEmulatedNetwork stands before a network. Servers are named by address with the zones that they stand in.
func NewEmulatedNetwork(next stream.Network, servers map[string]int, delays bool) *EmulatedNetwork {
	return &EmulatedNetwork{next: next, zoneOf: servers, delays: delays, partitionedRegions: map[int]bool{}}
}

// ForZone is the network as a gateway in that zone sees it.
func (l *EmulatedNetwork) ForZone(zone int) stream.Network { return zoneNetwork{l, zone} }

// SetPartitioned cuts a region off from all others, or heals that. What was under way arrives once it is healed.
func (l *EmulatedNetwork) SetPartitioned(region int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitionedRegions[region] = cut
}

// IsPartitioned reports whether a region is cut off.
func (l *EmulatedNetwork) IsPartitioned(region int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitionedRegions[region]
}

// isPartitioned reports whether nothing gets from one zone to the other. The caller holds mu.
func (l *EmulatedNetwork) isPartitioned(from, to int) bool {
	a, b := zones[from].Region, zones[to].Region
	return a != b && (l.partitionedRegions[a] || l.partitionedRegions[b])
}

type zoneNetwork struct {
	network *EmulatedNetwork
	zone    int
}

// Dial connects to a server, over the delay between the two zones. A server that is cut off can't be reached.
func (z zoneNetwork) Dial(address string, h netio.Handler) (stream.Conn, error) {
	to, known := z.network.zoneOf[address]
	if !known {
		to = z.zone
	}
	z.network.mu.Lock()
	cut := z.network.isPartitioned(z.zone, to)
	z.network.mu.Unlock()
	if cut {
		return nil, netio.ErrRefused
	}
	c := &delayedConn{network: z.network, from: z.zone, to: to, handler: h}
	delay := time.Duration(0)
	if z.network.delays {
		delay = Delay(z.zone, to)
	}
	c.in = &delayQueue{conn: c, delay: delay}
	c.out = &delayQueue{conn: c, delay: delay}
	c.mu.Lock() // what the connection tells waits until conn is set
	defer c.mu.Unlock()
	conn, err := z.network.next.Dial(address, c)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

// delayedConn is one connection: it is a stream.Conn towards the client, and the real connection's netio.Handler.
type delayedConn struct {
	network  *EmulatedNetwork
	from, to int
	handler  netio.Handler
	in, out  *delayQueue

	mu     sync.Mutex
	conn   stream.Conn
	closed bool // by the client: it hears nothing more
}

// Up arrives after the delay there and back.
func (c *delayedConn) Up() {
	c.in.enqueue(0, 2*c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Up()
		}
	})
}

// Data arrives after the delay, in order.
func (c *delayedConn) Data(b []byte) {
	copied := append([]byte(nil), b...)
	held := c.in.enqueue(len(copied), c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Data(copied)
		}
	})
	if !held {
		c.underlying().Close()
		c.Closed(ErrQueueFull)
	}
}

// Closed arrives behind all that came before it.
func (c *delayedConn) Closed(err error) {
	c.in.enqueue(0, c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Closed(err)
		}
	})
}

// Write has b arrive at the server after the delay.
func (c *delayedConn) Write(b []byte) error {
	if c.isClosed() {
		return netio.ErrClosed
	}
	copied := append([]byte(nil), b...)
	if !c.out.enqueue(len(copied), c.out.delay, func() { _ = c.underlying().Write(copied) }) { // an error shows as the connection's end
		return ErrQueueFull
	}
	return nil
}

// Close ends the connection here at once; the server sees it after the delay, or once a cut is healed.
func (c *delayedConn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.out.enqueue(0, c.out.delay, func() {
		c.underlying().Close()
	})
}

func (c *delayedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// underlying is the connection below; before its dial has returned nothing is written to it.
func (c *delayedConn) underlying() stream.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *delayedConn) isPartitioned() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.network.isPartitioned(c.from, c.to)
}

// delayQueue is one direction of a connection: what is put in comes out in order, after the delay, and not during a cut.
type delayQueue struct {
	conn  *delayedConn
	delay time.Duration

	mu      sync.Mutex
	waiting []delayedEvent
	bytes   int
	timer   *time.Timer
	running bool // a goroutine delivers: another must not overtake it
}

type delayedEvent struct {
	due     time.Time
	bytes   int
	deliver func()
}

// enqueue takes what arrives after a delay; false: too much waits already.
func (l *delayQueue) enqueue(bytes int, delay time.Duration, arrive func()) bool {
	l.mu.Lock()
	if l.bytes+bytes > maxQueuedBytes {
		l.mu.Unlock()
		return false
	}
	l.bytes += bytes
	due := time.Now().Add(delay)
	if n := len(l.waiting); n > 0 && l.waiting[n-1].due.After(due) {
		due = l.waiting[n-1].due
	}
	l.waiting = append(l.waiting, delayedEvent{due, bytes, arrive})
	l.mu.Unlock()
	l.deliverDue()
	return true
}

// deliverDue has what is due arrive, and sets a timer for the next.
func (l *delayQueue) deliverDue() {
	cut := l.conn.isPartitioned()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		return
	}
	l.running = true
	defer func() { l.running = false }()
	for len(l.waiting) > 0 {
		first := l.waiting[0]
		if wait := time.Until(first.due); wait > 0 || cut {
			l.scheduleDelivery(nextCheckDelay(wait, cut))
			return
		}
		l.waiting[0] = delayedEvent{}
		l.waiting = l.waiting[1:]
		l.bytes -= first.bytes
		l.mu.Unlock()
		first.deliver()
		cut = l.conn.isPartitioned()
		l.mu.Lock()
	}
	l.waiting = nil
}

// scheduleDelivery has deliver run again. The caller holds mu.
func (l *delayQueue) scheduleDelivery(after time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(after, l.deliverDue)
		return
	}
	l.timer.Reset(after)
}

// nextCheckDelay is when to look again: once the next is due, or whether a cut is healed.
func nextCheckDelay(wait time.Duration, cut bool) time.Duration {
	if cut {
		return max(wait, partitionPollInterval)
	}
	return wait
}
