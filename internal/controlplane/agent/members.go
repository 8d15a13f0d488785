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

// changeFeed is a Store that knows which members have changed after a revision; false: all may have. It is called
// within Read. With thousands of members a change then costs no walk over all of them.
type changeFeed interface {
	ChangedMembers(rev uint64) (ids []string, known bool)
}

// catalogChanges is what a look at the catalog has found.
type catalogChanges struct {
	whole   bool           // everything may differ
	changed []string       // else: these members may
	differs []roster.Entry // of them, what the merged list has otherwise than before
}

// readCatalog takes what is new in the catalog.
func (a *Agent) readCatalog() (n catalogChanges) {
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		members, learned, leases := c.Versions()
		was, since := a.seenVersions, a.revision
		a.seenVersions, a.revision = [3]uint64{members, learned, leases}, c.Index()
		if a.localChanged || members != was[0] {
			n = a.readMembers(c, since)
		}
		if n.whole || leases != was[2] {
			a.warmingMembers = a.filterWire(c.WarmingMembers())
		}
		if n.whole || learned != was[1] {
			a.groupSummaries, n.whole = c.GroupSummaries(), true
		}
	})
	a.localChanged = false
	return n
}

// readMembers takes the members that have changed after a revision, or all of them.
func (a *Agent) readMembers(c *catalog.Catalog, since uint64) (n catalogChanges) {
	feed, has := a.cfg.Store.(changeFeed)
	if has && !a.localChanged && a.merger.CanApplyChanges() {
		ids, known := feed.ChangedMembers(since)
		if known {
			n.changed, n.differs = ids, a.applyMemberChanges(c, ids)
			n.whole = a.hasNewPrimary(c, ids)
			return n
		}
	}
	a.loadMembers(c)
	return catalogChanges{whole: true}
}

// hasNewPrimary reports whether one of the members is known for a primary, and has not been told as one.
func (a *Agent) hasNewPrimary(c *catalog.Catalog, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		m := c.Member(id)
		return m != nil && c.Primary(catalog.GroupOf(m.Entry)).GetMember() == id && !a.postedPrimaries[id]
	})
}

// loadMembers takes all that the catalog holds of this wire.
func (a *Agent) loadMembers(c *catalog.Catalog) {
	members := a.filterWire(c.Members())
	version := c.InventoryVersion()
	if a.hasWireMembers = a.hasWireMembers || len(members) > 0; !a.hasWireMembers { // an inventory of another wire says nothing of this one
		version = 0
	}
	a.merger.SetCatalog(version, members)
	a.starts = map[string]aspenshed.SlowStartShare{}
	for _, m := range members {
		a.recordStart(m)
	}
	maps.DeleteFunc(a.postedShares, func(id string, _ aspenshed.SlowStartShare) bool { _, here := a.starts[id]; return !here })
}

// applyMemberChanges brings what follows from single members up to date.
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
	if _, here := a.starts[x.ID]; !here {
		delete(a.postedShares, x.ID)
	}
}

// recordStart remembers whether a member's start is warm.
func (a *Agent) recordStart(m *pb.Member) {
	if m.Start > 0 {
		a.starts[m.Entry.Id] = aspenshed.SlowStartShare{Member: m.Entry.Id, StartedAt: aspenshed.Nanos(m.Start), WarmedUp: !catalog.IsWarming(m)}
	}
}

// postMembers tells the list if it, or whom the instances take for primaries, has changed.
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

// postChangedMembers tells members that have changed, or are gone, out of a list that stays.
func (a *Agent) postChangedMembers(differs []roster.Entry) {
	a.cfg.Log.WithField("changed", len(differs)).Debug("inventory in use")
	a.postMemberList(false, differs)
}

// postMemberList has the loop take a list, or a part of it.
func (a *Agent) postMemberList(whole bool, list []roster.Entry) {
	l, addresses := aspenshed.MemberList{Complete: whole}, map[string]string{}
	for _, t := range list {
		t.Primary = t.Primary || a.postedPrimaries[t.ID]
		l.Members = append(l.Members, t.Member)
		addresses[t.ID] = t.Address
	}
	a.cfg.Loop.Post(func() { a.cfg.Pipeline.Members(l, addresses) })
}

// postShares tells what is new of each start: that it is warm, or what may be sent to it while it is cold. It comes
// after the list that names the start.
func (a *Agent) postShares(now aspenshed.Nanos, n catalogChanges) {
	var updates []aspenshed.SlowStartShare
	tell := func(x aspenshed.SlowStartShare) {
		if old, told := a.postedShares[x.Member]; !told || old != x && !nearlyEqual(old, x) {
			a.postedShares[x.Member] = x
			updates = append(updates, x)
		}
	}
	for _, m := range a.warmingMembers {
		x := a.starts[m.Entry.Id]
		x.LeasedShare, x.Until = a.holder.Share(now, x.Member, m.Start)
		x.WorkRate = a.groupSummaries[catalog.GroupOf(m.Entry)].WarmRate
		tell(x)
	}
	a.eachWarmedUp(n, tell)
	if len(updates) > 0 {
		a.cfg.Loop.Post(func() {
			for _, x := range updates {
				a.cfg.Pipeline.Tell(x)
			}
		})
	}
}

// eachWarmedUp calls f for warm starts that may be new: thousands are not looked at at each tick.
func (a *Agent) eachWarmedUp(n catalogChanges, f func(aspenshed.SlowStartShare)) {
	if n.whole {
		for _, x := range a.starts {
			if x.WarmedUp {
				f(x)
			}
		}
	}
	for _, id := range n.changed {
		if x, here := a.starts[id]; here && x.WarmedUp {
			f(x)
		}
	}
}
