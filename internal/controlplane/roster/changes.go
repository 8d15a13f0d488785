package roster

import (
	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Change is the new state of one member of the catalog.
type Change struct {
	ID     string
	Member *pb.Member // nil: removed from the catalog
}

// CanApplyChanges reports whether ApplyChanges may be used: the catalog's list takes precedence, and a whole list has
// been merged.
func (m *Merger) CanApplyChanges() bool {
	return m.inventoryVersion != 0 && !m.localPending && m.lastMerged != nil
}

// ApplyChanges applies changes of the catalog and returns the entries of the merged list that differ; removed members
// are returned as Removed. Its cost is proportional to the number of changes, whatever the length of the list.
func (m *Merger) ApplyChanges(version uint64, changes []Change) (differs []Entry) {
	m.inventoryVersion = version
	for _, c := range changes {
		if c.Member == nil {
			delete(m.catalog, c.ID)
		} else {
			m.setCatalogMember(c.Member)
		}
		if own, both := m.local[c.ID]; both {
			m.applyLocalDrain(c.ID, own)
		}
		if t, changed := m.updateMerged(c.ID); changed {
			differs = append(differs, t)
		}
	}
	m.pruneDrains(m.lastMerged)
	return differs
}

// updateMerged recomputes one member of the merged list.
func (m *Merger) updateMerged(id string) (t Entry, changed bool) {
	previous, known := m.lastMerged[id]
	current, present := m.catalog[id]
	if !present {
		delete(m.lastMerged, id)
		previous.State = aspenshed.Removed
		return previous, known
	}
	t = m.mergeEntry(current, m.local)
	m.lastMerged[id] = t
	return t, !known || t != previous
}
