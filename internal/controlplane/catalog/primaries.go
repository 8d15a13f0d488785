package catalog

import (
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// primaryRefreshInterval (ns) is how much newer a report of the known primary must be to be recorded: every gateway
	// that observes a change of primary reports it, and only the first report has to reach all the others.
	primaryRefreshInterval = 10e9
	// maxClockAhead (ns) is how far a report's time may be ahead of the leader's clock. A report from a clock that is
	// further ahead would hide all later reports.
	maxClockAhead = 60e9
)

func primaryGroup(p *pb.Primary) Group { return Group{Wire: p.Wire, ID: p.Group} }

// reportPrimary records the newest report of the member that takes a group's writes.
func (c *Catalog) reportPrimary(r *pb.ReportPrimary) *pb.Result {
	group := Group{Wire: r.Wire, ID: r.Group}
	known := c.primaries[group.String()]
	m := c.members[r.Member]
	switch {
	case m == nil || GroupOf(m.Entry) != group:
		return refused("no member %q is in group %s", r.Member, group)
	case r.At <= 0 || r.At > c.state.Now+maxClockAhead:
		return refused("the report's time is not one of the last moments")
	case known != nil && r.At <= known.At:
		return refused("a newer report of %s is known", group)
	case known == nil && len(c.primaries) >= maxGroups:
		return refused("primaries of %d groups are known already", maxGroups)
	case isRefresh(known, r):
		return &pb.Result{}
	}
	c.touch(revision.PrimaryPrefix + group.String())
	c.primaries[group.String()] = &pb.Primary{Wire: r.Wire, Group: r.Group, Member: r.Member, At: r.At}
	c.learnedVersion++
	return &pb.Result{}
}

// Primary returns the newest report of a group's primary, nil if there is none. It must not be modified.
func (c *Catalog) Primary(group Group) *pb.Primary { return c.primaries[group.String()] }

// isRefresh reports whether a report names the known primary and is within primaryRefreshInterval of its last report.
func isRefresh(known *pb.Primary, r *pb.ReportPrimary) bool {
	return known != nil && known.Member == r.Member && r.At <= known.At+primaryRefreshInterval
}

// dropPrimary drops a group's primary if it is the given member, which has left the group.
func (c *Catalog) dropPrimary(group Group, member string) {
	key := group.String()
	if p := c.primaries[key]; p != nil && p.Member == member {
		c.touch(revision.PrimaryPrefix + key)
		delete(c.primaries, key)
		c.learnedVersion++
	}
}
