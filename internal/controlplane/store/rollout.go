package store

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// maxRolloutRows bounds the lagging subscribers and the refusals in a report: each voter reports at most 20.
const maxRolloutRows = 20

// RolloutReport is the progress of a revision at the subscribers of all voters that answered.
type RolloutReport struct {
	Revision    uint64              `json:"revision"`
	Subscribers uint64              `json:"subscribers"`
	Applied     uint64              `json:"in_force"`
	Lagging     []LaggingSubscriber `json:"lagging"`  // the furthest behind
	Refusals    []RolloutRefusal    `json:"refusals"` // changes of the revision that a subscriber could not apply
	Answered    []string            `json:"answered"`
	Unreachable []string            `json:"silent"` // voters that did not answer: their subscribers are not counted
}

// LaggingSubscriber is a subscriber that has not applied the revision.
type LaggingSubscriber struct {
	Subscriber string `json:"subscriber"`
	Applied    uint64 `json:"in_force"` // the newest revision that it has applied
}

// RolloutRefusal is one change that a subscriber could not apply.
type RolloutRefusal struct {
	Subscriber string `json:"subscriber"`
	Revision   uint64 `json:"revision"`
	Key        string `json:"key"`
	Reason     string `json:"reason"`
}

// Rollout queries every voter, within limit, for the progress of a revision at its subscribers; 0: the newest revision
// that is applied here.
func (s *Store) Rollout(rev uint64, limit time.Duration) (RolloutReport, error) {
	if rev == 0 {
		s.Read(func(c *catalog.Catalog) { rev = c.Index() })
	}
	report := RolloutReport{Revision: rev, Lagging: []LaggingSubscriber{}, Refusals: []RolloutRefusal{}, Answered: []string{}, Unreachable: []string{}}
	others, err := s.otherVoters()
	if err != nil {
		return report, err
	}
	report.add(s.cfg.ID, s.localRollout(rev))
	for id, status := range s.queryRollout(others, rev, limit) {
		report.add(id, status)
	}
	report.sortAndTruncate()
	return report, nil
}

// localRollout returns the status of the subscribers of this instance.
func (s *Store) localRollout(rev uint64) *pb.RolloutStatus {
	if s.cfg.RolloutStatus == nil {
		return &pb.RolloutStatus{Revision: rev}
	}
	return s.cfg.RolloutStatus(rev)
}

// handleRollout handles another voter's query.
func (s *Store) handleRollout(q *pb.RolloutQuery) *pb.Reply {
	rev := q.GetRevision()
	if rev == 0 {
		s.Read(func(c *catalog.Catalog) { rev = c.Index() })
	}
	return &pb.Reply{Rollout: s.localRollout(rev)}
}

// otherVoters returns the ids of all voters except this instance.
func (s *Store) otherVoters() (ids []string, err error) {
	if s.cfg.Address == "" {
		return nil, nil
	}
	r := s.raft.Load()
	if r == nil {
		return nil, ErrUnavailable
	}
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	for _, v := range f.Configuration().Servers {
		if v.Suffrage == raft.Voter && string(v.ID) != s.cfg.ID {
			ids = append(ids, string(v.ID))
		}
	}
	return ids, nil
}

// queryRollout queries all of them concurrently. A voter that does not answer has a nil status.
func (s *Store) queryRollout(ids []string, rev uint64, limit time.Duration) map[string]*pb.RolloutStatus {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := make(map[string]*pb.RolloutStatus, len(ids))
	for _, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var status *pb.RolloutStatus
			call := &pb.Call{Body: &pb.Call_Rollout{Rollout: &pb.RolloutQuery{Revision: rev}}}
			if reply, err := s.call(s.serviceAddress(id), call, limit); err == nil {
				status = reply.Rollout
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		}()
	}
	wg.Wait()
	return statuses
}

// add adds one voter's status; nil: it did not answer.
func (r *RolloutReport) add(voter string, status *pb.RolloutStatus) {
	if status == nil {
		r.Unreachable = append(r.Unreachable, voter)
		return
	}
	r.Answered = append(r.Answered, voter)
	r.Subscribers += status.Subscribers
	r.Applied += status.InForce
	for _, x := range status.Lagging {
		r.Lagging = append(r.Lagging, LaggingSubscriber{x.Subscriber, x.InForce})
	}
	for _, x := range status.Refusals {
		r.Refusals = append(r.Refusals, RolloutRefusal{x.Subscriber, x.Revision, x.Key, x.Reason})
	}
}

// sortAndTruncate sorts the lists, the furthest behind first, and limits their length.
func (r *RolloutReport) sortAndTruncate() {
	slices.Sort(r.Answered)
	slices.Sort(r.Unreachable)
	slices.SortFunc(r.Lagging, func(a, b LaggingSubscriber) int {
		return cmp.Or(cmp.Compare(a.Applied, b.Applied), cmp.Compare(a.Subscriber, b.Subscriber))
	})
	slices.SortFunc(r.Refusals, func(a, b RolloutRefusal) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Subscriber, b.Subscriber), cmp.Compare(a.Key, b.Key))
	})
	r.Lagging = r.Lagging[:min(len(r.Lagging), maxRolloutRows)]
	r.Refusals = r.Refusals[:min(len(r.Refusals), maxRolloutRows)]
}
