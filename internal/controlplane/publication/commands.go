package publication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	// MaxCommandBytes bounds one command of a published list: far below a frame's 4 MiB, so that a large list does not
	// delay other commands to the leader.
	MaxCommandBytes = 256 << 10
	// maxInitialListBytes bounds an initial list, which is sent as one command: below a frame's 4 MiB, with room for
	// the rest of the frame. 42,000 members, twice the planned fleet, take 2.6 MB.
	maxInitialListBytes = 4<<20 - 64<<10
	entryOverhead       = 6 // bytes per entry or id in a command beyond its own size: tag and length
)

// commands returns the commands for a difference, each within MaxCommandBytes unless a single entry is longer. Additions come
// first, so that no group is without members in between. Each is applied only on the version that the one before it makes;
// removals can't be checked.
func (p *Publication) commands(changed []*pb.Entry, removed []string, version uint64) (out []*pb.Command) {
	entryBytes := func(e *pb.Entry) int { return proto.Size(e) + entryOverhead }
	for i, part := range splitBySize(changed, entryBytes) {
		out = append(out, p.upsert(part, version+uint64(i)))
	}
	idBytes := func(id string) int { return len(id) + entryOverhead }
	for _, part := range splitBySize(removed, idBytes) {
		out = append(out, &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: part, Author: p.author}}})
	}
	return out
}

// upsert returns a command that is applied only to that version of the inventory.
func (p *Publication) upsert(entries []*pb.Entry, base uint64) *pb.Command {
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: entries, Author: p.author, Base: base, Checked: true}}}
}

// wholeInventory returns a difference as one command with the inventory of all wires: unlike a removal it is applied only to
// the version that it is based on, however late it comes.
func (p *Publication) wholeInventory(c *catalog.Catalog, changed []*pb.Entry, removed []string) *pb.Command {
	replaced := map[string]bool{}
	for _, e := range changed {
		replaced[e.Id] = true
	}
	for _, id := range removed {
		replaced[id] = true
	}
	entries := slices.Clone(changed)
	for _, m := range c.Members() {
		if !replaced[m.Entry.Id] {
			entries = append(entries, m.Entry)
		}
	}
	return &pb.Command{Body: &pb.Command_PutInventory{PutInventory: &pb.PutInventory{Base: c.InventoryVersion(), Members: entries, Author: p.author}}}
}

// splitBySize splits a list into parts of at most MaxCommandBytes.
func splitBySize[T any](list []T, size func(T) int) (parts [][]T) {
	begin, bytes := 0, 0
	for i, x := range list {
		n := size(x)
		if bytes += n; bytes > MaxCommandBytes && i > begin {
			parts = append(parts, list[begin:i])
			begin, bytes = i, n
		}
	}
	if begin < len(list) {
		parts = append(parts, list[begin:])
	}
	return parts
}
