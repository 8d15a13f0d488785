package subscriber

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// voter is a catalog with a control stream server, as in a voter.
type voter struct {
	t       *testing.T
	server  *stream.Server
	catalog *catalog.Catalog
	batches chan *pb.Batch
}

func newVoter(t *testing.T, listen string) *voter {
	t.Helper()
	v := &voter{t: t, catalog: catalog.New("test"), batches: make(chan *pb.Batch, 64)}
	var err error
	v.server, err = stream.NewServer(stream.ServerConfig{Listen: listen, Cluster: "test", Forward: func(b *pb.Batch) *pb.Reply {
		v.batches <- b
		return &pb.Reply{Results: make([]*pb.Result, len(b.Commands))}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.server.Stop)
	return v
}

// commit executes commands as the next entry of the log and returns its revision.
func (v *voter) commit(commands ...*pb.Command) uint64 {
	v.t.Helper()
	rev := v.catalog.Index() + 1
	for i, c := range commands {
		c.Origin, c.Seq, c.Kind, c.At = "voter", 100*rev+uint64(i), catalog.CommandKind(c), time.Now().UnixNano()
	}
	for _, r := range v.catalog.Apply(rev, &pb.Batch{Commands: commands}) {
		if r.Refused != "" {
			v.t.Fatal(r.Refused)
		}
	}
	v.server.Publish(rev, v.catalog.TakeChanges())
	return rev
}

func openSubscriber(t *testing.T, change func(*Config), servers ...string) (*Subscriber, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	c := Config{Cluster: "test", ID: "gw1", Servers: servers, Seed: 1, Log: logrus.NewEntry(log)}
	if change != nil {
		change(&c)
	}
	s, err := Open(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, hook
}

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

func (s *Subscriber) revision() (rev uint64) {
	s.Read(func(c *catalog.Catalog) { rev = c.Index() })
	return rev
}

func waitForRevision(t *testing.T, s *Subscriber, rev uint64) {
	t.Helper()
	eventually(t, fmt.Sprint("revision ", rev), func() bool { return s.revision() >= rev })
}

func member(id, site string, group int32) *pb.Entry {
	return &pb.Entry{Id: id, Address: id + ":3306", Site: site, Group: group, Wire: "mysql", Kind: "replica", State: "in_service"}
}

func upsert(entries ...*pb.Entry) *pb.Command {
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: entries, Author: "test"}}}
}

func drain(id string, start int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: start, Reason: "test"}}}
}

func putConfig(base uint64, text string) *pb.Command {
	return &pb.Command{Body: &pb.Command_PutConfig{PutConfig: &pb.PutConfig{Base: base, Text: text, Author: "test"}}}
}

// memberIDs returns the ids of all members, each followed by - if the member is draining.
func memberIDs(s *Subscriber) (out string) {
	s.Read(func(c *catalog.Catalog) {
		for _, m := range c.Members() {
			out += m.Entry.Id
			if m.DrainedAt != 0 {
				out += "-"
			}
		}
	})
	return out
}

func TestCatalogFollowsVoter(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	first := v.commit(upsert(member("a", "z1", 1), member("b", "z2", 2)))
	s, _ := openSubscriber(t, nil, v.server.Addr())
	waitForRevision(t, s, first)
	if got := memberIDs(s); got != "ab" {
		t.Errorf("members %s", got)
	}
	var start int64
	s.Read(func(c *catalog.Catalog) { start = c.Member("a").Start })
	waitForRevision(t, s, v.commit(drain("a", start)))
	if got := memberIDs(s); got != "a-b" {
		t.Errorf("after the drain: %s", got)
	}
	remove := &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: []string{"b"}}}}
	waitForRevision(t, s, v.commit(remove, upsert(member("c", "z1", 1))))
	if got := memberIDs(s); got != "a-c" {
		t.Errorf("after the removal: %s", got)
	}
}

func TestScope(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	v.commit(upsert(member("a", "z1", 1), member("b", "z2", 2), member("c", "z3", 3)))
	s, _ := openSubscriber(t, func(c *Config) {
		c.Scope = revision.Scope{Groups: []revision.Group{{Wire: "mysql", ID: 1}}, Sites: []string{"z3"}}
	}, v.server.Addr())
	waitForRevision(t, s, v.commit(upsert(member("d", "z2", 2), member("e", "z1", 1))))
	if got := memberIDs(s); got != "ace" {
		t.Errorf("members %s", got)
	}
}

// Commands are sent under the gateway's own origin, with sequence numbers that stay the same if a batch is repeated.
func TestSubmitForwardsCommands(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	rev := v.commit(upsert(member("a", "z1", 1)))
	s, _ := openSubscriber(t, nil, v.server.Addr())
	waitForRevision(t, s, rev)
	if _, err := s.Submit(drain("a", 1), testTimeout); err != nil {
		t.Fatal(err)
	}
	b := <-v.batches
	if c := b.Commands[0]; c.Origin != "gw1/"+s.Boot() || c.Seq == 0 || c.GetDrain().GetMember() != "a" {
		t.Errorf("forwarded %v", c)
	}
	if err := s.ReadLatest(testTimeout, func(*catalog.Catalog) {}); !errors.Is(err, ErrNotVoter) {
		t.Errorf("ReadLatest: %v", err)
	}
}

// Without a server a command fails and the catalog is kept; after the server's return both work again.
func TestServerOutage(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	rev := v.commit(upsert(member("a", "z1", 1)))
	s, hook := openSubscriber(t, nil, v.server.Addr())
	waitForRevision(t, s, rev)
	v.server.Stop()
	eventually(t, "the loss", func() bool { return !s.Stats().Subscribed })
	if _, err := s.Submit(drain("a", 1), 50*time.Millisecond); !errors.Is(err, commandqueue.ErrUnavailable) && !errors.Is(err, commandqueue.ErrUnknown) {
		t.Errorf("without a server: %v", err)
	}
	if got := memberIDs(s); got != "a" {
		t.Errorf("members without a server: %q", got)
	}
	again := newVoter(t, v.server.Addr())
	again.catalog = v.catalog
	again.server.Reset(v.catalog.Index(), v.catalog.Records())
	waitForRevision(t, s, again.commit(upsert(member("b", "z1", 1))))
	if got := memberIDs(s); got != "ab" {
		t.Errorf("members after the server's return: %q", got)
	}
	lines := map[string]int{}
	for _, e := range hook.AllEntries() {
		lines[e.Message]++
	}
	if lines["control stream lost"] != 1 || lines["control stream established"] != 1 {
		t.Errorf("logged %v", lines)
	}
}

// A configuration that this gateway rejects is refused: it keeps the last valid one, reports the reason, and applies
// the other changes of the update.
func TestRefusedChangeIsReportedWithReason(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	check := func(c *Config) {
		c.CheckConfig = func(v *pb.ConfigVersion) error {
			if strings.HasPrefix(v.Text, "bad") {
				return errors.New("line 1: no mapping")
			}
			return nil
		}
	}
	s, hook := openSubscriber(t, check, v.server.Addr())
	waitForRevision(t, s, v.commit(putConfig(0, "good")))
	rev := v.commit(putConfig(1, "bad"), upsert(member("a", "z1", 1)))
	waitForRevision(t, s, rev)
	text := func(s *Subscriber) (text string) {
		s.Read(func(c *catalog.Catalog) { text = c.Config().GetText() })
		return text
	}
	if text(s) != "good" || memberIDs(s) != "a" {
		t.Errorf("configuration %q, members %s", text(s), memberIDs(s))
	}
	eventually(t, "the reason to reach the voter", func() bool {
		r := v.server.Rollout(rev).GetRefusals()
		return len(r) == 1 && r[0].Subscriber == "gw1" && r[0].Key == "config" && strings.Contains(r[0].Reason, "no mapping")
	})
	if got := hook.LastEntry(); got == nil || got.Message != messageChangeRefused {
		t.Errorf("logged %v", got)
	}
	other := newVoter(t, "127.0.0.1:0") // its snapshots contain only the invalid configuration
	other.server.Reset(rev, v.catalog.Records())
	late, _ := openSubscriber(t, func(c *Config) { check(c); c.ID = "gw2" }, other.server.Addr())
	waitForRevision(t, late, rev)
	if text(late) != "" || memberIDs(late) != "a" {
		t.Errorf("after a snapshot: configuration %q, members %s", text(late), memberIDs(late))
	}
}

// A revision counts as applied once every pipeline has reported it.
func TestAppliedOnceAllPipelinesReported(t *testing.T) {
	f := newAppliedTracker([]string{"mysql", "postgres"})
	type report struct {
		pipeline string
		rev      uint64
		want     uint64 // 0: not advanced
	}
	for _, x := range []report{{"mysql", 5, 0}, {"postgres", 4, 4}, {"postgres", 7, 5}, {"mysql", 6, 6}, {"mysql", 6, 0}, {"mysql", 9, 7}} {
		rev, advanced := f.pipelineApplied(x.pipeline, x.rev)
		if advanced != (x.want != 0) || advanced && rev != x.want {
			t.Errorf("%+v: revision %d, advanced %v", x, rev, advanced)
		}
	}
	if _, advanced := f.catalogApplied(100); advanced {
		t.Error("applied although the pipelines have not reported it")
	}
	if rev, advanced := newAppliedTracker(nil).catalogApplied(3); rev != 3 || !advanced {
		t.Error("without pipelines the catalog's revision is not applied")
	}
}

// A record of a kind that a later release adds is refused, and all others are applied.
func TestUnknownRecordKindIsRefused(t *testing.T) {
	v := newVoter(t, "127.0.0.1:0")
	v.commit(upsert(member("a", "z1", 1)))
	records := append(v.catalog.Records(), revision.Record{Key: "weather/today", Value: []byte("rain")})
	v.server.Reset(50, records)
	s, _ := openSubscriber(t, nil, v.server.Addr())
	waitForRevision(t, s, 50)
	if got := memberIDs(s); got != "a" {
		t.Errorf("members %s", got)
	}
	good, err := proto.Marshal(&pb.Pair{Key: "k", Value: []byte("v"), Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	v.server.Publish(51, []revision.Change{{Revision: 51, Record: revision.Record{Key: "weather/today", Value: []byte("sun")}, Before: &records[len(records)-1]},
		{Revision: 51, Record: revision.Record{Key: "pair/k", Value: good}}})
	waitForRevision(t, s, 51)
	s.Read(func(c *catalog.Catalog) {
		if string(c.Pair("k").GetValue()) != "v" {
			t.Errorf("pair %v", c.Pair("k"))
		}
	})
}

// A reader gets each changed member once, or is told that the changes are no longer known.
func TestChangedMembers(t *testing.T) {
	var c changedMembers
	c.reset(10)
	change := func(ids ...string) (out []revision.Change) {
		for _, id := range ids {
			out = append(out, revision.Change{Record: revision.Record{Key: "member/" + id}})
		}
		return append(out, revision.Change{Record: revision.Record{Key: "pair/x"}})
	}
	c.add(11, change("a", "b"))
	c.add(15, change("b", "c"))
	for rev, want := range map[uint64]string{9: "unknown", 10: "[a b c]", 11: "[b c]", 14: "[b c]", 15: "[]", 99: "[]"} {
		ids, known := c.after(rev)
		if got := fmt.Sprint(ids); known && got != want || !known && want != "unknown" {
			t.Errorf("after %d: %s, %v", rev, got, known)
		}
	}
	for rev := uint64(16); rev < 16+maxChangedMembers; rev++ {
		c.add(rev, change(fmt.Sprint("m", rev)))
	}
	if _, known := c.after(14); known {
		t.Error("changes beyond the limit are reported as known")
	}
	if ids, known := c.after(15); !known || len(ids) != maxChangedMembers {
		t.Errorf("%d changed members, known %v", len(ids), known)
	}
}
