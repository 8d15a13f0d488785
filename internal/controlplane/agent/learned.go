package agent

import (
	"aspenshed"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// collectLearned reads the learned state on the loop and reports what the store does not have.
func (a *Agent) collectLearned() {
	a.cfg.Loop.Post(func() {
		l, ok := a.cfg.Pipeline.Learned()
		if !ok {
			return
		}
		go a.ReportLearned(l) // the loop must not block on the store's lock
	})
}

// ReportLearned reports the learned state of the Router to the store: starts and changes of primary at once, rates and
// times as a summary.
func (a *Agent) ReportLearned(l aspenshed.LearnedState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learned = l
	if !a.cfg.KeepLearnedLocal {
		a.cfg.Store.Offer("learn "+a.cfg.Wire, &pb.Command{Body: &pb.Command_Learn{Learn: a.learnedSummary(l)}})
	}
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		a.reportStarts(c, l.Restarts)
		a.reportPrimaries(c, l.Groups)
	})
}

// learnedSummary summarizes rates and times for other instances.
func (a *Agent) learnedSummary(l aspenshed.LearnedState) *pb.Learn {
	x := &pb.Learn{Instance: a.cfg.Store.ID(), Wire: a.cfg.Wire}
	for _, g := range l.Groups {
		x.Groups = append(x.Groups, &pb.GroupWord{Group: int32(g.Group), Primary: g.Primary, PrimaryAt: int64(g.PrimarySeenAt), WarmRate: g.WorkRate})
	}
	for i, t := range l.TypicalLatency {
		if i < len(a.cfg.Classes) {
			x.Classes = append(x.Classes, &pb.ClassWord{Name: a.cfg.Classes[i].Name, Typical: int64(t)})
		}
	}
	return x
}

// reportStarts reports members that have returned, unless the catalog has that start already.
func (a *Agent) reportStarts(c *catalog.Catalog, restarts []aspenshed.ObservedRestart) {
	for _, r := range restarts {
		if m := c.Member(r.Member); m != nil && m.Start < int64(r.UnreachableAt) {
			a.cfg.Store.Offer("start "+r.Member, &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: r.Member, Start: int64(r.ReachableAt)}}})
		}
	}
}

// reportPrimaries reports groups whose primary differs from the catalog's. Newer observations of the same primary are
// not reported, as thousands of instances make them all the time.
func (a *Agent) reportPrimaries(c *catalog.Catalog, groups []aspenshed.LearnedGroup) {
	for _, g := range groups {
		group := catalog.Group{Wire: a.cfg.Wire, ID: int32(g.Group)}
		known := c.Primary(group)
		if g.Primary == "" || known.GetMember() == g.Primary || known.GetAt() >= int64(g.PrimarySeenAt) {
			continue
		}
		report := &pb.ReportPrimary{Wire: group.Wire, Group: group.ID, Member: g.Primary, At: int64(g.PrimarySeenAt)}
		a.cfg.Store.Offer("primary "+group.String(), &pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: report}})
	}
}
