package catalog

import (
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// OutstandingShare returns the part of a warming member's pool that an instance may be using: the largest of its leases
// that have not been released. A replaced lease counts until it has certainly expired.
func OutstandingShare(m *pb.Member, instance string) (share float64) {
	for _, l := range m.Leases {
		if l.Instance == instance {
			share = max(share, l.Share)
		}
	}
	return share
}

// grantLease grants a share of a warming member's pool, in proportion to the demand of the instances, as far as it is
// available. The sum of outstanding shares never exceeds the pool, whichever instances are disconnected.
func (c *Catalog) grantLease(a *pb.Ask) *pb.Result {
	m := c.members[a.Member]
	switch {
	case m == nil || m.Start != a.Start || !IsWarming(m):
		return refused("%s is not cold since that start", a.Member)
	case c.instances[a.Instance] == nil:
		return refused("no instance %q is known", a.Instance)
	case a.Duration <= 0 || a.Duration > c.state.Rules.ColdFor || a.Nonce == "" || !(a.Want >= 0 && a.Want < 1e9):
		return refused("a lease needs a nonce, a want and a duration of at most the cold time")
	}
	leases, used := 0, 0.0
	for _, id := range leaseHolders(m) {
		if id != a.Instance {
			used += OutstandingShare(m, id)
		}
	}
	for _, l := range m.Leases {
		if l.Instance == a.Instance {
			leases++
		}
	}
	share := min(c.fairShare(m, a), c.state.Rules.Pool-used)
	if leases >= maxLeasesPerHolder || share < minLeaseShare {
		return refused("no share of %s is free", a.Member)
	}
	c.state.Serial++
	m.Leases = append(m.Leases, &pb.Lease{Instance: a.Instance, Serial: c.state.Serial, Share: share, Duration: a.Duration, Nonce: a.Nonce})
	c.leasesVersion++
	return &pb.Result{Version: c.state.Serial}
}

func leaseHolders(m *pb.Member) (ids []string) {
	for _, l := range m.Leases {
		if !slices.Contains(ids, l.Instance) {
			ids = append(ids, l.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}

// fairShare returns the part of the pool that is due to the requesting instance, by the demand of all instances for the
// group.
func (c *Catalog) fairShare(m *pb.Member, a *pb.Ask) float64 {
	var demands []float64
	own, sum := a.Want, 0.0
	for _, id := range sortedKeys(c.instances) {
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
		demands, sum = append(demands, w), sum+w
	}
	least := minDemandWeight * sum / float64(len(demands))
	if sum == 0 {
		least, own = 1, 1
	}
	total := 0.0
	for _, w := range demands {
		total += max(w, least)
	}
	return c.state.Rules.Pool * max(own, least) / total
}

// releaseLease releases a lease that has certainly expired at its holder, as measured by the leader's clock.
func (c *Catalog) releaseLease(r *pb.Release) *pb.Result {
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
