package store

import (
	"fmt"
	"time"

	"aspenshed"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
)

// ticks drive the deciders until the end.
func (s *Store) ticks() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.tick(s.cfg.Clock.Now())
		}
	}
}

// tick looks at the mode, at leases that have run out, and tells the others that this instance is there.
func (s *Store) tick(now aspenshed.Nanos) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.observe()
	m, changed := s.modes.Step(now, seen)
	s.mode = m
	if changed {
		s.log.WithField("mode", m.String()).Info("store mode")
		s.cfg.Changed()
	}
	var fresh bool
	var rules *pb.Rules
	s.Read(func(c *catalog.Catalog) {
		members, _, leases := c.Versions()
		if v := [2]uint64{members, leases}; v != s.coldAt { // thousands of members are not looked at at each tick
			s.coldAt, s.cold = v, c.ColdMembers()
		}
		fresh, rules = c.Index() > 0 && !c.RulesSet(), c.Rules()
	})
	for _, c := range s.grants.Step(now, seen.Leads || seen.Alone, s.cold, rules) {
		s.queue.Offer(fmt.Sprint("grant ", c), c)
	}
	if r := s.cfg.rules(); fresh && seen.Leads && r != nil {
		s.queue.Offer("rules", &pb.Command{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{Rules: r}}})
	}
	if m != mode.Alone && m != mode.CutOff && (now >= s.lastBeat+beatEvery || changed) {
		s.lastBeat = now
		s.queue.Offer("beat", &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: s.cfg.ID, Boot: s.boot,
			Service: s.cfg.Service, Release: s.cfg.Release, Mode: m.String()}}})
	}
}

// observe is what there is to see of the others. Only tick calls it.
func (s *Store) observe() (x mode.Seen) {
	r := s.raft.Load()
	if s.cfg.Address == "" {
		return mode.Seen{Alone: true}
	}
	if r == nil {
		return x
	}
	x.Leads, x.Applied, x.Commit = r.State() == raft.Leader, r.AppliedIndex(), r.CommitIndex()
	last := r.LastContact()
	x.Contact = x.Leads || last.After(s.contactAt) // raft stamps it at each message of a leader
	s.contactAt = last
	x.Voter = s.votes(r)
	return x
}
