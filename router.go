package aspenshed

// This file makes the routing decisions; its interface is api.go, its state is state.go. Read it from
// Step: events update the state, then runDue does what is due by time and dispatch sends requests.
// mayAttempt enforces the rules.

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

const (
	ms = Nanos(1e6)

	probeTimeout        = 200 * ms  // given by the design: a round goes on to the next member after this long
	minRoundInterval    = 250 * ms  // between rounds without a primary; not given by the design
	roundFleetSize      = 40.0      // larger fleets start rounds as often as one of this size
	smallFleet          = 8         // number of routers for which these constants were determined
	callSpacing         = 100 * ms  // between calls of a fleet if time allows: discovery served 16 of 60/s
	changeNotifiedAfter = 6000 * ms // protocol: notified of a change by then, if discovery is reachable
	startListedAfter    = 9000 * ms // a start is listed within some 2.5 s, and notified of by then
	callDuration        = 2500 * ms // protocol: a call fails after waiting for 2 s; plus 0.5 s to connect
	maxCallFailureTime  = 3000 * ms // longest time for a call to fail: the timeout of a silent call
	minCallRetry        = 250 * ms  // before the next call after one that did not reach discovery
	queueRetryInterval  = 10 * ms   // between dispatches of a queued request
	idleStepInterval    = 1000 * ms // between Steps of an idle router
	positionMargin      = 1 * ms    // subtracted from every known position: the wire rounds to milliseconds
	slowLatencyRatio    = 0.35      // mean response time over latency target above which a window shrinks
	overloadShrink      = 0.6       // window factor after an overload or timeout: the queue is far too long
	lossThreshold       = 0.08      // loss rate above which timeouts count as lost responses
	slowStartMargin     = 0.9       // fraction of a budget that is used, as estimates differ
	slowStartDeviations = 4.0       // standard deviations that a warming member's budget leaves room for
	otherGroupsRate     = 0.8       // of other groups' work rate: assumed for a group without one of its own
	warmRateDecay       = 20.0      // s: decay of a group's recorded rate while its primary is warmed up
	rateDecay           = 10.0      // s: time constant of moving rates
	minRateSpan         = 2.0       // s: shortest time over which a rate is taken
	usualDemandSpan     = 60.0      // s: time constant of the usual demand
	minSlowStartWork    = 2.0       // requests in a window that any warming member can do, from all routers
	minRecentRequests   = 5.0       // requests from which the recent demand counts
	longReadRatio       = 3.0       // times the fastest class: such long reads may hold up a replica's log
	spillLatencyRatio   = 0.5       // latency ratio of the primary above which fewer reads go to it
	initialSpillChance  = 0.5       // chance that reads go to a primary before anything is known of it
	spillStep           = 0.03      // step by which that chance rises; it falls three times as fast
	windowShrink        = 0.85      // window factor at a slow response; close to 1, as one may be chance
	initialWindow       = 8.0       // attempts in flight at a member before anything is known of it
	newPrimaryWindow    = 4.0       // the same at a newly found primary: queued writes are sent in steps
	minPrimaryWindow    = 4.0       // a slow primary keeps this: one attempt at a time leaves its cores idle
	silenceRatio        = 4.0       // typical response times without any response that get a member ejected
	minEjection         = 500 * ms  // shortest ejection; doubles up to maxEjection
	maxEjection         = 4000 * ms
	retriesPerRequest   = 0.15 // retries that each request adds to the budget; limits load added by failures
	maxRetryBudget      = 20.0 // retries that may be saved up
	extraProbeCost      = 0.01 // points per request that probes for a second fresh replica may cost
	costlyProbe         = 0.04 // probe cost from which the primary's spare capacity is used first
	spareLatencyRatio   = 0.15 // latency ratio up to which a primary takes reads before replicas are probed
	busyLatencyRatio    = 0.35 // latency ratio from which it takes none
	maxReadProbes       = 3    // probes that one read may cause
	costTie             = 0.85 // costs closer than this count as equal: the zone, then chance decides
	crossZoneFactor     = 10.0 // factor on the cost of a member in another zone, per point of CrossZoneCost
	slowConnectRatio    = 0.8  // connect time over typical response time that makes connecting costly
	idleLimitDecay      = 30.0 // s: time constant in which a limit on the idle time is relaxed
	quickLatencyRatio   = 0.4  // latency ratio up to which a group is quick
	busyRequestRate     = 10.0 // requests per second here from which windows limit as well
	minAdmitChance      = 0.05 // chance of admission however overloaded the group: its recovery must show
	latencyRatioDecay   = 12.0 // s: decay of latency ratios; slow, as little traffic gives few samples
	fullWeightGap       = 5.0  // s since a member's last sample after which a single one tells its slowness
	learningRate        = 0.1  // weight of a new sample in moving averages
	queueWaitCost       = 0.3  // of the value: the cost of a response after half the time without a send
)

// New makes a router. It returns an error for settings that it does not support.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{settings: s, rngState: seed*2 + 1, members: map[string]*member{}, groups: map[int]*group{},
		requests: map[string]*request{}, minStalenessBound: 400 * ms, retryBudget: 2, idleDropEvidence: -0.5,
		firstTimeouts: make([]firstTimeout, len(s.Classes)), sampleCount: make([]float64, len(s.Classes))}
	r.settings.MinStepInterval, r.settings.IdleTimeout =
		max(r.settings.MinStepInterval, ms), cmp.Or(s.IdleTimeout, 3600*1000*ms)
	r.maxSafeIdle = r.settings.IdleTimeout
	for i, c := range s.Classes {
		if c.RetrySafety < Safe || c.RetrySafety > Unsafe ||
			c.Consistency < Eventual || c.Consistency > Write {
			return nil, errors.New("aspenshed: class " + c.Name + ": unknown retry safety or consistency")
		}
		if c.Consistency == BoundedStaleness {
			r.minStalenessBound = min(r.minStalenessBound, c.MaxStaleness)
		}
		// The estimate starts with the weight of many samples, as one quick response is not typical.
		r.typicalLatency, r.sampleCount[i] =
			append(r.typicalLatency, float64(c.LatencyTarget)/4), 1/learningRate
	}
	if len(s.Classes) == 0 {
		return nil, errors.New("aspenshed: no classes")
	}
	r.meanWork = r.typicalLatency[0] / 1e9
	return r, nil
}

// Step passes events to the router and returns the actions to take, in order.
func (r *Router) Step(now Nanos, events []Event) []Action {
	r.actions = nil
	r.now = max(now, r.now)
	if !r.started {
		r.started = true
		// The router may count as notified of changes that an outdated list lacks.
		r.nextCallAt = r.callSlot(r.settings.DrainGrace * 3 / 4)
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
		case TimerFired: // possibly a little early, as timers are rounded
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
	for _, listed := range e.Members {
		seen[listed.ID] = true
		m := r.members[listed.ID]
		if m == nil {
			if listed.State == Removed {
				continue
			}
			g := r.group(listed.Group)
			m = &member{Member: listed, group: g, slowness: 1, slownessAt: r.now,
				window: initialWindow}
			r.members[listed.ID], r.memberList, g.probeOrder =
				m, append(r.memberList, m), append(g.probeOrder, m)
			r.startWarming(m, r.startTime(listed.StartedAt), r.startSource())
		}
		if r.isNewStart(e, listed, m) {
			m.slowness, m.failureRate, m.ejectedUntil, m.ejectionTime, m.unreachable = 1, 0, 0, 0, false
			r.startWarming(m, r.startTime(listed.StartedAt), r.startSource())
		}
		wasPrimary := m.Primary
		m.Member = listed
		m.Weight = max(listed.Weight, 0.01)
		m.group.primaryTrusted = m.group.primaryTrusted && (listed.State == Up || m != m.group.primary)
		// The list's roles may be outdated: they only decide which member is probed first.
		if r.settings.ListHasRoles && listed.Primary && (!wasPrimary || m.group.primary == nil) &&
			m.group.primary != m {
			m.group.moveToFront(m)
			if m.group.primary == nil && m.State == Up {
				// Nothing better is known. A write to the wrong member is rejected without being
				// executed, and costs less than the probes of a whole fleet that has just started.
				m.group.primary, m.group.primaryTrusted = m, true
				m.window = r.windowShare(newPrimaryWindow)
			} else if !m.group.primaryTrusted {
				m.group.inRound, m.group.nextRoundAt = false, 0
			}
		}
	}
	r.knowsList = r.knowsList || !e.Cached
	for _, m := range r.memberList {
		if e.Complete && !seen[m.ID] && m.State != Removed &&
			!(r.settings.RemovalIsAdvisory && m.State == Up) {
			m.State, m.group.primaryTrusted = Removed, m.group.primaryTrusted && m.group.primary != m
		}
	}
	r.dropRemoved()
}

// callFailed schedules the next call to discovery after one that failed or a watch that ended. However
// it failed, the router counts as notified of a change changeNotifiedAfter later and has to follow it
// DrainGrace after that: the next call has ended by then.
func (r *Router) callFailed(e DiscoveryFailed) {
	switch {
	case e.Unreachable:
		r.nextCallAt = r.now + Nanos(float64(minCallRetry)*(1+2*r.random()))
	case r.nextCallAt == 0: // a watch ended, possibly for a whole fleet at once
		r.nextCallAt = r.callSlot(cmp.Or(e.LastHeard, r.now) + r.maxCallInterval() - r.now)
	default:
		r.nextCallAt = r.retryCallAt(cmp.Or(e.LastHeard, r.lastCallAt) + r.maxCallInterval())
	}
}

// maxCallInterval is the time from a call, or from the last line of a watch, within which the next call
// has to start.
func (r *Router) maxCallInterval() Nanos {
	return max(min(changeNotifiedAfter, r.settings.NotifiedAfter)+r.settings.DrainGrace-callDuration,
		minCallRetry)
}

// retryCallAt is the time of this router's call slot in a cycle that the fleet shares, as all routers
// are given the same clock: few calls, evenly spread, whenever each of them failed. If the slot is too
// late, the router calls earlier, so that the call fails before the slot.
func (r *Router) retryCallAt(latest Nanos) Nanos {
	fleetPeriod := float64(callSpacing) * float64(r.settings.Routers)
	r.retryCycle = max(2*r.retryCycle, minCallRetry, Nanos(min(fleetPeriod, float64(changeNotifiedAfter))))
	r.retryCycle = min(r.retryCycle, r.maxCallInterval())
	slot := Nanos(float64(r.settings.Rank) / float64(max(r.settings.Routers, 1)) * float64(r.retryCycle))
	earliest := r.now + minCallRetry/2
	at := earliest + ((slot-earliest)%r.retryCycle+r.retryCycle)%r.retryCycle
	if at > latest {
		at -= maxCallFailureTime + minCallRetry
	}
	return min(max(at, earliest), max(latest, r.now)) // an overdue call is made at once
}

// callSlot is the time of this router's call among all routers that start to call now; the last slot is
// maxWait from now at the latest.
func (r *Router) callSlot(maxWait Nanos) Nanos {
	slot := math.Mod((float64(r.settings.Rank)+r.random())/float64(max(r.settings.Routers, 1)), 1)
	return r.now + Nanos(math.Abs(slot)*min(float64(callSpacing)*r.routersAboveSmallFleet(),
		float64(max(maxWait, 0))))
}

// ---- probe rounds for the primary ----

// runRound probes the members in probeOrder, one at a time, while no primary is trusted.
func (r *Router) runRound(g *group) {
	if g.primaryTrusted || r.now > g.primaryWantedAt+r.roundInterval() {
		g.inRound = false
		return
	}
	// Without probes the writes themselves try one member after the other.
	if i := slices.IndexFunc(g.probeOrder, isUp); !r.settings.MayProbe && i >= 0 {
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

// distrustPrimary stops trusting m as the primary and lets a probe round start; rounds go on while
// requests need a primary.
func (r *Router) distrustPrimary(m *member) {
	if g := m.group; m == g.primary {
		g.primaryTrusted, g.primaryWantedAt = false, r.now
	}
}

func (r *Router) probeNext(g *group) {
	for g.probeIndex++; g.probeIndex < len(g.probeOrder); g.probeIndex++ {
		// A member that refused connections is probed rarely, but probed: nothing else may show that it
		// is back.
		if m := g.probeOrder[g.probeIndex]; m.State == Up &&
			(!m.unreachable || r.now > max(m.unreachableAt, m.probedAt)+maxEjection) {
			g.roundProbedAt = r.now
			r.probe(m)
			return
		}
	}
	g.inRound = false
}

// updateRole applies information on a member's role as of the time at. Newer information wins over
// older.
func (r *Router) updateRole(m *member, primary bool, at Nanos) {
	g := m.group
	if at < m.roleSeenAt && primary == m.claimsPrimary { // an older report that only repeats a newer response
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
	former := g.primary
	if m.State != Up || former != nil && former != m && former.claimsPrimary && at <= former.roleSeenAt {
		return
	}
	if former != m {
		if former != nil {
			r.emit(CloseIdleConnections{former.ID})
		}
		g.primary = m
		m.window = r.windowShare(newPrimaryWindow)
	}
	g.moveToFront(m)
	g.primaryTrusted, g.inRound, g.nextRoundAt = true, false, 0
}

func (r *Router) probe(m *member) {
	if m.State != Up || m.probePending && r.now < m.probedAt+2*probeTimeout {
		return
	}
	m.probePending, m.probedAt = true, r.now
	m.diagnostics.sent.Probes++
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
	case m.connectionLosses == 1 && e.Outcome == ConnectionLost:
		// The probe's connection was lost too: there is still no response from the member.
		m.connectionLosses, m.group.roundProbedAt = 2, r.now
		r.probe(m)
		return
	case m.connectionLosses > 0 && e.Outcome != Served:
		r.eject(m, StateProbeFailed)
	}
	m.connectionLosses = 0
	if e.Outcome == Served {
		if m.unreachable { // reachable again
			m.unreachable, m.ejectionTime, m.ejectedUntil, m.reachableAt = false, 0, 0, r.now
			r.startWarming(m, r.now, StateConnectionRefused)
		}
		r.applyReport(m, e.Report)
		// A first silence may be chance: then a probe counts as a response.
		if m.ejectionTime <= r.firstEjection() {
			m.lastResponseAt = r.now
		}
	}
	g := m.group
	if g.inRound && !g.primaryTrusted && g.probeIndex >= 0 && g.probeIndex < len(g.probeOrder) &&
		g.probeOrder[g.probeIndex] == m {
		r.probeNext(g)
	}
}

// ---- position and freshness ----

// freshEnough tells whether m is known to have all the data that q requires, if sent now.
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

// eject takes a member out of selection for a while. After that, single reads try it again.
func (r *Router) eject(m *member, cause StateCause) {
	if r.ejected(m) {
		return
	}
	m.diagnostics.phaseCause = cause
	first := r.firstEjection()
	m.ejectionTime = min(max(2*m.ejectionTime, first), max(maxEjection, 4*first))
	// The length is random: routers must not return all at once.
	m.ejectedUntil = r.now + Nanos(float64(m.ejectionTime)*(0.5+r.random()))
	if r.distrustPrimary(m); m.group.primary != m && r.settings.MayProbe {
		r.probe(m)
	}
}

// connectionLost handles a lost connection. The network may be the cause, and it says nothing about
// queues. A member that has crashed answers no probe.
func (r *Router) connectionLost(m *member) {
	if m.connectionLosses = 1; r.settings.MayProbe {
		r.probe(m)
	} else {
		r.eject(m, StateConnectionLost)
	}
}

func (r *Router) observeResponse(m *member, duration float64, class int) {
	m.lastResponseAt, m.ejectionTime, m.ejectedUntil, m.connectionLosses = r.now, 0, 0, 0
	r.sampleCount[class] = min(r.sampleCount[class]+1, 2/learningRate)
	r.typicalLatency[class] += (duration - r.typicalLatency[class]) / r.sampleCount[class]
	m.recentLatencyRatio += r.sampleWeight(m) *
		(duration/float64(r.settings.Classes[class].LatencyTarget) - m.recentLatencyRatio)
	r.observeSlowness(m, duration/r.typicalLatency[class])
	m.failureRate -= learningRate * m.failureRate
	if g := m.group; m == g.primary { // reads are added to the primary's own work only while that stays quick
		if g.spillChance = min(1, g.spillChance+spillStep); duration >=
			spillLatencyRatio*float64(r.settings.Classes[class].LatencyTarget) {
			g.spillChance = max(spillStep, (g.spillChance-spillStep)*(1-3*spillStep))
		}
	}
	r.lossRate -= learningRate / 2 * r.lossRate
	m.latencyRatio += learningRate *
		(duration/float64(r.settings.Classes[class].LatencyTarget) - m.latencyRatio)
	r.observeReplicaLatency(m, duration/float64(r.settings.Classes[class].LatencyTarget))
	switch {
	case m.latencyRatio > slowLatencyRatio:
		r.shrinkWindow(m, windowShrink)
	case float64(m.inFlight+1) < m.window/2: // the window was not used: nothing is learned
	default:
		m.window += max(1/m.window, 2/initialWindow)
	}
}

// sampleWeight is the weight of a new sample of m. Where responses are rare each counts for more:
// otherwise each router would learn too late what the fleet as a whole has observed.
func (r *Router) sampleWeight(m *member) float64 {
	return min(max(learningRate, float64(r.now-m.slownessAt)/1e9/fullWeightGap), 0.5)
}

// observeSlowness adds a sample of how slow m is.
func (r *Router) observeSlowness(m *member, sample float64) {
	m.slowness += r.sampleWeight(m) * (min(max(sample, 0.1), 10) - m.slowness)
	m.slownessAt = r.now
}

// observeOverload counts an attempt that m rejected or did not respond to as a slow response: judged by
// its responses alone, a primary that gives none would seem as quick as before.
func (r *Router) observeOverload(m *member, ratio float64) {
	m.recentLatencyRatio += r.sampleWeight(m) * (min(ratio, 2) - m.recentLatencyRatio)
}

// spareCapacity is the chance that a bounded-staleness read goes to the primary before a replica is
// probed for its position: where probes are costly, the higher the quicker the primary is.
func (r *Router) spareCapacity(g *group) float64 {
	if r.settings.ProbeCost < costlyProbe {
		return 0
	}
	return (busyLatencyRatio - g.primary.recentLatencyRatio) / (busyLatencyRatio - spareLatencyRatio)
}

func (r *Router) shrinkWindow(m *member, factor float64) {
	if r.now < m.windowShrunkAt+Nanos(r.typicalLatency[0]) {
		return
	}
	if m.windowShrunkAt, m.window = r.now, max(1, m.window*factor); m == m.group.primary {
		// A primary's writes have nowhere else to go.
		m.window = max(m.window, r.windowShare(minPrimaryWindow))
	}
}

// ---- member choice ----

// cost ranks members: expected load for their weight, slowness, failures and zone.
func (r *Router) cost(m *member, q *request) float64 {
	c := (1 + max(float64(m.inFlight), m.reportedLoad)) / m.Weight * m.slowness /
		math.Pow(1.05-m.failureRate, 2)
	if q.class.Consistency != Eventual { // the less it lags, the sooner it is fresh enough
		c *= 1 + float64(m.lastHeardAt-m.position)/float64(r.minStalenessBound)
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
	var fresh, others, ejected []*member
	var windowFull, probing bool
	for _, m := range g.probeOrder {
		if m == p || !r.mayAttempt(q, m) {
			continue
		}
		switch {
		case m.unreachable && !r.ejected(m): // a probe costs less than a read to show that it is back
			r.eject(m, StateConnectionRefused)
		case r.ejected(m) || (m.ejectionTime > 0 && m.inFlight > 0):
			ejected = append(ejected, m)
		case float64(m.inFlight) >= m.window: // window full, but healthy
			windowFull = true
		case q.class.Consistency == BoundedStaleness && m.lastHeardAt-m.position > q.class.MaxStaleness &&
			r.now < m.lastHeardAt+r.minStalenessBound/4: // it lagged too much a moment ago
		case r.freshEnough(q, m):
			fresh = append(fresh, m)
		default:
			others = append(others, m)
		}
	}
	primaryHasCapacity := g.primaryTrusted && p != nil && float64(p.inFlight) < p.window/2 &&
		!r.ejected(p) && !r.warming(p) && p.recentLatencyRatio < busyLatencyRatio && r.mayAttempt(q, p)
	if q.class.Consistency == BoundedStaleness && len(fresh) == 0 && primaryHasCapacity &&
		q.spillDraw < r.spareCapacity(g) {
		return p
	} else if q.class.Consistency != Eventual {
		maxProbes := 1 - len(fresh)
		// Where probes are cheap, a second fresh replica gives a choice of two.
		if r.probeCredit >= 1 && len(fresh) < 2 && r.settings.ProbeCost < costlyProbe {
			r.probeCredit--
			maxProbes++
		}
		probing = maxProbes > 0 && r.refreshPositions(q, maxProbes)
	}
	if connected := slices.DeleteFunc(slices.Clone(fresh), r.connectionCostly); len(connected) > 0 {
		fresh = connected
	}
	if len(fresh) > 0 {
		return r.twoChoices(q, r.longReadCandidates(q, fresh))
	}
	if probing && r.now < q.arrivedAt+q.class.LatencyTarget/8 {
		return nil // a pending probe may show a replica that is fresh enough
	}
	g.primaryWantedAt = r.now
	if primaryHasCapacity && q.spillDraw < g.spillChance {
		return p
	}
	// Ejected members are used rather than none.
	if len(others) == 0 && !windowFull && q.class.Consistency == Eventual {
		others = ejected
	}
	return r.twoChoices(q, others)
}

// probeInterval is the time between probes of m: a quarter of the shortest staleness bound, as given by
// the design; longer for a member that lags far behind, as it can only catch up slowly.
func (r *Router) probeInterval(m *member) Nanos {
	return max(r.minStalenessBound/4, min((m.lastHeardAt-m.position)/2, 2000*ms))
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

// ---- rules ----

// mayAttempt enforces the rules: q is sent to m only if it allows it. Rule 1: nothing is sent after the
// final response. Rule 2: what may have been executed is sent again only as the class's RetrySafety
// allows. Rule 3: nothing is sent to draining or removed members. Rule 4: a warming member gets no more
// than its slow-start budget or random share. Rule 5: the member satisfies the class's Consistency.
func (r *Router) mayAttempt(q *request, m *member) bool {
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
	primary := m == m.group.primary && m.group.primaryTrusted
	switch q.class.Consistency { // rule 5
	case Write, Linearizable:
		return primary
	case BoundedStaleness, ReadYourWrites:
		// Reads that a warming member rejects load it too: it must be known to be fresh enough.
		return primary || r.freshEnough(q, m) || r.settings.MembersCheckStaleness && !r.warming(m)
	}
	return true
}

// ---- admission, dispatch, responses ----

func (r *Router) accept(e Request) {
	if e.Class < 0 || e.Class >= len(r.settings.Classes) || r.requests[e.ID] != nil {
		r.emit(Refuse{ID: e.ID, Cause: CauseInvalid})
		return
	}
	c, g := &r.settings.Classes[e.Class], r.group(e.Group)
	q := &request{Request: e, class: c, group: g, spillDraw: r.random(), arrivedAt: r.now,
		deadline: r.now + e.Remaining, targetAt: r.now + c.LatencyTarget}
	r.recentRequests++
	r.meanWork += learningRate / 2 * (r.expectedWork(q) - r.meanWork)
	r.drawRandomShare(q)
	r.probeCredit = min(r.probeCredit+extraProbeCost/max(r.settings.ProbeCost, 1e-3), 3)
	// Routers with little traffic must not save up much.
	r.retryBudget = min(maxRetryBudget, 2+retriesPerRequest*r.recentRequests, r.retryBudget+retriesPerRequest)
	if q.minPosition = g.sessionCommits[e.Session]; q.minPosition == 0 {
		q.minPosition = g.commitFloor
	}
	if e.SinceCommit > 0 {
		q.minPosition = r.now - e.SinceCommit + positionMargin
	}
	// First requests have the same time remaining, clients' retries less: the most frequent value is
	// that of the first.
	first := &r.firstTimeouts[e.Class]
	if difference := e.Remaining - first.remaining; max(difference, -difference) < first.remaining/20 {
		first.confidence = min(first.confidence+1, 20)
	} else if first.confidence -= 0.5; first.confidence < 0 {
		*first = firstTimeout{e.Remaining, 1}
	} else if first.confidence >= 3 {
		q.targetAt -= max(c.ClientTimeout-e.Remaining, 0)
	}
	r.requests[e.ID] = q
	if c.LateValue == 0 && r.now >= q.targetAt-c.LatencyTarget/8 {
		r.refuseOrFail(q, CauseNoTime)
		return
	}
	if r.pickWarming(q) == nil && r.random() >= r.admitChance(q) {
		r.refuseOrFail(q, CauseOverload)
		return
	}
	r.dispatch(q)
}

// admitChance is the chance that a request is admitted. With hundreds of routers of little traffic no
// window limits the load: each must send less by itself once its own response times show that queueing
// exceeds the latency targets. The third power keeps queueing near the targets whatever the overload:
// at n times the capacity it settles at the cube root of n.
func (r *Router) admitChance(q *request) float64 {
	ratio := (q.group.latencyRatio + r.latencyRatio) / 2
	if q.class.Consistency >= Linearizable && q.group.primary != nil {
		ratio = min(q.group.primary.latencyRatio, q.group.primary.recentLatencyRatio)
	}
	// Busy routers are limited by their windows.
	threshold := quickLatencyRatio + 0.1*min(1, r.recentRequests/rateDecay/busyRequestRate)
	return max(minAdmitChance, math.Pow(threshold/max(ratio, threshold), 3))
}

// dispatch sends q or queues it.
func (r *Router) dispatch(q *request) {
	if m := r.pickMember(q); m != nil {
		r.send(q, m)
	} else if !q.queued && q.inFlight == 0 {
		q.queued, r.queue = true, append(r.queue, q)
		r.traceQueued(q)
	}
}

func (r *Router) send(q *request, m *member) {
	a := &attempt{request: q, member: m, number: len(q.attempts), sentAt: r.now, work: r.expectedWork(q),
		connectionIdle: r.takeConnection(m)}
	q.attempts, q.maybeExecuted = append(q.attempts, a), append(q.maybeExecuted, a)
	q.inFlight, m.inFlight = q.inFlight+1, m.inFlight+1
	if r.warming(m) {
		r.beginSlowStart(a)
	}
	r.inFlight = append(r.inFlight, a)
	x := Send{ID: q.ID, Member: m.ID, Attempt: a.number} // rules 5 and 2 apply at the time of sending
	if q.class.Consistency == BoundedStaleness && m != q.group.primary && !r.settings.MembersCheckStaleness {
		x.SendBy = m.position + q.class.MaxStaleness - positionMargin
	}
	if q.class.RetrySafety == Deduplicated && len(q.maybeExecuted) > 1 { // the first is the oldest
		x.SendBy = min(cmp.Or(x.SendBy, math.MaxInt64),
			q.maybeExecuted[0].sentAt+q.class.DedupWindow-positionMargin)
	}
	r.emit(x)
}

// takeConnection takes an idle connection of m and returns how long it was idle; 0: a new one is
// needed. A connection that was idle for longer than maxSafeIdle is not used: the network may have
// dropped it silently.
func (r *Router) takeConnection(m *member) (idle Nanos) {
	n := len(m.idleSince)
	if n == 0 {
		return 0
	}
	if idle = max(r.now-m.idleSince[n-1], 1); idle > r.maxSafeIdle &&
		m.connectTime <= slowConnectRatio*r.typicalLatency[0] {
		m.idleSince = nil
		r.emit(CloseIdleConnections{m.ID})
		return 0
	}
	m.idleSince = m.idleSince[:n-1]
	return idle
}

// observeNoResponse handles an attempt without a response. If its connection had been idle, the
// connection or the member is the cause: a response on a new connection will tell. Where connecting is
// slow, idle connections are kept.
func (r *Router) observeNoResponse(a *attempt) {
	if a.member.suspectIdle = a.connectionIdle; a.connectionIdle > 0 &&
		a.member.connectTime <= slowConnectRatio*r.typicalLatency[0] {
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
	notExecuted := e.Outcome.notExecuted()
	if notExecuted {
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
	if cause := r.noRetryCause(q, e.Outcome); cause != CauseNone {
		r.refuseOrFail(q, cause)
		return
	}
	if !notExecuted {
		r.retryBudget--
	} else if e.Outcome != Ineligible { // a connection and a rejection cost work too
		r.retryBudget -= 0.5
	}
	if len(q.attempts) > 1 || e.Outcome == Overloaded {
		q.notBefore = r.now + Nanos(float64(len(q.attempts))*(0.5+r.random())*float64(10*ms))
	}
	r.dispatch(q)
}

// noRetryCause tells why q gets no further attempt after one that ended with this outcome; CauseNone: it may.
func (r *Router) noRetryCause(q *request, outcome Outcome) Cause {
	switch {
	case outcome == NotSent:
		return CauseNotSent
	case r.now >= q.deadline-r.settings.MinStepInterval:
		return CauseNoTime
	case !outcome.notExecuted() && q.class.RetrySafety == Unsafe:
		return CauseMaybeExecuted
	case outcome != Ineligible && r.retryBudget < 1:
		return CauseRetryBudget
	case r.settings.MaxAttempts > 0 && len(q.attempts) >= r.settings.MaxAttempts:
		return CauseMaxAttempts
	}
	return CauseNone
}

// observeAttempt updates the estimates from the result of an attempt.
func (r *Router) observeAttempt(a *attempt, e AttemptResult) {
	m, q := a.member, a.request
	r.endSlowStart(a, e.Outcome)
	r.applyReport(m, e.Report)
	if e.Role != RoleUnknown { // it responded: its connection is idle again
		m.idleSince = append(m.idleSince, r.now)
		r.updateRole(m, e.Role == RolePrimary, r.now)
	}
	if q.class.Consistency != Write {
		m.position = max(m.position, e.Position-positionMargin)
	}
	// Dropped connections do not count, nor does a failing member of a group that has healthy ones.
	if (e.Outcome == TimedOut || e.Outcome == Cancelled) &&
		(a.connectionIdle == 0 || r.idleDropEvidence < 0) &&
		!a.lost && (!r.ejected(m) || !r.hasHealthyReplica(q.group)) {
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
		m.proven.add(a.work)
		r.observeResponse(m, float64(e.Duration), q.Class)
	case Ineligible:
		m.lastResponseAt = r.now
		if q.class.Consistency == Write && m == m.group.primary {
			m.group.primaryDeniedAt = r.now
			r.distrustPrimary(m)
		}
	case Overloaded, ErrorResponse:
		// A hung member may still reject work: Overloaded does not count as a response.
		if r.shrinkWindow(m, overloadShrink); e.Outcome == ErrorResponse {
			m.lastResponseAt = r.now
		} else {
			r.observeReplicaLatency(m, 1.5)
		}
		if m.failureRate += learningRate * (1 - m.failureRate); m.failureRate > 0.4 {
			r.eject(m, StateRejecting)
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
			// Others got responses meanwhile: this one was lost, if it happens often.
			r.lossRate += learningRate / 2 * (1 - r.lossRate)
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
		if e.Outcome == ConnectFailed && e.Duration < r.settings.ConnectTimeout/2 && r.settings.MayProbe &&
			!m.unreachable {
			m.unreachable, m.unreachableAt = true, r.now
		}
		if e.Outcome != TimedOut {
			r.eject(m, StateConnectFailed)
		}
	}
}

// refuseOrFail gives the final response: a refusal where a retry does no harm, else a failure.
func (r *Router) refuseOrFail(q *request, cause Cause) {
	if q.class.RetrySafety == Safe || len(q.maybeExecuted) == 0 ||
		q.class.RetrySafety == Deduplicated && q.class.DedupScope == DedupAll {
		x := Refuse{ID: q.ID, Cause: cause}
		if r.settings.SendRetryAfter {
			// The delay is random: clients must not retry all at once.
			x.RetryAfter = Nanos(float64(r.settings.MaxRetryAfter) * (0.5 + r.random()/2))
		}
		r.emit(x)
	} else {
		r.emit(Fail{ID: q.ID, Cause: cause})
	}
	r.endRequest(q)
}

// endRequest ends q and cancels its attempts in flight, where that does no harm.
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

// runDue does what is due by now and sets a timer for what is due next. A fixed period would cost every
// idle router CPU time, and a request with less time left than the period its final response.
func (r *Router) runDue() {
	r.nextDue = r.now + idleStepInterval
	r.decay()
	if r.settings.WatchDiscovery && r.nextCallAt > 0 {
		if r.now >= r.nextCallAt {
			r.lastCallAt, r.nextCallAt = r.now, r.now+r.maxCallInterval() // if this one gets no response
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

// checkInFlight finds members that stopped responding and moves their safe reads elsewhere.
func (r *Router) checkInFlight() {
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a *attempt) bool { return a.ended })
	for _, a := range r.inFlight {
		wait := Nanos(silenceRatio * r.typicalLatency[a.request.Class] * max(1, a.member.slowness))
		if !a.lost && r.now > a.sentAt+2*wait && a.member.lastResponseAt > a.sentAt+wait {
			// Its connection is dead: it does not count in the window of a member that still responds.
			a.lost = true
			a.member.inFlight--
		}
		if due := max(a.sentAt, a.member.lastResponseAt) + wait; r.now > due {
			if !r.ejected(a.member) {
				r.observeNoResponse(a)
			}
			r.eject(a.member, StateSilent)
		} else {
			r.scheduleStep(due + 1)
		}
	}
	for _, a := range r.inFlight {
		q := a.request
		moveAfter := 2 * r.typicalLatency[q.Class]
		if !r.ejected(a.member) { // a single attempt without a response, at a member that responds to others
			moveAfter *= silenceRatio / 2 * max(1, a.member.slowness)
		}
		if q.done || a.cancelled || q.class.RetrySafety != Safe || r.now >= q.targetAt ||
			q.inFlight > 1 || r.retryBudget < 1 ||
			!r.ejected(a.member) && !a.lost && r.lossRate < lossThreshold {
			continue
		}
		if r.scheduleStep(max(a.sentAt+Nanos(moveAfter), r.now+queueRetryInterval)); float64(r.now-a.sentAt) <
			moveAfter {
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

// dispatchQueue sends queued requests, the most valuable first, and ends those that can no longer be
// served in time.
func (r *Router) dispatchQueue() {
	queue := r.queue
	r.queue = nil
	for _, q := range queue { // by value per expected response time
		if q.value = q.class.Value / r.typicalLatency[q.Class]; r.now > q.targetAt {
			q.value *= q.class.LateValue
		}
	}
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(b.value, a.value) })
	for _, q := range queue {
		q.queued = false
		latest := q.deadline
		if q.class.LateValue == 0 {
			latest = min(latest, q.targetAt)
		}
		// A later attempt would only be wasted work.
		latest -= max(2*r.settings.MinStepInterval, Nanos(r.typicalLatency[q.Class]))
		// A client that waits for nothing costs more than a late response is worth.
		if q.class.LateValue < queueWaitCost && len(q.attempts) == 0 {
			latest = min(latest, q.arrivedAt+q.Remaining/2-2*queueRetryInterval)
		}
		switch {
		case q.done:
		case r.now >= latest && q.inFlight == 0:
			r.refuseOrFail(q, r.queueCause(q))
		default:
			if r.now >= q.drawnAt+r.settings.OverloadWindow {
				r.drawRandomShare(q)
			}
			if r.dispatch(q); q.queued {
				r.scheduleStep(min(latest, max(q.notBefore, r.now+queueRetryInterval)))
			}
		}
	}
}
