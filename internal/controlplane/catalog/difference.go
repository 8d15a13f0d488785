package catalog

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Difference returns the changes that make one wire's members equal to a list: new and changed entries, in list order,
// and the ids of members that are no longer listed, sorted.
func (c *Catalog) Difference(wire string, list []*pb.Entry) (changed []*pb.Entry, removed []string) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Id] = true
		m := c.members[e.Id]
		if m == nil || !proto.Equal(m.Entry, e) || m.DrainedAt == 0 && isDraining(e) {
			changed = append(changed, e)
		}
	}
	for id, m := range c.members {
		if m.Entry.Wire == wire && !listed[id] {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// HasWire reports whether the catalog has a member of that wire.
func (c *Catalog) HasWire(wire string) bool {
	for group := range c.groups {
		if group.Wire == wire {
			return true
		}
	}
	return false
}
