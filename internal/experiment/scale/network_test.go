package scale

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/netio"
)

const testTimeout = 10 * time.Second

// fakeNetwork hands out connections whose far end is the test.
type fakeNetwork struct{ dialled chan *fakeConn }

func (n *fakeNetwork) Dial(_ string, h netio.Handler) (stream.Conn, error) {
	c := &fakeConn{handler: h, written: make(chan string, 100), closed: make(chan struct{})}
	n.dialled <- c
	return c, nil
}

type fakeConn struct {
	handler netio.Handler
	written chan string
	closed  chan struct{}
	once    sync.Once
}

func (c *fakeConn) Write(b []byte) error {
	c.written <- string(b)
	return nil
}

func (c *fakeConn) Close() { c.once.Do(func() { close(c.closed) }) }

// recordingHandler is what a client's handler has been told, in order.
type recordingHandler chan string

func (h recordingHandler) Up()              { h <- "up" }
func (h recordingHandler) Data(b []byte)    { h <- string(b) }
func (h recordingHandler) Closed(err error) { h <- fmt.Sprint("closed ", err) }

func (h recordingHandler) next(t *testing.T) string {
	t.Helper()
	select {
	case x := <-h:
		return x
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		return ""
	}
}

// dialFarServer is a connection from zone 0 to a server in the farthest region.
func dialFarServer(t *testing.T) (*EmulatedNetwork, recordingHandler, stream.Conn, *fakeConn) {
	t.Helper()
	below := &fakeNetwork{dialled: make(chan *fakeConn, 1)}
	links := NewEmulatedNetwork(below, map[string]int{"far": 3}, true)
	told := make(recordingHandler, 100)
	conn, err := links.ForZone(0).Dial("far", told)
	if err != nil {
		t.Fatal(err)
	}
	far := <-below.dialled
	far.handler.Up()
	if got := told.next(t); got != "up" {
		t.Fatal(got)
	}
	return links, told, conn, far
}

func TestDelayKeepsOrder(t *testing.T) {
	_, told, conn, far := dialFarServer(t)
	begin := time.Now()
	for i := range 10 {
		far.handler.Data([]byte(fmt.Sprint(i)))
		if err := conn.Write([]byte(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	far.handler.Closed(netio.ErrClosed)
	for i := range 10 {
		if got := told.next(t); got != fmt.Sprint(i) {
			t.Errorf("%q came as number %d", got, i)
		}
		if got := <-far.written; got != fmt.Sprint(i) {
			t.Errorf("%q arrived as number %d", got, i)
		}
	}
	if got := told.next(t); got != "closed connection closed" {
		t.Error(got)
	}
	if took := time.Since(begin); took < Delay(0, 3) {
		t.Errorf("it took %v", took)
	}
}

func TestCutHoldsBackUntilItIsHealed(t *testing.T) {
	links, told, conn, far := dialFarServer(t)
	links.SetPartitioned(zones[3].Region, true)
	far.handler.Data([]byte("during the cut"))
	if err := conn.Write([]byte("during the cut")); err != nil {
		t.Fatal(err)
	}
	if _, err := links.ForZone(0).Dial("far", told); !errors.Is(err, netio.ErrRefused) {
		t.Errorf("a dial during a cut: %v", err)
	}
	time.Sleep(2 * Delay(0, 3)) // nothing may come in this time
	if len(told) > 0 || len(far.written) > 0 {
		t.Error("the cut lets data through")
	}
	links.SetPartitioned(zones[3].Region, false)
	if got := told.next(t); got != "during the cut" {
		t.Error(got)
	}
	if got := <-far.written; got != "during the cut" {
		t.Error(got)
	}
}

func TestClosedConnectionHearsNothing(t *testing.T) {
	_, told, conn, far := dialFarServer(t)
	far.handler.Data([]byte("late"))
	conn.Close()
	select {
	case <-far.closed:
	case <-time.After(testTimeout):
		t.Fatal("the server never sees the end")
	}
	if err := conn.Write(nil); !errors.Is(err, netio.ErrClosed) {
		t.Error(err)
	}
	if len(told) > 0 {
		t.Error(<-told)
	}
}

func TestTooMuchHeldBackEndsTheConnection(t *testing.T) {
	links, told, conn, far := dialFarServer(t)
	links.SetPartitioned(zones[3].Region, true)
	if err := conn.Write(make([]byte, maxQueuedBytes+1)); !errors.Is(err, ErrQueueFull) {
		t.Error(err)
	}
	far.handler.Data(make([]byte, maxQueuedBytes+1))
	<-far.closed
	links.SetPartitioned(zones[3].Region, false)
	if got := told.next(t); got != "closed "+ErrQueueFull.Error() {
		t.Error(got)
	}
}
