package revision

import (
	"cmp"
	"iter"
	"slices"
)

// State is a set of records at a revision, with the digests that let two holders of it compare what they have. It is
// made to be held by the hundred in one process: records are packed in the order of their keys, groups and sites are
// interned. These are forgotten with Reset alone, so their number is bounded by those that were ever named since.
type State struct {
	revision uint64
	records  table
	groups   intern[Group]
	sites    intern[string]
	digest   Digest
	scoped   *scopeDigests // nil until a scoped digest is asked for
}

// NewState is empty, at revision 0.
func NewState() *State { return &State{} }

// Apply sets or removes one record and brings the state to the change's revision, if that is newer.
func (s *State) Apply(c Change) {
	if before, p := s.records.find(c.Key); p.size > 0 {
		s.updateDigests(before, false)
	}
	if c.Removed {
		s.records.remove(c.Key)
	} else {
		e := s.toEntry(&c.Record)
		s.records.put(e)
		s.updateDigests(e, true)
	}
	s.Advance(c.Revision)
}

// Advance takes note of a commit that changed no record. A revision never goes back.
func (s *State) Advance(revision uint64) { s.revision = max(s.revision, revision) }

// Reset replaces everything, the revision included. Of records with one key the last counts.
func (s *State) Reset(revision uint64, records []Record) {
	order := make([]int, len(records))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(records[a].Key, records[b].Key), cmp.Compare(b, a))
	})
	var b Builder
	for _, i := range order {
		b.Add(records[i]) // not of a key that was there already
	}
	*s = *b.State(revision)
}

// Revision is that of the newest commit that the state stands for.
func (s *State) Revision() uint64 { return s.revision }

// Len is the number of records.
func (s *State) Len() int { return s.records.count }

// Get finds a record; its value is the caller's own.
func (s *State) Get(key string) (Record, bool) {
	e, p := s.records.find(key)
	if p.size == 0 {
		return Record{}, false
	}
	return s.toRecord(e), true
}

// Records yields those within a scope in the order of their keys; they are the caller's own. The state must not be
// changed meanwhile.
func (s *State) Records(scope Scope) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		s.records.each(func(e entry) bool {
			r := s.toRecord(e)
			return !scope.Contains(r.Key, r.Placement) || yield(r)
		})
	}
}

// Digest is that of the records within a scope. The first scoped digest walks over the records; from then on it costs
// the scope's groups times its sites, whatever the state holds.
func (s *State) Digest(scope Scope) Digest {
	if scope.All() {
		return s.digest
	}
	if s.scoped == nil {
		s.scoped = newScopeDigests()
		s.records.each(func(e entry) bool {
			s.scoped.add(e, hashEntry(e), true)
			return true
		})
	}
	return s.scoped.sum(s, scope.Normalized())
}

// DigestAfter is the digest of the whole state once these changes are applied to it, in their order.
func (s *State) DigestAfter(changes []Change) Digest {
	sum := s.digest
	changed := make(map[string]Digest, len(changes))
	for i := range changes {
		c := &changes[i]
		before, again := changed[c.Key]
		if !again {
			before = s.recordHash(c.Key)
		}
		var after Digest
		if !c.Removed {
			after = Hash(c.Key, c.Value)
		}
		sum += after - before
		changed[c.Key] = after
	}
	return sum
}

// recordHash is a record's part of the digest; 0 where there is none.
func (s *State) recordHash(key string) Digest {
	e, p := s.records.find(key)
	if p.size == 0 {
		return 0
	}
	return hashEntry(e)
}

// toEntry is a record as the table holds it.
func (s *State) toEntry(r *Record) entry {
	e := entry{key: []byte(r.Key), value: r.Value}
	if IsMember(r.Key) {
		e.group = s.groups.number(r.Placement.Group)
		e.site = s.sites.number(r.Placement.Site)
	}
	return e
}

func (s *State) toRecord(e entry) Record {
	r := Record{Key: string(e.key), Value: slices.Clone(e.value)}
	if IsMember(r.Key) {
		r.Placement = Placement{Group: s.groups.values[e.group], Site: s.sites.values[e.site]}
	}
	return r
}

// updateDigests adds a record to the digests, or takes it from them.
func (s *State) updateDigests(e entry, add bool) {
	hash := hashEntry(e)
	if add {
		s.digest += hash
	} else {
		s.digest -= hash
	}
	if s.scoped != nil {
		s.scoped.add(e, hash, add)
	}
}

// intern numbers values from 0.
type intern[T comparable] struct {
	numbers map[T]uint32
	values  []T
}

func (n *intern[T]) number(value T) uint32 {
	if i, known := n.numbers[value]; known {
		return i
	}
	if n.numbers == nil {
		n.numbers = map[T]uint32{}
	}
	i := uint32(len(n.values))
	n.numbers[value] = i
	n.values = append(n.values, value)
	return i
}
