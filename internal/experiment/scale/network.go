package scale

import (
	"errors"
	"sync"
	"time"

	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/netio"
)

// heldBytes bounds what one connection holds back on either way while it is delayed or cut off; beyond it the connection
// ends, as one whose peer never acknowledges. It is twice the window of a control stream and more.
const heldBytes = 8 << 20

// cutPoll is how often a connection that is cut off looks whether it is healed: far below a lost segment's retransmission.
const cutPoll = 50 * time.Millisecond

// ErrHeldBack ends a connection on which too much waits.
var ErrHeldBack = errors.New("scale: too much waits on a delayed connection")

// Links is the network between the gateways of a child and the servers: delays by zone, and regions that are cut off. It
// hands out a stream.Network for each zone.
type Links struct {
	next      stream.Network
	zoneOf    map[string]int // of servers, by address
	delays    bool
	mu        sync.Mutex
	cutRegion map[int]bool
}

// NewLinks stands before a network. Servers are named by address with the zones that they stand in.
func NewLinks(next stream.Network, servers map[string]int, delays bool) *Links {
	return &Links{next: next, zoneOf: servers, delays: delays, cutRegion: map[int]bool{}}
}

// From is the network as a gateway in that zone sees it.
func (l *Links) From(zone int) stream.Network { return zoneNetwork{l, zone} }

// SetCut cuts a region off from all others, or heals that. What was under way arrives once it is healed.
func (l *Links) SetCut(region int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutRegion[region] = cut
}

// IsCut reports whether a region is cut off.
func (l *Links) IsCut(region int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutRegion[region]
}

// isCut reports whether nothing gets from one zone to the other. The caller holds mu.
func (l *Links) isCut(from, to int) bool {
	a, b := zones[from].Region, zones[to].Region
	return a != b && (l.cutRegion[a] || l.cutRegion[b])
}

type zoneNetwork struct {
	links *Links
	zone  int
}

// Dial connects to a server, over the delay between the two zones. A server that is cut off can't be reached.
func (z zoneNetwork) Dial(address string, h netio.Handler) (stream.Conn, error) {
	to, known := z.links.zoneOf[address]
	if !known {
		to = z.zone
	}
	z.links.mu.Lock()
	cut := z.links.isCut(z.zone, to)
	z.links.mu.Unlock()
	if cut {
		return nil, netio.ErrRefused
	}
	c := &delayedConn{links: z.links, from: z.zone, to: to, handler: h}
	delay := time.Duration(0)
	if z.links.delays {
		delay = Delay(z.zone, to)
	}
	c.in = &delayLine{conn: c, delay: delay}
	c.out = &delayLine{conn: c, delay: delay}
	c.mu.Lock() // what the connection tells waits until conn is set
	defer c.mu.Unlock()
	conn, err := z.links.next.Dial(address, c)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

// delayedConn is one connection: it is a stream.Conn towards the client, and the real connection's netio.Handler.
type delayedConn struct {
	links    *Links
	from, to int
	handler  netio.Handler
	in, out  *delayLine

	mu     sync.Mutex
	conn   stream.Conn
	closed bool // by the client: it hears nothing more
}

// Up arrives after the delay there and back.
func (c *delayedConn) Up() {
	c.in.put(0, 2*c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Up()
		}
	})
}

// Data arrives after the delay, in order.
func (c *delayedConn) Data(b []byte) {
	copied := append([]byte(nil), b...)
	held := c.in.put(len(copied), c.in.delay, func() {
		if !c.isClosed() {
			c.handler.Data(copied)
		}
	})
	if !held {
		c.real().Close()
		c.Closed(ErrHeldBack)
	}
}

// Closed arrives behind all that came before it.
func (c *delayedConn) Closed(err error) {
	c.in.put(0, c.in.delay, func() {
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
	if !c.out.put(len(copied), c.out.delay, func() { _ = c.real().Write(copied) }) { // an error shows as the connection's end
		return ErrHeldBack
	}
	return nil
}

// Close ends the connection here at once; the server sees it after the delay, or once a cut is healed.
func (c *delayedConn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.out.put(0, c.out.delay, func() {
		c.real().Close()
	})
}

func (c *delayedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// real is the connection below; before its dial has returned nothing is written to it.
func (c *delayedConn) real() stream.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *delayedConn) isCut() bool {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	return c.links.isCut(c.from, c.to)
}

// delayLine is one direction of a connection: what is put in comes out in order, after the delay, and not during a cut.
type delayLine struct {
	conn  *delayedConn
	delay time.Duration

	mu      sync.Mutex
	waiting []delayed
	bytes   int
	timer   *time.Timer
	running bool // a goroutine delivers: another must not overtake it
}

type delayed struct {
	due    time.Time
	bytes  int
	arrive func()
}

// put takes what arrives after a delay; false: too much waits already.
func (l *delayLine) put(bytes int, delay time.Duration, arrive func()) bool {
	l.mu.Lock()
	if l.bytes+bytes > heldBytes {
		l.mu.Unlock()
		return false
	}
	l.bytes += bytes
	due := time.Now().Add(delay)
	if n := len(l.waiting); n > 0 && l.waiting[n-1].due.After(due) {
		due = l.waiting[n-1].due
	}
	l.waiting = append(l.waiting, delayed{due, bytes, arrive})
	l.mu.Unlock()
	l.deliver()
	return true
}

// deliver has what is due arrive, and sets a timer for the next.
func (l *delayLine) deliver() {
	cut := l.conn.isCut()
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
			l.wake(waitOrPoll(wait, cut))
			return
		}
		l.waiting[0] = delayed{}
		l.waiting = l.waiting[1:]
		l.bytes -= first.bytes
		l.mu.Unlock()
		first.arrive()
		cut = l.conn.isCut()
		l.mu.Lock()
	}
	l.waiting = nil
}

// wake has deliver run again. The caller holds mu.
func (l *delayLine) wake(after time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(after, l.deliver)
		return
	}
	l.timer.Reset(after)
}

// waitOrPoll is when to look again: once the next is due, or whether a cut is healed.
func waitOrPoll(wait time.Duration, cut bool) time.Duration {
	if cut {
		return max(wait, cutPoll)
	}
	return wait
}
