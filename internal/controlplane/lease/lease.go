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
	mostAsked = 4   // asks without an answer that are remembered of one member; the oldest goes
	askAgain  = 0.2 // of the duration: between two asks without an answer
	renewAt   = 0.4 // of the duration, from the ask: a new one is asked for then, so that one lost answer does no harm
)

// key names a member's start.
type key struct {
	member string
	start  int64
}

// Holder keeps an instance's leases. A lease counts from when it was asked for, before anyone could have granted it.
type Holder struct {
	instance, boot string
	duration       aspenshed.Nanos
	asked          uint64
	of             map[key]*held
}

type held struct {
	asks   []ask // without an answer, the newest last
	last   aspenshed.Nanos
	serial uint64 // of the lease in force
	share  float64
	from   aspenshed.Nanos // when it was asked for
	until  aspenshed.Nanos
}

type ask struct {
	nonce string
	at    aspenshed.Nanos
}

// NewHolder makes an instance's. Its boot tells its nonces from those before a restart: what was granted to those
// is not used, as nobody knows when they were asked for.
func NewHolder(instance, boot string, duration aspenshed.Nanos) *Holder {
	return &Holder{instance: instance, boot: boot, duration: duration, of: map[key]*held{}}
}

// Step takes what the local replica says of members and returns what to ask for. want is the work a second that
// this instance has for members of a group.
func (h *Holder) Step(now aspenshed.Nanos, members []*pb.Member, want func(group int32) float64) (asks []*pb.Ask) {
	cold := map[key]bool{}
	for _, m := range members {
		if !catalog.Cold(m) {
			continue
		}
		k := key{m.Entry.Id, m.Start}
		cold[k] = true
		x := h.of[k]
		if x == nil {
			x = &held{}
			h.of[k] = x
		}
		for _, l := range m.Leases {
			h.granted(x, l)
		}
		due := x.last == 0 || now >= x.last+aspenshed.Nanos(askAgain*float64(h.duration))
		if renew := now >= x.from+aspenshed.Nanos(renewAt*float64(h.duration)); due && (x.serial == 0 || renew) {
			h.asked++
			a := ask{fmt.Sprintf("%s/%s/%d", h.instance, h.boot, h.asked), now}
			if x.last = now; len(x.asks) >= mostAsked {
				x.asks = slices.Delete(x.asks, 0, 1)
			}
			x.asks = append(x.asks, a)
			asks = append(asks, &pb.Ask{Member: m.Entry.Id, Start: m.Start, Instance: h.instance, Nonce: a.nonce,
				Want: want(m.Entry.Group), Duration: int64(h.duration)})
		}
	}
	for k := range h.of { // warm, gone or started again: nothing is held of that start
		if !cold[k] {
			delete(h.of, k)
		}
	}
	return asks
}

func (h *Holder) granted(x *held, l *pb.Lease) {
	if l.Instance != h.instance || l.Serial <= x.serial {
		return
	}
	i := slices.IndexFunc(x.asks, func(a ask) bool { return a.nonce == l.Nonce })
	if i < 0 {
		return
	}
	x.serial, x.share, x.from, x.until = l.Serial, l.Share, x.asks[i].at, x.asks[i].at+aspenshed.Nanos(l.Duration)
	x.asks = slices.Delete(x.asks, 0, i+1)
}

// Share is the part of a cold member's budget that the instance may use until then; 0: it holds no valid lease, and
// the safe share is all it has. The safe share comes on top of a lease.
func (h *Holder) Share(now aspenshed.Nanos, member string, start int64) (share float64, until aspenshed.Nanos) {
	if x := h.of[key{member, start}]; x != nil && now < x.until {
		return x.share, x.until
	}
	return 0, 0
}

// Grantor watches leases and cold members on every instance; only the leader's word on them is asked for. It counts
// from when its own replica first showed them, which is never before the grant: so a new leader, or one that has
// started again, waits longer, never shorter.
type Grantor struct {
	leases map[uint64]aspenshed.Nanos
	cold   map[key]aspenshed.Nanos
	told   map[any]aspenshed.Nanos // when a command was last proposed: it is not repeated at once
}

const proposeAgain = aspenshed.Nanos(1e9)

// NewGrantor makes one.
func NewGrantor() *Grantor {
	return &Grantor{leases: map[uint64]aspenshed.Nanos{}, cold: map[key]aspenshed.Nanos{}, told: map[any]aspenshed.Nanos{}}
}

// RunsOut is how long a lease of that duration may last at its holder, by this instance's own clock: its holder's
// may run slow by the bound while this one runs fast.
func RunsOut(duration int64, bound float64) aspenshed.Nanos {
	return aspenshed.Nanos(float64(duration) * (1 + bound) / (1 - bound))
}

// Step returns what to propose. Without the lead it only watches.
func (g *Grantor) Step(now aspenshed.Nanos, leads bool, members []*pb.Member, rules *pb.Rules) (out []*pb.Command) {
	seenLease, seenCold := map[uint64]bool{}, map[key]bool{}
	propose := func(what any, c *pb.Command) {
		if at, ok := g.told[what]; leads && (!ok || now >= at+proposeAgain) {
			g.told[what] = now
			out = append(out, c)
		}
	}
	for _, m := range members {
		for _, l := range m.Leases {
			seenLease[l.Serial] = true
			at, known := g.leases[l.Serial]
			if !known {
				g.leases[l.Serial], at = now, now
			}
			if now >= at+RunsOut(l.Duration, rules.ClockBound) {
				propose(l.Serial, &pb.Command{Body: &pb.Command_Release{Release: &pb.Release{Member: m.Entry.Id, Start: m.Start,
					Instance: l.Instance, Serial: l.Serial}}})
			}
		}
		if !catalog.Cold(m) {
			continue
		}
		k := key{m.Entry.Id, m.Start}
		seenCold[k] = true
		at, known := g.cold[k]
		if !known {
			g.cold[k], at = now, now
		}
		if now >= at+aspenshed.Nanos(float64(rules.ColdFor)*(1+rules.ClockBound)) { // this clock may run fast
			propose(k, &pb.Command{Body: &pb.Command_Warm{Warm: &pb.Warm{Member: m.Entry.Id, Start: m.Start}}})
		}
	}
	for s := range g.leases {
		if !seenLease[s] {
			delete(g.leases, s)
			delete(g.told, s)
		}
	}
	for k := range g.cold {
		if !seenCold[k] {
			delete(g.cold, k)
			delete(g.told, k)
		}
	}
	return out
}
