package postgres

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"aspenshed"
	"aspenshed/internal/dataplane/eventloop"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/pgwire"
)

const testTimeout = 10 * time.Second

// startFront starts a front end without a pipeline behind it.
func startFront(t *testing.T) (address string) {
	return startFrontWith(t, &Front{}, func(*netio.Conn) {})
}

// startFrontWith starts a front end and passes on each connection that it accepts.
func startFrontWith(t *testing.T, f *Front, accepted func(*netio.Conn)) (address string) {
	loop := eventloop.NewLoop(eventloop.NewClock())
	f.Loop, f.CountRejected = loop, func(string, string) {}
	f.Limits = session.Limits{CommandTimeout: 60e9, IdleTimeout: 60e9}
	n, err := netio.New(netio.Config{Name: t.Name(), Listen: "127.0.0.1:0", MaxClients: 3, Budget: f.Budget, MaxQueued: f.Budget.Limit(membudget.Unsent),
		Accept: func(c *netio.Conn) netio.Handler {
			accepted(c)
			return f.Accept(c)
		}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() {
		loop.Run()
		close(ended)
	}()
	t.Cleanup(func() {
		n.Stop()
		loop.Post(loop.Quit)
		<-ended
	})
	return n.Addr()
}

// Guards against clients that ask for encryption without end, each answer a write of its own: like a database's own server, the
// front end declines each kind once and then ends the connection.
func TestEncryptionIsDeclinedOnce(t *testing.T) {
	sslRequest, gssRequest := []byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"), []byte("\x00\x00\x00\x08\x04\xd2\x16\x30")
	c, err := net.Dial("tcp", startFront(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write(append(append(sslRequest, gssRequest...), bytes.Repeat(sslRequest, 1000)...)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || len(got) < 3 || string(got[:3]) != "NNE" || bytes.Count(got, []byte("08P01")) != 1 {
		t.Errorf("%q, %v; want each kind declined once, and one error", got, err)
	}
}

// Guards against a connection that is closed while its client has not read all responses: they wait, and the queries behind
// them too, until the client reads on. It gets each of them whole and in order.
func TestClientThatReadsLateGetsAllResponses(t *testing.T) {
	const commands, valueSize = 100, 2 * 64 << 10 // more than the kernel buffers, and than the memory for responses
	f := &Front{Manager: session.Manager{Budget: membudget.New(16 << 20), Settings: &aspenshed.Settings{Classes: []aspenshed.Class{{Name: "read"}}}}}
	f.Submit = func(q request.Query, _ aspenshed.Nanos) *request.Request {
		f.Loop.Post(func() {
			value := append([]byte(q.ExternalID+" "), make([]byte, valueSize)...)
			q.Client.Respond(request.Response{Status: request.Served, Value: pgwire.AppendMessage(nil, 'D', string(value))})
		})
		return nil
	}
	accepted := make(chan *netio.Conn, 1)
	client, err := net.Dial("tcp", startFrontWith(t, f, func(c *netio.Conn) { accepted <- c }))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	sent := pgwire.StartupMessage("web", "orders")
	for i := range commands {
		sent = append(sent, pgwire.QueryMessage(fmt.Sprintf("SELECT 1 /* id=%d,c=read,d=1000,cluster=1 */", i))...)
	}
	if _, err := client.Write(sent); err != nil {
		t.Fatal(err)
	}
	conn := <-accepted
	for end := time.Now().Add(testTimeout); conn.Unsent() == 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("the kernel has taken all responses")
		}
	}
	for next := 0; next < commands; {
		kind, body, err := readMessage(client)
		if err != nil {
			t.Fatalf("after %d responses: %v", next, err)
		}
		if kind == 'E' {
			t.Fatalf("response %d: %q", next, body)
		}
		if kind != 'D' {
			continue
		}
		if want := fmt.Sprint(next, " "); !bytes.HasPrefix(body, []byte(want)) || len(body) != len(want)+valueSize {
			t.Fatalf("response %d begins with %q and has %d bytes", next, body[:min(len(body), 8)], len(body))
		}
		next++
	}
	held := make(chan int64)
	f.Loop.Post(func() { held <- f.Budget.Used(membudget.Responses) })
	if used := <-held; used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// readMessage reads one message of a server.
func readMessage(r io.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}
