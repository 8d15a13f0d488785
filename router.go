package aspenshed

// This file decides; its interface is api.go. Read it from Step: events update what is known, then sweep does
// what time asks for and place sends. Section heads name a question's owner; mayAttempt keeps the rules.

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

const (
	ms = Nanos(1e6)

	probeTimeout        = 200 * ms  // DESIGN: a member silent to a probe this long is passed over in a round
	minRoundInterval    = 250 * ms  // between rounds without a primary; DESIGN leaves the timer open
	roundFleetSize      = 40.0      // more routers than that begin rounds as often as that many
	smallFleet          = 8         // routers for which the constants here were found
	callSpacing         = 100 * ms  // between calls of a fleet, if time allows: discovery bore 16 a second of 60
	changeNotifiedAfter = 6000 * ms // protocol: after it, what discovery has and can be asked counts as known
	callDuration        = 2500 * ms // protocol: a call fails that waited for 2 s; and 0.5 s to connect
	maxCallFailureTime  = 3000 * ms // the longest that a call takes to fail: silence shows after that
	minCallRetry        = 250 * ms  // before a call that costs discovery nothing, as it never came there
	queueRetryInterval  = 10 * ms   // how often a held request is tried again
	idleStepInterval    = 1000 * ms // an idle router wakes only this often
	positionMargin      = 1 * ms    // taken off every known position: the wire rounds to milliseconds
	slowLatencyRatio    = 0.35      // of an aim: answers slower than this on average shrink a member's window
	overloadShrink      = 0.6       // the same when turned away or timed out: the queue there is far too long
	lossThreshold       = 0.08      // of attempts timed out at members that answer others: answers are being lost
	slowStartMargin     = 0.7       // what is used of the multiple that topples a cold member; routers differ
	boostStep           = 1.2       // by how much more a cold member gets for each quick answer
	maxBoost            = 1.6       // at most: beyond what a fleet measures, whose answers come late
	otherGroupsRate     = 0.8       // of other groups' warm rate: what a group without one of its own goes by
	warmRateDecay       = 20.0      // s: how long a group's warm rate is remembered once its members are all cold
	rateDecay           = 10.0      // s: time constant of moving rates
	longReadRatio       = 3.0       // times the shortest class's answer time: a read long enough to hold up a log
	spillLatencyRatio   = 0.5       // of an aim: answers of the primary slower than this turn reads away from it
	initialSpillChance  = 0.5       // chance to spill before anything is known of a primary
	spillStep           = 0.03      // step of the chance to spill; it falls three times as fast
	windowShrink        = 0.85      // window factor at a slow or full answer; gentle, as one slow answer is chance
	initialWindow       = 8.0       // attempts in flight a member gets before anything is known of it
	newPrimaryWindow    = 4.0       // the same for a newly found primary: held writes are let go in steps
	minPrimaryWindow    = 4.0       // a slow primary keeps this: one attempt at a time leaves its cores idle
	silenceRatio        = 4.0       // typical answer times without any reply that make a member suspect
	minEjection         = 500 * ms  // a suspect is left alone this long, doubling up to maxBan
	maxEjection         = 4000 * ms
	retriesPerRequest   = 0.15 // further attempts earned by each request; bounds load added in trouble
	maxRetryBudget      = 20.0 // further attempts that may be saved up
	extraProbeShare     = 0.01 // share of the result that probes for a second fresh replica may cost
	costlyProbe         = 0.04 // points for a probe a request from which the primary's spare room comes first
	spareLatencyRatio   = 0.15 // answer time over the aim of a primary up to which it has room for all those reads
	busyLatencyRatio    = 0.35 // and for none
	maxReadProbes       = 3    // probes that one read may cause
	costTie             = 0.85 // costs closer than this count as equal: the zone, then chance decides
	crossZoneFactor     = 10.0 // costs of a member in another zone, for each point that all crossing would cost
	slowConnectRatio    = 0.8  // typical answer times that a new connection adds from which free ones are preferred
	idleLimitDecay      = 30.0 // s: time constant in which a limit on idle connections is forgotten
	quickLatencyRatio   = 0.4  // mean answer time over the aim at which a group still is taken as quick
	busyRequestRate     = 10.0 // requests a second here from which windows bind as well
	minAdmitChance      = 0.05 // chance of a read to be taken on however full the group: somebody must look
	latencyRatioDecay   = 12.0 // s: a strain is forgotten so slowly; quiet routers hear little
	fullWeightGap       = 5.0  // s between answers of a member from which one alone tells its pace
	learningRate        = 0.1  // weight of a new observation in moving averages
	queueWaitCost       = 0.3  // of the worth: the price of an answer after half the time without a send
)

// New makes a router. Settings it cannot work with are an error.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{settings: s, rngState: seed*2 + 1, members: map[string]*member{}, groups: map[int]*group{},
		requests: map[string]*request{}, minStalenessBound: 400 * ms, retryBudget: 2, idleDropEvidence: -0.5,
		firstTimeouts: make([]firstTimeout, len(s.Classes)), sampleCount: make([]float64, len(s.Classes))}
	r.settings.MinStepInterval, r.settings.IdleTimeout = max(r.settings.MinStepInterval, ms), cmp.Or(s.IdleTimeout, 3600*1000*ms)
	r.maxSafeIdle = r.settings.IdleTimeout
	for i, c := range s.Classes {
		if c.RetrySafety < Safe || c.RetrySafety > Unsafe || c.Consistency < Eventual || c.Consistency > Write {
			return nil, errors.New("aspenshed: class " + c.Name + ": unknown effect or need")
		}
		if c.Consistency == BoundedStaleness {
			r.minStalenessBound = min(r.minStalenessBound, c.MaxStaleness)
		}
		r.typicalLatency, r.sampleCount[i] = append(r.typicalLatency, float64(c.LatencyTarget)/4), 1/learningRate // one quick answer is not typical
	}
	if len(s.Classes) == 0 {
		return nil, errors.New("aspenshed: no classes")
	}
	r.meanWork = r.typicalLatency[0] / 1e9
	return r, nil
}

// Step tells the router what has happened and returns what it wants done, in order.
func (r *Router) Step(now Nanos, events []Event) []Action {
	r.actions = nil
	r.now = max(now, r.now)
	if !r.started {
		r.started = true
		r.nextCallAt = r.callSlot(r.settings.DrainGrace * 3 / 4) // what an old list lacks may count as known
		for _, u := range r.settings.UnknownKeys {
			r.emit(LogMessage{"setting not understood: " + u})
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MemberList:
			r.updateMembers(e)
		case DiscoveryFailed:
			r.callFailed(e)
		case Request:
			r.accept(e)
		case AttemptResult:
			r.attemptEnded(e)
		case RequestWithdrawn:
			r.endRequest(r.requests[e.ID])
		case ProbeResult:
			r.probeEnded(e)
		case SlowStartShare:
			r.setSlowStartShare(e)
		case TimerFired: // maybe a little early, as timers are rounded
			if r.timerAt <= r.now+r.settings.MinStepInterval {
				r.timerAt = 0
			}
		}
	}
	r.runDue()
	return r.actions
}

// ---- discovery ----

func (r *Router) updateMembers(e MemberList) {
	if !e.Cached {
		r.nextCallAt, r.retryCycle = 0, 0
	}
	seen := map[string]bool{}
	for _, x := range e.Members {
		seen[x.ID] = true
		m := r.members[x.ID]
		if m == nil {
			if x.State == Removed {
				continue
			}
			g := r.group(x.Group)
			m = &member{Member: x, group: g, slowness: 1, slowStartBoost: 1, slownessAt: r.now, window: initialWindow}
			r.members[x.ID], r.memberList, g.probeOrder = m, append(r.memberList, m), append(g.probeOrder, m)
			r.startWarming(m, x.StartedAt)
		}
		if x.StartedAt > m.StartedAt {
			m.slowness, m.failureRate, m.ejectedUntil, m.ejectionTime, m.unreachable = 1, 0, 0, 0, false
			r.startWarming(m, x.StartedAt)
		}
		was := m.Primary
		m.Member = x
		m.Weight = max(x.Weight, 0.01)
		m.group.primaryTrusted = m.group.primaryTrusted && (x.State == Up || m != m.group.primary)
		// The list's word on roles is old: it only says whom to ask first.
		if r.settings.ListHasRoles && x.Primary && (!was || m.group.primary == nil) && m.group.primary != m {
			m.group.moveToFront(m)
			if m.group.primary == nil && m.State == Up {
				// Nothing better is known. A write at the wrong one is turned away untouched, and costs less
				// than the questions of a whole fleet that has just started.
				m.group.primary, m.group.primaryTrusted = m, true
				m.window = r.windowShare(newPrimaryWindow)
			} else if !m.group.primaryTrusted {
				m.group.inRound, m.group.nextRoundAt = false, 0
			}
		}
	}
	for _, m := range r.memberList {
		if e.Complete && !seen[m.ID] && m.State != Removed && !(r.settings.RemovalIsAdvisory && m.State == Up) {
			m.State, m.group.primaryTrusted = Removed, m.group.primaryTrusted && m.group.primary != m
		}
	}
	r.dropRemoved()
}

// callFailed plans the next call to discovery after one that failed or a watch that ended. However it failed,
// a change counts as known knownAfter later and binds DrainGrace after that: the next call is over by then.
func (r *Router) callFailed(e DiscoveryFailed) {
	switch {
	case e.Unreachable:
		r.nextCallAt = r.now + Nanos(float64(minCallRetry)*(1+2*r.random()))
	case r.nextCallAt == 0: // a watch ended, as it may for a whole fleet at once
		r.nextCallAt = r.callSlot(cmp.Or(e.LastHeard, r.now) + r.maxCallInterval() - r.now)
	default:
		r.nextCallAt = r.retryCallAt(cmp.Or(e.LastHeard, r.lastCallAt) + r.maxCallInterval())
	}
}

// maxCallInterval is the time from a call, or from a watch's last line, within which the next call has to begin.
func (r *Router) maxCallInterval() Nanos {
	return max(min(changeNotifiedAfter, r.settings.NotifiedAfter)+r.settings.DrainGrace-callDuration, minCallRetry)
}

// retryCallAt is when this router's slot comes in a cycle that the fleet shares, as all clocks agree: few calls,
// evenly spread, whenever each failed. If that is too late it calls sooner, so as to fail before its slot.
func (r *Router) retryCallAt(latest Nanos) Nanos {
	spaced := float64(callSpacing) * float64(r.settings.Routers)
	r.retryCycle = max(2*r.retryCycle, minCallRetry, Nanos(min(spaced, float64(changeNotifiedAfter))))
	r.retryCycle = min(r.retryCycle, r.maxCallInterval())
	slot := Nanos(float64(r.settings.Rank) / float64(max(r.settings.Routers, 1)) * float64(r.retryCycle))
	earliest := r.now + minCallRetry/2
	at := earliest + ((slot-earliest)%r.retryCycle+r.retryCycle)%r.retryCycle
	if at > latest {
		at -= maxCallFailureTime + minCallRetry
	}
	return min(max(at, earliest), max(latest, r.now)) // one that is late already is made at once
}

// callSlot is when this router calls, among all that begin to call now; most ends the last one's callSlot.
func (r *Router) callSlot(most Nanos) Nanos {
	slot := math.Mod((float64(r.settings.Rank)+r.random())/float64(max(r.settings.Routers, 1)), 1)
	return r.now + Nanos(math.Abs(slot)*min(float64(callSpacing)*r.routersAboveSmallFleet(), float64(max(most, 0))))
}

// ---- finding the primary ----

// runRound asks the members in list order, one at a time, while no primary is trusted.
func (r *Router) runRound(g *group) {
	if g.primaryTrusted || r.now > g.primaryWantedAt+r.roundInterval() {
		g.inRound = false
		return
	}
	if i := slices.IndexFunc(g.probeOrder, isUp); !r.settings.MayProbe && i >= 0 { // the writes themselves go round
		if r.now >= g.nextRoundAt {
			m := g.probeOrder[i]
			g.probeOrder = append(slices.Delete(g.probeOrder, i, i+1), m)
			g.primary, g.primaryTrusted, g.nextRoundAt = m, true, r.now+minRoundInterval/10
		}
		return
	}
	if !g.inRound {
		if r.now >= g.nextRoundAt {
			g.inRound, g.probeIndex = true, -1
			g.nextRoundAt = r.now + Nanos(float64(r.roundInterval())*(0.5+r.random()))
			r.probeNext(g)
		}
	} else if r.now >= g.roundProbedAt+probeTimeout {
		r.probeNext(g)
	}
	r.scheduleStep(max(g.nextRoundAt, g.roundProbedAt+probeTimeout))
}

// distrustPrimary ends the trust in m as a primary and has a round begin; rounds go on while a request wants one.
func (r *Router) distrustPrimary(m *member) {
	if g := m.group; m == g.primary {
		g.primaryTrusted, g.primaryWantedAt = false, r.now
	}
}

func (r *Router) probeNext(g *group) {
	for g.probeIndex++; g.probeIndex < len(g.probeOrder); g.probeIndex++ {
		// One that refused connections is asked seldom, but asked: nothing else may show that it is back.
		if m := g.probeOrder[g.probeIndex]; m.State == Up && (!m.unreachable || r.now > max(m.unreachableAt, m.probedAt)+maxEjection) {
			g.roundProbedAt = r.now
			r.probe(m)
			return
		}
	}
	g.inRound = false
}

// updateRole takes word of a member's updateRole, dated at. Newer word beats older.
func (r *Router) updateRole(m *member, primary bool, at Nanos) {
	g := m.group
	if at < m.roleSeenAt && primary == m.claimsPrimary { // an old report that only repeats a newer answer
		at = m.roleSeenAt
	}
	if at < m.roleSeenAt || (primary && at <= g.primaryDeniedAt && m == g.primary && !g.primaryTrusted) {
		return
	}
	m.claimsPrimary, m.roleSeenAt = primary, at
	if !primary {
		if g.primary == m {
			g.primaryDeniedAt, g.primaryTrusted = at, false
		}
		return
	}
	p := g.primary
	if m.State != Up || p != nil && p != m && p.claimsPrimary && at <= p.roleSeenAt {
		return
	}
	if p != m {
		if p != nil {
			r.emit(CloseIdleConnections{p.ID})
		}
		g.primary = m
		// Of its cold budget nothing: what all routers may send to a replica would now come at once.
		m.window, m.slowStartBudget = r.windowShare(newPrimaryWindow), 0
	}
	g.moveToFront(m)
	g.primaryTrusted, g.inRound, g.nextRoundAt = true, false, 0
}

func (r *Router) probe(m *member) {
	if m.State != Up || m.probePending && r.now < m.probedAt+2*probeTimeout {
		return
	}
	m.probePending, m.probedAt = true, r.now
	r.emit(Probe{m.ID})
}

func (r *Router) probeEnded(e ProbeResult) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	m.probePending = false
	r.probeLatency += Nanos(learningRate * float64(e.Duration-r.probeLatency))
	switch {
	case m.connectionLosses == 1 && e.Outcome == ConnectionLost: // the probe was cut too: still no word from the member
		m.connectionLosses, m.group.roundProbedAt = 2, r.now
		r.probe(m)
		return
	case m.connectionLosses > 0 && e.Outcome != Served:
		r.eject(m)
	}
	m.connectionLosses = 0
	if e.Outcome == Served {
		if m.unreachable { // there again
			m.unreachable, m.ejectionTime, m.ejectedUntil, m.reachableAt = false, 0, 0, r.now
			r.startWarming(m, r.now)
		}
		r.applyReport(m, e.Report)
		if m.ejectionTime <= r.firstEjection() { // the first silence may be chance: then a sign of life counts
			m.lastResponseAt = r.now
		}
	}
	g := m.group
	if g.inRound && !g.primaryTrusted && g.probeIndex >= 0 && g.probeIndex < len(g.probeOrder) && g.probeOrder[g.probeIndex] == m {
		r.probeNext(g)
	}
}

// ---- position and freshness ----

// freshEnough tells whether m is known to hold all that q needs, if sent now.
func (r *Router) freshEnough(q *request, m *member) bool {
	switch q.class.Consistency {
	case BoundedStaleness:
		return m.position >= r.now-q.class.MaxStaleness+positionMargin
	case ReadYourWrites:
		return q.minPosition == 0 || m.position >= q.minPosition
	}
	return q.class.Consistency == Eventual
}

// ---- member health ----

// eject takes a member out of the draw for a while. At its end single reads try it again.
func (r *Router) eject(m *member) {
	if r.ejected(m) {
		return
	}
	first := r.firstEjection()
	m.ejectionTime = min(max(2*m.ejectionTime, first), max(maxEjection, 4*first))
	m.ejectedUntil = r.now + Nanos(float64(m.ejectionTime)*(0.5+r.random())) // routers must not come all at once
	if r.distrustPrimary(m); m.group.primary != m && r.settings.MayProbe {
		r.probe(m)
	}
}

// connectionLost takes note of a cut connection: maybe the network's doing, and it tells nothing of queues. A member
// that dies answers no probe.
func (r *Router) connectionLost(m *member) {
	if m.connectionLosses = 1; r.settings.MayProbe {
		r.probe(m)
	} else {
		r.eject(m)
	}
}

func (r *Router) observeResponse(m *member, took float64, c int) {
	m.lastResponseAt, m.ejectionTime, m.ejectedUntil, m.connectionLosses = r.now, 0, 0, 0
	r.sampleCount[c] = min(r.sampleCount[c]+1, 2/learningRate)
	r.typicalLatency[c] += (took - r.typicalLatency[c]) / r.sampleCount[c]
	m.recentLatencyRatio += r.sampleWeight(m) * (took/float64(r.settings.Classes[c].LatencyTarget) - m.recentLatencyRatio)
	r.observeSlowness(m, took/r.typicalLatency[c])
	m.failureRate -= learningRate * m.failureRate
	if g := m.group; m == g.primary { // sparing the primary: reads join its own work only while that stays quick
		if g.spillChance = min(1, g.spillChance+spillStep); took >= spillLatencyRatio*float64(r.settings.Classes[c].LatencyTarget) {
			g.spillChance = max(spillStep, (g.spillChance-spillStep)*(1-3*spillStep))
		}
	}
	r.lossRate -= learningRate / 2 * r.lossRate
	m.latencyRatio += learningRate * (took/float64(r.settings.Classes[c].LatencyTarget) - m.latencyRatio)
	if m.slowStartBoost = min(m.slowStartBoost*boostStep, maxBoost); m.recentLatencyRatio > spillLatencyRatio {
		m.slowStartBoost = 1
	}
	r.observeReplicaLatency(m, took/float64(r.settings.Classes[c].LatencyTarget))
	switch {
	case m.latencyRatio > slowLatencyRatio:
		r.shrinkWindow(m, windowShrink)
	case float64(m.inFlight+1) < m.window/2: // not tried: nothing learnt
	default:
		m.window += max(1/m.window, 2/initialWindow)
	}
}

// sampleWeight is that of a new observation of m. Where answers are seldom each counts for more: what a fleet knows
// together, each of its routers else learns too late.
func (r *Router) sampleWeight(m *member) float64 {
	return min(max(learningRate, float64(r.now-m.slownessAt)/1e9/fullWeightGap), 0.5)
}

// observeSlowness learns how slow m is.
func (r *Router) observeSlowness(m *member, slow float64) {
	m.slowness += r.sampleWeight(m) * (min(max(slow, 0.1), 10) - m.slowness)
	m.slownessAt = r.now
}

// observeOverload takes an attempt that m turned away or left open as one that would have come later still: by its
// answers alone a primary that gives none would seem as quick as it was.
func (r *Router) observeOverload(m *member, took float64) {
	m.recentLatencyRatio, m.slowStartBoost = m.recentLatencyRatio+r.sampleWeight(m)*(min(took, 2)-m.recentLatencyRatio), 1
}

// spareCapacity is the chance of a bounded read to go to the primary before a replica is asked how far it is: where
// probes are dear, as far as the primary is quick.
func (r *Router) spareCapacity(g *group) float64 {
	if r.settings.ProbeCost < costlyProbe {
		return 0
	}
	return (busyLatencyRatio - g.primary.recentLatencyRatio) / (busyLatencyRatio - spareLatencyRatio)
}

func (r *Router) shrinkWindow(m *member, by float64) {
	if r.now < m.windowShrunkAt+Nanos(r.typicalLatency[0]) {
		return
	}
	if m.windowShrunkAt, m.window = r.now, max(1, m.window*by); m == m.group.primary { // its writes have nowhere else to go
		m.window = max(m.window, r.windowShare(minPrimaryWindow))
	}
}

// ---- member choice ----

// cost compares members: expected crowding for their size, slowness, failures and the zone.
func (r *Router) cost(m *member, q *request) float64 {
	c := (1 + max(float64(m.inFlight), m.reportedLoad)) / m.Weight * m.slowness / math.Pow(1.05-m.failureRate, 2)
	if q.class.Consistency != Eventual { // the nearer to the primary's data, the sooner fresh
		c *= 1 + float64(m.lastHeardAt-m.position)/float64(r.minStalenessBound)
		if m.lastHeardAt == 0 && r.warming(m) { // a copy that is seconds old
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

// twoChoices draws two of the candidates, by size, and takes the one with the lower cost.
func (r *Router) twoChoices(q *request, from []*member) *member {
	n := len(from)
	if n == 0 {
		return nil
	}
	i := int(r.random() * float64(n))
	j := (i + 1 + int(r.random()*float64(max(n-1, 1)))) % n
	a, b := from[i], from[j]
	ca, cb := r.cost(a, q), r.cost(b, q)
	if cb < costTie*ca || ca >= costTie*cb && a.Zone != r.settings.Zone && b.Zone == r.settings.Zone {
		return b
	}
	return a
}

// longReadCandidates keeps long reads that any member may answer to the half of the replicas furthest behind, the later
// listed among equals: they may stop its log, so all routers leave the others fresh, and crowd no single one.
func (r *Router) longReadCandidates(q *request, from []*member) []*member {
	few := max(1, (len(q.group.probeOrder)-1)/2) // of all: where most are cold, not all on the one that is warm
	if q.class.Consistency != Eventual || r.typicalLatency[q.Class] < longReadRatio*slices.Min(r.typicalLatency) || len(from) <= few {
		return from
	}
	from = slices.Clone(from)
	age := func(m *member) Nanos { return -m.position / r.minStalenessBound }
	slices.SortStableFunc(from, func(a, b *member) int { return cmp.Compare(age(a), age(b)) })
	return from[len(from)-few:]
}

// pickMember names the member for q, or nil: then it is held.
func (r *Router) pickMember(q *request) *member {
	g, p := q.group, q.group.primary
	if r.now < q.notBefore {
		return nil
	}
	if q.class.Consistency >= Linearizable {
		if g.primaryTrusted && p != nil && float64(p.inFlight) < p.window && r.mayAttempt(q, p) {
			return p
		}
		g.primaryWantedAt = r.now
		return nil
	}
	if m := r.pickWarming(q); m != nil {
		return m
	}
	var known, other, suspects []*member
	var full, asked bool
	for _, m := range g.probeOrder {
		if m == p || !r.mayAttempt(q, m) {
			continue
		}
		switch {
		case m.unreachable && !r.ejected(m): // a probe shows cheaper than a read that it is back
			r.eject(m)
		case r.ejected(m) || (m.ejectionTime > 0 && m.inFlight > 0):
			suspects = append(suspects, m)
		case float64(m.inFlight) >= m.window: // full for now, but well
			full = true
		case q.class.Consistency == BoundedStaleness && m.lastHeardAt-m.position > q.class.MaxStaleness && r.now < m.lastHeardAt+r.minStalenessBound/4: // behind
		case r.freshEnough(q, m):
			known = append(known, m)
		default:
			other = append(other, m)
		}
	}
	spare := g.primaryTrusted && p != nil && float64(p.inFlight) < p.window/2 && !r.ejected(p) && !r.warming(p) &&
		p.recentLatencyRatio < busyLatencyRatio && r.mayAttempt(q, p)
	if q.class.Consistency == BoundedStaleness && len(known) == 0 && spare && q.spillDraw < r.spareCapacity(g) {
		return p
	} else if q.class.Consistency != Eventual {
		most := 1 - len(known)
		if r.probeCredit >= 1 && len(known) < 2 && r.settings.ProbeCost < costlyProbe { // a choice of two, if not dear
			r.probeCredit--
			most++
		}
		asked = most > 0 && r.refreshPositions(q, most)
	}
	if linked := slices.DeleteFunc(slices.Clone(known), r.connectionCostly); len(linked) > 0 {
		known = linked
	}
	if len(known) > 0 {
		return r.twoChoices(q, r.longReadCandidates(q, known))
	}
	if asked && r.now < q.arrivedAt+q.class.LatencyTarget/8 {
		return nil // an answer is on its way that may show a fresh replica
	}
	g.primaryWantedAt = r.now
	if spare && q.spillDraw < g.spillChance {
		return p
	}
	if len(other) == 0 && !full && q.class.Consistency == Eventual { // never all members out at once
		other = suspects
	}
	return r.twoChoices(q, other)
}

// pickWarming names the cold member that a read gets as it comes: the warm ones may be swamped.
func (r *Router) pickWarming(q *request) *member {
	return r.twoChoices(q, slices.DeleteFunc(slices.Clone(q.group.probeOrder), func(m *member) bool {
		return m == q.group.primary || !r.warming(m) || r.ejected(m) || !r.mayAttempt(q, m)
	}))
}

// probeInterval is the time between probes of m: DESIGN's quarter of the shortest bound, longer for a member far
// behind, as it can only catch up slowly.
func (r *Router) probeInterval(m *member) Nanos {
	return max(r.minStalenessBound/4, min((m.lastHeardAt-m.position)/2, 2000*ms))
}

// refreshPositions has up to most replicas asked for their position, each at most every askAgain, and tells
// whether an answer is on its way. The two-choice draw names whom: hundreds of routers must not all ask one.
func (r *Router) refreshPositions(q *request, most int) (waiting bool) {
	var from []*member
	for _, m := range q.group.probeOrder {
		switch {
		case m.State != Up || m == q.group.primary || r.ejected(m):
		case m.probePending && r.now < m.probedAt+20*ms+2*r.probeLatency:
			waiting = true
			most--
		case r.now >= max(m.lastHeardAt, m.probedAt)+r.probeInterval(m):
			from = append(from, m)
		}
	}
	asks := maxReadProbes
	if !q.group.primaryTrusted { // all positions stand still until there is a primary
		asks = 1
	} else if r.settings.ProbeCost >= costlyProbe {
		asks--
	}
	for ; most > 0 && len(from) > 0 && q.probes < asks && r.settings.MayProbe; most-- {
		m := r.twoChoices(q, from)
		from = slices.DeleteFunc(from, func(x *member) bool { return x == m })
		q.probes++
		r.probe(m)
		waiting = true
	}
	return waiting
}

// ---- the guard ----

// mayAttempt is the one place that keeps the rules: no send of q to m happens without it.
func (r *Router) mayAttempt(q *request, m *member) bool {
	switch {
	case q.done || r.now >= q.deadline, // rule 1: nothing after the final answer
		m.group != q.group, m.State != Up, // the group; rule 3: drains and the gone
		r.settings.MaxAttempts > 0 && len(q.attempts) >= r.settings.MaxAttempts,
		q.inFlight > 0 && (!r.settings.MayHedge || q.class.RetrySafety == Unsafe), // no second copy
		r.warming(m) && !r.fitsSlowStart(q, m):                                    // rule 4
		return false
	}
	if slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.member == m && !a.ended }) {
		return false
	}
	for _, a := range q.maybeExecuted { // rule 2
		if q.class.RetrySafety == Unsafe || q.class.RetrySafety == Deduplicated && (r.now >= a.sentAt+q.class.DedupWindow ||
			q.class.DedupScope == DedupZone && a.member.Zone != m.Zone) {
			return false
		}
	}
	primary := m == m.group.primary && m.group.primaryTrusted
	switch q.class.Consistency { // rule 5
	case Write, Linearizable:
		return primary
	case BoundedStaleness, ReadYourWrites: // what a cold member turns away pushes it over too: it must be known as fresh
		return primary || r.freshEnough(q, m) || r.settings.MembersCheckStaleness && !r.warming(m)
	}
	return true
}

// ---- cold members ----

// refillSlowStart gives cold members their part of what warm members of their size answer for this router: those of the
// group, now or before all restarted together, else those of the other groups.
func (r *Router) refillSlowStart(dt float64) {
	common, known := 0.0, 1e-9
	for _, g := range r.groupList {
		w := r.warmWorkRate(g)
		if p := g.primary; p != nil && p.State == Up && !r.warming(p) { // the busiest, and members are alike
			w = max(w, r.workRate(p)/p.Weight)
			g.warmWorkRate *= 1 - dt/warmRateDecay // without one there is nothing newer to go by
		}
		if g.warmWorkRate = max(w, g.warmWorkRate); g.warmWorkRate > 0 {
			common, known = common+g.warmWorkRate, known+1
		}
	}
	// Who has just started has no warm members to go by, but clients: their work, spread over all by size.
	least := r.recentRequests / (rateDecay*r.rateCoverage + 1e-9) * r.meanWork / r.totalWeight()
	for _, m := range r.memberList {
		if r.warming(m) {
			part := r.settings.InitialCapacity + (1-r.settings.InitialCapacity)*float64(r.now-m.warmingSince)/float64(r.settings.WarmUpTime)
			part = min(max(part, r.settings.InitialCapacity), 1) * m.Weight * r.slowStartShare(m)
			part *= slowStartMargin * r.settings.OverloadFactor * max(m.group.warmWorkRate, m.slowStart.WorkRate, otherGroupsRate*common/known, least)
			if most := part * float64(r.settings.OverloadWindow) / 1e9; most >= r.meanWork { // enough for whole requests
				m.slowStartBudget, m.randomShare = min(m.slowStartBudget+dt*part, most), 0
			} else { // saved up, parts of one would be one of every router at once: a chance at each draw
				m.slowStartBudget, m.randomShare = 0, part/r.demandOn(m)
			}
		}
	}
}

// ---- admission, attempts, refusals ----

func (r *Router) accept(e Request) {
	if e.Class < 0 || e.Class >= len(r.settings.Classes) || r.requests[e.ID] != nil {
		r.emit(Refuse{ID: e.ID})
		return
	}
	c, g := &r.settings.Classes[e.Class], r.group(e.Group)
	q := &request{Request: e, class: c, group: g, spillDraw: r.random(), arrivedAt: r.now,
		deadline: r.now + e.Remaining, targetAt: r.now + c.LatencyTarget}
	r.recentRequests++
	r.meanWork += learningRate / 2 * (r.expectedWork(q) - r.meanWork)
	r.drawRandomShare(q)
	r.probeCredit = min(r.probeCredit+extraProbeShare/max(r.settings.ProbeCost, 1e-3), 3)
	r.retryBudget = min(maxRetryBudget, 2+retriesPerRequest*r.recentRequests, r.retryBudget+retriesPerRequest) // quiet routers must save up little
	if q.minPosition = g.sessionCommits[e.Session]; q.minPosition == 0 {
		q.minPosition = g.commitFloor
	}
	if e.SinceCommit > 0 {
		q.minPosition = r.now - e.SinceCommit + positionMargin
	}
	// First tries have the same time left, later ones less: the most frequent value is the first's.
	u := &r.firstTimeouts[e.Class]
	if d := e.Remaining - u.remaining; max(d, -d) < u.remaining/20 {
		u.confidence = min(u.confidence+1, 20)
	} else if u.confidence -= 0.5; u.confidence < 0 {
		*u = firstTimeout{e.Remaining, 1}
	} else if u.confidence >= 3 {
		q.targetAt -= max(c.ClientTimeout-e.Remaining, 0)
	}
	r.requests[e.ID] = q
	if c.LateValue == 0 && r.now >= q.targetAt-c.LatencyTarget/8 || r.pickWarming(q) == nil && r.random() >= r.admitChance(q) {
		r.refuseOrFail(q)
		return
	}
	r.dispatch(q)
}

// admitChance is the chance of a request to be taken on. Among hundreds of quiet routers no window binds: each must
// send less by itself once its own answers say that the queues outlast the aims. The third power keeps those
// near the aim whatever the excess: at n times the capacity they settle at the cube root of n.
func (r *Router) admitChance(q *request) float64 {
	strain := (q.group.latencyRatio + r.latencyRatio) / 2
	if q.class.Consistency >= Linearizable && q.group.primary != nil {
		strain = min(q.group.primary.latencyRatio, q.group.primary.recentLatencyRatio)
	}
	quick := quickLatencyRatio + 0.1*min(1, r.recentRequests/rateDecay/busyRequestRate) // busy routers have their windows
	return max(minAdmitChance, math.Pow(quick/max(strain, quick), 3))
}

// dispatch sends q or holds it.
func (r *Router) dispatch(q *request) {
	if m := r.pickMember(q); m != nil {
		r.send(q, m)
	} else if !q.queued && q.inFlight == 0 {
		q.queued, r.queue = true, append(r.queue, q)
	}
}

func (r *Router) send(q *request, m *member) {
	a := &attempt{request: q, member: m, number: len(q.attempts), sentAt: r.now, work: r.expectedWork(q), connectionIdle: r.takeConnection(m)}
	q.attempts, q.maybeExecuted = append(q.attempts, a), append(q.maybeExecuted, a)
	q.inFlight, m.inFlight = q.inFlight+1, m.inFlight+1
	if r.warming(m) && m.randomShare == 0 {
		m.slowStartBudget -= a.work
	}
	r.inFlight = append(r.inFlight, a)
	x := Send{ID: q.ID, Member: m.ID, Attempt: a.number} // rules 5 and 2 bind when it leaves
	if q.class.Consistency == BoundedStaleness && m != q.group.primary && !r.settings.MembersCheckStaleness {
		x.SendBy = m.position + q.class.MaxStaleness - positionMargin
	}
	if q.class.RetrySafety == Deduplicated && len(q.maybeExecuted) > 1 { // the first is the oldest
		x.SendBy = min(cmp.Or(x.SendBy, math.MaxInt64), q.maybeExecuted[0].sentAt+q.class.DedupWindow-positionMargin)
	}
	r.emit(x)
}

// takeConnection takes a free takeConnection of m and tells how long it lay idle; 0: a new one is needed. One that
// lay idle for longer than they live is left: something on the way drops them unseen.
func (r *Router) takeConnection(m *member) (idle Nanos) {
	n := len(m.idleSince)
	if n == 0 {
		return 0
	}
	if idle = max(r.now-m.idleSince[n-1], 1); idle > r.maxSafeIdle && m.connectTime <= slowConnectRatio*r.typicalLatency[0] {
		m.idleSince = nil
		r.emit(CloseIdleConnections{m.ID})
		return 0
	}
	m.idleSince = m.idleSince[:n-1]
	return idle
}

// observeNoResponse takes note of an attempt without an answer. If its connection had lain idle, that or the member is
// to blame: an answer on a new connection will tell. Where those are dear, free ones are kept.
func (r *Router) observeNoResponse(a *attempt) {
	if a.member.suspectIdle = a.connectionIdle; a.connectionIdle > 0 && a.member.connectTime <= slowConnectRatio*r.typicalLatency[0] {
		a.member.suspectIdleAt, a.member.idleSince = r.now, nil
		r.emit(CloseIdleConnections{a.member.ID})
	}
}

func (r *Router) attemptEnded(e AttemptResult) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	q.inFlight, a.ended = q.inFlight-1, true
	if !a.lost {
		a.member.inFlight--
	}
	idle := e.Outcome.notExecuted()
	if idle {
		q.maybeExecuted = slices.DeleteFunc(q.maybeExecuted, func(x *attempt) bool { return x == a })
	}
	if e.Outcome == UnknownOutcome {
		r.emit(LogMessage{"outcome not understood: taken as one that may have run"})
	}
	r.observeAttempt(a, e)
	if q.done || e.Final || e.Outcome == Served {
		r.endRequest(q)
		return
	} else if q.inFlight > 0 {
		return
	}
	if e.Outcome == NotSent || r.now >= q.deadline-r.settings.MinStepInterval || !idle && q.class.RetrySafety == Unsafe ||
		e.Outcome != Ineligible && r.retryBudget < 1 || r.settings.MaxAttempts > 0 && len(q.attempts) >= r.settings.MaxAttempts {
		r.refuseOrFail(q)
		return
	}
	if !idle {
		r.retryBudget--
	} else if e.Outcome != Ineligible { // a connection and a rejection cost work too
		r.retryBudget -= 0.5
	}
	if len(q.attempts) > 1 || e.Outcome == Overloaded {
		q.notBefore = r.now + Nanos(float64(len(q.attempts))*(0.5+r.random())*float64(10*ms))
	}
	r.dispatch(q)
}

// observeAttempt learns from an attempt's end.
func (r *Router) observeAttempt(a *attempt, e AttemptResult) {
	m, q := a.member, a.request
	r.applyReport(m, e.Report)
	if e.Role != RoleUnknown { // answered: its connection is free
		m.idleSince = append(m.idleSince, r.now)
		r.updateRole(m, e.Role == RolePrimary, r.now)
	}
	if q.class.Consistency != Write {
		m.position = max(m.position, e.Position-positionMargin)
	}
	if (e.Outcome == TimedOut || e.Outcome == Cancelled) && (a.connectionIdle == 0 || r.idleDropEvidence < 0) && // no dead link,
		!a.lost && (!r.ejected(m) || !r.hasHealthyReplica(q.group)) { // nor one sick member of a group that has others
		r.observeReplicaLatency(m, 1)
	}
	if (e.Outcome == TimedOut || e.Outcome == Cancelled || e.Outcome == Overloaded) && !a.lost {
		r.observeOverload(m, max(1, float64(e.Duration)/float64(q.class.LatencyTarget)))
	}
	switch e.Outcome {
	case Served:
		r.observeConnection(a, e.Duration)
		if r.settings.TrackSessionWrites && q.Session != "" && q.class.Consistency == Write {
			q.group.recordCommit(q.Session, cmp.Or(e.Position, r.now))
		}
		m.servedWork += a.work
		r.observeResponse(m, float64(e.Duration), q.Class)
	case Ineligible:
		m.lastResponseAt = r.now
		if q.class.Consistency == Write && m == m.group.primary {
			m.group.primaryDeniedAt = r.now
			r.distrustPrimary(m)
		}
	case Overloaded, ErrorResponse: // a hung member turns work away at its door: that is no sign of life
		if r.shrinkWindow(m, overloadShrink); e.Outcome == ErrorResponse {
			m.lastResponseAt = r.now
		} else {
			r.observeReplicaLatency(m, 1.5)
		}
		if m.failureRate += learningRate * (1 - m.failureRate); m.failureRate > 0.4 {
			r.eject(m)
		}
	case ConnectFailed, ConnectionLost, TimedOut, UnknownOutcome:
		if e.Outcome == TimedOut {
			r.observeNoResponse(a)
		}
		if e.Outcome == ConnectFailed {
			m.connectTime = max(m.connectTime, float64(e.Duration))
		}
		m.failureRate += learningRate * (1 - m.failureRate)
		r.distrustPrimary(m)
		if e.Outcome == ConnectionLost {
			r.connectionLost(m)
			break
		}
		if m.lastResponseAt > a.sentAt+Nanos(r.typicalLatency[q.Class]) {
			r.lossRate += learningRate / 2 * (1 - r.lossRate) // others were answered meanwhile: lost, if many are so
		}
		if e.Outcome == TimedOut && !a.lost && r.settings.Routers > smallFleet {
			r.observeSlowness(m, float64(e.Duration)/r.typicalLatency[q.Class])
		}
		if r.lossRate < lossThreshold && !a.lost {
			m.latencyRatio += learningRate * (2 - m.latencyRatio)
		}
		if m.latencyRatio > slowLatencyRatio && !a.lost {
			r.shrinkWindow(m, overloadShrink)
		}
		if e.Outcome == ConnectFailed && e.Duration < r.settings.ConnectTimeout/2 && r.settings.MayProbe && !m.unreachable {
			m.unreachable, m.unreachableAt = true, r.now
		}
		if e.Outcome != TimedOut {
			r.eject(m)
		}
	}
}

// refuseOrFail gives the final answer: a refusal where a repeat does no harm, else a failure.
func (r *Router) refuseOrFail(q *request) {
	if q.class.RetrySafety == Safe || len(q.maybeExecuted) == 0 || q.class.RetrySafety == Deduplicated && q.class.DedupScope == DedupAll {
		x := Refuse{ID: q.ID}
		if r.settings.SendRetryAfter {
			x.RetryAfter = Nanos(float64(r.settings.MaxRetryAfter) * (0.5 + r.random()/2)) // not all at once
		}
		r.emit(x)
	} else {
		r.emit(Fail{ID: q.ID})
	}
	r.endRequest(q)
}

// endRequest ends q and cancels what is still out for it, where that does no harm.
func (r *Router) endRequest(q *request) {
	if q == nil {
		return
	}
	q.done = true
	for _, a := range q.attempts {
		if !a.ended && !a.cancelled && r.settings.MayCancel && q.class.RetrySafety == Safe {
			a.cancelled = true
			r.emit(Cancel{q.ID, a.number})
		}
	}
	if q.inFlight == 0 {
		delete(r.requests, q.ID)
	}
}

// runDue does what time asks for and asks to be woken for what is due next: a fixed period costs every idle
// router CPU, and a request that has less time left than the period its final answer (rule 1).
func (r *Router) runDue() {
	r.nextDue = r.now + idleStepInterval
	r.decay()
	if r.settings.WatchDiscovery && r.nextCallAt > 0 {
		if r.now >= r.nextCallAt {
			r.lastCallAt, r.nextCallAt = r.now, r.now+r.maxCallInterval() // if nothing comes of this one
			r.emit(Watch{})
		}
		r.scheduleStep(r.nextCallAt)
	}
	r.checkInFlight()
	for _, g := range r.groupList {
		r.runRound(g)
	}
	r.dispatchQueue()
	if r.timerAt <= r.now || r.nextDue < r.timerAt {
		r.timerAt = r.nextDue
		r.emit(SetTimer{r.nextDue - r.now, "sweep"})
	}
}

// checkInFlight finds members that have gone silent and moves their safe reads elsewhere.
func (r *Router) checkInFlight() {
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a *attempt) bool { return a.ended })
	for _, a := range r.inFlight {
		wait := Nanos(silenceRatio * r.typicalLatency[a.request.Class] * max(1, a.member.slowness))
		if !a.lost && r.now > a.sentAt+2*wait && a.member.lastResponseAt > a.sentAt+wait { // its connection fell silent:
			a.lost = true // it takes no place at a member that goes on answering
			a.member.inFlight--
		}
		if due := max(a.sentAt, a.member.lastResponseAt) + wait; r.now > due {
			if !r.ejected(a.member) {
				r.observeNoResponse(a)
			}
			r.eject(a.member)
		} else {
			r.scheduleStep(due + 1)
		}
	}
	for _, a := range r.inFlight {
		q := a.request
		patience := 2 * r.typicalLatency[q.Class]
		if !r.ejected(a.member) { // a lone attempt without an answer, at a member that answers others
			patience *= silenceRatio / 2 * max(1, a.member.slowness)
		}
		if q.done || a.cancelled || q.class.RetrySafety != Safe || r.now >= q.targetAt || q.inFlight > 1 || r.retryBudget < 1 ||
			!r.ejected(a.member) && !a.lost && r.lossRate < lossThreshold {
			continue
		}
		if r.scheduleStep(max(a.sentAt+Nanos(patience), r.now+queueRetryInterval)); float64(r.now-a.sentAt) < patience {
			continue
		}
		if r.settings.MayHedge {
			if m := r.pickMember(q); m != nil && m != a.member {
				r.retryBudget--
				r.send(q, m)
			}
		} else if r.settings.MayCancel {
			a.cancelled = true
			r.emit(Cancel{q.ID, a.number})
		}
	}
}

// dispatchQueue sends held requests, the most valuable first, and ends those that can no longer be served in time.
func (r *Router) dispatchQueue() {
	now := r.queue
	r.queue = nil
	for _, q := range now { // worth for expected work
		if q.value = q.class.Value / r.typicalLatency[q.Class]; r.now > q.targetAt {
			q.value *= q.class.LateValue
		}
	}
	slices.SortStableFunc(now, func(a, b *request) int { return cmp.Compare(b.value, a.value) })
	for _, q := range now {
		q.queued = false
		last := q.deadline
		if q.class.LateValue == 0 {
			last = min(last, q.targetAt)
		}
		last -= max(2*r.settings.MinStepInterval, Nanos(r.typicalLatency[q.Class])) // later it would only be wasted work
		if q.class.LateValue < queueWaitCost && len(q.attempts) == 0 {              // a client left waiting for nothing costs that
			last = min(last, q.arrivedAt+q.Remaining/2-2*queueRetryInterval)
		}
		switch {
		case q.done:
		case r.now >= last && q.inFlight == 0:
			r.refuseOrFail(q)
		default:
			if r.now >= q.drawnAt+r.settings.OverloadWindow {
				r.drawRandomShare(q)
			}
			if r.dispatch(q); q.queued {
				r.scheduleStep(min(last, max(q.notBefore, r.now+queueRetryInterval)))
			}
		}
	}
}
