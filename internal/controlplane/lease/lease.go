// Package lease decides on leases of cold capacity: Holder when to ask for them and until when they hold, Grantor
// when they have surely run out and when a cold member is warm. Neither reads a clock: times are those of the
// instance's own monotonic clock, handed in. docs/design/store.md proves what they keep together.
package lease

import (
	"fmt"
	"slices"

	"aspenshed"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	maxPendingRequests = 4   // asks without an answer that are remembered of one member; the oldest goes
	retryFraction      = 0.2 // of the duration: between two asks without an answer
	renewFraction      = 0.4 // of the duration, from the ask: a new one is asked for then, so that one lost answer does no harm
)

// memberStart names a member's start.
type memberStart struct {
	member string
	start  int64
}

// Holder keeps an instance's leases. A lease counts from when it was asked for, before anyone could have granted it.
type Holder struct {
	instance, boot string
	duration       aspenshed.Nanos
	requestCount   uint64
	leases         map[memberStart]*heldLease
}

type heldLease struct {
	pending       []pendingRequest // without an answer, the newest last
	lastRequestAt aspenshed.Nanos
	serial        uint64 // of the lease in force
	share         float64
	requestedAt   aspenshed.Nanos // when it was asked for
	expiresAt     aspenshed.Nanos
}

type pendingRequest struct {
	nonce  string
	sentAt aspenshed.Nanos
}

// NewHolder makes an instance's. Its boot tells its nonces from those before a restart: what was granted to those
// is not used, as nobody knows when they were asked for.
func NewHolder(instance, boot string, duration aspenshed.Nanos) *Holder {
	return &Holder{instance: instance, boot: boot, duration: duration, leases: map[memberStart]*heldLease{}}
}

// Step takes what the local replica says of members and returns what to ask for. want is the work a second that
// this instance has for members of a group.
func (h *Holder) Step(now aspenshed.Nanos, members []*pb.Member, want func(group int32) float64) (asks []*pb.Ask) {
	cold := map[memberStart]bool{}
	for _, m := range members {
		if !catalog.IsWarming(m) {
			continue
		}
		k := memberStart{m.Entry.Id, m.Start}
		cold[k] = true
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
			asks = append(asks, &pb.Ask{Member: m.Entry.Id, Start: m.Start, Instance: h.instance, Nonce: a.nonce,
				Want: want(m.Entry.Group), Duration: int64(h.duration)})
		}
	}
	for k := range h.leases { // warm, gone or started again: nothing is held of that start
		if !cold[k] {
			delete(h.leases, k)
		}
	}
	return asks
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

// Share is the part of a cold member's budget that the instance may use until then; 0: it holds no valid lease, and
// the safe share is all it has. The safe share comes on top of a lease.
func (h *Holder) Share(now aspenshed.Nanos, member string, start int64) (share float64, until aspenshed.Nanos) {
	if x := h.leases[memberStart{member, start}]; x != nil && now < x.expiresAt {
		return x.share, x.expiresAt
	}
	return 0, 0
}

// Grantor watches leases and cold members on every instance; only the leader's word on them is asked for. It counts
// from when its own replica first showed them, which is never before the grant: so a new leader, or one that has
// started again, waits longer, never shorter.
type Grantor struct {
	leaseSeenAt   map[uint64]aspenshed.Nanos
	warmingSeenAt map[memberStart]aspenshed.Nanos
	proposedAt    map[any]aspenshed.Nanos // when a command was last proposed: it is not repeated at once
}

const proposalRetryInterval = aspenshed.Nanos(1e9)

// NewGrantor makes one.
func NewGrantor() *Grantor {
	return &Grantor{leaseSeenAt: map[uint64]aspenshed.Nanos{}, warmingSeenAt: map[memberStart]aspenshed.Nanos{}, proposedAt: map[any]aspenshed.Nanos{}}
}

// MaxLifetime is how long a lease of that duration may last at its holder, by this instance's own clock: its holder's
// may run slow by the bound while this one runs fast.
func MaxLifetime(duration int64, bound float64) aspenshed.Nanos {
	return aspenshed.Nanos(float64(duration) * (1 + bound) / (1 - bound))
}

// Step returns what to propose. Without the lead it only watches.
func (g *Grantor) Step(now aspenshed.Nanos, leads bool, members []*pb.Member, rules *pb.Rules) (out []*pb.Command) {
	seenLease, seenCold := map[uint64]bool{}, map[memberStart]bool{}
	propose := func(what any, c *pb.Command) {
		if at, ok := g.proposedAt[what]; leads && (!ok || now >= at+proposalRetryInterval) {
			g.proposedAt[what] = now
			out = append(out, c)
		}
	}
	for _, m := range members {
		for _, l := range m.Leases {
			seenLease[l.Serial] = true
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
		seenCold[k] = true
		at, known := g.warmingSeenAt[k]
		if !known {
			g.warmingSeenAt[k], at = now, now
		}
		if now >= at+aspenshed.Nanos(float64(rules.ColdFor)*(1+rules.ClockBound)) { // this clock may run fast
			propose(k, &pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: m.Entry.Id, Start: m.Start}}})
		}
	}
	for s := range g.leaseSeenAt {
		if !seenLease[s] {
			delete(g.leaseSeenAt, s)
			delete(g.proposedAt, s)
		}
	}
	for k := range g.warmingSeenAt {
		if !seenCold[k] {
			delete(g.warmingSeenAt, k)
			delete(g.proposedAt, k)
		}
	}
	return out
}
