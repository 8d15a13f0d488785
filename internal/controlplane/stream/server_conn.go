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
	// maxPendingSubscriberBytes bounds the received bytes of one subscriber that wait for the loop: two such frames.
	// Beyond it the connection is closed, as subscribers wait for replies and acknowledge ten times a second at most.
	maxPendingSubscriberBytes = 2 * maxSubscriberFrameBytes
)

// subscriberConn is the connection of one subscriber.
type subscriberConn struct {
	server   *Server
	id       subscription.SessionID
	socket   *netio.Conn
	receiver receiver[*pb.SubscriberFrame]
}

// accept is called for a new connection, before anything is read from it.
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

// Connected is part of netio.Handler; an accepted connection is already established.
func (c *subscriberConn) Connected() {}

// Data posts the frames that are complete.
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

// write sends a frame. If that fails, the connection ends, which is reported through Closed.
func (c *subscriberConn) write(b []byte) {
	if err := c.socket.Write(b); err == nil {
		c.server.counters.countSent(len(b))
	}
}

// closeAfterFlush closes the connection once everything written has been sent, or at the deadline. Input is read and
// dropped until then.
func (c *subscriberConn) closeAfterFlush(deadline aspenshed.Nanos) {
	s := c.server
	switch {
	case s.connections[c.id] != c:
		return // it has ended already
	case c.socket.Unsent() == 0:
		delete(s.connections, c.id)
		c.socket.Shutdown(func() bool { return true })
	case s.loop.Now() >= deadline:
		delete(s.connections, c.id)
		c.socket.Close()
	default:
		s.loop.At(s.loop.Now()+closePollInterval, func() { c.closeAfterFlush(deadline) })
	}
}
