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

// mostGone bounds what is remembered of members that are on no list; the oldest go.
const mostGone = 4096

// Told is one member as a list has it.
type Told struct {
	aspenshed.Member
	Address string
	Site    string // numbered here, so that both sides number alike; empty: Zone stands as it is
}

// Merger holds both sides.
type Merger struct {
	Zones    []string // sites, in the order in which they are numbered
	own      map[string]Told
	ownLeads bool // the own list came after the catalog's inventory, which does not have it yet
	version  uint64
	catalog  map[string]Told
	drains   map[string]aspenshed.Nanos // member: the newest start for which a drain was heard
	last     map[string]Told            // as last told
	// unsaid are drains that were heard here and that the store has yet to be told.
	unsaid map[string]aspenshed.Nanos
}

// New makes a merger.
func New() *Merger {
	return &Merger{own: map[string]Told{}, catalog: map[string]Told{}, drains: map[string]aspenshed.Nanos{}, unsaid: map[string]aspenshed.Nanos{}}
}

// Zone numbers a site.
func (m *Merger) Zone(site string) int {
	i := slices.Index(m.Zones, site)
	if i < 0 {
		i, m.Zones = len(m.Zones), append(m.Zones, site)
	}
	return i
}

// Own takes the instance's own list, whole. It counts until the catalog has another inventory than now.
func (m *Merger) Own(list []Told) {
	m.own, m.ownLeads = byID(list), true
	for _, t := range list {
		if t.Site != "" {
			t.Zone = m.Zone(t.Site)
			m.own[t.ID] = t
		}
	}
	m.ownDrains()
}

// Started takes word of one member's start.
func (m *Merger) Started(id string, at aspenshed.Nanos) {
	if t, ok := m.own[id]; ok {
		t.StartedAt = max(t.StartedAt, at)
		m.own[id] = t
	}
}

// Drain takes the word of a drain that came with no list: it holds here at once, and the store is to be told.
func (m *Merger) Drain(id string) {
	start := max(m.catalog[id].StartedAt, m.own[id].StartedAt)
	if was, known := m.drains[id]; !known || start > was {
		m.unsaid[id] = start
	}
	m.heard(id, start)
}

// ownDrains hears the drains of the own list. One that tells no start means whichever start is known.
func (m *Merger) ownDrains() {
	for id, t := range m.own {
		m.ownDrain(id, t)
	}
}

func (m *Merger) ownDrain(id string, t Told) {
	if t.State == aspenshed.Up {
		return
	}
	start := t.StartedAt
	if start == 0 {
		start = m.catalog[id].StartedAt
	}
	if was, known := m.drains[id]; !known || start > was {
		m.unsaid[id] = start
	}
	m.heard(id, start)
}

// Catalog takes all that the catalog holds, whole, with the version of its inventory.
func (m *Merger) Catalog(version uint64, members []*pb.Member) {
	if version != m.version {
		m.version, m.ownLeads = version, false
	}
	m.catalog = make(map[string]Told, len(members))
	for _, x := range members {
		m.setCatalog(x)
	}
	m.ownDrains()
}

// setCatalog takes one member of the catalog.
func (m *Merger) setCatalog(x *pb.Member) {
	t := Told{Member: aspenshed.Member{ID: x.Entry.Id, Group: int(x.Entry.Group), Zone: m.Zone(x.Entry.Site), Weight: 1,
		StartedAt: aspenshed.Nanos(x.Start), State: aspenshed.Up}, Address: x.Entry.Address, Site: x.Entry.Site}
	if x.DrainedAt != 0 {
		t.State = aspenshed.Draining
		m.heard(t.ID, t.StartedAt)
	}
	m.catalog[t.ID] = t
}

func byID(list []Told) map[string]Told {
	out := make(map[string]Told, len(list))
	for _, t := range list {
		out[t.ID] = t
	}
	return out
}

// heard binds a drain to a start. Older or repeated news changes nothing.
func (m *Merger) heard(id string, start aspenshed.Nanos) {
	if was, known := m.drains[id]; !known || start > was {
		m.drains[id] = start
	}
}

// Unsaid are drains heard from the own list that the catalog does not have: the store is to be told. They are
// named again until the catalog has them.
func (m *Merger) Unsaid() map[string]aspenshed.Nanos {
	for id, start := range m.unsaid {
		if c, ok := m.catalog[id]; ok && (c.StartedAt > start || c.State != aspenshed.Up) {
			delete(m.unsaid, id)
		}
	}
	return m.unsaid
}

// Merged is the list as it stands, by id, and whether it differs from the one before. The catalog's inventory is the
// list, unless there is none or the own one is newer; of a member that both name the newer start counts.
func (m *Merger) Merged() (list []Told, changed bool) {
	from, other := m.catalog, m.own
	if m.version == 0 || m.ownLeads {
		from, other = m.own, m.catalog
	}
	all := make(map[string]Told, len(from))
	for id, t := range from {
		all[id] = m.merge(t, other)
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	m.forget(all)
	changed = m.last == nil || !maps.Equal(all, m.last)
	m.last = all
	return list, changed
}

// merge is one member of the list that leads, with what the other list says of it, and its drain.
func (m *Merger) merge(t Told, other map[string]Told) Told {
	if o, both := other[t.ID]; both {
		t.StartedAt, t.Primary = max(t.StartedAt, o.StartedAt), t.Primary || o.Primary
	}
	t.State = aspenshed.Up
	if at, known := m.drains[t.ID]; known && t.StartedAt <= at {
		t.State = aspenshed.Draining
	}
	return t
}

// forget bounds the drains of members that are on no list: a list may name them again, so they are not dropped at once.
func (m *Merger) forget(present map[string]Told) {
	if len(m.drains) <= len(present)+mostGone+mostGone/4 { // in steps: to look at all of them takes time
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
	for _, id := range gone[:max(len(gone)-mostGone, 0)] {
		delete(m.drains, id)
		delete(m.unsaid, id)
	}
}
