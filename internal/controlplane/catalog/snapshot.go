package catalog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// A snapshot is a header of 24 bytes (magic number, format version, length and CRC32C of the state) and the state.
const (
	magic            = "ASPCATLG"
	formatVersion    = 1
	headerSize       = 8 + 4 + 8 + 4
	maxSnapshotBytes = 1 << 30
)

// ErrCorrupt reports a corrupt snapshot.
var ErrCorrupt = errors.New("snapshot is corrupt")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC32C of b.
func Checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// Encode encodes the whole catalog as a snapshot. Equal catalogs give equal bytes.
func (c *Catalog) Encode() ([]byte, error) {
	s := proto.Clone(c.state).(*pb.State)
	s.Members, s.Tombstones, s.Instances = sortedValues(c.members), sortedValues(c.tombstones), sortedValues(c.instances)
	s.Origins, s.Pairs, s.Primaries = sortedValues(c.origins), sortedValues(c.pairs), sortedValues(c.primaries)
	out := make([]byte, headerSize, headerSize+proto.Size(s))
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(out, s)
	if err != nil {
		return nil, err
	}
	copy(out, magic)
	binary.BigEndian.PutUint32(out[8:], formatVersion)
	binary.BigEndian.PutUint64(out[12:], uint64(len(out)-headerSize))
	binary.BigEndian.PutUint32(out[20:], Checksum(out[headerSize:]))
	return out, nil
}

// Digest returns a hash of the catalog that is equal for equal catalogs, to compare replicas.
func (c *Catalog) Digest() (uint64, error) {
	b, err := c.Encode()
	return xxhash.Sum64(b), err
}

// Decode decodes a snapshot. A corrupt snapshot, or one of a newer format version, is an error.
func Decode(b []byte) (*Catalog, error) {
	if len(b) < headerSize || string(b[:8]) != magic {
		return nil, fmt.Errorf("%w: the header is incomplete or has no magic number", ErrCorrupt)
	}
	if f := binary.BigEndian.Uint32(b[8:]); f == 0 || f > formatVersion {
		return nil, fmt.Errorf("snapshot has format %d, this release reads %d at most", f, formatVersion)
	}
	body := b[headerSize:]
	if n := binary.BigEndian.Uint64(b[12:]); n != uint64(len(body)) || n > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d bytes follow the header, not %d", ErrCorrupt, len(body), n)
	}
	if Checksum(body) != binary.BigEndian.Uint32(b[20:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	s := &pb.State{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if problem := ValidateRules(s.Rules); problem != "" {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, problem)
	}
	for _, m := range s.Members {
		if m.GetEntry() == nil {
			return nil, fmt.Errorf("%w: a member has no entry", ErrCorrupt)
		}
	}
	c := &Catalog{}
	c.load(s)
	c.applyNowKnownCommands()
	return c, nil
}

func (c *Catalog) load(s *pb.State) {
	capacity := func(n int) int { return n + 16 }
	c.members, c.tombstones = make(map[string]*pb.Member, capacity(len(s.Members))), map[string]*pb.Tombstone{}
	c.instances, c.origins, c.pairs = map[string]*pb.Instance{}, map[string]*pb.Origin{}, map[string]*pb.Pair{}
	c.primaries, c.groups = map[string]*pb.Primary{}, map[Group]int{}
	for _, m := range s.Members {
		c.members[m.Entry.Id] = m
	}
	for _, m := range c.members {
		c.countMember(GroupOf(m.Entry), 1)
	}
	for _, p := range s.Primaries {
		c.primaries[primaryGroup(p).String()] = p
	}
	for _, t := range s.Tombstones {
		c.tombstones[t.Member] = t
	}
	for _, x := range s.Instances {
		c.instances[x.Id] = x
	}
	for _, o := range s.Origins {
		c.origins[o.Name] = o
	}
	for _, p := range s.Pairs {
		c.pairs[p.Key] = p
	}
	s.Members, s.Tombstones, s.Instances, s.Origins, s.Pairs, s.Primaries = nil, nil, nil, nil, nil, nil
	c.state = s
	c.membersVersion, c.learnedVersion, c.leasesVersion = 1, 1, 1
}

// applyNowKnownCommands applies commands that an earlier release kept and this one knows. Their results were returned
// when they were kept.
func (c *Catalog) applyNowKnownCommands() {
	var known []*pb.Command
	c.state.Later = slices.DeleteFunc(c.state.Later, func(x *pb.Command) bool {
		b, err := proto.Marshal(x)
		y := &pb.Command{}
		if err != nil || proto.Unmarshal(b, y) != nil || CommandKind(y) == 0 {
			return false
		}
		known = append(known, y)
		return true
	})
	for _, x := range known {
		c.apply(x)
	}
	c.recorder = recorder{} // a snapshot is distributed as a whole, not as changes
}

// ReplaceWith replaces the content with that of another catalog. The versions continue from the current ones.
func (c *Catalog) ReplaceWith(o *Catalog) {
	m, l, s := c.membersVersion, c.learnedVersion, c.leasesVersion
	*c = *o
	c.membersVersion, c.learnedVersion, c.leasesVersion = m+1, l+1, s+1
}

// Counts returns the number of items of each kind, for the status and for tests of the limits.
func (c *Catalog) Counts() map[string]int {
	out := map[string]int{"members": len(c.members), "tombstones": len(c.tombstones), "instances": len(c.instances),
		"origins": len(c.origins), "pairs": len(c.pairs), "configs": len(c.state.Configs), "later": len(c.state.Later)}
	maps.DeleteFunc(out, func(_ string, n int) bool { return n == 0 })
	return out
}
