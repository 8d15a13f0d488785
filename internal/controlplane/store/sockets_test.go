package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/experiment/loopback"
)

// socketCluster starts three instances on loopback sockets, and returns a function to start more.
func socketCluster(t *testing.T) (c *cluster, start func(cluster string, p Peer) *Store) {
	t.Helper()
	c = &cluster{t: t, nodes: map[string]*node{}}
	for _, id := range []string{"a", "b", "c"} {
		c.peers = append(c.peers, Peer{id, freeAddress(t), freeAddress(t)})
	}
	start = func(cluster string, p Peer) *Store {
		s, err := Open(Config{Cluster: cluster, ID: p.ID, Address: p.Address, Service: p.Service, Peers: c.peers, DataDir: t.TempDir(), ShortTimeouts: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	for _, p := range c.peers {
		c.nodes[p.ID] = &node{store: start("t", p)}
	}
	return c, start
}

// freeAddress returns a loopback address with a port that is held for a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.HoldAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// A follower forwards a list of twice the planned fleet as one command: 2.6 MB, more than the default write buffer of a
// connection.
func TestLargeCommandOverSockets(t *testing.T) {
	c, _ := socketCluster(t)
	c.put(c.leader(), "k", "v")
	var fleet []string
	for i := range 42000 {
		fleet = append(fleet, fmt.Sprintf("database-%05d.some-zone", i))
	}
	c.waitFor("the list", func() bool { // retried, as its result is unknown if the leader changes meanwhile
		r, err := c.nodes[c.follower()].store.Submit(upsertCommand(fleet...), waitTimeout)
		return err == nil && r.Refused == ""
	})
	for _, s := range c.running() { // no digests: three of 42,000 members take longer than a heartbeat interval
		c.waitFor("the list at "+s.ID(), func() (found bool) {
			s.Read(func(x *catalog.Catalog) { found = x.Counts()["members"] == len(fleet) })
			return found
		})
	}
}

// Over real sockets: writes are forwarded, an instance of another cluster is rejected by the service and the
// replication transport, a saved snapshot is restored, and a corrupt one changes nothing.
func TestOverSockets(t *testing.T) {
	c, start := socketCluster(t)
	peers := c.peers
	for _, p := range peers {
		c.put(p.ID, "k"+p.ID, "v")
	}
	c.waitForEqual(map[string]string{"ka": "v", "kb": "v", "kc": "v"})
	foreign := start("other", Peer{"x", freeAddress(t), freeAddress(t)})
	if r, err := foreign.call(peers[0].Service, &pb.Call{Body: &pb.Call_Join{Join: &pb.Join{Id: "x", Address: "y"}}}, waitTimeout); err != nil || !strings.Contains(r.Refused, `cluster "t"`) {
		t.Errorf("a call from another cluster: %v %v", r, err)
	}
	l := &streamLayer{cluster: "other"}
	if conn, err := l.Dial(raft.ServerAddress(peers[0].Address), waitTimeout); err == nil {
		t.Error("an instance of another cluster may replicate")
		conn.Close()
	}
	leader := c.nodes[c.leader()].store
	path := filepath.Join(t.TempDir(), "saved")
	if err := leader.Save(path); err != nil {
		t.Fatal(err)
	}
	c.put("a", "ka", "later")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Clone(good)
	bad[len(bad)-1] ^= 1
	if err := leader.Restore(bad); !errors.Is(err, catalog.ErrCorrupt) {
		t.Errorf("a corrupt snapshot: %v", err)
	}
	if getValue(leader, "ka") != "later" {
		t.Error("a corrupt snapshot changed the catalog")
	}
	if err := leader.Restore(good); err != nil {
		t.Fatal(err)
	}
	c.waitForEqual(map[string]string{"ka": "v"})
}
