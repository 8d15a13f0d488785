package netio

import (
	"errors"
	"net"
	"testing"
	"time"
)

const patient = 10 * time.Second

// probe notes what happens on a connection.
type probe struct {
	conn   *Conn
	up     chan bool
	data   chan string
	closed chan error
}

func newProbe() *probe {
	return &probe{up: make(chan bool, 1), data: make(chan string, 100), closed: make(chan error, 1)}
}

func (p *probe) Up() { p.up <- true }
func (p *probe) Data(b []byte) {
	if string(b) == "panic" {
		panic("a defect in a parser")
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
	n, err := New(Config{Name: t.Name(), Listen: listen, Clients: 3, Dials: 3, Reserved: 1, Accept: func(c *Conn) Handler {
		p := newProbe()
		p.conn = c
		accepted <- p
		return p
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, accepted
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
	if _, err := dial(false); !errors.Is(err, ErrBudget) {
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
