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

// numberedBatch gives commands a subscriber's origin and numbers.
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

// What a thousand gateways report of one event becomes one entry of the log: the first report. The others are answered
// as done, and what a batch holds besides is carried out.
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
	carry := func(b *pb.Batch) []*pb.Result {
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
	for _, r := range carry(numberedBatch("g1/1", 1, start, drain, reportPrimaryCommand("m2", now))) {
		if r.Refused != "" {
			t.Error(r.Refused)
		}
	}
	first := index()
	for _, b := range []*pb.Batch{
		numberedBatch("g2/1", 1, start, drain, reportPrimaryCommand("m2", now)),
		numberedBatch("g3/1", 1, reportPrimaryCommand("m2", now+1e9), reportPrimaryCommand("m1", now-1)), // the same primary a little later; an older report
		numberedBatch("g4/1", 1, &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: "m1", Start: now - 1}}}),
	} {
		for i, r := range carry(b) {
			if r.Refused != "" || r.Seq != b.Commands[i].Seq {
				t.Errorf("%v: %v", b.Commands[i], r)
			}
		}
	}
	if index() != first {
		t.Errorf("%d entries for what was known", index()-first)
	}
	mixed := carry(numberedBatch("g5/1", 1, drain, setCommand("k", "v"), drain))
	if index() != first+1 || mixed[0].Version != 0 || mixed[1].Version != 1 || mixed[1].Seq != 2 || mixed[2].Seq != 3 {
		t.Errorf("%d entries, results %v", index()-first, mixed)
	}
	again := carry(numberedBatch("g5/1", 2, setCommand("k", "v")))
	if !again[0].Repeated || again[0].Version != 1 {
		t.Errorf("a batch that came twice: %v", again)
	}
	carry(numberedBatch("g6/1", 1, reportPrimaryCommand("m1", now+2)))
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

// A voter that does not lead carries a batch to the leader once, and not at all where nothing of it is needed. Without
// a leader the subscriber is told that nothing was done.
func TestForwardBatchThroughFollower(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit(c.leader(), upsertCommand("m1"))
	id := c.follower()
	submits := &atomic.Int64{}
	c.kill(id)
	c.nodes[id].cfg.WrapCaller = func(x Caller) Caller { return submitCounter{x, submits} }
	c.open(id)
	s := c.nodes[id].store
	var start int64
	c.waitFor("the member", func() (there bool) {
		s.Read(func(x *catalog.Catalog) {
			if m := x.Member("m1"); m != nil {
				there, start = true, m.Start
			}
		})
		return there
	})
	drain := &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: "m1", Start: start}}}
	c.waitFor("the drain", func() bool { return s.ForwardBatch(numberedBatch("g1/1", 1, drain)).Refused == "" })
	c.waitFor("the drain here", func() (there bool) {
		s.Read(func(x *catalog.Catalog) { there = x.Member("m1").DrainedAt != 0 })
		return there
	})
	others := []string{"a", "b", "c"}
	c.setBlocked(true, []string{id}, others)
	c.setBlocked(true, others, []string{id})
	if r := s.ForwardBatch(numberedBatch("g2/1", 1, drain)); r.Refused != "" {
		t.Errorf("what is known here: %v", r)
	}
	before := submits.Load()
	if r := s.ForwardBatch(numberedBatch("g2/1", 2, setCommand("k", "v"))); r.Refused == "" || !r.Retry {
		t.Errorf("cut off: %v", r)
	}
	c.setBlocked(false, others, others)
	c.waitFor("the healed way", func() bool { return s.ForwardBatch(numberedBatch("g2/1", 2, setCommand("k", "v"))).Refused == "" })
	if submits.Load() == before {
		t.Error("no batch was counted")
	}
	c.waitForEqual(map[string]string{"k": "v"})
}
