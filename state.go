package aspenshed

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// This file holds the state of a router and its estimates. The decisions that use them are in router.go.

type member struct {
	Member
	group         *group
	probePending  bool
	isReplacement bool // an entry has named it in place of another server
	// 1: a connection was lost during an attempt, no response since; 2: also during the probe after it.
	connectionLosses           int
	unreachable                bool    // it refused a connection and has not responded since
	unreachableAt, reachableAt Nanos   // when it last refused one, and when it responded again
	idleSince                  []Nanos // for each of its idle connections, since when it is idle
	// Idle time of the connection of an attempt without a response, and when that was noted; 0: none.
	suspectIdle, suspectIdleAt Nanos
	connectTime                float64 // moving mean of the time that connecting adds, ns
	// When it started, as notified or as its recovery shows; 0: long ago.
	warmingSince  Nanos
	startInferred bool // no list names that start; the member refused connections and responded again
	startHeardAt  Nanos
	startStamp    Nanos // of a start that the first lists of this router name; 0: it was heard of later
	// When it last said that it is not the primary, and the latest moment since which it has provably been the primary.
	primaryDeniedAt, primaryProvenAt Nanos
	// Times of its last reported position, its last probe.
	lastHeardAt, probedAt                        Nanos
	position                                     Nanos // all commits up to here are applied; never decreases
	inFlight                                     int   // attempts in flight
	slowStart                                    SlowStartShare
	lastResponseAt, ejectedUntil, windowShrunkAt Nanos
	ejectionTime                                 Nanos // length of the last ejection; 0: healthy
	slownessAt                                   Nanos // when slowness was last updated
	// Response time relative to its class's; moving share of failed attempts.
	slowness, failureRate float64
	window                float64 // limit on attempts in flight
	recentLatencyRatio    float64 // as latencyRatio, but adapts faster
	// Requests queued and executing, as reported; moving mean of response times over their latency targets.
	reportedLoad, latencyRatio float64
	// While warming: work that this router may send it within an overload window, and what it has sent.
	slowStartLimit float64
	sentWork       sentWork
	// Random fraction of a request by which the limit is exceeded until then.
	rounding      float64
	roundingUntil Nanos
	servedWork    float64 // decaying sum of the work it did for this router
	// While warming: the work per second that it has just done for this router. Summed over all routers it is no more
	// than its capacity. The mean is taken over OverloadFactor windows: so the budget never grows within one window by
	// what is served in it.
	proven       movingRate
	leadEvidence leadEvidence
	diagnostics  diagnostics
}

type group struct {
	id                         int
	probeOrder                 []*member // list order, with the last primary found moved to the front
	primary                    *member
	primaryTrusted, inRound    bool
	roleSource                 RoleSource // of the latest change of primaryTrusted
	reported                   reportedPrimary
	claims                     claims
	probeIndex                 int // index in probeOrder of the member that the probe round waits for
	roundProbedAt, nextRoundAt Nanos
	primaryWantedAt            Nanos // when a request last needed the primary and could not be sent to it
	sessionCommits             map[string]Nanos
	sessions                   []string
	latencyRatio               float64 // moving mean of the replicas' response times over their latency targets
	spillChance                float64 // chance that a read that no replica can serve goes to the primary
	readDemand, writeDemand    demand  // work of the short reads, and of the writes, that arrived
	// Work per second and weight of its warmed-up members, last known; 0: never known.
	warmWorkRate float64
	// Position that sessions without a recorded commit need: no dropped commit is later.
	commitFloor Nanos
}

type attempt struct {
	request          *request
	member           *member
	number           int
	sentAt           Nanos
	work             float64
	connectionIdle   Nanos // how long its connection had been idle; 0: a new connection
	ended, cancelled bool
	slowStart        bool  // its member was warming up when it was sent
	toPrimary        bool  // its member was taken for the primary when it was sent
	primaryDeniedAt  Nanos // when its member had last denied to be the primary, as it was sent
	lost             bool  // no response although its member responds to others; no longer counted in member.inFlight
}

type request struct {
	Request
	class                                    *Class
	group                                    *group
	arrivedAt, deadline, targetAt, notBefore Nanos
	drawnAt                                  Nanos // when slowStartDraw was drawn
	minPosition                              Nanos // position that a ReadYourWrites read needs; 0: none
	probes                                   int   // number of probes sent for it
	attempts, maybeExecuted                  []*attempt
	// Priority while queued; random numbers, compared to group.spillChance and to the random share of a warming member.
	value, spillDraw, slowStartDraw float64
	inFlight                        int
	done, queued                    bool
	queueCause                      Cause // why it was queued last
}

// firstTimeout estimates how much time the first request of a client has remaining, before its retries;
// confidence rises with requests that agree.
type firstTimeout struct {
	remaining  Nanos
	confidence float64
}

// Router makes the decisions of one gateway process. Use New.
type Router struct {
	settings   Settings
	rngState   uint64
	actions    []Action
	started    bool
	members    map[string]*member
	memberList []*member
	clock      membersClock
	groups     map[int]*group
	groupList  []*group
	requests   map[string]*request
	queue      []*request
	inFlight   []*attempt
	// Per class: typical response time, ns; number of responses in it, up to a limit.
	typicalLatency, sampleCount []float64
	latencyRatio                float64        // as group.latencyRatio, over all replicas
	probeCredit                 float64        // probes that may still be spent on finding a second fresh replica
	probeLatency                Nanos          // moving mean of probe durations
	firstTimeouts               []firstTimeout // per class
	// Evidence that the network drops idle connections silently, from -2 to 2; starts at -0.5.
	idleDropEvidence float64
	suspectIdle      Nanos // idle time of the last connection that seemed to have been dropped
	maxSafeIdle      Nanos // connections idle for longer are not reused
	// Moving share of attempts without a response although their members respond to others.
	lossRate                    float64
	rateCoverage                float64 // fraction of rateDecay covered by observations, 0 to 1
	retryBudget, recentRequests float64 // retries left; decaying count of the requests that arrived here
	meanWork                    float64 // moving mean of the expected work of a request
	now, minStalenessBound      Nanos
	decayedAt                   Nanos
	timerAt, nextDue            Nanos // when the pending timer fires; when something is due next

	knowsList              bool  // a list from discovery has been received
	nextCallAt, lastCallAt Nanos // when discovery is called next, 0: a watch is open; when it was last called
	retryCycle             Nanos // period in which each router calls once, while calls fail
}

// random returns a number in [0, 1), generated by splitmix64 from the router's own seed.
func (r *Router) random() float64 {
	r.rngState += 0x9e3779b97f4a7c15
	z := r.rngState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// scheduleStep asks for a Step at that time or earlier.
func (r *Router) scheduleStep(at Nanos) {
	r.nextDue = min(r.nextDue, max(at, r.now+r.settings.MinStepInterval))
}

// recordCommit records the commit position of a session's write.
func (g *group) recordCommit(session string, commit Nanos) {
	old := g.sessionCommits[session]
	if old == 0 {
		g.sessions = append(g.sessions, session)
	}
	g.sessionCommits[session] = max(old, commit)
}

// dropCommits drops the recorded commits up to limit and raises commitFloor to the newest of them.
func (g *group) dropCommits(limit Nanos) {
	keep := g.sessions[:0]
	for _, session := range g.sessions {
		if commit := g.sessionCommits[session]; commit <= limit {
			delete(g.sessionCommits, session)
			g.commitFloor = max(g.commitFloor, commit)
		} else {
			keep = append(keep, session)
		}
	}
	g.sessions = keep
}

// pruneCommits drops the commits that all members have applied; members that join later must reach
// commitFloor instead.
func (r *Router) pruneCommits(g *group) {
	applied := r.membersNow()
	for _, m := range g.probeOrder {
		if m.State == Up && m != g.primary {
			applied = min(applied, m.position)
		}
	}
	g.dropCommits(applied)
}

func isUp(m *member) bool { return m.State == Up }

// group returns the group with that number and creates it if needed.
func (r *Router) group(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id, sessionCommits: map[string]Nanos{}, spillChance: initialSpillChance,
			readDemand: newDemand(), writeDemand: newDemand()}
		r.groups[id], r.groupList = g, append(r.groupList, g)
	}
	return g
}

func (g *group) moveToFront(m *member) {
	copy(g.probeOrder[1:], g.probeOrder[:slices.Index(g.probeOrder, m)])
	g.probeOrder[0] = m
}

func (r *Router) ejected(m *member) bool { return r.now < m.ejectedUntil }

// routersAboveSmallFleet is the number of routers above smallFleet. Discovery handles their calls one after
// the other, and a call that times out costs it as much as one that it answers.
func (r *Router) routersAboveSmallFleet() float64 {
	return float64(max(r.settings.Routers-smallFleet, 0))
}

// roundInterval is the mean time between probe rounds. It grows with the fleet: all routers lose a primary at
// once, and members can answer few probes.
func (r *Router) roundInterval() Nanos {
	return Nanos(min(float64(minRoundInterval)*max(1, (smallFleet+r.routersAboveSmallFleet())/roundFleetSize),
		float64(maxEjection)))
}

// windowShare is this router's part of a window of attempts that a large fleet shares.
func (r *Router) windowShare(window float64) float64 {
	return max(1, window*min(1, float64(smallFleet)/float64(max(r.settings.Routers, 1))))
}

// observedSpan is the time in seconds that decaying sums cover. Right after the router's start one request must not pass for
// a high rate.
func (r *Router) observedSpan() float64 { return max(rateDecay*r.rateCoverage, minRateSpan) }

// connectionCostly tells whether an attempt at m needs a new connection that takes about as long as a
// response.
func (r *Router) connectionCostly(m *member) bool {
	return len(m.idleSince) == 0 && m.connectTime > slowConnectRatio*r.typicalLatency[0]
}

// firstEjection is the length of a first ejection: the mean time between this router's requests to one
// member, within limits. If each router of a fleet retried the member sooner, it would get as many requests
// as a healthy one.
func (r *Router) firstEjection() Nanos {
	interval := float64(len(r.memberList)) * r.observedSpan() / (r.recentRequests + 1e-9)
	return Nanos(min(max(float64(minEjection), interval*1e9), float64(maxEjection)))
}

// expectedWork is what a request is expected to cost a member, derived from its latency target. Response
// times include queueing: where queues grow, warmed-up members would seem to do more work, and a warming
// member's share of it would grow too.
func (r *Router) expectedWork(q *request) float64 { return float64(q.class.LatencyTarget) / 4e9 }

// observeReplicaLatency adds a replica's response time over its latency target to the means of its group and,
// as routers with little traffic get few samples, of all replicas.
func (r *Router) observeReplicaLatency(m *member, ratio float64) {
	if m != m.group.primary {
		m.group.latencyRatio += 1.5 * learningRate * (min(ratio, 2) - m.group.latencyRatio)
		r.latencyRatio += 1.5 * learningRate * (min(ratio, 2) - r.latencyRatio)
	}
}

// hasHealthyReplica tells whether some replica of the group is up, warmed up and not ejected.
func (r *Router) hasHealthyReplica(g *group) bool {
	return slices.ContainsFunc(g.probeOrder, func(m *member) bool {
		return m.State == Up && m != g.primary && !r.warming(m) && !r.ejected(m)
	})
}

// observeConnection learns from a response whether idle connections get dropped and how long connecting
// takes. Queueing at the member also leaves idle connections without a response, but then others that were
// idle as long get one.
func (r *Router) observeConnection(a *attempt, duration Nanos) {
	m := a.member
	switch {
	case a.connectionIdle > 0 && a.connectionIdle >= r.suspectIdle:
		r.idleDropEvidence = max(r.idleDropEvidence-0.5, -2)
		if r.idleDropEvidence < 0 {
			r.maxSafeIdle = r.settings.IdleTimeout
		}
	case a.connectionIdle == 0 && m.suspectIdle > 0 && a.sentAt >= m.suspectIdleAt:
		if r.idleDropEvidence = min(r.idleDropEvidence+1, 2); r.idleDropEvidence >= 1 {
			r.maxSafeIdle = min(r.maxSafeIdle, m.suspectIdle*3/4)
		}
		r.suspectIdle, m.suspectIdle = m.suspectIdle, 0
	}
	if a.connectionIdle == 0 {
		m.connectTime += 3 * learningRate * (max(0,
			float64(duration)-r.typicalLatency[a.request.Class]) - m.connectTime)
	}
}

// LearnedState is what a router has observed that other routers may use.
type LearnedState struct {
	Groups         []LearnedGroup
	TypicalLatency []Nanos // per class: the typical response time
	Restarts       []ObservedRestart
}

// ObservedRestart is a member that refused connections and later responded again: it has restarted in
// between.
type ObservedRestart struct {
	Member                     string
	UnreachableAt, ReachableAt Nanos
}

// LearnedGroup is what is known of a group: its primary, when that was last confirmed, and the work per
// second and weight that its warmed-up members do for this router now. Higher rates of the past are left out:
// clients that move from one router to another would be counted at both.
type LearnedGroup struct {
	Group         int
	Primary       string
	PrimarySeenAt Nanos
	WorkRate      float64
}

// Learned returns what the router knows now.
func (r *Router) Learned() (l LearnedState) {
	for id, g := range r.groups {
		x := LearnedGroup{Group: id, WorkRate: r.warmWorkRate(g)}
		if g.primaryTrusted && g.primary != nil {
			x.Primary, x.PrimarySeenAt = g.primary.ID, g.primary.primaryProvenAt
		}
		l.Groups = append(l.Groups, x)
	}
	slices.SortFunc(l.Groups, func(a, b LearnedGroup) int { return cmp.Compare(a.Group, b.Group) })
	for _, t := range r.typicalLatency {
		l.TypicalLatency = append(l.TypicalLatency, Nanos(t))
	}
	for _, m := range r.memberList {
		if m.reachableAt > m.StartedAt && m.reachableAt > m.unreachableAt {
			l.Restarts = append(l.Restarts, ObservedRestart{m.ID, m.unreachableAt, m.reachableAt})
		}
	}
	return l
}

// dropRemoved drops removed members without attempts in flight: new members always get new ids, so that in a
// long-running router they would accumulate.
func (r *Router) dropRemoved() {
	removed := func(m *member) bool { return m.State == Removed && m.inFlight == 0 }
	for _, m := range r.memberList {
		if removed(m) && m.group.primary == m {
			m.group.primary = nil
		}
	}
	for _, g := range r.groupList {
		g.probeOrder = slices.DeleteFunc(g.probeOrder, removed)
	}
	maps.DeleteFunc(r.members, func(_ string, m *member) bool { return removed(m) })
	r.memberList = slices.DeleteFunc(r.memberList, removed)
}

// applyReport stores what a member reports about itself, asked at that time.
func (r *Router) applyReport(m *member, report Report, askedAt Nanos) {
	if report.HasQueued || report.HasInFlight {
		m.reportedLoad = max(report.Queued+report.InFlight, 0)
	}
	if report.HasPosition {
		m.lastHeardAt = r.now
		if !r.observePosition(m, report.Position) {
			return // an error of the member, which may also concern its role
		}
	}
	if report.HasRole {
		r.applyReportedRole(m, report, askedAt)
	}
}

// decay lowers the weight of past observations and refills the budgets of warming members for the time that
// passed.
func (r *Router) decay() {
	if r.decayedAt == 0 {
		r.decayedAt = r.now
	}
	if r.now < r.decayedAt+50*ms {
		return
	}
	seconds := min(float64(r.now-r.decayedAt)/1e9, rateDecay)
	factor := math.Exp(-seconds / rateDecay)
	r.decayedAt, r.rateCoverage = r.now, 1-(1-r.rateCoverage)*factor
	r.assessWarming(seconds)
	r.reportMembers()
	r.maxSafeIdle = min(r.settings.IdleTimeout, r.maxSafeIdle+Nanos(float64(r.maxSafeIdle)*seconds/idleLimitDecay))
	r.recentRequests *= factor
	for _, m := range r.memberList { // without samples, members drift back to the common response time
		m.servedWork *= factor
		m.proven.pass(seconds)
		m.latencyRatio *= 1 - seconds/latencyRatioDecay
		m.connectTime *= factor
		m.slowness += (1 - m.slowness) * min(seconds/4, 1)
		m.recentLatencyRatio *= 1 - seconds/latencyRatioDecay
	}
	r.latencyRatio *= 1 - seconds/latencyRatioDecay
	for _, g := range r.groupList {
		g.latencyRatio *= 1 - seconds/latencyRatioDecay
		g.readDemand.pass(seconds)
		g.writeDemand.pass(seconds)
		r.pruneCommits(g)
	}
}
