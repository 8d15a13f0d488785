package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
)

// newMemberChange returns a commit that sets one member, drained if drainedAt is not 0.
func newMemberChange(t *testing.T, rev uint64, number int, drainedAt, start int64) revision.Change {
	t.Helper()
	m := &pb.Member{Entry: MemberEntry(number, int(rev)), DrainedAt: drainedAt, Start: start}
	value, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	placement := revision.Placement{Group: revision.Group{Wire: memberWire, ID: m.Entry.Group}, Site: m.Entry.Site}
	return revision.Change{Revision: rev, Binding: drainedAt != 0, CommittedAt: time.Now().UnixNano(),
		Record: revision.Record{Key: revision.MemberPrefix + m.Entry.Id, Value: value, Placement: placement}}
}

// startFleet starts a server with one record, and a worker with gateways that subscribe to it.
func startFleet(t *testing.T, gateways int) (*stream.Server, *Worker) {
	t.Helper()
	server, err := stream.NewServer(stream.ServerConfig{Listen: "127.0.0.1:0", Cluster: clusterName})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	server.Reset(1, []revision.Record{newMemberChange(t, 1, 0, 0, 0).Record})
	w := &Worker{}
	t.Cleanup(w.Close)
	do(t, w, Request{Configure: &Configure{Cluster: clusterName, Servers: []string{server.Addr()}, Delays: true, Seed: 1}})
	do(t, w, Request{Start: &Start{Until: gateways}})
	return server, w
}

func do(t *testing.T, w Executor, r Request) Response {
	t.Helper()
	a, err := w.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// waitApplied waits until all reachable gateways have applied a revision.
func waitApplied(t *testing.T, w Executor, rev uint64) (state *FleetState) {
	t.Helper()
	err := waitUntil(t.Context(), "a revision applied everywhere", testTimeout, func() bool {
		state = do(t, w, Request{Report: &Report{Expected: rev}}).Fleet
		return state.Applied == state.Gateways-state.Partitioned
	})
	if err != nil {
		t.Fatalf("%v: %+v", err, state)
	}
	return state
}

func TestFleetAppliesChangesAndSnapshots(t *testing.T) {
	server, w := startFleet(t, 20)
	waitApplied(t, w, 1)
	server.Publish(2, []revision.Change{newMemberChange(t, 2, 1, 0, 0)})
	state := waitApplied(t, w, 2)
	if len(state.Digests) != 1 || state.Connected != 20 || state.Snapshots != 20 || state.Bytes == 0 {
		t.Errorf("%+v", state)
	}
	total := newFleetTotal()
	if err := total.add(state, 1); err != nil || total.applyLatency.TotalCount() != 20 || total.snapshotLatency.TotalCount() != 20 {
		t.Errorf("%v, %d changes, %d snapshots", err, total.applyLatency.TotalCount(), total.snapshotLatency.TotalCount())
	}
	zone := 1
	do(t, w, Request{Restart: &Restart{Zone: &zone}})
	if state := waitApplied(t, w, 2); state.Snapshots != 21 {
		t.Errorf("only gateway 1 is in zone 1: %+v", state)
	}
	do(t, w, Request{Stop: &Stop{From: 5, Until: 20}})
	if state := waitApplied(t, w, 2); state.Gateways != 5 {
		t.Errorf("%+v", state)
	}
}

func TestFleetDetectsUndoneDrains(t *testing.T) {
	server, w := startFleet(t, 2)
	waitApplied(t, w, 1)
	server.Publish(2, []revision.Change{newMemberChange(t, 2, 0, 77, 0)})
	server.Publish(3, []revision.Change{newMemberChange(t, 3, 0, 77, 0)})
	if state := waitApplied(t, w, 3); state.UndoneDrains != 0 {
		t.Errorf("the drain still holds: %+v", state)
	}
	server.Publish(4, []revision.Change{newMemberChange(t, 4, 0, 0, 100)})
	if state := waitApplied(t, w, 4); state.UndoneDrains != 0 {
		t.Errorf("a newer start ends a drain: %+v", state)
	}
	server.Publish(5, []revision.Change{newMemberChange(t, 5, 0, 77, 100)})
	waitApplied(t, w, 5)
	server.Publish(6, []revision.Change{newMemberChange(t, 6, 0, 0, 100)})
	if state := waitApplied(t, w, 6); state.UndoneDrains != 2 {
		t.Errorf("both gateways must detect the undone drain: %+v", state)
	}
}

func TestPartitionedRegionReceivesNothingUntilHealed(t *testing.T) {
	server, w := startFleet(t, 19)
	waitApplied(t, w, 1)
	do(t, w, Request{Partition: &Partition{Region: partitionedRegion}})
	server.Publish(2, []revision.Change{newMemberChange(t, 2, 1, 0, 0)})
	state := waitApplied(t, w, 2)
	if state.Partitioned != 2 || state.Applied != 17 {
		t.Errorf("two of 19 zones are in the region: %+v", state)
	}
	do(t, w, Request{Partition: &Partition{Region: partitionedRegion, Healed: true}})
	if state := waitApplied(t, w, 2); state.Partitioned != 0 || state.Applied != 19 {
		t.Errorf("%+v", state)
	}
}

func TestWorkerServesRequestsLineByLine(t *testing.T) {
	requests, in := io.Pipe()
	out, responses := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- new(Worker).Serve(t.Context(), requests, responses) }()
	lines := bufio.NewScanner(out)
	send := func(line string) (a Response) {
		if _, err := io.WriteString(in, line+"\n"); err != nil {
			t.Fatal(err)
		}
		if !lines.Scan() || json.Unmarshal(lines.Bytes(), &a) != nil {
			t.Fatalf("%q: %q %v", line, lines.Text(), lines.Err())
		}
		return a
	}
	for line, want := range map[string]string{
		`{"start":{"until":1}}`: ErrNotConfigured.Error(), `{`: "unexpected end of JSON input", `{"start":{"until":"x"}}`: "json: cannot unmarshal string into Go struct field Start.start.until of type int",
	} {
		if a := send(line); a.Error != want {
			t.Errorf("%s: %q", line, a.Error)
		}
	}
	if a := send(`{"configure":{"cluster":"c"}}`); a.Error != "" {
		t.Error(a.Error)
	}
	if a := send(`{"start":{"until":100000}}`); a.Error == "" {
		t.Error("more gateways than the limit were accepted")
	}
	if a := send(`{"report":{}}`); a.Fleet == nil || a.Fleet.Gateways != 0 || a.Fleet.Usage.Memory == 0 {
		t.Errorf("%+v", a)
	}
	_ = in.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
