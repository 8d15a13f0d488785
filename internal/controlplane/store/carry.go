package store

import (
	"errors"
	"fmt"
	"time"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
)

// Carry brings a subscriber's batch to the leader, under the origin and the numbers that the subscriber gave. What
// changes nothing any more is answered as done and goes no further: each gateway that sees a drain, a start or a change
// of primary reports it, and only the first report needs an entry of the log.
func (s *Store) Carry(b *pb.Batch) *pb.Reply {
	if n := len(b.GetCommands()); n == 0 || n > commandqueue.MaxBatch {
		return &pb.Reply{Refused: fmt.Sprintf("a batch has 1 to %d commands", commandqueue.MaxBatch)}
	}
	results := make([]*pb.Result, len(b.Commands))
	s.Read(func(c *catalog.Catalog) {
		for i, x := range b.Commands {
			results[i] = answerHere(c, x)
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
	reply := s.carryNeeded(needed)
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

// answerHere is the answer to a subscriber's command that needs no entry of the log; nil: it needs one.
func answerHere(c *catalog.Catalog, x *pb.Command) *pb.Result {
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

// carryNeeded has the leader carry a batch out. Without Refused, the reply has a result for each command.
func (s *Store) carryNeeded(b *pb.Batch) *pb.Reply {
	results, mayHaveRun, err := s.carry(b)
	if err == nil && len(results) != len(b.Commands) {
		err = fmt.Errorf("%d results of %d commands", len(results), len(b.Commands))
	}
	if err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: !mayHaveRun}
	}
	return &pb.Reply{Results: results}
}

// carry brings a batch to the leader, wherever that is. mayHaveRun: the batch may be agreed on in spite of the error.
func (s *Store) carry(b *pb.Batch) (results []*pb.Result, mayHaveRun bool, err error) {
	if s.cfg.Address == "" {
		return s.applyAlone(b), false, nil
	}
	r, err := s.askLeader(&pb.Call{Body: &pb.Call_Submit{Submit: b}}, leaderLimit+time.Second)
	switch {
	case err != nil:
		return nil, !errors.Is(err, ErrUnavailable), err
	case r.Refused != "":
		return nil, !r.Retry, errors.New(r.Refused)
	}
	return r.Results, true, nil
}

func (s *Store) applyAlone(b *pb.Batch) []*pb.Result {
	s.stamp(b)
	return s.machine.applyNext(b)
}
