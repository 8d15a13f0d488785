package agent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/lease"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/roster"
	"aspenshed/internal/dataplane/eventloop"
)

// memoryStore is a Store with a catalog in memory that the test writes to.
type memoryStore struct {
	catalog *catalog.Catalog
	changed map[uint64][]string // ids of members by revision
}

func newMemoryStore() *memoryStore {
	return &memoryStore{catalog.New("test"), map[uint64][]string{}}
}

func (h *memoryStore) ID() string                                             { return "gw1" }
func (h *memoryStore) Boot() string                                           { return "1" }
func (h *memoryStore) Read(f func(*catalog.Catalog))                          { f(h.catalog) }
func (h *memoryStore) ReadLatest(time.Duration, func(*catalog.Catalog)) error { return nil }
func (h *memoryStore) Offer(string, *pb.Command)                              {}
func (h *memoryStore) Submit(*pb.Command, time.Duration) (*pb.Result, error) {
	return &pb.Result{}, nil
}

// apply applies commands as one log entry. Refused commands change nothing.
func (h *memoryStore) apply(commands ...*pb.Command) {
	rev := h.catalog.Index() + 1
	for i, c := range commands {
		c.Origin, c.Seq, c.Kind, c.At = "test", 1000*rev+uint64(i), catalog.CommandKind(c), int64(rev)*1e9
	}
	h.catalog.Apply(rev, &pb.Batch{Commands: commands})
	for _, x := range h.catalog.TakeChanges() {
		if id, isMember := strings.CutPrefix(x.Key, revision.MemberPrefix); isMember {
			h.changed[rev] = append(h.changed[rev], id)
		}
	}
}

// changeFeedStore is a memoryStore that implements changeFeed.
type changeFeedStore struct{ *memoryStore }

func (f changeFeedStore) ChangedMembers(rev uint64) (ids []string, known bool) {
	seen := map[string]bool{}
	for ; rev <= f.catalog.Index(); rev++ {
		for _, id := range f.changed[rev+1] {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	return ids, true
}

// noopPipeline ignores all updates.
type noopPipeline struct{}

func (noopPipeline) UpdateMembers(aspenshed.MemberList)      {}
func (noopPipeline) AddEvent(aspenshed.Event)                {}
func (noopPipeline) Learned() (aspenshed.LearnedState, bool) { return aspenshed.LearnedState{}, false }

// recordingPipeline keeps the state that a pipeline would have.
type recordingPipeline struct {
	noopPipeline
	members      map[string]aspenshed.Member
	shares       map[string]aspenshed.SlowStartShare
	partialLists int // number of updates that were not whole lists
}

func (p *recordingPipeline) UpdateMembers(l aspenshed.MemberList) {
	if l.Complete || p.members == nil {
		p.members = map[string]aspenshed.Member{}
	}
	if !l.Complete {
		p.partialLists++
	}
	for _, m := range l.Members {
		if m.State == aspenshed.Removed {
			delete(p.members, m.ID)
			continue
		}
		p.members[m.ID] = m
	}
}

func (p *recordingPipeline) AddEvent(e aspenshed.Event) {
	if x, is := e.(aspenshed.SlowStartShare); is {
		if p.shares == nil {
			p.shares = map[string]aspenshed.SlowStartShare{}
		}
		p.shares[x.Member] = x
	}
}

// equal compares members and the shares of their current starts.
func (p *recordingPipeline) equal(q *recordingPipeline) bool {
	currentShares := func(t *recordingPipeline) map[string]aspenshed.SlowStartShare {
		out := maps.Clone(t.shares)
		maps.DeleteFunc(out, func(id string, x aspenshed.SlowStartShare) bool {
			m, present := t.members[id]
			return !present || x.StartedAt != m.StartedAt
		})
		return out
	}
	return maps.Equal(p.members, q.members) && maps.Equal(currentShares(p), currentShares(q))
}

// newAgent returns an agent that ticks only when the test calls tickOnce.
func newAgent(s Store, p Pipeline) *Agent {
	log, _ := logtest.NewNullLogger()
	return &Agent{cfg: Config{Store: s, Loop: eventloop.NewLoop(eventloop.NewClock()), Log: logrus.NewEntry(log), Pipeline: p, Wire: "mysql",
		KeepLearnedLocal: true, OnApplied: func(uint64) {}},
		wake: make(chan struct{}, 1), merger: roster.New(), postedShares: map[string]aspenshed.SlowStartShare{}, postedPrimaries: map[string]bool{},
		starts: map[string]aspenshed.SlowStartShare{}, drainReportedAt: map[string]aspenshed.Nanos{}, holder: lease.NewHolder("gw1", "1", 0)}
}

func (a *Agent) tickOnce() {
	a.Tick(0)
	a.cfg.Loop.RunPending()
}

// randomCommand returns a command that affects members.
func randomCommand(rng *rand.Rand, h *memoryStore) *pb.Command {
	id := fmt.Sprint("m", rng.IntN(8))
	start := int64(0)
	if m := h.catalog.Member(id); m != nil {
		start = m.Start
	}
	switch rng.IntN(8) {
	case 0:
		return &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: []string{id}, Author: "test"}}}
	case 1:
		return &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: start, Reason: "test"}}}
	case 2:
		return &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: id, Start: start + 1 + rng.Int64N(1e9)}}}
	case 3:
		return &pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: id, Start: start}}}
	case 4:
		group := rng.Int32N(2)
		if m := h.catalog.Member(id); m != nil {
			group = m.Entry.Group
		}
		return &pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: &pb.ReportPrimary{Wire: "mysql", Group: group, Member: id, At: int64(h.catalog.Index()+1) * 1e9}}}
	}
	wire := "mysql"
	if rng.IntN(10) == 0 {
		wire = "postgres"
	}
	state := "in_service"
	if rng.IntN(6) == 0 {
		state = "terminating"
	}
	entry := &pb.Entry{Id: id, Address: fmt.Sprint("h:", 1+rng.IntN(3)), Site: fmt.Sprint("z", rng.IntN(2)), Group: rng.Int32N(2), Kind: "std", State: state, Wire: wire}
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: []*pb.Entry{entry}, Author: "test"}}}
}

// An agent that applies single changes gives its pipeline the same state as one that reads whole lists.
func TestSingleChangesEqualWholeLists(t *testing.T) {
	parts := 0
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		h := newMemoryStore()
		var whole, followed recordingPipeline
		taker, follower := newAgent(h, &whole), newAgent(changeFeedStore{h}, &followed)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range 1 + rng.IntN(3) {
				var commands []*pb.Command
				for range 1 + rng.IntN(3) {
					commands = append(commands, randomCommand(rng, h))
				}
				h.apply(commands...)
			}
			if rng.IntN(10) == 0 { // an administrator's drain at this instance
				id := fmt.Sprint("m", rng.IntN(8))
				taker.merger.Drain(id)
				follower.merger.Drain(id)
				taker.localChanged, follower.localChanged = true, true
			}
			taker.tickOnce()
			follower.tickOnce()
			if !whole.equal(&followed) {
				t.Fatalf("step %d: from whole lists\n%+v\nfrom single changes\n%+v", step, whole, followed)
			}
		}
		parts += followed.partialLists
	})
	if parts == 0 {
		t.Error("no single change was applied")
	}
}

// A subscriber with a scope may know a primary before the member is in scope; the member is posted as the primary then.
func TestPrimaryKnownBeforeItsMember(t *testing.T) {
	h := newMemoryStore()
	var table recordingPipeline
	a := newAgent(changeFeedStore{h}, &table)
	record := func(key string, m proto.Message) {
		t.Helper()
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := h.catalog.SetRecord(revision.Record{Key: key, Value: value}); err != nil {
			t.Fatal(err)
		}
		rev := h.catalog.Index() + 1
		h.catalog.SetIndex(rev)
		if id, isMember := strings.CutPrefix(key, revision.MemberPrefix); isMember {
			h.changed[rev] = []string{id}
		}
		a.tickOnce()
	}
	member := func(id string) *pb.Member {
		return &pb.Member{Entry: &pb.Entry{Id: id, Address: id + ":1", Group: 1, Wire: "mysql"}}
	}
	record("member/a", member("a"))
	record("primary/mysql/1", &pb.Primary{Wire: "mysql", Group: 1, Member: "b", At: 5})
	record("member/b", member("b"))
	if !table.members["b"].Primary || table.members["a"].Primary {
		t.Errorf("posted members: %+v", table.members)
	}
}
