// Package revision holds the state that the control plane distributes, as records under keys with a revision: what a
// commit changes, which members a scope selects, and the digest by which two holders of a state compare it.
package revision

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The prefixes of keys. A record's value is the protobuf message that is named here.
const (
	MemberPrefix  = "member/"  // + id: catalog.Member without leases
	PrimaryPrefix = "primary/" // + group: catalog.Primary
	PairPrefix    = "pair/"    // + key: catalog.Pair
	ConfigKey     = "config"   // catalog.ConfigVersion, the newest
	RulesKey      = "rules"    // catalog.Rules
)

// Group names a group of members. Each wire has groups of its own.
type Group struct {
	Wire string
	ID   int32
}

// String is the group's form in keys: wire, slash, number.
func (g Group) String() string { return g.Wire + "/" + strconv.Itoa(int(g.ID)) }

// Placement is where a member's record belongs. Records that are not of members have the zero Placement.
type Placement struct {
	Group Group
	Site  string
}

// Record is one key's value at some revision.
type Record struct {
	Key       string
	Value     []byte
	Placement Placement
}

// Change is what a commit did to one key.
type Change struct {
	Revision uint64
	Record           // as it is from this revision on; of a removed one only Key and Placement count
	Before   *Record // as it was; nil: the key is new
	Removed  bool
	// Binding changes (drains, starts, primaries, removals of members) reach every subscriber, each of them and in
	// order; other changes of one key may be replaced by the newest.
	Binding bool
	// CommittedAt is the leader's stamp, Unix ns.
	CommittedAt int64
}

// IsMember reports whether a key is a member's.
func IsMember(key string) bool { return strings.HasPrefix(key, MemberPrefix) }

// Scope selects members by group or site; the zero Scope selects all. Records that are not of members belong to every
// scope.
type Scope struct {
	Groups []Group
	Sites  []string
}

// All reports whether the scope selects every member.
func (s Scope) All() bool { return len(s.Groups) == 0 && len(s.Sites) == 0 }

// Digest is equal for equal sets of records, in whatever order they were put: the sum of Hash over all of them.
type Digest uint64

// Hash is one record's part of a Digest.
func Hash(key string, value []byte) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(key) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return Digest(h.Sum64())
}

// hashEntry is Hash of a packed record.
func hashEntry(e entry) Digest {
	h := xxhash.New()
	_, _ = h.Write(e.key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.value)
	return Digest(h.Sum64())
}
