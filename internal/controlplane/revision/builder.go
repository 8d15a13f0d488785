package revision

import "slices"

// Builder makes a State of records that come in the order of their keys. It holds them packed, so that a snapshot that is
// received takes little more memory than the state that it becomes.
type Builder struct {
	state       State
	pendingLeaf []byte // the last, not yet among the table's
	lastKey     string
}

// Add takes the next record. It reports false, and takes nothing, where the key does not follow the last one.
func (b *Builder) Add(r Record) bool {
	if b.state.records.count > 0 && r.Key <= b.lastKey {
		return false
	}
	b.lastKey = r.Key
	e := b.state.toEntry(&r)
	b.state.updateDigests(e, true)
	b.state.records.count++
	end := len(b.pendingLeaf)
	b.pendingLeaf = e.append(b.pendingLeaf)
	if len(b.pendingLeaf) > maxLeafBytes && end > 0 {
		b.flush(end)
	}
	return true
}

// flush makes a leaf of the first bytes.
func (b *Builder) flush(end int) {
	b.state.records.leaves = append(b.state.records.leaves, slices.Clone(b.pendingLeaf[:end]))
	b.pendingLeaf = append(b.pendingLeaf[:0], b.pendingLeaf[end:]...)
}

// Len is the number of records taken.
func (b *Builder) Len() int { return b.state.records.count }

// State is what the records make at a revision. The builder must not be used afterwards.
func (b *Builder) State(revision uint64) *State {
	if len(b.pendingLeaf) > 0 {
		b.flush(len(b.pendingLeaf))
	}
	b.state.revision = revision
	return &b.state
}
