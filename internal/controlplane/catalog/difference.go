package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Difference returns the changes that make one wire's members equal to a list: new and changed entries, in list order,
// and the ids of members that are no longer listed, sorted. An entry that names another server than before gets now, in
// Unix nanoseconds, as its start: like a new member it is in slow start. One that drains keeps its start, as another one
// would end the drain.
func (c *Catalog) Difference(wire string, list []*pb.Entry, now int64) (changed []*pb.Entry, removed []string) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Id] = true
		m := c.members[e.Id]
		switch {
		case m == nil:
			changed = append(changed, e)
		case isReplacement(m.Entry, e) && m.DrainedAt == 0 && !isDraining(e):
			changed = append(changed, startedAt(e, max(now, m.Start+1, e.Started)))
		case !equalEntries(m.Entry, e) || m.DrainedAt == 0 && isDraining(e):
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

// isReplacement reports whether a member's new entry names another server, or the same with other data.
func isReplacement(known, e *pb.Entry) bool {
	return known.Address != e.Address || GroupOf(known) != GroupOf(e)
}

// equalEntries reports whether an entry says what is known of the member. A list that names no start says nothing of it.
func equalEntries(known, e *pb.Entry) bool {
	if e.Started == 0 && known.Started != 0 {
		e = startedAt(e, known.Started)
	}
	return proto.Equal(known, e)
}

// startedAt returns a copy of an entry with that start.
func startedAt(e *pb.Entry, start int64) *pb.Entry {
	out := proto.Clone(e).(*pb.Entry)
	out.Started = start
	return out
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

// ListDigest identifies the content of one wire's member list, whatever the order of its entries. Starts are not part of it,
// as the catalog adds them. 0: the empty list.
type ListDigest uint64

// WireDigest returns the digest of a wire's members.
func (c *Catalog) WireDigest(wire string) (d ListDigest) {
	for _, m := range c.members {
		if m.Entry.Wire == wire {
			d ^= digestOfEntry(m.Entry)
		}
	}
	return d
}

// DigestOf returns the digest of a list.
func DigestOf(list []*pb.Entry) (d ListDigest) {
	for _, e := range list {
		d ^= digestOfEntry(e)
	}
	return d
}

func digestOfEntry(e *pb.Entry) ListDigest {
	return ListDigest(xxhash.Sum64(encodeRecord(e.Id, startedAt(e, 0)).Value))
}
