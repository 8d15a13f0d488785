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

// watched is a stand-in for discovery: it takes one watch and says what it is told to.
type watched struct {
	t    *testing.T
	conn chan net.Conn
	c    net.Conn
}

func (w *watched) tell(l discovery.List) {
	w.t.Helper()
	if w.c == nil {
		select {
		case w.c = <-w.conn:
		case <-time.After(patient):
			w.t.Fatal("nobody asked")
		}
	}
	b, _ := json.Marshal(l)
	if _, err := fmt.Fprintf(w.c, "%x\r\n%s\n\r\n", len(b)+1, b); err != nil {
		w.t.Fatal(err)
	}
}

func startWatched(t *testing.T) (*watched, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &watched{t: t, conn: make(chan net.Conn, 9)}
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

// servers is a list of n in groups of eight, at addresses that refuse; every tenth is of lifecycle other.
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

// Guards a fleet of 1,024 gateways and as many servers: start, whole list, changes and rounds for every group, with the
// heap of an idle gateway within 12 MB of what it is with none.
func TestAThousandServersAndGateways(t *testing.T) {
	const size, most = 1024, 12 << 20
	heap := func() (m runtime.MemStats) {
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m
	}
	before := heap()
	w, addr := startWatched(t)
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
		for end := time.Now().Add(patient); ; c.at.Add(1e6) {
			up, groups := count()
			if up == want && groups >= size/8 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %d up in %d groups, want %d", what, up, groups, want)
			}
		}
	}
	_, _ = ready(t, g)
	until("known", size)
	w.tell(discovery.List{Generation: 2, Reset: true, Instances: servers(size, 0, "in_service")})
	until("the whole list", size)
	w.tell(discovery.List{Generation: 3, Instances: servers(size, 0, "terminating")})
	until("drains", size-(size+9)/10)
	w.tell(discovery.List{Generation: 4, Instances: append(servers(size, 0, "terminated"), servers(size, size, "in_service")...)})
	until("twice as many, less those gone", 2*size-(size+9)/10)
	for i := range size / 8 { // a request for every group: rounds go through all of them
		conn, _ := ready(t, g)
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

// The found histories, on a whole gateway with its own clock, one of 300 and the last to have its turn: it started with an old list
// and called too late (zone+mass 6), and its first call was never answered (join+mass 3). By the time at which the drain that the
// list lacks binds it has heard of it.
func TestAGatewayWithAnOldListHearsOfADrainInTime(t *testing.T) {
	w, addr := startWatched(t)
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
			_ = conn.SetReadDeadline(time.Now().Add(patient))
			if _, err := conn.Read(make([]byte, 1000)); err != nil { // the question: the gateway knows that it came there
				t.Fatal(err)
			}
			return conn
		case <-time.After(patient):
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
	_, _ = ready(t, g)
	state()                  // the first Step is over: from here the clock counts
	silent := called(1500e6) // three quarters of the grace
	defer silent.Close()
	c.at.Store(int64(start + 4500e6)) // it is taken for silent, 3 s after it was made at the latest
	state()
	w.c = called(7500e6) // 6 s after that call
	w.tell(discovery.List{Generation: 2, Instances: []discovery.Instance{{ID: "drains", HostPort: "127.0.0.2:2", Lifecycle: "terminating"}}})
	for end := time.Now().Add(patient); state() != aspenshed.Draining; {
		if time.Now().After(end) {
			t.Fatal("the drain was never heard")
		}
	}
	if told := aspenshed.Nanos(c.at.Load()) - start; told > 8e9 {
		t.Errorf("heard %d ms after the start", told/1e6)
	}
}
