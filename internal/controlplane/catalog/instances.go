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
		// The safe shares are computed for most_instances, so that more instances would exceed the budget.
		if len(c.instances) >= int(c.state.Rules.MostInstances) {
			return refused("%d instances are known already, most_instances allows no more", len(c.instances))
		}
		x = &pb.Instance{Id: b.Instance}
		c.instances[b.Instance] = x
	}
	x.Boot, x.Service, x.Release, x.Mode, x.Beat = b.Boot, b.Service, b.Release, b.Mode, c.state.Now
	return &pb.Result{}
}

// removeInstance deletes an instance, which frees its place among most_instances. The operator has to make sure that it
// is stopped.
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
	// Keep what the instance's other fronts reported: their groups and classes may have the same numbers and names.
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

// GroupSummary aggregates what all instances have learned of a group.
type GroupSummary struct {
	Primary   string // by the newest report
	PrimaryAt int64
	// WarmRate is the work per second and unit of size that its warmed-up members do for all instances together. Only
	// rates of about the same time are summed: clients that moved to another instance would be counted twice.
	WarmRate float64
}

// Group identifies a group of members. Each wire, and so each customer that it serves, has its own groups.
type Group = revision.Group

// GroupOf returns the group of an entry.
func GroupOf(e *pb.Entry) Group { return Group{Wire: e.Wire, ID: e.Group} }

// GroupSummaries returns the summaries of all groups.
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

// TypicalResponseTime returns the median of the instances' typical response times of a wire's class, in ns; 0: unknown.
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
