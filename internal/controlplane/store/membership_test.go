package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
)

// An instance that lost its disk may have voted before, so it has to join again before it votes.
func TestInstanceWithEmptyDiskRejoins(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	id := c.follower()
	c.kill(id)
	if err := os.RemoveAll(c.nodes[id].cfg.DataDir); err != nil {
		t.Fatal(err)
	}
	c.open(id)
	c.waitFor("its vote", func() bool { return c.isVoter(id) && c.nodes[id].store.Mode() == mode.Following })
	c.put(id, "k2", "v2")
	c.waitForEqual(map[string]string{"k": "v", "k2": "v2"})
}

// A new instance joins although it is killed meanwhile, and a failed instance is removed.
func TestMembershipChanges(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	c.add("d")
	c.open("d")
	c.waitFor("the start of its replication", func() bool { return c.nodes["d"].store.raft.Load() != nil })
	c.kill("d")
	c.open("d")
	c.waitFor("its vote", func() bool { return c.isVoter("d") })
	c.kill("c")
	if err := c.nodes[c.leader()].store.RemoveInstance("c", waitTimeout); err != nil {
		t.Fatal(err)
	}
	s := c.nodes["d"].store
	c.waitFor("three instances", func() bool { return len(s.Status().Servers) == 3 })
	c.put("d", "k2", "v2")
	c.waitForEqual(map[string]string{"k": "v", "k2": "v2"})
}

// submitBlocker is a Caller that blocks submitted commands.
type submitBlocker struct{ Caller }

func (c submitBlocker) Call(service string, call *pb.Call, limit time.Duration) (*pb.Reply, error) {
	if call.GetSubmit() != nil {
		return nil, ErrUnavailable
	}
	return c.Caller.Call(service, call, limit)
}

// An instance that failed before its first heartbeat was committed has no record in the catalog, and can be removed.
func TestRemoveInstanceWithoutHeartbeat(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	c.add("d").cfg.WrapCaller = func(all Caller) Caller { return submitBlocker{all} }
	c.open("d")
	c.waitFor("its vote", func() bool { return c.isVoter("d") })
	c.kill("d")
	lead := c.nodes[c.leader()].store
	lead.Read(func(x *catalog.Catalog) {
		if slices.ContainsFunc(x.Instances(), func(i *pb.Instance) bool { return i.Id == "d" }) {
			t.Fatal("its heartbeat was committed")
		}
	})
	if err := lead.RemoveInstance("d", waitTimeout); err != nil {
		t.Error(err)
	}
	if err := lead.RemoveInstance("never-there", waitTimeout); err == nil {
		t.Error("an unknown id was removed")
	}
}

// One instance is partitioned, in both directions or one: it serves its last state, and is equal to the others after
// the partition. Its own writes fail as not done or unknown and are never reported as done.
func TestPartitionedInstanceRecovers(t *testing.T) {
	for _, way := range []string{"both", "to it", "from it"} {
		t.Run(way, func(t *testing.T) {
			c := newVotingCluster(t, "a", "b", "c")
			lead := c.leader() // the leader is in the smaller partition
			c.put(lead, "k", "before")
			var rest []string
			for id := range c.nodes {
				if id != lead {
					rest = append(rest, id)
				}
			}
			if way != "from it" {
				c.setBlocked(true, rest, []string{lead})
			}
			if way != "to it" {
				c.setBlocked(true, []string{lead}, rest)
			}
			if way == "both" {
				c.waitFor("the mode of the disconnected instance", func() bool { return c.nodes[lead].store.Mode() == mode.Disconnected })
				if err := c.nodes[lead].store.ReadLatest(300*time.Millisecond, func(*catalog.Catalog) {}); err == nil {
					t.Error("ReadLatest succeeds on a disconnected instance")
				}
				if _, err := c.nodes[lead].store.Submit(setCommand("k", "lost"), 300*time.Millisecond); err == nil {
					t.Error("a write succeeds on a disconnected instance")
				}
			}
			writer := rest[0]
			if way == "to it" { // its heartbeats reach the others, so it stays the leader; their calls fail
				if _, err := c.nodes[writer].store.Submit(setCommand("k", "lost"), 300*time.Millisecond); !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
					t.Errorf("a write that cannot arrive: %v", err)
				}
				writer = lead
			}
			c.put(writer, "k", "after")
			if got := getValue(c.nodes[lead].store, "k"); way == "both" && got != "before" {
				t.Errorf("the disconnected instance has %q", got)
			}
			c.setBlocked(false, []string{"a", "b", "c"}, []string{"a", "b", "c"})
			c.put(lead, "k2", "healed")
			c.waitForEqual(map[string]string{"k2": "healed"})
		})
	}
}

// A full disk of one instance does not affect the others, and its log is complete once it can write again.
func TestFullDisk(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.put(c.leader(), "k", "v")
	for _, id := range []string{c.leader(), c.follower()} {
		full := &fullDisk{}
		c.kill(id)
		c.nodes[id].cfg.WrapLogStore = func(l raft.LogStore) raft.LogStore { full.LogStore = l; return full }
		c.open(id)
		c.waitFor("its vote and mode", func() bool { return c.isVoter(id) && c.nodes[id].store.Mode() != mode.CatchingUp })
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
		c.waitForEqual(map[string]string{"k": "well again"})
	}
}

// fullDisk is a log store whose writes can be made to fail.
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

// Writes survive the kill and restart of the leader, of a follower, and then of all instances.
func TestKilledInstancesRecoverFromDisk(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
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
	c.waitForEqual(want)
	for id := range c.nodes {
		c.kill(id)
	}
	for id := range c.nodes {
		c.open(id)
	}
	c.leader()
	c.waitForEqual(want)
}
