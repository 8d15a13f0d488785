package stream

import (
	"aspenshed"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/frame"
)

const (
	// maxSubscriberFrameBytes bounds one frame of a subscriber: a batch of commands (512 kB, and one command beyond).
	maxSubscriberFrameBytes = 1 << 20
	// maxPendingSubscriberBytes bounds what waits of one subscriber for the loop: two such frames. Beyond it the connection is
	// closed, as subscribers wait for answers and acknowledge ten times a second at most.
	maxPendingSubscriberBytes = 2 * maxSubscriberFrameBytes
)

// subscriberConn is a connection of a subscriber.
type subscriberConn struct {
	server   *Server
	id       subscription.SessionID
	socket   *netio.Conn
	receiver receiver[*pb.SubscriberFrame]
}

// accept is called before anything is read from the socket.
func (s *Server) accept(socket *netio.Conn) netio.Handler {
	c := &subscriberConn{server: s, id: subscription.SessionID(s.nextID.Add(1)), socket: socket}
	c.receiver = receiver[*pb.SubscriberFrame]{newFrame: func() *pb.SubscriberFrame { return &pb.SubscriberFrame{} },
		counters: &s.counters, maxPendingBytes: maxPendingSubscriberBytes, reader: frame.Reader{Limit: maxSubscriberFrameBytes}}
	s.opened.Add(1)
	s.loop.Post(func() {
		if s.failed {
			socket.Close()
			return
		}
		s.connections[c.id] = c
		s.machine.Open(s.loop.Now(), c.id)
	})
	return c
}

// Up is part of netio.Handler; an accepted connection is up already.
func (c *subscriberConn) Up() {}

// Data posts the frames that have come whole.
func (c *subscriberConn) Data(b []byte) {
	frames, err := c.receiver.decode(b)
	if len(frames) == 0 && err == nil {
		return
	}
	c.server.loop.Post(func() {
		now := c.server.loop.Now()
		for _, f := range frames {
			c.server.machine.Receive(now, c.id, f.frame)
			c.receiver.release(f)
		}
		if err != nil {
			c.server.machine.BadFrame(now, c.id, err)
		}
	})
}

// Closed posts the connection's end.
func (c *subscriberConn) Closed(error) {
	c.server.loop.Post(func() {
		delete(c.server.connections, c.id)
		c.server.machine.Disconnected(c.id)
	})
}

// write sends a frame. One that can't be sent ends the connection, of which Closed tells.
func (c *subscriberConn) write(b []byte) {
	if err := c.socket.Write(b); err == nil {
		c.server.counters.countSent(len(b))
	}
}

// closeAfterFlush closes the connection once what was written has left, or at the limit. What still comes is read and dropped.
func (c *subscriberConn) closeAfterFlush(limit aspenshed.Nanos) {
	s := c.server
	switch {
	case s.connections[c.id] != c:
		return // it has ended by itself
	case !c.socket.Unsent():
		delete(s.connections, c.id)
		c.socket.Shut(func() bool { return true })
	case s.loop.Now() >= limit:
		delete(s.connections, c.id)
		c.socket.Close()
	default:
		s.loop.At(s.loop.Now()+closePollInterval, func() { c.closeAfterFlush(limit) })
	}
}
