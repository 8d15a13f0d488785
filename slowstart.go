package aspenshed

import (
	"math"
	"slices"
)

// This file limits what warming members are sent: slow start, rule 4. Its state is part of member in state.go.

// isNewStart tells whether a list names another start of m than the one that is known. The wall clock may have been
// stepped back in between: a later start may bear an earlier stamp. A list from the cache may be older than what is known.
func (r *Router) isNewStart(l MemberList, listed Member, m *member) bool {
	return listed.StartedAt > m.StartedAt || listed.StartedAt > 0 && listed.StartedAt != m.StartedAt && !l.Cached
}

// startListed takes m as started, as a list says. Clocks may differ: all that is certain of a start is when it was first
// heard of. Only in the first lists of a router, which also name starts of long ago, the stamp tells its age.
func (r *Router) startListed(m *member, stamp Nanos) {
	if stamp > 0 && r.knowsList {
		r.startWarming(m, r.now, r.startSource())
		return
	}
	r.startWarming(m, min(stamp, r.now), r.startSource())
	m.startStamp = stamp
}

// startWarming takes m as started at that time, as notified or, where the list is late, as its recovery from
// refused connections shows. What is in flight to it may still arrive, and counts.
func (r *Router) startWarming(m *member, at Nanos, source StateCause) {
	if r.settings.UnleasedShare > 0 && at > 0 {
		at, m.slowStart = r.now, SlowStartShare{}
	}
	m.startHeardAt, m.startStamp = r.now, 0
	m.startInferred = source == StateConnectionRefused && (m.startInferred || !r.warming(m))
	m.warmingSince, m.slowStartLimit = max(m.warmingSince, at), 0
	m.sentWork.window = r.settings.OverloadWindow
	m.proven = newMovingRate(r.settings.OverloadFactor * float64(r.settings.OverloadWindow) / 1e9)
	m.proven.coverage = 1
	for _, a := range r.inFlight {
		if a.member == m && !a.ended && !a.slowStart {
			a.slowStart = true
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
	if m.startInferred && r.now >= m.warmingSince+startListedAfter && r.hearsDiscovery() {
		return false // it had not started anew: a list would name that by now
	}
	return m.warmingSince > 0 && r.timeSinceStart(m) < r.settings.WarmUpTime+r.settings.WarmUpTime/10
}

// timeSinceStart is how long ago m started, at least. The age of a start that the stamp of a first list tells goes by the
// members' clock, as far as positions prove it.
func (r *Router) timeSinceStart(m *member) Nanos {
	if m.startStamp == 0 {
		return r.now - m.warmingSince
	}
	return max(r.now-m.startHeardAt, r.now+r.clock.provenLead()-m.startStamp)
}

// hearsDiscovery tells whether changes of the list arrive here.
func (r *Router) hearsDiscovery() bool { return r.nextCallAt == 0 }

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
	unlocked := max(1-m.slowStartLimit/r.meanWork, 1e-3) // fraction of the time in which none counts
	return m.slowStartLimit * 1e9 / float64(r.settings.OverloadWindow) / unlocked / (r.demandOn(m) + 1e-9)
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
		return m.group.writeDemand.perSecond(r.meanWork)
	}
	return m.group.readDemand.perSecond(r.meanWork)
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
	for _, m := range r.memberList {
		if r.warming(m) {
			r.assessMember(m, WorkRates{Group: m.group.warmWorkRate, Agreed: m.slowStart.WorkRate,
				OtherGroups: otherGroupsRate * rateSum / groups, Requests: r.requestRate(m), Proven: m.proven.perSecond()})
		}
	}
}

// assessMember sets the budget of a warming member. The settings give no curve between the start and the end of the
// warm-up, and time alone proves nothing: a member that got little may be as cold as at its start. It has at least the
// initial capacity, and at least that of what it has just served.
func (r *Router) assessMember(m *member, rates WorkRates) {
	warm := m.Weight * r.slowStartShare(m) * max(rates.Group, rates.Agreed, rates.OtherGroups, rates.Requests)
	capacity := max(r.settings.InitialCapacity*warm, rates.Proven)
	m.diagnostics.rates, m.diagnostics.capacity = rates, capacity
	budget := r.settings.OverloadFactor * capacity * float64(r.settings.OverloadWindow) / 1e9
	m.slowStartLimit = max(slowStartMargin*r.plannedShare(m, budget)*budget,
		minSlowStartWork*r.meanWork*r.slowStartShare(m)/float64(max(r.settings.Routers, 1)))
}

// plannedShare is the fraction of a budget that may be planned. Requests differ in their work, and in large fleets chance
// decides how many a member gets: what is planned for the whole fleet, and slowStartDeviations of its standard deviations,
// have to fit in what the rule allows, n + 2√n + 2 requests of mean work, or n + 3√n + 3 of few.
func (r *Router) plannedShare(m *member, budget float64) float64 {
	n := budget / r.meanWork * float64(max(r.settings.Routers, 1)) / r.slowStartShare(m)
	allowed := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		allowed = n + 3*math.Sqrt(n) + 3
	}
	root := (math.Sqrt(slowStartDeviations*slowStartDeviations+4*allowed) - slowStartDeviations) / 2
	return min(root*root/(n+1e-9), 1)
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

// requestRate is the work per second that arrives here, for each weight of all members. It says nothing of what a member can
// do, as clients retry: it counts only for starts that no list names, as refused connections may have another cause.
func (r *Router) requestRate(m *member) float64 {
	if !m.startInferred {
		return 0
	}
	weight := 0.0
	for _, x := range r.memberList {
		weight += x.Weight
	}
	return r.recentRequests / r.observedSpan() * r.meanWork / weight
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

// workRate is the work per second that m does for this router, as a moving mean.
func (r *Router) workRate(m *member) float64 {
	return m.servedWork / r.observedSpan()
}
