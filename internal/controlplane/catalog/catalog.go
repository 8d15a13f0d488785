// Package catalog is the state that the instances of an installation agree on: configuration and inventory versions,
// drains, starts of members, leases of cold capacity, what instances have learned. It is a state machine: equal
// commands in equal order give equal catalogs. It reads no clock and does no I/O; times come with the commands.
package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Catalog is one replica's. It is not safe for concurrent use.
type Catalog struct {
	state      *pb.State // the scalar fields and small lists; what is looked up lies in the maps below
	members    map[string]*pb.Member
	tombstones map[string]*pb.Tombstone
	instances  map[string]*pb.Instance
	origins    map[string]*pb.Origin
	pairs      map[string]*pb.Pair
	primaries  map[string]*pb.Primary // by the group's name
	groups     map[Group]int          // how many members each group has
	recorder   recorder
	// Versions rise with each change of their part, for those who look at it again and again.
	membersVersion, learnedVersion, leasesVersion uint64
}

// New makes an empty catalog of that cluster.
func New(cluster string) *Catalog {
	c := &Catalog{}
	c.load(&pb.State{Rules: DefaultRules(), Cluster: cluster})
	return c
}

// CommandKind is the number of a command's body; 0: it has none that this release knows.
func CommandKind(c *pb.Command) uint32 {
	r := c.ProtoReflect()
	if f := r.WhichOneof(r.Descriptor().Oneofs().ByName("body")); f != nil {
		return uint32(f.Number())
	}
	return 0
}

// Apply carries out one entry of the log and returns a result for each of its commands.
func (c *Catalog) Apply(index uint64, b *pb.Batch) []*pb.Result {
	c.state.Index = max(c.state.Index, index)
	out := make([]*pb.Result, 0, len(b.Commands))
	for _, x := range b.Commands {
		c.recorder.committedAt = x.At
		out = append(out, c.applyOnce(x))
	}
	c.recordChanges(index)
	return out
}

func refused(format string, a ...any) *pb.Result {
	return &pb.Result{Refused: fmt.Sprintf(format, a...)}
}

func (c *Catalog) apply(x *pb.Command) *pb.Result {
	switch b := x.Body.(type) {
	case *pb.Command_PutConfig:
		return c.putConfig(b.PutConfig)
	case *pb.Command_PutInventory:
		return c.putInventory(b.PutInventory)
	case *pb.Command_Drain:
		return c.drain(b.Drain)
	case *pb.Command_Start:
		return c.recordStart(b.Start)
	case *pb.Command_Warm:
		return c.markWarmedUp(b.Warm)
	case *pb.Command_Ask:
		return c.grantLease(b.Ask)
	case *pb.Command_Release:
		return c.releaseLease(b.Release)
	case *pb.Command_Learn:
		return c.recordLearned(b.Learn)
	case *pb.Command_Beat:
		return c.recordHeartbeat(b.Beat)
	case *pb.Command_Leave:
		return c.removeInstance(b.Leave.GetInstance())
	case *pb.Command_Set:
		return c.setPair(b.Set)
	case *pb.Command_SetRules:
		return c.setRules(b.SetRules.GetRules())
	case *pb.Command_UpsertMembers:
		return c.upsertMembers(b.UpsertMembers)
	case *pb.Command_RemoveMembers:
		return c.removeMembers(b.RemoveMembers)
	case *pb.Command_ReportPrimary:
		return c.reportPrimary(b.ReportPrimary)
	}
	if len(c.state.Later) >= maxUnknownCommands {
		c.state.LaterLost++
		return refused("kind %d of a later release: too many are kept already", x.Kind)
	}
	c.state.Later = append(c.state.Later, x)
	return refused("kind %d of a later release: kept, not carried out here", x.Kind)
}

// Index is the log entry that the catalog stands after.
func (c *Catalog) Index() uint64 { return c.state.Index }

// Cluster is the id of the cluster whose state this is.
func (c *Catalog) Cluster() string { return c.state.Cluster }

// Now is the newest time that a command has told.
func (c *Catalog) Now() int64 { return c.state.Now }

// Rules are those in force. They must not be changed.
func (c *Catalog) Rules() *pb.Rules { return c.state.Rules }

// RulesSet tells whether a command has set the rules.
func (c *Catalog) RulesSet() bool { return c.state.RulesSet }

// Versions tell whether members, learned state or leases have changed since they were last looked at.
func (c *Catalog) Versions() (members, learned, leases uint64) {
	return c.membersVersion, c.learnedVersion, c.leasesVersion
}

// InventoryVersion is the version of the list of members; 0: there has been none.
func (c *Catalog) InventoryVersion() uint64 { return c.state.Inventory }

// Config is the newest configuration; nil: none.
func (c *Catalog) Config() *pb.ConfigVersion {
	if n := len(c.state.Configs); n > 0 {
		return c.state.Configs[n-1]
	}
	return nil
}

// Member is one member's record, nil if it is not present. It must not be changed.
func (c *Catalog) Member(id string) *pb.Member { return c.members[id] }

// Members are all records, by id. They must not be changed.
func (c *Catalog) Members() []*pb.Member { return sortedValues(c.members) }

// WarmingMembers are copies of the records of cold members, by id; no others have leases.
func (c *Catalog) WarmingMembers() (out []*pb.Member) {
	for _, m := range c.members {
		if IsWarming(m) {
			out = append(out, proto.Clone(m).(*pb.Member))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Member) int { return cmp.Compare(a.Entry.Id, b.Entry.Id) })
	return out
}

// Instances are all records, by id. They must not be changed.
func (c *Catalog) Instances() []*pb.Instance { return sortedValues(c.instances) }

// Pair is the value under a key, nil if there is none.
func (c *Catalog) Pair(key string) *pb.Pair { return c.pairs[key] }

// UnknownCommands are commands of later releases that are kept, and how many more came.
func (c *Catalog) UnknownCommands() (kept []*pb.Command, lost uint64) {
	return c.state.Later, c.state.LaterLost
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range sortedKeys(m) {
		out = append(out, m[k])
	}
	return out
}

// byAge orders tombstones from the oldest.
func byAge(a, b *pb.Tombstone) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Member, b.Member))
}
