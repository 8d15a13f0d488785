package catalog

import (
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

func (c *Catalog) markDraining(m *pb.Member, reason string) {
	if m.DrainedAt == 0 {
		c.touchMember(m.Entry.Id)
		m.DrainedAt, m.DrainReason = max(c.state.Now, 1), reason
	}
}

// drain records a drain of a member's start. Only a newer start ends it.
func (c *Catalog) drain(d *pb.Drain) *pb.Result {
	m := c.members[d.Member]
	if m == nil {
		if t := c.tombstones[d.Member]; t != nil && (d.Start == 0 || d.Start >= t.Start) {
			t.Drained, t.Start = true, max(t.Start, d.Start)
			return &pb.Result{}
		}
		return refused("no member %q is present", d.Member)
	}
	switch {
	case d.Start != 0 && d.Start < m.Start:
		return refused("%s has started again since", d.Member)
	case d.Start > m.Start: // the command also reports a newer start
		c.applyStart(m, d.Start)
	}
	c.markDraining(m, d.Reason)
	c.membersVersion++
	return &pb.Result{}
}

func (c *Catalog) recordStart(s *pb.Start) *pb.Result {
	m := c.members[s.Member]
	switch {
	case m == nil:
		return refused("no member %q is present", s.Member)
	case s.Start <= m.Start:
		return refused("%s is known to have started then or later", s.Member)
	}
	c.applyStart(m, s.Start)
	c.membersVersion++
	return &pb.Result{}
}

// markWarmedUp ends the slow start of a member. The proposer has measured its duration by its own clock.
func (c *Catalog) markWarmedUp(w *pb.Warm) *pb.Result {
	m := c.members[w.Member]
	if m == nil || m.Start != w.Start || !IsWarming(m) {
		return refused("%s is not cold since that start", w.Member)
	}
	c.touchMember(w.Member)
	m.WarmAt, m.Leases = max(c.state.Now, 1), nil
	c.membersVersion++
	c.leasesVersion++
	return &pb.Result{}
}

// applyStart records a new start of m: in slow start, not draining, without leases. Its reported age is ignored, as
// clocks may differ, unless it exceeds warmedUpStartAge.
func (c *Catalog) applyStart(m *pb.Member, start int64) {
	c.touchMember(m.Entry.Id)
	m.Start, m.WarmAt, m.DrainedAt, m.DrainReason, m.Leases = start, 0, 0, "", nil
	if m.ColdSince = max(c.state.Now, 1); c.state.Now-start > warmedUpStartAge {
		m.ColdSince = 0
	}
	c.leasesVersion++
}

// IsWarming reports whether m is in slow start, as far as this replica knows.
func IsWarming(m *pb.Member) bool { return m.ColdSince != 0 && m.WarmAt == 0 }
