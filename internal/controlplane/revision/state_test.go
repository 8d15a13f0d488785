package revision

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

// drawChanges is random changes of a few keys, each with what was before it, one to three of them a revision.
func drawChanges(t *rapid.T) (out []Change) {
	current := map[string]Record{}
	rev := uint64(0)
	for i := range rapid.IntRange(0, 40).Draw(t, "changes") {
		if i%3 == 0 || rapid.Bool().Draw(t, "next commit") {
			rev += rapid.Uint64Range(1, 3).Draw(t, "gap")
		}
		c := Change{Revision: rev, Binding: rapid.Bool().Draw(t, "binding")}
		c.Record = drawRecord(t)
		if before, known := current[c.Key]; known {
			c.Before = &before
		}
		current[c.Key] = c.Record
		if c.Before != nil && rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
			c.Removed, c.Binding = true, true
			c.Record = Record{Key: c.Key, Placement: c.Before.Placement}
			delete(current, c.Key)
		}
		out = append(out, c)
	}
	return out
}

func drawRecord(t *rapid.T) Record {
	n := rapid.IntRange(0, 7).Draw(t, "key")
	value := []byte(rapid.StringN(0, 6, -1).Draw(t, "value"))
	if n == 7 {
		return Record{Key: RulesKey, Value: value}
	}
	return Record{Key: fmt.Sprint(MemberPrefix, n), Value: value, Placement: drawPlacement(t)}
}

func drawPlacement(t *rapid.T) Placement {
	wire := rapid.SampledFrom([]string{"mysql", "postgres"}).Draw(t, "wire")
	site := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "site")
	return Placement{Group: Group{wire, int32(rapid.IntRange(0, 2).Draw(t, "group"))}, Site: site}
}

func drawScope(t *rapid.T) (s Scope) {
	for range rapid.IntRange(0, 3).Draw(t, "groups") {
		s.Groups = append(s.Groups, drawPlacement(t).Group)
	}
	for range rapid.IntRange(0, 2).Draw(t, "sites") {
		s.Sites = append(s.Sites, drawPlacement(t).Site)
	}
	return s
}

// Guards that digests, length and order of a state are those of a plain walk, in any scope, after any changes.
func TestStateIsWhatAWalkSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, plain := NewState(), map[string]Record{}
		changes := drawChanges(t)
		want := s.DigestAfter(changes)
		for _, c := range changes {
			s.Apply(c)
			delete(plain, c.Key)
			if !c.Removed {
				plain[c.Key] = c.Record
			}
		}
		if s.Digest(Scope{}) != want {
			t.Fatalf("digest %x, foretold %x", s.Digest(Scope{}), want)
		}
		again := NewState()
		again.Reset(s.Revision(), slices.Collect(s.Records(Scope{})))
		for _, scope := range []Scope{{}, drawScope(t)} {
			walk, n := Digest(0), 0
			for key, r := range plain {
				if scope.Contains(key, r.Placement) {
					walk += Hash(key, r.Value)
					n++
				}
			}
			keys := []string{}
			for r := range s.Records(scope) {
				keys = append(keys, r.Key)
			}
			if s.Digest(scope) != walk || again.Digest(scope) != walk || len(keys) != n || !slices.IsSorted(keys) {
				t.Fatalf("scope %v: digests %x and %x, by a walk %x; keys %q", scope, s.Digest(scope), again.Digest(scope), walk, keys)
			}
		}
	})
}

// Guards that whoever follows a scope by projected and coalesced changes, in steps of any length, holds what is in it,
// and sees every binding change.
func TestProjectedChangesKeepAScope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, scope := drawChanges(t), drawScope(t)
		all, part := NewState(), NewState()
		seen, binding := 0, 0
		for len(changes) > 0 {
			n := rapid.IntRange(1, len(changes)).Draw(t, "step")
			var step []Change
			for _, c := range changes[:n] {
				all.Apply(c)
				if c, within := scope.Project(c); within {
					step = append(step, c)
					if c.Binding {
						binding++
					}
				}
			}
			for _, c := range Coalesce(step) {
				part.Apply(c)
				if c.Binding {
					seen++
				}
			}
			changes = changes[n:]
			if all.Digest(scope) != part.Digest(Scope{}) {
				t.Fatalf("scope %v: %x, followed %x", scope, all.Digest(scope), part.Digest(Scope{}))
			}
		}
		if seen != binding {
			t.Fatalf("%d binding changes, %d seen", binding, seen)
		}
	})
}

func TestCoalesceKeepsTheNewestAndBindingOnes(t *testing.T) {
	change := func(rev uint64, key string, binding bool) Change {
		return Change{Revision: rev, Record: Record{Key: key}, Binding: binding}
	}
	in := []Change{change(1, "a", false), change(2, "b", true), change(3, "a", false), change(4, "b", false), change(5, "a", true)}
	got := ""
	for _, c := range Coalesce(in) {
		got += fmt.Sprint(c.Revision, c.Key, " ")
	}
	if got != "2b 4b 5a " {
		t.Error(got)
	}
	if n := len(Coalesce(nil)); n != 0 {
		t.Error(n)
	}
}

// Guards the log's bound and that a reader gets commits whole or an error.
func TestLogGivesWholeCommitsOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t)
		l := NewLog(rapid.IntRange(1, 20).Draw(t, "kept") * changeOverhead)
		head := uint64(0)
		for i := 0; i < len(changes); {
			end := i
			for end < len(changes) && changes[end].Revision == changes[i].Revision {
				end++
			}
			head = changes[i].Revision
			l.Append(head, changes[i:end])
			i = end
			bytes := 0
			held, err := l.Since(l.Oldest())
			for k := range held {
				bytes += ChangeSize(&held[k])
			}
			if err != nil || bytes != l.Bytes() || bytes > l.maxBytes || l.Head() != head {
				t.Fatalf("%v, %d bytes held, %d counted of %d", err, bytes, l.Bytes(), l.maxBytes)
			}
		}
		since := rapid.Uint64Range(0, head+2).Draw(t, "since")
		got, err := l.Since(since)
		var compacted *CompactedError
		var future *FutureError
		switch {
		case since > head:
			if !errors.As(err, &future) || future.Requested != since || future.Head != head {
				t.Fatalf("since %d of %d: %v", since, head, err)
			}
		case errors.As(err, &compacted):
			if since >= l.Oldest() || compacted.Requested != since || compacted.Oldest != l.Oldest() {
				t.Fatalf("since %d, oldest %d: %v", since, l.Oldest(), err)
			}
		default:
			want := 0
			for _, c := range changes {
				if c.Revision > since {
					want++
				}
			}
			if err != nil || len(got) != want {
				t.Fatalf("since %d: %v, %d changes of %d", since, err, len(got), want)
			}
		}
	})
}

func TestLogBeginsAnewAfterReset(t *testing.T) {
	l := NewLog(1 << 20)
	l.Append(5, []Change{{Revision: 5}})
	l.Reset(9)
	l.Append(8, []Change{{Revision: 8}}) // older than the reset: known already
	if got, err := l.Since(9); err != nil || len(got) != 0 || l.Head() != 9 {
		t.Errorf("%v, %v, head %d", got, err, l.Head())
	}
	if _, err := l.Since(5); err == nil {
		t.Error("what was before the reset is still there")
	}
}

func TestLastChange(t *testing.T) {
	l := NewLog(1 << 20)
	l.Reset(10)
	l.Append(12, []Change{{Revision: 12}})
	l.Append(13, nil)
	l.Append(15, []Change{{Revision: 15}, {Revision: 15}})
	for asked, want := range map[uint64]uint64{3: 3, 10: 10, 11: 10, 12: 12, 14: 12, 15: 15, 99: 15} {
		if got := l.LastChange(asked); got != want {
			t.Errorf("up to %d: %d, not %d", asked, got, want)
		}
	}
}

func memberValue(group uint64, site string) []byte {
	entry := protowire.AppendTag(nil, entrySiteField, protowire.BytesType)
	entry = protowire.AppendString(entry, site)
	entry = protowire.AppendTag(entry, entryGroupField, protowire.VarintType)
	entry = protowire.AppendVarint(entry, group)
	entry = protowire.AppendTag(entry, entryWireField, protowire.BytesType)
	entry = protowire.AppendString(entry, "mysql")
	value := protowire.AppendTag(nil, memberEntryField, protowire.BytesType)
	return protowire.AppendBytes(value, entry)
}

func TestPlacementOfAMember(t *testing.T) {
	key := MemberPrefix + "a"
	got, err := PlacementOf(key, memberValue(7, "z1"))
	if err != nil || got != (Placement{Group{"mysql", 7}, "z1"}) {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := PlacementOf(RulesKey, []byte{0xff}); err != nil || got != (Placement{}) {
		t.Errorf("of another record: %+v, %v", got, err)
	}
	good := memberValue(7, "z1")
	for name, value := range map[string][]byte{"truncated": good[:len(good)-2], "empty": nil, "not a message": {0xff, 0xff},
		"group": memberValue(1<<40, "z1"), "site": memberValue(7, "\xff")} {
		var bad *ValueError
		if _, err := PlacementOf(key, value); !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// members are as many records as the target has, 6 to a group, at 19 sites, with values of 90 bytes.
func members(n int) (out []Record) {
	for i := range n {
		place := Placement{Group: Group{"mysql", int32(i / 6)}, Site: fmt.Sprint("zone-", i%19)}
		value := fmt.Appendf(nil, "%06d%s", i, strings.Repeat("x", 84))
		out = append(out, Record{Key: fmt.Sprintf("%sdb-%06d", MemberPrefix, i), Value: value, Placement: place})
	}
	return out
}

// Guards the memory of a subscriber: hundreds of states live in one process. Measured: 2.8 MB each.
func TestStateIsSmall(t *testing.T) {
	const bound = 4 << 20
	in := members(21000)
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := used()
	const states = 5
	var held [states]*State
	for i := range held {
		held[i] = NewState()
		held[i].Reset(1, in)
	}
	each := (used() - before) / states
	runtime.KeepAlive(held)
	runtime.KeepAlive(in)
	t.Logf("%d bytes a state of 21,000 members", each)
	if each > bound {
		t.Errorf("%d bytes a state of 21,000 members, over %d", each, bound)
	}
}

func BenchmarkApply(b *testing.B) {
	in := members(21000)
	s := NewState()
	s.Reset(1, in)
	b.ReportAllocs()
	for i := range b.N {
		s.Apply(Change{Revision: uint64(i), Record: in[i%len(in)]})
	}
}

func BenchmarkScopedDigest(b *testing.B) {
	s := NewState()
	s.Reset(1, members(21000))
	scope := Scope{Groups: []Group{{"mysql", 1}, {"mysql", 700}}, Sites: []string{"zone-3"}}
	for range b.N {
		s.Digest(scope)
	}
}
