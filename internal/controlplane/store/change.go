package store

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/membership"
)

func (s *Store) decide(r *raft.Raft, f func(membership.View) membership.Verdict) membership.Verdict {
	g := r.GetConfiguration()
	if err := g.Error(); err != nil {
		return membership.Verdict{Later: true, Refused: err.Error()}
	}
	v := membership.View{Commit: r.CommitIndex(), Pending: g.Index() > r.CommitIndex()}
	for _, x := range g.Configuration().Servers {
		v.Servers = append(v.Servers, membership.Server{ID: string(x.ID), Address: string(x.Address), Voter: x.Suffrage == raft.Voter})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(v)
}

// change carries a verdict out. raft turns a second change away while one is not agreed.
func (s *Store) change(r *raft.Raft, v membership.Verdict, id, address string) *pb.Reply {
	var f raft.IndexFuture
	switch v.Do {
	case membership.AddNonvoter:
		f = r.AddNonvoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderLimit)
	case membership.Promote:
		f = r.AddVoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderLimit)
	case membership.Remove:
		f = r.RemoveServer(raft.ServerID(id), 0, leaderLimit)
	}
	if f != nil {
		if err := f.Error(); err != nil {
			return &pb.Reply{Refused: err.Error(), Retry: true}
		}
		s.log.WithField("instance", id).WithField("change", [...]string{"", "added", "votes", "removed"}[v.Do]).Info("store membership changed")
	}
	return &pb.Reply{Refused: v.Refused, Retry: v.Later, Voter: v.Done, Added: v.Added}
}

func (s *Store) joinHere(r *raft.Raft, j *pb.Join) *pb.Reply {
	v := s.decide(r, func(v membership.View) membership.Verdict {
		return s.changes.Join(s.cfg.Clock.Now(), v, j.Id, j.Address, j.Applied, j.Empty)
	})
	x := s.change(r, v, j.Id, j.Address)
	x.Index = r.CommitIndex()
	return x
}

// Leave takes an instance out: its vote, and its record in the catalog. The operator's word says that it is off.
func (s *Store) Leave(id string, limit time.Duration) error {
	if s.cfg.Address == "" {
		return ErrAlone
	}
	var last error = ErrUnavailable
	removed := false
	for end := time.Now().Add(limit); time.Now().Before(end); {
		r, err := s.askLeader(&pb.Call{Body: &pb.Call_Remove{Remove: &pb.Remove{Id: id}}}, time.Until(end))
		switch {
		case err != nil:
			last = err
		case r.Voter: // done
			return s.forgetInstance(id, removed, time.Until(end))
		case r.Refused != "" && !r.Retry:
			return errors.New(r.Refused)
		case r.Refused != "":
			last = errors.New(r.Refused)
		default: // it is being taken out
			removed = true
		}
		if !s.pause(50 * time.Millisecond) {
			return ErrClosed
		}
	}
	return last
}

// forgetInstance takes an instance's record out of the catalog. An instance that was removed before its first heartbeat
// was agreed on has none, and is gone all the same; otherwise an id without a record is not known at all.
func (s *Store) forgetInstance(id string, removed bool, limit time.Duration) error {
	result, err := s.Submit(&pb.Command{Body: &pb.Command_Leave{Leave: &pb.Leave{Instance: id}}}, limit)
	if err != nil || result.Refused == "" || removed {
		return err
	}
	return errors.New(result.Refused)
}
