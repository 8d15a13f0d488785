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

// FollowsChanges reports whether Changes may be used: the catalog's list leads, and has been told whole.
func (m *Merger) FollowsChanges() bool { return m.version != 0 && !m.ownLeads && m.last != nil }

// Changes takes what has changed of the catalog and returns what differs in the merged list; members that have left it
// are there as gone. It costs as much as there are changes, whatever the length of the list.
func (m *Merger) Changes(version uint64, changes []Change) (differs []Told) {
	m.version = version
	for _, c := range changes {
		if c.Member == nil {
			delete(m.catalog, c.ID)
		} else {
			m.setCatalog(c.Member)
		}
		if own, both := m.own[c.ID]; both {
			m.ownDrain(c.ID, own)
		}
		if t, changed := m.mergeChange(c.ID); changed {
			differs = append(differs, t)
		}
	}
	m.forget(m.last)
	return differs
}

// mergeChange brings one member of the merged list up to date.
func (m *Merger) mergeChange(id string) (t Told, changed bool) {
	was, known := m.last[id]
	held, there := m.catalog[id]
	if !there {
		delete(m.last, id)
		was.State = aspenshed.Removed
		return was, known
	}
	t = m.merge(held, m.own)
	m.last[id] = t
	return t, !known || t != was
}
