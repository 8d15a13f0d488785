package catalog

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

func entry(id, wire string, group int32) *pb.Entry {
	return &pb.Entry{Id: id, Address: id + ":1", Wire: wire, Group: group, Site: "oslo", State: inService}
}

func upsertCommand(entries ...*pb.Entry) *pb.Command {
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: entries, Author: "t"}}}
}

func removeCommand(ids ...string) *pb.Command {
	return &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: ids, Author: "t"}}}
}

func reportPrimaryCommand(wire string, group int32, member string, at int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: &pb.ReportPrimary{Wire: wire, Group: group, Member: member, At: at}}}
}

// summary describes a change without its values.
func summary(x revision.Change) string {
	out := x.Key
	for _, word := range []struct {
		applies bool
		name    string
	}{{x.Before == nil, "new"}, {x.Removed, "removed"}, {x.Binding, "binding"}} {
		if word.applies {
			out += " " + word.name
		}
	}
	return out
}

// Each command changes the expected records, and marks the changes that must reach every subscriber.
func TestChangesOfEachCommand(t *testing.T) {
	r := newTestCatalog()
	for i, x := range []struct {
		c    *pb.Command
		want string // summaries of all changes, in order
	}{
		{upsertCommand(entry("a", "mysql", 1), entry("b", "mysql", 1)), "member/a new; member/b new"},
		{upsertCommand(entry("a", "mysql", 1)), ""},
		{drainCommand("a", 0), "member/a binding"},
		{drainCommand("a", 0), ""},
		{startCommand("a", 2e18), "member/a binding"},
		{reportPrimaryCommand("mysql", 1, "a", 1e18), "primary/mysql/1 new binding"},
		{reportPrimaryCommand("mysql", 1, "a", 1e18+5e9), ""}, // another gateway reports the same change
		{reportPrimaryCommand("mysql", 1, "b", 1e18-1), ""},
		{reportPrimaryCommand("mysql", 1, "b", 1e18+6e9), "primary/mysql/1 binding"},
		{reportPrimaryCommand("mysql", 2, "b", 1e18+7e9), ""}, // b is in another group
		{reportPrimaryCommand("mysql", 1, "a", 9e18), ""},     // from a clock that is years ahead
		{upsertCommand(entry("b", "mysql", 2)), "member/b; primary/mysql/1 removed binding"},
		{reportPrimaryCommand("mysql", 2, "b", 1e18+8e9), "primary/mysql/2 new binding"},
		{removeCommand("b", "zz"), "member/b removed binding; primary/mysql/2 removed binding"},
		{removeCommand("b"), ""},
		{&pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: "k", Value: []byte("v")}}}, "pair/k new"},
		{&pb.Command{Body: &pb.Command_PutConfig{PutConfig: &pb.PutConfig{Text: "x"}}}, "config new"},
		{&pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: "i"}}}, ""},
		{&pb.Command{Body: &pb.Command_Learn{Learn: &pb.Learn{Instance: "i"}}}, ""},
		{&pb.Command{Body: &pb.Command_Ask{Ask: &pb.Ask{Member: "a", Start: 2e18, Instance: "i", Nonce: "n", Want: 1, Duration: 1e9}}}, ""},
		{&pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: "a", Start: 2e18}}}, "member/a"},
		{&pb.Command{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{Rules: DefaultRules()}}}, "rules new"},
	} {
		r.applyCommand(x.c)
		var got []string
		for _, change := range r.TakeChanges() {
			if change.Revision != r.index || change.CommittedAt != r.at {
				t.Errorf("command %d: %+v", i, change)
			}
			got = append(got, summary(change))
		}
		if strings.Join(got, "; ") != x.want {
			t.Errorf("command %d, %v: changes %q, want %q", i, x.c, strings.Join(got, "; "), x.want)
		}
	}
}

// A member that is removed and returns with the same start is still draining, whichever command adds it.
func TestRemovalAndUpsertKeepDrains(t *testing.T) {
	r := newTestCatalog()
	r.applyCommand(upsertCommand(entry("a", "mysql", 1)))
	r.applyCommand(startCommand("a", 5e18))
	r.applyCommand(drainCommand("a", 5e18))
	r.applyCommand(removeCommand("a"))
	back := entry("a", "mysql", 1)
	back.Started = 5e18
	r.applyCommand(upsertCommand(back))
	if r.Member("a").DrainedAt == 0 {
		t.Error("the drain was lost")
	}
	fresh := proto.Clone(back).(*pb.Entry)
	fresh.Started = 5e18 + 1
	if r.applyCommand(upsertCommand(fresh)); r.Member("a").DrainedAt != 0 {
		t.Error("a new start is draining")
	}
	stopped := proto.Clone(fresh).(*pb.Entry)
	stopped.State = "draining"
	if r.applyCommand(upsertCommand(stopped)); r.Member("a").DrainedAt == 0 {
		t.Error("the drain of the inventory was not recorded")
	}
}

// Guards a drain against a replacement whose publisher did not know of it: only a start that is reported ends the drain.
func TestReplacementKeepsADrain(t *testing.T) {
	for _, change := range []func(*pb.Entry){func(e *pb.Entry) { e.Address = "elsewhere:1" }, func(e *pb.Entry) { e.Group = 2 }} {
		r := newTestCatalog()
		r.applyCommand(upsertCommand(entry("a", "mysql", 1)))
		moved := entry("a", "mysql", 1)
		change(moved)
		changed, _ := r.Difference("mysql", []*pb.Entry{moved}, 5e18)
		r.applyCommand(drainCommand("a", 0))
		if r.applyCommand(upsertCommand(changed[0])); r.Member("a").DrainedAt == 0 {
			t.Error("the drain was lost")
		}
		if r.applyCommand(startCommand("a", 6e18)); r.Member("a").DrainedAt != 0 {
			t.Error("a new start is draining")
		}
	}
}

func TestInvalidUpsertsAreRefused(t *testing.T) {
	r := newTestCatalog()
	r.applyCommand(upsertCommand(entry("a", "mysql", 1)))
	checked := upsertCommand(entry("b", "mysql", 1))
	checked.GetUpsertMembers().Checked = true
	before := r.Records()
	for _, c := range []*pb.Command{checked, upsertCommand(entry("b", "", 0), &pb.Entry{Id: "c"}), upsertCommand(entry("b", "", 0), entry("b", "", 0)),
		upsertCommand(&pb.Entry{Address: "x"}), removeCommand("a", ""), reportPrimaryCommand("mysql", 1, "a", 0), reportPrimaryCommand("postgres", 1, "a", 1e18)} {
		if x := r.applyCommand(c); x.Refused == "" || !reflect.DeepEqual(r.Records(), before) || r.InventoryVersion() != 1 {
			t.Errorf("%v: %v", c, x)
		}
	}
}

// The limits hold twice the planned fleet, and one member beyond the limit is refused.
func TestLimitsHoldTwiceThePlannedFleet(t *testing.T) {
	r := newTestCatalog()
	const fleet, groups = 2 * 21000, 2 * 3500
	p := &pb.PutInventory{}
	for i := range fleet {
		p.Members = append(p.Members, entry(fmt.Sprint("m", i), "mysql", int32(i%groups)))
	}
	if x := r.applyCommand(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: p}}); x.Refused != "" {
		t.Fatal(x.Refused)
	}
	for i := range groups {
		if x := r.applyCommand(reportPrimaryCommand("mysql", int32(i), fmt.Sprint("m", i), r.at)); x.Refused != "" {
			t.Fatal(x.Refused)
		}
	}
	if n := len(r.TakeChanges()); n != fleet+groups {
		t.Errorf("%d changes", n)
	}
	var more []*pb.Entry
	for i := range maxMembers - fleet + 1 {
		more = append(more, entry(fmt.Sprint("n", i), "mysql", 0))
	}
	if x := r.applyCommand(upsertCommand(more...)); x.Refused == "" || len(r.Members()) != fleet {
		t.Errorf("beyond the limit: %v, %d members", x, len(r.Members()))
	}
	if x := r.applyCommand(upsertCommand(more[1:]...)); x.Refused != "" {
		t.Error(x.Refused)
	}
}

func encodedRecord(key string, value proto.Message) revision.Record {
	b, err := proto.Marshal(value)
	if err != nil {
		panic(err)
	}
	return revision.Record{Key: key, Value: b}
}

// The error for an unreadable or invalid record names it, and nothing changes, whether it comes alone or with valid
// ones.
func TestInvalidRecordsChangeNothing(t *testing.T) {
	s := New("t")
	good := []revision.Record{encodedRecord("member/a", &pb.Member{Entry: entry("a", "mysql", 1)}), encodedRecord("pair/k", &pb.Pair{Key: "k"})}
	if err := s.ResetRecords(7, good); err != nil {
		t.Fatal(err)
	}
	before, _ := s.Digest()
	for _, bad := range []revision.Record{
		{Key: "member/a", Value: []byte{0xff}},
		{Key: "member/a"},
		{Key: "member/"},
		{Key: ""},
		{Key: "novelty/x"},
		encodedRecord("member/b", &pb.Member{Entry: entry("a", "mysql", 1)}),
		encodedRecord("member/", &pb.Member{Entry: &pb.Entry{Address: "x"}}),
		encodedRecord("member/a", &pb.Member{Entry: &pb.Entry{Id: "a"}}),
		encodedRecord("member/a", &pb.Member{Entry: entry("a", "mysql", 1), Start: -1}),
		encodedRecord("member/a", &pb.Member{Entry: entry("a", "mysql", 1), Leases: []*pb.Lease{{Instance: "x"}}}),
		encodedRecord("pair/", &pb.Pair{}),
		encodedRecord("pair/k", &pb.Pair{Key: "l"}),
		encodedRecord("pair/k", &pb.Pair{Key: "k", Value: make([]byte, maxValueBytes+1)}),
		encodedRecord("primary/mysql/1", &pb.Primary{Wire: "mysql", Group: 2, Member: "a", At: 1}),
		encodedRecord("primary/mysql/1", &pb.Primary{Wire: "mysql", Group: 1, At: 1}),
		encodedRecord("primary/mysql/1", &pb.Primary{Wire: "mysql", Group: 1, Member: "a"}),
		encodedRecord("config", &pb.ConfigVersion{Text: "x"}),
		encodedRecord("rules", &pb.Rules{}),
	} {
		for name, set := range map[string]func() error{
			"alone": func() error { return s.SetRecord(bad) },
			"among": func() error { return s.ResetRecords(9, append([]revision.Record{good[0]}, bad)) },
		} {
			err := set()
			var typed *RecordError
			after, _ := s.Digest()
			if !errors.As(err, &typed) || typed.Key != bad.Key || after != before {
				t.Errorf("%s, %q %x: %v", name, bad.Key, bad.Value, err)
			}
		}
	}
	if err := s.RemoveRecord("novelty/x"); err == nil {
		t.Error("a record of an unknown kind was removed")
	}
	if err := s.RemoveRecord("member/zz"); err != nil {
		t.Error(err)
	}
}

// A subscriber's versions increase with each change; the inventory version only when the member list changes.
func TestSubscriberVersions(t *testing.T) {
	s := New("t")
	if err := s.ResetRecords(1, []revision.Record{encodedRecord("member/a", &pb.Member{Entry: entry("a", "mysql", 1)})}); err != nil {
		t.Fatal(err)
	}
	inventory, members := s.InventoryVersion(), func() uint64 { m, _, _ := s.Versions(); return m }
	previous := members()
	draining := encodedRecord("member/a", &pb.Member{Entry: entry("a", "mysql", 1), DrainedAt: 3})
	if err := s.SetRecord(draining); err != nil || s.InventoryVersion() != inventory || members() == previous {
		t.Errorf("after a drain: %v, inventory version %d, was %d, members version %d", err, s.InventoryVersion(), inventory, members())
	}
	if err := s.RemoveRecord("member/a"); err != nil || s.InventoryVersion() == inventory {
		t.Errorf("after a removal: %v, inventory version %d, was %d", err, s.InventoryVersion(), inventory)
	}
	s.SetIndex(9)
	if s.Index() != 9 {
		t.Error(s.Index())
	}
}

// A snapshot of the release before primaries and records is decoded and accepts further commands.
func TestDecodeSnapshotOfEarlierRelease(t *testing.T) {
	b, err := os.ReadFile("testdata/snapshot-without-primaries.bin")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	r := &testCatalog{Catalog: c, at: c.Now(), seq: 100, index: c.Index()}
	if got := r.applyCommand(reportPrimaryCommand("mysql", 1, "b", r.at)); got.Refused != "" {
		t.Error(got.Refused)
	}
	var keys []string
	for _, x := range r.Records() {
		keys = append(keys, x.Key)
	}
	if want := "config member/a member/b member/c pair/k primary/mysql/1"; strings.Join(keys, " ") != want {
		t.Errorf("records: %v", keys)
	}
	if r.Member("a").DrainedAt == 0 || r.GroupSummaries()[Group{Wire: "mysql", ID: 0}].Primary != "a" {
		t.Errorf("%v, %v", r.Member("a"), r.GroupSummaries())
	}
	again, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if d, err := Decode(again); err != nil || !reflect.DeepEqual(d.Records(), r.Records()) {
		t.Errorf("after encoding it again: %v", err)
	}
}
