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

const patient = 10 * time.Second

// probe notes what happens on a connection.
type probe struct {
	conn   *Conn
	up     chan bool
	data   chan string
	closed chan error
	before func() // where set, comes first in Data
}

func newProbe() *probe {
	return &probe{up: make(chan bool, 1), data: make(chan string, 100), closed: make(chan error, 1)}
}

func (p *probe) Up() { p.up <- true }
func (p *probe) Data(b []byte) {
	if string(b) == "panic" {
		panic("a defect in a parser")
	}
	if p.before != nil {
		p.before()
	}
	p.data <- string(b)
}
func (p *probe) Closed(err error) { p.closed <- err }

func want[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patient):
		t.Fatalf("%s never came", what)
	}
	return v
}

func start(t *testing.T, listen string) (*Net, chan *probe) {
	accepted := make(chan *probe, 10)
	return startWith(t, Config{Listen: listen, MaxClients: 3, MaxDials: 3, ReservedDials: 1}, accepted), accepted
}

// startWith starts a Net that offers each connection it accepts.
func startWith(t *testing.T, c Config, accepted chan *probe) *Net {
	c.Name, c.Accept = t.Name(), func(c *Conn) Handler {
		p := newProbe()
		p.conn = c
		accepted <- p
		return p
	}
	n, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// Guards against nbio's own dial, which takes 127.0.0.2 for 0.0.0.0: here only 127.0.0.2 listens.
func TestDialReachesTheAddressItIsGiven(t *testing.T) {
	n, accepted := start(t, "127.0.0.2:0")
	out := newProbe()
	c, err := n.Dial(n.Addr(), patient, false, out)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "up", out.up)
	in := want(t, "accept", accepted)
	if err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if got := want(t, "data", in.data); got != "hello" {
		t.Errorf("got %q", got)
	}
	in.conn.Close()
	want(t, "close", out.closed)
	if c.Write([]byte("x")) == nil {
		t.Error("a write on a closed connection passed")
	}
	_, port, _ := net.SplitHostPort(n.Addr())
	if _, err := n.Dial("127.0.0.3:"+port, patient, false, out); err != nil {
		t.Fatal(err)
	}
	if err := want(t, "refusal", out.closed); !errors.Is(err, ErrRefused) {
		t.Errorf("refused dial: %v", err)
	}
}

func TestBudgetKeepsDescriptorsBack(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	dial := func(reserved bool) (*probe, error) {
		p := newProbe()
		c, err := n.Dial(n.Addr(), patient, reserved, p)
		if p.conn = c; err == nil {
			want(t, "up", p.up)
			want(t, "accept", accepted)
		}
		return p, err
	}
	first, _ := dial(false)
	_, _ = dial(false)
	if _, err := dial(false); !errors.Is(err, ErrDescriptorLimit) {
		t.Errorf("third dial of two: %v", err)
	}
	if _, err := dial(true); err != nil {
		t.Errorf("the reserved one: %v", err)
	}
	// A fourth client is one too many, whoever it is.
	raw, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Error("a client beyond the budget was served")
	}
	first.conn.Close()
	for end := time.Now().Add(patient); n.dials.Load() == 3 && time.Now().Before(end); {
	}
	if got := n.dials.Load(); got != 2 {
		t.Errorf("%d descriptors counted after a close, want 2", got)
	}
}

// Guards the program against a defect in a parser: one connection ends, the others go on.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	bad, good := newProbe(), newProbe()
	for _, p := range []*probe{bad, good} {
		p.conn, _ = n.Dial(n.Addr(), patient, false, p)
		want(t, "up", p.up)
	}
	one, two := want(t, "accept", accepted), want(t, "accept", accepted)
	_ = bad.conn.Write([]byte("panic"))
	want(t, "close", bad.closed)
	_ = good.conn.Write([]byte("hello"))
	select {
	case <-one.data:
	case <-two.data:
	case <-time.After(patient):
		t.Error("the other connection went silent")
	}
}

func TestStopListeningKeepsWhatIsOpen(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	out := newProbe()
	c, _ := n.Dial(n.Addr(), patient, false, out)
	want(t, "up", out.up)
	in := want(t, "accept", accepted)
	n.StopListening()
	if raw, err := net.Dial("tcp", n.Addr()); err == nil {
		raw.Close()
		t.Error("a new connection came up")
	}
	_ = c.Write([]byte("still here"))
	if got := want(t, "data", in.data); got != "still here" {
		t.Errorf("got %q", got)
	}
}

// pair is a raw client and the connection that the Net has accepted for it.
func pair(t *testing.T, n *Net, accepted chan *probe) (net.Conn, *probe) {
	raw, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	_ = raw.SetDeadline(time.Now().Add(patient))
	in := want(t, "accept", accepted)
	want(t, "up", in.up)
	return raw, in
}

// hold keeps the poller busy with another connection, so that what comes meanwhile lies unread.
func hold(t *testing.T, n *Net, accepted chan *probe) (release func()) {
	raw, in := pair(t, n, accepted)
	busy := make(chan bool)
	in.data, in.before = make(chan string), func() { close(busy) }
	_, _ = raw.Write([]byte("x"))
	want(t, "the poller", busy) // else it may read another connection first
	return func() { want(t, "the held data", in.data) }
}

// queued waits until that many bytes lie unread.
func queued(t *testing.T, x *Conn, bytes int) {
	t.Helper()
	for end := time.Now().Add(patient); ; {
		if n, err := unix.IoctlGetInt(x.nbConn.Hash(), unix.TIOCINQ); err != nil || n >= bytes {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the bytes never came")
		}
	}
}

func idle() bool { return true }

// Guards a request that has come and lies unread when its connection is to be closed: it is handed on, and the owner
// may think again.
func TestShutHandsOnWhatHasCome(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	raw, in := pair(t, n, accepted)
	release := hold(t, n, accepted)
	defer release()
	_, _ = raw.Write([]byte("request"))
	queued(t, in.conn, len("request"))
	if in.conn.Shut(func() bool { return len(in.data) == 0 }) {
		t.Fatal("shut over a request")
	}
	if got := want(t, "data", in.data); got != "request" {
		t.Errorf("handed on %q", got)
	}
	if err := in.conn.Write([]byte("answer")); err != nil {
		t.Error(err)
	}
	if !in.conn.Shut(idle) {
		t.Error("not shut though idle")
	}
	if got, err := io.ReadAll(raw); string(got) != "answer" || err != nil {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// Guards answers against the reset that a close over unread bytes would be: what crosses a Shut is dropped, and the
// client reads all that was written before it. One that never closes is not waited for for good.
func TestWhatCrossesAShutIsDropped(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	for _, closes := range []bool{true, false} {
		raw, in := pair(t, n, accepted)
		if err := in.conn.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		in.conn.Shut(idle)
		for range 3 {
			if _, err := raw.Write([]byte("crossing")); err != nil {
				t.Fatalf("the connection was reset: %v", err)
			}
		}
		if got, err := io.ReadAll(raw); string(got) != "answer" || err != nil {
			t.Errorf("the client got %q, %v", got, err)
		}
		if in.conn.Write([]byte("more")) == nil {
			t.Error("a write after Shut passed")
		}
		if closes {
			_ = raw.Close()
		}
		for end := time.Now().Add(patient); n.ClientCount() > 0; {
			if time.Now().After(end) {
				t.Fatalf("the client closes %t: its descriptor was never given back", closes)
			}
		}
		if len(in.data)+len(in.closed) > 0 {
			t.Errorf("%d pieces of data and %d ends were told after Shut", len(in.data), len(in.closed))
		}
	}
}

// Guards long answers and lists whose sender closes right behind them: nbio (v1.6.8) by itself drops what it has not read
// by the third time.
func TestALongAnswerBeforeTheEndIsWhole(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	raw, in := pair(t, n, accepted)
	in.data = make(chan string, 1000)
	release := hold(t, n, accepted)
	if err := unix.SetsockoptInt(in.conn.nbConn.Hash(), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<20); err != nil {
		t.Fatal(err)
	}
	long := make([]byte, 6*readBufferSize)
	_, _ = raw.Write(long)
	_ = raw.Close()
	queued(t, in.conn, len(long))
	release()
	want(t, "the end", in.closed)
	got := 0
	for len(in.data) > 0 {
		got += len(<-in.data)
	}
	if got != len(long) {
		t.Errorf("%d bytes of %d came", got, len(long))
	}
}

// Guards small writes: none is held back until the one before it is acknowledged. And other connections: a descriptor that
// another program inherits goes on ending those that have its number after it.
func TestNoDelayAndNoHeirOnEverySocket(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	out := newProbe()
	out.conn, _ = n.Dial(n.Addr(), patient, false, out)
	want(t, "up", out.up)
	for _, p := range []*probe{out, want(t, "accept", accepted)} {
		if on, err := unix.GetsockoptInt(p.conn.nbConn.Hash(), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
			t.Errorf("TCP_NODELAY is %d, %v", on, err)
		}
		if flags, err := unix.FcntlInt(uintptr(p.conn.nbConn.Hash()), unix.F_GETFD, 0); flags&unix.FD_CLOEXEC == 0 || err != nil {
			t.Errorf("the descriptor's flags are %#x, %v", flags, err)
		}
	}
}

// Guards handlers: nbio tells of an end on a goroutine of its own, whoever closes, and what was read comes before it.
func TestTheEndComesAfterWhatWasRead(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	raw, in := pair(t, n, accepted)
	reading, release := make(chan bool), make(chan bool)
	in.before = func() { close(reading); <-release }
	_, _ = raw.Write([]byte("x"))
	want(t, "a read", reading)
	_ = in.conn.nbConn.Close()
	for n.ClientCount() > 0 { // its end is under way
		runtime.Gosched()
	}
	for range 1000 {
		runtime.Gosched()
	}
	if len(in.closed) > 0 {
		t.Error("the end was told while data was handed on")
	}
	close(release)
	want(t, "data", in.data)
	want(t, "the end", in.closed)
}

// Guards connections against what the poller was told of others: it has word of many at once, and while it is busy with the
// first the next are closed and their descriptors given to new ones.
func TestAnEndIsNotTakenForAnothers(t *testing.T) {
	accepted := make(chan *probe, 10)
	n := startWith(t, Config{Listen: "127.0.0.1:0", MaxClients: 100}, accepted)
	release := hold(t, n, accepted)
	slow, first := pair(t, n, accepted)
	reading, resume := make(chan bool), make(chan bool)
	first.before = func() { close(reading); <-resume }
	var old []*probe
	var raws []net.Conn
	for range 8 {
		raw, in := pair(t, n, accepted)
		raws, old = append(raws, raw), append(old, in)
	}
	_, _ = slow.Write([]byte("x"))
	queued(t, first.conn, 1)
	for i, raw := range raws { // all this comes to the poller in one piece
		_, _ = raw.Write([]byte("y"))
		queued(t, old[i].conn, 1)
		_ = raw.Close()
	}
	release()
	want(t, "the first one's data", reading)
	for _, in := range old {
		in.conn.Close()
	}
	var others []*probe
	for range 8 {
		raw, in := pair(t, n, accepted)
		raws, others = append(raws, raw), append(others, in)
	}
	close(resume)
	want(t, "data", first.data)
	for i, in := range others {
		_, _ = raws[8+i].Write([]byte("z"))
		select {
		case <-in.data:
		case err := <-in.closed:
			t.Errorf("connection %d ended with another's end: %v", i, err)
		case <-time.After(patient):
			t.Errorf("connection %d is not heard", i)
		}
	}
}

// Guards the budget, and other connections: a link that is given up in the instant in which it comes up.
func TestALinkGivenUpAsItComesUp(t *testing.T) {
	accepted := make(chan *probe, 10)
	n := startWith(t, Config{Listen: "127.0.0.1:0", MaxClients: 2000, MaxDials: 2000}, accepted)
	for range 500 {
		out := newProbe()
		c, err := n.Dial(n.Addr(), patient, false, out)
		if err != nil {
			t.Fatal(err)
		}
		for c.loadConn() == nil { // the poller comes to know it right now
		}
		c.Close()
		want(t, "accept", accepted)
	}
	for end := time.Now().Add(patient); n.dials.Load() > 0 || n.ClientCount() > 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d dialled and %d accepted descriptors were never given back", n.dials.Load(), n.ClientCount())
		}
	}
}

// Guards requests on connections that the system has taken and the poller not yet, as the gateway stops listening.
func TestStopListeningTakesWhatWaits(t *testing.T) {
	accepted := make(chan *probe) // the first one keeps the accepting goroutine
	n := startWith(t, Config{Listen: "127.0.0.1:0", MaxClients: 10}, accepted)
	var raws []net.Conn
	for range 4 {
		raw, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = raw.Close() })
		_, _ = raw.Write([]byte("request"))
		raws = append(raws, raw)
	}
	go n.StopListening()
	for range raws {
		in := want(t, "accept", accepted)
		if got := want(t, "data", in.data); got != "request" {
			t.Errorf("got %q", got)
		}
	}
}

// Guards against waiting on for a client that has gone: its end is heard though it reads nothing and its answer is stuck.
func TestAnEndIsHeardBehindABlockedAnswer(t *testing.T) {
	n, accepted := start(t, "127.0.0.1:0")
	raw, in := pair(t, n, accepted)
	if err := in.conn.Write(make([]byte, defaultMaxWriteBuffer)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patient); !in.conn.Unsent(); runtime.Gosched() {
		if err := in.conn.Write(make([]byte, 64<<10)); err != nil || time.Now().After(end) {
			t.Fatalf("the answer is not stuck: %v", err)
		}
	}
	_ = raw.Close()
	want(t, "the end", in.closed)
}
