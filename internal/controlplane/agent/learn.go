package agent

import (
	"aspenshed"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// collectLearned has the loop tell what the Router knows, and passes on what the store has not heard.
func (a *Agent) collectLearned() {
	a.cfg.Loop.Post(func() {
		l, ok := a.cfg.Pipeline.Learned()
		if !ok {
			return
		}
		go a.ReportLearned(l) // the loop must not wait for the store's lock
	})
}

// ReportLearned takes what the Router knows. Starts and changes of primary go to the store at once, rates and times as a
// summary.
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

// learnedSummary is what the others hear of rates and times.
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

// reportStarts tells of members that have come back; another instance may have told of that start already.
func (a *Agent) reportStarts(c *catalog.Catalog, back []aspenshed.ObservedRestart) {
	for _, b := range back {
		if m := c.Member(b.Member); m != nil && m.Start < int64(b.UnreachableAt) {
			a.cfg.Store.Offer("start "+b.Member, &pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: b.Member, Start: int64(b.ReachableAt)}}})
		}
	}
}

// reportPrimaries tells of groups whose primary is another one than the catalog knows. Newer sightings of the same one
// are not told: thousands of instances have them all the time.
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
