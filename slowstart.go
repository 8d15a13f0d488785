package aspenshed

import "slices"

// This file limits what warming members are sent: slow start, rule 4. Its state is part of member in state.go.

// startWarming takes m as started at that time, as notified or, where the list is late, as its recovery from
// refused connections shows. What is in flight to it may still arrive, and counts.
func (r *Router) startWarming(m *member, at Nanos, source StateCause) {
	if r.settings.UnleasedShare > 0 && at > 0 {
		at, m.slowStart = r.now, SlowStartShare{}
	}
	m.warmingSince, m.slowStartLimit = max(m.warmingSince, at), 0
	m.sentWork = sentWork{window: r.settings.OverloadWindow}
	for _, a := range r.inFlight {
		if a.slowStart = a.member == m && !a.ended; a.slowStart {
			m.sentWork.begin(a.work)
		}
	}
	m.diagnostics.learnedAt, m.diagnostics.source, m.diagnostics.newStart = r.now, source, true
}

// startSource is what starts in a member list are learned from.
func (r *Router) startSource() StateCause {
	if r.settings.UnleasedShare > 0 {
		return StateAgreed
	}
	return StateListed
}

// recordSlowStartSend counts an attempt at a warming member.
func (r *Router) recordSlowStartSend(a *attempt) {
	sent := &a.member.diagnostics.sent
	sent.Attempts++
	sent.Work += a.work
	if a.number > 0 {
		sent.Retries++
	}
	if a.member.slowStartLimit < r.meanWork {
		sent.RandomShare++
	}
}

// setSlowStartShare applies what was agreed on for a start of a member. A share for another start is
// outdated, or arrives before the member list that names it.
func (r *Router) setSlowStartShare(e SlowStartShare) {
	if m := r.members[e.Member]; m != nil && m.StartedAt == e.StartedAt {
		m.slowStart = e
	}
}

func (r *Router) warming(m *member) bool {
	if r.settings.UnleasedShare > 0 { // the end is agreed on; clocks differ, so time counts from the notification
		return m.warmingSince > 0 && !m.slowStart.WarmedUp && r.now < m.warmingSince+r.settings.MaxWarmUpTime
	}
	return m.warmingSince > 0 && r.now < m.warmingSince+r.settings.WarmUpTime+r.settings.WarmUpTime/10
}

// fitsSlowStart tells whether q fits in the slow-start budget or the random share of m.
func (r *Router) fitsSlowStart(q *request, m *member) bool {
	work, sent := r.expectedWork(q), m.sentWork.total(r.now)
	if m.slowStartLimit < r.meanWork {
		return sent < r.meanWork/2 && r.isShort(q) && q.drawnAt == r.now && q.slowStartDraw < r.randomShare(m)
	}
	return sent+work <= m.slowStartLimit+r.roundingOf(m)*work
}

// randomShare is the chance that a short request goes to m, where the budget holds no whole request: saved up, the fractions
// would become one request of every router at once. No router sends more than one within a window.
func (r *Router) randomShare(m *member) float64 {
	return m.slowStartLimit * 1e9 / float64(r.settings.OverloadWindow) / (r.demandOn(m) + 1e-9)
}

// roundingOf is the random fraction of a request by which the budget of m is exceeded here. Budgets hold few requests:
// rounded down by all routers they would leave the member idle, rounded up they would overload it.
func (r *Router) roundingOf(m *member) float64 {
	if r.now >= m.roundingUntil {
		m.rounding, m.roundingUntil = r.random(), r.now+2*r.settings.OverloadWindow
	}
	return m.rounding
}

// beginSlowStart counts an attempt at a warming member.
func (r *Router) beginSlowStart(a *attempt) {
	a.slowStart = true
	a.member.sentWork.begin(a.work)
	r.recordSlowStartSend(a)
}

// endSlowStart counts the end of such an attempt. One without a connection has cost its member no work.
func (r *Router) endSlowStart(a *attempt, outcome Outcome) {
	if !a.slowStart {
		return
	}
	received := a.work
	if outcome == ConnectFailed || outcome == NotSent {
		received = 0
	}
	a.member.sentWork.end(r.now, a.work, received)
	a.member.observeSlowStart(a, outcome)
}

// isShort tells whether q costs at most two average requests: longer ones take no part in the random share of a
// warming member.
func (r *Router) isShort(q *request) bool { return r.expectedWork(q) <= 2*r.meanWork }

// pickWarming returns the warming member that q may use. It is tried first, as the others may be
// overloaded.
func (r *Router) pickWarming(q *request) *member {
	return r.twoChoices(q, slices.DeleteFunc(slices.Clone(q.group.probeOrder), func(m *member) bool {
		return m == q.group.primary || !r.warming(m) || r.ejected(m) || !r.mayAttempt(q, m)
	}))
}

// drawRandomShare draws the number that decides in this Step whether q is part of the random share of a
// warming member, and adds q to the demand on its group.
func (r *Router) drawRandomShare(q *request) {
	q.slowStartDraw, q.drawnAt = r.random(), r.now
	switch {
	case !r.isShort(q):
	case q.class.Consistency >= Linearizable:
		q.group.writeDemand.add(r.expectedWork(q))
	default:
		q.group.readDemand.add(r.expectedWork(q))
	}
}

// demandOn is the work per second that arrives here for members like m: writes for a primary, short reads for
// a replica. The request for which it is asked has been counted.
func (r *Router) demandOn(m *member) float64 {
	if m == m.group.primary {
		return m.group.writeDemand.perSecond()
	}
	return m.group.readDemand.perSecond()
}

// assessWarming sets the budgets of the warming members by the work that warmed-up members of their weight
// do for this router: those of the group, now or before all restarted together, else those of the other
// groups.
func (r *Router) assessWarming(seconds float64) {
	rateSum, groups := 0.0, 1e-9
	for _, g := range r.groupList {
		rate := r.warmWorkRate(g)
		// The primary is the busiest member, and members are alike.
		if p := g.primary; p != nil && p.State == Up && !r.warming(p) {
			rate = max(rate, r.workRate(p)/p.Weight)
			g.warmWorkRate *= 1 - seconds/warmRateDecay // without such a primary there is no newer rate
		}
		if g.warmWorkRate = max(rate, g.warmWorkRate); g.warmWorkRate > 0 {
			rateSum, groups = rateSum+g.warmWorkRate, groups+1
		}
	}
	// A router that has just started knows no work rate of members, only its clients' requests: their
	// work is spread over all members by weight.
	minRate := r.recentRequests / (rateDecay*r.rateCoverage + 1e-9) * r.meanWork / r.totalWeight()
	for _, m := range r.memberList {
		if r.warming(m) {
			r.assessMember(m, WorkRates{Group: m.group.warmWorkRate, Agreed: m.slowStart.WorkRate,
				OtherGroups: otherGroupsRate * rateSum / groups, Requests: minRate})
		}
	}
}

// assessMember sets the budget of a warming member.
func (r *Router) assessMember(m *member, rates WorkRates) {
	share := r.settings.InitialCapacity +
		(1-r.settings.InitialCapacity)*float64(r.now-m.warmingSince)/float64(r.settings.WarmUpTime)
	share = min(max(share, r.settings.InitialCapacity), 1) * m.Weight * r.slowStartShare(m)
	capacity := share * max(rates.Group, rates.Agreed, rates.OtherGroups, rates.Requests)
	m.diagnostics.rates, m.diagnostics.capacity = rates, capacity
	window := float64(r.settings.OverloadWindow) / 1e9
	m.slowStartLimit = slowStartMargin * r.settings.OverloadFactor * capacity * window
}

// slowStartShare is this router's share of a warming member's budget.
func (r *Router) slowStartShare(m *member) float64 {
	switch {
	case r.settings.UnleasedShare == 0:
		return 1 // the rates are this router's own
	case r.now < m.slowStart.Until:
		return r.settings.UnleasedShare + m.slowStart.LeasedShare
	}
	return r.settings.UnleasedShare
}

// warmWorkRate is the work per second and weight that a group's warmed-up members do, as a moving mean; 0: it
// has none.
func (r *Router) warmWorkRate(g *group) float64 {
	rate, weight := 0.0, 1e-9
	for _, m := range g.probeOrder {
		if m.State == Up && !r.warming(m) {
			rate, weight = rate+r.workRate(m), weight+m.Weight
		}
	}
	return rate / weight
}

// totalWeight is the sum of the weights of all members.
func (r *Router) totalWeight() (sum float64) {
	for _, m := range r.memberList {
		sum += m.Weight
	}
	return max(sum, 0.01)
}

// workRate is the work per second that m does for this router, as a moving mean.
func (r *Router) workRate(m *member) float64 { return m.servedWork / (rateDecay*r.rateCoverage + 1e-9) }
