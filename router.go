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

	probeTimeout  = 200 * ms  // DESIGN: a member silent to a probe this long is passed over in a round
	roundEvery    = 250 * ms  // between rounds without a primary; DESIGN leaves the timer open
	roundRouters  = 40.0      // more routers than that begin rounds as often as that many
	smallFleet    = 8         // routers for which the constants here were found
	callSpacing   = 100 * ms  // between calls of a fleet, if time allows: discovery bore 16 a second of 60
	knownAfter    = 6000 * ms // protocol: after it, what discovery has and can be asked counts as known
	callDuration  = 2500 * ms // protocol: a call fails that waited for 2 s; and 0.5 s to connect
	callFailure   = 3000 * ms // the longest that a call takes to fail: silence shows after that
	leastRetry    = 250 * ms  // before a call that costs discovery nothing, as it never came there
	holdEvery     = 10 * ms   // how often a held request is tried again
	idleWake      = 1000 * ms // an idle router wakes only this often
	safetyGap     = 1 * ms    // taken off every known position: the wire rounds to milliseconds
	aimPart       = 0.35      // of an aim: answers slower than this on average shrink a member's window
	overflow      = 0.6       // the same when turned away or timed out: the queue there is far too long
	lossShare     = 0.08      // of attempts timed out at members that answer others: answers are being lost
	coldShare     = 0.7       // what is used of the multiple that topples a cold member; routers differ
	easeUp        = 1.2       // by how much more a cold member gets for each quick answer
	easeMost      = 1.6       // at most: beyond what a fleet measures, whose answers come late
	otherWarm     = 0.8       // of other groups' warm rate: what a group without one of its own goes by
	coldMemory    = 20.0      // s: how long a group's warm rate is remembered once its members are all cold
	rateOver      = 10.0      // s: time constant of moving rates
	longRead      = 3.0       // times the shortest class's answer time: a read long enough to hold up a log
	spillPart     = 0.5       // of an aim: answers of the primary slower than this turn reads away from it
	startSpill    = 0.5       // chance to spill before anything is known of a primary
	spillUp       = 0.03      // step of the chance to spill; it falls three times as fast
	shrink        = 0.85      // window factor at a slow or full answer; gentle, as one slow answer is chance
	startWindow   = 8.0       // attempts in flight a member gets before anything is known of it
	freshWindow   = 4.0       // the same for a newly found primary: held writes are let go in steps
	leastWindow   = 4.0       // a slow primary keeps this: one attempt at a time leaves its cores idle
	silentAfter   = 4.0       // typical answer times without any reply that make a member suspect
	leastBan      = 500 * ms  // a suspect is left alone this long, doubling up to maxBan
	maxBan        = 4000 * ms
	retryShare    = 0.15 // further attempts earned by each request; bounds load added in trouble
	retryBurst    = 20.0 // further attempts that may be saved up
	morePoints    = 0.01 // share of the result that probes for a second fresh replica may cost
	dearProbe     = 0.04 // points for a probe a request from which the primary's spare room comes first
	roomFrom      = 0.15 // answer time over the aim of a primary up to which it has room for all those reads
	roomUpTo      = 0.35 // and for none
	mostAsks      = 3    // probes that one read may cause
	tie           = 0.85 // costs closer than this count as equal: the zone, then chance decides
	farCost       = 10.0 // costs of a member in another zone, for each point that all crossing would cost
	slowSetup     = 0.8  // typical answer times that a new connection adds from which free ones are preferred
	idleAgain     = 30.0 // s: time constant in which a limit on idle connections is forgotten
	easy          = 0.4  // mean answer time over the aim at which a group still is taken as quick
	busy          = 10.0 // requests a second here from which windows bind as well
	leastAdmitted = 0.05 // chance of a read to be taken on however full the group: somebody must look
	strainOver    = 12.0 // s: a strain is forgotten so slowly; quiet routers hear little
	paceOver      = 5.0  // s between answers of a member from which one alone tells its pace
	learn         = 0.1  // weight of a new observation in moving averages
	heldBack      = 0.3  // of the worth: the price of an answer after half the time without a send
)

// New makes a router. Settings it cannot work with are an error.
func New(s Settings, seed uint64) (*Router, error) {
	r := &Router{s: s, rng: seed*2 + 1, members: map[string]*member{}, groups: map[int]*group{},
		reqs: map[string]*request{}, minBound: 400 * ms, budget: 2, dropped: -0.5,
		firstTry: make([]patience, len(s.Classes)), seen: make([]float64, len(s.Classes))}
	r.s.MinStepInterval, r.s.IdleTimeout = max(r.s.MinStepInterval, ms), cmp.Or(s.IdleTimeout, 3600*1000*ms)
	r.safeIdle = r.s.IdleTimeout
	for i, c := range s.Classes {
		if c.RetrySafety < Safe || c.RetrySafety > Unsafe || c.Consistency < Eventual || c.Consistency > Write {
			return nil, errors.New("aspenshed: class " + c.Name + ": unknown effect or need")
		}
		if c.Consistency == BoundedStaleness {
			r.minBound = min(r.minBound, c.MaxStaleness)
		}
		r.typ, r.seen[i] = append(r.typ, float64(c.LatencyTarget)/4), 1/learn // one quick answer is not typical
	}
	if len(s.Classes) == 0 {
		return nil, errors.New("aspenshed: no classes")
	}
	r.usual = r.typ[0] / 1e9
	return r, nil
}

// Step tells the router what has happened and returns what it wants done, in order.
func (r *Router) Step(now Nanos, events []Event) []Action {
	r.out = nil
	r.now = max(now, r.now)
	if !r.born {
		r.born = true
		r.callAt = r.turn(r.s.DrainGrace * 3 / 4) // what an old list lacks may count as known
		for _, u := range r.s.UnknownKeys {
			r.do(LogMessage{"setting not understood: " + u})
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MemberList:
			r.list(e)
		case DiscoveryFailed:
			r.callFailed(e)
		case Request:
			r.arrive(e)
		case AttemptResult:
			r.answer(e)
		case RequestWithdrawn:
			r.over(r.reqs[e.ID])
		case ProbeResult:
			r.probed(e)
		case SlowStartShare:
			r.agreed(e)
		case TimerFired: // maybe a little early, as timers are rounded
			if r.wakeAt <= r.now+r.s.MinStepInterval {
				r.wakeAt = 0
			}
		}
	}
	r.sweep()
	return r.out
}

// ---- discovery ----

func (r *Router) list(e MemberList) {
	if !e.Cached {
		r.callAt, r.retryCycle = 0, 0
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
			m = &member{Member: x, g: g, pace: 1, ease: 1, pacedAt: r.now, win: startWindow}
			r.members[x.ID], r.all, g.order = m, append(r.all, m), append(g.order, m)
			r.returned(m, x.StartedAt)
		}
		if x.StartedAt > m.StartedAt {
			m.pace, m.failing, m.bannedTill, m.ban, m.gone = 1, 0, 0, 0, false
			r.returned(m, x.StartedAt)
		}
		was := m.Primary
		m.Member = x
		m.Weight = max(x.Weight, 0.01)
		m.g.trusted = m.g.trusted && (x.State == Up || m != m.g.primary)
		// The list's word on roles is old: it only says whom to ask first.
		if r.s.ListHasRoles && x.Primary && (!was || m.g.primary == nil) && m.g.primary != m {
			m.g.toHead(m)
			if m.g.primary == nil && m.State == Up {
				// Nothing better is known. A write at the wrong one is turned away untouched, and costs less
				// than the questions of a whole fleet that has just started.
				m.g.primary, m.g.trusted = m, true
				m.win = r.share(freshWindow)
			} else if !m.g.trusted {
				m.g.inRound, m.g.nextOne = false, 0
			}
		}
	}
	for _, m := range r.all {
		if e.Complete && !seen[m.ID] && m.State != Removed && !(r.s.RemovalIsAdvisory && m.State == Up) {
			m.State, m.g.trusted = Removed, m.g.trusted && m.g.primary != m
		}
	}
	r.forgetGone()
}

// callFailed plans the next call to discovery after one that failed or a watch that ended. However it failed,
// a change counts as known knownAfter later and binds DrainGrace after that: the next call is over by then.
func (r *Router) callFailed(e DiscoveryFailed) {
	switch {
	case e.Unreachable:
		r.callAt = r.now + Nanos(float64(leastRetry)*(1+2*r.random()))
	case r.callAt == 0: // a watch ended, as it may for a whole fleet at once
		r.callAt = r.turn(cmp.Or(e.LastHeard, r.now) + r.callWithin() - r.now)
	default:
		r.callAt = r.retryAt(cmp.Or(e.LastHeard, r.calledAt) + r.callWithin())
	}
}

// callWithin is the time from a call, or from a watch's last line, within which the next call has to begin.
func (r *Router) callWithin() Nanos {
	return max(min(knownAfter, r.s.NotifiedAfter)+r.s.DrainGrace-callDuration, leastRetry)
}

// retryAt is when this router's slot comes in a cycle that the fleet shares, as all clocks agree: few calls,
// evenly spread, whenever each failed. If that is too late it calls sooner, so as to fail before its slot.
func (r *Router) retryAt(latest Nanos) Nanos {
	spaced := float64(callSpacing) * float64(r.s.Routers)
	r.retryCycle = max(2*r.retryCycle, leastRetry, Nanos(min(spaced, float64(knownAfter))))
	r.retryCycle = min(r.retryCycle, r.callWithin())
	slot := Nanos(float64(r.s.Rank) / float64(max(r.s.Routers, 1)) * float64(r.retryCycle))
	earliest := r.now + leastRetry/2
	at := earliest + ((slot-earliest)%r.retryCycle+r.retryCycle)%r.retryCycle
	if at > latest {
		at -= callFailure + leastRetry
	}
	return min(max(at, earliest), max(latest, r.now)) // one that is late already is made at once
}

// turn is when this router calls, among all that begin to call now; most ends the last one's turn.
func (r *Router) turn(most Nanos) Nanos {
	slot := math.Mod((float64(r.s.Rank)+r.random())/float64(max(r.s.Routers, 1)), 1)
	return r.now + Nanos(math.Abs(slot)*min(float64(callSpacing)*r.routersBeyond(), float64(max(most, 0))))
}

// ---- finding the primary ----

// rounds asks the members in list order, one at a time, while no primary is trusted.
func (r *Router) rounds(g *group) {
	if g.trusted || r.now > g.wantedAt+r.roundWait() {
		g.inRound = false
		return
	}
	if i := slices.IndexFunc(g.order, isUp); !r.s.MayProbe && i >= 0 { // the writes themselves go round
		if r.now >= g.nextOne {
			m := g.order[i]
			g.order = append(slices.Delete(g.order, i, i+1), m)
			g.primary, g.trusted, g.nextOne = m, true, r.now+roundEvery/10
		}
		return
	}
	if !g.inRound {
		if r.now >= g.nextOne {
			g.inRound, g.asked = true, -1
			g.nextOne = r.now + Nanos(float64(r.roundWait())*(0.5+r.random()))
			r.askNext(g)
		}
	} else if r.now >= g.askedAt+probeTimeout {
		r.askNext(g)
	}
	r.wake(max(g.nextOne, g.askedAt+probeTimeout))
}

// distrust ends the trust in m as a primary and has a round begin; rounds go on while a request wants one.
func (r *Router) distrust(m *member) {
	if g := m.g; m == g.primary {
		g.trusted, g.wantedAt = false, r.now
	}
}

func (r *Router) askNext(g *group) {
	for g.asked++; g.asked < len(g.order); g.asked++ {
		// One that refused connections is asked seldom, but asked: nothing else may show that it is back.
		if m := g.order[g.asked]; m.State == Up && (!m.gone || r.now > max(m.goneAt, m.probedAt)+maxBan) {
			g.askedAt = r.now
			r.probe(m)
			return
		}
	}
	g.inRound = false
}

// role takes word of a member's role, dated at. Newer word beats older.
func (r *Router) role(m *member, primary bool, at Nanos) {
	g := m.g
	if at < m.roleAt && primary == m.saysPrimary { // an old report that only repeats a newer answer
		at = m.roleAt
	}
	if at < m.roleAt || (primary && at <= g.denied && m == g.primary && !g.trusted) {
		return
	}
	m.saysPrimary, m.roleAt = primary, at
	if !primary {
		if g.primary == m {
			g.denied, g.trusted = at, false
		}
		return
	}
	p := g.primary
	if m.State != Up || p != nil && p != m && p.saysPrimary && at <= p.roleAt {
		return
	}
	if p != m {
		if p != nil {
			r.do(CloseIdleConnections{p.ID})
		}
		g.primary = m
		// Of its cold budget nothing: what all routers may send to a replica would now come at once.
		m.win, m.coldBudget = r.share(freshWindow), 0
	}
	g.toHead(m)
	g.trusted, g.inRound, g.nextOne = true, false, 0
}

func (r *Router) probe(m *member) {
	if m.State != Up || m.probing && r.now < m.probedAt+2*probeTimeout {
		return
	}
	m.probing, m.probedAt = true, r.now
	r.do(Probe{m.ID})
}

func (r *Router) probed(e ProbeResult) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	m.probing = false
	r.probeTime += Nanos(learn * float64(e.Duration-r.probeTime))
	switch {
	case m.cuts == 1 && e.Outcome == ConnectionLost: // the probe was cut too: still no word from the member
		m.cuts, m.g.askedAt = 2, r.now
		r.probe(m)
		return
	case m.cuts > 0 && e.Outcome != Served:
		r.suspect(m)
	}
	m.cuts = 0
	if e.Outcome == Served {
		if m.gone { // there again
			m.gone, m.ban, m.bannedTill, m.backAt = false, 0, 0, r.now
			r.returned(m, r.now)
		}
		r.report(m, e.Report)
		if m.ban <= r.firstBan() { // the first silence may be chance: then a sign of life counts
			m.lastReply = r.now
		}
	}
	g := m.g
	if g.inRound && !g.trusted && g.asked >= 0 && g.asked < len(g.order) && g.order[g.asked] == m {
		r.askNext(g)
	}
}

// ---- position and freshness ----

// fresh tells whether m is known to hold all that q needs, if sent now.
func (r *Router) fresh(q *request, m *member) bool {
	switch q.c.Consistency {
	case BoundedStaleness:
		return m.pos >= r.now-q.c.MaxStaleness+safetyGap
	case ReadYourWrites:
		return q.need == 0 || m.pos >= q.need
	}
	return q.c.Consistency == Eventual
}

// ---- member health ----

// suspect takes a member out of the draw for a while. At its end single reads try it again.
func (r *Router) suspect(m *member) {
	if r.banned(m) {
		return
	}
	first := r.firstBan()
	m.ban = min(max(2*m.ban, first), max(maxBan, 4*first))
	m.bannedTill = r.now + Nanos(float64(m.ban)*(0.5+r.random())) // routers must not come all at once
	if r.distrust(m); m.g.primary != m && r.s.MayProbe {
		r.probe(m)
	}
}

// broke takes note of a cut connection: maybe the network's doing, and it tells nothing of queues. A member
// that dies answers no probe.
func (r *Router) broke(m *member) {
	if m.cuts = 1; r.s.MayProbe {
		r.probe(m)
	} else {
		r.suspect(m)
	}
}

func (r *Router) healthy(m *member, took float64, c int) {
	m.lastReply, m.ban, m.bannedTill, m.cuts = r.now, 0, 0, 0
	r.seen[c] = min(r.seen[c]+1, 2/learn)
	r.typ[c] += (took - r.typ[c]) / r.seen[c]
	m.lately += r.weight(m) * (took/float64(r.s.Classes[c].LatencyTarget) - m.lately)
	r.paced(m, took/r.typ[c])
	m.failing -= learn * m.failing
	if g := m.g; m == g.primary { // sparing the primary: reads join its own work only while that stays quick
		if g.spill = min(1, g.spill+spillUp); took >= spillPart*float64(r.s.Classes[c].LatencyTarget) {
			g.spill = max(spillUp, (g.spill-spillUp)*(1-3*spillUp))
		}
	}
	r.losing -= learn / 2 * r.losing
	m.strain += learn * (took/float64(r.s.Classes[c].LatencyTarget) - m.strain)
	if m.ease = min(m.ease*easeUp, easeMost); m.lately > spillPart {
		m.ease = 1
	}
	r.feel(m, took/float64(r.s.Classes[c].LatencyTarget))
	switch {
	case m.strain > aimPart:
		r.narrow(m, shrink)
	case float64(m.out+1) < m.win/2: // not tried: nothing learnt
	default:
		m.win += max(1/m.win, 2/startWindow)
	}
}

// weight is that of a new observation of m. Where answers are seldom each counts for more: what a fleet knows
// together, each of its routers else learns too late.
func (r *Router) weight(m *member) float64 {
	return min(max(learn, float64(r.now-m.pacedAt)/1e9/paceOver), 0.5)
}

// paced learns how slow m is.
func (r *Router) paced(m *member, slow float64) {
	m.pace += r.weight(m) * (min(max(slow, 0.1), 10) - m.pace)
	m.pacedAt = r.now
}

// late takes an attempt that m turned away or left open as one that would have come later still: by its
// answers alone a primary that gives none would seem as quick as it was.
func (r *Router) late(m *member, took float64) {
	m.lately, m.ease = m.lately+r.weight(m)*(min(took, 2)-m.lately), 1
}

// room is the chance of a bounded read to go to the primary before a replica is asked how far it is: where
// probes are dear, as far as the primary is quick.
func (r *Router) room(g *group) float64 {
	if r.s.ProbeCost < dearProbe {
		return 0
	}
	return (roomUpTo - g.primary.lately) / (roomUpTo - roomFrom)
}

func (r *Router) narrow(m *member, by float64) {
	if r.now < m.shrunkAt+Nanos(r.typ[0]) {
		return
	}
	if m.shrunkAt, m.win = r.now, max(1, m.win*by); m == m.g.primary { // its writes have nowhere else to go
		m.win = max(m.win, r.share(leastWindow))
	}
}

// ---- member choice ----

// cost compares members: expected crowding for their size, slowness, failures and the zone.
func (r *Router) cost(m *member, q *request) float64 {
	c := (1 + max(float64(m.out), m.waiting)) / m.Weight * m.pace / math.Pow(1.05-m.failing, 2)
	if q.c.Consistency != Eventual { // the nearer to the primary's data, the sooner fresh
		c *= 1 + float64(m.heardAt-m.pos)/float64(r.minBound)
		if m.heardAt == 0 && r.cold(m) { // a copy that is seconds old
			c *= 5
		}
	}
	if m.Zone != r.s.Zone {
		c *= 1 + farCost*r.s.CrossZoneCost
	}
	if slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.m == m }) {
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
	if cb < tie*ca || ca >= tie*cb && a.Zone != r.s.Zone && b.Zone == r.s.Zone {
		return b
	}
	return a
}

// longOnes keeps long reads that any member may answer to the half of the replicas furthest behind, the later
// listed among equals: they may stop its log, so all routers leave the others fresh, and crowd no single one.
func (r *Router) longOnes(q *request, from []*member) []*member {
	few := max(1, (len(q.g.order)-1)/2) // of all: where most are cold, not all on the one that is warm
	if q.c.Consistency != Eventual || r.typ[q.Class] < longRead*slices.Min(r.typ) || len(from) <= few {
		return from
	}
	from = slices.Clone(from)
	age := func(m *member) Nanos { return -m.pos / r.minBound }
	slices.SortStableFunc(from, func(a, b *member) int { return cmp.Compare(age(a), age(b)) })
	return from[len(from)-few:]
}

// pick names the member for q, or nil: then it is held.
func (r *Router) pick(q *request) *member {
	g, p := q.g, q.g.primary
	if r.now < q.notBefore {
		return nil
	}
	if q.c.Consistency >= Linearizable {
		if g.trusted && p != nil && float64(p.out) < p.win && r.mayAttempt(q, p) {
			return p
		}
		g.wantedAt = r.now
		return nil
	}
	if m := r.lucky(q); m != nil {
		return m
	}
	var known, other, suspects []*member
	var full, asked bool
	for _, m := range g.order {
		if m == p || !r.mayAttempt(q, m) {
			continue
		}
		switch {
		case m.gone && !r.banned(m): // a probe shows cheaper than a read that it is back
			r.suspect(m)
		case r.banned(m) || (m.ban > 0 && m.out > 0):
			suspects = append(suspects, m)
		case float64(m.out) >= m.win: // full for now, but well
			full = true
		case q.c.Consistency == BoundedStaleness && m.heardAt-m.pos > q.c.MaxStaleness && r.now < m.heardAt+r.minBound/4: // behind
		case r.fresh(q, m):
			known = append(known, m)
		default:
			other = append(other, m)
		}
	}
	spare := g.trusted && p != nil && float64(p.out) < p.win/2 && !r.banned(p) && !r.cold(p) &&
		p.lately < roomUpTo && r.mayAttempt(q, p)
	if q.c.Consistency == BoundedStaleness && len(known) == 0 && spare && q.roll < r.room(g) {
		return p
	} else if q.c.Consistency != Eventual {
		most := 1 - len(known)
		if r.askMore >= 1 && len(known) < 2 && r.s.ProbeCost < dearProbe { // a choice of two, if not dear
			r.askMore--
			most++
		}
		asked = most > 0 && r.refreshPositions(q, most)
	}
	if linked := slices.DeleteFunc(slices.Clone(known), r.dear); len(linked) > 0 {
		known = linked
	}
	if len(known) > 0 {
		return r.twoChoices(q, r.longOnes(q, known))
	}
	if asked && r.now < q.arrived+q.c.LatencyTarget/8 {
		return nil // an answer is on its way that may show a fresh replica
	}
	g.wantedAt = r.now
	if spare && q.roll < g.spill {
		return p
	}
	if len(other) == 0 && !full && q.c.Consistency == Eventual { // never all members out at once
		other = suspects
	}
	return r.twoChoices(q, other)
}

// lucky names the cold member that a read gets as it comes: the warm ones may be swamped.
func (r *Router) lucky(q *request) *member {
	return r.twoChoices(q, slices.DeleteFunc(slices.Clone(q.g.order), func(m *member) bool {
		return m == q.g.primary || !r.cold(m) || r.banned(m) || !r.mayAttempt(q, m)
	}))
}

// askAgain is the time between probes of m: DESIGN's quarter of the shortest bound, longer for a member far
// behind, as it can only catch up slowly.
func (r *Router) askAgain(m *member) Nanos {
	return max(r.minBound/4, min((m.heardAt-m.pos)/2, 2000*ms))
}

// refreshPositions has up to most replicas asked for their position, each at most every askAgain, and tells
// whether an answer is on its way. The two-choice draw names whom: hundreds of routers must not all ask one.
func (r *Router) refreshPositions(q *request, most int) (waiting bool) {
	var from []*member
	for _, m := range q.g.order {
		switch {
		case m.State != Up || m == q.g.primary || r.banned(m):
		case m.probing && r.now < m.probedAt+20*ms+2*r.probeTime:
			waiting = true
			most--
		case r.now >= max(m.heardAt, m.probedAt)+r.askAgain(m):
			from = append(from, m)
		}
	}
	asks := mostAsks
	if !q.g.trusted { // all positions stand still until there is a primary
		asks = 1
	} else if r.s.ProbeCost >= dearProbe {
		asks--
	}
	for ; most > 0 && len(from) > 0 && q.asks < asks && r.s.MayProbe; most-- {
		m := r.twoChoices(q, from)
		from = slices.DeleteFunc(from, func(x *member) bool { return x == m })
		q.asks++
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
		m.g != q.g, m.State != Up, // the group; rule 3: drains and the gone
		r.s.MaxAttempts > 0 && len(q.tries) >= r.s.MaxAttempts,
		q.out > 0 && (!r.s.MayHedge || q.c.RetrySafety == Unsafe), // no second copy
		r.cold(m) && !r.coldRoom(q, m):                            // rule 4
		return false
	}
	if slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.m == m && !a.ended }) {
		return false
	}
	for _, a := range q.mayHaveRun { // rule 2
		if q.c.RetrySafety == Unsafe || q.c.RetrySafety == Deduplicated && (r.now >= a.at+q.c.DedupWindow ||
			q.c.DedupScope == DedupZone && a.m.Zone != m.Zone) {
			return false
		}
	}
	primary := m == m.g.primary && m.g.trusted
	switch q.c.Consistency { // rule 5
	case Write, Linearizable:
		return primary
	case BoundedStaleness, ReadYourWrites: // what a cold member turns away pushes it over too: it must be known as fresh
		return primary || r.fresh(q, m) || r.s.MembersCheckStaleness && !r.cold(m)
	}
	return true
}

// ---- cold members ----

// earn gives cold members their part of what warm members of their size answer for this router: those of the
// group, now or before all restarted together, else those of the other groups.
func (r *Router) earn(dt float64) {
	common, known := 0.0, 1e-9
	for _, g := range r.gs {
		w := r.answered(g)
		if p := g.primary; p != nil && p.State == Up && !r.cold(p) { // the busiest, and members are alike
			w = max(w, r.rateOf(p)/p.Weight)
			g.warm *= 1 - dt/coldMemory // without one there is nothing newer to go by
		}
		if g.warm = max(w, g.warm); g.warm > 0 {
			common, known = common+g.warm, known+1
		}
	}
	// Who has just started has no warm members to go by, but clients: their work, spread over all by size.
	least := r.rate / (rateOver*r.known + 1e-9) * r.usual / r.size()
	for _, m := range r.all {
		if r.cold(m) {
			part := r.s.InitialCapacity + (1-r.s.InitialCapacity)*float64(r.now-m.coldFrom)/float64(r.s.WarmUpTime)
			part = min(max(part, r.s.InitialCapacity), 1) * m.Weight * r.coldPart(m)
			part *= coldShare * r.s.OverloadFactor * max(m.g.warm, m.agreed.WorkRate, otherWarm*common/known, least)
			if most := part * float64(r.s.OverloadWindow) / 1e9; most >= r.usual { // enough for whole requests
				m.coldBudget, m.coldChance = min(m.coldBudget+dt*part, most), 0
			} else { // saved up, parts of one would be one of every router at once: a chance at each draw
				m.coldBudget, m.coldChance = 0, part/r.wantedOf(m)
			}
		}
	}
}

// ---- admission, attempts, refusals ----

func (r *Router) arrive(e Request) {
	if e.Class < 0 || e.Class >= len(r.s.Classes) || r.reqs[e.ID] != nil {
		r.do(Refuse{ID: e.ID})
		return
	}
	c, g := &r.s.Classes[e.Class], r.group(e.Group)
	q := &request{Request: e, c: c, g: g, roll: r.random(), arrived: r.now,
		deadline: r.now + e.Remaining, aimAt: r.now + c.LatencyTarget}
	r.rate++
	r.usual += learn / 2 * (r.work(q) - r.usual)
	r.draw(q)
	r.askMore = min(r.askMore+morePoints/max(r.s.ProbeCost, 1e-3), 3)
	r.budget = min(retryBurst, 2+retryShare*r.rate, r.budget+retryShare) // quiet routers must save up little
	if q.need = g.tokens[e.Session]; q.need == 0 {
		q.need = g.floor
	}
	if e.SinceCommit > 0 {
		q.need = r.now - e.SinceCommit + safetyGap
	}
	// First tries have the same time left, later ones less: the most frequent value is the first's.
	u := &r.firstTry[e.Class]
	if d := e.Remaining - u.left; max(d, -d) < u.left/20 {
		u.votes = min(u.votes+1, 20)
	} else if u.votes -= 0.5; u.votes < 0 {
		*u = patience{e.Remaining, 1}
	} else if u.votes >= 3 {
		q.aimAt -= max(c.ClientTimeout-e.Remaining, 0)
	}
	r.reqs[e.ID] = q
	if c.LateValue == 0 && r.now >= q.aimAt-c.LatencyTarget/8 || r.lucky(q) == nil && r.random() >= r.admit(q) {
		r.finish(q)
		return
	}
	r.place(q)
}

// admit is the chance of a request to be taken on. Among hundreds of quiet routers no window binds: each must
// send less by itself once its own answers say that the queues outlast the aims. The third power keeps those
// near the aim whatever the excess: at n times the capacity they settle at the cube root of n.
func (r *Router) admit(q *request) float64 {
	strain := (q.g.strain + r.strain) / 2
	if q.c.Consistency >= Linearizable && q.g.primary != nil {
		strain = min(q.g.primary.strain, q.g.primary.lately)
	}
	quick := easy + 0.1*min(1, r.rate/rateOver/busy) // busy routers have their windows
	return max(leastAdmitted, math.Pow(quick/max(strain, quick), 3))
}

// place sends q or holds it.
func (r *Router) place(q *request) {
	if m := r.pick(q); m != nil {
		r.send(q, m)
	} else if !q.held && q.out == 0 {
		q.held, r.held = true, append(r.held, q)
	}
}

func (r *Router) send(q *request, m *member) {
	a := &attempt{q: q, m: m, n: len(q.tries), at: r.now, work: r.work(q), idle: r.connection(m)}
	q.tries, q.mayHaveRun = append(q.tries, a), append(q.mayHaveRun, a)
	q.out, m.out = q.out+1, m.out+1
	if r.cold(m) && m.coldChance == 0 {
		m.coldBudget -= a.work
	}
	r.flying = append(r.flying, a)
	x := Send{ID: q.ID, Member: m.ID, Attempt: a.n} // rules 5 and 2 bind when it leaves
	if q.c.Consistency == BoundedStaleness && m != q.g.primary && !r.s.MembersCheckStaleness {
		x.SendBy = m.pos + q.c.MaxStaleness - safetyGap
	}
	if q.c.RetrySafety == Deduplicated && len(q.mayHaveRun) > 1 { // the first is the oldest
		x.SendBy = min(cmp.Or(x.SendBy, math.MaxInt64), q.mayHaveRun[0].at+q.c.DedupWindow-safetyGap)
	}
	r.do(x)
}

// connection takes a free connection of m and tells how long it lay idle; 0: a new one is needed. One that
// lay idle for longer than they live is left: something on the way drops them unseen.
func (r *Router) connection(m *member) (idle Nanos) {
	n := len(m.free)
	if n == 0 {
		return 0
	}
	if idle = max(r.now-m.free[n-1], 1); idle > r.safeIdle && m.setup <= slowSetup*r.typ[0] {
		m.free = nil
		r.do(CloseIdleConnections{m.ID})
		return 0
	}
	m.free = m.free[:n-1]
	return idle
}

// silent takes note of an attempt without an answer. If its connection had lain idle, that or the member is
// to blame: an answer on a new connection will tell. Where those are dear, free ones are kept.
func (r *Router) silent(a *attempt) {
	if a.m.doubt = a.idle; a.idle > 0 && a.m.setup <= slowSetup*r.typ[0] {
		a.m.doubtAt, a.m.free = r.now, nil
		r.do(CloseIdleConnections{a.m.ID})
	}
}

func (r *Router) answer(e AttemptResult) {
	q := r.reqs[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.tries) || q.tries[e.Attempt].ended {
		return
	}
	a := q.tries[e.Attempt]
	q.out, a.ended = q.out-1, true
	if !a.lost {
		a.m.out--
	}
	idle := e.Outcome.notExecuted()
	if idle {
		q.mayHaveRun = slices.DeleteFunc(q.mayHaveRun, func(x *attempt) bool { return x == a })
	}
	if e.Outcome == UnknownOutcome {
		r.do(LogMessage{"outcome not understood: taken as one that may have run"})
	}
	r.observe(a, e)
	if q.done || e.Final || e.Outcome == Served {
		r.over(q)
		return
	} else if q.out > 0 {
		return
	}
	if e.Outcome == NotSent || r.now >= q.deadline-r.s.MinStepInterval || !idle && q.c.RetrySafety == Unsafe ||
		e.Outcome != Ineligible && r.budget < 1 || r.s.MaxAttempts > 0 && len(q.tries) >= r.s.MaxAttempts {
		r.finish(q)
		return
	}
	if !idle {
		r.budget--
	} else if e.Outcome != Ineligible { // a connection and a rejection cost work too
		r.budget -= 0.5
	}
	if len(q.tries) > 1 || e.Outcome == Overloaded {
		q.notBefore = r.now + Nanos(float64(len(q.tries))*(0.5+r.random())*float64(10*ms))
	}
	r.place(q)
}

// observe learns from an attempt's end.
func (r *Router) observe(a *attempt, e AttemptResult) {
	m, q := a.m, a.q
	r.report(m, e.Report)
	if e.Role != RoleUnknown { // answered: its connection is free
		m.free = append(m.free, r.now)
		r.role(m, e.Role == RolePrimary, r.now)
	}
	if q.c.Consistency != Write {
		m.pos = max(m.pos, e.Position-safetyGap)
	}
	if (e.Outcome == TimedOut || e.Outcome == Cancelled) && (a.idle == 0 || r.dropped < 0) && // no dead link,
		!a.lost && (!r.banned(m) || !r.well(q.g)) { // nor one sick member of a group that has others
		r.feel(m, 1)
	}
	if (e.Outcome == TimedOut || e.Outcome == Cancelled || e.Outcome == Overloaded) && !a.lost {
		r.late(m, max(1, float64(e.Duration)/float64(q.c.LatencyTarget)))
	}
	switch e.Outcome {
	case Served:
		r.linkShown(a, e.Duration)
		if r.s.TrackSessionWrites && q.Session != "" && q.c.Consistency == Write {
			q.g.remember(q.Session, cmp.Or(e.Position, r.now))
		}
		m.served += a.work
		r.healthy(m, float64(e.Duration), q.Class)
	case Ineligible:
		m.lastReply = r.now
		if q.c.Consistency == Write && m == m.g.primary {
			m.g.denied = r.now
			r.distrust(m)
		}
	case Overloaded, ErrorResponse: // a hung member turns work away at its door: that is no sign of life
		if r.narrow(m, overflow); e.Outcome == ErrorResponse {
			m.lastReply = r.now
		} else {
			r.feel(m, 1.5)
		}
		if m.failing += learn * (1 - m.failing); m.failing > 0.4 {
			r.suspect(m)
		}
	case ConnectFailed, ConnectionLost, TimedOut, UnknownOutcome:
		if e.Outcome == TimedOut {
			r.silent(a)
		}
		if e.Outcome == ConnectFailed {
			m.setup = max(m.setup, float64(e.Duration))
		}
		m.failing += learn * (1 - m.failing)
		r.distrust(m)
		if e.Outcome == ConnectionLost {
			r.broke(m)
			break
		}
		if m.lastReply > a.at+Nanos(r.typ[q.Class]) {
			r.losing += learn / 2 * (1 - r.losing) // others were answered meanwhile: lost, if many are so
		}
		if e.Outcome == TimedOut && !a.lost && r.s.Routers > smallFleet {
			r.paced(m, float64(e.Duration)/r.typ[q.Class])
		}
		if r.losing < lossShare && !a.lost {
			m.strain += learn * (2 - m.strain)
		}
		if m.strain > aimPart && !a.lost {
			r.narrow(m, overflow)
		}
		if e.Outcome == ConnectFailed && e.Duration < r.s.ConnectTimeout/2 && r.s.MayProbe && !m.gone {
			m.gone, m.goneAt = true, r.now
		}
		if e.Outcome != TimedOut {
			r.suspect(m)
		}
	}
}

// finish gives the final answer: a refusal where a repeat does no harm, else a failure.
func (r *Router) finish(q *request) {
	if q.c.RetrySafety == Safe || len(q.mayHaveRun) == 0 || q.c.RetrySafety == Deduplicated && q.c.DedupScope == DedupAll {
		x := Refuse{ID: q.ID}
		if r.s.SendRetryAfter {
			x.RetryAfter = Nanos(float64(r.s.MaxRetryAfter) * (0.5 + r.random()/2)) // not all at once
		}
		r.do(x)
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.over(q)
}

// over ends q and cancels what is still out for it, where that does no harm.
func (r *Router) over(q *request) {
	if q == nil {
		return
	}
	q.done = true
	for _, a := range q.tries {
		if !a.ended && !a.cancelled && r.s.MayCancel && q.c.RetrySafety == Safe {
			a.cancelled = true
			r.do(Cancel{q.ID, a.n})
		}
	}
	if q.out == 0 {
		delete(r.reqs, q.ID)
	}
}

// sweep does what time asks for and asks to be woken for what is due next: a fixed period costs every idle
// router CPU, and a request that has less time left than the period its final answer (rule 1).
func (r *Router) sweep() {
	r.next = r.now + idleWake
	r.fade()
	if r.s.WatchDiscovery && r.callAt > 0 {
		if r.now >= r.callAt {
			r.calledAt, r.callAt = r.now, r.now+r.callWithin() // if nothing comes of this one
			r.do(Watch{})
		}
		r.wake(r.callAt)
	}
	r.watchFlights()
	for _, g := range r.gs {
		r.rounds(g)
	}
	r.release()
	if r.wakeAt <= r.now || r.next < r.wakeAt {
		r.wakeAt = r.next
		r.do(SetTimer{r.next - r.now, "sweep"})
	}
}

// watchFlights finds members that have gone silent and moves their safe reads elsewhere.
func (r *Router) watchFlights() {
	r.flying = slices.DeleteFunc(r.flying, func(a *attempt) bool { return a.ended })
	for _, a := range r.flying {
		wait := Nanos(silentAfter * r.typ[a.q.Class] * max(1, a.m.pace))
		if !a.lost && r.now > a.at+2*wait && a.m.lastReply > a.at+wait { // its connection fell silent:
			a.lost = true // it takes no place at a member that goes on answering
			a.m.out--
		}
		if due := max(a.at, a.m.lastReply) + wait; r.now > due {
			if !r.banned(a.m) {
				r.silent(a)
			}
			r.suspect(a.m)
		} else {
			r.wake(due + 1)
		}
	}
	for _, a := range r.flying {
		q := a.q
		patience := 2 * r.typ[q.Class]
		if !r.banned(a.m) { // a lone attempt without an answer, at a member that answers others
			patience *= silentAfter / 2 * max(1, a.m.pace)
		}
		if q.done || a.cancelled || q.c.RetrySafety != Safe || r.now >= q.aimAt || q.out > 1 || r.budget < 1 ||
			!r.banned(a.m) && !a.lost && r.losing < lossShare {
			continue
		}
		if r.wake(max(a.at+Nanos(patience), r.now+holdEvery)); float64(r.now-a.at) < patience {
			continue
		}
		if r.s.MayHedge {
			if m := r.pick(q); m != nil && m != a.m {
				r.budget--
				r.send(q, m)
			}
		} else if r.s.MayCancel {
			a.cancelled = true
			r.do(Cancel{q.ID, a.n})
		}
	}
}

// release sends held requests, the most valuable first, and ends those that can no longer be served in time.
func (r *Router) release() {
	now := r.held
	r.held = nil
	for _, q := range now { // worth for expected work
		if q.worth = q.c.Value / r.typ[q.Class]; r.now > q.aimAt {
			q.worth *= q.c.LateValue
		}
	}
	slices.SortStableFunc(now, func(a, b *request) int { return cmp.Compare(b.worth, a.worth) })
	for _, q := range now {
		q.held = false
		last := q.deadline
		if q.c.LateValue == 0 {
			last = min(last, q.aimAt)
		}
		last -= max(2*r.s.MinStepInterval, Nanos(r.typ[q.Class])) // later it would only be wasted work
		if q.c.LateValue < heldBack && len(q.tries) == 0 {        // a client left waiting for nothing costs that
			last = min(last, q.arrived+q.Remaining/2-2*holdEvery)
		}
		switch {
		case q.done:
		case r.now >= last && q.out == 0:
			r.finish(q)
		default:
			if r.now >= q.drawn+r.s.OverloadWindow {
				r.draw(q)
			}
			if r.place(q); q.held {
				r.wake(min(last, max(q.notBefore, r.now+holdEvery)))
			}
		}
	}
}
