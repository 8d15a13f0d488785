package store

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
)

const patient = 30 * time.Second // for what must come

// cluster is some instances in one process: replication and calls pass through seams at which they are cut.
type cluster struct {
	t     *testing.T
	mu    sync.Mutex
	cut   map[[2]string]bool // from, to
	nodes map[string]*node
	peers []Peer
}

type node struct {
	cfg   Config
	store *Store // nil: down
	trans *raft.InmemTransport
}

func newCluster(t *testing.T, ids ...string) *cluster {
	c := &cluster{t: t, cut: map[[2]string]bool{}, nodes: map[string]*node{}}
	for _, id := range ids {
		c.peers = append(c.peers, Peer{id, "r-" + id, "s-" + id})
	}
	for _, id := range ids {
		c.add(id)
	}
	for _, id := range ids {
		c.open(id)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) add(id string) *node {
	n := &node{cfg: Config{Cluster: "t", ID: id, Address: "r-" + id, Service: "s-" + id, Peers: c.peers, DataDir: c.t.TempDir(), Quick: true}}
	n.cfg.Caller = caller{c, id}
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) open(id string) {
	if err := c.tryOpen(id); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) tryOpen(id string) (err error) {
	n := c.nodes[id]
	_, n.trans = raft.NewInmemTransportWithTimeout(raft.ServerAddress(n.cfg.Address), 500*time.Millisecond)
	n.cfg.Transport = n.trans
	c.wire()
	s, err := Open(n.cfg)
	c.mu.Lock()
	n.store = s
	c.mu.Unlock()
	return err
}

// kill ends an instance as it is.
func (c *cluster) kill(id string) {
	n := c.nodes[id]
	c.mu.Lock()
	s := n.store
	n.store = nil
	c.mu.Unlock()
	if s != nil {
		if err := s.Close(); err != nil {
			c.t.Error(err)
		}
		n.trans.DisconnectAll()
		for _, x := range c.nodes {
			if x.trans != nil {
				x.trans.Disconnect(raft.ServerAddress(n.cfg.Address))
			}
		}
	}
}

// wire connects all that is not cut.
func (c *cluster) wire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, x := range c.nodes {
		for b, y := range c.nodes {
			if a == b || x.trans == nil || y.trans == nil {
				continue
			}
			if c.cut[[2]string{a, b}] {
				x.trans.Disconnect(raft.ServerAddress(y.cfg.Address))
			} else {
				x.trans.Connect(raft.ServerAddress(y.cfg.Address), y.trans)
			}
		}
	}
}

// split cuts what goes from any of from to any of to.
func (c *cluster) split(cut bool, from, to []string) {
	c.mu.Lock()
	for _, a := range from {
		for _, b := range to {
			c.cut[[2]string{a, b}] = cut
		}
	}
	c.mu.Unlock()
	c.wire()
}

// caller is the way of one instance's calls to the others.
type caller struct {
	c    *cluster
	from string
}

func (x caller) Call(service string, call *pb.Call, _ time.Duration) (*pb.Reply, error) {
	to := service[2:]
	find := func(from, to string) *Store {
		x.c.mu.Lock()
		defer x.c.mu.Unlock()
		if n := x.c.nodes[to]; n != nil && !x.c.cut[[2]string{from, to}] {
			return n.store
		}
		return nil
	}
	s := find(x.from, to)
	if s == nil {
		return nil, ErrUnavailable
	}
	r := s.answer(call)
	if find(to, x.from) == nil { // the answer is lost
		return nil, ErrUnknown
	}
	return r, nil
}

func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patient); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for id, n := range c.nodes {
				if n.store != nil {
					c.t.Logf("%s: %+v", id, n.store.Status())
				}
			}
			c.t.Fatalf("never came: %s", what)
		}
	}
}

func (c *cluster) votes(id string) bool {
	s := c.nodes[id].store
	r := s.raft.Load()
	return r != nil && s.votes(r)
}

func (c *cluster) up() (out []*Store) {
	for _, p := range c.nodes {
		if p.store != nil {
			out = append(out, p.store)
		}
	}
	return out
}

func (c *cluster) leader() (id string) {
	c.t.Helper()
	c.until("a leader", func() bool {
		for n, x := range c.nodes {
			if x.store != nil && x.store.Mode() == mode.Leading && x.store.raft.Load().State() == raft.Leader {
				id = n
				return true
			}
		}
		return false
	})
	return id
}

func (c *cluster) follower() string {
	lead := c.leader()
	for _, p := range c.peers {
		if n := c.nodes[p.ID]; p.ID != lead && n.store != nil {
			return p.ID
		}
	}
	c.t.Fatal("no follower")
	return ""
}

// put writes until it is known to have been written, by whichever way that shows.
func (c *cluster) put(from, key, value string) {
	c.t.Helper()
	for end := time.Now().Add(patient); ; {
		r, err := c.nodes[from].store.Submit(set(key, value), 3*time.Second)
		if err == nil && r.Refused == "" {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("put %s from %s: %v %v", key, from, r, err)
		}
	}
}

func set(key, value string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte(value)}}}
}

func get(s *Store, key string) (value string) {
	s.Read(func(c *catalog.Catalog) { value = string(c.Pair(key).GetValue()) })
	return value
}

// equal waits until all that are up hold the same, and checks the values.
func (c *cluster) equal(want map[string]string) {
	c.t.Helper()
	c.until("equal catalogs", func() bool {
		digests := map[string]bool{}
		for _, s := range c.up() {
			s.Read(func(x *catalog.Catalog) {
				d, err := x.Digest()
				digests[fmt.Sprint(d, err)] = true
			})
		}
		return len(digests) == 1
	})
	for _, s := range c.up() {
		for k, v := range want {
			if got := get(s, k); got != v {
				c.t.Errorf("%s holds %s=%q, want %q", s.ID(), k, got, v)
			}
		}
	}
}

// Writes from every instance reach all; the leader killed, a follower killed, each back from its disk, then all.
func TestKilledInstancesComeBackFromTheirDisks(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	for _, id := range []string{"a", "b", "c"} {
		c.put(id, "from-"+id, id)
	}
	lead := c.leader()
	c.kill(lead)
	other := c.follower()
	c.put(other, "k", "after the leader")
	c.open(lead)
	c.kill(other)
	c.put(lead, "k2", "after a follower")
	c.open(other)
	want := map[string]string{"from-a": "a", "from-b": "b", "from-c": "c", "k": "after the leader", "k2": "after a follower"}
	c.equal(want)
	for id := range c.nodes {
		c.kill(id)
	}
	for id := range c.nodes {
		c.open(id)
	}
	c.leader()
	c.equal(want)
}

// An instance that lost its disk may have voted: it comes in anew, and only then votes.
func TestAnEmptyDiskComesInAnew(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	id := c.follower()
	c.kill(id)
	if err := os.RemoveAll(c.nodes[id].cfg.DataDir); err != nil {
		t.Fatal(err)
	}
	c.open(id)
	c.until("its vote", func() bool { return c.votes(id) && c.nodes[id].store.Mode() == mode.Following })
	c.put(id, "k2", "v2")
	c.equal(map[string]string{"k": "v", "k2": "v2"})
}

// A new instance joins, is killed in the middle of it and goes on; a dead one is replaced; one leaves.
func TestMembershipChangesInService(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	c.add("d")
	c.open("d")
	c.until("its coming in", func() bool { return c.nodes["d"].store.raft.Load() != nil })
	c.kill("d")
	c.open("d")
	c.until("its vote", func() bool { return c.votes("d") })
	c.kill("c")
	if err := c.nodes[c.leader()].store.Leave("c", patient); err != nil {
		t.Fatal(err)
	}
	s := c.nodes["d"].store
	c.until("three instances", func() bool { return len(s.Status().Servers) == 3 })
	c.put("d", "k2", "v2")
	c.equal(map[string]string{"k": "v", "k2": "v2"})
}

// One instance is cut off, both ways or one way only: it serves what it holds, is told nothing wrong, and holds the
// same as all once it is back. Its own writes are refused as never done or in doubt, not as done.
func TestCutOffAndBack(t *testing.T) {
	for _, way := range []string{"both", "to it", "from it"} {
		t.Run(way, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			lead := c.leader() // the old leader on the small side
			c.put(lead, "k", "before")
			var rest []string
			for id := range c.nodes {
				if id != lead {
					rest = append(rest, id)
				}
			}
			if way != "from it" {
				c.split(true, rest, []string{lead})
			}
			if way != "to it" {
				c.split(true, []string{lead}, rest)
			}
			if way == "both" {
				c.until("the cut-off one's knowing", func() bool { return c.nodes[lead].store.Mode() == mode.CutOff })
				if err := c.nodes[lead].store.ReadLatest(300*time.Millisecond, func(*catalog.Catalog) {}); err == nil {
					t.Error("a cut-off instance answers a read of the latest")
				}
				if _, err := c.nodes[lead].store.Submit(set("k", "lost"), 300*time.Millisecond); err == nil {
					t.Error("a cut-off instance takes a write")
				}
			}
			writer := rest[0]
			if way == "to it" { // its word still reaches the others, so it leads on; their calls do not reach it
				if _, err := c.nodes[writer].store.Submit(set("k", "lost"), 300*time.Millisecond); !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
					t.Errorf("a write that cannot arrive: %v", err)
				}
				writer = lead
			}
			c.put(writer, "k", "after")
			if got := get(c.nodes[lead].store, "k"); way == "both" && got != "before" {
				t.Errorf("the cut-off one holds %q", got)
			}
			c.split(false, []string{"a", "b", "c"}, []string{"a", "b", "c"})
			c.put(lead, "k2", "healed")
			c.equal(map[string]string{"k2": "healed"})
		})
	}
}

// A full disk at one instance harms no other, and its own log is whole when it can write again.
func TestAFullDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	for _, id := range []string{c.leader(), c.follower()} {
		full := &fullDisk{}
		c.kill(id)
		c.nodes[id].cfg.Logs = func(l raft.LogStore) raft.LogStore { full.LogStore = l; return full }
		c.open(id)
		c.until("its being in", func() bool { return c.votes(id) && c.nodes[id].store.Mode() != mode.CatchingUp })
		full.set(true)
		for i := range 5 {
			for other := range c.nodes {
				if other != id {
					c.put(other, "k", fmt.Sprint("while ", id, " is full ", i))
				}
			}
		}
		full.set(false)
		c.put(id, "k", "well again")
		c.equal(map[string]string{"k": "well again"})
	}
}

type fullDisk struct {
	raft.LogStore
	mu   sync.Mutex
	full bool
}

func (d *fullDisk) set(full bool) {
	d.mu.Lock()
	d.full = full
	d.mu.Unlock()
}

func (d *fullDisk) StoreLogs(l []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left on device")
	}
	return d.LogStore.StoreLogs(l)
}

func (d *fullDisk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }
