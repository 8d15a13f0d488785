package stream

import (
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/frame"
)

// maxPendingServerBytes bounds the received bytes of a server that wait for the client's loop: two of the longest
// frames, many times a server's window. Beyond it the connection is closed.
const maxPendingServerBytes = 2 * frame.MaxSize

// serverConn is the connection to a server, from its dial on. Input of a connection that is no longer the client's is
// dropped.
type serverConn struct {
	client   *Client
	socket   Conn
	receiver receiver[*pb.ServerFrame]
}

func (c *Client) dial(server string) {
	conn := &serverConn{client: c}
	conn.receiver = receiver[*pb.ServerFrame]{newFrame: func() *pb.ServerFrame { return &pb.ServerFrame{} },
		counters: &c.counters, maxPendingBytes: maxPendingServerBytes}
	c.conn = conn
	c.mu.Lock()
	c.stats.Server = server
	c.mu.Unlock()
	socket, err := c.config.Network.Dial(server, conn)
	if err != nil {
		c.connectionLost(conn, err)
		return
	}
	conn.socket = socket
}

// closeConnection closes the connection, or cancels the dial.
func (c *Client) closeConnection() {
	if c.conn != nil && c.conn.socket != nil {
		c.conn.socket.Close()
	}
	c.conn = nil
}

// connectionLost reports the end of a connection to the state machine. It may be called while the machine's actions are
// performed.
func (c *Client) connectionLost(conn *serverConn, err error) {
	c.loop.Post(func() {
		if conn == nil || c.conn != conn {
			return
		}
		c.closeConnection()
		c.step(subscription.Disconnected{Err: err})
	})
}

func (c *serverConn) write(b []byte) error {
	err := c.socket.Write(b)
	if err == nil {
		c.client.counters.countSent(len(b))
	}
	return err
}

// Connected posts that the connection is established.
func (c *serverConn) Connected() {
	c.client.loop.Post(func() {
		if c.client.conn != c {
			return
		}
		c.client.mu.Lock()
		c.client.stats.Connects++
		c.client.mu.Unlock()
		c.client.step(subscription.Connected{})
	})
}

// Data posts the frames that are complete.
func (c *serverConn) Data(b []byte) {
	frames, err := c.receiver.decode(b)
	if len(frames) == 0 && err == nil {
		return
	}
	c.client.loop.Post(func() { c.handleFrames(frames, err) })
}

// handleFrames passes frames to the state machine, which may close the connection after any of them.
func (c *serverConn) handleFrames(frames []receivedFrame[*pb.ServerFrame], err error) {
	for _, f := range frames {
		if c.client.conn == c {
			c.client.step(subscription.Received{Frame: f.frame, Bytes: f.bytes})
		}
		c.receiver.release(f)
	}
	if err != nil && c.client.conn == c {
		c.client.step(subscription.BadFrame{Err: err})
	}
}

// Closed posts the connection's end, or the failure of the dial.
func (c *serverConn) Closed(err error) { c.client.connectionLost(c, err) }

var _ netio.Handler = (*serverConn)(nil)
