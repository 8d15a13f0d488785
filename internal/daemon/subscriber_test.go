package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenshed/internal/controlplane/catalog"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/experiment/loopback"
	"aspenshed/internal/experiment/standin"
)

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
	f.moveInInventory(t, WirePostgres, id, 1, moved)
	f.Instances[0].Reload()
	eventually(t, "the moved member at the gateway", func() bool { return group() == moved })

	f.gateway.Reload()
	f.gateway.RunOnLoop(func() {})         // it has reloaded
	f.awaitApplied(f.drainAtVoter("po-b")) // and its agent has posted what it made of that
	if got := group(); got != moved {
		t.Errorf("after the reload the member is in group %d", got)
	}

	// What it did not publish does not return with later versions either.
	f.moveInInventory(t, WirePostgres, id, 1, moved+1)
	f.Instances[1].Reload()
	eventually(t, "the member moved once more at the gateway", func() bool { return group() == moved+1 })
}
