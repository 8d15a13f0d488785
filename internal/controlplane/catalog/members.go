package catalog

import (
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// The members: inventory, drains, starts, and leases of cold capacity.

// isCold tells whether a member's start has not been agreed to be warm.
func (c *Catalog) isCold(m *pb.Member) bool { return m.ColdSince != 0 && m.WarmAt == 0 }

// Cold tells whether m is cold as far as this replica has heard.
func Cold(m *pb.Member) bool { return m.ColdSince != 0 && m.WarmAt == 0 }

func (c *Catalog) putInventory(p *pb.PutInventory) *pb.Result {
	if p.Base != c.s.Inventory {
		return refused("the inventory is at version %d, not %d", c.s.Inventory, p.Base)
	}
	if len(p.Members) > mostMembers {
		return refused("%d members, %d at most", len(p.Members), mostMembers)
	}
	listed := map[string]bool{}
	for i, e := range p.Members {
		switch {
		case e.GetId() == "" || e.Address == "":
			return refused("members[%d]: id or address missing", i)
		case listed[e.Id]:
			return refused("members[%d]: %q is named twice", i, e.Id)
		}
		listed[e.Id] = true
	}
	known := map[string]bool{} // wires that the installation has had members of
	for _, m := range c.members {
		known[m.Entry.Wire] = true
	}
	for _, e := range p.Members {
		m := c.members[e.Id]
		if m == nil {
			m = c.appear(e, !known[e.Wire])
		} else if m.Entry = e; e.Started > m.Start {
			c.begin(m, e.Started)
		}
		if e.State != "" && e.State != "in_service" {
			c.markDrain(m, "the inventory says "+e.State)
		}
	}
	for _, id := range sorted(c.members) {
		if m := c.members[id]; !listed[id] {
			delete(c.members, id)
			c.tombs[id] = &pb.Tombstone{Member: id, Start: m.Start, At: c.s.Now, Drained: m.DrainedAt != 0}
		}
	}
	c.trimTombs()
	c.s.Inventory++
	c.s.InventoryAuthor, c.s.InventoryAt = p.Author, c.s.Now
	c.membersVersion++
	return &pb.Result{Version: c.s.Inventory}
}

// appear takes in a member that was not present. What is new to a running installation is cold; at the first
// inventory of a wire, what does not tell its start has been there for long.
func (c *Catalog) appear(e *pb.Entry, first bool) *pb.Member {
	m := &pb.Member{Entry: e}
	c.members[e.Id] = m
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
	if held >= mostLeases || share < leastShare {
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
	least := leastWeight * sum / float64(len(wants))
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
