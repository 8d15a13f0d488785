package store

import (
	"errors"
	"fmt"
	"time"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
)

// ForwardBatch forwards a subscriber's batch to the leader, with the subscriber's origin and sequence numbers.
// Redundant commands are answered as done here: each gateway that observes a drain, a start or a change of primary
// reports it, and only the first report needs a log entry.
func (s *Store) ForwardBatch(b *pb.Batch) *pb.Reply {
	if n := len(b.GetCommands()); n == 0 || n > commandqueue.MaxBatch {
		return &pb.Reply{Refused: fmt.Sprintf("a batch has 1 to %d commands", commandqueue.MaxBatch)}
	}
	results := make([]*pb.Result, len(b.Commands))
	s.Read(func(c *catalog.Catalog) {
		for i, x := range b.Commands {
			results[i] = answerLocally(c, x)
		}
	})
	needed := &pb.Batch{}
	for i, x := range b.Commands {
		if results[i] == nil {
			needed.Commands = append(needed.Commands, x)
		}
	}
	if len(needed.Commands) == 0 {
		return &pb.Reply{Results: results}
	}
	reply := s.forwardNeeded(needed)
	if reply.Refused != "" {
		return reply
	}
	next := 0
	for i := range results {
		if results[i] == nil {
			results[i] = reply.Results[next]
			next++
		}
	}
	return &pb.Reply{Results: results}
}

// answerLocally returns the result of a subscriber's command that needs no log entry; nil: it needs one.
func answerLocally(c *catalog.Catalog, x *pb.Command) *pb.Result {
	if x.Origin == "" || x.Seq == 0 {
		return &pb.Result{Seq: x.Seq, Refused: "a subscriber's command needs an origin and a number"}
	}
	switch x.Body.(type) {
	case *pb.Command_Beat, *pb.Command_Learn, *pb.Command_Ask, *pb.Command_Release:
		return &pb.Result{Seq: x.Seq, Refused: "only an instance of the store sends this kind of command"}
	}
	if c.IsRedundant(x) {
		return &pb.Result{Seq: x.Seq}
	}
	return nil
}

// forwardNeeded submits a batch to the leader. Unless refused, the reply has a result for each command.
func (s *Store) forwardNeeded(b *pb.Batch) *pb.Reply {
	results, mayHaveRun, err := s.submitToLeader(b)
	if err == nil && len(results) != len(b.Commands) {
		err = fmt.Errorf("%d results of %d commands", len(results), len(b.Commands))
	}
	if err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: !mayHaveRun}
	}
	return &pb.Reply{Results: results}
}

// submitToLeader submits a batch to the leader. mayHaveRun: the batch may be committed despite the error.
func (s *Store) submitToLeader(b *pb.Batch) (results []*pb.Result, mayHaveRun bool, err error) {
	if s.cfg.Address == "" {
		return s.applyStandalone(b), false, nil
	}
	r, err := s.callLeader(&pb.Call{Body: &pb.Call_Submit{Submit: b}}, leaderTimeout+time.Second)
	switch {
	case err != nil:
		return nil, !errors.Is(err, ErrUnavailable), err
	case r.Refused != "":
		return nil, !r.Retry, errors.New(r.Refused)
	}
	return r.Results, true, nil
}

func (s *Store) applyStandalone(b *pb.Batch) []*pb.Result {
	s.stampTime(b)
	return s.fsm.applyNext(b)
}
