// Package roster decides which members an instance's Router is told of: it merges what its own list says (a file,
// discovery) with what the catalog says. A drain counts from whichever side it was heard, for that start, for good.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// maxUnlistedDrains bounds what is remembered of members that are on no list; the oldest go.
const maxUnlistedDrains = 4096

// Entry is one member as a list has it.
type Entry struct {
	aspenshed.Member
	Address string
	Site    string // numbered here, so that both sides number alike; empty: Zone stands as it is
}

// Merger holds both sides.
type Merger struct {
	Zones            []string // sites, in the order in which they are numbered
	local            map[string]Entry
	localIsNewer     bool // the own list came after the catalog's inventory, which does not have it yet
	inventoryVersion uint64
	catalog          map[string]Entry
	drains           map[string]aspenshed.Nanos // member: the newest start for which a drain was heard
	lastMerged       map[string]Entry           // as last told
	// unreportedDrains are drains that were heard here and that the store has yet to be told.
	unreportedDrains map[string]aspenshed.Nanos
}

// New makes a merger.
func New() *Merger {
	return &Merger{local: map[string]Entry{}, catalog: map[string]Entry{}, drains: map[string]aspenshed.Nanos{}, unreportedDrains: map[string]aspenshed.Nanos{}}
}

// ZoneIndex numbers a site.
func (m *Merger) ZoneIndex(site string) int {
	i := slices.Index(m.Zones, site)
	if i < 0 {
		i, m.Zones = len(m.Zones), append(m.Zones, site)
	}
	return i
}

// SetLocal takes the instance's own list, whole. It counts until the catalog has another inventory than now.
func (m *Merger) SetLocal(list []Entry) {
	m.local, m.localIsNewer = byID(list), true
	for _, t := range list {
		if t.Site != "" {
			t.Zone = m.ZoneIndex(t.Site)
			m.local[t.ID] = t
		}
	}
	m.applyLocalDrains()
}

// ObserveStart takes word of one member's start.
func (m *Merger) ObserveStart(id string, at aspenshed.Nanos) {
	if t, ok := m.local[id]; ok {
		t.StartedAt = max(t.StartedAt, at)
		m.local[id] = t
	}
}

// Drain takes the word of a drain that came with no list: it holds here at once, and the store is to be told.
func (m *Merger) Drain(id string) {
	start := max(m.catalog[id].StartedAt, m.local[id].StartedAt)
	if was, known := m.drains[id]; !known || start > was {
		m.unreportedDrains[id] = start
	}
	m.recordDrain(id, start)
}

// applyLocalDrains hears the drains of the own list. One that tells no start means whichever start is known.
func (m *Merger) applyLocalDrains() {
	for id, t := range m.local {
		m.applyLocalDrain(id, t)
	}
}

func (m *Merger) applyLocalDrain(id string, t Entry) {
	if t.State == aspenshed.Up {
		return
	}
	start := t.StartedAt
	if start == 0 {
		start = m.catalog[id].StartedAt
	}
	if was, known := m.drains[id]; !known || start > was {
		m.unreportedDrains[id] = start
	}
	m.recordDrain(id, start)
}

// SetCatalog takes all that the catalog holds, whole, with the version of its inventory.
func (m *Merger) SetCatalog(version uint64, members []*pb.Member) {
	if version != m.inventoryVersion {
		m.inventoryVersion, m.localIsNewer = version, false
	}
	m.catalog = make(map[string]Entry, len(members))
	for _, x := range members {
		m.setCatalogMember(x)
	}
	m.applyLocalDrains()
}

// setCatalogMember takes one member of the catalog.
func (m *Merger) setCatalogMember(x *pb.Member) {
	t := Entry{Member: aspenshed.Member{ID: x.Entry.Id, Group: int(x.Entry.Group), Zone: m.ZoneIndex(x.Entry.Site), Weight: 1,
		StartedAt: aspenshed.Nanos(x.Start), State: aspenshed.Up}, Address: x.Entry.Address, Site: x.Entry.Site}
	if x.DrainedAt != 0 {
		t.State = aspenshed.Draining
		m.recordDrain(t.ID, t.StartedAt)
	}
	m.catalog[t.ID] = t
}

func byID(list []Entry) map[string]Entry {
	out := make(map[string]Entry, len(list))
	for _, t := range list {
		out[t.ID] = t
	}
	return out
}

// recordDrain binds a drain to a start. Older or repeated news changes nothing.
func (m *Merger) recordDrain(id string, start aspenshed.Nanos) {
	if was, known := m.drains[id]; !known || start > was {
		m.drains[id] = start
	}
}

// UnreportedDrains are drains heard from the own list that the catalog does not have: the store is to be told. They are
// named again until the catalog has them.
func (m *Merger) UnreportedDrains() map[string]aspenshed.Nanos {
	for id, start := range m.unreportedDrains {
		if c, ok := m.catalog[id]; ok && (c.StartedAt > start || c.State != aspenshed.Up) {
			delete(m.unreportedDrains, id)
		}
	}
	return m.unreportedDrains
}

// Merge is the list as it stands, by id, and whether it differs from the one before. The catalog's inventory is the
// list, unless there is none or the own one is newer; of a member that both name the newer start counts.
func (m *Merger) Merge() (list []Entry, changed bool) {
	from, other := m.catalog, m.local
	if m.inventoryVersion == 0 || m.localIsNewer {
		from, other = m.local, m.catalog
	}
	all := make(map[string]Entry, len(from))
	for id, t := range from {
		all[id] = m.mergeEntry(t, other)
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	m.pruneDrains(all)
	changed = m.lastMerged == nil || !maps.Equal(all, m.lastMerged)
	m.lastMerged = all
	return list, changed
}

// mergeEntry is one member of the list that leads, with what the other list says of it, and its drain.
func (m *Merger) mergeEntry(t Entry, other map[string]Entry) Entry {
	if o, both := other[t.ID]; both {
		t.StartedAt, t.Primary = max(t.StartedAt, o.StartedAt), t.Primary || o.Primary
	}
	t.State = aspenshed.Up
	if at, known := m.drains[t.ID]; known && t.StartedAt <= at {
		t.State = aspenshed.Draining
	}
	return t
}

// pruneDrains bounds the drains of members that are on no list: a list may name them again, so they are not dropped at once.
func (m *Merger) pruneDrains(present map[string]Entry) {
	if len(m.drains) <= len(present)+maxUnlistedDrains+maxUnlistedDrains/4 { // in steps: to look at all of them takes time
		return
	}
	var gone []string
	for id := range m.drains {
		if _, here := present[id]; !here {
			gone = append(gone, id)
		}
	}
	slices.SortFunc(gone, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.drains[a], m.drains[b]), cmp.Compare(a, b))
	})
	for _, id := range gone[:max(len(gone)-maxUnlistedDrains, 0)] {
		delete(m.drains, id)
		delete(m.unreportedDrains, id)
	}
}
