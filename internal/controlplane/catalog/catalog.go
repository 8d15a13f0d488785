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
	"aspenshed/internal/controlplane/revision"
)

// The bounds. What lies beyond one is turned down with a reason, or the oldest goes, as said here. Those of members,
// groups, instances and origins are at least twice the fleet that is planned for: 21,000 members in 3,500 groups and
// 2,400 gateways.
const (
	maxConfigs       = 8               // versions kept; the oldest goes
	maxPairs         = 1024            // further keys are turned down
	maxValue         = 64 << 10        // bytes of a pair's value or of the configuration
	maxMembers       = 4 * 21000       // twice the fleet, and as many again while one inventory takes the place of another
	maxLater         = 1024            // commands of later releases; further ones are counted in later_lost
	maxOrigins       = 8192            // writers whose last commands are known, three for each gateway as they restart
	forgottenOrigins = maxOrigins / 16 // dropped at once when there are too many: those longest silent
	maxRecent        = 64              // results remembered of each writer: as many as one batch holds
	maxLeases        = 4               // that one instance may hold of one member: the one in force and those running out
	spareTombs       = 256             // tombstones kept beyond twice the members present; the oldest goes
	maxGroups        = 8192            // groups that an instance may speak of, and whose primaries are known
	maxClasses       = 256             // classes
	freshWord        = 2.5e9           // ns: words of rates that are older than the newest by more are not added to it
	longAgo          = 600 * 1e9       // ns: a start told as older than this is past its cold time, whatever the clocks' offset
	minShare         = 2e-5            // part of a cold member's budget too small to be worth a lease: a fifth of what 4,800 instances get
	minWeight        = 0.1             // of the mean want: what an instance without traffic still counts for
	maxInstances     = 2 * 2400        // most_instances allows fewer; further ones are turned down
)

// DefaultRules are in force until a command sets others.
func DefaultRules() *pb.Rules {
	return &pb.Rules{ColdFor: 16e9, ColdLongest: 20e9, ClockBound: 0.05, MostInstances: 8, Pool: 0.5}
}

// CheckRules says what is wrong with rules, or nothing.
func CheckRules(r *pb.Rules) string {
	switch {
	case r == nil:
		return "rules are missing"
	case r.ColdFor <= 0 || float64(r.ColdLongest) < float64(r.ColdFor)/(1-min(r.ClockBound, 0.5)):
		return "cold_longest must be at least cold_for by the slowest clock"
	case !(r.ClockBound >= 0 && r.ClockBound <= 0.2):
		return "clock_bound must lie within 0 and 0.2"
	case r.MostInstances < 1 || r.MostInstances > maxInstances:
		return fmt.Sprintf("most_instances must lie within 1 and %d", maxInstances)
	case !(r.Pool >= 0 && r.Pool <= 1):
		return "pool must lie within 0 and 1"
	}
	return ""
}

// SafeShare is the part of a cold member's budget that every instance may use without a lease, whatever the others do.
func SafeShare(r *pb.Rules) float64 { return (1 - r.Pool) / float64(r.MostInstances) }

// Catalog is one replica's. It is not safe for concurrent use.
type Catalog struct {
	s         *pb.State // the scalar fields and small lists; what is looked up lies in the maps below
	members   map[string]*pb.Member
	tombs     map[string]*pb.Tombstone
	instances map[string]*pb.Instance
	origins   map[string]*pb.Origin
	pairs     map[string]*pb.Pair
	primaries map[string]*pb.Primary // by the group's name
	groups    map[Group]int          // how many members each group has
	recorder  recorder
	// Versions rise with each change of their part, for those who look at it again and again.
	membersVersion, learnedVersion, leasesVersion uint64
}

// New makes an empty catalog of that cluster.
func New(cluster string) *Catalog {
	c := &Catalog{}
	c.load(&pb.State{Rules: DefaultRules(), Cluster: cluster})
	return c
}

// Kind is the number of a command's body; 0: it has none that this release knows.
func Kind(c *pb.Command) uint32 {
	r := c.ProtoReflect()
	if f := r.WhichOneof(r.Descriptor().Oneofs().ByName("body")); f != nil {
		return uint32(f.Number())
	}
	return 0
}

// Apply carries out one entry of the log and returns a result for each of its commands.
func (c *Catalog) Apply(index uint64, b *pb.Batch) []*pb.Result {
	c.s.Index = max(c.s.Index, index)
	out := make([]*pb.Result, 0, len(b.Commands))
	for _, x := range b.Commands {
		c.recorder.at = x.At
		out = append(out, c.once(x))
	}
	c.recordChanges(index)
	return out
}

// once applies a command unless its origin's number shows that it, or a later one, has been applied. An origin has
// one batch out at a time, so an earlier number that comes late was given up by its sender.
func (c *Catalog) once(x *pb.Command) *pb.Result {
	c.s.Now = max(c.s.Now, x.At)
	if x.Origin == "" || x.Seq == 0 {
		return c.apply(x)
	}
	o := c.origins[x.Origin]
	if o != nil && x.Seq <= o.Seq {
		for _, r := range o.Recent {
			if r.Seq == x.Seq {
				return &pb.Result{Seq: r.Seq, Refused: r.Refused, Version: r.Version, Repeated: true}
			}
		}
		return &pb.Result{Seq: x.Seq, Refused: "an earlier command that comes late", Repeated: true}
	}
	if o == nil {
		if len(c.origins) >= maxOrigins {
			c.forgetOrigins()
		}
		o = &pb.Origin{Name: x.Origin}
		c.origins[x.Origin] = o
	}
	r := c.apply(x)
	r.Seq = x.Seq
	if o.Seq, o.At = x.Seq, c.s.Now; len(o.Recent) >= maxRecent {
		o.Recent = slices.Delete(o.Recent, 0, 1)
	}
	o.Recent = append(o.Recent, r)
	return r
}

// forgetOrigins drops the origins that have been silent for longest: some at once, as finding them takes a sort.
func (c *Catalog) forgetOrigins() {
	all := values(c.origins)
	slices.SortStableFunc(all, func(a, b *pb.Origin) int { return cmp.Compare(a.At, b.At) })
	for _, o := range all[:forgottenOrigins] {
		delete(c.origins, o.Name)
	}
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
		return c.start(b.Start)
	case *pb.Command_Warm:
		return c.warm(b.Warm)
	case *pb.Command_Ask:
		return c.ask(b.Ask)
	case *pb.Command_Release:
		return c.release(b.Release)
	case *pb.Command_Learn:
		return c.learn(b.Learn)
	case *pb.Command_Beat:
		return c.beat(b.Beat)
	case *pb.Command_Leave:
		return c.leave(b.Leave.GetInstance())
	case *pb.Command_Set:
		return c.set(b.Set)
	case *pb.Command_SetRules:
		return c.setRules(b.SetRules.GetRules())
	case *pb.Command_UpsertMembers:
		return c.upsertMembers(b.UpsertMembers)
	case *pb.Command_RemoveMembers:
		return c.removeMembers(b.RemoveMembers)
	case *pb.Command_ReportPrimary:
		return c.reportPrimary(b.ReportPrimary)
	}
	if len(c.s.Later) >= maxLater {
		c.s.LaterLost++
		return refused("kind %d of a later release: too many are kept already", x.Kind)
	}
	c.s.Later = append(c.s.Later, x)
	return refused("kind %d of a later release: kept, not carried out here", x.Kind)
}

func (c *Catalog) putConfig(p *pb.PutConfig) *pb.Result {
	have := uint64(0)
	if n := len(c.s.Configs); n > 0 {
		have = c.s.Configs[n-1].Version
	}
	switch {
	case p.Base != have:
		return refused("the configuration is at version %d, not %d", have, p.Base)
	case len(p.Text) > maxValue:
		return refused("the configuration has %d bytes, %d at most", len(p.Text), maxValue)
	}
	c.touch(revision.ConfigKey)
	if len(c.s.Configs) >= maxConfigs {
		c.s.Configs = slices.Delete(c.s.Configs, 0, 1)
	}
	c.s.Configs = append(c.s.Configs, &pb.ConfigVersion{Version: have + 1, Text: p.Text, Author: p.Author, At: c.s.Now})
	return &pb.Result{Version: have + 1}
}

func (c *Catalog) set(p *pb.Set) *pb.Result {
	x := c.pairs[p.Key]
	c.touch(revision.PairPrefix + p.Key)
	switch {
	case p.Key == "" || len(p.Key) > 256:
		return refused("a key has 1 to 256 bytes")
	case len(p.Value) > maxValue:
		return refused("the value has %d bytes, %d at most", len(p.Value), maxValue)
	case p.Checked && x.GetVersion() != p.Base:
		return refused("%s is at version %d, not %d", p.Key, x.GetVersion(), p.Base)
	case x == nil && len(c.pairs) >= maxPairs:
		return refused("%d keys are held already", maxPairs)
	case x == nil:
		x = &pb.Pair{Key: p.Key}
		c.pairs[p.Key] = x
	}
	x.Value, x.Version = p.Value, x.Version+1
	return &pb.Result{Version: x.Version}
}

func (c *Catalog) setRules(r *pb.Rules) *pb.Result {
	if problem := CheckRules(r); problem != "" {
		return refused("%s", problem)
	}
	// Guards the proof of the leases: the safe shares are split by the number of instances, and one that is cut off
	// goes on by the rules that it has. So they change only while no member is cold.
	if r.MostInstances < uint32(len(c.instances)) {
		return refused("there are %d instances already", len(c.instances))
	}
	for _, m := range c.members {
		if c.isCold(m) {
			return refused("%s is cold: rules change only while no member is", m.Entry.Id)
		}
	}
	c.touch(revision.RulesKey)
	c.s.Rules, c.s.RulesSet = r, true
	c.membersVersion++
	return &pb.Result{}
}

// ---- instances and what they have learned ----

func (c *Catalog) beat(b *pb.Beat) *pb.Result {
	if b.Instance == "" {
		return refused("an instance needs an id")
	}
	x := c.instances[b.Instance]
	if x == nil {
		// Guards the safe shares: they are split by the number of instances that may exist at once.
		if len(c.instances) >= int(c.s.Rules.MostInstances) {
			return refused("%d instances are known already, most_instances allows no more", len(c.instances))
		}
		x = &pb.Instance{Id: b.Instance}
		c.instances[b.Instance] = x
	}
	x.Boot, x.Service, x.Release, x.Mode, x.Beat = b.Boot, b.Service, b.Release, b.Mode, c.s.Now
	return &pb.Result{}
}

// leave forgets an instance: its place among most_instances is free again. It is the operator's word that it is off.
func (c *Catalog) leave(id string) *pb.Result {
	if c.instances[id] == nil {
		return refused("no instance %q is known", id)
	}
	delete(c.instances, id)
	c.learnedVersion++
	return &pb.Result{}
}

func (c *Catalog) learn(l *pb.Learn) *pb.Result {
	x := c.instances[l.Instance]
	if x == nil {
		return refused("no instance %q is known", l.Instance)
	}
	// What the instance's other front has said stands: its groups and classes may have the same numbers and names.
	x.Groups = slices.DeleteFunc(x.Groups, func(g *pb.GroupWord) bool { return g.Wire == l.Wire })
	x.Classes = slices.DeleteFunc(x.Classes, func(k *pb.ClassWord) bool { return k.Wire == l.Wire })
	x.Learned = c.s.Now
	for _, g := range l.Groups {
		g.Wire = l.Wire
		at := Group{Wire: g.Wire, ID: g.Group}
		if len(x.Groups) >= maxGroups || c.groups[at] == 0 || !(g.WarmRate >= 0 && g.WarmRate < 1e9) {
			continue
		}
		if m := c.members[g.Primary]; m == nil || GroupOf(m.Entry) != at {
			g.Primary, g.PrimaryAt = "", 0
		}
		x.Groups = append(x.Groups, g)
	}
	for _, k := range l.Classes {
		if k.Wire = l.Wire; len(x.Classes) < maxClasses && k.Typical > 0 {
			x.Classes = append(x.Classes, k)
		}
	}
	c.learnedVersion++
	return &pb.Result{}
}

// Word is what all instances together have learned of a group.
type Word struct {
	Primary   string // by the newest word
	PrimaryAt int64
	// WarmRate is the work a second and size that its warm members answer for all instances together. Only words of
	// the same few moments are added up: clients that move to another instance would count at both.
	WarmRate float64
}

// Group is a group of members: each wire, and so each customer that it serves, has groups of its own.
type Group = revision.Group

// GroupOf is the group of a member.
func GroupOf(e *pb.Entry) Group { return Group{Wire: e.Wire, ID: e.Group} }

// Words are those of all groups.
func (c *Catalog) Words() map[Group]Word {
	out := map[Group]Word{}
	for _, p := range c.primaries {
		if c.members[p.Member] != nil {
			out[Group{Wire: p.Wire, ID: p.Group}] = Word{Primary: p.Member, PrimaryAt: p.At}
		}
	}
	for _, x := range values(c.instances) {
		for _, g := range x.Groups {
			at := Group{Wire: g.Wire, ID: g.Group}
			w := out[at]
			if c.s.Now <= x.Learned+freshWord {
				w.WarmRate += g.WarmRate
			}
			if g.Primary != "" && g.PrimaryAt > w.PrimaryAt && c.members[g.Primary] != nil {
				w.Primary, w.PrimaryAt = g.Primary, g.PrimaryAt
			}
			out[at] = w
		}
	}
	return out
}

// Typical is the median of the instances' typical answer times of a wire's class, in ns; 0: unknown.
func (c *Catalog) Typical(wire, class string) int64 {
	var all []int64
	for _, x := range c.instances {
		for _, k := range x.Classes {
			if k.Wire == wire && k.Name == class {
				all = append(all, k.Typical)
			}
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ---- looking ----

// Index is the log entry that the catalog stands after.
func (c *Catalog) Index() uint64 { return c.s.Index }

// Cluster is the id of the cluster whose state this is.
func (c *Catalog) Cluster() string { return c.s.Cluster }

// Now is the newest time that a command has told.
func (c *Catalog) Now() int64 { return c.s.Now }

// Rules are those in force. They must not be changed.
func (c *Catalog) Rules() *pb.Rules { return c.s.Rules }

// RulesSet tells whether a command has set the rules.
func (c *Catalog) RulesSet() bool { return c.s.RulesSet }

// Versions tell whether members, learned state or leases have changed since they were last looked at.
func (c *Catalog) Versions() (members, learned, leases uint64) {
	return c.membersVersion, c.learnedVersion, c.leasesVersion
}

// Inventory is the version of the list of members; 0: there has been none.
func (c *Catalog) Inventory() uint64 { return c.s.Inventory }

// Config is the newest configuration; nil: none.
func (c *Catalog) Config() *pb.ConfigVersion {
	if n := len(c.s.Configs); n > 0 {
		return c.s.Configs[n-1]
	}
	return nil
}

// Member is one member's record, nil if it is not present. It must not be changed.
func (c *Catalog) Member(id string) *pb.Member { return c.members[id] }

// Members are all records, by id. They must not be changed.
func (c *Catalog) Members() []*pb.Member { return values(c.members) }

// ColdMembers are copies of the records of cold members, by id; no others have leases.
func (c *Catalog) ColdMembers() (out []*pb.Member) {
	for _, m := range c.members {
		if c.isCold(m) {
			out = append(out, proto.Clone(m).(*pb.Member))
		}
	}
	slices.SortFunc(out, func(a, b *pb.Member) int { return cmp.Compare(a.Entry.Id, b.Entry.Id) })
	return out
}

// Instances are all records, by id. They must not be changed.
func (c *Catalog) Instances() []*pb.Instance { return values(c.instances) }

// Pair is the value under a key, nil if there is none.
func (c *Catalog) Pair(key string) *pb.Pair { return c.pairs[key] }

// Later are commands of later releases that are kept, and how many more came.
func (c *Catalog) Later() (kept []*pb.Command, lost uint64) { return c.s.Later, c.s.LaterLost }

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func values[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range sorted(m) {
		out = append(out, m[k])
	}
	return out
}

// byAge orders tombstones from the oldest.
func byAge(a, b *pb.Tombstone) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Member, b.Member))
}
