package subscription

import (
	"google.golang.org/protobuf/proto"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
)

// connection carries frames both ways, each way in order.
type connection struct {
	server     *simServer
	subscriber *simSubscriber
	id         SessionID
	up, down   []transit // to the server, to the subscriber
	serverEnd  bool      // the server has closed it or knows that it ended
	clientEnd  bool
	dead       bool // nothing that is sent now arrives
	applied    bool // something took effect on it
	wholeFits  bool // a snapshot is the right answer to its subscription
}

// transit is something on its way.
type transit struct {
	at    aspenshed.Nanos
	frame []byte // none: the connection's end, or its beginning
	open  bool
}

func (s *simulation) dial(x *simSubscriber, name string) {
	for _, server := range s.servers {
		if server.name != name {
			continue
		}
		server.last++
		x.link = &connection{server: server, subscriber: x, id: server.last}
		if !server.up {
			s.send(x.link, &x.link.down, transit{})
			return
		}
		server.sides[server.last] = x.link
		s.send(x.link, &x.link.up, transit{open: true})
	}
}

func (s *simulation) cut(c *connection) bool { return c.server.side != c.subscriber.side }

func (s *simulation) delay() aspenshed.Nanos {
	return s.now + millisecond + aspenshed.Nanos(s.rng.Int64N(int64(30*millisecond)))
}

// send puts something on its way, unless the connection is dead.
func (s *simulation) send(c *connection, way *[]transit, t transit) {
	if !c.dead {
		s.add(way, t)
	}
}

// add puts something on its way, behind what is there already.
func (s *simulation) add(way *[]transit, t transit) {
	t.at = s.delay()
	if n := len(*way); n > 0 {
		t.at = max(t.at, (*way)[n-1].at)
	}
	*way = append(*way, t)
}

// deliverFrom hands to a server what has come on one connection.
func (s *simulation) deliverFrom(c *connection) (any bool) {
	for len(c.up) > 0 && c.up[0].at <= s.now && !s.cut(c) && !c.serverEnd {
		t := c.up[0]
		c.up = c.up[1:]
		any = true
		switch {
		case t.open:
			c.server.machine.Open(s.now, c.id)
			s.send(c, &c.down, transit{open: true})
		case t.frame == nil:
			s.endServer(c)
			c.server.machine.Disconnected(c.id)
		default:
			f := &pb.SubscriberFrame{}
			if err := proto.Unmarshal(t.frame, f); err != nil {
				s.fail("frame of %s: %v", c.subscriber.name, err)
			}
			if m := f.GetSubscribe(); m != nil {
				c.wholeFits = m.Revision == 0 || c.server.machine.log.Oldest() > m.Revision || s.corruptions > 0
			}
			c.server.machine.Receive(s.now, c.id, f)
		}
	}
	return any
}

func (s *simulation) endServer(c *connection) {
	c.serverEnd = true
	delete(c.server.sides, c.id)
}

func (s *simulation) output(x *simServer, o Output) {
	if o.Log != nil {
		s.noteServerLine(o.Log)
	}
	c := x.sides[o.Session]
	if c == nil {
		return
	}
	if o.Frame != nil {
		s.send(c, &c.down, transit{frame: o.Frame})
	}
	if o.Close {
		s.send(c, &c.down, transit{})
		s.endServer(c)
	}
}

// deliverTo hands to a subscriber what has come for it, if it reads.
func (s *simulation) deliverTo(x *simSubscriber) {
	for c := x.link; c != nil && c == x.link && len(c.down) > 0 && c.down[0].at <= s.now && !s.cut(c) && !x.slow; {
		t := c.down[0]
		c.down = c.down[1:]
		switch {
		case t.open:
			s.stepSubscriber(x, Connected{})
		case t.frame == nil:
			x.link, x.calm = nil, never
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
