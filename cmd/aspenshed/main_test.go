package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenshed"

	"aspenshed/internal/config"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/protocol/pgwire"
)

const patient = 10 * time.Second

type clock struct{ at atomic.Int64 }

func (c *clock) Now() aspenshed.Nanos { return aspenshed.Nanos(c.at.Load()) }

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"familyInfo":{"readLevel":["any"],"lagAllowedNs":[0]},
	"classes":[{"name":"x","effect":"free","aimNs":1000000,"giveUpNs":2000000,"worth":1}]}}`

// readNode reads a file as in an environment that names the discovery of the start, if the file still does.
func readNode(t *testing.T, text string) (*config.Node, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"NODE_CONFIG": path}
	if strings.Contains(text, `"127.0.0.1:1"`) {
		env["NODE_DISCOVERY"] = "127.0.0.1:1"
	}
	return config.ReadNode(func(k string) string { return env[k] })
}

func startGateway(t *testing.T, deploy *config.Deploy, change ...string) (*gateway, *clock, chan bool) {
	node, err := readNode(t, strings.NewReplacer(change...).Replace(nodeConfig))
	if err != nil {
		t.Fatal(err)
	}
	c := &clock{}
	c.at.Store(1e18)
	g, err := newGateway(node, deploy, c)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() {
		g.loop.Run()
		g.stop()
		close(ended)
	}()
	t.Cleanup(g.net.Stop)
	return g, c, ended
}

// ready asks what the platform's front asks: an empty query.
func ready(t *testing.T, g *gateway) (net.Conn, string) {
	t.Helper()
	c, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patient))
	_, _ = c.Write(append(pgwire.StartupMessage("web", "orders"), pgwire.QueryMessage("")...))
	in, got, b := pgwire.Reader{MaxSize: 1000}, "", make([]byte, 1000)
	for strings.Count(got, "Z") < 2 {
		n, err := c.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		_ = in.Feed(b[:n], func(m pgwire.Message) error { got += string(rune(m.Type)); return nil })
	}
	return c, got
}

// Guards the end: after SIGTERM new connections are served for 0.45 s more, then
// those between requests are closed and the program ends.
func TestDrain(t *testing.T) {
	g, clock, ended := startGateway(t, &config.Deploy{})
	old, got := ready(t, g)
	if !strings.HasSuffix(got, "ZIZ") {
		t.Errorf("an empty query is answered %q", got)
	}
	g.loop.Post(g.drain)
	g.loop.Post(g.drain) // a second signal changes nothing
	turn := func() {
		done := make(chan bool)
		g.loop.Post(func() { close(done) })
		select {
		case <-done:
		case <-ended:
		}
	}
	turn()
	clock.at.Add(int64(acceptAfterTerm) - 1)
	late, _ := ready(t, g)
	select {
	case <-ended:
		t.Fatal("ended while it should still accept")
	default:
	}
	clock.at.Add(1)
	for end, left := time.Now().Add(patient), -1; left != 0; turn() { // until what is sent comes behind the shutdown: before, it is answered
		if g.loop.Post(func() { left = g.front.SessionCount() }); time.Now().After(end) {
			t.Fatalf("%d sessions were never shut", left)
		}
		turn()
		if left != 0 {
			clock.at.Add(int64(drainInterval))
		}
	}
	for _, c := range []net.Conn{old, late} {
		if _, err := c.Write(pgwire.QueryMessage("")); err != nil { // it crosses the close, which must not become a reset by that
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection ended with %v, not in order", err)
		}
		select {
		case <-ended:
			t.Error("ended before its connections had")
		default:
		}
		_ = c.Close()
	}
	for end := time.Now().Add(patient); ; {
		clock.at.Add(int64(drainInterval))
		turn()
		select {
		case <-ended:
			return
		default:
		}
		if time.Now().After(end) {
			t.Fatal("never ended")
		}
	}
}

// waiter takes a final answer.
type waiter chan request.Response

func (w waiter) Respond(f request.Response) { w <- f }

// Guards clients that have no other gateway yet, and requests against SIGKILL: open connections are served until
// 1.7 s before it, and nothing is left without an answer 0.3 s before it.
func TestDrainServesOpenConnectionsUntilItsEndIsNear(t *testing.T) {
	g, clock, ended := startGateway(t, &config.Deploy{}, `"giveUpNs":2000000`, `"giveUpNs":9000000000`)
	c, _ := ready(t, g)
	pass := func(d aspenshed.Nanos) {
		for ; d > 0; d -= 50e6 {
			clock.at.Add(50e6)
			done := make(chan bool)
			g.loop.Post(func() { close(done) })
			<-done
		}
	}
	held := make(waiter, 1)
	g.loop.Post(func() {
		g.drain()
		g.pipeline.Response.Track(&request.Request{ID: "held", Query: request.Query{Client: held}, Deadline: g.loop.Now() + 9e9})
	})
	pass(1900e6)
	if _, err := c.Write(pgwire.QueryMessage("")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 100)); err != nil {
		t.Fatalf("not served 1.9 s after SIGTERM: %d bytes, %v", n, err)
	}
	pass(300e6)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("2.2 s after SIGTERM a connection ends with %v, not in order", err)
	}
	_ = c.Close()
	select {
	case f := <-held:
		t.Errorf("answered early: %+v", f)
	default:
	}
	clock.at.Add(1300e6)
	for waiting := true; waiting; clock.at.Add(1e6) {
		g.loop.Post(func() {})
		select {
		case <-ended:
			waiting = false
		default:
		}
	}
	if len(held) != 1 {
		t.Error("a request was left without an answer")
	}
}

// Guards the running configuration: SIGHUP moves discovery, whatever the start's environment says; a bad file changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	g, _, _ := startGateway(t, &config.Deploy{})
	ready(t, g) // its sockets are served: nbio forgets a Stop that comes before
	for _, c := range []struct{ from, to, want string }{
		{"", "", "127.0.0.1:1"},
		{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:2"},
		{"127.0.0.1:1", "nowhere", "127.0.0.1:2"},
		{"{", "", "127.0.0.1:2"},
		{"", "", "127.0.0.1:1"},
	} {
		next, err := readNode(t, strings.Replace(nodeConfig, c.from, c.to, 1))
		got := make(chan string)
		g.loop.Post(func() {
			g.reload(next, err)
			got <- g.watcher.Address
		})
		if address := <-got; address != c.want {
			t.Errorf("%q for %q: discovery at %s, want %s", c.to, c.from, address, c.want)
		}
	}
}

func command(args ...string) error {
	c := newRoot()
	c.SetArgs(args)
	c.SetOut(io.Discard)
	c.SetErr(io.Discard)
	return c.Execute()
}

const members = "id,address,site,group,kind,state\na,127.0.0.1:1,hobart,1,std,in_service\n"

// The MySQL front is on where the deploy file says so; SIGHUP reads its inventory again, and a bad one changes nothing.
func TestReloadKeepsTheRunningInventory(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text, err := os.ReadFile("../../deploy/aspenshed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	put("accounts.yaml", "web: pass\n")
	inventory := put("inventory.csv", members)
	deployPath := put("aspenshed.yaml", strings.Replace(string(text), `listen: ""`, "listen: 127.0.0.1:0", 1))
	deploy, err := config.ReadDeploy(deployPath)
	if err != nil {
		t.Fatal(err)
	}
	g, clock, ended := startGateway(t, deploy)
	t.Cleanup(g.mysql.Net.Stop)
	after := func(text string) (n int) {
		put("inventory.csv", text)
		done := make(chan bool)
		g.loop.Post(func() {
			g.reload(g.node, nil)
			n = len(g.mysql.Pipeline.Routing.LastMembers())
			close(done)
		})
		<-done
		return n
	}
	if n := after(members + "b,127.0.0.1:2,launceston,1,std,in_service\n"); n != 2 {
		t.Errorf("%d members after a good file", n)
	}
	if n := after(members + "b,nowhere,launceston,1,std,in_service\n"); n != 2 {
		t.Errorf("%d members after a bad one", n)
	}
	out := filepath.Join(dir, "out.yaml")
	put("inventory.csv", members)
	for _, c := range []struct {
		args []string
		ok   bool
	}{{[]string{"inventory", "check", inventory}, true}, {[]string{"inventory", "export", out}, true},
		{[]string{"inventory", "import", out}, true}, {[]string{"inventory", "check", deployPath}, false},
		{[]string{"inventory", "drop", out}, false}, {[]string{"inventory", "check"}, false}, {[]string{"check"}, true}} {
		if err := command(append(c.args, "--deploy", deployPath)...); (err == nil) != c.ok {
			t.Errorf("inventory %v: %v", c.args, err)
		}
	}
	if back, _ := os.ReadFile(inventory); string(back) != members {
		t.Errorf("exported and imported: %s", back)
	}
	g.loop.Post(g.drain)
	for waiting := true; waiting; {
		clock.at.Add(int64(acceptAfterTerm))
		g.loop.Post(func() {})
		select {
		case <-ended:
			waiting = false
		default:
		}
	}
}

// Guards the start, of one gateway or of all at once: it is ready whatever discovery does, by the clock of its start.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, does := range map[string]func(*net.TCPConn){
		"takes the call and says nothing": func(*net.TCPConn) {},
		"resets":                          func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"turns down":                      func(c *net.TCPConn) { _, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\n\r\n")); _ = c.Close() },
		"breaks off": func(c *net.TCPConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"generation\":9,\"reset\":true,"))
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					does(c.(*net.TCPConn))
				}
			}()
			g, _, ended := startGateway(t, &config.Deploy{}, "127.0.0.1:1", l.Addr().String())
			c, _ := ready(t, g)
			_ = c.Close()
			g.loop.Post(g.loop.Quit)
			<-ended
		})
	}
}
