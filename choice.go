package aspenshed

// This file chooses the member for a request, among those that are fresh enough and that the rules allow.

import (
	"cmp"
	"math"
	"slices"
)

// freshEnough tells whether m is known to have all the data that q requires, if sent now.
func (r *Router) freshEnough(q *request, m *member) bool {
	clockKnown := r.now >= r.clock.doubtUntil
	switch q.class.Consistency {
	case BoundedStaleness:
		return clockKnown && m.position >= r.membersNow()-q.class.MaxStaleness+positionMargin
	case ReadYourWrites:
		return q.minPosition == 0 || clockKnown && m.position >= q.minPosition
	}
	return q.class.Consistency == Eventual
}

// freshUntil is the time up to which m is known to have the data that the bounded read q requires; 0: there is no limit.
func (r *Router) freshUntil(q *request, m *member) Nanos {
	known := m.position - r.clock.lead + q.class.MaxStaleness - positionMargin
	switch {
	case m != q.group.primary:
		return known
	case !r.needsConfirmation(q):
		return 0
	case q.class.Consistency == Linearizable: // positions do not count
		return m.primaryProvenAt + r.confirmationTime(q)
	}
	return max(known, m.primaryProvenAt+r.confirmationTime(q))
}

// cost ranks members: expected load for their weight, slowness, failures and zone.
func (r *Router) cost(m *member, q *request) float64 {
	c := (1 + max(float64(m.inFlight), m.reportedLoad)) / m.Weight * m.slowness /
		math.Pow(1.05-m.failureRate, 2)
	if q.class.Consistency != Eventual { // the less it lags, the sooner it is fresh enough
		c *= 1 + float64(r.lag(m))/float64(r.minStalenessBound)
		if m.lastHeardAt == 0 && r.warming(m) { // its data is seconds old
			c *= 5
		}
	}
	if m.Zone != r.settings.Zone {
		c *= 1 + crossZoneFactor*r.settings.CrossZoneCost
	}
	if slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.member == m }) {
		c *= 4
	}
	return c
}

// twoChoices draws two of the candidates and returns the one with the lower cost.
func (r *Router) twoChoices(q *request, candidates []*member) *member {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	i := int(r.random() * float64(n))
	j := (i + 1 + int(r.random()*float64(max(n-1, 1)))) % n
	a, b := candidates[i], candidates[j]
	ca, cb := r.cost(a, q), r.cost(b, q)
	if cb < costTie*ca || ca >= costTie*cb && a.Zone != r.settings.Zone && b.Zone == r.settings.Zone {
		return b
	}
	return a
}

// longReadCandidates keeps long reads that any member may serve to the half of the replicas that lags
// most, among equals to those listed last. Such reads may stop a replica's log: this way all routers
// leave the others fresh, and overload no single one.
func (r *Router) longReadCandidates(q *request, candidates []*member) []*member {
	// The half is one of all replicas: where most are warming, not all reads go to the one that is not.
	half := max(1, (len(q.group.probeOrder)-1)/2)
	if q.class.Consistency != Eventual ||
		r.typicalLatency[q.Class] < longReadRatio*slices.Min(r.typicalLatency) || len(candidates) <= half {
		return candidates
	}
	candidates = slices.Clone(candidates)
	lag := func(m *member) Nanos { return -m.position / r.minStalenessBound }
	slices.SortStableFunc(candidates, func(a, b *member) int { return cmp.Compare(lag(a), lag(b)) })
	return candidates[len(candidates)-half:]
}

// pickMember returns the member for q; nil: q is queued.
func (r *Router) pickMember(q *request) *member {
	switch {
	case r.now < q.notBefore:
		return nil
	case q.class.Consistency >= Linearizable:
		return r.pickPrimary(q)
	}
	if m := r.pickWarming(q); m != nil {
		return m
	}
	return r.pickForRead(q)
}

// pickPrimary returns the primary for q, which needs it; nil: it is not known, not confirmed or busy.
func (r *Router) pickPrimary(q *request) *member {
	g, p := q.group, q.group.primary
	if g.primaryTrusted && p != nil && float64(p.inFlight) < p.window && r.maySendTo(q, p) && r.confirmPrimary(q, p) {
		return p
	}
	g.primaryWantedAt = r.now
	return nil
}

// pickForRead returns the member for a read that a replica may serve.
func (r *Router) pickForRead(q *request) *member {
	g, p := q.group, q.group.primary
	candidates := r.readCandidates(q)
	fresh := candidates.fresh
	primaryHasCapacity := r.primaryMayTakeRead(q)
	probing := false
	if q.class.Consistency == BoundedStaleness && len(fresh) == 0 && primaryHasCapacity &&
		q.spillDraw < r.spareCapacity(g) {
		if r.confirmPrimary(q, p) {
			return p
		}
		probing = p.probePending
	}
	if q.class.Consistency != Eventual && !probing {
		probing = r.probeForRead(q, len(fresh))
	}
	if connected := slices.DeleteFunc(slices.Clone(fresh), r.connectionCostly); len(connected) > 0 {
		fresh = connected
	}
	if len(fresh) > 0 {
		return r.twoChoices(q, r.longReadCandidates(q, fresh))
	}
	if probing && r.now < q.arrivedAt+q.class.LatencyTarget/8 {
		return nil // a pending probe may show a member that is fresh enough
	}
	g.primaryWantedAt = r.now
	if primaryHasCapacity && q.spillDraw < g.spillChance && r.confirmPrimary(q, p) {
		return p
	}
	// Ejected members are used rather than none.
	if len(candidates.others) == 0 && !candidates.windowFull && q.class.Consistency == Eventual {
		return r.twoChoices(q, candidates.ejected)
	}
	return r.twoChoices(q, candidates.others)
}

// readCandidates are the replicas that may serve a read, by what is known of them.
type readCandidates struct {
	fresh, others, ejected []*member
	windowFull             bool // the window of some healthy one is full
}

func (r *Router) readCandidates(q *request) (c readCandidates) {
	for _, m := range q.group.probeOrder {
		if m == q.group.primary || !r.mayAttempt(q, m) {
			continue
		}
		switch {
		case m.unreachable && !r.ejected(m): // a probe costs less than a read to show that it is back
			r.eject(m, StateConnectionRefused)
		case r.ejected(m) || (m.ejectionTime > 0 && m.inFlight > 0):
			c.ejected = append(c.ejected, m)
		case float64(m.inFlight) >= m.window:
			c.windowFull = true
		case q.class.Consistency == BoundedStaleness && r.lag(m) > q.class.MaxStaleness &&
			r.now < m.lastHeardAt+r.minStalenessBound/4: // it lagged too much a moment ago
		case r.freshEnough(q, m):
			c.fresh = append(c.fresh, m)
		default:
			c.others = append(c.others, m)
		}
	}
	return c
}

// primaryMayTakeRead tells whether the trusted primary has the capacity for a read besides its writes.
func (r *Router) primaryMayTakeRead(q *request) bool {
	p := q.group.primary
	return q.group.primaryTrusted && p != nil && float64(p.inFlight) < p.window/2 && !r.ejected(p) && !r.warming(p) &&
		p.recentLatencyRatio < busyLatencyRatio && r.maySendTo(q, p)
}

// probeForRead probes replicas for a read for which that many are known to be fresh, and tells whether a response is pending.
func (r *Router) probeForRead(q *request, fresh int) (pending bool) {
	maxProbes := 1 - fresh
	// Where probes are cheap, a second fresh replica gives a choice of two.
	if r.probeCredit >= 1 && fresh < 2 && r.settings.ProbeCost < costlyProbe {
		r.probeCredit--
		maxProbes++
	}
	return maxProbes > 0 && r.refreshPositions(q, maxProbes)
}

// probeInterval is the time between probes of m: a quarter of the shortest staleness bound, as given by
// the design; longer for a member that lags far behind, as it can only catch up slowly.
func (r *Router) probeInterval(m *member) Nanos {
	return max(r.minStalenessBound/4, min(r.lag(m)/2, 2000*ms))
}

// refreshPositions probes up to maxProbes replicas for their position, each at most every
// probeInterval, and tells whether a response is pending. twoChoices selects them: hundreds of routers
// must not all probe the same one.
func (r *Router) refreshPositions(q *request, maxProbes int) (pending bool) {
	var candidates []*member
	for _, m := range q.group.probeOrder {
		switch {
		case m.State != Up || m == q.group.primary || r.ejected(m):
		case m.probePending && r.now < m.probedAt+20*ms+2*r.probeLatency:
			pending = true
			maxProbes--
		case r.now >= max(m.lastHeardAt, m.probedAt)+r.probeInterval(m):
			candidates = append(candidates, m)
		}
	}
	limit := maxReadProbes
	if !q.group.primaryTrusted { // no position advances until there is a primary
		limit = 1
	} else if r.settings.ProbeCost >= costlyProbe {
		limit--
	}
	for ; maxProbes > 0 && len(candidates) > 0 && q.probes < limit && r.settings.MayProbe; maxProbes-- {
		m := r.twoChoices(q, candidates)
		candidates = slices.DeleteFunc(candidates, func(x *member) bool { return x == m })
		q.probes++
		r.probe(m)
		pending = true
	}
	return pending
}

// mayAttempt enforces the rules: q is sent to m only if it allows it. Rule 1: nothing is sent after the
// final response. Rule 2: what may have been executed is sent again only as the class's RetrySafety
// allows. Rule 3: nothing is sent to draining or removed members. Rule 4: a warming member gets no more
// than its slow-start budget or random share. Rule 5: the member satisfies the class's Consistency.
func (r *Router) mayAttempt(q *request, m *member) bool {
	return r.maySendTo(q, m) && r.isConsistent(q, m)
}

// maySendTo enforces rules 1 to 4.
func (r *Router) maySendTo(q *request, m *member) bool {
	switch {
	case q.done || r.now >= q.deadline, // rule 1
		m.group != q.group, m.State != Up, // rule 3
		r.settings.MaxAttempts > 0 && len(q.attempts) >= r.settings.MaxAttempts,
		q.inFlight > 0 && (!r.settings.MayHedge || q.class.RetrySafety == Unsafe), // no hedged attempt
		r.warming(m) && !r.fitsSlowStart(q, m):                                    // rule 4
		return false
	}
	if slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.member == m && !a.ended }) {
		return false
	}
	for _, a := range q.maybeExecuted { // rule 2
		if q.class.RetrySafety == Unsafe || q.class.RetrySafety == Deduplicated &&
			(r.now >= a.sentAt+q.class.DedupWindow ||
				q.class.DedupScope == DedupZone && a.member.Zone != m.Zone) {
			return false
		}
	}
	return true
}

// isConsistent enforces rule 5.
func (r *Router) isConsistent(q *request, m *member) bool {
	primary := m == m.group.primary && m.group.primaryTrusted && r.isConfirmed(q, m)
	switch q.class.Consistency {
	case Write, Linearizable:
		return primary
	case BoundedStaleness, ReadYourWrites:
		// Reads that a warming member rejects load it too: it must be known to be fresh enough.
		return primary || r.freshEnough(q, m) || r.settings.MembersCheckStaleness && !r.warming(m)
	}
	return true
}

// MaySend tells whether an attempt that has been chosen may still be sent, as far as is known by now: its member may have said
// meanwhile that it is not the primary. It changes nothing.
func (r *Router) MaySend(id string, number int) bool {
	q := r.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return false
	}
	a := q.attempts[number]
	m := a.member
	if !a.toPrimary || m.primaryDeniedAt <= a.primaryDeniedAt || m.primaryProvenAt >= m.primaryDeniedAt {
		return true
	}
	return r.freshEnough(q, m) && q.class.Consistency < Linearizable
}
