package aspenshed

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// What a router remembers. Nothing is decided here: every use of it is in router.go.

type member struct {
	Member
	group                                        *group
	claimsPrimary, probePending                  bool
	connectionLosses                             int     // 1: a connection broke under an attempt, no answer since; 2: its probe's too
	unreachable                                  bool    // it refused a connection; no sign of life since
	unreachableAt, reachableAt                   Nanos   // when it last did, and when it was there again
	idleSince                                    []Nanos // since when each of its idle connections lies idle
	suspectIdle, suspectIdleAt                   Nanos   // how long the connection of a silent attempt had lain idle; 0: none
	connectTime                                  float64 // moving mean of the time that a new connection adds, ns
	warmingSince                                 Nanos   // when it started, as told or as its return shows; 0: long ago
	roleSeenAt, lastHeardAt, probedAt            Nanos   // dates: newest word on its role, last report, last probe
	position                                     Nanos   // it has applied everything up to here; never falls
	inFlight                                     int     // attempts in flight
	slowStart                                    SlowStartShare
	lastResponseAt, ejectedUntil, windowShrunkAt Nanos
	ejectionTime                                 Nanos   // length of the last ban; 0: well
	slownessAt                                   Nanos   // when pace was last learnt
	slowness, failureRate                        float64 // answer times relative to the class's; moving share of failures
	window                                       float64 // window of attempts in flight
	recentLatencyRatio, slowStartBoost           float64 // as strain, but soon learnt; what a cold member gets beyond its part
	reportedLoad, latencyRatio                   float64 // reported load; moving mean of answer times over their aims
	randomShare                                  float64 // of a request that draws now to go there while it is cold
	slowStartBudget, servedWork                  float64 // work it may get while cold; work answered for us, moving rate
}

type group struct {
	probeOrder                 []*member // probe order: list order, the last primary found at the head
	primary                    *member
	primaryTrusted, inRound    bool
	primaryDeniedAt            Nanos // the primary denied its role then; older word does not count
	probeIndex                 int   // place in order of the member that the round has asked
	roundProbedAt, nextRoundAt Nanos
	primaryWantedAt            Nanos // when a request last wanted the primary in vain
	sessionCommits             map[string]Nanos
	sessions                   []string
	latencyRatio               float64 // moving mean of the replicas' answer times over their aims
	spillChance                float64 // chance of a read that no replica can serve to go to the primary
	readDemand                 float64 // work of the short reads, and of the writes, that came; moving sums
	writeDemand                float64
	warmWorkRate               float64 // work a second and size that its warm members answered, last seen; 0: none yet
	commitFloor                Nanos   // sessions without a token are held to this: all pruned tokens lie before it
}

type attempt struct {
	request          *request
	member           *member
	number           int
	sentAt           Nanos
	work             float64
	connectionIdle   Nanos // how long its connection had lain idle; 0: a new one
	ended, cancelled bool
	lost             bool // without an answer though its member answers others: it no longer counts in member.out
}

type request struct {
	Request
	class                                    *Class
	group                                    *group
	arrivedAt, deadline, targetAt, notBefore Nanos
	drawnAt                                  Nanos // when luck was drawn
	minPosition                              Nanos // position that an OwnWrites read needs; 0: none
	probes                                   int   // probes made for it
	attempts, maybeExecuted                  []*attempt
	value, spillDraw, slowStartDraw          float64 // value while held; against group.spill, member.coldChance
	inFlight                                 int
	done, queued                             bool
}

// firstTimeout is how much time first tries have left; votes says how sure that is.
type firstTimeout struct {
	remaining  Nanos
	confidence float64
}

// Router holds the decisions of one driver. Use New.
type Router struct {
	settings                    Settings
	rngState                    uint64
	actions                     []Action
	started                     bool
	members                     map[string]*member
	memberList                  []*member
	groups                      map[int]*group
	groupList                   []*group
	requests                    map[string]*request
	queue                       []*request
	inFlight                    []*attempt
	typicalLatency, sampleCount []float64      // of each class: typical answer time in ns; answers seen, to a limit
	latencyRatio                float64        // as of the groups, of all replicas
	probeCredit                 float64        // probes for a second fresh replica that may still be made
	probeLatency                Nanos          // moving mean
	firstTimeouts               []firstTimeout // of each class
	idleDropEvidence            float64        // evidence that idle connections are dropped unseen, -0.5 to 2
	suspectIdle                 Nanos          // how long the last one lay idle that seemed to be
	maxSafeIdle                 Nanos          // connections that lay idle longer are not used
	lossRate                    float64        // moving share of attempts that were lost, members being well
	rateCoverage                float64        // part of rateOver that has been seen, 0 to 1
	retryBudget, recentRequests float64        // further attempts left; requests here over about two seconds
	meanWork                    float64        // moving mean of the work of requests
	now, minStalenessBound      Nanos
	decayedAt                   Nanos
	timerAt, nextDue            Nanos // the pending wake-up; when something is due next

	nextCallAt, lastCallAt Nanos // when discovery is called next, 0: a watch is open; when it was called last
	retryCycle             Nanos // in which each router calls once, while calls are refused
}

// random draws from [0, 1): splitmix64 from the router's own seed.
func (r *Router) random() float64 {
	r.rngState += 0x9e3779b97f4a7c15
	z := r.rngState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// scheduleStep asks for a Step at that time or before.
func (r *Router) scheduleStep(at Nanos) {
	r.nextDue = min(r.nextDue, max(at, r.now+r.settings.MinStepInterval))
}

// recordCommit keeps the commit of a session's write.
func (g *group) recordCommit(session string, commit Nanos) {
	old := g.sessionCommits[session]
	if old == 0 {
		g.sessions = append(g.sessions, session)
	}
	g.sessionCommits[session] = max(old, commit)
}

// dropCommits drops the tokens up to low and raises the floor to the newest of them.
func (g *group) dropCommits(low Nanos) {
	keep := g.sessions[:0]
	for _, k := range g.sessions {
		if t := g.sessionCommits[k]; t <= low {
			delete(g.sessionCommits, k)
			g.commitFloor = max(g.commitFloor, t)
		} else {
			keep = append(keep, k)
		}
	}
	g.sessions = keep
}

// pruneCommits forgets tokens that every member has long passed; later members must reach the floor instead.
func (r *Router) pruneCommits(g *group) {
	low := r.now
	for _, m := range g.probeOrder {
		if m.State == Up && m != g.primary {
			low = min(low, m.position)
		}
	}
	g.dropCommits(low)
}

func isUp(m *member) bool { return m.State == Up }

// group returns the group of that number, new or known.
func (r *Router) group(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{sessionCommits: map[string]Nanos{}, spillChance: initialSpillChance}
		r.groups[id], r.groupList = g, append(r.groupList, g)
	}
	return g
}

func (g *group) moveToFront(m *member) {
	copy(g.probeOrder[1:], g.probeOrder[:slices.Index(g.probeOrder, m)])
	g.probeOrder[0] = m
}

func (r *Router) ejected(m *member) bool { return r.now < m.ejectedUntil }

func (r *Router) warming(m *member) bool {
	if r.settings.UnleasedShare > 0 { // by agreement: as clocks are apart, only the time since it was heard of counts
		return m.warmingSince > 0 && !m.slowStart.WarmedUp && r.now < m.warmingSince+r.settings.MaxWarmUpTime
	}
	return m.warmingSince > 0 && r.now < m.warmingSince+r.settings.WarmUpTime+r.settings.WarmUpTime/10
}

// fitsSlowStart tells whether q fits in what m may get while it is cold.
func (r *Router) fitsSlowStart(q *request, m *member) bool {
	return m.slowStartBudget >= r.expectedWork(q) || r.isShort(q) && q.drawnAt == r.now && q.slowStartDraw < m.randomShare
}

// isShort tells whether q is no more than two requests in the mean: longer ones are no part of a cold member's chance.
func (r *Router) isShort(q *request) bool { return r.expectedWork(q) <= 2*r.meanWork }

// demandOn is the work a second that is asked of m here: writes of a primary, short reads of a replica. One request
// more than have come: where few do, the next may follow a long gap and would have too good a chance.
func (r *Router) demandOn(m *member) float64 {
	want := m.group.readDemand
	if m == m.group.primary {
		want = m.group.writeDemand
	}
	return (want + r.meanWork) / (rateDecay*r.rateCoverage + 1e-9)
}

// routersAboveSmallFleet is how many routers there are beyond smallFleet: discovery works through their calls in turn, and one that
// times out there has cost it as much as one that is answered.
func (r *Router) routersAboveSmallFleet() float64 {
	return float64(max(r.settings.Routers-smallFleet, 0))
}

// roundInterval is the mean time between rounds: all routers lose a primary at once, members answer few probes.
func (r *Router) roundInterval() Nanos {
	return Nanos(min(float64(minRoundInterval)*max(1, (smallFleet+r.routersAboveSmallFleet())/roundFleetSize), float64(maxEjection)))
}

// windowShare is that part of a window of attempts that many routers leave to each.
func (r *Router) windowShare(win float64) float64 {
	return max(1, win*min(1, float64(smallFleet)/float64(max(r.settings.Routers, 1))))
}

// connectionCostly tells whether m needs a new connection for an attempt and that costs about as much as an answer.
func (r *Router) connectionCostly(m *member) bool {
	return len(m.idleSince) == 0 && m.connectTime > slowConnectRatio*r.typicalLatency[0]
}

// firstEjection is how long a suspect is left alone at first: as long as this router sends to a member once in the
// mean, within limits. Each of a fleet that tried it sooner would send it as much as a member that is well.
func (r *Router) firstEjection() Nanos {
	gap := float64(len(r.memberList)) * rateDecay * r.rateCoverage / (r.recentRequests + 1e-9)
	return Nanos(min(max(float64(minEjection), gap*1e9), float64(maxEjection)))
}

// drawRandomShare gives q its chance at cold members, which holds for this Step, and counts it among what is asked of its group.
func (r *Router) drawRandomShare(q *request) {
	q.slowStartDraw, q.drawnAt = r.random(), r.now
	switch {
	case !r.isShort(q):
	case q.class.Consistency >= Linearizable:
		q.group.writeDemand += r.expectedWork(q)
	default:
		q.group.readDemand += r.expectedWork(q)
	}
}

// expectedWork is what a request is expected to cost a member, as the settings' aims have it. Answer times would tell of queues
// too: where they grow, what warm members do would seem more expectedWork, and a cold one's part of it with them.
func (r *Router) expectedWork(q *request) float64 { return float64(q.class.LatencyTarget) / 4e9 }

// observeReplicaLatency takes a replica's answer time over its aim, for its group and, as quiet routers hear little, for all.
func (r *Router) observeReplicaLatency(m *member, took float64) {
	if m != m.group.primary {
		m.group.latencyRatio += 1.5 * learningRate * (min(took, 2) - m.group.latencyRatio)
		r.latencyRatio += 1.5 * learningRate * (min(took, 2) - r.latencyRatio)
	}
}

// hasHealthyReplica tells whether some replica of the group is up, warm and not suspected.
func (r *Router) hasHealthyReplica(g *group) bool {
	return slices.ContainsFunc(g.probeOrder, func(m *member) bool {
		return m.State == Up && m != g.primary && !r.warming(m) && !r.ejected(m)
	})
}

// startWarming takes m as started then, as told or, where the list is late, as refused connections show. Its
// budget is a part of one request: hundreds of routers with a whole one each would topple it.
func (r *Router) startWarming(m *member, at Nanos) {
	if r.settings.UnleasedShare > 0 && at > 0 {
		at, m.slowStart = r.now, SlowStartShare{}
	}
	m.warmingSince, m.slowStartBudget, m.slowStartBoost = max(m.warmingSince, at), r.random()*float64(r.settings.Classes[0].LatencyTarget)/4e9, 1
}

// setSlowStartShare takes what was setSlowStartShare on for a start; word of another start is old, or comes before its list.
func (r *Router) setSlowStartShare(e SlowStartShare) {
	if m := r.members[e.Member]; m != nil && m.StartedAt == e.StartedAt {
		m.slowStart = e
	}
}

// slowStartShare is the part of a cold member's budget that is this router's.
func (r *Router) slowStartShare(m *member) float64 {
	switch {
	case r.settings.UnleasedShare == 0:
		return m.slowStartBoost // of what this router alone has measured
	case r.now < m.slowStart.Until:
		return r.settings.UnleasedShare + m.slowStart.LeasedShare
	}
	return r.settings.UnleasedShare
}

// observeConnection learns from an answer what its connection shows. Queues are silent on idle connections too, but
// then others that lay idle as long are answered.
func (r *Router) observeConnection(a *attempt, took Nanos) {
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
		m.connectTime += 3 * learningRate * (max(0, float64(took)-r.typicalLatency[a.request.Class]) - m.connectTime)
	}
}

// LearnedState is what a router has learned that others may use.
type LearnedState struct {
	Groups         []LearnedGroup
	TypicalLatency []Nanos // of each class: the usual answer time
	Restarts       []ObservedRestart
}

// ObservedRestart is a member that was seen gone and, later, there again: it has started in between.
type ObservedRestart struct {
	Member                     string
	UnreachableAt, ReachableAt Nanos
}

// warmWorkRate is the work a second and size that a group's warm members answer, as a moving mean; 0: it has none.
func (r *Router) warmWorkRate(g *group) float64 {
	rate, n := 0.0, 1e-9
	for _, m := range g.probeOrder {
		if m.State == Up && !r.warming(m) {
			rate, n = rate+r.workRate(m), n+m.Weight
		}
	}
	return rate / n
}

// totalWeight is that of all members together.
func (r *Router) totalWeight() (all float64) {
	for _, m := range r.memberList {
		all += m.Weight
	}
	return max(all, 0.01)
}

// workRate is the work a second that m answers, as a moving mean.
func (r *Router) workRate(m *member) float64 { return m.servedWork / (rateDecay*r.rateCoverage + 1e-9) }

// LearnedGroup is what is known of a group: its primary, the date of that word, and the work a second and size that
// its warm members answer for this router now. What was remembered of better times does not count: clients that move
// from one router to another would be counted at both.
type LearnedGroup struct {
	Group         int
	Primary       string
	PrimarySeenAt Nanos
	WorkRate      float64
}

// Learned tells what the router knows now.
func (r *Router) Learned() (l LearnedState) {
	for id, g := range r.groups {
		x := LearnedGroup{Group: id, WorkRate: r.warmWorkRate(g)}
		if g.primaryTrusted && g.primary != nil {
			x.Primary, x.PrimarySeenAt = g.primary.ID, g.primary.roleSeenAt
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

// dropRemoved drops members that are gone and hold nothing: ids are always new, and a router runs for long.
func (r *Router) dropRemoved() {
	gone := func(m *member) bool { return m.State == Removed && m.inFlight == 0 }
	for _, m := range r.memberList {
		if gone(m) && m.group.primary == m {
			m.group.primary = nil
		}
	}
	for _, g := range r.groupList {
		g.probeOrder = slices.DeleteFunc(g.probeOrder, gone)
	}
	maps.DeleteFunc(r.members, func(_ string, m *member) bool { return gone(m) })
	r.memberList = slices.DeleteFunc(r.memberList, gone)
}

// applyReport keeps what a member says of itself.
func (r *Router) applyReport(m *member, p Report) {
	if p.HasQueued || p.HasInFlight {
		m.reportedLoad = max(p.Queued+p.InFlight, 0)
	}
	if p.HasPosition {
		m.lastHeardAt, m.position = r.now, max(m.position, p.Position-positionMargin)
	}
	if p.HasRole { // an undated word is no newer than the last
		r.updateRole(m, p.Primary, cmp.Or(p.Position, m.roleSeenAt))
	}
}

// decay lets what is remembered of the past weigh less, and cold members earn their part of the time that passed.
func (r *Router) decay() {
	if r.now < r.decayedAt+50*ms {
		return
	}
	s := min(float64(r.now-r.decayedAt)/1e9, rateDecay)
	f := math.Exp(-s / rateDecay)
	r.decayedAt, r.rateCoverage = r.now, 1-(1-r.rateCoverage)*f
	r.refillSlowStart(s)
	r.maxSafeIdle = min(r.settings.IdleTimeout, r.maxSafeIdle+Nanos(float64(r.maxSafeIdle)*s/idleLimitDecay))
	r.recentRequests *= f
	for _, m := range r.memberList { // idle members drift back to the common pace
		m.servedWork *= f
		m.latencyRatio *= 1 - s/latencyRatioDecay
		m.connectTime *= f
		m.slowness += (1 - m.slowness) * min(s/4, 1)
		m.recentLatencyRatio *= 1 - s/latencyRatioDecay
	}
	r.latencyRatio *= 1 - s/latencyRatioDecay
	for _, g := range r.groupList {
		g.latencyRatio *= 1 - s/latencyRatioDecay
		g.readDemand, g.writeDemand = g.readDemand*f, g.writeDemand*f
		r.pruneCommits(g)
	}
}
