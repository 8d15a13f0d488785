// Package catalog implements the replicated state of an installation: versions of configuration and inventory, drains,
// member starts, slow-start leases and state learned by instances. It is a deterministic state machine: the same
// commands in the same order give equal catalogs. It reads no clock and does no I/O; times come with the commands.
package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Catalog is the state of one replica. It is not safe for concurrent use.
type Catalog struct {
	state      *pb.State // the scalar fields and small lists; its keyed records are in the maps below
	members    map[string]*pb.Member
	tombstones map[string]*pb.Tombstone
	instances  map[string]*pb.Instance
	origins    map[string]*pb.Origin
	pairs      map[string]*pb.Pair
	primaries  map[string]*pb.Primary // by Group.String
	groups     map[Group]int          // number of members by group
	recorder   recorder
	// Each version increases with every change of its part, so that pollers can skip an unchanged one.
	membersVersion, learnedVersion, leasesVersion uint64
}

// New creates an empty catalog of a cluster.
func New(cluster string) *Catalog {
	c := &Catalog{}
	c.load(&pb.State{Rules: DefaultRules(), Cluster: cluster})
	return c
}

// CommandKind returns the field number of a command's body; 0: it has none that this release knows.
func CommandKind(c *pb.Command) uint32 {
	r := c.ProtoReflect()
	if f := r.WhichOneof(r.Descriptor().Oneofs().ByName("body")); f != nil {
		return uint32(f.Number())
	}
	return 0
}

// Apply applies one log entry and returns a result for each of its commands.
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

// Index is the index of the last applied log entry.
func (c *Catalog) Index() uint64 { return c.state.Index }

// Cluster is the id of the cluster that the catalog belongs to.
func (c *Catalog) Cluster() string { return c.state.Cluster }

// Now is the newest time among the applied commands.
func (c *Catalog) Now() int64 { return c.state.Now }

// Rules returns the current rules. They must not be modified.
func (c *Catalog) Rules() *pb.Rules { return c.state.Rules }

// RulesSet reports whether a command has set the rules.
func (c *Catalog) RulesSet() bool { return c.state.RulesSet }

// Versions increase with each change of the members, the learned state and the leases.
func (c *Catalog) Versions() (members, learned, leases uint64) {
	return c.membersVersion, c.learnedVersion, c.leasesVersion
}

// InventoryVersion is the version of the member list; 0: there has been none.
func (c *Catalog) InventoryVersion() uint64 { return c.state.Inventory }

// Config returns the newest configuration, nil if there is none.
func (c *Catalog) Config() *pb.ConfigVersion {
	if n := len(c.state.Configs); n > 0 {
		return c.state.Configs[n-1]
	}
	return nil
}

// Member returns a member's record, nil if there is none. It must not be modified.
func (c *Catalog) Member(id string) *pb.Member { return c.members[id] }

// Members returns all member records, sorted by id. They must not be modified.
func (c *Catalog) Members() []*pb.Member { return sortedValues(c.members) }

// WarmingMembers returns copies of the records of members in slow start, sorted by id; no others have leases.
func (c *Catalog) WarmingMembers() (out []*pb.Member) {
	for _, m := range c.members {
		if IsWarming(m) {
			out = append(out, proto.Clone(m).(*pb.Member))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Member) int { return cmp.Compare(a.Entry.Id, b.Entry.Id) })
	return out
}

// Instances returns all instance records, sorted by id. They must not be modified.
func (c *Catalog) Instances() []*pb.Instance { return sortedValues(c.instances) }

// Pair returns the value of a key, nil if there is none.
func (c *Catalog) Pair(key string) *pb.Pair { return c.pairs[key] }

// UnknownCommands returns the commands of later releases that are kept, and the number of those that were dropped.
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

// byAge orders tombstones, oldest first.
func byAge(a, b *pb.Tombstone) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Member, b.Member))
}
