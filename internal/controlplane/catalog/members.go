package catalog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// inService is the state of an inventory's member that may be sent requests.
const inService = "in_service"

// The members: inventory, drains, starts, and leases of cold capacity.

// isCold tells whether a member's start has not been agreed to be warm.
func (c *Catalog) isCold(m *pb.Member) bool { return m.ColdSince != 0 && m.WarmAt == 0 }

// Cold tells whether m is cold as far as this replica has heard.
func Cold(m *pb.Member) bool { return m.ColdSince != 0 && m.WarmAt == 0 }

// putInventory replaces the whole list.
func (c *Catalog) putInventory(p *pb.PutInventory) *pb.Result {
	if p.Base != c.s.Inventory {
		return refused("the inventory is at version %d, not %d", c.s.Inventory, p.Base)
	}
	listed, problem := checkEntries(p.Members)
	if problem == "" && len(p.Members) > maxMembers {
		problem = fmt.Sprintf("%d members, %d at most", len(p.Members), maxMembers)
	}
	if problem != "" {
		return refused("%s", problem)
	}
	c.upsert(p.Members)
	for _, id := range sorted(c.members) {
		if !listed[id] {
			c.remove(id)
		}
	}
	c.trimTombs()
	c.inventoryChanged(p.Author)
	return &pb.Result{Version: c.s.Inventory}
}

// upsertMembers changes or adds the members that it names.
func (c *Catalog) upsertMembers(p *pb.UpsertMembers) *pb.Result {
	listed, problem := checkEntries(p.Members)
	if problem != "" {
		return refused("%s", problem)
	}
	if p.Checked && p.Base != c.s.Inventory {
		return refused("the inventory is at version %d, not %d", c.s.Inventory, p.Base)
	}
	total := len(c.members)
	for id := range listed {
		if c.members[id] == nil {
			total++
		}
	}
	if total > maxMembers {
		return refused("%d members, %d at most", total, maxMembers)
	}
	if c.upsert(p.Members) {
		c.inventoryChanged(p.Author)
	}
	return &pb.Result{Version: c.s.Inventory}
}

// removeMembers takes members off the list. Those that are not on it stay away.
func (c *Catalog) removeMembers(p *pb.RemoveMembers) *pb.Result {
	if slices.Contains(p.Members, "") {
		return refused("a member needs an id")
	}
	removed := false
	for _, id := range p.Members {
		removed = c.remove(id) || removed
	}
	if removed {
		c.trimTombs()
		c.inventoryChanged(p.Author)
	}
	return &pb.Result{Version: c.s.Inventory}
}

func (c *Catalog) inventoryChanged(author string) {
	c.s.Inventory++
	c.s.InventoryAuthor, c.s.InventoryAt = author, c.s.Now
	c.membersVersion++
}

// checkEntries returns the ids that a list names, or what is wrong with the list.
func checkEntries(list []*pb.Entry) (ids map[string]bool, problem string) {
	ids = make(map[string]bool, len(list))
	for i, e := range list {
		switch {
		case e.GetId() == "" || e.Address == "":
			return nil, fmt.Sprintf("members[%d]: id or address missing", i)
		case ids[e.Id]:
			return nil, fmt.Sprintf("members[%d]: %q is named twice", i, e.Id)
		}
		ids[e.Id] = true
	}
	return ids, ""
}

// upsert takes in checked entries and reports whether they changed anything.
func (c *Catalog) upsert(list []*pb.Entry) (changed bool) {
	known := map[string]bool{} // wires that the installation has had members of
	for group := range c.groups {
		known[group.Wire] = true
	}
	for _, e := range list {
		m := c.members[e.Id]
		switch {
		case m == nil:
			c.touchMember(e.Id)
			m = c.appear(e, !known[e.Wire])
			changed = true
		case !proto.Equal(m.Entry, e):
			c.touchMember(e.Id)
			c.replaceEntry(m, e)
			changed = true
		}
		if m.DrainedAt == 0 && isDraining(e) {
			c.markDrain(m, "the inventory says "+e.State)
			changed = true
		}
	}
	return changed
}

// isDraining reports whether an inventory says that a member is to get nothing new.
func isDraining(e *pb.Entry) bool { return e.State != "" && e.State != inService }

func (c *Catalog) replaceEntry(m *pb.Member, e *pb.Entry) {
	from, to := GroupOf(m.Entry), GroupOf(e)
	m.Entry = e
	if from != to {
		c.countMember(from, -1)
		c.countMember(to, 1)
		c.forgetPrimary(from, e.Id)
	}
	if e.Started > m.Start {
		c.begin(m, e.Started)
	}
}

// countMember keeps the number of members of each group that has any.
func (c *Catalog) countMember(group Group, n int) {
	c.groups[group] += n
	if c.groups[group] <= 0 {
		delete(c.groups, group)
	}
}

// remove takes a member off the list and keeps its start and drain, in case that it comes back.
func (c *Catalog) remove(id string) bool {
	m := c.members[id]
	if m == nil {
		return false
	}
	c.touchMember(id)
	delete(c.members, id)
	c.countMember(GroupOf(m.Entry), -1)
	c.forgetPrimary(GroupOf(m.Entry), id)
	c.tombs[id] = &pb.Tombstone{Member: id, Start: m.Start, At: c.s.Now, Drained: m.DrainedAt != 0}
	return true
}

// appear takes in a member that was not present. What is new to a running installation is cold; at the first
// inventory of a wire, what does not tell its start has been there for long.
func (c *Catalog) appear(e *pb.Entry, first bool) *pb.Member {
	m := &pb.Member{Entry: e}
	c.members[e.Id] = m
	c.countMember(GroupOf(e), 1)
	t := c.tombs[e.Id]
	delete(c.tombs, e.Id)
	switch {
	case t != nil && e.Started > 0 && e.Started <= t.Start: // it never went: its drain still holds
		m.Start = t.Start
		if m.ColdSince = c.s.Now; t.Drained {
			c.markDrain(m, "it was draining when it left the list")
		}
	case e.Started > 0:
		c.begin(m, e.Started)
	case first && t == nil:
	default:
		start := c.s.Now
		if t != nil {
			start = max(start, t.Start+1)
		}
		c.begin(m, start)
	}
	return m
}

// begin makes a new start of m: cold, not draining, without leases. How long it has run already is not believed, as
// clocks may be apart, unless it is very long.
func (c *Catalog) begin(m *pb.Member, start int64) {
	c.touchMember(m.Entry.Id)
	m.Start, m.WarmAt, m.DrainedAt, m.DrainReason, m.Leases = start, 0, 0, "", nil
	if m.ColdSince = max(c.s.Now, 1); c.s.Now-start > longAgo {
		m.ColdSince = 0
	}
	c.leasesVersion++
}

func (c *Catalog) trimTombs() {
	most := 2*len(c.members) + spareTombs
	if len(c.tombs) <= most+spareTombs/4 { // in steps: sorting at each change would cost more than the space
		return
	}
	all := values(c.tombs)
	slices.SortFunc(all, byAge)
	for _, t := range all[:len(all)-most] {
		delete(c.tombs, t.Member)
	}
}

func (c *Catalog) markDrain(m *pb.Member, reason string) {
	if m.DrainedAt == 0 {
		c.touchMember(m.Entry.Id)
		m.DrainedAt, m.DrainReason = max(c.s.Now, 1), reason
	}
}

// drain binds a drain to (member, start). Nothing takes it back but a newer start.
func (c *Catalog) drain(d *pb.Drain) *pb.Result {
	m := c.members[d.Member]
	if m == nil {
		if t := c.tombs[d.Member]; t != nil && (d.Start == 0 || d.Start >= t.Start) {
			t.Drained, t.Start = true, max(t.Start, d.Start)
			return &pb.Result{}
		}
		return refused("no member %q is present", d.Member)
	}
	switch {
	case d.Start != 0 && d.Start < m.Start:
		return refused("%s has started again since", d.Member)
	case d.Start > m.Start: // its start is news as well
		c.begin(m, d.Start)
	}
	c.markDrain(m, d.Reason)
	c.membersVersion++
	return &pb.Result{}
}

func (c *Catalog) start(s *pb.Start) *pb.Result {
	m := c.members[s.Member]
	switch {
	case m == nil:
		return refused("no member %q is present", s.Member)
	case s.Start <= m.Start:
		return refused("%s is known to have started then or later", s.Member)
	}
	c.begin(m, s.Start)
	c.membersVersion++
	return &pb.Result{}
}

// warm agrees that a start is warm. Who asks for it has seen the cold time pass on its own clock.
func (c *Catalog) warm(w *pb.Warm) *pb.Result {
	m := c.members[w.Member]
	if m == nil || m.Start != w.Start || !c.isCold(m) {
		return refused("%s is not cold since that start", w.Member)
	}
	c.touchMember(w.Member)
	m.WarmAt, m.Leases = max(c.s.Now, 1), nil
	c.membersVersion++
	c.leasesVersion++
	return &pb.Result{}
}

// ---- leases ----

// Outstanding is the part of a cold member's pool that an instance may be using: the largest of its leases that have
// not been released. One that has been replaced counts until it has surely run out.
func Outstanding(m *pb.Member, instance string) (share float64) {
	for _, l := range m.Leases {
		if l.Instance == instance {
			share = max(share, l.Share)
		}
	}
	return share
}

// ask grants a share of a cold member's pool: in proportion to what the instances want, as far as it is free. The
// sum of all that is outstanding never passes the pool, whoever is cut off.
func (c *Catalog) ask(a *pb.Ask) *pb.Result {
	m := c.members[a.Member]
	switch {
	case m == nil || m.Start != a.Start || !c.isCold(m):
		return refused("%s is not cold since that start", a.Member)
	case c.instances[a.Instance] == nil:
		return refused("no instance %q is known", a.Instance)
	case a.Duration <= 0 || a.Duration > c.s.Rules.ColdFor || a.Nonce == "" || !(a.Want >= 0 && a.Want < 1e9):
		return refused("a lease needs a nonce, a want and a duration of at most the cold time")
	}
	held, taken := 0, 0.0
	for _, id := range holders(m) {
		if id != a.Instance {
			taken += Outstanding(m, id)
		}
	}
	for _, l := range m.Leases {
		if l.Instance == a.Instance {
			held++
		}
	}
	share := min(c.fair(m, a), c.s.Rules.Pool-taken)
	if held >= maxLeases || share < minShare {
		return refused("no share of %s is free", a.Member)
	}
	c.s.Serial++
	m.Leases = append(m.Leases, &pb.Lease{Instance: a.Instance, Serial: c.s.Serial, Share: share, Duration: a.Duration, Nonce: a.Nonce})
	c.leasesVersion++
	return &pb.Result{Version: c.s.Serial}
}

func holders(m *pb.Member) (ids []string) {
	for _, l := range m.Leases {
		if !slices.Contains(ids, l.Instance) {
			ids = append(ids, l.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}

// fair is the part of the pool that is due to who asks, by what all instances want of that group.
func (c *Catalog) fair(m *pb.Member, a *pb.Ask) float64 {
	var wants []float64
	own, sum := a.Want, 0.0
	for _, id := range sorted(c.instances) {
		w := 0.0
		if id == a.Instance {
			w = own
		} else {
			for _, g := range c.instances[id].Groups {
				if g.Group == m.Entry.Group {
					w = g.WarmRate
				}
			}
		}
		wants, sum = append(wants, w), sum+w
	}
	least := minWeight * sum / float64(len(wants))
	if sum == 0 {
		least, own = 1, 1
	}
	total := 0.0
	for _, w := range wants {
		total += max(w, least)
	}
	return c.s.Rules.Pool * max(own, least) / total
}

// release takes a lease back whose time has surely passed at its holder, as the leader's own clock showed.
func (c *Catalog) release(r *pb.Release) *pb.Result {
	m := c.members[r.Member]
	if m == nil || m.Start != r.Start {
		return refused("%s holds no such lease", r.Member)
	}
	n := len(m.Leases)
	m.Leases = slices.DeleteFunc(m.Leases, func(l *pb.Lease) bool { return l.Serial == r.Serial })
	if len(m.Leases) == n {
		return refused("%s holds no such lease", r.Member)
	}
	c.leasesVersion++
	return &pb.Result{}
}
