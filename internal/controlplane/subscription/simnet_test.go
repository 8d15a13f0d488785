package subscription

import (
	"google.golang.org/protobuf/proto"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
)

// simConnection delivers frames in both directions, each in order.
type simConnection struct {
	server                 *simServer
	subscriber             *simSubscriber
	id                     SessionID
	toServer, toSubscriber []packet // in flight
	serverEnd              bool     // closed by the server, or the server knows that it has ended
	clientEnd              bool
	broken                 bool // what is sent from now on is lost
	applied                bool // an update or snapshot was applied
	snapshotExpected       bool // a snapshot is a correct response to its subscription
}

// packet is a frame or an event in flight.
type packet struct {
	deliverAt aspenshed.Nanos
	frame     []byte // nil: the connection's end, or its beginning if open
	open      bool
}

func (s *simulation) dial(x *simSubscriber, name string) {
	for _, server := range s.servers {
		if server.name != name {
			continue
		}
		server.lastSession++
		x.conn = &simConnection{server: server, subscriber: x, id: server.lastSession}
		if !server.up {
			s.send(x.conn, &x.conn.toSubscriber, packet{})
			return
		}
		server.connections[server.lastSession] = x.conn
		s.send(x.conn, &x.conn.toServer, packet{open: true})
	}
}

func (s *simulation) partitioned(c *simConnection) bool {
	return c.server.partition != c.subscriber.partition
}

func (s *simulation) deliveryTime() aspenshed.Nanos {
	return s.now + millisecond + aspenshed.Nanos(s.rng.Int64N(int64(30*millisecond)))
}

// send puts a packet in flight, unless the connection is broken.
func (s *simulation) send(c *simConnection, queue *[]packet, t packet) {
	if !c.broken {
		s.enqueue(queue, t)
	}
}

// enqueue puts a packet in flight, behind those that were sent before.
func (s *simulation) enqueue(queue *[]packet, t packet) {
	t.deliverAt = s.deliveryTime()
	if n := len(*queue); n > 0 {
		t.deliverAt = max(t.deliverAt, (*queue)[n-1].deliverAt)
	}
	*queue = append(*queue, t)
}

// deliverToServer delivers the packets that have arrived on one connection.
func (s *simulation) deliverToServer(c *simConnection) (any bool) {
	for len(c.toServer) > 0 && c.toServer[0].deliverAt <= s.now && !s.partitioned(c) && !c.serverEnd {
		t := c.toServer[0]
		c.toServer = c.toServer[1:]
		any = true
		switch {
		case t.open:
			c.server.machine.Open(s.now, c.id)
			s.send(c, &c.toSubscriber, packet{open: true})
		case t.frame == nil:
			s.closeServerEnd(c)
			c.server.machine.Disconnected(c.id)
		default:
			f := &pb.SubscriberFrame{}
			if err := proto.Unmarshal(t.frame, f); err != nil {
				s.fail("frame of %s: %v", c.subscriber.name, err)
			}
			if m := f.GetSubscribe(); m != nil {
				c.snapshotExpected = m.Revision == 0 || c.server.machine.log.Oldest() > m.Revision || s.corruptions > 0
			}
			c.server.machine.Receive(s.now, c.id, f)
		}
	}
	return any
}

func (s *simulation) closeServerEnd(c *simConnection) {
	c.serverEnd = true
	delete(c.server.connections, c.id)
}

func (s *simulation) handleOutput(x *simServer, o Output) {
	if o.Log != nil {
		s.checkServerLog(o.Log)
	}
	c := x.connections[o.Session]
	if c == nil {
		return
	}
	if o.Frame != nil {
		s.send(c, &c.toSubscriber, packet{frame: o.Frame})
	}
	if o.Close {
		s.send(c, &c.toSubscriber, packet{})
		s.closeServerEnd(c)
	}
}

// deliverToSubscriber delivers the packets that have arrived for a subscriber, if it reads.
func (s *simulation) deliverToSubscriber(x *simSubscriber) {
	for c := x.conn; c != nil && c == x.conn && len(c.toSubscriber) > 0 && c.toSubscriber[0].deliverAt <= s.now && !s.partitioned(c) && !x.slow; {
		t := c.toSubscriber[0]
		c.toSubscriber = c.toSubscriber[1:]
		switch {
		case t.open:
			s.stepSubscriber(x, Connected{})
		case t.frame == nil:
			x.conn, x.undisturbedSince = nil, never
			c.clientEnd = true
			s.stepSubscriber(x, Disconnected{})
		default:
			f := &pb.ServerFrame{}
			if err := proto.Unmarshal(t.frame[lengthBytes:], f); err != nil {
				s.stepSubscriber(x, BadFrame{err})
				continue
			}
			s.stepSubscriber(x, Received{Frame: f, Bytes: len(t.frame)})
		}
	}
}
