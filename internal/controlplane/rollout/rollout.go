// Package rollout knows how far the subscribers of one server are: the revision that each has in force, and which
// changes it refused and why. An acknowledgement costs the same whatever the number of subscribers and changes; a
// question about a revision walks over the subscribers once.
package rollout

import (
	"cmp"
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	// maxReportedLagging and maxReported are how many of those furthest behind, and of the newest refusals, an answer names.
	maxReportedLagging  = 20
	maxReportedRefusals = 20
	// maxRefusals are kept over all revisions: each of the 480 subscribers of a server at the target may refuse one
	// change and some of them a second one. The oldest goes first.
	maxRefusals = 1024
)

// Tracker is the state of one server's subscribers. The zero value is not ready; use NewTracker.
type Tracker struct {
	inForce  map[string]uint64
	refusals []*pb.Refusal // a ring once it is full
	oldest   int           // where the next refusal goes then
}

// NewTracker knows no subscribers.
func NewTracker() *Tracker { return &Tracker{inForce: map[string]uint64{}} }

// SetInForce takes note of what a subscriber has in force.
func (t *Tracker) SetInForce(subscriber string, revision uint64) { t.inForce[subscriber] = revision }

// Remove forgets a subscriber that has left this server; its refusals stay.
func (t *Tracker) Remove(subscriber string) { delete(t.inForce, subscriber) }

// AddRefusal takes note of a change that a subscriber does not go by.
func (t *Tracker) AddRefusal(subscriber string, revision uint64, key, reason string) {
	r := &pb.Refusal{Subscriber: subscriber, Revision: revision, Key: key, Reason: reason}
	if len(t.refusals) < maxRefusals {
		t.refusals = append(t.refusals, r)
		return
	}
	t.refusals[t.oldest] = r
	t.oldest = (t.oldest + 1) % maxRefusals
}

// Status is how far the subscribers are with a revision, whose changes are in force from another one on: that of the
// newest change up to it.
func (t *Tracker) Status(revision, from uint64) *pb.RolloutStatus {
	status := &pb.RolloutStatus{Revision: revision, Subscribers: uint64(len(t.inForce))}
	var lagging []*pb.Lagging
	for subscriber, has := range t.inForce {
		if has >= from {
			status.InForce++
			continue
		}
		lagging = append(lagging, &pb.Lagging{Subscriber: subscriber, InForce: has})
	}
	slices.SortFunc(lagging, func(a, b *pb.Lagging) int {
		return cmp.Or(cmp.Compare(a.InForce, b.InForce), cmp.Compare(a.Subscriber, b.Subscriber))
	})
	status.Lagging = lagging[:min(len(lagging), maxReportedLagging)]
	status.Refusals = t.newestRefusals(revision)
	return status
}

// newestRefusals is the newest of one revision, the newest first.
func (t *Tracker) newestRefusals(revision uint64) (out []*pb.Refusal) {
	for i := range t.refusals {
		r := t.refusals[(t.oldest-1-i+2*len(t.refusals))%len(t.refusals)]
		if r.Revision == revision && len(out) < maxReportedRefusals {
			out = append(out, r)
		}
	}
	return out
}
