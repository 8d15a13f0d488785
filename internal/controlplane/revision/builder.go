package revision

import "slices"

// Builder makes a State from records that are added in the order of their keys. It holds them encoded, so that a
// snapshot that is being received takes little more memory than the resulting state.
type Builder struct {
	state       State
	pendingLeaf []byte // the last leaf, not yet part of the table
	lastKey     string
}

// Add appends the next record. It reports false, and adds nothing, if the key is not greater than the last one.
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

// flush adds the first end bytes of the pending leaf to the table as a leaf.
func (b *Builder) flush(end int) {
	b.state.records.leaves = append(b.state.records.leaves, slices.Clone(b.pendingLeaf[:end]))
	b.pendingLeaf = append(b.pendingLeaf[:0], b.pendingLeaf[end:]...)
}

// Len returns the number of records added.
func (b *Builder) Len() int { return b.state.records.count }

// State returns the state with all added records at a revision. The builder must not be used afterwards.
func (b *Builder) State(revision uint64) *State {
	if len(b.pendingLeaf) > 0 {
		b.flush(len(b.pendingLeaf))
	}
	b.state.revision = revision
	return &b.state
}
