package catalog

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// testCatalog applies commands from one origin, one command per log entry.
type testCatalog struct {
	*Catalog
	at    int64
	seq   uint64
	index uint64
}

func newTestCatalog() *testCatalog { return &testCatalog{Catalog: New("t"), at: 1e18} }

func (r *testCatalog) applyCommand(c *pb.Command) *pb.Result {
	r.at, r.seq, r.index = r.at+1e6, r.seq+1, r.index+1
	c.Origin, c.Seq, c.At = "w", r.seq, r.at
	return r.Apply(r.index, &pb.Batch{Commands: []*pb.Command{c}})[0]
}

func inventoryCommand(base uint64, members ...string) *pb.Command {
	p := &pb.PutInventory{Base: base}
	for _, m := range members {
		p.Members = append(p.Members, &pb.Entry{Id: m, Address: m + ":1", State: "in_service"})
	}
	return &pb.Command{Body: &pb.Command_PutInventory{PutInventory: p}}
}

func drainCommand(id string, start int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: start}}}
}

func startCommand(id string, start int64) *pb.Command {
	return &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: id, Start: start}}}
}

// A drain must not be lost to a newer inventory with state in_service, to old or repeated commands, or to removal and
// return with the same start. Only a new start ends it, and begins a slow start.
func TestDrainHoldsUntilNewStart(t *testing.T) {
	r := newTestCatalog()
	r.applyCommand(inventoryCommand(0, "a", "b"))
	r.applyCommand(startCommand("a", r.at))
	s := r.Member("a").Start
	r.applyCommand(drainCommand("a", 0))
	for i, c := range []*pb.Command{inventoryCommand(1, "a", "b"), startCommand("a", s), startCommand("a", s-1), inventoryCommand(2, "b")} {
		r.applyCommand(c)
		if m := r.Member("a"); m != nil && m.DrainedAt == 0 {
			t.Errorf("command %d ended the drain", i)
		}
	}
	back := inventoryCommand(3, "a", "b")
	back.GetPutInventory().Members[0].Started = s
	r.applyCommand(back)
	if r.Member("a").DrainedAt == 0 {
		t.Error("a return with the same start ended the drain")
	}
	if x := r.applyCommand(drainCommand("a", s-1)); x.Refused == "" {
		t.Error("a drain of an earlier start was accepted")
	}
	r.applyCommand(startCommand("a", s+1))
	if m := r.Member("a"); m.DrainedAt != 0 || !IsWarming(m) {
		t.Errorf("after a new start: %v", m)
	}
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	r := newTestCatalog()
	for i, c := range []*pb.Command{inventoryCommand(1, "a"), inventoryCommand(0, "a", "a"), inventoryCommand(0, ""),
		{Body: &pb.Command_PutConfig{PutConfig: &pb.PutConfig{Base: 1}}}, {Body: &pb.Command_Leave{Leave: &pb.Leave{Instance: "x"}}},
		{Body: &pb.Command_Set{Set: &pb.Set{Key: "k", Checked: true, Base: 1}}}, drainCommand("zz", 0), startCommand("zz", 1),
		{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{}}}, {Body: &pb.Command_Ask{Ask: &pb.Ask{}}}} {
		before, _ := r.Digest()
		if x := r.applyCommand(c); x.Refused == "" {
			t.Errorf("command %d was applied", i)
		}
		if r.InventoryVersion() != 0 || r.Config() != nil || before == 0 {
			t.Errorf("command %d changed something", i)
		}
	}
}

// During an upgrade, a command of a later release is kept, reported, and applied once the release knows it.
func TestCommandOfLaterReleaseIsKept(t *testing.T) {
	known, err := proto.Marshal(&pb.Command{Kind: 20, Body: &pb.Command_Set{Set: &pb.Set{Key: "k", Value: []byte("v")}}})
	if err != nil {
		t.Fatal(err)
	}
	later := &pb.Command{}
	b := protowire.AppendTag(nil, 99, protowire.BytesType)
	if err := proto.Unmarshal(protowire.AppendBytes(b, []byte("new")), later); err != nil {
		t.Fatal(err)
	}
	later.Kind = 99
	r := newTestCatalog()
	if x := r.applyCommand(later); !strings.Contains(x.Refused, "kind 99") {
		t.Errorf("refused with %q", x.Refused)
	}
	// The set command as an earlier release would have kept it: with its body among the unknown fields.
	old := &pb.Command{Kind: 20}
	old.ProtoReflect().SetUnknown(known)
	r.state.Later = append(r.state.Later, old)
	snap, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c, err := Decode(snap)
	if err != nil {
		t.Fatal(err)
	}
	if kept, _ := c.UnknownCommands(); len(kept) != 1 || kept[0].Kind != 99 || len(kept[0].ProtoReflect().GetUnknown()) == 0 {
		t.Errorf("kept commands: %v", kept)
	}
	if p := c.Pair("k"); p == nil || string(p.Value) != "v" {
		t.Errorf("the command that is known by now was not applied: %v", p)
	}
	for range maxUnknownCommands + 5 {
		r.applyCommand(proto.Clone(later).(*pb.Command))
	}
	if kept, lost := r.UnknownCommands(); len(kept) != maxUnknownCommands || lost == 0 {
		t.Errorf("%d kept, %d dropped", len(kept), lost)
	}
}

// The memory of a catalog must stay bounded while member ids and origins come and go.
func TestSizeIsBoundedByPresentMembers(t *testing.T) {
	r := newTestCatalog()
	size := func() int { b, _ := r.Encode(); return len(b) }
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprint("m", i))
	}
	early := 0
	for i := range 3000 {
		ids = append(ids[1:], fmt.Sprint("n", i))
		if x := r.applyCommand(inventoryCommand(uint64(i), ids...)); x.Refused != "" {
			t.Fatal(x.Refused)
		}
		r.applyCommand(drainCommand(ids[3], 0))
		if i == 600 {
			early = size()
		}
	}
	if late := size(); float64(late) > 1.2*float64(early) {
		t.Errorf("%d bytes after 600 replaced members, %d after 3,000: %v", early, late, r.Counts())
	}
	for i := range 3 * maxOrigins {
		r.Apply(0, &pb.Batch{Commands: []*pb.Command{{Origin: fmt.Sprint("o", i), Seq: 1, At: r.at + int64(i), Body: &pb.Command_Beat{Beat: &pb.Beat{}}}}})
	}
	if n := r.Counts()["origins"]; n > maxOrigins || n <= maxOrigins-originEvictionBatch {
		t.Errorf("%d origins are kept", n)
	}
	for name, o := range r.origins { // the newest are kept
		if o.At <= r.at+2*maxOrigins {
			t.Fatalf("%s is kept, inactive since %d", name, o.At-r.at)
		}
	}
}

func randomCommand(t *rapid.T) *pb.Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member")
	inst := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "instance")
	start := rapid.Int64Range(0, 5).Draw(t, "start") * 1e9
	switch rapid.IntRange(0, 15).Draw(t, "kind") {
	case 0:
		ids := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "ids")
		return inventoryCommand(rapid.Uint64Range(0, 3).Draw(t, "base"), ids...)
	case 1:
		return drainCommand(id, start)
	case 2:
		return startCommand(id, start)
	case 3:
		return &pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: id, Start: start}}}
	case 4, 5, 6:
		return &pb.Command{Body: &pb.Command_Ask{Ask: &pb.Ask{Member: id, Start: start, Instance: inst, Nonce: "n", Duration: 1e9,
			Want: rapid.Float64Range(0, 9).Draw(t, "want")}}}
	case 7:
		return &pb.Command{Body: &pb.Command_Release{Release: &pb.Release{Member: id, Start: start, Instance: inst, Serial: rapid.Uint64Range(0, 9).Draw(t, "serial")}}}
	case 8:
		return &pb.Command{Body: &pb.Command_Learn{Learn: &pb.Learn{Instance: inst, Groups: []*pb.GroupWord{{Primary: id, PrimaryAt: start, WarmRate: 3}}}}}
	}
	group := rapid.Int32Range(0, 1).Draw(t, "group")
	switch rapid.IntRange(0, 5).Draw(t, "more") {
	case 0:
		state := rapid.SampledFrom([]string{"in_service", "draining"}).Draw(t, "state")
		e := &pb.Entry{Id: id, Address: id + ":2", Site: inst, Group: group, State: state, Started: start}
		return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: []*pb.Entry{e}}}}
	case 1:
		return &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: []string{id}}}}
	case 2, 3:
		return &pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: &pb.ReportPrimary{Group: group, Member: id, At: start}}}
	case 4:
		return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: id, Value: []byte(inst)}}}
	}
	return &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: inst}}}
}

// applyChanges applies changes as a subscriber does, and checks that their previous records match its own.
func applyChanges(t *rapid.T, subscriber *Catalog, changes []revision.Change) {
	for _, x := range changes {
		if held := subscriber.currentRecord(x.Key); !reflect.DeepEqual(held, x.Before) {
			t.Fatalf("%q was %v, the change has %v before it", x.Key, held, x.Before)
		}
		err := error(nil)
		if x.Removed {
			err = subscriber.RemoveRecord(x.Key)
		} else {
			err = subscriber.SetRecord(x.Record)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A replica that gets commands twice and late and is restarted from snapshots at random stays equal to one that does
// not. Meanwhile no drain is lost and no pool is exceeded.
func TestReplicasStayEqualAndKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New("t"), New("t")
		drained := map[string]int64{}
		subscriber := New("t")
		var old []*pb.Command
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := randomCommand(t)
			c.Origin, c.Seq, c.At = "w", uint64(i+1), int64(1e9+i)
			ra := a.Apply(uint64(i+1), &pb.Batch{Commands: []*pb.Command{proto.Clone(c).(*pb.Command)}})
			old = append(old, c)
			twice := []*pb.Command{proto.Clone(c).(*pb.Command), proto.Clone(c).(*pb.Command)}
			for range rapid.IntRange(0, 2).Draw(t, "late") {
				twice = append(twice, proto.Clone(rapid.SampledFrom(old).Draw(t, "old")).(*pb.Command))
			}
			rb := b.Apply(uint64(i+1), &pb.Batch{Commands: twice})
			if ra[0].Refused != rb[0].Refused || rb[1].Refused != rb[0].Refused || !rb[1].Repeated {
				t.Fatalf("results differ: %v, %v", ra, rb)
			}
			changes := a.TakeChanges()
			if also := b.TakeChanges(); !reflect.DeepEqual(changes, also) {
				t.Fatalf("changes of equal replicas differ: %v, %v", changes, also)
			}
			applyChanges(t, subscriber, changes)
			if want, have := a.Records(), subscriber.Records(); !reflect.DeepEqual(want, have) {
				t.Fatalf("after %v a subscriber has the records\n%v\nwant\n%v", c, have, want)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				snap, err := b.Encode()
				if err == nil {
					b, err = Decode(snap)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			for _, m := range a.Members() {
				if s, was := drained[m.Entry.Id]; was && s == m.Start && m.DrainedAt == 0 && m.Start > 0 {
					t.Fatalf("the drain of %v was lost", m)
				}
				if m.DrainedAt != 0 {
					drained[m.Entry.Id] = m.Start
				}
				sum := 0.0
				for _, id := range leaseHolders(m) {
					sum += OutstandingShare(m, id)
				}
				if sum > a.Rules().Pool+1e-9 {
					t.Fatalf("leases of %v of the pool are outstanding at %v", sum, m)
				}
			}
		}
		da, _ := a.Digest()
		again := New("t")
		if err := again.ResetRecords(a.Index(), a.Records()); err != nil || !reflect.DeepEqual(again.Records(), a.Records()) {
			t.Fatalf("reset from all records: %v, %v", again.Records(), err)
		}
		if db, _ := b.Digest(); da != db {
			t.Fatalf("replicas differ:\n%v\n%v", a.Counts(), b.Counts())
		}
	})
}

// A snapshot is decoded completely or not at all.
func FuzzDecode(f *testing.F) {
	r := newTestCatalog()
	r.applyCommand(inventoryCommand(0, "a", "b"))
	r.applyCommand(drainCommand("a", 0))
	good, err := r.Encode()
	if err != nil {
		f.Fatal(err)
	}
	for i := range good { // corruption of any byte is detected
		bad := append([]byte(nil), good...)
		bad[i] ^= 0x40
		if _, err := Decode(bad); err == nil {
			f.Errorf("corruption of byte %d is not detected", i)
		}
	}
	if _, err := Decode(good[:len(good)-1]); !errors.Is(err, ErrCorrupt) {
		f.Errorf("truncated: %v", err)
	}
	f.Add(good)
	f.Add(good[:headerSize])
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode(b)
		if err != nil {
			return
		}
		again, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("a decoded snapshot cannot be decoded after encoding it again: %v", err)
		}
	})
}

// Any log entry is either applied or refused, and never causes a panic.
func FuzzApply(f *testing.F) {
	b, _ := proto.Marshal(&pb.Batch{Commands: []*pb.Command{inventoryCommand(0, "a"), drainCommand("a", 0)}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		x := &pb.Batch{}
		if proto.Unmarshal(b, x) != nil {
			return
		}
		c := New("t")
		if n := len(c.Apply(1, x)); n != len(x.Commands) {
			t.Fatalf("%d results of %d commands", n, len(x.Commands))
		}
		if _, err := c.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

// An old rate of one instance must not be added to current rates of others, as its clients may have moved to them. The
// newest report of a primary is used, whichever instance sent it.
func TestOnlyConcurrentRatesAreSummed(t *testing.T) {
	r := newTestCatalog()
	r.applyCommand(inventoryCommand(0, "a", "b"))
	report := func(instance, primary string, at int64, rate float64) {
		r.applyCommand(&pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: instance}}})
		r.applyCommand(&pb.Command{Body: &pb.Command_Learn{Learn: &pb.Learn{Instance: instance, Groups: []*pb.GroupWord{{Primary: primary, PrimaryAt: at, WarmRate: rate}}}}})
	}
	report("x", "a", 7, 10)
	report("y", "b", 6, 5)
	if w := r.GroupSummaries()[Group{}]; w.WarmRate != 15 || w.Primary != "a" {
		t.Errorf("%+v", w)
	}
	r.at += maxRateAge
	report("y", "b", 9, 14)
	if w := r.GroupSummaries()[Group{}]; w.WarmRate != 14 || w.Primary != "b" {
		t.Errorf("after maxRateAge: %+v", w)
	}
}

// An instance's fronts may serve groups of the same number and classes of the same name for different customers: the
// learned state of each front is kept separately.
func TestLearnedStateIsSeparateByFront(t *testing.T) {
	r := newTestCatalog()
	p := inventoryCommand(0, "a", "b")
	p.GetPutInventory().Members[0].Wire, p.GetPutInventory().Members[1].Wire = "mysql", "postgres"
	r.applyCommand(p)
	r.applyCommand(&pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: "x"}}})
	report := func(wire, primary string, rate float64, typical int64) {
		r.applyCommand(&pb.Command{Body: &pb.Command_Learn{Learn: &pb.Learn{Instance: "x", Wire: wire,
			Groups:  []*pb.GroupWord{{Primary: primary, PrimaryAt: 1, WarmRate: rate}},
			Classes: []*pb.ClassWord{{Name: "booking", Typical: typical}}}}})
	}
	report("mysql", "a", 10, 7e6)
	report("postgres", "b", 3, 900e6)
	report("postgres", "a", 4, 800e6) // not a member of that wire: the primary is ignored
	my, pg := r.GroupSummaries()[Group{Wire: "mysql"}], r.GroupSummaries()[Group{Wire: "postgres"}]
	if my.WarmRate != 10 || my.Primary != "a" || pg.WarmRate != 4 || pg.Primary != "" {
		t.Errorf("mysql's group %+v, postgres's %+v", my, pg)
	}
	if a, b := r.TypicalResponseTime("mysql", "booking"), r.TypicalResponseTime("postgres", "booking"); a != 7e6 || b != 800e6 {
		t.Errorf("response times of booking: %d and %d", a, b)
	}
}
