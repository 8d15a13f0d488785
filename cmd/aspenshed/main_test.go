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
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/drain"
	"aspenshed/internal/protocol/pgwire"
)

const testTimeout = 10 * time.Second

type fakeClock struct{ at atomic.Int64 }

func (c *fakeClock) Now() aspenshed.Nanos { return aspenshed.Nanos(c.at.Load()) }

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"familyInfo":{"readLevel":["any"],"lagAllowedNs":[0]},
	"classes":[{"name":"x","effect":"free","aimNs":1000000,"giveUpNs":2000000,"worth":1}]}}`

// readNode reads a file. NODE_DISCOVERY is set to the initial discovery address if the file still names it.
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

func startGateway(t *testing.T, deploy *config.Deploy, change ...string) (*gateway, *fakeClock, chan bool) {
	node, err := readNode(t, strings.NewReplacer(change...).Replace(nodeConfig))
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeClock{}
	c.at.Store(1e18)
	g, err := newGateway(node, deploy, machine{clock: c})
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

// connect opens a client connection and sends an empty query, as the platform does. It returns the types of the
// messages received.
func connect(t *testing.T, g *gateway) (net.Conn, string) {
	t.Helper()
	c, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = c.Write(append(pgwire.StartupMessage("web", "orders"), pgwire.QueryMessage("")...))
	return c, readReadyMessages(t, c, 2)
}

// Guards the shutdown: after SIGTERM new connections are served for 0.45 s, then connections between requests are
// closed and the program ends.
func TestDrain(t *testing.T) {
	g, clock, ended := startGateway(t, &config.Deploy{})
	old, got := connect(t, g)
	if !strings.HasSuffix(got, "ZIZ") {
		t.Errorf("an empty query gets %q", got)
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
	late, _ := connect(t, g)
	select {
	case <-ended:
		t.Fatal("ended while it should still accept")
	default:
	}
	clock.at.Add(1)
	for end, left := time.Now().Add(testTimeout), -1; left != 0; turn() { // until data sent arrives after the shutdown; before, it gets a response
		if g.loop.Post(func() { left = g.front.SessionCount() }); time.Now().After(end) {
			t.Fatalf("%d sessions were never closed", left)
		}
		turn()
		if left != 0 {
			clock.at.Add(int64(drain.Interval))
		}
	}
	for _, c := range []net.Conn{old, late} {
		if _, err := c.Write(pgwire.QueryMessage("")); err != nil { // it crosses the close, which must not turn into a reset
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a connection ended with %v, not gracefully", err)
		}
		select {
		case <-ended:
			t.Error("ended before its connections")
		default:
		}
		_ = c.Close()
	}
	for end := time.Now().Add(testTimeout); ; {
		clock.at.Add(int64(drain.Interval))
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

// waiter receives a response.
type waiter chan request.Response

func (w waiter) Respond(f request.Response) { w <- f }
func (w waiter) Left() bool                 { return false }
func (w waiter) Peer() string               { return "" }

// Guards clients that have no other gateway yet, and requests that are pending at SIGKILL: open connections are served
// until 1.7 s before SIGKILL, and all requests have responses 0.3 s before it.
func TestDrainServesOpenConnectionsUntilNearSIGKILL(t *testing.T) {
	g, clock, ended := startGateway(t, &config.Deploy{}, `"giveUpNs":2000000`, `"giveUpNs":9000000000`)
	c, _ := connect(t, g)
	advance := func(d aspenshed.Nanos) {
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
	advance(1900e6)
	if _, err := c.Write(pgwire.QueryMessage("")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 100)); err != nil {
		t.Fatalf("not served 1.9 s after SIGTERM: %d bytes, %v", n, err)
	}
	advance(300e6)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("2.2 s after SIGTERM a connection ended with %v, not gracefully", err)
	}
	_ = c.Close()
	select {
	case f := <-held:
		t.Errorf("response too early: %+v", f)
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
		t.Error("a request got no response")
	}
}

// Guards the running configuration: SIGHUP changes the discovery address, whatever the environment says; an invalid file
// changes nothing.
func TestReloadChangesTheDiscoveryAddress(t *testing.T) {
	g, _, _ := startGateway(t, &config.Deploy{})
	connect(t, g) // its poller runs: nbio loses a Stop that precedes that
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

// writeMySQLDeploy writes a deploy file that enables the MySQL front end, and an inventory.
func writeMySQLDeploy(t *testing.T, dir string) (path string, deploy *config.Deploy) {
	t.Helper()
	text, err := os.ReadFile("../../deploy/aspenshed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "aspenshed.yaml")
	for name, content := range map[string]string{"accounts.yaml": "web: pass\n", "inventory.csv": members,
		"aspenshed.yaml": strings.Replace(string(text), `listen: ""`, "listen: 127.0.0.1:0", 1)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if deploy, err = config.ReadDeploy(path); err != nil {
		t.Fatal(err)
	}
	return path, deploy
}

// Guards against requests without a response at the end of the program: those of every front end get one, before SIGKILL.
func TestDrainRespondsAtEveryFront(t *testing.T) {
	_, deploy := writeMySQLDeploy(t, t.TempDir())
	g, clock, ended := startGateway(t, deploy, `"giveUpNs":2000000`, `"giveUpNs":9000000000`)
	t.Cleanup(g.mysql.Net.Stop)
	pipelines := map[string]*pipeline.Pipeline{"the platform's": g.pipeline, "MySQL's": g.mysql.Pipeline}
	responses := map[string]waiter{}
	started := make(chan bool)
	g.loop.Post(func() {
		for name, p := range pipelines {
			responses[name] = make(waiter, 1)
			p.Response.Track(&request.Request{ID: "hung", Query: request.Query{Client: responses[name]}, Deadline: g.loop.Now() + 9e9})
		}
		g.drain()
		close(started)
	})
	<-started
	const kill = aspenshed.Nanos(3700e6)
	for elapsed := aspenshed.Nanos(0); elapsed < kill; elapsed += drain.Interval {
		clock.at.Add(int64(drain.Interval))
		done := make(chan bool)
		g.loop.Post(func() { close(done) })
		select {
		case <-done:
		case <-ended:
		}
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the program has not ended")
	}
	for name, r := range responses {
		if len(r) != 1 {
			t.Errorf("the request at %s front got no response", name)
		}
	}
}

// The deploy file enables the MySQL front end; SIGHUP reloads its inventory, and an invalid one changes nothing.
func TestReloadKeepsTheRunningInventory(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	inventory := put("inventory.csv", members)
	deployPath, deploy := writeMySQLDeploy(t, dir)
	g, clock, ended := startGateway(t, deploy)
	t.Cleanup(g.mysql.Net.Stop)
	reload := func(text string) (n int) {
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
	if n := reload(members + "b,127.0.0.1:2,launceston,1,std,in_service\n"); n != 2 {
		t.Errorf("%d members after a valid file", n)
	}
	if n := reload(members + "b,nowhere,launceston,1,std,in_service\n"); n != 2 {
		t.Errorf("%d members after an invalid file", n)
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

// Guards the start, of one gateway or of all at once: it is ready whatever discovery does, before its clock advances.
func TestReadyRegardlessOfDiscovery(t *testing.T) {
	for name, respond := range map[string]func(*net.TCPConn){
		"accepts the call and stays silent": func(*net.TCPConn) {},
		"resets":                            func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"rejects the call":                  func(c *net.TCPConn) { _, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\n\r\n")); _ = c.Close() },
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
					respond(c.(*net.TCPConn))
				}
			}()
			g, _, ended := startGateway(t, &config.Deploy{}, "127.0.0.1:1", l.Addr().String())
			c, _ := connect(t, g)
			_ = c.Close()
			g.loop.Post(g.loop.Quit)
			<-ended
		})
	}
}
