// Package standin provides small databases that model the behavior that matters to a gateway: a primary and replicas
// with limited capacity, a warm-up after a start, a crash under overload, replication lag and a change of the primary. They
// speak the PostgreSQL and MySQL protocols. Their behavior is decided in model.go, which uses no sockets.
package standin

import (
	"fmt"
	"sync"
	"time"

	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/sqlcomment"
)

// Protocol is the wire protocol of a database.
type Protocol string

// Supported protocols.
const (
	Postgres Protocol = "postgres"
	MySQL    Protocol = "mysql"
)

// DB is one stand-in database that listens on loopback.
type DB struct {
	ID       string
	protocol Protocol
	net      *netio.Net

	mu     sync.Mutex
	model  Model
	group  *Group
	timers map[*time.Timer]bool
}

// Group is a set of databases that hold the same data.
type Group struct {
	mu         sync.Mutex
	rows       map[string]string
	executions map[string]int // number of executions of each write, by request id
	dbs        []*DB
}

// NewGroup starts the databases of one group. The first is the primary.
func NewGroup(protocol Protocol, limits Limits, ids ...string) (*Group, error) {
	g := &Group{rows: map[string]string{}, executions: map[string]int{}}
	for i, id := range ids {
		if _, err := g.Add(protocol, limits, id, i == 0); err != nil {
			g.Stop()
			return nil, err
		}
	}
	return g, nil
}

// Add starts another database of the group.
func (g *Group) Add(protocol Protocol, limits Limits, id string, primary bool) (*DB, error) {
	d := &DB{ID: id, protocol: protocol, group: g, model: NewModel(limits, primary), timers: map[*time.Timer]bool{}}
	n, err := netio.New(netio.Config{Name: id, Listen: "127.0.0.1:0", MaxClients: 1000, Accept: func(c *netio.Conn) netio.Handler {
		if protocol == MySQL {
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

// DBs returns the databases of the group.
func (g *Group) DBs() []*DB {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*DB(nil), g.dbs...)
}

// MaxExecutions returns the largest number of executions of one write.
func (g *Group) MaxExecutions() (highest int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.executions {
		highest = max(highest, n)
	}
	return highest
}

// Promote makes the database with the given ID the only primary.
func (g *Group) Promote(id string) {
	for _, d := range g.DBs() {
		d.mu.Lock()
		d.model.Primary = d.ID == id
		d.mu.Unlock()
	}
}

// Stop stops all databases of the group.
func (g *Group) Stop() {
	for _, d := range g.DBs() {
		d.Stop()
	}
}

// Address returns the address that the database listens on.
func (d *DB) Address() string { return d.net.Addr() }

// Restart resets the model to a cold start. Connections stay open.
func (d *DB) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model.Start(time.Now().UnixNano())
}

// Drain records a drain notice. Requests that arrive after the grace period count in Report.AfterDrainGrace.
func (d *DB) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model.Drain(time.Now().UnixNano())
}

// Report returns what the database has observed.
func (d *DB) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Report
}

// Stop stops the database at once.
func (d *DB) Stop() {
	d.net.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.timers {
		t.Stop()
	}
}

// serve handles one statement. It calls respond once, at once or later, with the result.
func (d *DB) serve(sql string, respond func(value string, result Result)) {
	statement, _ := sqlcomment.Parse(sql)
	write := statement.Fields.Get("c") == "order"
	now := time.Now().UnixNano()
	d.mu.Lock()
	result, duration := d.model.Accept(now, write)
	if result != Served {
		d.mu.Unlock()
		respond("", result)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(duration, func() {
		d.mu.Lock()
		delete(d.timers, t)
		result := d.model.Complete(time.Now().UnixNano())
		d.mu.Unlock()
		value := d.group.execute(statement, write)
		respond(value, result)
	})
	d.timers[t] = true
	d.mu.Unlock()
}

func (g *Group) execute(statement sqlcomment.Statement, write bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := statement.Fields.Get("id")
	if write && id != "" && len(g.executions) < 1<<20 {
		g.executions[id]++
	}
	return fmt.Sprintf("%s by its database", id)
}

// state returns the role, the position in Unix ms, and the number of requests in flight.
func (d *DB) state() (primary bool, position int64, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now().UnixNano()
	return d.model.Primary, d.model.Position(now) / 1e6, d.model.InFlight(now)
}
