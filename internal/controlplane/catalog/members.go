package catalog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// inService is the inventory state of a member that may receive requests.
const inService = "in_service"

// putInventory replaces the whole member list.
func (c *Catalog) putInventory(p *pb.PutInventory) *pb.Result {
	if p.Base != c.state.Inventory {
		return refused("the inventory is at version %d, not %d", c.state.Inventory, p.Base)
	}
	listed, problem := checkEntries(p.Members)
	if problem == "" && len(p.Members) > maxMembers {
		problem = fmt.Sprintf("%d members, %d at most", len(p.Members), maxMembers)
	}
	if problem != "" {
		return refused("%s", problem)
	}
	c.upsertEntries(p.Members)
	for _, id := range sortedKeys(c.members) {
		if !listed[id] {
			c.removeMember(id)
		}
	}
	c.trimTombstones()
	c.inventoryChanged(p.Author)
	return &pb.Result{Version: c.state.Inventory}
}

// upsertMembers changes or adds single members.
func (c *Catalog) upsertMembers(p *pb.UpsertMembers) *pb.Result {
	listed, problem := checkEntries(p.Members)
	if problem != "" {
		return refused("%s", problem)
	}
	if p.Checked && p.Base != c.state.Inventory {
		return refused("the inventory is at version %d, not %d", c.state.Inventory, p.Base)
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
	if c.upsertEntries(p.Members) {
		c.inventoryChanged(p.Author)
	}
	return &pb.Result{Version: c.state.Inventory}
}

// removeMembers removes members from the list. Unknown ids are ignored.
func (c *Catalog) removeMembers(p *pb.RemoveMembers) *pb.Result {
	if slices.Contains(p.Members, "") {
		return refused("a member needs an id")
	}
	removed := false
	for _, id := range p.Members {
		removed = c.removeMember(id) || removed
	}
	if removed {
		c.trimTombstones()
		c.inventoryChanged(p.Author)
	}
	return &pb.Result{Version: c.state.Inventory}
}

func (c *Catalog) inventoryChanged(author string) {
	c.state.Inventory++
	c.state.InventoryAuthor, c.state.InventoryAt = author, c.state.Now
	c.membersVersion++
}

// checkEntries returns the ids of a list, or the problem of an invalid list.
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

// upsertEntries adds or changes validated entries and reports whether anything changed.
func (c *Catalog) upsertEntries(list []*pb.Entry) (changed bool) {
	known := map[string]bool{} // wires that have members
	for group := range c.groups {
		known[group.Wire] = true
	}
	for _, e := range list {
		m := c.members[e.Id]
		switch {
		case m == nil:
			c.touchMember(e.Id)
			m = c.addMember(e, !known[e.Wire])
			changed = true
		case !proto.Equal(m.Entry, e):
			c.touchMember(e.Id)
			c.replaceEntry(m, e)
			changed = true
		}
		if m.DrainedAt == 0 && isDraining(e) {
			c.markDraining(m, "the inventory says "+e.State)
			changed = true
		}
	}
	return changed
}

// isDraining reports whether the inventory state of a member excludes it from new requests.
func isDraining(e *pb.Entry) bool { return e.State != "" && e.State != inService }

func (c *Catalog) replaceEntry(m *pb.Member, e *pb.Entry) {
	from, to := GroupOf(m.Entry), GroupOf(e)
	replaced := isReplacement(m.Entry, e)
	if replaced { // the role was the former server's
		c.dropPrimary(from, e.Id)
	}
	m.Entry = e
	if from != to {
		c.countMember(from, -1)
		c.countMember(to, 1)
	}
	// The start of a replacement was chosen by its publisher, who may not have known of the drain.
	if e.Started > m.Start && !(replaced && m.DrainedAt != 0) {
		c.applyStart(m, e.Started)
	}
}

// countMember adds n to the number of members of a group.
func (c *Catalog) countMember(group Group, n int) {
	c.groups[group] += n
	if c.groups[group] <= 0 {
		delete(c.groups, group)
	}
}

// removeMember removes a member from the list and keeps its start and drain in a tombstone, in case it returns.
func (c *Catalog) removeMember(id string) bool {
	m := c.members[id]
	if m == nil {
		return false
	}
	c.touchMember(id)
	delete(c.members, id)
	c.countMember(GroupOf(m.Entry), -1)
	c.dropPrimary(GroupOf(m.Entry), id)
	c.tombstones[id] = &pb.Tombstone{Member: id, Start: m.Start, At: c.state.Now, Drained: m.DrainedAt != 0}
	return true
}

// addMember adds a member that was not present. A new member of a running installation is in slow start; in the first
// inventory of a wire, a member without a start time is considered warmed up.
func (c *Catalog) addMember(e *pb.Entry, first bool) *pb.Member {
	m := &pb.Member{Entry: e}
	c.members[e.Id] = m
	c.countMember(GroupOf(e), 1)
	t := c.tombstones[e.Id]
	delete(c.tombstones, e.Id)
	switch {
	case t != nil && e.Started > 0 && e.Started <= t.Start: // it has not restarted: its drain still holds
		m.Start = t.Start
		if m.ColdSince = c.state.Now; t.Drained {
			c.markDraining(m, "it was draining when it left the list")
		}
	case e.Started > 0:
		c.applyStart(m, e.Started)
	case first && t == nil:
	default:
		start := c.state.Now
		if t != nil {
			start = max(start, t.Start+1)
		}
		c.applyStart(m, start)
	}
	return m
}

func (c *Catalog) trimTombstones() {
	limit := 2*len(c.members) + tombstoneSlack
	if len(c.tombstones) <= limit+tombstoneSlack/4 { // in batches: sorting costs more than the space
		return
	}
	all := sortedValues(c.tombstones)
	slices.SortFunc(all, byAge)
	for _, t := range all[:len(all)-limit] {
		delete(c.tombstones, t.Member)
	}
}
