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
	g                               *group
	saysPrimary, probing            bool
	cuts                            int     // 1: a connection broke under an attempt, no answer since; 2: its probe's too
	gone                            bool    // it refused a connection; no sign of life since
	goneAt, backAt                  Nanos   // when it last did, and when it was there again
	free                            []Nanos // since when each of its idle connections lies idle
	doubt, doubtAt                  Nanos   // how long the connection of a silent attempt had lain idle; 0: none
	setup                           float64 // moving mean of the time that a new connection adds, ns
	coldFrom                        Nanos   // when it started, as told or as its return shows; 0: long ago
	roleAt, heardAt, probedAt       Nanos   // dates: newest word on its role, last report, last probe
	pos                             Nanos   // it has applied everything up to here; never falls
	out                             int     // attempts in flight
	agreed                          SlowStartShare
	lastReply, bannedTill, shrunkAt Nanos
	ban                             Nanos   // length of the last ban; 0: well
	pacedAt                         Nanos   // when pace was last learnt
	pace, failing                   float64 // answer times relative to the class's; moving share of failures
	win                             float64 // window of attempts in flight
	lately, ease                    float64 // as strain, but soon learnt; what a cold member gets beyond its part
	waiting, strain                 float64 // reported load; moving mean of answer times over their aims
	coldChance                      float64 // of a request that draws now to go there while it is cold
	coldBudget, served              float64 // work it may get while cold; work answered for us, moving rate
}

type group struct {
	order            []*member // probe order: list order, the last primary found at the head
	primary          *member
	trusted, inRound bool
	denied           Nanos // the primary denied its role then; older word does not count
	asked            int   // place in order of the member that the round has asked
	askedAt, nextOne Nanos
	wantedAt         Nanos // when a request last wanted the primary in vain
	tokens           map[string]Nanos
	tokenKeys        []string
	strain           float64 // moving mean of the replicas' answer times over their aims
	spill            float64 // chance of a read that no replica can serve to go to the primary
	wantReads        float64 // work of the short reads, and of the writes, that came; moving sums
	wantWrites       float64
	warm             float64 // work a second and size that its warm members answered, last seen; 0: none yet
	floor            Nanos   // sessions without a token are held to this: all pruned tokens lie before it
}

type attempt struct {
	q                *request
	m                *member
	n                int
	at               Nanos
	work             float64
	idle             Nanos // how long its connection had lain idle; 0: a new one
	ended, cancelled bool
	lost             bool // without an answer though its member answers others: it no longer counts in member.out
}

type request struct {
	Request
	c                                   *Class
	g                                   *group
	arrived, deadline, aimAt, notBefore Nanos
	drawn                               Nanos // when luck was drawn
	need                                Nanos // position that an OwnWrites read needs; 0: none
	asks                                int   // probes made for it
	tries, mayHaveRun                   []*attempt
	worth, roll, luck                   float64 // value while held; against group.spill, member.coldChance
	out                                 int
	done, held                          bool
}

// patience is how much time first tries have left; votes says how sure that is.
type patience struct {
	left  Nanos
	votes float64
}

// Router holds the decisions of one driver. Use New.
type Router struct {
	s             Settings
	rng           uint64
	out           []Action
	born          bool
	members       map[string]*member
	all           []*member
	groups        map[int]*group
	gs            []*group
	reqs          map[string]*request
	held          []*request
	flying        []*attempt
	typ, seen     []float64  // of each class: typical answer time in ns; answers seen, to a limit
	strain        float64    // as of the groups, of all replicas
	askMore       float64    // probes for a second fresh replica that may still be made
	probeTime     Nanos      // moving mean
	firstTry      []patience // of each class
	dropped       float64    // evidence that idle connections are dropped unseen, -0.5 to 2
	doubtIdle     Nanos      // how long the last one lay idle that seemed to be
	safeIdle      Nanos      // connections that lay idle longer are not used
	losing        float64    // moving share of attempts that were lost, members being well
	known         float64    // part of rateOver that has been seen, 0 to 1
	budget, rate  float64    // further attempts left; requests here over about two seconds
	usual         float64    // moving mean of the work of requests
	now, minBound Nanos
	rateAt        Nanos
	wakeAt, next  Nanos // the pending wake-up; when something is due next

	callAt, calledAt Nanos // when discovery is called next, 0: a watch is open; when it was called last
	retryCycle       Nanos // in which each router calls once, while calls are refused
}

// random draws from [0, 1): splitmix64 from the router's own seed.
func (r *Router) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	z := r.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

// wake asks for a Step at that time or before.
func (r *Router) wake(at Nanos) { r.next = min(r.next, max(at, r.now+r.s.MinStepInterval)) }

// remember keeps the commit of a session's write.
func (g *group) remember(session string, commit Nanos) {
	old := g.tokens[session]
	if old == 0 {
		g.tokenKeys = append(g.tokenKeys, session)
	}
	g.tokens[session] = max(old, commit)
}

// forget drops the tokens up to low and raises the floor to the newest of them.
func (g *group) forget(low Nanos) {
	keep := g.tokenKeys[:0]
	for _, k := range g.tokenKeys {
		if t := g.tokens[k]; t <= low {
			delete(g.tokens, k)
			g.floor = max(g.floor, t)
		} else {
			keep = append(keep, k)
		}
	}
	g.tokenKeys = keep
}

// prune forgets tokens that every member has long passed; later members must reach the floor instead.
func (r *Router) prune(g *group) {
	low := r.now
	for _, m := range g.order {
		if m.State == Up && m != g.primary {
			low = min(low, m.pos)
		}
	}
	g.forget(low)
}

func isUp(m *member) bool { return m.State == Up }

// group returns the group of that number, new or known.
func (r *Router) group(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{tokens: map[string]Nanos{}, spill: startSpill}
		r.groups[id], r.gs = g, append(r.gs, g)
	}
	return g
}

func (g *group) toHead(m *member) {
	copy(g.order[1:], g.order[:slices.Index(g.order, m)])
	g.order[0] = m
}

func (r *Router) banned(m *member) bool { return r.now < m.bannedTill }

func (r *Router) cold(m *member) bool {
	if r.s.UnleasedShare > 0 { // by agreement: as clocks are apart, only the time since it was heard of counts
		return m.coldFrom > 0 && !m.agreed.WarmedUp && r.now < m.coldFrom+r.s.MaxWarmUpTime
	}
	return m.coldFrom > 0 && r.now < m.coldFrom+r.s.WarmUpTime+r.s.WarmUpTime/10
}

// coldRoom tells whether q fits in what m may get while it is cold.
func (r *Router) coldRoom(q *request, m *member) bool {
	return m.coldBudget >= r.work(q) || r.short(q) && q.drawn == r.now && q.luck < m.coldChance
}

// short tells whether q is no more than two requests in the mean: longer ones are no part of a cold member's chance.
func (r *Router) short(q *request) bool { return r.work(q) <= 2*r.usual }

// wantedOf is the work a second that is asked of m here: writes of a primary, short reads of a replica. One request
// more than have come: where few do, the next may follow a long gap and would have too good a chance.
func (r *Router) wantedOf(m *member) float64 {
	want := m.g.wantReads
	if m == m.g.primary {
		want = m.g.wantWrites
	}
	return (want + r.usual) / (rateOver*r.known + 1e-9)
}

// routersBeyond is how many routers there are beyond smallFleet: discovery works through their calls in turn, and one that
// times out there has cost it as much as one that is answered.
func (r *Router) routersBeyond() float64 { return float64(max(r.s.Routers-smallFleet, 0)) }

// roundWait is the mean time between rounds: all routers lose a primary at once, members answer few probes.
func (r *Router) roundWait() Nanos {
	return Nanos(min(float64(roundEvery)*max(1, (smallFleet+r.routersBeyond())/roundRouters), float64(maxBan)))
}

// share is that part of a window of attempts that many routers leave to each.
func (r *Router) share(win float64) float64 {
	return max(1, win*min(1, float64(smallFleet)/float64(max(r.s.Routers, 1))))
}

// dear tells whether m needs a new connection for an attempt and that costs about as much as an answer.
func (r *Router) dear(m *member) bool { return len(m.free) == 0 && m.setup > slowSetup*r.typ[0] }

// firstBan is how long a suspect is left alone at first: as long as this router sends to a member once in the
// mean, within limits. Each of a fleet that tried it sooner would send it as much as a member that is well.
func (r *Router) firstBan() Nanos {
	gap := float64(len(r.all)) * rateOver * r.known / (r.rate + 1e-9)
	return Nanos(min(max(float64(leastBan), gap*1e9), float64(maxBan)))
}

// draw gives q its chance at cold members, which holds for this Step, and counts it among what is asked of its group.
func (r *Router) draw(q *request) {
	q.luck, q.drawn = r.random(), r.now
	switch {
	case !r.short(q):
	case q.c.Consistency >= Linearizable:
		q.g.wantWrites += r.work(q)
	default:
		q.g.wantReads += r.work(q)
	}
}

// work is what a request is expected to cost a member, as the settings' aims have it. Answer times would tell of queues
// too: where they grow, what warm members do would seem more work, and a cold one's part of it with them.
func (r *Router) work(q *request) float64 { return float64(q.c.LatencyTarget) / 4e9 }

// feel takes a replica's answer time over its aim, for its group and, as quiet routers hear little, for all.
func (r *Router) feel(m *member, took float64) {
	if m != m.g.primary {
		m.g.strain += 1.5 * learn * (min(took, 2) - m.g.strain)
		r.strain += 1.5 * learn * (min(took, 2) - r.strain)
	}
}

// well tells whether some replica of the group is up, warm and not suspected.
func (r *Router) well(g *group) bool {
	return slices.ContainsFunc(g.order, func(m *member) bool {
		return m.State == Up && m != g.primary && !r.cold(m) && !r.banned(m)
	})
}

// returned takes m as started then, as told or, where the list is late, as refused connections show. Its
// budget is a part of one request: hundreds of routers with a whole one each would topple it.
func (r *Router) returned(m *member, at Nanos) {
	if r.s.UnleasedShare > 0 && at > 0 {
		at, m.agreed = r.now, SlowStartShare{}
	}
	m.coldFrom, m.coldBudget, m.ease = max(m.coldFrom, at), r.random()*float64(r.s.Classes[0].LatencyTarget)/4e9, 1
}

// agreed takes what was agreed on for a start; word of another start is old, or comes before its list.
func (r *Router) agreed(e SlowStartShare) {
	if m := r.members[e.Member]; m != nil && m.StartedAt == e.StartedAt {
		m.agreed = e
	}
}

// coldPart is the part of a cold member's budget that is this router's.
func (r *Router) coldPart(m *member) float64 {
	switch {
	case r.s.UnleasedShare == 0:
		return m.ease // of what this router alone has measured
	case r.now < m.agreed.Until:
		return r.s.UnleasedShare + m.agreed.LeasedShare
	}
	return r.s.UnleasedShare
}

// linkShown learns from an answer what its connection shows. Queues are silent on idle connections too, but
// then others that lay idle as long are answered.
func (r *Router) linkShown(a *attempt, took Nanos) {
	m := a.m
	switch {
	case a.idle > 0 && a.idle >= r.doubtIdle:
		r.dropped = max(r.dropped-0.5, -2)
		if r.dropped < 0 {
			r.safeIdle = r.s.IdleTimeout
		}
	case a.idle == 0 && m.doubt > 0 && a.at >= m.doubtAt:
		if r.dropped = min(r.dropped+1, 2); r.dropped >= 1 {
			r.safeIdle = min(r.safeIdle, m.doubt*3/4)
		}
		r.doubtIdle, m.doubt = m.doubt, 0
	}
	if a.idle == 0 {
		m.setup += 3 * learn * (max(0, float64(took)-r.typ[a.q.Class]) - m.setup)
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

// answered is the work a second and size that a group's warm members answer, as a moving mean; 0: it has none.
func (r *Router) answered(g *group) float64 {
	rate, n := 0.0, 1e-9
	for _, m := range g.order {
		if m.State == Up && !r.cold(m) {
			rate, n = rate+r.rateOf(m), n+m.Weight
		}
	}
	return rate / n
}

// size is that of all members together.
func (r *Router) size() (all float64) {
	for _, m := range r.all {
		all += m.Weight
	}
	return max(all, 0.01)
}

// rateOf is the work a second that m answers, as a moving mean.
func (r *Router) rateOf(m *member) float64 { return m.served / (rateOver*r.known + 1e-9) }

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
		x := LearnedGroup{Group: id, WorkRate: r.answered(g)}
		if g.trusted && g.primary != nil {
			x.Primary, x.PrimarySeenAt = g.primary.ID, g.primary.roleAt
		}
		l.Groups = append(l.Groups, x)
	}
	slices.SortFunc(l.Groups, func(a, b LearnedGroup) int { return cmp.Compare(a.Group, b.Group) })
	for _, t := range r.typ {
		l.TypicalLatency = append(l.TypicalLatency, Nanos(t))
	}
	for _, m := range r.all {
		if m.backAt > m.StartedAt && m.backAt > m.goneAt {
			l.Restarts = append(l.Restarts, ObservedRestart{m.ID, m.goneAt, m.backAt})
		}
	}
	return l
}

// forgetGone drops members that are gone and hold nothing: ids are always new, and a router runs for long.
func (r *Router) forgetGone() {
	gone := func(m *member) bool { return m.State == Removed && m.out == 0 }
	for _, m := range r.all {
		if gone(m) && m.g.primary == m {
			m.g.primary = nil
		}
	}
	for _, g := range r.gs {
		g.order = slices.DeleteFunc(g.order, gone)
	}
	maps.DeleteFunc(r.members, func(_ string, m *member) bool { return gone(m) })
	r.all = slices.DeleteFunc(r.all, gone)
}

// report keeps what a member says of itself.
func (r *Router) report(m *member, p Report) {
	if p.HasQueued || p.HasInFlight {
		m.waiting = max(p.Queued+p.InFlight, 0)
	}
	if p.HasPosition {
		m.heardAt, m.pos = r.now, max(m.pos, p.Position-safetyGap)
	}
	if p.HasRole { // an undated word is no newer than the last
		r.role(m, p.Primary, cmp.Or(p.Position, m.roleAt))
	}
}

// fade lets what is remembered of the past weigh less, and cold members earn their part of the time that passed.
func (r *Router) fade() {
	if r.now < r.rateAt+50*ms {
		return
	}
	s := min(float64(r.now-r.rateAt)/1e9, rateOver)
	f := math.Exp(-s / rateOver)
	r.rateAt, r.known = r.now, 1-(1-r.known)*f
	r.earn(s)
	r.safeIdle = min(r.s.IdleTimeout, r.safeIdle+Nanos(float64(r.safeIdle)*s/idleAgain))
	r.rate *= f
	for _, m := range r.all { // idle members drift back to the common pace
		m.served *= f
		m.strain *= 1 - s/strainOver
		m.setup *= f
		m.pace += (1 - m.pace) * min(s/4, 1)
		m.lately *= 1 - s/strainOver
	}
	r.strain *= 1 - s/strainOver
	for _, g := range r.gs {
		g.strain *= 1 - s/strainOver
		g.wantReads, g.wantWrites = g.wantReads*f, g.wantWrites*f
		r.prune(g)
	}
}
