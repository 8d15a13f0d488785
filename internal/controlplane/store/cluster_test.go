package store

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
)

const waitTimeout = 30 * time.Second // for conditions that must become true

// cluster runs several instances in one process; replication and calls between them can be blocked.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	blocked map[[2]string]bool // from, to
	nodes   map[string]*node
	peers   []Peer
}

type node struct {
	cfg       Config
	store     *Store // nil: down
	transport *raft.InmemTransport
}

func newCluster(t *testing.T, ids ...string) *cluster {
	c := &cluster{t: t, blocked: map[[2]string]bool{}, nodes: map[string]*node{}}
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

// newVotingCluster returns a cluster of which all instances vote, so that the loss of any one leaves a quorum. They join
// one after another: with two voters and a third instance that does not vote yet, no one may be lost.
func newVotingCluster(t *testing.T, ids ...string) *cluster {
	c := newCluster(t, ids...)
	for _, id := range ids {
		c.waitFor("the votes of all, as known to "+id, func() bool { return c.countVoters(id) == len(ids) })
	}
	return c
}

// countVoters returns the number of voters in the latest configuration that an instance knows.
func (c *cluster) countVoters(id string) (count int) {
	for _, server := range c.nodes[id].store.Status().Servers {
		if server.Voter {
			count++
		}
	}
	return count
}

func (c *cluster) add(id string) *node {
	n := &node{cfg: Config{Cluster: "t", ID: id, Address: "r-" + id, Service: "s-" + id, Peers: c.peers, DataDir: c.t.TempDir(), ShortTimeouts: true}}
	n.cfg.Caller = testCaller{c, id}
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
	_, n.transport = raft.NewInmemTransportWithTimeout(raft.ServerAddress(n.cfg.Address), 500*time.Millisecond)
	n.cfg.Transport = n.transport
	c.updateConnections()
	s, err := Open(n.cfg)
	c.mu.Lock()
	n.store = s
	c.mu.Unlock()
	return err
}

// kill stops an instance.
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
		n.transport.DisconnectAll()
		for _, x := range c.nodes {
			if x.transport != nil {
				x.transport.Disconnect(raft.ServerAddress(n.cfg.Address))
			}
		}
	}
}

// updateConnections connects all instances whose link is not blocked.
func (c *cluster) updateConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, x := range c.nodes {
		for b, y := range c.nodes {
			if a == b || x.transport == nil || y.transport == nil {
				continue
			}
			if c.blocked[[2]string{a, b}] {
				x.transport.Disconnect(raft.ServerAddress(y.cfg.Address))
			} else {
				x.transport.Connect(raft.ServerAddress(y.cfg.Address), y.transport)
			}
		}
	}
}

// setBlocked blocks or unblocks messages from any of from to any of to.
func (c *cluster) setBlocked(cut bool, from, to []string) {
	c.mu.Lock()
	for _, a := range from {
		for _, b := range to {
			c.blocked[[2]string{a, b}] = cut
		}
	}
	c.mu.Unlock()
	c.updateConnections()
}

// testCaller sends the calls of one instance to the others.
type testCaller struct {
	c    *cluster
	from string
}

func (x testCaller) Call(service string, call *pb.Call, _ time.Duration) (*pb.Reply, error) {
	to := service[2:]
	find := func(from, to string) *Store {
		x.c.mu.Lock()
		defer x.c.mu.Unlock()
		if n := x.c.nodes[to]; n != nil && !x.c.blocked[[2]string{from, to}] {
			return n.store
		}
		return nil
	}
	s := find(x.from, to)
	if s == nil {
		return nil, ErrUnavailable
	}
	r := s.handleCall(call)
	if find(to, x.from) == nil { // the response is lost
		return nil, ErrUnknown
	}
	return r, nil
}

func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for id, n := range c.nodes {
				if n.store != nil {
					c.t.Logf("%s: %+v", id, n.store.Status())
				}
			}
			c.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (c *cluster) isVoter(id string) bool {
	s := c.nodes[id].store
	r := s.raft.Load()
	return r != nil && s.isVoter(r)
}

func (c *cluster) running() (out []*Store) {
	for _, p := range c.nodes {
		if p.store != nil {
			out = append(out, p.store)
		}
	}
	return out
}

func (c *cluster) leader() (id string) {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
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

// put retries a write until it succeeds.
func (c *cluster) put(from, key, value string) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		r, err := c.nodes[from].store.Submit(setCommand(key, value), 3*time.Second)
		if err == nil && r.Refused == "" {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("put %s from %s: %v %v", key, from, r, err)
		}
	}
}

func setCommand(key, value string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte(value)}}}
}

func getValue(s *Store, key string) (value string) {
	s.Read(func(c *catalog.Catalog) { value = string(c.Pair(key).GetValue()) })
	return value
}

// waitForEqual waits until all running instances have equal catalogs with the values that are wanted. Equal alone is not
// enough: instances that were all restarted are equal while all of them lack the same entries.
func (c *cluster) waitForEqual(want map[string]string) {
	c.t.Helper()
	c.waitFor("equal catalogs", func() bool {
		digests := map[string]bool{}
		for _, s := range c.running() {
			s.Read(func(x *catalog.Catalog) {
				d, err := x.Digest()
				digests[fmt.Sprint(d, err)] = true
			})
		}
		return len(digests) == 1 && c.allHave(want)
	})
}

func (c *cluster) allHave(want map[string]string) bool {
	for _, s := range c.running() {
		for k, v := range want {
			if getValue(s, k) != v {
				return false
			}
		}
	}
	return true
}

// store returns the store of an instance, nil while it is down.
func (c *cluster) store(id string) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id].store
}
