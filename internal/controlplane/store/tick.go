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

// runTicks drives the state machines until the store is closed.
func (s *Store) runTicks() {
	t := time.NewTicker(tickInterval)
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

// tick updates the mode, proposes the end of leases and slow starts, and sends the heartbeat of this instance.
func (s *Store) tick(now aspenshed.Nanos) {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := s.observe()
	m, changed := s.modeMachine.Step(now, observed)
	s.mode = m
	if changed {
		s.log.WithField("mode", m.String()).Info("store mode changed")
		s.cfg.OnChange()
	}
	var fresh bool
	var rules *pb.Rules
	s.Read(func(c *catalog.Catalog) {
		members, _, leases := c.Versions()
		if v := [2]uint64{members, leases}; v != s.warmingVersions { // avoids a scan of all members at each tick
			s.warmingVersions, s.warmingMembers = v, c.WarmingMembers()
		}
		fresh, rules = c.Index() > 0 && !c.RulesSet(), c.Rules()
	})
	for _, c := range s.leaseGrantor.Step(now, observed.IsLeader || observed.Standalone, s.warmingMembers, rules) {
		s.queue.Offer(fmt.Sprint("grant ", c), c)
	}
	if r := s.cfg.initialRules(); fresh && observed.IsLeader && r != nil {
		s.queue.Offer("rules", &pb.Command{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{Rules: r}}})
	}
	if m != mode.Standalone && m != mode.Disconnected && (now >= s.lastHeartbeatAt+heartbeatInterval || changed) {
		s.lastHeartbeatAt = now
		s.queue.Offer("beat", &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: s.cfg.ID, Boot: s.boot,
			Service: s.cfg.Service, Release: s.cfg.Release, Mode: m.String()}}})
	}
}

// observe returns the current observation of the cluster. Only tick calls it.
func (s *Store) observe() (x mode.Observation) {
	r := s.raft.Load()
	if s.cfg.Address == "" {
		return mode.Observation{Standalone: true}
	}
	if r == nil {
		return x
	}
	x.IsLeader, x.AppliedIndex, x.CommitIndex = r.State() == raft.Leader, r.AppliedIndex(), r.CommitIndex()
	last := r.LastContact()
	x.LeaderContact = x.IsLeader || last.After(s.lastContactAt) // raft updates it with each message of a leader
	s.lastContactAt = last
	x.IsVoter = s.isVoter(r)
	return x
}
