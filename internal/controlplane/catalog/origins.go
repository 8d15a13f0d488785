package catalog

import (
	"cmp"
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// applyOnce applies a command unless its sequence number shows that it, or a later one of its origin, has been applied.
// An origin has one batch in flight at a time, so a late command with an earlier number has been abandoned by its
// sender.
func (c *Catalog) applyOnce(x *pb.Command) *pb.Result {
	c.state.Now = max(c.state.Now, x.At)
	if x.Origin == "" || x.Seq == 0 {
		return c.apply(x)
	}
	o := c.origins[x.Origin]
	if o != nil && x.Seq <= o.Seq {
		for _, r := range o.Recent {
			if r.Seq == x.Seq {
				return &pb.Result{Seq: r.Seq, Refused: r.Refused, Version: r.Version, Repeated: true}
			}
		}
		return &pb.Result{Seq: x.Seq, Refused: "an earlier command that comes late", Repeated: true}
	}
	if o == nil {
		if len(c.origins) >= maxOrigins {
			c.evictOrigins()
		}
		o = &pb.Origin{Name: x.Origin}
		c.origins[x.Origin] = o
	}
	r := c.apply(x)
	r.Seq = x.Seq
	if o.Seq, o.At = x.Seq, c.state.Now; len(o.Recent) >= maxRecentResults {
		o.Recent = slices.Delete(o.Recent, 0, 1)
	}
	o.Recent = append(o.Recent, r)
	return r
}

// evictOrigins drops the origins that have been inactive for longest, in batches, as finding them takes a sort.
func (c *Catalog) evictOrigins() {
	all := sortedValues(c.origins)
	slices.SortStableFunc(all, func(a, b *pb.Origin) int { return cmp.Compare(a.At, b.At) })
	for _, o := range all[:originEvictionBatch] {
		delete(c.origins, o.Name)
	}
}
