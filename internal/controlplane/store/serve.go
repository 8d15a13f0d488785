package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/membership"
)

// stampTime sets the time of all commands in a batch.
func (s *Store) stampTime(b *pb.Batch) {
	now := int64(s.cfg.Clock.Now())
	for _, c := range b.Commands {
		c.At = now
	}
}

// callLeader sends a call to the leader, which may be this instance. ErrUnavailable: nothing was sent.
func (s *Store) callLeader(c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	r := s.raft.Load()
	if r == nil {
		return nil, ErrUnavailable
	}
	if c.Cluster = s.cfg.Cluster; r.State() == raft.Leader {
		return s.handleCall(c), nil
	}
	_, id := r.LeaderWithID()
	service := s.serviceAddress(string(id))
	if id == "" || service == "" {
		return nil, ErrUnavailable
	}
	return s.call(service, c, limit)
}

func (s *Store) call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	c.Cluster = s.cfg.Cluster
	return s.caller.Call(service, c, limit)
}

// serviceAddress returns the service address of an instance: from its heartbeat, otherwise from the configuration.
func (s *Store) serviceAddress(id string) (service string) {
	s.Read(func(c *catalog.Catalog) {
		for _, x := range c.Instances() {
			if x.Id == id {
				service = x.Service
			}
		}
	})
	for _, p := range s.cfg.Peers {
		if p.ID == id && service == "" {
			service = p.Service
		}
	}
	return service
}

// handleCall handles one call that arrived at this instance.
func (s *Store) handleCall(c *pb.Call) *pb.Reply {
	if c.Cluster != s.cfg.Cluster {
		return &pb.Reply{Refused: fmt.Sprintf("this is cluster %q, not %q", s.cfg.Cluster, c.Cluster)}
	}
	r := s.raft.Load()
	if _, hello := c.Body.(*pb.Call_Hello); hello {
		// A cluster that was bootstrapped but has committed nothing may be bootstrapped again, with the caller.
		return &pb.Reply{Exists: r != nil && r.LastIndex() > 1}
	}
	if rollout, ok := c.Body.(*pb.Call_Rollout); ok {
		return s.handleRollout(rollout.Rollout)
	}
	if r == nil || r.State() != raft.Leader {
		x := &pb.Reply{Refused: "another instance leads", Retry: true}
		if r != nil {
			_, id := r.LeaderWithID()
			x.Leader, x.LeaderService = string(id), s.serviceAddress(string(id))
		}
		return x
	}
	switch b := c.Body.(type) {
	case *pb.Call_Submit:
		return s.applyAsLeader(r, b.Submit)
	case *pb.Call_ReadIndex:
		return s.readIndex(r)
	case *pb.Call_Join:
		return s.handleJoin(r, b.Join)
	case *pb.Call_Remove:
		v := s.decideChange(r, func(v membership.View) membership.Decision {
			return s.membershipMachine.Leave(s.cfg.Clock.Now(), v, b.Remove.Id)
		})
		return s.applyDecision(r, v, b.Remove.Id, "")
	}
	return &pb.Reply{Refused: "a call that this release does not know"}
}

func (s *Store) applyAsLeader(r *raft.Raft, b *pb.Batch) *pb.Reply {
	if len(b.GetCommands()) == 0 || len(b.Commands) > commandqueue.MaxBatch {
		return &pb.Reply{Refused: fmt.Sprintf("a batch has 1 to %d commands", commandqueue.MaxBatch)}
	}
	s.stampTime(b)
	data, err := proto.Marshal(b)
	if err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: true}
	}
	f := r.Apply(data, leaderTimeout)
	if err := f.Error(); err != nil { // an entry in the log may still be committed
		return &pb.Reply{Refused: err.Error(), Retry: errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout)}
	}
	results, ok := f.Response().([]*pb.Result)
	if !ok {
		return &pb.Reply{Refused: fmt.Sprint(f.Response())}
	}
	return &pb.Reply{Results: results}
}

// readIndex returns an index that covers all entries committed before the call: a leader that was replaced without
// knowing it cannot commit the barrier. It reads the index of the catalog, as raft's applied index includes entries
// that are still queued for the catalog.
func (s *Store) readIndex(r *raft.Raft) *pb.Reply {
	if err := r.Barrier(leaderTimeout).Error(); err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: true}
	}
	var index uint64
	s.Read(func(c *catalog.Catalog) { index = c.Index() })
	return &pb.Reply{Index: index, Voter: true}
}
