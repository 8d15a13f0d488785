package roster

import (
	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Change is what has become of one member that the catalog knows or knew.
type Change struct {
	ID     string
	Member *pb.Member // nil: the catalog has it no more
}

// CanApplyChanges reports whether Changes may be used: the catalog's list leads, and has been told whole.
func (m *Merger) CanApplyChanges() bool {
	return m.inventoryVersion != 0 && !m.localIsNewer && m.lastMerged != nil
}

// ApplyChanges takes what has changed of the catalog and returns what differs in the merged list; members that have left it
// are there as gone. It costs as much as there are changes, whatever the length of the list.
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

// updateMerged brings one member of the merged list up to date.
func (m *Merger) updateMerged(id string) (t Entry, changed bool) {
	was, known := m.lastMerged[id]
	held, there := m.catalog[id]
	if !there {
		delete(m.lastMerged, id)
		was.State = aspenshed.Removed
		return was, known
	}
	t = m.mergeEntry(held, m.local)
	m.lastMerged[id] = t
	return t, !known || t != was
}
