package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/catalog"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/experiment/loopback"
	"aspenshed/internal/experiment/standin"
	"aspenshed/internal/netio"
)

// partitionNetwork is a network that a test can partition.
type partitionNetwork struct {
	inner stream.Network

	mu          sync.Mutex
	partitioned bool
	conns       map[*partitionConn]bool
}

// partitionConn is a connection of a partitionNetwork, and its handler.
type partitionConn struct {
	stream.Conn
	netio.Handler
}

var errPartitioned = errors.New("partitioned by the test")

func newPartitionNetwork(t *testing.T) *partitionNetwork {
	t.Helper()
	n, err := netio.New(netio.Config{Name: "test", MaxDials: 16})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return &partitionNetwork{inner: stream.NewNetwork(n), conns: map[*partitionConn]bool{}}
}

func (n *partitionNetwork) Dial(address string, h netio.Handler) (stream.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned {
		return nil, errPartitioned
	}
	c, err := n.inner.Dial(address, h)
	if err == nil {
		n.conns[&partitionConn{c, h}] = true
	}
	return c, err
}

// setPartitioned closes all connections and rejects new ones, or ends the partition.
func (n *partitionNetwork) setPartitioned(partitioned bool) {
	n.mu.Lock()
	n.partitioned = partitioned
	ended := n.conns
	n.conns = map[*partitionConn]bool{}
	n.mu.Unlock()
	for c := range ended {
		c.Close()
		c.Closed(errPartitioned)
	}
}

// fleet is an installation of three voters and one subscribing gateway.
type fleet struct {
	*Demo
	t       *testing.T
	servers []string
	gateway *Daemon
	path    string // of the gateway's deploy file
	socket  string
	network *partitionNetwork

	inventory string // the gateway's own file for PostgreSQL; empty: none
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, network: newPartitionNetwork(t)}
	for range 3 {
		address, err := loopback.HoldAddress()
		if err != nil {
			t.Fatal(err)
		}
		f.servers = append(f.servers, address)
	}
	next := 0
	serve := func(text string) string {
		text = strings.Replace(text, "store:\n", "store:\n  subscribers: "+f.servers[next]+"\n", 1)
		next++
		return text
	}
	var err error
	f.Demo, err = NewDemo(t.TempDir(), DemoOptions{Instances: 3, Limits: standin.DefaultLimits(), EditConfig: serve})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	f.startGateway()
	return f
}

// startGateway starts the subscriber. Without its own inventory it learns all members from the stream.
func (f *fleet) startGateway() {
	f.t.Helper()
	store := "store:\n  cluster: demonstration\n  id: gw1\n  region: tas\n  zone: tas-1\n  subscribe: [" + strings.Join(f.servers, ", ") + "]\n"
	head, _, _ := strings.Cut(demoConfig, "store:\n")
	text := head + store + "admin:\n  socket: admin.sock\n"
	if f.inventory != "" {
		text = strings.Replace(text, "inventory: postgres.csv", "inventory: "+f.inventory, 1)
	}
	folder := f.t.TempDir()
	for name, content := range map[string]string{"aspenshed.yaml": text, "accounts.yaml": "web: pass\n", "password": standin.Password} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	f.path = filepath.Join(folder, "aspenshed.yaml")
	deploy, err := config.ReadDeploy(f.path)
	if err != nil {
		f.t.Fatal(err)
	}
	f.socket = deploy.Admin.Socket
	if f.gateway, err = New(Config{Deploy: deploy, Path: f.path, Seed: 9, Release: "test", Network: f.network}); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		if err := f.gateway.Kill(); err != nil {
			f.t.Error(err)
		}
	})
}

// callVoter sends a request to the voters until one succeeds.
func (f *fleet) callVoter(q AdminRequest) (json.RawMessage, error) {
	var out json.RawMessage
	err := errors.New("no voter is up")
	for i, d := range f.Instances {
		if d == nil {
			continue
		}
		if out, err = CallAdmin(f.Deploys[i].Admin.Socket, q); err == nil {
			return out, nil
		}
	}
	return out, err
}

// drainAtVoter drains a database at a voter and returns the revision of the voters after it.
func (f *fleet) drainAtVoter(id string) (rev uint64) {
	f.t.Helper()
	eventually(f.t, "a drain at a voter", func() bool {
		_, err := f.callVoter(AdminRequest{Command: "drain", Key: id})
		return err == nil
	})
	for _, d := range f.Instances {
		if d != nil {
			d.Store.Read(func(c *catalog.Catalog) {
				if m := c.Member(id); m != nil && m.DrainedAt != 0 {
					rev = max(rev, c.Index())
				}
			})
		}
	}
	return rev
}

// awaitApplied waits until the voters know that the gateway has applied a revision.
func (f *fleet) awaitApplied(rev uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprintf("revision %d applied by the gateway", rev), func() bool {
		b, err := f.callVoter(AdminRequest{Command: "rollout", Revision: rev})
		var r struct {
			Subscribers uint64 `json:"subscribers"`
			Applied     uint64 `json:"in_force"`
		}
		return err == nil && json.Unmarshal(b, &r) == nil && r.Subscribers == 1 && r.Applied == 1
	})
}

// queryAndCount sends some queries to the gateway and returns how many of them each PostgreSQL database got.
func (f *fleet) queryAndCount(what string) map[string]int {
	f.t.Helper()
	before := f.servedCounts()
	for i := range 20 {
		row, err := QueryUntilServed(f.gateway.Front(WirePostgres).Net.Addr(), what, eventuallyTimeout)
		if err != nil || !strings.HasPrefix(row, what+"-") {
			f.t.Fatalf("%s, query %d: %q %v", what, i, row, err)
		}
	}
	after := f.servedCounts()
	for id := range after {
		after[id] -= before[id]
	}
	return after
}

func (f *fleet) servedCounts() map[string]int {
	out := map[string]int{}
	for _, db := range f.Databases[WirePostgres].DBs() {
		out[db.ID] = db.Report().Served
	}
	return out
}
