package aspenshed

// This file makes the routing decisions; its interface is api.go, its state is state.go. Read it from
// Step: events update the state, then runDue does what is due by time and dispatch sends requests.
// mayAttempt in choice.go enforces the rules. Other questions have files of their own: outcomes.go,
// memberlist.go, discoverycalls.go, election.go, health.go, choice.go and slowstart.go.

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
	slowStartDeviations = 5.0       // of a number of requests; with the margin, four of exponential work
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
		if c.isBounded() {
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
	if e.SinceCommit != 0 {
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
		toPrimary: m == q.group.primary, primaryDeniedAt: m.primaryDeniedAt,
		connectionIdle: r.takeConnection(m)}
	q.attempts, q.maybeExecuted = append(q.attempts, a), append(q.maybeExecuted, a)
	q.inFlight, m.inFlight = q.inFlight+1, m.inFlight+1
	if r.warming(m) {
		r.beginSlowStart(a)
	}
	r.inFlight = append(r.inFlight, a)
	x := Send{ID: q.ID, Member: m.ID, Attempt: a.number} // rules 5 and 2 apply at the time of sending
	if q.class.isBounded() && !r.settings.MembersCheckStaleness {
		x.SendBy = r.freshUntil(q, m)
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
		r.closeIdleConnections(m)
		return 0
	}
	m.idleSince = m.idleSince[:n-1]
	return idle
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
	for _, g := range r.groupList {
		r.reportPrimary(g)
	}
	if r.timerAt <= r.now || r.nextDue < r.timerAt {
		r.timerAt = r.nextDue
		r.emit(SetTimer{r.nextDue - r.now, "sweep"})
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
