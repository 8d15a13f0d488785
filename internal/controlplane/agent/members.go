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

// news is what a look at the catalog has found.
type news struct {
	whole   bool          // everything may differ
	changed []string      // else: these members may
	differs []roster.Told // of them, what the merged list has otherwise than before
}

// look takes what is new in the catalog.
func (a *Agent) look() (n news) {
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		members, learned, leases := c.Versions()
		was, since := a.seen, a.revision
		a.seen, a.revision = [3]uint64{members, learned, leases}, c.Index()
		if a.ownNew || members != was[0] {
			n = a.lookAtMembers(c, since)
		}
		if n.whole || leases != was[2] {
			a.cold = a.mine(c.ColdMembers())
		}
		if n.whole || learned != was[1] {
			a.groups, n.whole = c.GroupSummaries(), true
		}
	})
	a.ownNew = false
	return n
}

// lookAtMembers takes the members that have changed after a revision, or all of them.
func (a *Agent) lookAtMembers(c *catalog.Catalog, since uint64) (n news) {
	feed, has := a.cfg.Store.(changeFeed)
	if has && !a.ownNew && a.merger.FollowsChanges() {
		ids, known := feed.ChangedMembers(since)
		if known {
			n.changed, n.differs = ids, a.takeChanges(c, ids)
			n.whole = a.namesNewPrimary(c, ids)
			return n
		}
	}
	a.takeMembers(c)
	return news{whole: true}
}

// namesNewPrimary reports whether one of the members is known for a primary, and has not been told as one.
func (a *Agent) namesNewPrimary(c *catalog.Catalog, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		m := c.Member(id)
		return m != nil && c.Primary(catalog.GroupOf(m.Entry)).GetMember() == id && !a.primary[id]
	})
}

// takeMembers takes all that the catalog holds of this wire.
func (a *Agent) takeMembers(c *catalog.Catalog) {
	members := a.mine(c.Members())
	version := c.Inventory()
	if a.had = a.had || len(members) > 0; !a.had { // an inventory of another wire says nothing of this one
		version = 0
	}
	a.merger.Catalog(version, members)
	a.starts = map[string]aspenshed.SlowStartShare{}
	for _, m := range members {
		a.noteStart(m)
	}
	maps.DeleteFunc(a.shares, func(id string, _ aspenshed.SlowStartShare) bool { _, here := a.starts[id]; return !here })
}

// takeChanges brings what follows from single members up to date.
func (a *Agent) takeChanges(c *catalog.Catalog, ids []string) (differs []roster.Told) {
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
	a.cold = slices.DeleteFunc(a.cold, func(m *pb.Member) bool { return changed[m.Entry.Id] })
	for _, x := range changes {
		a.takeChange(x)
	}
	return a.merger.Changes(c.Inventory(), changes)
}

func (a *Agent) takeChange(x roster.Change) {
	delete(a.starts, x.ID)
	if x.Member != nil {
		a.noteStart(x.Member)
		if catalog.Cold(x.Member) {
			a.cold = append(a.cold, proto.Clone(x.Member).(*pb.Member))
		}
	}
	if _, here := a.starts[x.ID]; !here {
		delete(a.shares, x.ID)
	}
}

// noteStart remembers whether a member's start is warm.
func (a *Agent) noteStart(m *pb.Member) {
	if m.Start > 0 {
		a.starts[m.Entry.Id] = aspenshed.SlowStartShare{Member: m.Entry.Id, StartedAt: aspenshed.Nanos(m.Start), WarmedUp: !catalog.Cold(m)}
	}
}

// tellMembers tells the list if it, or whom the instances take for primaries, has changed.
func (a *Agent) tellMembers() {
	list, changed := a.merger.Merged()
	primary := map[string]bool{}
	for _, w := range a.groups {
		if w.Primary != "" {
			primary[w.Primary] = true
		}
	}
	if !changed && maps.Equal(primary, a.primary) {
		return
	}
	a.primary = primary
	if changed {
		a.cfg.Log.WithField("members", len(list)).Info("inventory in use")
	}
	a.post(true, list)
}

// tellChanged tells members that have changed, or are gone, out of a list that stays.
func (a *Agent) tellChanged(differs []roster.Told) {
	a.cfg.Log.WithField("changed", len(differs)).Debug("inventory in use")
	a.post(false, differs)
}

// post has the loop take a list, or a part of it.
func (a *Agent) post(whole bool, list []roster.Told) {
	l, addresses := aspenshed.MemberList{Complete: whole}, map[string]string{}
	for _, t := range list {
		t.Primary = t.Primary || a.primary[t.ID]
		l.Members = append(l.Members, t.Member)
		addresses[t.ID] = t.Address
	}
	a.cfg.Loop.Post(func() { a.cfg.Pipeline.Members(l, addresses) })
}

// tellShares tells what is new of each start: that it is warm, or what may be sent to it while it is cold. It comes
// after the list that names the start.
func (a *Agent) tellShares(now aspenshed.Nanos, n news) {
	var updates []aspenshed.SlowStartShare
	tell := func(x aspenshed.SlowStartShare) {
		if old, told := a.shares[x.Member]; !told || old != x && !alike(old, x) {
			a.shares[x.Member] = x
			updates = append(updates, x)
		}
	}
	for _, m := range a.cold {
		x := a.starts[m.Entry.Id]
		x.LeasedShare, x.Until = a.holder.Share(now, x.Member, m.Start)
		x.WorkRate = a.groups[catalog.GroupOf(m.Entry)].WarmRate
		tell(x)
	}
	a.eachWarm(n, tell)
	if len(updates) > 0 {
		a.cfg.Loop.Post(func() {
			for _, x := range updates {
				a.cfg.Pipeline.Tell(x)
			}
		})
	}
}

// eachWarm calls f for warm starts that may be new: thousands are not looked at at each tick.
func (a *Agent) eachWarm(n news, f func(aspenshed.SlowStartShare)) {
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
