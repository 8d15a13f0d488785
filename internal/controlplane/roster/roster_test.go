package roster

import (
	"fmt"
	"testing"

	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

func localEntry(id string, start aspenshed.Nanos, s aspenshed.MemberState) Entry {
	return Entry{Member: aspenshed.Member{ID: id, Address: id + ":1", StartedAt: start, State: s}}
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

// A drain of the store holds against a local list with state in_service, and a drain of the local list against a store
// that does not have it, each until a new start.
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
	step("no drain", "a5up b5up ")
	m.SetCatalog(1, []*pb.Member{catalogMember("a", 5, 9), catalogMember("b", 5, 0)})
	step("the store drains a", "a5drain b5up ")
	m.SetLocal([]Entry{localEntry("a", 5, aspenshed.Up), localEntry("b", 5, aspenshed.Draining)})
	step("the local list is out of date on a and drains b", "a5drain b5drain ")
	if u := m.UnreportedDrains(); len(u) != 1 || u["b"] != 5 {
		t.Errorf("drains to report: %v", u)
	}
	m.SetLocal([]Entry{localEntry("a", 5, aspenshed.Up), localEntry("b", 5, aspenshed.Up)})
	m.SetCatalog(2, []*pb.Member{catalogMember("a", 5, 0), catalogMember("b", 5, 0)})
	step("older state from both sources", "a5drain b5drain ")
	m.SetCatalog(2, []*pb.Member{catalogMember("a", 6, 0), catalogMember("b", 5, 9)})
	step("a has started again", "a6up b5drain ")
	if len(m.UnreportedDrains()) != 0 {
		t.Error("a drain that the store has is reported")
	}
	if _, changed := m.Merge(); changed {
		t.Error("changed without a new update")
	}
}

// A drain of the local list without a start applies to the start that is known then.
func TestDrainWithoutStart(t *testing.T) {
	m := New()
	m.SetLocal([]Entry{localEntry("a", 0, aspenshed.Draining)})
	m.SetCatalog(3, []*pb.Member{catalogMember("a", 7, 0), catalogMember("c", 7, 0)})
	if got := describe(m); got != "a7drain c7up " {
		t.Error(got)
	}
	// The local list waits to be published and takes precedence.
	m.SetLocal([]Entry{localEntry("a", 0, aspenshed.Up), localEntry("d", 0, aspenshed.Up)})
	m.SetLocalPending()
	if got := describe(m); got != "a7drain d0up " {
		t.Error(got)
	}
	m.LocalStored(4)
	m.SetCatalog(4, []*pb.Member{catalogMember("d", 8, 0)})
	if got := describe(m); got != "d8up " {
		t.Error(got)
	}
}

// A drain by an administrator, of a member that only the local list has yet, applies to the start that the catalog has once it is
// received; one of a member on no list is none.
func TestAdministratorsDrainBeforeTheFirstCatalog(t *testing.T) {
	m := New()
	m.SetLocal([]Entry{localEntry("a", 0, aspenshed.Up), localEntry("b", 0, aspenshed.Up)})
	if !m.Drain("a") || m.Drain("x") {
		t.Error("a member on the list was not drained, or one on none was")
	}
	if got := describe(m); got != "a0drain b0up " {
		t.Error(got)
	}
	m.SetCatalog(3, []*pb.Member{catalogMember("a", 7, 0), catalogMember("b", 7, 0)})
	if got := describe(m); got != "a7drain b7up " || m.UnreportedDrains()["a"] != 7 {
		t.Errorf("%s, to be reported %v", got, m.UnreportedDrains())
	}
	m.SetCatalog(3, []*pb.Member{catalogMember("a", 8, 0), catalogMember("b", 7, 0)})
	if got := describe(m); got != "a8up b7up " {
		t.Errorf("after a new start: %s", got)
	}
}

// A member's zone does not depend on the source of its entry, nor on the order of sites in it.
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
		t.Errorf("%d drains, %d of them unreported, are kept", len(m.drains), len(m.unreportedDrains))
	}
}
