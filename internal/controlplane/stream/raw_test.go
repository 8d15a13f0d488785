package stream

import (
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/protocol/frame"
)

// rawPeer is a connection on which a test writes raw bytes.
type rawPeer struct {
	t    *testing.T
	conn net.Conn
}

func dialRaw(t *testing.T, address string) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawPeer{t, conn}
}

func (p *rawPeer) write(b []byte) {
	p.t.Helper()
	if _, err := p.conn.Write(b); err != nil {
		p.t.Fatal(err)
	}
}

func (p *rawPeer) send(f *pb.SubscriberFrame) { p.write(encoded(p.t, f)) }

// readClosing reads to the end of the connection and returns its last frame, which has to be a Closing.
func (p *rawPeer) readClosing() *pb.Closing {
	p.t.Helper()
	all, err := io.ReadAll(p.conn)
	if err != nil {
		p.t.Fatal(err)
	}
	last := &pb.ServerFrame{}
	err = (&frame.Reader{}).Feed(all, func(b []byte) error {
		last.Reset()
		return proto.Unmarshal(b, last)
	})
	if err != nil || last.GetClosing() == nil {
		p.t.Fatalf("%v: the last frame is %v", err, last)
	}
	return last.GetClosing()
}

func encoded(t *testing.T, f *pb.SubscriberFrame) []byte {
	t.Helper()
	b, err := frame.Append(nil, f)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func subscribe(name, cluster string) *pb.SubscriberFrame {
	return &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Subscribe{Subscribe: &pb.Subscribe{Cluster: cluster, Subscriber: name}}}
}

// subscribeAhead returns a Subscribe with a revision that the server has not reached.
func subscribeAhead(name string) *pb.SubscriberFrame {
	f := subscribe(name, "test")
	f.GetSubscribe().Revision = 1 << 40
	return f
}

func ack(received uint64) *pb.SubscriberFrame {
	return &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Ack{Ack: &pb.Ack{Received: received}}}
}

// respondWith responds to the first bytes of each connection with the same bytes.
func respondWith(l net.Listener, answer []byte) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		first := make([]byte, 1)
		if _, err := conn.Read(first); err == nil {
			_, _ = conn.Write(answer) // the client may have closed the connection
		}
	}
}
