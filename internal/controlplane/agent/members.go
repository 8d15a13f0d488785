package agent

import (
	"maps"
	"slices"

	"aspenshed"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/roster"
)

// changeFeed is a Store that knows which members have changed after a revision; known is false if any may have. It is
// called within Read. With thousands of members, a change then needs no iteration over all of them.
type changeFeed interface {
	ChangedMembers(rev uint64) (ids []string, known bool)
}

// catalogChanges is the result of reading the catalog.
type catalogChanges struct {
	whole   bool           // anything may have changed
	changed []string       // otherwise the members that may have changed
	differs []roster.Entry // of these, the changed entries of the merged list
}

// readCatalog reads what has changed in the catalog.
func (a *Agent) readCatalog() (changes catalogChanges) {
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		members, learned, leases := c.Versions()
		previous, since := a.seenVersions, a.revision
		a.seenVersions, a.revision = [3]uint64{members, learned, leases}, c.Index()
		if a.localChanged || members != previous[0] {
			changes = a.readMembers(c, since)
		}
		if changes.whole || leases != previous[2] {
			a.warmingMembers = a.filterWire(c.WarmingMembers())
		}
		if changes.whole || learned != previous[1] {
			a.groupSummaries, changes.whole = c.GroupSummaries(), true
		}
	})
	a.localChanged = false
	return changes
}

// readMembers reads the members that have changed after a revision, or all of them.
func (a *Agent) readMembers(c *catalog.Catalog, since uint64) (changes catalogChanges) {
	feed, ok := a.cfg.Store.(changeFeed)
	if ok && !a.localChanged && a.merger.CanApplyChanges() {
		ids, known := feed.ChangedMembers(since)
		if known {
			changes.changed, changes.differs = ids, a.applyMemberChanges(c, ids)
			changes.whole = a.hasNewPrimary(c, ids)
			return changes
		}
	}
	a.loadMembers(c)
	return catalogChanges{whole: true}
}

// hasNewPrimary reports whether one of the members is a known primary and has not been posted as one.
func (a *Agent) hasNewPrimary(c *catalog.Catalog, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		m := c.Member(id)
		return m != nil && c.Primary(catalog.GroupOf(m.Entry)).GetMember() == id && !a.postedPrimaries[id]
	})
}

// loadMembers reads all members of this wire from the catalog.
func (a *Agent) loadMembers(c *catalog.Catalog) {
	members := a.filterWire(c.Members())
	version := c.InventoryVersion()
	// An inventory with members of other wires only does not apply to this one.
	if a.hasWireMembers = a.hasWireMembers || len(members) > 0; !a.hasWireMembers {
		version = 0
	}
	a.merger.SetCatalog(version, members)
	a.starts = map[string]aspenshed.SlowStartShare{}
	for _, m := range members {
		a.recordStart(m)
	}
	maps.DeleteFunc(a.postedShares, func(id string, _ aspenshed.SlowStartShare) bool { _, present := a.starts[id]; return !present })
}

// applyMemberChanges updates the state derived from single members.
func (a *Agent) applyMemberChanges(c *catalog.Catalog, ids []string) (differs []roster.Entry) {
	changes := make([]roster.Change, 0, len(ids))
	changed := make(map[string]bool, len(ids))
	for _, id := range ids {
		m := c.Member(id)
		if m != nil && m.Entry.Wire != a.cfg.Wire {
			m = nil
		}
		changes = append(changes, roster.Change{ID: id, Member: m})
		changed[id] = true
	}
	a.warmingMembers = slices.DeleteFunc(a.warmingMembers, func(m *pb.Member) bool { return changed[m.Entry.Id] })
	for _, x := range changes {
		a.applyMemberChange(x)
	}
	return a.merger.ApplyChanges(c.InventoryVersion(), changes)
}

func (a *Agent) applyMemberChange(x roster.Change) {
	delete(a.starts, x.ID)
	if x.Member != nil {
		a.recordStart(x.Member)
		if catalog.IsWarming(x.Member) {
			a.warmingMembers = append(a.warmingMembers, proto.Clone(x.Member).(*pb.Member))
		}
	}
	if _, present := a.starts[x.ID]; !present {
		delete(a.postedShares, x.ID)
	}
}

// recordStart records whether a member's start is warmed up.
func (a *Agent) recordStart(m *pb.Member) {
	if m.Start > 0 {
		a.starts[m.Entry.Id] = aspenshed.SlowStartShare{Member: m.Entry.Id, StartedAt: aspenshed.Nanos(m.Start), WarmedUp: !catalog.IsWarming(m)}
	}
}

// postMembers posts the member list if it, or the set of known primaries, has changed.
func (a *Agent) postMembers() {
	list, changed := a.merger.Merge()
	primary := map[string]bool{}
	for _, w := range a.groupSummaries {
		if w.Primary != "" {
			primary[w.Primary] = true
		}
	}
	if !changed && maps.Equal(primary, a.postedPrimaries) {
		return
	}
	a.postedPrimaries = primary
	if changed {
		a.cfg.Log.WithField("members", len(list)).Info("inventory in use")
	}
	a.postMemberList(true, list)
}

// postChangedMembers posts the changed and removed members of the list.
func (a *Agent) postChangedMembers(differs []roster.Entry) {
	a.cfg.Log.WithField("changed", len(differs)).Debug("inventory in use")
	a.postMemberList(false, differs)
}

// postMemberList posts a whole list, or the changed part of it, to the loop.
func (a *Agent) postMemberList(whole bool, list []roster.Entry) {
	l := aspenshed.MemberList{Complete: whole}
	for _, t := range list {
		t.Primary = t.Primary || a.postedPrimaries[t.ID]
		l.Members = append(l.Members, t.Member)
	}
	a.cfg.Loop.Post(func() { a.cfg.Pipeline.UpdateMembers(l) })
}

// postShares posts changes of each start: that it is warmed up, or its share during slow start. It has to follow the
// list that contains the start.
func (a *Agent) postShares(now aspenshed.Nanos, changes catalogChanges) {
	var updates []aspenshed.SlowStartShare
	update := func(x aspenshed.SlowStartShare) {
		if old, posted := a.postedShares[x.Member]; !posted || old != x && !nearlyEqual(old, x) {
			a.postedShares[x.Member] = x
			updates = append(updates, x)
		}
	}
	for _, m := range a.warmingMembers {
		x := a.starts[m.Entry.Id]
		x.LeasedShare, x.Until = a.holder.Share(now, x.Member, m.Start)
		x.WorkRate = a.groupSummaries[catalog.GroupOf(m.Entry)].WarmRate
		update(x)
	}
	a.eachWarmedUp(changes, update)
	if len(updates) > 0 {
		a.cfg.Loop.Post(func() {
			for _, x := range updates {
				a.cfg.Pipeline.AddEvent(x)
			}
		})
	}
}

// eachWarmedUp calls f for warmed-up starts that may be new, so that not all of thousands are checked at each tick.
func (a *Agent) eachWarmedUp(changes catalogChanges, f func(aspenshed.SlowStartShare)) {
	if changes.whole {
		for _, x := range a.starts {
			if x.WarmedUp {
				f(x)
			}
		}
	}
	for _, id := range changes.changed {
		if x, present := a.starts[id]; present && x.WarmedUp {
			f(x)
		}
	}
}
