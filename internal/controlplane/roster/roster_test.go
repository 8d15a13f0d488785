package roster

import (
	"fmt"
	"testing"

	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

func localEntry(id string, start aspenshed.Nanos, s aspenshed.MemberState) Entry {
	return Entry{Member: aspenshed.Member{ID: id, StartedAt: start, State: s}, Address: id + ":1"}
}

func catalogMember(id string, start, drained int64) *pb.Member {
	return &pb.Member{Entry: &pb.Entry{Id: id, Address: id + ":2"}, Start: start, DrainedAt: drained}
}

func describe(m *Merger) (out string) {
	list, _ := m.Merge()
	for _, t := range list {
		out += fmt.Sprint(t.ID, t.StartedAt, map[aspenshed.MemberState]string{aspenshed.Up: "up", aspenshed.Draining: "drain"}[t.State], " ")
	}
	return out
}

// Guards drains from both sides: the store's against an own list that says in_service, the own list's against a
// store that has not heard, each until a new start.
func TestDrainHoldsFromEitherSource(t *testing.T) {
	m := New()
	m.SetLocal([]Entry{localEntry("a", 5, aspenshed.Up), localEntry("b", 5, aspenshed.Up)})
	m.SetCatalog(1, []*pb.Member{catalogMember("a", 5, 0), catalogMember("b", 5, 0)})
	step := func(what, want string) {
		t.Helper()
		if got := describe(m); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	step("calm", "a5up b5up ")
	m.SetCatalog(1, []*pb.Member{catalogMember("a", 5, 9), catalogMember("b", 5, 0)})
	step("the store drains a", "a5drain b5up ")
	m.SetLocal([]Entry{localEntry("a", 5, aspenshed.Up), localEntry("b", 5, aspenshed.Draining)})
	step("the own list is old on a and drains b", "a5drain b5drain ")
	if u := m.UnreportedDrains(); len(u) != 1 || u["b"] != 5 {
		t.Errorf("the store is to be told %v", u)
	}
	m.SetLocal([]Entry{localEntry("a", 5, aspenshed.Up), localEntry("b", 5, aspenshed.Up)})
	m.SetCatalog(2, []*pb.Member{catalogMember("a", 5, 0), catalogMember("b", 5, 0)})
	step("older news from both sides", "a5drain b5drain ")
	m.SetCatalog(2, []*pb.Member{catalogMember("a", 6, 0), catalogMember("b", 5, 9)})
	step("a has started again", "a6up b5drain ")
	if len(m.UnreportedDrains()) != 0 {
		t.Error("the store is told what it has")
	}
	if _, changed := m.Merge(); changed {
		t.Error("a change without news")
	}
}

// An own list that tells no start drains whichever start is known by then.
func TestDrainWithoutStart(t *testing.T) {
	m := New()
	m.SetLocal([]Entry{localEntry("a", 0, aspenshed.Draining)})
	m.SetCatalog(3, []*pb.Member{catalogMember("a", 7, 0), catalogMember("c", 7, 0)})
	if got := describe(m); got != "a7drain c7up " {
		t.Error(got)
	}
	m.SetLocal([]Entry{localEntry("a", 0, aspenshed.Up), localEntry("d", 0, aspenshed.Up)}) // newer than the catalog's inventory: it is the list
	if got := describe(m); got != "a7drain d0up " {
		t.Error(got)
	}
	m.SetCatalog(4, []*pb.Member{catalogMember("d", 8, 0)})
	if got := describe(m); got != "d8up " {
		t.Error(got)
	}
}

// A member's zone is the same whichever side names it, in whatever order the sites appear there.
func TestSourcesNumberSitesAlike(t *testing.T) {
	m := New()
	a, b := localEntry("a", 0, aspenshed.Up), localEntry("b", 0, aspenshed.Up)
	a.Site, b.Site = "launceston", "hobart"
	m.SetLocal([]Entry{a, b})
	before, _ := m.Merge()
	ka, kb := catalogMember("a", 0, 0), catalogMember("b", 0, 0)
	ka.Entry.Site, kb.Entry.Site = "launceston", "hobart"
	m.SetCatalog(1, []*pb.Member{kb, ka})
	after, _ := m.Merge()
	if before[0].Zone == before[1].Zone || before[0].Zone != after[0].Zone || before[1].Zone != after[1].Zone {
		t.Errorf("%+v, then %+v", before, after)
	}
}

func TestDrainsOfUnlistedMembersAreBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxUnlistedDrains {
		m.SetLocal([]Entry{localEntry(fmt.Sprint("x", i), 1, aspenshed.Draining)})
		m.Merge()
	}
	if len(m.drains) > 2*maxUnlistedDrains-9 || len(m.unreportedDrains) > 2*maxUnlistedDrains-9 {
		t.Errorf("%d drains, %d unsaid are held", len(m.drains), len(m.unreportedDrains))
	}
}
