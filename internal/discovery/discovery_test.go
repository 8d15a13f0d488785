package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
	"aspenshed/internal/netio"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestLinesFromFragmentsOfAnySize(t *testing.T) {
	text := head + chunk("{\"a\":1}\n{\"b\"") + chunk(":2}\n\n") + "0\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		var r response
		var got []string
		var err error
		for at := 0; at < len(text) && err == nil; at += size {
			err = r.feed([]byte(text[at:min(at+size, len(text))]), func(l []byte) error {
				got = append(got, string(l))
				return nil
			})
		}
		if s := strings.Join(got, "|"); s != `{"a":1}|{"b":2}|` || !errors.Is(err, errEnded) {
			t.Fatalf("in pieces of %d: %q, %v", size, s, err)
		}
	}
}

func TestBadAnswersEndTheWatch(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 503 busy\r\n\r\n", "SSH-2.0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		head + "zz\r\n", head + "2\r\nabc\r\n", head + strings.Repeat("1", 2000)} {
		var r response
		if err := r.feed([]byte(text), func([]byte) error { return nil }); err == nil {
			t.Errorf("%q passed", text)
		}
	}
}

func TestConvert(t *testing.T) {
	x := Instance{ID: "s-1", HostPort: "h:1", Zone: "b", Cell: 3, Lifecycle: "terminating", StartedAtMs: 5, Recovery: "off"}
	u, err := Convert(List{Reset: true, Instances: []Instance{x}}, []string{"a", "b"})
	want := nc.Member{ID: "s-1", Group: 3, Zone: 1, Size: 1, StartedAt: 5e6, State: nc.Draining, Primary: true}
	if err != nil || !u.List.Whole || u.List.Members[0] != want || u.Addresses["s-1"] != "h:1" {
		t.Errorf("%v: %+v", err, u)
	}
	x.Lifecycle = "asleep"
	if _, err := Convert(List{Instances: []Instance{x}}, nil); err == nil || !strings.Contains(err.Error(), "instances[0].lifecycle") {
		t.Errorf("unknown lifecycle: %v", err)
	}
}

type clock struct{ now nc.Nanos }

func (c *clock) Now() nc.Nanos { return c.now }

// server is a connection of a stand-in discovery service.
type server struct {
	conn *netio.Conn
	line string
	asks chan *server
}

func (s *server) Up() {}
func (s *server) Data(b []byte) {
	s.line = strings.SplitN(string(b), "\r\n", 2)[0]
	s.asks <- s
}
func (s *server) Closed(error) {}

// A watch resumes by its index; silence for longer than the empty lines allow ends it.
func TestWatchResumesByIndexAndSilenceBreaksIt(t *testing.T) {
	asks := make(chan *server, 10)
	n, err := netio.New(netio.Config{Listen: "127.0.0.1:0", Clients: 9, Dials: 9, Accept: func(c *netio.Conn) netio.Handler {
		return &server{conn: c, asks: asks}
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	c := &clock{1e9}
	loop := core.NewLoop(c)
	var versions []string
	broke := 0
	w := &Watcher{Loop: loop, Log: logrus.NewEntry(log), Net: n, Address: n.Addr(), Index: 41, Broke: func() { broke++ },
		Changed: func(u Update) { versions = append(versions, fmt.Sprint(u.List.Whole, len(u.List.Members))) }}
	until := func(what string, ok func() bool) {
		for end := time.Now().Add(10 * time.Second); !ok(); loop.Turn() {
			if time.Now().After(end) {
				t.Fatalf("never came: %s", what)
			}
		}
	}
	ask := func() (got *server) {
		w.Watch()
		until("the question", func() bool {
			select {
			case got = <-asks:
			default:
			}
			return got != nil
		})
		return got
	}
	s := ask()
	if s.line != "GET /v1/servers?stream=1&index=41 HTTP/1.1" {
		t.Errorf("asked %q", s.line)
	}
	_ = s.conn.Write([]byte(head + chunk("\n") + chunk(`{"generation":43,"reset":false,"instances":[`+
		`{"instanceId":"s-1","hostPort":"h:1","lifecycle":"in_service"}]}`+"\n")))
	until("two updates", func() bool { return len(versions) == 2 })
	if versions[0] != "false 0" || versions[1] != "false 1" {
		t.Errorf("updates %v", versions)
	}
	c.now += silence - 1
	if loop.Turn(); broke != 0 {
		t.Error("broke too early")
	}
	c.now++
	if loop.Turn(); broke != 1 {
		t.Errorf("silence broke the watch %d times", broke)
	}
	if s = ask(); s.line != "GET /v1/servers?stream=1&index=43 HTTP/1.1" {
		t.Errorf("asked %q", s.line)
	}
	s.conn.Close()
	until("the break", func() bool { return broke == 2 })
}
