package main

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"aspenshed"

	"aspenshed/internal/config"
	"aspenshed/internal/discovery"
)

// fakeDiscovery is a discovery service that accepts watches and sends lists to the first.
type fakeDiscovery struct {
	t    *testing.T
	conn chan net.Conn
	c    net.Conn
}

func (w *fakeDiscovery) send(l discovery.List) {
	w.t.Helper()
	if w.c == nil {
		select {
		case w.c = <-w.conn:
		case <-time.After(testTimeout):
			w.t.Fatal("no watch was opened")
		}
	}
	b, _ := json.Marshal(l)
	if _, err := fmt.Fprintf(w.c, "%x\r\n%s\n\r\n", len(b)+1, b); err != nil {
		w.t.Fatal(err)
	}
}

func startDiscovery(t *testing.T) (*fakeDiscovery, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeDiscovery{t: t, conn: make(chan net.Conn, 9)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			w.conn <- c
		}
	}()
	return w, l.Addr().String()
}

// servers returns n members in groups of eight, at addresses that refuse connections; every tenth has the lifecycle
// other.
func servers(n, from int, other string) (out []discovery.Instance) {
	for i := range n {
		x := discovery.Instance{ID: fmt.Sprintf("s-%08x", from+i), HostPort: fmt.Sprintf("127.0.0.2:%d", 1+i%1000), Zone: "a",
			Cell: i / 8, Lifecycle: "in_service", StartedAtMs: 0}
		if i%10 == 0 {
			x.Lifecycle = other
		}
		if i%8 == 0 {
			x.Recovery = "off"
		}
		out = append(out, x)
	}
	return out
}

// Guards a fleet of 1,024 gateways and as many servers: start, complete list, changes and probe rounds for every group.
// The heap of an idle gateway may grow by at most 12 MB.
func TestThousandServersAndGateways(t *testing.T) {
	const size, most = 1024, 12 << 20
	heap := func() (m runtime.MemStats) {
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m
	}
	before := heap()
	w, addr := startDiscovery(t)
	known, _ := json.Marshal(discovery.List{Generation: 1, Reset: true, Instances: servers(size, 0, "in_service")})
	g, c, _ := startGateway(t, &config.Deploy{}, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, addr), `"settings":{`,
		`"known":`+string(known)+`,"limits":{"sockets":576,"memory_mb":32},"settings":{"balancers":1024,"failureDomains":["a","b"],"limits":{"probes":true},`,
		`"readLevel":["any"]`, `"readLevel":["write"]`)
	count := func() (up, groups int) {
		done := make(chan bool)
		g.loop.Post(func() {
			seen := map[int]bool{}
			for _, m := range g.pipeline.Routing.LastMembers() {
				if m.State == aspenshed.Up {
					up++
				}
				seen[m.Group] = true
			}
			groups = len(seen)
			close(done)
		})
		<-done
		return up, groups
	}
	until := func(what string, want int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; c.at.Add(1e6) {
			up, groups := count()
			if up == want && groups >= size/8 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %d up in %d groups, want %d", what, up, groups, want)
			}
		}
	}
	_, _ = connect(t, g)
	until("known", size)
	w.send(discovery.List{Generation: 2, Reset: true, Instances: servers(size, 0, "in_service")})
	until("the complete list", size)
	w.send(discovery.List{Generation: 3, Instances: servers(size, 0, "terminating")})
	until("drains", size-(size+9)/10)
	w.send(discovery.List{Generation: 4, Instances: append(servers(size, 0, "terminated"), servers(size, size, "in_service")...)})
	until("twice as many, without the removed ones", 2*size-(size+9)/10)
	for i := range size / 8 { // a request for every group, which starts a probe round in each
		conn, _ := connect(t, g)
		defer conn.Close()
		_, _ = conn.Write(query(fmt.Sprintf("SELECT 1 /* id=%d,c=x,d=2,cluster=%d */", i, i)))
	}
	for range 500 {
		c.at.Add(20e6)
		count()
	}
	after := heap()
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > most {
		t.Errorf("%d KB of heap for %d servers", grown>>10, 2*size)
	} else {
		t.Logf("%d KB of heap, %d goroutines", grown>>10, runtime.NumGoroutine())
	}
}

func query(sql string) []byte {
	b := append([]byte{'Q', 0, 0, 0, byte(len(sql) + 5)}, sql...)
	return append(b, 0)
}

// Guards a drain that the initial list of a gateway lacks, where the gateway is the last of 300 to call discovery: it used
// to call too late, and its first call may never get a response (the histories zone+mass 6 and join+mass 3). It must
// receive the drain before the drain binds.
func TestGatewayWithAnOutdatedListReceivesADrainInTime(t *testing.T) {
	w, addr := startDiscovery(t)
	g, c, _ := startGateway(t, &config.Deploy{}, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, addr), `"settings":{`,
		`"known":{"generation":1,"reset":true,"instances":[{"instanceId":"stays","hostPort":"127.0.0.2:1","lifecycle":"in_service"},`+
			`{"instanceId":"drains","hostPort":"127.0.0.2:2","lifecycle":"in_service"}]},`+
			`"settings":{"balancers":300,"rank":299,"discovery":"on_request","rules":{"askWithinNs":10000000000,"drainGraceNs":2000000000},`)
	start := aspenshed.Nanos(c.at.Load())
	called := func(by aspenshed.Nanos) net.Conn {
		t.Helper()
		c.at.Store(int64(start + by))
		g.loop.Post(func() {})
		select {
		case conn := <-w.conn:
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := conn.Read(make([]byte, 1000)); err != nil { // the request: the gateway knows that it has connected
				t.Fatal(err)
			}
			return conn
		case <-time.After(testTimeout):
			t.Fatalf("no call to discovery within %d ms of the start", by/1e6)
			return nil
		}
	}
	state := func() (s aspenshed.MemberState) {
		done := make(chan bool)
		g.loop.Post(func() {
			for _, m := range g.pipeline.Routing.LastMembers() {
				if m.ID == "drains" {
					s = m.State
				}
			}
			close(done)
		})
		<-done
		return s
	}
	_, _ = connect(t, g)
	state()                  // the first Step has finished: time counts from here
	silent := called(1500e6) // three quarters of the grace
	defer silent.Close()
	c.at.Store(int64(start + 4500e6)) // the call counts as silent at most 3 s after it was made
	state()
	w.c = called(7500e6) // 6 s after that call
	w.send(discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "drains", HostPort: "127.0.0.2:2", Lifecycle: "terminating"}}})
	for end := time.Now().Add(testTimeout); state() != aspenshed.Draining; {
		if time.Now().After(end) {
			t.Fatal("the drain was never received")
		}
	}
	if received := aspenshed.Nanos(c.at.Load()) - start; received > 8e9 {
		t.Errorf("received %d ms after the start", received/1e6)
	}
}
