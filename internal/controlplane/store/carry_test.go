package store

import (
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
)

// numberedBatch returns a batch of commands with a subscriber's origin and sequence numbers.
func numberedBatch(origin string, first uint64, commands ...*pb.Command) *pb.Batch {
	b := &pb.Batch{}
	for i, x := range commands {
		x = proto.Clone(x).(*pb.Command)
		x.Origin, x.Seq = origin, first+uint64(i)
		b.Commands = append(b.Commands, x)
	}
	return b
}

func reportPrimaryCommand(member string, at int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: &pb.ReportPrimary{Member: member, At: at}}}
}

// submitCounter counts the batches that an instance sends to the leader.
type submitCounter struct {
	Caller
	n *atomic.Int64
}

func (x submitCounter) Call(service string, call *pb.Call, limit time.Duration) (*pb.Reply, error) {
	if _, ok := call.Body.(*pb.Call_Submit); ok {
		x.n.Add(1)
	}
	return x.Caller.Call(service, call, limit)
}

// Of many gateways' reports of one event, only the first makes a log entry. The others are answered as done, while
// other commands in their batches are applied.
func TestRedundantReportsMakeNoLogEntry(t *testing.T) {
	s, err := Open(Config{ID: "only"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if r, err := s.Submit(upsertCommand("m1", "m2"), waitTimeout); err != nil || r.Refused != "" {
		t.Fatal(r, err)
	}
	now := time.Now().UnixNano()
	forward := func(b *pb.Batch) []*pb.Result {
		t.Helper()
		r := s.ForwardBatch(b)
		if r.Refused != "" || len(r.Results) != len(b.Commands) {
			t.Fatalf("%v: %v", b, r)
		}
		return r.Results
	}
	index := func() (i uint64) {
		s.Read(func(c *catalog.Catalog) { i = c.Index() })
		return i
	}
	start := &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: "m1", Start: now}}}
	drain := &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: "m1", Start: now}}}
	for _, r := range forward(numberedBatch("g1/1", 1, start, drain, reportPrimaryCommand("m2", now))) {
		if r.Refused != "" {
			t.Error(r.Refused)
		}
	}
	first := index()
	for _, b := range []*pb.Batch{
		numberedBatch("g2/1", 1, start, drain, reportPrimaryCommand("m2", now)),
		// A slightly later report of the same primary and an older report.
		numberedBatch("g3/1", 1, reportPrimaryCommand("m2", now+1e9), reportPrimaryCommand("m1", now-1)),
		numberedBatch("g4/1", 1, &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: "m1", Start: now - 1}}}),
	} {
		for i, r := range forward(b) {
			if r.Refused != "" || r.Seq != b.Commands[i].Seq {
				t.Errorf("%v: %v", b.Commands[i], r)
			}
		}
	}
	if index() != first {
		t.Errorf("%d log entries for redundant reports", index()-first)
	}
	mixed := forward(numberedBatch("g5/1", 1, drain, setCommand("k", "v"), drain))
	if index() != first+1 || mixed[0].Version != 0 || mixed[1].Version != 1 || mixed[1].Seq != 2 || mixed[2].Seq != 3 {
		t.Errorf("%d log entries, results %v", index()-first, mixed)
	}
	again := forward(numberedBatch("g5/1", 2, setCommand("k", "v")))
	if !again[0].Repeated || again[0].Version != 1 {
		t.Errorf("a duplicate batch: %v", again)
	}
	forward(numberedBatch("g6/1", 1, reportPrimaryCommand("m1", now+2)))
	s.Read(func(c *catalog.Catalog) {
		if w := c.GroupSummaries()[catalog.Group{}]; w.Primary != "m1" || w.PrimaryAt != now+2 {
			t.Errorf("the newest report: %+v", w)
		}
	})
}

func TestForwardBatchRefusesInvalidBatches(t *testing.T) {
	s, err := Open(Config{ID: "only"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, b := range []*pb.Batch{nil, {}, {Commands: make([]*pb.Command, commandqueue.MaxBatch+1)}} {
		if r := s.ForwardBatch(b); r.Refused == "" {
			t.Errorf("a batch of %d commands: %v", len(b.GetCommands()), r)
		}
	}
	beat := &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: "g"}}}
	learn := &pb.Command{Body: &pb.Command_Learn{Learn: &pb.Learn{Instance: "g"}}}
	for _, b := range []*pb.Batch{{Commands: []*pb.Command{setCommand("k", "v")}}, numberedBatch("g/1", 1, beat), numberedBatch("g/1", 2, learn)} {
		if r := s.ForwardBatch(b); r.Refused != "" || len(r.Results) != 1 || r.Results[0].Refused == "" {
			t.Errorf("%v: %v", b, r)
		}
	}
	s.Read(func(c *catalog.Catalog) {
		if c.Index() != 0 {
			t.Errorf("%d entries", c.Index())
		}
	})
}

// A follower forwards a batch to the leader, unless all of it is redundant. Without a leader it replies that nothing
// was done and that the batch may be retried.
func TestForwardBatchThroughFollower(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.submit(c.leader(), upsertCommand("m1"))
	id := c.follower()
	submits := &atomic.Int64{}
	c.kill(id)
	c.nodes[id].cfg.WrapCaller = func(x Caller) Caller { return submitCounter{x, submits} }
	c.open(id)
	s := c.nodes[id].store
	var start int64
	c.waitFor("the member", func() (found bool) {
		s.Read(func(x *catalog.Catalog) {
			if m := x.Member("m1"); m != nil {
				found, start = true, m.Start
			}
		})
		return found
	})
	drain := &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: "m1", Start: start}}}
	c.waitFor("the drain", func() bool { return s.ForwardBatch(numberedBatch("g1/1", 1, drain)).Refused == "" })
	c.waitFor("the drain at the follower", func() (found bool) {
		s.Read(func(x *catalog.Catalog) { found = x.Member("m1").DrainedAt != 0 })
		return found
	})
	others := []string{"a", "b", "c"}
	c.setBlocked(true, []string{id}, others)
	c.setBlocked(true, others, []string{id})
	if r := s.ForwardBatch(numberedBatch("g2/1", 1, drain)); r.Refused != "" {
		t.Errorf("a redundant command while disconnected: %v", r)
	}
	before := submits.Load()
	if r := s.ForwardBatch(numberedBatch("g2/1", 2, setCommand("k", "v"))); r.Refused == "" || !r.Retry {
		t.Errorf("a new command while disconnected: %v", r)
	}
	c.setBlocked(false, others, others)
	c.waitFor("the repaired connection", func() bool { return s.ForwardBatch(numberedBatch("g2/1", 2, setCommand("k", "v"))).Refused == "" })
	if submits.Load() == before {
		t.Error("no batch was sent to the leader")
	}
	c.waitForEqual(map[string]string{"k": "v"})
}
