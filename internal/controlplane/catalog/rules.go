package catalog

import (
	"fmt"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// DefaultRules returns the rules that apply until a command sets others.
func DefaultRules() *pb.Rules {
	return &pb.Rules{ColdFor: 16e9, ColdLongest: 20e9, ClockBound: 0.05, MostInstances: 8, Pool: 0.5}
}

// ValidateRules returns the problem of invalid rules, or "".
func ValidateRules(r *pb.Rules) string {
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

// SafeShare returns the part of a warming member's budget that every instance may use without a lease.
func SafeShare(r *pb.Rules) float64 { return (1 - r.Pool) / float64(r.MostInstances) }

func (c *Catalog) setRules(r *pb.Rules) *pb.Result {
	if problem := ValidateRules(r); problem != "" {
		return refused("%s", problem)
	}
	// The safe shares depend on the number of instances, and a disconnected instance continues with its own rules. So
	// that the shares never add up to more than the budget, rules change only while no member is in slow start.
	if r.MostInstances < uint32(len(c.instances)) {
		return refused("there are %d instances already", len(c.instances))
	}
	for _, m := range c.members {
		if IsWarming(m) {
			return refused("%s is cold: rules change only while no member is", m.Entry.Id)
		}
	}
	c.touch(revision.RulesKey)
	c.state.Rules, c.state.RulesSet = r, true
	c.membersVersion++
	return &pb.Result{}
}
