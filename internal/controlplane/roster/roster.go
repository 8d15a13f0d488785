// Package roster determines the member list of an instance's Router: it merges the local list (from a file or
// discovery) with the catalog. A drain from either source holds until the member starts again.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// maxUnlistedDrains bounds the remembered drains of members that are on no list; the oldest are dropped.
const maxUnlistedDrains = 4096

// Entry is one member of a list.
type Entry struct {
	aspenshed.Member
	Site string // mapped to Zone here, so that both sources number sites alike; empty: Zone is kept
}

// Merger merges the local list and the catalog.
type Merger struct {
	Zones            []string // sites by their number
	local            map[string]Entry
	localPending     bool   // the local list waits to be published and takes precedence
	storedAs         uint64 // version of the inventory that the local list was stored as; 0: it is not stored yet
	inventoryVersion uint64
	catalog          map[string]Entry
	drains           map[string]aspenshed.Nanos // by member: the newest start with a drain
	lastMerged       map[string]Entry           // the list that Merge returned last
	// drainsWithoutStart are drained members that the catalog did not have yet. The drain applies to the start that it has once it
	// is received. Each is on the local list of its time.
	drainsWithoutStart map[string]bool
	// unreportedDrains are drains that were received here and that the store does not have yet.
	unreportedDrains map[string]aspenshed.Nanos
}

// New creates an empty Merger.
func New() *Merger {
	return &Merger{local: map[string]Entry{}, catalog: map[string]Entry{}, drains: map[string]aspenshed.Nanos{}, unreportedDrains: map[string]aspenshed.Nanos{},
		drainsWithoutStart: map[string]bool{}}
}

// ZoneIndex returns the number of a site, a new one if needed.
func (m *Merger) ZoneIndex(site string) int {
	i := slices.Index(m.Zones, site)
	if i < 0 {
		i, m.Zones = len(m.Zones), append(m.Zones, site)
	}
	return i
}

// SetLocal replaces the local list. It is in use only while the catalog has no inventory, unless SetLocalPending follows.
func (m *Merger) SetLocal(list []Entry) {
	m.local, m.localPending = byID(list), false
	for _, t := range list {
		if t.Site != "" {
			t.Zone = m.ZoneIndex(t.Site)
			m.local[t.ID] = t
		}
	}
	m.applyLocalDrains()
}

// SetLocalPending has the local list, which is to be published, take precedence over the catalog's. It does so until it is
// stored and the catalog has it, or its publication is given up.
func (m *Merger) SetLocalPending() { m.localPending, m.storedAs = true, 0 }

// LocalStored records that the local list was stored as that version of the inventory.
func (m *Merger) LocalStored(version uint64) {
	m.storedAs = version
	m.endPending()
}

// LocalNotStored records that the publication of the local list was given up: the catalog's list is in use again.
func (m *Merger) LocalNotStored() { m.localPending = false }

// endPending ends the precedence of the local list if the catalog has it.
func (m *Merger) endPending() {
	if m.storedAs != 0 && m.inventoryVersion >= m.storedAs {
		m.localPending = false
	}
}

// ObserveStart records a start of a member on the local list.
func (m *Merger) ObserveStart(id string, at aspenshed.Nanos) {
	if t, ok := m.local[id]; ok {
		t.StartedAt = max(t.StartedAt, at)
		m.local[id] = t
	}
}

// Drain records a drain that came without a list: it holds here at once, and has to be reported to the store. It returns false
// if the member is on no list.
func (m *Merger) Drain(id string) (known bool) {
	_, agreed := m.catalog[id]
	_, listed := m.local[id]
	if !agreed && !listed {
		return false
	}
	if !agreed {
		m.drainsWithoutStart[id] = true
	}
	start := max(m.catalog[id].StartedAt, m.local[id].StartedAt)
	if previous, known := m.drains[id]; !known || start > previous {
		m.unreportedDrains[id] = start
	}
	m.recordDrain(id, start)
	return true
}

// applyLocalDrains records the drains of the local list.
func (m *Merger) applyLocalDrains() {
	for id, t := range m.local {
		m.applyLocalDrain(id, t)
	}
}

// applyLocalDrain records the drain of one local entry. A drain without a start applies to the start that the catalog
// has.
func (m *Merger) applyLocalDrain(id string, t Entry) {
	if t.State == aspenshed.Up {
		return
	}
	start := t.StartedAt
	if start == 0 {
		start = m.catalog[id].StartedAt
	}
	if previous, known := m.drains[id]; !known || start > previous {
		m.unreportedDrains[id] = start
	}
	m.recordDrain(id, start)
}

// SetCatalog replaces the catalog's members; version is that of its inventory.
func (m *Merger) SetCatalog(version uint64, members []*pb.Member) {
	m.inventoryVersion = version
	m.endPending()
	m.catalog = make(map[string]Entry, len(members))
	for _, x := range members {
		m.setCatalogMember(x)
	}
	m.applyLocalDrains()
}

// setCatalogMember adds or replaces one member of the catalog.
func (m *Merger) setCatalogMember(x *pb.Member) {
	t := Entry{Member: aspenshed.Member{ID: x.Entry.Id, Address: x.Entry.Address, Group: int(x.Entry.Group), Zone: m.ZoneIndex(x.Entry.Site), Weight: 1,
		StartedAt: aspenshed.Nanos(x.Start), State: aspenshed.Up}, Site: x.Entry.Site}
	if x.DrainedAt != 0 {
		t.State = aspenshed.Draining
		m.recordDrain(t.ID, t.StartedAt)
	}
	m.catalog[t.ID] = t
	if m.drainsWithoutStart[t.ID] {
		delete(m.drainsWithoutStart, t.ID)
		m.Drain(t.ID)
	}
}

func byID(list []Entry) map[string]Entry {
	out := make(map[string]Entry, len(list))
	for _, t := range list {
		out[t.ID] = t
	}
	return out
}

// recordDrain records a drain of a start. Older or repeated ones have no effect.
func (m *Merger) recordDrain(id string, start aspenshed.Nanos) {
	if previous, known := m.drains[id]; !known || start > previous {
		m.drains[id] = start
	}
}

// UnreportedDrains returns the drains received here that the catalog does not have yet. They are returned until it has
// them.
func (m *Merger) UnreportedDrains() map[string]aspenshed.Nanos {
	for id, start := range m.unreportedDrains {
		if c, ok := m.catalog[id]; ok && (c.StartedAt > start || c.State != aspenshed.Up) {
			delete(m.unreportedDrains, id)
		}
	}
	return m.unreportedDrains
}

// Merge returns the current list, sorted by id, and whether it differs from the previous one. The catalog's inventory
// is the list unless there is none or the local list waits to be published. For a member on both, the newer start is used.
func (m *Merger) Merge() (list []Entry, changed bool) {
	from, other := m.catalog, m.local
	if m.inventoryVersion == 0 || m.localPending {
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

// mergeEntry merges one member of the list that takes precedence with the other list and its drain.
func (m *Merger) mergeEntry(t Entry, other map[string]Entry) Entry {
	if o, both := other[t.ID]; both {
		t.StartedAt = max(t.StartedAt, o.StartedAt)
		t.Primary = t.Primary || o.Primary && !t.ReplacedBy(o.Member)
	}
	t.State = aspenshed.Up
	if at, known := m.drains[t.ID]; known && t.StartedAt <= at {
		t.State = aspenshed.Draining
	}
	return t
}

// pruneDrains bounds the drains of members that are on no list. They are not dropped at once, as a list may name them
// again.
func (m *Merger) pruneDrains(present map[string]Entry) {
	if len(m.drains) <= len(present)+maxUnlistedDrains+maxUnlistedDrains/4 { // in batches: it scans all drains
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
