package revision

import (
	"iter"
	"maps"
	"slices"
)

// State is a set of records at a revision, with the digests that let two holders of it compare what they have. It is
// made to be held by the hundred in one process: a record costs its key and value in one string, two small numbers
// for its placement and its place in a map. Groups and sites are interned and forgotten with Reset alone, so their
// number is bounded by those that were ever named since.
type State struct {
	revision uint64
	records  map[string]stored
	groups   intern[Group]
	sites    intern[string]
	cells    map[cell]cellDigest // members by group and site
	shared   Digest              // of the records that are not of members
	members  Digest
}

// stored is a record. The map's key is the first part of text, so that both are one piece of memory.
type stored struct {
	text  string // key, then value
	group uint32
	site  uint32
}

// cell is one group's members at one site, both by their interned numbers.
type cell struct{ group, site uint32 }

// cellDigest is kept until the last of its members goes.
type cellDigest struct {
	digest  Digest
	members uint32
}

// intern numbers values from 0, each with the digest of the members that have it.
type intern[T comparable] struct {
	numbers map[T]uint32
	values  []T
	digests []Digest
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
	n.digests = append(n.digests, 0)
	return i
}

// digest is that of all members with one of the values.
func (n *intern[T]) digest(values []T) (sum Digest) {
	for _, v := range values {
		if i, known := n.numbers[v]; known {
			sum += n.digests[i]
		}
	}
	return sum
}

// NewState is empty, at revision 0.
func NewState() *State {
	return &State{records: map[string]stored{}, cells: map[cell]cellDigest{}}
}

// Apply sets or removes one record and brings the state to the change's revision, if that is newer.
func (s *State) Apply(c Change) {
	s.remove(c.Key)
	if !c.Removed {
		s.put(c.Record)
	}
	s.Advance(c.Revision)
}

// Advance takes note of a commit that changed no record. A revision never goes back.
func (s *State) Advance(revision uint64) { s.revision = max(s.revision, revision) }

// Reset replaces everything, the revision included.
func (s *State) Reset(revision uint64, records []Record) {
	*s = State{revision: revision, records: make(map[string]stored, len(records)), cells: map[cell]cellDigest{}}
	for _, r := range records {
		s.remove(r.Key)
		s.put(r)
	}
}

// Revision is that of the newest commit that the state stands for.
func (s *State) Revision() uint64 { return s.revision }

// Len is the number of records.
func (s *State) Len() int { return len(s.records) }

// Get finds a record; its value is the caller's own.
func (s *State) Get(key string) (Record, bool) {
	r, found := s.records[key]
	if !found {
		return Record{}, false
	}
	return s.record(key, r), true
}

// Records yields those within a scope in the order of their keys. The state must not be changed meanwhile.
func (s *State) Records(scope Scope) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, key := range slices.Sorted(maps.Keys(s.records)) {
			r := s.records[key]
			if scope.Contains(key, s.placement(key, r)) && !yield(s.record(key, r)) {
				return
			}
		}
	}
}

// Digest is that of the records within a scope. It costs the scope's groups times its sites, whatever the state holds.
func (s *State) Digest(scope Scope) Digest {
	if scope.All() {
		return s.shared + s.members
	}
	scope = scope.Normalized()
	sum := s.shared + s.groups.digest(scope.Groups) + s.sites.digest(scope.Sites)
	for _, g := range scope.Groups { // who is in a group and at a site was counted twice
		for _, site := range scope.Sites {
			sum -= s.cellDigest(g, site)
		}
	}
	return sum
}

// DigestAfter is the digest of the whole state once these changes are applied to it, in their order.
func (s *State) DigestAfter(changes []Change) Digest {
	sum := s.shared + s.members
	changed := make(map[string]Digest, len(changes))
	for i := range changes {
		c := &changes[i]
		before, again := changed[c.Key]
		if !again {
			before = s.hash(c.Key)
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

// hash is a record's part of the digest; 0 where there is none.
func (s *State) hash(key string) Digest {
	r, found := s.records[key]
	if !found {
		return 0
	}
	return hashOf(key, r.text[len(key):])
}

func (s *State) cellDigest(g Group, site string) Digest {
	group, known := s.groups.numbers[g]
	place, knownSite := s.sites.numbers[site]
	if !known || !knownSite {
		return 0
	}
	return s.cells[cell{group, place}].digest
}

func (s *State) put(r Record) {
	hash := Hash(r.Key, r.Value)
	kept := stored{text: r.Key + string(r.Value)}
	if !IsMember(r.Key) {
		s.shared += hash
	} else {
		kept.group = s.groups.number(r.Placement.Group)
		kept.site = s.sites.number(r.Placement.Site)
		s.count(kept, hash, 1)
	}
	s.records[kept.text[:len(r.Key)]] = kept
}

func (s *State) remove(key string) {
	r, found := s.records[key]
	if !found {
		return
	}
	hash := hashOf(key, r.text[len(key):])
	if !IsMember(key) {
		s.shared -= hash
	} else {
		s.count(r, -hash, -1)
	}
	delete(s.records, key)
}

// count adds a member to the digests, or takes it from them.
func (s *State) count(r stored, hash Digest, members int) {
	s.members += hash
	s.groups.digests[r.group] += hash
	s.sites.digests[r.site] += hash
	at := cell{r.group, r.site}
	c := s.cells[at]
	c.digest += hash
	c.members += uint32(members)
	if c.members == 0 {
		delete(s.cells, at)
		return
	}
	s.cells[at] = c
}

func (s *State) placement(key string, r stored) Placement {
	if !IsMember(key) {
		return Placement{}
	}
	return Placement{Group: s.groups.values[r.group], Site: s.sites.values[r.site]}
}

func (s *State) record(key string, r stored) Record {
	return Record{Key: key, Value: []byte(r.text[len(key):]), Placement: s.placement(key, r)}
}
