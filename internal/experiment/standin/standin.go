// Package standin is small databases that behave like the real ones where it matters to a gateway: a primary and
// replicas with a capacity, a cold start that warms, falling over when pushed, replication lag, hand-over of the role.
// They speak the platform's protocol and MySQL's. What they decide lies in model.go, without sockets.
package standin

import (
	"fmt"
	"sync"
	"time"

	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/sqlcomment"
)

// Protocol names what a database speaks.
type Protocol string

// The wires.
const (
	Postgres Protocol = "postgres"
	MySQL    Protocol = "mysql"
)

// DB is one stand-in database on loopback.
type DB struct {
	ID       string
	protocol Protocol
	net      *netio.Net

	mu     sync.Mutex
	model  Model
	group  *Group
	timers map[*time.Timer]bool
}

// Group is databases that hold the same data.
type Group struct {
	mu         sync.Mutex
	rows       map[string]string
	executions map[string]int // how often each write has run
	dbs        []*DB
}

// NewGroup starts databases of one group; the first is its primary.
func NewGroup(wire Protocol, cfg Limits, ids ...string) (*Group, error) {
	g := &Group{rows: map[string]string{}, executions: map[string]int{}}
	for i, id := range ids {
		if _, err := g.Add(wire, cfg, id, i == 0); err != nil {
			g.Stop()
			return nil, err
		}
	}
	return g, nil
}

// Add starts one more.
func (g *Group) Add(wire Protocol, cfg Limits, id string, primary bool) (*DB, error) {
	d := &DB{ID: id, protocol: wire, group: g, model: NewModel(cfg, primary), timers: map[*time.Timer]bool{}}
	n, err := netio.New(netio.Config{Name: id, Listen: "127.0.0.1:0", MaxClients: 1000, Accept: func(c *netio.Conn) netio.Handler {
		if wire == MySQL {
			return newMySQLConn(d, c)
		}
		return newPostgresConn(d, c)
	}})
	if err != nil {
		return nil, err
	}
	d.net = n
	g.mu.Lock()
	g.dbs = append(g.dbs, d)
	g.mu.Unlock()
	return d, nil
}

// DBs are all of them.
func (g *Group) DBs() []*DB {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*DB(nil), g.dbs...)
}

// MaxExecutions is how often the most repeated write has run.
func (g *Group) MaxExecutions() (most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.executions {
		most = max(most, n)
	}
	return most
}

// Promote makes another database the primary.
func (g *Group) Promote(to string) {
	for _, d := range g.DBs() {
		d.mu.Lock()
		d.model.Primary = d.ID == to
		d.mu.Unlock()
	}
}

// Stop ends all.
func (g *Group) Stop() {
	for _, d := range g.DBs() {
		d.Stop()
	}
}

// Address is where it listens.
func (d *DB) Address() string { return d.net.Addr() }

// Restart makes it cold, as after a start.
func (d *DB) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model.Start(time.Now().UnixNano())
}

// Drain notes from when on nothing new may come; Seen counts what comes later than the grace.
func (d *DB) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model.Drain(time.Now().UnixNano())
}

// Report is what a database has seen.
func (d *DB) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Report
}

// Stop ends it at once.
func (d *DB) Stop() {
	d.net.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.timers {
		t.Stop()
	}
}

// serve takes one statement; answer is called once, later, with what became of it.
func (d *DB) serve(sql string, answer func(value string, v Result)) {
	tag, _ := sqlcomment.Parse(sql)
	write := tag.Fields["c"] == "order"
	now := time.Now().UnixNano()
	d.mu.Lock()
	v, took := d.model.Accept(now, write)
	if v != Served {
		d.mu.Unlock()
		answer("", v)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(took, func() {
		d.mu.Lock()
		delete(d.timers, t)
		v := d.model.Complete(time.Now().UnixNano())
		d.mu.Unlock()
		value := d.group.execute(tag, write)
		answer(value, v)
	})
	d.timers[t] = true
	d.mu.Unlock()
}

func (g *Group) execute(tag sqlcomment.Statement, write bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := tag.Fields["id"]
	if write && id != "" && len(g.executions) < 1<<20 {
		g.executions[id]++
	}
	return fmt.Sprintf("%s by its database", id)
}

// state is role, position in Unix ms, and how many wait.
func (d *DB) state() (primary bool, position int64, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now().UnixNano()
	return d.model.Primary, d.model.Position(now) / 1e6, d.model.InFlight(now)
}
