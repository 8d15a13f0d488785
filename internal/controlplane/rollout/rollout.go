// Package rollout tracks the progress of one server's subscribers: the revision that each has applied, and which
// changes it refused and why. Recording an acknowledgement takes constant time in the number of subscribers and
// changes; the status of a revision takes one pass over the subscribers.
package rollout

import (
	"cmp"
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	// maxReportedLagging and maxReportedRefusals are how many of the subscribers that are furthest behind, and of the
	// newest refusals, a status lists.
	maxReportedLagging  = 20
	maxReportedRefusals = 20
	// maxRefusals bounds the refusals kept over all revisions: each of the 480 subscribers of a server at the target may
	// refuse one change and some of them a second one. The oldest is overwritten first.
	maxRefusals = 1024
)

// Tracker holds the progress of one server's subscribers. The zero value is not usable; use NewTracker.
type Tracker struct {
	applied  map[string]uint64
	refusals []*pb.Refusal // a ring buffer once it is full
	oldest   int           // the index that the next refusal overwrites then
}

// NewTracker returns a Tracker without subscribers.
func NewTracker() *Tracker { return &Tracker{applied: map[string]uint64{}} }

// SetApplied records the revision that a subscriber has applied.
func (t *Tracker) SetApplied(subscriber string, revision uint64) { t.applied[subscriber] = revision }

// Remove drops a subscriber that has left this server; its refusals are kept.
func (t *Tracker) Remove(subscriber string) { delete(t.applied, subscriber) }

// AddRefusal records a change that a subscriber has refused.
func (t *Tracker) AddRefusal(subscriber string, revision uint64, key, reason string) {
	r := &pb.Refusal{Subscriber: subscriber, Revision: revision, Key: key, Reason: reason}
	if len(t.refusals) < maxRefusals {
		t.refusals = append(t.refusals, r)
		return
	}
	t.refusals[t.oldest] = r
	t.oldest = (t.oldest + 1) % maxRefusals
}

// Status returns the progress of the subscribers with a revision. from is the revision of the newest change up to it: a
// subscriber that has applied from has all changes of the revision.
func (t *Tracker) Status(revision, from uint64) *pb.RolloutStatus {
	status := &pb.RolloutStatus{Revision: revision, Subscribers: uint64(len(t.applied))}
	var lagging []*pb.Lagging
	for subscriber, applied := range t.applied {
		if applied >= from {
			status.InForce++
			continue
		}
		lagging = append(lagging, &pb.Lagging{Subscriber: subscriber, InForce: applied})
	}
	slices.SortFunc(lagging, func(a, b *pb.Lagging) int {
		return cmp.Or(cmp.Compare(a.InForce, b.InForce), cmp.Compare(a.Subscriber, b.Subscriber))
	})
	status.Lagging = lagging[:min(len(lagging), maxReportedLagging)]
	status.Refusals = t.newestRefusals(revision)
	return status
}

// newestRefusals returns the newest refusals of one revision, newest first.
func (t *Tracker) newestRefusals(revision uint64) (out []*pb.Refusal) {
	for i := range t.refusals {
		r := t.refusals[(t.oldest-1-i+2*len(t.refusals))%len(t.refusals)]
		if r.Revision == revision && len(out) < maxReportedRefusals {
			out = append(out, r)
		}
	}
	return out
}
