// Package scenario plays scripts over an pipeline on loopback sockets, with
// stand-in clients and members. Its language has four verbs:
//
//	x send booking d=2000    client x sends a request of that class
//	x send half              half a command; nothing: it only connects; rest: the other half
//	a expect booking         member a has received one (any: whichever member)
//	a send served            it answers: served, miss, full, error or wrong (the statement is at fault);
//	                         spoilt (what can't be read); late (served, and more comes behind it once the link is
//	                         taken up again); stale (served, and the link is cut then). Or it turns primary or replica
//	a send hold              what it says from now on stays under way, a new link's welcome too; go: all of it arrives
//	a close                  it closes the connection that its last statement came on
//	x expect served          client x has its answer: served, refused or failed
//	x close                  client x goes away
//	wait 300ms               time passes
//
// Time stands still but in wait. Members answer probes by themselves.
package scenario

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
)

const (
	ms      = aspenshed.Nanos(1e6)
	tick    = 5 * ms
	patient = 10 * time.Second // for what must come
)

// Clock stands still until it is moved.
type Clock struct{ at atomic.Int64 }

// Now is the time.
func (c *Clock) Now() aspenshed.Nanos { return aspenshed.Nanos(c.at.Load()) }

// Got is a statement that a member has received.
type Got struct {
	Class string
	Long  string // what was sent ahead of it
	Reply func(kind string)
	Close func()
}

// Member is a stand-in database.
type Member struct {
	Name    string
	Clock   *Clock
	Primary atomic.Bool
	Got     chan Got
	last    Got

	Prepares        atomic.Int64 // statements that it was told to prepare
	HoldNextPrepare atomic.Bool  // it holds from its next answer to that on

	mu    sync.Mutex
	holds bool
	held  []func() // what it has said meanwhile
}

// Write sends b to the gateway, now or once the member lets go.
func (m *Member) Write(c *netio.Conn, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holds {
		m.held = append(m.held, func() { _ = c.Write(b) })
		return nil
	}
	return c.Write(b)
}

// Holding tells whether what it says stays under way.
func (m *Member) Holding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holds
}

func (m *Member) hold(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.held {
		f()
	}
	m.holds, m.held = on, nil
}

// Client is a stand-in client's connection. Answers yields served, refused, failed or closed.
type Client interface {
	Send(half bool, sql string) // after half a command comes the other half
	Answers() <-chan string
	Close()
}

// Kit is one wire, with a gateway's front for it and stand-ins for both its ends.
type Kit interface {
	// Backend is the wire towards members.
	Backend(*netio.Net, *eventloop.Loop) request.Backend
	// Front is the wire towards clients.
	Front(*eventloop.Loop, *aspenshed.Settings, *pipeline.Pipeline) (func(*netio.Conn) netio.Handler, *session.Manager)
	Member(*Member, *netio.Conn) netio.Handler
	Client(net *netio.Net, address string) Client
}

// Settings are those of the scenarios: the classes of a booking service.
func Settings() aspenshed.Settings {
	class := func(name string, n aspenshed.Consistency, e aspenshed.RetrySafety, aim, giveUp aspenshed.Nanos, late float64) aspenshed.Class {
		return aspenshed.Class{Name: name, Consistency: n, MaxStaleness: 300 * ms, LatencyTarget: aim * ms, ClientTimeout: giveUp * ms, Value: 1, LateValue: late, RetrySafety: e}
	}
	return aspenshed.Settings{Routers: 1, MinStepInterval: tick, ListHasRoles: true, MayProbe: true, MayCancel: true, MayHedge: true, MaxAttempts: 10,
		ConnectTimeout: 250 * ms, IdleTimeout: 15000 * ms, ResponseSlack: 20 * ms, DrainGrace: 2000 * ms, InitialCapacity: 0.15,
		WarmUpTime: 16000 * ms, OverloadFactor: 2.5, OverloadWindow: 1500 * ms, ProbeCost: 0.021, Classes: []aspenshed.Class{
			class("seat-check", aspenshed.BoundedStaleness, aspenshed.Safe, 400, 1000, 0.2), class("timetable", aspenshed.Eventual, aspenshed.Safe, 750, 2000, 0),
			class("booking", aspenshed.Write, aspenshed.Unsafe, 750, 5000, 0.5)}}
}

// player plays one script.
type player struct {
	t        *testing.T
	kit      Kit
	clock    *Clock
	loop     *eventloop.Loop
	pipeline *pipeline.Pipeline
	manager  *session.Manager
	net      *netio.Net // of the stand-ins and towards members
	in       *netio.Net // towards clients
	address  string
	members  map[string]*Member
	clients  map[string]Client
	sent     uint64
	prepared uint64  // statements, before the last command was sent
	it       *Member // that any was bound to
}

// Play runs a script over a kit and returns what the pipeline has counted. The
// first line names the members: members a=primary b=replica.
func Play(t *testing.T, kit Kit, script string) (served, refused, failed uint64) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(script), "\n")
	p := newPlayer(t, kit, strings.Fields(lines[0])[1:])
	for i, l := range lines[1:] {
		if l, _, _ = strings.Cut(l, "#"); strings.TrimSpace(l) == "" {
			continue
		}
		if err := p.line(strings.Fields(l)); err != nil {
			t.Fatalf("line %d, %q: %v", i+2, strings.TrimSpace(l), err)
		}
	}
	p.settle()
	p.on(func() {
		c := p.pipeline.Accounting.Counts
		served, refused, failed = c.Served, c.Refused, c.Failed
		p.loop.Quit()
	})
	return
}

func newPlayer(t *testing.T, kit Kit, members []string) *player {
	p := &player{t: t, kit: kit, clock: &Clock{}, members: map[string]*Member{}, clients: map[string]Client{}}
	p.clock.at.Store(1767225600e9)
	p.start(members)
	return p
}

func (p *player) start(members []string) {
	must := func(n *netio.Net, err error) *netio.Net {
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(n.Stop)
		return n
	}
	known := aspenshed.MemberList{Complete: true}
	addresses := map[string]string{}
	for _, spec := range members {
		name, role, _ := strings.Cut(spec, "=")
		m := &Member{Name: name, Clock: p.clock, Got: make(chan Got, 100)}
		m.Primary.Store(role == "primary")
		p.members[name] = m
		n := must(netio.New(netio.Config{Name: name, Listen: "127.0.0.1:0", MaxClients: 100,
			Accept: func(c *netio.Conn) netio.Handler { return p.kit.Member(m, c) }}))
		known.Members = append(known.Members, aspenshed.Member{ID: name, Group: 1, Weight: 1, State: aspenshed.Up})
		addresses[name] = n.Addr()
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	p.loop = eventloop.NewLoop(p.clock)
	p.net = must(netio.New(netio.Config{Name: "out", MaxDials: 100}))
	s := Settings()
	p.pipeline = pipeline.New(pipeline.Config{Loop: p.loop, Log: logrus.NewEntry(log), Settings: s, Seed: 1, MaxPending: 100,
		Backend: p.kit.Backend(p.net, p.loop), Watch: func() {}})
	accept, manager := p.kit.Front(p.loop, &s, p.pipeline)
	p.manager = manager
	p.in = must(netio.New(netio.Config{Name: "in", Listen: "127.0.0.1:0", MaxClients: 100, Accept: accept}))
	p.address = p.in.Addr()
	if err := p.pipeline.Start(known, addresses); err != nil {
		p.t.Fatal(err)
	}
	go p.loop.Run()
}

// on runs f on the loop and waits for it.
func (p *player) on(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

// until waits for a state of the loop that must come.
func (p *player) until(what string, ok func() bool) {
	for end, yes := time.Now().Add(patient), false; !yes; runtime.Gosched() {
		if p.on(func() { yes = ok() }); time.Now().After(end) {
			p.t.Fatalf("never came: %s", what)
		}
	}
}

// settle waits until probes are answered and links are up, as they are at once on loopback.
func (p *player) settle() {
	held := false // what is under way to a member that holds will not settle, and nothing is executed before it is prepared
	for _, m := range p.members {
		held = held || m.holds
	}
	p.until("taken requests", func() bool {
		c := p.pipeline.Accounting.Counts
		return c.Accepted+c.Rejected >= p.sent || held && p.pipeline.Response.Pending() > 0 && c.PrepareOnly > p.prepared
	})
	if held {
		return
	}
	for range 2 { // what one answer sets off comes with the next batch
		p.until("probes and links", func() bool { return p.pipeline.Dispatch.PendingSends() == 0 })
	}
}

// recount forgets requests that will never be taken: their client went, or was refused, before it came to them.
func (p *player) recount() {
	p.on(func() { p.sent = p.pipeline.Accounting.Counts.Accepted + p.pipeline.Accounting.Counts.Rejected })
}

func (p *player) line(f []string) error {
	if f[0] == "wait" {
		d, err := time.ParseDuration(f[1])
		for ; d > 0; d -= time.Duration(tick) {
			p.settle()
			p.clock.at.Add(int64(tick))
			p.on(func() {})
		}
		return err
	}
	m, isMember := p.members[f[0]]
	if f[0] == "any" {
		m, isMember = p.it, true
	}
	switch {
	case isMember && f[1] == "expect":
		return p.memberExpects(f[0], f[2])
	case isMember && f[1] == "send" && (f[2] == "primary" || f[2] == "replica"):
		m.Primary.Store(f[2] == "primary")
	case isMember && f[1] == "send" && (f[2] == "hold" || f[2] == "go"):
		m.hold(f[2] == "hold")
	case isMember && f[1] == "send":
		p.ends(func() { m.last.Reply(f[2]) })
	case isMember && f[1] == "close":
		p.ends(m.last.Close)
	case f[1] == "send":
		p.clientSends(f[0], f[2], f[3:])
	case f[1] == "expect":
		select {
		case got := <-p.clients[f[0]].Answers():
			if got != f[2] {
				return fmt.Errorf("got %s", got)
			}
		case <-time.After(patient):
			return fmt.Errorf("no answer")
		}
	case f[1] == "close":
		var before int
		p.on(func() { before = p.pipeline.Response.Pending() })
		p.clients[f[0]].Close()
		p.until("the client's leave", func() bool { return p.pipeline.Response.Pending() < max(before, 1) })
		p.recount()
	default:
		return fmt.Errorf("unknown verb")
	}
	return nil
}

// ends has a member end an attempt, and waits until that has come through: time must not pass before.
func (p *player) ends(f func()) {
	var before uint64
	p.on(func() { before = p.pipeline.Accounting.Counts.Attempts })
	f()
	p.until("the attempt's end", func() bool { return p.pipeline.Accounting.Counts.Attempts > before })
}

func (p *player) memberExpects(name, class string) error {
	var m *Member
	for end := time.Now().Add(patient); m == nil; runtime.Gosched() {
		for _, x := range p.members {
			if name != "any" && name != x.Name {
				continue
			}
			select {
			case x.last = <-x.Got:
				m = x
			default:
				continue
			}
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("nothing came")
		}
	}
	if p.it = m; m.last.Class != class {
		return fmt.Errorf("%s got %s", m.Name, m.last.Class)
	}
	return nil
}

func (p *player) clientSends(name, class string, with []string) {
	c := p.clients[name]
	if c == nil {
		c = p.kit.Client(p.net, p.address)
		p.clients[name] = c
	}
	half := class == "half"
	switch {
	case class == "nothing":
		p.until("the connection", func() bool { return p.manager.SessionCount() >= len(p.clients) })
		return
	case half || class == "rest":
		class = "booking"
	}
	if !half {
		p.sent++
	}
	tag := map[string]string{"id": fmt.Sprint(p.sent), "d": "900", "cluster": "1"}
	for _, w := range with {
		k, v, _ := strings.Cut(w, "=")
		tag[k] = v
	}
	sql := "SELECT payload FROM entries WHERE ref = 'r'"
	if class == "booking" {
		sql = `INSERT INTO entries (ref, payload) VALUES ('r', 'v') RETURNING payload`
	}
	var halves int
	p.on(func() { halves, p.prepared = p.manager.PartialSessions(), p.pipeline.Accounting.Counts.PrepareOnly })
	c.Send(half, fmt.Sprintf("%s /* id=%s,c=%s,d=%s,cluster=%s */", sql, tag["id"], class, tag["d"], tag["cluster"]))
	if half {
		p.until("half a command", func() bool { return p.manager.PartialSessions() > halves })
	}
	p.settle()
}
