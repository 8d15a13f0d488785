// Package scenario runs scripts against a pipeline over loopback sockets, with stand-in clients and members. The script
// language has five verbs:
//
//	x send booking d=2000    client x sends a request of that class
//	x send half              client x sends the first half of a command; rest sends the second half;
//	                         nothing only connects
//	a expect booking         member a receives a statement of that class (any: any member)
//	a send served            the member responds: served, miss, full, error or wrong (an error in the statement);
//	                         spoilt (bytes that can't be parsed); late (served, and an unsolicited response follows
//	                         when the connection is used again); stale (served, and the connection is cut when it
//	                         is used again). primary and replica change the role of the member
//	a send hold              buffers everything that the member writes, greetings of new connections included;
//	                         go delivers it
//	a close                  the member closes the connection that its last statement arrived on
//	x expect served          client x has a result: served, refused, failed or closed
//	x close                  client x disconnects
//	list c=2 b@d a           the member list gives c group 2 and b the address of member d, and keeps a as it is; members
//	                         that it does not name are removed
//	wait 300ms               advances the clock
//
// Only wait advances the clock. Members answer probes by themselves.
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
	"aspenshed/internal/experiment/sysfault"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
)

const (
	ms           = aspenshed.Nanos(1e6)
	clockStep    = 5 * ms
	eventTimeout = 10 * time.Second // limit for each event that a script or test waits for
)

// ManualClock is a clock that only the script advances.
type ManualClock struct{ nanos atomic.Int64 }

// Now returns the current time of the script.
func (c *ManualClock) Now() aspenshed.Nanos { return aspenshed.Nanos(c.nanos.Load()) }

// Statement is a statement that a member has received, with callbacks to respond or to close its connection.
type Statement struct {
	Class    string
	LongData string // long parameter data that arrived before the execution
	Reply    func(kind string)
	Close    func()
}

// Member is a stand-in for a member.
type Member struct {
	Name          string
	Clock         *ManualClock
	Primary       atomic.Bool
	Statements    chan Statement
	lastStatement Statement

	PrepareCount        atomic.Int64 // number of statements that it was asked to prepare
	HoldFromNextPrepare atomic.Bool  // starts to hold writes with the response to the next prepare command

	mu         sync.Mutex
	holding    bool
	heldWrites []func() // writes that were held back, in order
}

// Write sends b to the gateway, at once or when the hold is lifted.
func (m *Member) Write(c *netio.Conn, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holding {
		m.heldWrites = append(m.heldWrites, func() { _ = c.Write(b) })
		return nil
	}
	return c.Write(b)
}

// Holding reports whether writes of the member are held back.
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

// Client is the connection of a stand-in client. Results yields served, refused, failed or closed.
type Client interface {
	Send(half bool, sql string) // after half a command, the next call sends the other half
	Results() <-chan string
	Close()
}

// Harness provides one wire protocol: the gateway's backend and front for it, and stand-in members and clients.
type Harness interface {
	// Backend returns the side of the gateway that faces members.
	Backend(*netio.Net, *eventloop.Loop) request.Backend
	// Front returns the side of the gateway that faces clients.
	Front(*eventloop.Loop, *aspenshed.Settings, *pipeline.Pipeline) (func(*netio.Conn) netio.Handler, *session.Manager)
	Member(*Member, *netio.Conn) netio.Handler
	Client(net *netio.Net, address string) Client
}

// Settings returns the settings of the scenarios, with the classes of a booking service.
func Settings() aspenshed.Settings {
	class := func(name string, consistency aspenshed.Consistency, safety aspenshed.RetrySafety,
		latencyTarget, clientTimeout aspenshed.Nanos, lateValue float64) aspenshed.Class {
		return aspenshed.Class{Name: name, Consistency: consistency, MaxStaleness: 300 * ms,
			LatencyTarget: latencyTarget * ms, ClientTimeout: clientTimeout * ms, Value: 1, LateValue: lateValue,
			RetrySafety: safety}
	}
	return aspenshed.Settings{Routers: 1, MinStepInterval: clockStep, ListHasRoles: true, MayProbe: true, MayCancel: true,
		MayHedge: true, MaxAttempts: 10, ConnectTimeout: 250 * ms, IdleTimeout: 15000 * ms, ResponseSlack: 20 * ms,
		DrainGrace: 2000 * ms, InitialCapacity: 0.15, WarmUpTime: 16000 * ms, OverloadFactor: 2.5,
		OverloadWindow: 1500 * ms, ProbeCost: 0.021, Classes: []aspenshed.Class{
			class("seat-check", aspenshed.BoundedStaleness, aspenshed.Safe, 400, 1000, 0.2),
			class("timetable", aspenshed.Eventual, aspenshed.Safe, 750, 2000, 0),
			class("booking", aspenshed.Write, aspenshed.Unsafe, 750, 5000, 0.5)}}
}

// runner runs one script.
type runner struct {
	t              *testing.T
	harness        Harness
	clock          *ManualClock
	loop           *eventloop.Loop
	pipeline       *pipeline.Pipeline
	manager        *session.Manager
	system         *sysfault.System // makes the system calls of the gateway
	peerNet        *netio.Net       // connections of stand-in clients
	backendNet     *netio.Net       // connections of the gateway to members
	frontNet       *netio.Net       // listener of the front
	address        string
	addresses      map[string]string // of the members, by name
	listed         map[string]aspenshed.Member
	members        map[string]*Member
	clients        map[string]Client
	submitted      uint64
	preparedBefore uint64  // PrepareOnly count before the last command was sent
	anyMember      *Member // member that the last any resolved to
	connectFails   bool    // the gateway can't open connections
}

// Run runs a script with a harness and returns the counts of the pipeline. The first line of the script names the
// members: members a=primary b=replica.
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
	list := aspenshed.MemberList{Complete: true}
	r.addresses, r.listed = map[string]string{}, map[string]aspenshed.Member{}
	for _, spec := range members {
		name, role, _ := strings.Cut(spec, "=")
		m := &Member{Name: name, Clock: r.clock, Statements: make(chan Statement, 100)}
		m.Primary.Store(role == "primary")
		r.members[name] = m
		n := must(netio.New(netio.Config{Name: name, Listen: "127.0.0.1:0", MaxClients: 100,
			Accept: func(c *netio.Conn) netio.Handler { return r.harness.Member(m, c) }}))
		r.addresses[name] = n.Addr()
		r.listed[name] = aspenshed.Member{ID: name, Address: n.Addr(), Group: 1, Weight: 1, State: aspenshed.Up}
		list.Members = append(list.Members, r.listed[name])
	}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	r.loop = eventloop.NewLoop(r.clock)
	r.system = sysfault.New(1)
	r.peerNet = must(netio.New(netio.Config{Name: "clients", MaxDials: 100}))
	r.backendNet = must(netio.New(netio.Config{Name: "out", MaxDials: 100, System: r.system}))
	s := Settings()
	r.pipeline = pipeline.New(pipeline.Config{Loop: r.loop, Log: logrus.NewEntry(log), Settings: s, Seed: 1, MaxPending: 100,
		Backend: r.harness.Backend(r.backendNet, r.loop), Watch: func() {}})
	accept, manager := r.harness.Front(r.loop, &s, r.pipeline)
	r.manager = manager
	r.frontNet = must(netio.New(netio.Config{Name: "in", Listen: "127.0.0.1:0", MaxClients: 100, Accept: accept, System: r.system}))
	r.address = r.frontNet.Addr()
	if err := r.pipeline.Start(list); err != nil {
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

// waitUntil polls a condition on the event loop and fails the test if it does not hold within eventTimeout.
func (r *runner) waitUntil(what string, ok func() bool) {
	for end, yes := time.Now().Add(eventTimeout), false; !yes; runtime.Gosched() {
		if r.runOnLoop(func() { yes = ok() }); time.Now().After(end) {
			r.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitIdle waits until probes are answered and connections are up, which takes no clock time on loopback.
func (r *runner) waitIdle() {
	// Exchanges with a member that holds its writes don't complete, and nothing is executed before it is prepared; nor is
	// anything prepared at a member that can't be dialled.
	held := false
	for _, m := range r.members {
		held = held || m.holding
	}
	r.waitUntil("accepted requests", func() bool {
		c := r.pipeline.Accounting.Counts
		return c.Accepted+c.Rejected >= r.submitted || (held || r.connectFails) && r.pipeline.Response.Pending() > 0 &&
			c.PrepareOnly > r.preparedBefore
	})
	if held {
		return
	}
	for range 2 { // what one response triggers runs in the loop's next batch
		r.waitUntil("probes and connections", func() bool { return r.pipeline.Dispatch.PendingSends() == 0 })
	}
}

// resetSubmitted discounts requests that will never be accepted: their client disconnected, or was refused, before the
// gateway processed them.
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
	if f[0] == "list" {
		return r.updateList(f[1:])
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
			return fmt.Errorf("no result")
		}
	case f[1] == "close":
		r.disconnect(f[0])
	default:
		return fmt.Errorf("unknown verb")
	}
	return nil
}

// updateList replaces the member list by the named entries, each kept as it is or given another group or address.
func (r *runner) updateList(entries []string) error {
	list := aspenshed.MemberList{Complete: true}
	for _, entry := range entries {
		entry, group, regrouped := strings.Cut(entry, "=")
		name, server, moved := strings.Cut(entry, "@")
		m, known := r.listed[name]
		if !known {
			return fmt.Errorf("unknown member %s", name)
		}
		if regrouped {
			if _, err := fmt.Sscan(group, &m.Group); err != nil {
				return err
			}
		}
		if moved {
			m.Address = r.addresses[server]
		}
		r.listed[name] = m
		list.Members = append(list.Members, m)
	}
	r.runOnLoop(func() { r.pipeline.UpdateMembers(list) })
	r.waitIdle()
	return nil
}

// disconnect closes a client's connection and waits until its session has ended, which cancels its requests. Pending
// requests tell nothing: after a prepare command, the execution that follows it may not have been accepted yet.
func (r *runner) disconnect(name string) {
	var before int
	r.runOnLoop(func() { before = r.manager.SessionCount() })
	r.clients[name].Close()
	r.waitUntil("the client's disconnect", func() bool { return r.manager.SessionCount() < before })
	r.resetSubmitted()
}

// endAttempt makes a member end an attempt and waits until the pipeline has accounted for it, as the clock must not
// advance before.
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
			return fmt.Errorf("no statement received")
		}
	}
	if r.anyMember = m; m.lastStatement.Class != class {
		return fmt.Errorf("%s got %s", m.Name, m.lastStatement.Class)
	}
	return nil
}

func (r *runner) sendRequest(name, class string, options []string) {
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
	id := r.submitted
	if half { // it counts once its other half is sent
		id++
	}
	fields := map[string]string{"id": fmt.Sprint(id), "d": "900", "cluster": "1"}
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		fields[key] = value
	}
	sql := "SELECT payload FROM entries WHERE ref = 'r'"
	if class == "booking" {
		sql = `INSERT INTO entries (ref, payload) VALUES ('r', 'v') RETURNING payload`
	}
	var partialBefore int
	r.runOnLoop(func() {
		partialBefore, r.preparedBefore = r.manager.PartialSessions(), r.pipeline.Accounting.Counts.PrepareOnly
	})
	c.Send(half, fmt.Sprintf("%s /* id=%s,c=%s,d=%s,cluster=%s */", sql,
		fields["id"], class, fields["d"], fields["cluster"]))
	if half {
		r.waitUntil("half a command", func() bool { return r.manager.PartialSessions() > partialBefore })
	}
	r.waitIdle()
}
