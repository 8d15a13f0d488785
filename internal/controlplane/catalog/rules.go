package catalog

import (
	"fmt"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// DefaultRules are in force until a command sets others.
func DefaultRules() *pb.Rules {
	return &pb.Rules{ColdFor: 16e9, ColdLongest: 20e9, ClockBound: 0.05, MostInstances: 8, Pool: 0.5}
}

// ValidateRules says what is wrong with rules, or nothing.
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

// SafeShare is the part of a cold member's budget that every instance may use without a lease, whatever the others do.
func SafeShare(r *pb.Rules) float64 { return (1 - r.Pool) / float64(r.MostInstances) }

func (c *Catalog) setRules(r *pb.Rules) *pb.Result {
	if problem := ValidateRules(r); problem != "" {
		return refused("%s", problem)
	}
	// Guards the proof of the leases: the safe shares are split by the number of instances, and one that is cut off
	// goes on by the rules that it has. So they change only while no member is cold.
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
