package store

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/membership"
)

// decideChange calls f with the current configuration of the cluster.
func (s *Store) decideChange(r *raft.Raft, f func(membership.View) membership.Decision) membership.Decision {
	g := r.GetConfiguration()
	if err := g.Error(); err != nil {
		return membership.Decision{Retry: true, Refused: err.Error()}
	}
	v := membership.View{CommitIndex: r.CommitIndex(), ChangePending: g.Index() > r.CommitIndex()}
	for _, x := range g.Configuration().Servers {
		v.Servers = append(v.Servers, membership.Server{ID: string(x.ID), Address: string(x.Address), Voter: x.Suffrage == raft.Voter})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(v)
}

// applyDecision applies a membership decision. raft refuses a change while another one is not committed.
func (s *Store) applyDecision(r *raft.Raft, v membership.Decision, id, address string) *pb.Reply {
	var f raft.IndexFuture
	switch v.Action {
	case membership.AddNonvoter:
		f = r.AddNonvoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderTimeout)
	case membership.Promote:
		f = r.AddVoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderTimeout)
	case membership.Remove:
		f = r.RemoveServer(raft.ServerID(id), 0, leaderTimeout)
	}
	if f != nil {
		if err := f.Error(); err != nil {
			return &pb.Reply{Refused: err.Error(), Retry: true}
		}
		s.log.WithField("instance", id).WithField("change", [...]string{"", "added", "votes", "removed"}[v.Action]).Info("store membership changed")
	}
	return &pb.Reply{Refused: v.Refused, Retry: v.Retry, Voter: v.Done, Added: v.Added}
}

func (s *Store) handleJoin(r *raft.Raft, j *pb.Join) *pb.Reply {
	v := s.decideChange(r, func(v membership.View) membership.Decision {
		return s.membershipMachine.Join(s.cfg.Clock.Now(), v, j.Id, j.Address, j.Applied, j.Empty)
	})
	x := s.applyDecision(r, v, j.Id, j.Address)
	x.Index = r.CommitIndex()
	return x
}

// RemoveInstance removes an instance: its vote, and its record in the catalog. The operator has to make sure that it is
// stopped.
func (s *Store) RemoveInstance(id string, limit time.Duration) error {
	if s.cfg.Address == "" {
		return ErrStandalone
	}
	var last error = ErrUnavailable
	removed := false
	for end := time.Now().Add(limit); time.Now().Before(end); {
		r, err := s.callLeader(&pb.Call{Body: &pb.Call_Remove{Remove: &pb.Remove{Id: id}}}, time.Until(end))
		switch {
		case err != nil:
			last = err
		case r.Voter: // removed
			return s.removeInstanceRecord(id, removed, time.Until(end))
		case r.Refused != "" && !r.Retry:
			return errors.New(r.Refused)
		case r.Refused != "":
			last = errors.New(r.Refused)
		default: // the removal is in progress
			removed = true
		}
		if !s.sleep(50 * time.Millisecond) {
			return ErrClosed
		}
	}
	return last
}

// removeInstanceRecord removes an instance's record from the catalog. An instance that was removed before its first
// heartbeat was committed has none, which is no error; otherwise an id without a record is unknown.
func (s *Store) removeInstanceRecord(id string, removed bool, limit time.Duration) error {
	result, err := s.Submit(&pb.Command{Body: &pb.Command_Leave{Leave: &pb.Leave{Instance: id}}}, limit)
	if err != nil || result.Refused == "" || removed {
		return err
	}
	return errors.New(result.Refused)
}
