// Package lease implements leases on the capacity of members in slow start. Holder decides when to request leases and
// how long they are valid; Grantor decides when a lease has certainly expired and when a member is warmed up. Neither
// reads a clock: times come from the instance's own monotonic clock and are passed in. docs/design/store.md proves the
// invariants that they maintain together.
package lease

import (
	"fmt"
	"slices"

	"aspenshed"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	maxPendingRequests = 4   // unanswered requests remembered per member; the oldest is dropped
	retryFraction      = 0.2 // of the lease duration: interval between two unanswered requests
	renewFraction      = 0.4 // of the lease duration since the request: one lost response does no harm
)

// memberStart identifies one start of a member.
type memberStart struct {
	member string
	start  int64
}

// Holder tracks the leases that an instance holds. A lease is timed from its request, which precedes any grant of it.
type Holder struct {
	instance, boot string
	duration       aspenshed.Nanos
	requestCount   uint64
	leases         map[memberStart]*heldLease
}

type heldLease struct {
	pending       []pendingRequest // unanswered, newest last
	lastRequestAt aspenshed.Nanos
	serial        uint64 // of the current lease; 0: none
	share         float64
	requestedAt   aspenshed.Nanos // of the current lease
	expiresAt     aspenshed.Nanos
}

type pendingRequest struct {
	nonce  string
	sentAt aspenshed.Nanos
}

// NewHolder creates the holder of one instance. boot distinguishes its nonces from those before a restart: a grant to
// an earlier nonce is not used, as the time of its request is unknown.
func NewHolder(instance, boot string, duration aspenshed.Nanos) *Holder {
	return &Holder{instance: instance, boot: boot, duration: duration, leases: map[memberStart]*heldLease{}}
}

// Step processes the members as the local replica has them and returns the lease requests to send. demand returns the
// work per second that this instance has for a group's members.
func (h *Holder) Step(now aspenshed.Nanos, members []*pb.Member, demand func(group int32) float64) (requests []*pb.Ask) {
	warming := map[memberStart]bool{}
	for _, m := range members {
		if !catalog.IsWarming(m) {
			continue
		}
		k := memberStart{m.Entry.Id, m.Start}
		warming[k] = true
		x := h.leases[k]
		if x == nil {
			x = &heldLease{}
			h.leases[k] = x
		}
		for _, l := range m.Leases {
			h.applyGrant(x, l)
		}
		due := x.lastRequestAt == 0 || now >= x.lastRequestAt+aspenshed.Nanos(retryFraction*float64(h.duration))
		if renew := now >= x.requestedAt+aspenshed.Nanos(renewFraction*float64(h.duration)); due && (x.serial == 0 || renew) {
			h.requestCount++
			a := pendingRequest{fmt.Sprintf("%s/%s/%d", h.instance, h.boot, h.requestCount), now}
			if x.lastRequestAt = now; len(x.pending) >= maxPendingRequests {
				x.pending = slices.Delete(x.pending, 0, 1)
			}
			x.pending = append(x.pending, a)
			requests = append(requests, &pb.Ask{Member: m.Entry.Id, Start: m.Start, Instance: h.instance, Nonce: a.nonce,
				Want: demand(m.Entry.Group), Duration: int64(h.duration)})
		}
	}
	for k := range h.leases { // warmed up, removed or restarted: its leases have ended
		if !warming[k] {
			delete(h.leases, k)
		}
	}
	return requests
}

func (h *Holder) applyGrant(x *heldLease, l *pb.Lease) {
	if l.Instance != h.instance || l.Serial <= x.serial {
		return
	}
	i := slices.IndexFunc(x.pending, func(a pendingRequest) bool { return a.nonce == l.Nonce })
	if i < 0 {
		return
	}
	x.serial, x.share, x.requestedAt, x.expiresAt = l.Serial, l.Share, x.pending[i].sentAt, x.pending[i].sentAt+aspenshed.Nanos(l.Duration)
	x.pending = slices.Delete(x.pending, 0, i+1)
}

// Share returns the part of a warming member's budget that the instance may use, and until when. 0 means that it holds
// no valid lease and has the safe share only. The safe share comes on top of a lease.
func (h *Holder) Share(now aspenshed.Nanos, member string, start int64) (share float64, until aspenshed.Nanos) {
	if x := h.leases[memberStart{member, start}]; x != nil && now < x.expiresAt {
		return x.share, x.expiresAt
	}
	return 0, 0
}

// Grantor tracks leases and warming members on every instance; only the leader's proposals are used. It times them from
// when its own replica first showed them, which is never before the grant, so a new or restarted leader waits longer,
// never shorter.
type Grantor struct {
	leaseSeenAt   map[uint64]aspenshed.Nanos
	warmingSeenAt map[memberStart]aspenshed.Nanos
	proposedAt    map[any]aspenshed.Nanos // last proposal of a command, which limits its retries
}

const proposalRetryInterval = aspenshed.Nanos(1e9)

// NewGrantor creates a Grantor without any leases.
func NewGrantor() *Grantor {
	return &Grantor{leaseSeenAt: map[uint64]aspenshed.Nanos{}, warmingSeenAt: map[memberStart]aspenshed.Nanos{}, proposedAt: map[any]aspenshed.Nanos{}}
}

// MaxLifetime returns how long a lease of that duration may be valid at its holder, measured by this instance's clock:
// the holder's clock may run slow by the bound while this one runs fast.
func MaxLifetime(duration int64, bound float64) aspenshed.Nanos {
	return aspenshed.Nanos(float64(duration) * (1 + bound) / (1 - bound))
}

// Step returns the commands to propose. On an instance that does not lead it only observes.
func (g *Grantor) Step(now aspenshed.Nanos, isLeader bool, members []*pb.Member, rules *pb.Rules) (out []*pb.Command) {
	seenLeases, seenWarming := map[uint64]bool{}, map[memberStart]bool{}
	propose := func(key any, c *pb.Command) {
		if at, ok := g.proposedAt[key]; isLeader && (!ok || now >= at+proposalRetryInterval) {
			g.proposedAt[key] = now
			out = append(out, c)
		}
	}
	for _, m := range members {
		for _, l := range m.Leases {
			seenLeases[l.Serial] = true
			at, known := g.leaseSeenAt[l.Serial]
			if !known {
				g.leaseSeenAt[l.Serial], at = now, now
			}
			if now >= at+MaxLifetime(l.Duration, rules.ClockBound) {
				propose(l.Serial, &pb.Command{Body: &pb.Command_Release{Release: &pb.Release{Member: m.Entry.Id, Start: m.Start,
					Instance: l.Instance, Serial: l.Serial}}})
			}
		}
		if !catalog.IsWarming(m) {
			continue
		}
		k := memberStart{m.Entry.Id, m.Start}
		seenWarming[k] = true
		at, known := g.warmingSeenAt[k]
		if !known {
			g.warmingSeenAt[k], at = now, now
		}
		if now >= at+aspenshed.Nanos(float64(rules.ColdFor)*(1+rules.ClockBound)) { // own clock may run fast
			propose(k, &pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: m.Entry.Id, Start: m.Start}}})
		}
	}
	for s := range g.leaseSeenAt {
		if !seenLeases[s] {
			delete(g.leaseSeenAt, s)
			delete(g.proposedAt, s)
		}
	}
	for k := range g.warmingSeenAt {
		if !seenWarming[k] {
			delete(g.warmingSeenAt, k)
			delete(g.proposedAt, k)
		}
	}
	return out
}
