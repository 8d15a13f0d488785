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

// fakeNetwork creates connections whose far end is the test.
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

// recordingHandler records the events of a client's connection in order.
type recordingHandler chan string

func (h recordingHandler) Connected()       { h <- "up" }
func (h recordingHandler) Data(b []byte)    { h <- string(b) }
func (h recordingHandler) Closed(err error) { h <- fmt.Sprint("closed ", err) }

func (h recordingHandler) next(t *testing.T) string {
	t.Helper()
	select {
	case x := <-h:
		return x
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an event")
		return ""
	}
}

// dialFarServer connects from zone 0 to a server in the farthest region.
func dialFarServer(t *testing.T) (*EmulatedNetwork, recordingHandler, stream.Conn, *fakeConn) {
	t.Helper()
	next := &fakeNetwork{dialled: make(chan *fakeConn, 1)}
	network := NewEmulatedNetwork(next, map[string]int{"far": 3}, true)
	events := make(recordingHandler, 100)
	conn, err := network.ForZone(0).Dial("far", events)
	if err != nil {
		t.Fatal(err)
	}
	far := <-next.dialled
	far.handler.Connected()
	if got := events.next(t); got != "up" {
		t.Fatal(got)
	}
	return network, events, conn, far
}

func TestDelayKeepsOrder(t *testing.T) {
	_, events, conn, far := dialFarServer(t)
	begin := time.Now()
	for i := range 10 {
		far.handler.Data([]byte(fmt.Sprint(i)))
		if err := conn.Write([]byte(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	far.handler.Closed(netio.ErrClosed)
	for i := range 10 {
		if got := events.next(t); got != fmt.Sprint(i) {
			t.Errorf("%q was received as number %d", got, i)
		}
		if got := <-far.written; got != fmt.Sprint(i) {
			t.Errorf("%q arrived as number %d", got, i)
		}
	}
	if got := events.next(t); got != "closed connection closed" {
		t.Error(got)
	}
	if took := time.Since(begin); took < Delay(0, 3) {
		t.Errorf("delivery took only %v", took)
	}
}

func TestPartitionQueuesDataUntilHealed(t *testing.T) {
	network, events, conn, far := dialFarServer(t)
	network.SetPartitioned(zones[3].Region, true)
	far.handler.Data([]byte("during the partition"))
	if err := conn.Write([]byte("during the partition")); err != nil {
		t.Fatal(err)
	}
	if _, err := network.ForZone(0).Dial("far", events); !errors.Is(err, netio.ErrRefused) {
		t.Errorf("dial during a partition: %v", err)
	}
	time.Sleep(2 * Delay(0, 3)) // nothing may be delivered meanwhile
	if len(events) > 0 || len(far.written) > 0 {
		t.Error("data was delivered during the partition")
	}
	network.SetPartitioned(zones[3].Region, false)
	if got := events.next(t); got != "during the partition" {
		t.Error(got)
	}
	if got := <-far.written; got != "during the partition" {
		t.Error(got)
	}
}

func TestClosedConnectionReceivesNothing(t *testing.T) {
	_, events, conn, far := dialFarServer(t)
	far.handler.Data([]byte("late"))
	conn.Close()
	select {
	case <-far.closed:
	case <-time.After(testTimeout):
		t.Fatal("the server's connection was not closed")
	}
	if err := conn.Write(nil); !errors.Is(err, netio.ErrClosed) {
		t.Error(err)
	}
	if len(events) > 0 {
		t.Error(<-events)
	}
}

func TestFullQueueClosesTheConnection(t *testing.T) {
	network, events, conn, far := dialFarServer(t)
	network.SetPartitioned(zones[3].Region, true)
	if err := conn.Write(make([]byte, maxQueuedBytes+1)); !errors.Is(err, ErrQueueFull) {
		t.Error(err)
	}
	far.handler.Data(make([]byte, maxQueuedBytes+1))
	<-far.closed
	network.SetPartitioned(zones[3].Region, false)
	if got := events.next(t); got != "closed "+ErrQueueFull.Error() {
		t.Error(got)
	}
}
