package scale

import (
	"errors"
	"sync"
	"time"

	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/netio"
)

// maxQueuedBytes bounds what a connection queues in one direction while it is delayed or partitioned. Beyond it
// the connection is closed, like one whose peer stops acknowledging. It is more than twice the window of a
// control stream.
const maxQueuedBytes = 8 << 20

// partitionPollInterval is how often a partitioned connection checks whether the partition has healed: far below
// the retransmission timeout of a lost segment.
const partitionPollInterval = 50 * time.Millisecond

// ErrQueueFull closes a connection on which too many bytes are queued.
var ErrQueueFull = errors.New("scale: queue of a delayed connection is full")

// EmulatedNetwork is the network between the gateways of a child and the servers, with delays by zone and
// partitioned regions. It provides a stream.Network for each zone.
type EmulatedNetwork struct {
	next               stream.Network
	zoneOf             map[string]int // zones of the servers by address
	delays             bool
	mu                 sync.Mutex
	partitionedRegions map[int]bool
}

// NewEmulatedNetwork wraps a network. The servers map gives the zone of each server address.
func NewEmulatedNetwork(next stream.Network, servers map[string]int, delays bool) *EmulatedNetwork {
	return &EmulatedNetwork{next: next, zoneOf: servers, delays: delays, partitionedRegions: map[int]bool{}}
}

// ForZone returns the network as seen by a gateway in a zone.
func (n *EmulatedNetwork) ForZone(zone int) stream.Network { return zoneNetwork{n, zone} }

// SetPartitioned cuts a region off from all others, or heals the partition. Data in flight arrives once it is
// healed.
func (n *EmulatedNetwork) SetPartitioned(region int, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedRegions[region] = partitioned
}

// IsPartitioned reports whether a region is partitioned from the others.
func (n *EmulatedNetwork) IsPartitioned(region int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitionedRegions[region]
}

// isPartitioned reports whether a partition separates two zones. The caller holds mu.
func (n *EmulatedNetwork) isPartitioned(from, to int) bool {
	a, b := zones[from].Region, zones[to].Region
	return a != b && (n.partitionedRegions[a] || n.partitionedRegions[b])
}

type zoneNetwork struct {
	network *EmulatedNetwork
	zone    int
}

// Dial connects to a server, over the delay between the two zones. A server behind a partition refuses the
// connection.
func (z zoneNetwork) Dial(address string, h netio.Handler) (stream.Conn, error) {
	to, known := z.network.zoneOf[address]
	if !known {
		to = z.zone
	}
	z.network.mu.Lock()
	partitioned := z.network.isPartitioned(z.zone, to)
	z.network.mu.Unlock()
	if partitioned {
		return nil, netio.ErrRefused
	}
	c := &delayedConn{network: z.network, from: z.zone, to: to, handler: h}
	delay := time.Duration(0)
	if z.network.delays {
		delay = Delay(z.zone, to)
	}
	c.in = &delayQueue{conn: c, delay: delay}
	c.out = &delayQueue{conn: c, delay: delay}
	c.mu.Lock() // events of the connection wait until conn is set
	defer c.mu.Unlock()
	conn, err := z.network.next.Dial(address, c)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

// delayedConn is one connection: a stream.Conn for the client, and the netio.Handler of the real connection.
type delayedConn struct {
	network  *EmulatedNetwork
	from, to int
	handler  netio.Handler
	in, out  *delayQueue

	mu     sync.Mutex
	conn   stream.Conn
	closed bool // by the client, whose handler gets no more events
}

// Connected is delivered after a round trip.
func (c *delayedConn) Connected() {
	c.in.enqueue(0, 2*c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Connected()
		}
	})
}

// Data is delivered after the delay, in order.
func (c *delayedConn) Data(b []byte) {
	copied := append([]byte(nil), b...)
	queued := c.in.enqueue(len(copied), c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Data(copied)
		}
	})
	if !queued {
		c.underlying().Close()
		c.Closed(ErrQueueFull)
	}
}

// Closed is delivered after all earlier events.
func (c *delayedConn) Closed(err error) {
	c.in.enqueue(0, c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Closed(err)
		}
	})
}

// Write sends b to the server after the delay.
func (c *delayedConn) Write(b []byte) error {
	if c.isClosed() {
		return netio.ErrClosed
	}
	copied := append([]byte(nil), b...)
	if !c.out.enqueue(len(copied), c.out.delay, func() { _ = c.underlying().Write(copied) }) { // an error closes it
		return ErrQueueFull
	}
	return nil
}

// Close closes the connection for the client at once. The server sees it after the delay, or once a partition
// heals.
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

// underlying returns the real connection. Nothing is written to it before its dial has returned.
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

// delayQueue is one direction of a connection: events are delivered in order, after the delay, and not during a
// partition.
type delayQueue struct {
	conn  *delayedConn
	delay time.Duration

	mu      sync.Mutex
	waiting []delayedEvent
	bytes   int
	timer   *time.Timer
	running bool // a goroutine is delivering; another would break the order
}

type delayedEvent struct {
	due     time.Time
	bytes   int
	deliver func()
}

// enqueue adds an event to be delivered after a delay. It returns false if the queue is full.
func (q *delayQueue) enqueue(bytes int, delay time.Duration, deliver func()) bool {
	q.mu.Lock()
	if q.bytes+bytes > maxQueuedBytes {
		q.mu.Unlock()
		return false
	}
	q.bytes += bytes
	due := time.Now().Add(delay)
	if n := len(q.waiting); n > 0 && q.waiting[n-1].due.After(due) {
		due = q.waiting[n-1].due
	}
	q.waiting = append(q.waiting, delayedEvent{due, bytes, deliver})
	q.mu.Unlock()
	q.deliverDue()
	return true
}

// deliverDue delivers the events that are due, and sets a timer for the next one.
func (q *delayQueue) deliverDue() {
	partitioned := q.conn.isPartitioned()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running {
		return
	}
	q.running = true
	defer func() { q.running = false }()
	for len(q.waiting) > 0 {
		first := q.waiting[0]
		if wait := time.Until(first.due); wait > 0 || partitioned {
			q.scheduleDelivery(nextCheckDelay(wait, partitioned))
			return
		}
		q.waiting[0] = delayedEvent{}
		q.waiting = q.waiting[1:]
		q.bytes -= first.bytes
		q.mu.Unlock()
		first.deliver()
		partitioned = q.conn.isPartitioned()
		q.mu.Lock()
	}
	q.waiting = nil
}

// scheduleDelivery runs deliverDue again after a delay. The caller holds mu.
func (q *delayQueue) scheduleDelivery(after time.Duration) {
	if q.timer == nil {
		q.timer = time.AfterFunc(after, q.deliverDue)
		return
	}
	q.timer.Reset(after)
}

// nextCheckDelay returns when to check again: once the next event is due, or whether a partition has healed.
func nextCheckDelay(wait time.Duration, partitioned bool) time.Duration {
	if partitioned {
		return max(wait, partitionPollInterval)
	}
	return wait
}
