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

// A gateway without vote, log and disk serves the members that the voters know. A drain at a voter reaches it, even one
// during a partition, and it connects to another voter when its voter is killed.
func TestSubscribingGateway(t *testing.T) {
	f := newFleet(t)
	f.queryAndCount("whole")
	f.awaitApplied(f.drainAtVoter("po-b"))
	if got := f.queryAndCount("drained"); got["po-b"] != 0 {
		t.Errorf("a drained database got queries: %v", got)
	}

	f.network.setPartitioned(true)
	eventually(t, "the gateway noticing the partition", func() bool { return f.gateway.Status().Mode == modeDisconnected })
	missed := f.drainAtVoter("po-c")
	if got := f.queryAndCount("cut"); got["po-b"] != 0 {
		t.Errorf("during the partition, a drained database got queries: %v", got)
	}
	f.network.setPartitioned(false)
	f.awaitApplied(missed)
	if got := f.queryAndCount("healed"); got["po-b"]+got["po-c"] != 0 {
		t.Errorf("after the partition, drained databases got queries: %v", got)
	}

	connected := f.gateway.Status().Client.Server
	for i, d := range f.Instances {
		if d.Server.Addr() != connected {
			continue
		}
		if err := d.Kill(); err != nil {
			t.Error(err)
		}
		f.Instances[i] = nil
	}
	f.queryAndCount("killed")
	if _, err := f.waitPut("after", "the kill"); err != nil {
		t.Error(err)
	}
	eventually(t, "what was written after the kill", func() bool {
		b, err := CallAdmin(f.socket, AdminRequest{Command: "get", Key: "after"})
		return err == nil && strings.Contains(string(b), "the kill")
	})
	if got := f.gateway.Status().Client; got.Server == connected || !got.Subscribed {
		t.Errorf("the gateway's stream: %+v", got)
	}
}

// waitPut writes a pair through the gateway, retrying until there is a leader.
func (f *fleet) waitPut(key, value string) (out json.RawMessage, err error) {
	eventually(f.t, "a write through the gateway", func() bool {
		out, err = CallAdmin(f.socket, AdminRequest{Command: "put", Key: key, Value: value})
		return err == nil
	})
	return out, err
}

// Administration works through a subscriber; commands that need a vote are refused with a clear error.
func TestAdministrationOfASubscriber(t *testing.T) {
	f := newFleet(t)
	eventually(t, "members", func() bool {
		b, err := CallAdmin(f.socket, AdminRequest{Command: "members"})
		return err == nil && strings.Count(string(b), `"in_service"`) == 6
	})
	if _, err := f.waitPut("k", "v"); err != nil {
		t.Error(err)
	}
	eventually(t, "the pair", func() bool {
		b, err := CallAdmin(f.socket, AdminRequest{Command: "get", Key: "k"})
		return err == nil && strings.Contains(string(b), `"value":"v"`)
	})
	if _, err := CallAdmin(f.socket, AdminRequest{Command: "drain", Key: "my-b"}); err != nil {
		t.Errorf("drain: %v", err)
	}
	eventually(t, "the drain at a voter", func() bool {
		b, err := f.callVoter(AdminRequest{Command: "members"})
		return err == nil && strings.Contains(string(b), `"draining"`)
	})
	for _, do := range voterOnly {
		if _, err := CallAdmin(f.socket, AdminRequest{Command: do, Key: "/tmp/x"}); err == nil || !strings.Contains(err.Error(), "has no vote") {
			t.Errorf("%s: %v", do, err)
		}
	}
	if _, err := CallAdmin(f.socket, AdminRequest{Command: "get", Key: "k", Latest: true}); err == nil || !strings.Contains(err.Error(), "has no vote") {
		t.Errorf("the latest: %v", err)
	}
	var s Status
	b, err := CallAdmin(f.socket, AdminRequest{Command: "status"})
	if err != nil || json.Unmarshal(b, &s) != nil || s.Mode != modeSubscribed || s.Client == nil || s.Client.BytesIn == 0 || s.Applied == 0 {
		t.Errorf("status: %s %v", b, err)
	}
	eventually(t, "a voter that counts its subscriber", func() bool {
		for _, d := range f.Instances {
			if s := d.Status(); s.Server != nil && s.Server.Connections == 1 {
				return true
			}
		}
		return false
	})
}

// A drain at the socket of a partitioned gateway takes effect there immediately, and at the voters after the partition.
func TestDrainAtAPartitionedGateway(t *testing.T) {
	f := newFleet(t)
	f.queryAndCount("whole")
	f.network.setPartitioned(true)
	eventually(t, "the gateway noticing the partition", func() bool { return f.gateway.Status().Mode == modeDisconnected })
	if _, err := CallAdmin(f.socket, AdminRequest{Command: "drain", Key: "po-c"}); err == nil || !strings.Contains(err.Error(), "drained on this instance only") {
		t.Errorf("a drain during the partition: %v", err)
	}
	if got := f.queryAndCount("cut"); got["po-c"] != 0 {
		t.Errorf("a drained database got queries: %v", got)
	}
	f.network.setPartitioned(false)
	eventually(t, "the drain at the voters", func() bool {
		draining := false
		f.Instances[0].Store.Read(func(c *catalog.Catalog) { draining = c.Member("po-c").GetDrainedAt() != 0 })
		return draining
	})
	if got := f.queryAndCount("healed"); got["po-c"] != 0 {
		t.Errorf("after the partition the drained database got queries: %v", got)
	}
}

// newLoneGateway returns a gateway that reaches no voter, and has an inventory of two databases.
func newLoneGateway(t *testing.T) *fleet {
	t.Helper()
	group, err := standin.NewGroup(standin.Postgres, standin.DefaultLimits(), "po-a", "po-b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Stop)
	nowhere, err := loopback.HoldAddress()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, network: newPartitionNetwork(t), servers: []string{nowhere},
		Demo: &Demo{Dir: t.TempDir(), Databases: map[string]*standin.Group{WirePostgres: group}}}
	if err := f.WriteInventory(WirePostgres, 1, ""); err != nil {
		t.Fatal(err)
	}
	f.inventory = filepath.Join(f.Dir, "postgres.csv")
	f.startGateway()
	return f
}

// A gateway that reaches no voter serves the members of its own inventory file.
func TestGatewayWithoutVotersUsesItsOwnInventory(t *testing.T) {
	f := newLoneGateway(t)
	f.queryAndCount("alone")
	if got := f.gateway.Status(); got.Mode != modeDisconnected || got.Applied != 0 {
		t.Errorf("status %+v", got)
	}
}

// Guards against a drain that nobody hears: at the socket of a gateway that has reached no voter yet it holds there at once.
func TestDrainAtAGatewayThatHasReachedNoVoter(t *testing.T) {
	f := newLoneGateway(t)
	f.queryAndCount("before")
	if _, err := CallAdmin(f.socket, AdminRequest{Command: "drain", Key: "po-b"}); err == nil || !strings.Contains(err.Error(), "drained on this instance only") {
		t.Errorf("the drain: %v", err)
	}
	if _, err := CallAdmin(f.socket, AdminRequest{Command: "drain", Key: "unknown"}); err == nil || strings.Contains(err.Error(), "drained") {
		t.Errorf("a drain of an unknown member: %v", err)
	}
	if got := f.queryAndCount("drained"); got["po-b"] != 0 {
		t.Errorf("a drained database got queries: %v", got)
	}
}

// A reload applies a change of the servers to subscribe to.
func TestReloadChangesTheServersToSubscribeTo(t *testing.T) {
	server, err := stream.NewServer(stream.ServerConfig{Listen: "127.0.0.1:0", Cluster: "demonstration"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	server.Reset(7, nil)
	nowhere, err := loopback.HoldAddress()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, network: newPartitionNetwork(t), servers: []string{nowhere}}
	f.startGateway()
	text, err := os.ReadFile(f.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.path, []byte(strings.Replace(string(text), nowhere, server.Addr(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	f.gateway.Reload()
	eventually(t, "the other server's revision", func() bool { return f.gateway.Status().Applied == 7 })
}

// Guards against a subscriber that goes by its own inventory file again: SIGHUP, by which it takes new servers, has its outdated file
// count no more than its start did. The agreed list stays in use, whatever was agreed on before or after.
func TestReloadAtASubscriberKeepsTheAgreedList(t *testing.T) {
	const moved = 9
	f := newFleet(t)
	id := f.Databases[WirePostgres].DBs()[2].ID
	own, err := os.ReadFile(filepath.Join(f.Dir, WirePostgres+".csv"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(f.path), WirePostgres+".csv"), own, 0o600); err != nil {
		t.Fatal(err)
	}
	group := func() int {
		gateway := Demo{Instances: []*Daemon{f.gateway}}
		if groups := gateway.groupsOf(WirePostgres, id); len(groups) == 1 {
			return groups[0]
		}
		return 0
	}
	eventually(t, "the member in the agreed list", func() bool { return group() == 1 })
	f.moveInInventory(WirePostgres, id, 1, moved)
	f.Instances[0].Reload()
	eventually(t, "the moved member at the gateway", func() bool { return group() == moved })

	f.gateway.Reload()
	f.gateway.RunOnLoop(func() {})         // it has reloaded
	f.awaitApplied(f.drainAtVoter("po-b")) // and its agent has posted what it made of that
	if got := group(); got != moved {
		t.Errorf("after the reload the member is in group %d", got)
	}

	// What it did not publish does not return with later versions either.
	f.moveInInventory(WirePostgres, id, 1, moved+1)
	f.Instances[1].Reload()
	eventually(t, "the member moved once more at the gateway", func() bool { return group() == moved+1 })
}
