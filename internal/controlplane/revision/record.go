// Package revision implements the versioned key-value state that the control plane distributes: records and their
// changes, the log of the newest changes, scopes that select members, and the digest by which two copies of a state are
// compared.
package revision

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key prefixes. A record's value is the protobuf message that is named here.
const (
	MemberPrefix  = "member/"  // + id: catalog.Member without leases
	PrimaryPrefix = "primary/" // + group: catalog.Primary
	PairPrefix    = "pair/"    // + key: catalog.Pair
	ConfigKey     = "config"   // catalog.ConfigVersion, the newest
	RulesKey      = "rules"    // catalog.Rules
)

// Group identifies a group of members. Each wire protocol has its own groups.
type Group struct {
	Wire string
	ID   int32
}

// String returns the group as it is written in keys: wire, slash, number.
func (g Group) String() string { return g.Wire + "/" + strconv.Itoa(int(g.ID)) }

// Placement is the group and the site of a member's record. Records of other kinds have the zero Placement.
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

// Change is the change of one key by a commit.
type Change struct {
	Revision uint64
	Record           // the record from this revision on; of a removed one only Key and Placement are used
	Before   *Record // the previous record; nil: the key is new
	Removed  bool
	// Binding changes (drains, starts, primaries, removals of members) are all delivered to every subscriber, in order;
	// other changes of one key may be coalesced into the newest.
	Binding bool
	// CommittedAt is the leader's time at the commit, Unix ns.
	CommittedAt int64
}

// IsMember reports whether a key is a member's.
func IsMember(key string) bool { return strings.HasPrefix(key, MemberPrefix) }

// Scope selects members by group or site; the zero Scope selects all. Records of other kinds belong to every scope.
type Scope struct {
	Groups []Group
	Sites  []string
}

// All reports whether the scope selects every member.
func (s Scope) All() bool { return len(s.Groups) == 0 && len(s.Sites) == 0 }

// Digest is the sum of Hash over a set of records. Equal sets have equal digests, whatever the order of insertion.
type Digest uint64

// Hash returns one record's contribution to a Digest.
func Hash(key string, value []byte) Digest {
	h := xxhash.New()
	_, _ = h.WriteString(key) // never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return Digest(h.Sum64())
}

// hashEntry returns the Hash of an encoded record.
func hashEntry(e entry) Digest {
	h := xxhash.New()
	_, _ = h.Write(e.key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.value)
	return Digest(h.Sum64())
}
