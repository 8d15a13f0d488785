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
	ms           = aspenshed.Nanos(1e6)
	clockStep    = 5 * ms
	eventTimeout = 10 * time.Second // for what must come
)

// ManualClock stands still until it is moved.
type ManualClock struct{ nanos atomic.Int64 }

// Now is the time.
func (c *ManualClock) Now() aspenshed.Nanos { return aspenshed.Nanos(c.nanos.Load()) }

// Statement is a statement that a member has received.
type Statement struct {
	Class    string
	LongData string // what was sent ahead of it
	Reply    func(kind string)
	Close    func()
}

// Member is a stand-in database.
type Member struct {
	Name          string
	Clock         *ManualClock
	Primary       atomic.Bool
	Statements    chan Statement
	lastStatement Statement

	PrepareCount        atomic.Int64 // statements that it was told to prepare
	HoldFromNextPrepare atomic.Bool  // it holds from its next answer to that on

	mu         sync.Mutex
	holding    bool
	heldWrites []func() // what it has said meanwhile
}

// Write sends b to the gateway, now or once the member lets go.
func (m *Member) Write(c *netio.Conn, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holding {
		m.heldWrites = append(m.heldWrites, func() { _ = c.Write(b) })
		return nil
	}
	return c.Write(b)
}

// Holding tells whether what it says stays under way.
func (m *Member) Holding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holding
}

func (m *Member) setHold(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.heldWrites {
		f()
	}
	m.holding, m.heldWrites = on, nil
}

// Client is a stand-in client's connection. Answers yields served, refused, failed or closed.
type Client interface {
	Send(half bool, sql string) // after half a command comes the other half
	Results() <-chan string
	Close()
}

// Harness is one wire, with a gateway's front for it and stand-ins for both its ends.
type Harness interface {
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
	return aspenshed.Settings{Routers: 1, MinStepInterval: clockStep, ListHasRoles: true, MayProbe: true, MayCancel: true, MayHedge: true, MaxAttempts: 10,
		ConnectTimeout: 250 * ms, IdleTimeout: 15000 * ms, ResponseSlack: 20 * ms, DrainGrace: 2000 * ms, InitialCapacity: 0.15,
		WarmUpTime: 16000 * ms, OverloadFactor: 2.5, OverloadWindow: 1500 * ms, ProbeCost: 0.021, Classes: []aspenshed.Class{
			class("seat-check", aspenshed.BoundedStaleness, aspenshed.Safe, 400, 1000, 0.2), class("timetable", aspenshed.Eventual, aspenshed.Safe, 750, 2000, 0),
			class("booking", aspenshed.Write, aspenshed.Unsafe, 750, 5000, 0.5)}}
}

// runner plays one script.
type runner struct {
	t              *testing.T
	harness        Harness
	clock          *ManualClock
	loop           *eventloop.Loop
	pipeline       *pipeline.Pipeline
	manager        *session.Manager
	peerNet        *netio.Net // of the stand-ins and towards members
	frontNet       *netio.Net // towards clients
	address        string
	members        map[string]*Member
	clients        map[string]Client
	submitted      uint64
	preparedBefore uint64  // statements, before the last command was sent
	anyMember      *Member // that any was bound to
}

// Run runs a script over a harness and returns what the pipeline has counted. The
// first line names the members: members a=primary b=replica.
func Run(t *testing.T, harness Harness, script string) (served, refused, failed uint64) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(script), "\n")
	r := newRunner(t, harness, strings.Fields(lines[0])[1:])
	for i, l := range lines[1:] {
		if l, _, _ = strings.Cut(l, "#"); strings.TrimSpace(l) == "" {
			continue
		}
		if err := r.runLine(strings.Fields(l)); err != nil {
			t.Fatalf("line %d, %q: %v", i+2, strings.TrimSpace(l), err)
		}
	}
	r.waitIdle()
	r.runOnLoop(func() {
		c := r.pipeline.Accounting.Counts
		served, refused, failed = c.Served, c.Refused, c.Failed
		r.loop.Quit()
	})
	return
}

func newRunner(t *testing.T, harness Harness, members []string) *runner {
	r := &runner{t: t, harness: harness, clock: &ManualClock{}, members: map[string]*Member{}, clients: map[string]Client{}}
	r.clock.nanos.Store(1767225600e9)
	r.start(members)
	return r
}

func (r *runner) start(members []string) {
	must := func(n *netio.Net, err error) *netio.Net {
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(n.Stop)
		return n
	}
	known := aspenshed.MemberList{Complete: true}
	addresses := map[string]string{}
	for _, spec := range members {
		name, role, _ := strings.Cut(spec, "=")
		m := &Member{Name: name, Clock: r.clock, Statements: make(chan Statement, 100)}
		m.Primary.Store(role == "primary")
		r.members[name] = m
		n := must(netio.New(netio.Config{Name: name, Listen: "127.0.0.1:0", MaxClients: 100,
			Accept: func(c *netio.Conn) netio.Handler { return r.harness.Member(m, c) }}))
		known.Members = append(known.Members, aspenshed.Member{ID: name, Group: 1, Weight: 1, State: aspenshed.Up})
		addresses[name] = n.Addr()
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	r.loop = eventloop.NewLoop(r.clock)
	r.peerNet = must(netio.New(netio.Config{Name: "out", MaxDials: 100}))
	s := Settings()
	r.pipeline = pipeline.New(pipeline.Config{Loop: r.loop, Log: logrus.NewEntry(log), Settings: s, Seed: 1, MaxPending: 100,
		Backend: r.harness.Backend(r.peerNet, r.loop), Watch: func() {}})
	accept, manager := r.harness.Front(r.loop, &s, r.pipeline)
	r.manager = manager
	r.frontNet = must(netio.New(netio.Config{Name: "in", Listen: "127.0.0.1:0", MaxClients: 100, Accept: accept}))
	r.address = r.frontNet.Addr()
	if err := r.pipeline.Start(known, addresses); err != nil {
		r.t.Fatal(err)
	}
	go r.loop.Run()
}

// runOnLoop runs f runOnLoop the loop and waits for it.
func (r *runner) runOnLoop(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// waitUntil waits for a state of the loop that must come.
func (r *runner) waitUntil(what string, ok func() bool) {
	for end, yes := time.Now().Add(eventTimeout), false; !yes; runtime.Gosched() {
		if r.runOnLoop(func() { yes = ok() }); time.Now().After(end) {
			r.t.Fatalf("never came: %s", what)
		}
	}
}

// waitIdle waits until probes are answered and links are up, as they are at once on loopback.
func (r *runner) waitIdle() {
	held := false // what is under way to a member that holds will not settle, and nothing is executed before it is prepared
	for _, m := range r.members {
		held = held || m.holding
	}
	r.waitUntil("taken requests", func() bool {
		c := r.pipeline.Accounting.Counts
		return c.Accepted+c.Rejected >= r.submitted || held && r.pipeline.Response.Pending() > 0 && c.PrepareOnly > r.preparedBefore
	})
	if held {
		return
	}
	for range 2 { // what one answer sets off comes with the next batch
		r.waitUntil("probes and links", func() bool { return r.pipeline.Dispatch.PendingSends() == 0 })
	}
}

// resetSubmitted forgets requests that will never be taken: their client went, or was refused, before it came to them.
func (r *runner) resetSubmitted() {
	r.runOnLoop(func() { r.submitted = r.pipeline.Accounting.Counts.Accepted + r.pipeline.Accounting.Counts.Rejected })
}

func (r *runner) runLine(f []string) error {
	if f[0] == "wait" {
		d, err := time.ParseDuration(f[1])
		for ; d > 0; d -= time.Duration(clockStep) {
			r.waitIdle()
			r.clock.nanos.Add(int64(clockStep))
			r.runOnLoop(func() {})
		}
		return err
	}
	m, isMember := r.members[f[0]]
	if f[0] == "any" {
		m, isMember = r.anyMember, true
	}
	switch {
	case isMember && f[1] == "expect":
		return r.expectStatement(f[0], f[2])
	case isMember && f[1] == "send" && (f[2] == "primary" || f[2] == "replica"):
		m.Primary.Store(f[2] == "primary")
	case isMember && f[1] == "send" && (f[2] == "hold" || f[2] == "go"):
		m.setHold(f[2] == "hold")
	case isMember && f[1] == "send":
		r.endAttempt(func() { m.lastStatement.Reply(f[2]) })
	case isMember && f[1] == "close":
		r.endAttempt(m.lastStatement.Close)
	case f[1] == "send":
		r.sendRequest(f[0], f[2], f[3:])
	case f[1] == "expect":
		select {
		case got := <-r.clients[f[0]].Results():
			if got != f[2] {
				return fmt.Errorf("got %s", got)
			}
		case <-time.After(eventTimeout):
			return fmt.Errorf("no answer")
		}
	case f[1] == "close":
		var before int
		r.runOnLoop(func() { before = r.pipeline.Response.Pending() })
		r.clients[f[0]].Close()
		r.waitUntil("the client's leave", func() bool { return r.pipeline.Response.Pending() < max(before, 1) })
		r.resetSubmitted()
	default:
		return fmt.Errorf("unknown verb")
	}
	return nil
}

// endAttempt has a member end an attempt, and waits until that has come through: time must not pass before.
func (r *runner) endAttempt(f func()) {
	var before uint64
	r.runOnLoop(func() { before = r.pipeline.Accounting.Counts.Attempts })
	f()
	r.waitUntil("the attempt's end", func() bool { return r.pipeline.Accounting.Counts.Attempts > before })
}

func (r *runner) expectStatement(name, class string) error {
	var m *Member
	for end := time.Now().Add(eventTimeout); m == nil; runtime.Gosched() {
		for _, x := range r.members {
			if name != "any" && name != x.Name {
				continue
			}
			select {
			case x.lastStatement = <-x.Statements:
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
	if r.anyMember = m; m.lastStatement.Class != class {
		return fmt.Errorf("%s got %s", m.Name, m.lastStatement.Class)
	}
	return nil
}

func (r *runner) sendRequest(name, class string, with []string) {
	c := r.clients[name]
	if c == nil {
		c = r.harness.Client(r.peerNet, r.address)
		r.clients[name] = c
	}
	half := class == "half"
	switch {
	case class == "nothing":
		r.waitUntil("the connection", func() bool { return r.manager.SessionCount() >= len(r.clients) })
		return
	case half || class == "rest":
		class = "booking"
	}
	if !half {
		r.submitted++
	}
	tag := map[string]string{"id": fmt.Sprint(r.submitted), "d": "900", "cluster": "1"}
	for _, w := range with {
		k, v, _ := strings.Cut(w, "=")
		tag[k] = v
	}
	sql := "SELECT payload FROM entries WHERE ref = 'r'"
	if class == "booking" {
		sql = `INSERT INTO entries (ref, payload) VALUES ('r', 'v') RETURNING payload`
	}
	var halves int
	r.runOnLoop(func() {
		halves, r.preparedBefore = r.manager.PartialSessions(), r.pipeline.Accounting.Counts.PrepareOnly
	})
	c.Send(half, fmt.Sprintf("%s /* id=%s,c=%s,d=%s,cluster=%s */", sql, tag["id"], class, tag["d"], tag["cluster"]))
	if half {
		r.waitUntil("half a command", func() bool { return r.manager.PartialSessions() > halves })
	}
	r.waitIdle()
}
