package store

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// socketCluster is three instances that speak over loopback, and how to start a further one.
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

// freeAddress is an ephemeral port, given back for an instance.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A list of twice the planned fleet goes through a follower as one command: 2.6 MB, more than a connection queues
// unless it is told to.
func TestLargeCommandOverSockets(t *testing.T) {
	c, _ := socketCluster(t)
	c.put(c.leader(), "k", "v")
	var fleet []string
	for i := range 42000 {
		fleet = append(fleet, fmt.Sprintf("database-%05d.some-zone", i))
	}
	c.waitFor("the list", func() bool { // a leader that is replaced meanwhile leaves it in doubt: it is sent again
		r, err := c.nodes[c.follower()].store.Submit(upsertCommand(fleet...), waitTimeout)
		return err == nil && r.Refused == ""
	})
	for _, s := range c.running() { // not by digests: to take three of 42,000 members lasts longer than from one beat to the next
		c.waitFor("the list at "+s.ID(), func() (there bool) {
			s.Read(func(x *catalog.Catalog) { there = x.Counts()["members"] == len(fleet) })
			return there
		})
	}
}

// Over real sockets: writes are forwarded, an instance of another cluster is turned away at both doors, a snapshot
// saved by hand is restored, and a bad one changes nothing.
func TestOverSockets(t *testing.T) {
	c, start := socketCluster(t)
	peers := c.peers
	for _, p := range peers {
		c.put(p.ID, "k"+p.ID, "v")
	}
	c.waitForEqual(map[string]string{"ka": "v", "kb": "v", "kc": "v"})
	stranger := start("other", Peer{"x", freeAddress(t), freeAddress(t)})
	if r, err := stranger.call(peers[0].Service, &pb.Call{Body: &pb.Call_Join{Join: &pb.Join{Id: "x", Address: "y"}}}, waitTimeout); err != nil || !strings.Contains(r.Refused, `cluster "t"`) {
		t.Errorf("the stranger's call: %v %v", r, err)
	}
	l := &streamLayer{cluster: "other"}
	if conn, err := l.Dial(raft.ServerAddress(peers[0].Address), waitTimeout); err == nil {
		t.Error("the stranger may replicate")
		conn.Close()
	}
	lead := c.nodes[c.leader()].store
	path := filepath.Join(t.TempDir(), "saved")
	if err := lead.Save(path); err != nil {
		t.Fatal(err)
	}
	c.put("a", "ka", "later")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Clone(good)
	bad[len(bad)-1] ^= 1
	if err := lead.Restore(bad); !errors.Is(err, catalog.ErrCorrupt) {
		t.Errorf("a damaged snapshot: %v", err)
	}
	if getValue(lead, "ka") != "later" {
		t.Error("a damaged snapshot changed something")
	}
	if err := lead.Restore(good); err != nil {
		t.Fatal(err)
	}
	c.waitForEqual(map[string]string{"ka": "v"})
}
