package catalog

import (
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

func (c *Catalog) recordHeartbeat(b *pb.Beat) *pb.Result {
	if b.Instance == "" {
		return refused("an instance needs an id")
	}
	x := c.instances[b.Instance]
	if x == nil {
		// Guards the safe shares: they are split by the number of instances that may exist at once.
		if len(c.instances) >= int(c.state.Rules.MostInstances) {
			return refused("%d instances are known already, most_instances allows no more", len(c.instances))
		}
		x = &pb.Instance{Id: b.Instance}
		c.instances[b.Instance] = x
	}
	x.Boot, x.Service, x.Release, x.Mode, x.Beat = b.Boot, b.Service, b.Release, b.Mode, c.state.Now
	return &pb.Result{}
}

// removeInstance forgets an instance: its place among most_instances is free again. It is the operator's word that it is off.
func (c *Catalog) removeInstance(id string) *pb.Result {
	if c.instances[id] == nil {
		return refused("no instance %q is known", id)
	}
	delete(c.instances, id)
	c.learnedVersion++
	return &pb.Result{}
}

func (c *Catalog) recordLearned(l *pb.Learn) *pb.Result {
	x := c.instances[l.Instance]
	if x == nil {
		return refused("no instance %q is known", l.Instance)
	}
	// What the instance's other front has said stands: its groups and classes may have the same numbers and names.
	x.Groups = slices.DeleteFunc(x.Groups, func(g *pb.GroupWord) bool { return g.Wire == l.Wire })
	x.Classes = slices.DeleteFunc(x.Classes, func(k *pb.ClassWord) bool { return k.Wire == l.Wire })
	x.Learned = c.state.Now
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

// GroupSummary is what all instances together have learned of a group.
type GroupSummary struct {
	Primary   string // by the newest report
	PrimaryAt int64
	// WarmRate is the work a second and size that its warm members answer for all instances together. Only rates of
	// the same few moments are added up: clients that move to another instance would count at both.
	WarmRate float64
}

// Group is a group of members: each wire, and so each customer that it serves, has groups of its own.
type Group = revision.Group

// GroupOf is the group of a member.
func GroupOf(e *pb.Entry) Group { return Group{Wire: e.Wire, ID: e.Group} }

// GroupSummaries are those of all groups.
func (c *Catalog) GroupSummaries() map[Group]GroupSummary {
	out := map[Group]GroupSummary{}
	for _, p := range c.primaries {
		if c.members[p.Member] != nil {
			out[Group{Wire: p.Wire, ID: p.Group}] = GroupSummary{Primary: p.Member, PrimaryAt: p.At}
		}
	}
	for _, x := range sortedValues(c.instances) {
		for _, g := range x.Groups {
			at := Group{Wire: g.Wire, ID: g.Group}
			w := out[at]
			if c.state.Now <= x.Learned+maxRateAge {
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

// TypicalResponseTime is the median of the instances' typical answer times of a wire's class, in ns; 0: unknown.
func (c *Catalog) TypicalResponseTime(wire, class string) int64 {
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
