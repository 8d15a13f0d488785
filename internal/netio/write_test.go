package netio

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// batch has the poller learn of the ends of many connections at once, and keeps it busy with another one before it comes to
// them. It returns those connections and a function that lets the poller go on.
func batch(t *testing.T, n *Net, accepted chan *probe, reset bool) (old []*probe, resume func()) {
	release := hold(t, n, accepted)
	slow, first := pair(t, n, accepted)
	reading, proceed := make(chan bool), make(chan bool)
	first.before = func() { close(reading); <-proceed }
	var raws []net.Conn
	for range 8 {
		raw, in := pair(t, n, accepted)
		raws, old = append(raws, raw), append(old, in)
	}
	_, _ = slow.Write([]byte("x"))
	queued(t, first.conn, 1)
	for i, raw := range raws {
		_, _ = raw.Write([]byte("y"))
		queued(t, old[i].conn, 1)
		if reset {
			_ = raw.(*net.TCPConn).SetLinger(0)
		}
		_ = raw.Close()
	}
	release()
	want(t, "the first one's data", reading)
	return old, func() {
		close(proceed)
		want(t, "data", first.data)
	}
}

// Guards connections against a failed write on another: whoever writes must not close the descriptor, as its number would be
// the next connection's while the poller still has an event of the old one at hand.
func TestAFailedWriteEndsOnlyItsConnection(t *testing.T) {
	for name, fail := range map[string]struct {
		reset bool
		write func(*testing.T, *Conn)
	}{
		"the peer has reset it": {true, func(t *testing.T, x *Conn) {
			for end := time.Now().Add(patient); x.Write([]byte("answer")) == nil; {
				if time.Now().After(end) {
					t.Fatal("the reset never came")
				}
			}
		}},
		"its buffer is full": {false, func(t *testing.T, x *Conn) {
			for end := time.Now().Add(patient); x.Write(make([]byte, defaultMaxWriteBuffer)) == nil; {
				if time.Now().After(end) {
					t.Fatal("the buffer is never full")
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan *probe, 10)
			n := startWith(t, Config{Listen: "127.0.0.1:0", MaxClients: 100}, accepted)
			old, resume := batch(t, n, accepted, fail.reset)
			for _, in := range old {
				fail.write(t, in.conn)
			}
			var raws []net.Conn
			var others []*probe
			for range 8 {
				raw, in := pair(t, n, accepted)
				raws, others = append(raws, raw), append(others, in)
			}
			resume()
			for i, in := range others {
				_, _ = raws[i].Write([]byte("z"))
				select {
				case <-in.data:
				case err := <-in.closed:
					t.Errorf("connection %d ended with another's end: %v", i, err)
				case <-time.After(patient):
					t.Errorf("connection %d is not heard", i)
				}
			}
			for _, in := range old {
				want(t, "the end of one whose write failed", in.closed)
			}
		})
	}
}

// stuck writes until the peer's system takes no more, and returns what was written.
func stuck(t *testing.T, x *Conn) (written int) {
	t.Helper()
	piece := make([]byte, 64<<10)
	for end := time.Now().Add(patient); !x.Unsent(); written += len(piece) {
		if err := x.Write(piece); err != nil || time.Now().After(end) {
			t.Fatalf("the connection does not get stuck: %v", err)
		}
	}
	return written
}

// Guards answers on TCP and on local sockets: what the system does not take at once follows whole and in order, and the
// bytes that wait are counted down to none. nbio (v1.6.8) drops the rest of such a write on a local socket.
func TestAWriteThatGetsStuckFollowsWhole(t *testing.T) {
	for _, listen := range []string{"127.0.0.1:0", "unix:" + t.TempDir() + "/socket"} {
		accepted := make(chan *probe, 10)
		n := startWith(t, Config{Listen: listen, MaxClients: 100}, accepted)
		network, address := splitAddress(listen)
		if network == "tcp" {
			address = n.Addr()
		}
		raw, err := net.Dial(network, address)
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		_ = raw.SetDeadline(time.Now().Add(patient))
		in := want(t, "accept", accepted)
		size := stuck(t, in.conn)
		var tail []byte
		for i := range 100_000 {
			tail = append(tail, byte(i), byte(i>>8), byte(i>>16))
		}
		if err := in.conn.Write(tail); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, size+len(tail))
		if _, err := io.ReadFull(raw, got); err != nil {
			t.Fatalf("%s: %v", network, err)
		}
		if string(got[size:]) != string(tail) {
			t.Errorf("%s: the bytes that waited came in another order", network)
		}
		for end := time.Now().Add(patient); in.conn.Unsent(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("%s: all was read, and bytes count as unsent", network)
			}
		}
	}
}

// Guards clients that read: one answer is sent whole, however long, while one that reads nothing is not kept more than the
// buffer's size of answers.
func TestOneLongAnswerIsSentWhole(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	_, in := pair(t, n, accepted)
	if err := unix.SetsockoptInt(in.conn.nbConn.Hash(), unix.SOL_SOCKET, unix.SO_SNDBUF, 64<<10); err != nil {
		t.Fatal(err)
	}
	long := make([]byte, 2*defaultMaxWriteBuffer)
	if err := in.conn.Write(long); err != nil {
		t.Fatal(err)
	}
	if !in.conn.Unsent() {
		t.Error("nothing waits: the test shows nothing")
	}
	if err := in.conn.Write([]byte("one more")); !errors.Is(err, ErrWriteBufferFull) {
		t.Errorf("a write behind a full buffer: %v", err)
	}
	if err := want(t, "the end", in.closed); !errors.Is(err, ErrWriteBufferFull) {
		t.Errorf("it ended with %v", err)
	}
	raw, in := pair(t, n, accepted)
	if err := in.conn.Write(long); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(raw, long); err != nil {
		t.Errorf("a long answer: %v", err)
	}
}

// Guards the memory, and the other clients: clients that read nothing are kept their share of answers and no more once all of
// it is in use; one that is slow for a moment goes on, and one that reads is served.
func TestClientsThatReadNothingShareABoundedMemory(t *testing.T) {
	const flooders, limit = 8, 4 * defaultMaxWriteBuffer
	accepted := make(chan *probe, 10)
	n := startWith(t, Config{Listen: "127.0.0.1:0", MaxClients: flooders + 2, MaxQueued: limit}, accepted)
	slow, patientOne := pair(t, n, accepted)
	before := stuck(t, patientOne.conn)
	piece := make([]byte, 64<<10)
	var ended int
	for range flooders {
		_, in := pair(t, n, accepted)
		_ = stuck(t, in.conn)
		for waiting := int64(0); waiting < defaultMaxWriteBuffer-int64(len(piece)); waiting = in.conn.unsentBytes.Load() {
			if err := in.conn.Write(piece); err != nil {
				if !errors.Is(err, ErrWriteBufferFull) {
					t.Fatal(err)
				}
				ended++
				break
			}
		}
		if got := n.flusher.queued.Load(); got > 2*limit {
			t.Fatalf("%d bytes wait", got)
		}
	}
	if ended == 0 {
		t.Errorf("nobody ended, though %d bytes wait", n.flusher.queued.Load())
	}
	raw, reader := pair(t, n, accepted)
	for _, x := range []struct {
		raw  net.Conn
		conn *Conn
		size int
	}{{slow, patientOne.conn, before + len(piece)}, {raw, reader.conn, len(piece)}} {
		if err := x.conn.Write(piece); err != nil {
			t.Fatalf("one that reads: %v", err)
		}
		_ = x.raw.SetDeadline(time.Now().Add(patient))
		if _, err := io.ReadFull(x.raw, make([]byte, x.size)); err != nil {
			t.Errorf("one that reads: %v", err)
		}
	}
	n.Stop()
	for end := time.Now().Add(patient); n.flusher.queued.Load() > 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d bytes count as waiting though all connections have ended", n.flusher.queued.Load())
		}
	}
}
