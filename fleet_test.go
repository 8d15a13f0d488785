package aspenshed

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"aspenshed/internal/experiment/warmup"
)

// Tests of the sum of what a fleet of routers does: 80 of them, stepped in one goroutine.

const fleetSize = 80

func fleetSettings() Settings {
	s := testSettings()
	s.Routers, s.ProbeCost, s.MinStepInterval, s.ResponsesHaveRole = fleetSize, 0.08, ms, true
	s.WarmUpTime, s.InitialCapacity, s.OverloadFactor, s.OverloadWindow = 16*sec, 0.15, 2.5, 1500*ms
	return s
}

// newFleet makes fleetSize routers and passes each the list.
func newFleet(t *testing.T, s Settings, list MemberList) []*harness {
	return newFleetOf(t, fleetSize, s, list)
}

func newFleetOf(t *testing.T, n int, s Settings, list MemberList) (rs []*harness) {
	for i := range n {
		r, err := New(s, uint64(i)*977+5)
		if err != nil {
			t.Fatal(err)
		}
		g := &harness{t: t, router: r, now: 100 * sec}
		g.step(0, list)
		rs = append(rs, g)
	}
	return rs
}

// driveFleet sends rps requests per second to random routers. It passes each router the results of its sends after their
// duration, rounded up to a tick, and those of its probes one tick later.
func driveFleet(rs []*harness, span Nanos, rps float64, ask func(*harness) Request,
	sent func(router int, at Nanos, x Send) AttemptResult, probed func(string, Nanos) Report) {
	const tick = 50 * ms
	rng, pending := rand.New(rand.NewSource(int64(len(rs)))), map[*harness]map[Nanos][]Event{}
	post := func(g *harness, at Nanos, e Event) {
		if pending[g] == nil {
			pending[g] = map[Nanos][]Event{}
		}
		pending[g][at] = append(pending[g][at], e)
	}
	for at := Nanos(0); at < span; at += tick {
		for left := rng.ExpFloat64(); left < rps*float64(tick)/1e9; left += rng.ExpFloat64() {
			g := rs[rng.Intn(len(rs))]
			post(g, at, ask(g))
		}
		for i, g := range rs {
			events := append(pending[g][at], TimerFired{})
			delete(pending[g], at)
			for _, x := range g.step(tick, events...) {
				switch x := x.(type) {
				case Send:
					a := sent(i, at, x)
					a.ID, a.Member, a.Attempt, a.Final = x.ID, x.Member, len(g.router.requests[x.ID].attempts)-1,
						a.Outcome == Served
					post(g, at+max((a.Duration+tick-1)/tick, 1)*tick, a)
				case Probe:
					post(g, at+tick, ProbeResult{Member: x.Member, Outcome: Served, Duration: ms, Report: probed(x.Member, g.now)})
				}
			}
		}
	}
	for _, g := range rs { // what has not ended by now ends in the next Step
		for _, at := range slices.Sorted(maps.Keys(pending[g])) {
			g.step(0, pending[g][at]...)
		}
	}
}

// serve passes in one request, has it served and returns the member that served it.
func (g *harness) serve(after Nanos, class int, took Nanos, role Role) (member string) {
	for _, x := range sends(g.step(after, g.request(class))) {
		member = x.Member
		g.step(0, AttemptResult{ID: x.ID, Member: member, Outcome: Served, Final: true, Duration: took, Role: role})
	}
	return member
}

func primary(id string) Member {
	m := up(id)
	m.Primary = true
	return m
}

// Guards members against the probes of a fleet that starts at once: each router probed for the primary although the
// list names it, and no write was sent before a response.
func TestListedPrimaryServesStartingFleet(t *testing.T) {
	list := completeList(primary("a"), up("b"), up("c"))
	list.Cached = true
	sent, probes := 0, 0
	for _, g := range newFleet(t, fleetSettings(), list) {
		acts := g.step(ms, g.request(writeClass))
		sent, probes = sent+len(sends(acts)), probes+count[Probe](acts)
	}
	if sent != fleetSize || probes != 0 {
		t.Errorf("%d writes sent and %d probes, want %d and none", sent, probes, fleetSize)
	}
}

// If the listed primary rejects a write, a probe round starts at once and the write is queued: the list may be
// outdated.
func TestWrongListedPrimaryStartsProbeRound(t *testing.T) {
	g := newHarness(t, fleetSettings())
	q := g.request(writeClass)
	g.step(0, completeList(primary("a"), up("b"), up("c")), q)
	acts := g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: Ineligible, Role: RoleReplica, Duration: ms})
	if len(sends(acts)) != 0 || count[Probe](acts) != 1 || count[Refuse](acts) != 0 {
		t.Errorf("after the write was rejected: %v", acts)
	}
}

// Guards members against the probe rounds of a whole fleet without a primary: each router probed all members every
// 250 ms.
func TestFleetSendsFewRoundProbes(t *testing.T) {
	list := completeList(up("a"), up("b"), up("c"), up("d"), up("e"), up("f"))
	probes := 0
	const seconds = 4
	for _, g := range newFleet(t, fleetSettings(), list) {
		for i := range seconds * 100 {
			events := []Event{TimerFired{}}
			if i%25 == 0 {
				events = append(events, g.request(writeClass))
			}
			for acts := g.step(10*ms, events...); len(acts) > 0; {
				var results []Event
				for _, a := range acts {
					if p, ok := a.(Probe); ok {
						probes++
						results = append(results, ProbeResult{Member: p.Member, Outcome: Served, Duration: ms,
							Report: Report{HasRole: true}})
					}
				}
				if acts = nil; results != nil {
					acts = g.step(0, results...)
				}
			}
		}
	}
	if each := float64(probes) / seconds / 6; each < 10 || each > 1.5*4*roundFleetSize {
		t.Errorf("%.0f probes per second and member, want about %.0f", each, 4*roundFleetSize)
	}
}

// Guards a group that gets only writes and whose primary refused one connection: the primary is found again although
// only probe rounds reach it.
func TestPrimaryIsFoundAgainAfterRefusedConnection(t *testing.T) {
	s := fleetSettings()
	s.ConnectTimeout = 250 * ms
	g := newHarness(t, s)
	q := g.request(writeClass)
	g.step(0, completeList(primary("a"), up("b")), q)
	g.step(ms, AttemptResult{ID: q.ID, Member: "a", Outcome: ConnectFailed, Duration: ms})
	for range 100 {
		var results []Event
		for _, a := range g.step(100*ms, TimerFired{}, g.request(writeClass)) {
			if p, ok := a.(Probe); ok {
				results = append(results, ProbeResult{Member: p.Member, Outcome: Served, Duration: ms,
					Report: Report{HasRole: true,
						Primary: p.Member == "a", HasPosition: true, Position: g.now}})
			} else if x, ok := a.(Send); ok && x.Member == "a" {
				return
			}
		}
		if len(sends(g.step(ms, results...))) > 0 {
			return
		}
	}
	t.Error("no write went to the primary in 10 s")
}

// Guards against needless probes, which members can answer few of, where the primary has spare capacity for the read;
// and the writes of a primary that has none. Where probes are cheap they come first, as in the design.
func TestCostlyProbesComeAfterSpareCapacity(t *testing.T) {
	for _, c := range []struct {
		price    float64
		took     Nanos
		from, to float64 // share of reads that go to the primary without a probe
	}{{0.08, 20 * ms, 1, 1}, {0.08, 120 * ms, 0.3, 0.7}, {0.08, 300 * ms, 0, 0}, {0.01, 20 * ms, 0, 0}} {
		s := fleetSettings()
		s.ProbeCost = c.price
		direct := 0
		for _, g := range newFleet(t, s, completeList(primary("a"), up("b"), up("c"))) {
			for range 20 {
				g.serve(3*sec, writeClass, c.took, RolePrimary)
			}
			acts := g.step(sec, g.request(boundedClass))
			if x := sends(acts); len(x) == 1 && x[0].Member == "a" && count[Probe](acts) == 0 {
				direct++
			}
		}
		if share := float64(direct) / fleetSize; share < c.from || share > c.to {
			t.Errorf("%+v: %.2f of the reads went to the primary without a probe", c, share)
		}
	}
}

// Quick responses do not raise the budget of a warming primary above what its assumed capacity allows.
func TestQuickResponsesDoNotRaiseSlowStartBudget(t *testing.T) {
	for _, took := range []Nanos{50 * ms, 390 * ms} {
		s := fleetSettings()
		g := newHarness(t, s)
		m := primary("a")
		m.StartedAt = g.now
		g.step(0, completeList(m, up("b")))
		for range 300 {
			g.serve(50*ms, writeClass, took, RolePrimary)
		}
		x := g.router.members["a"]
		if most := s.OverloadFactor * x.diagnostics.capacity * float64(s.OverloadWindow) / 1e9; x.slowStartLimit > most || x.slowStartLimit <= 0 {
			t.Errorf("responses in %d ms: budget %.2f s of work, %.2f overload it", took/ms, x.slowStartLimit, most)
		}
	}
}

// fleetCase is a fleet that shares one warming member.
type fleetCase struct {
	routers, groups int
	writes          bool // the member becomes the primary; otherwise it is a replica
	curve           warmup.Curve
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d routers, %d groups, writes %t, warm %v", c.routers, c.groups, c.writes, c.curve)
}

const (
	sharedRate    = 30.0 // requests per second and group, over all routers
	sharedWork    = 0.1  // s, of each request
	sharedAge     = 3 * sec
	sharedLasting = 12 * sec
)

// class is the class of all requests.
func (c fleetCase) class() int {
	if c.writes {
		return writeClass
	}
	return deduplicatedClass
}

// warmRate is the number of requests per second that a warmed-up member serves.
func (c fleetCase) warmRate() float64 {
	if c.writes {
		return sharedRate
	}
	return sharedRate / 2 // two replicas share the reads
}

// playSharedStart plays a fleet that knows its warmed-up members when another one starts. That one serves at its present
// capacity. It returns the member and the number of requests that it has served.
func playSharedStart(t *testing.T, c fleetCase) (*warmup.Database, int) {
	s, list := fleetSettings(), completeList()
	s.Routers = c.routers
	for i := range 3 * c.groups {
		list.Members = append(list.Members, Member{ID: fmt.Sprint(i), Group: i / 3, Primary: i%3 == 0, Weight: 1, State: Up})
	}
	rs, primaryID, served, begin := newFleetOf(t, c.routers, s, list), "0", 0, Nanos(0)
	n := &warmup.Database{Limits: warmup.Limits{Capacity: c.warmRate() * sharedWork, MeanWork: sharedWork, Curve: c.curve,
		InitialCapacity: s.InitialCapacity, WarmUpTime: time.Duration(s.WarmUpTime), OverloadFactor: s.OverloadFactor,
		OverloadWindow: time.Duration(s.OverloadWindow)}}
	role := map[bool]Role{true: RolePrimary, false: RoleReplica}[c.writes]
	run := func(span Nanos) {
		begin = rs[0].now
		driveFleet(rs, span, sharedRate*float64(c.groups), func(g *harness) Request {
			q := g.request(c.class())
			q.Group = g.requestCount % c.groups
			return q
		}, func(router int, at Nanos, x Send) AttemptResult {
			if c.writes && x.Member != primaryID {
				return AttemptResult{Outcome: Ineligible, Role: RoleReplica}
			}
			if x.Member != "n" {
				return AttemptResult{Outcome: Served, Duration: 100 * ms, Role: role}
			}
			now := int64(begin + at)
			n.Arrive(now, sharedWork, router)
			if n.Delay(now) > time.Second {
				return AttemptResult{Outcome: Overloaded, Duration: ms, Role: role}
			}
			served++
			return AttemptResult{Outcome: Served, Duration: Nanos(n.Enqueue(now, sharedWork)), Role: role}
		}, func(m string, now Nanos) Report {
			return Report{HasRole: true, Primary: m == primaryID, HasPosition: true, Position: now}
		})
	}
	run(20 * sec)
	n.Start(int64(rs[0].now))
	change := MemberList{Members: []Member{{ID: "n", Weight: 1, State: Up, StartedAt: rs[0].now}}}
	if c.writes {
		change.Members = append(change.Members, Member{ID: "0", State: Removed})
		primaryID = ""
	}
	for _, g := range rs {
		g.step(0, change)
	}
	if c.writes { // the new member is primary only after a while
		run(sharedAge)
		primaryID = "n"
	}
	run(sharedLasting)
	return n, served
}

// Guards a warming member against overload by the fleet, and against being left idle: no router's share of the budget
// holds one whole read. Rounded up that was 80 reads at once, rounded down none at all, as an expiring permission a
// tenth. The same holds for a new primary and the writes that all routers have queued by then. The sum must not
// depend on the number of routers or groups. The member serves at least half of what it can.
func TestWarmingMemberIsSharedByFleet(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {8, 1}, {80, 1}, {300, 1}, {80, 15}, {300, 3}} {
		for _, writes := range []bool{false, true} {
			for _, curve := range warmup.Curves {
				c := fleetCase{routers: size[0], groups: size[1], writes: writes, curve: curve}
				if writes && c.groups > 1 {
					continue
				}
				t.Run(c.String(), func(t *testing.T) {
					t.Parallel()
					c.check(t)
				})
			}
		}
	}
}

func (c fleetCase) check(t *testing.T) {
	member, served := playSharedStart(t, c)
	if w := member.Worst; w.Ratio > 1 {
		t.Errorf("%.0f requests in the window that ends %v after the start, %.0f overload it", w.Arrived, w.Age, w.Limit)
	}
	from := time.Duration(0)
	if c.writes {
		from = time.Duration(sharedAge)
	}
	if can := member.Servable(from, from+time.Duration(sharedLasting)); float64(served) < can/2 {
		t.Errorf("%d requests served, half of %.0f is wanted", served, can)
	}
}

// callsByTenth steps routers that watch discovery and counts their calls per tenth of a second. Each call is answered
// at once.
func callsByTenth(rs []*harness, span Nanos, first Event) []int {
	by := make([]int, span/(100*ms))
	for _, g := range rs {
		next := first
		for at := Nanos(0); at < span; at += 20 * ms {
			events := []Event{TimerFired{}}
			if next != nil {
				events, next = append(events, next), nil
			}
			if count[Watch](g.step(20*ms, events...)) > 0 {
				by[at/(100*ms)]++
				next = MemberList{}
			}
		}
	}
	return by
}

func sum(by []int) (n int) {
	for _, x := range by {
		n += x
	}
	return n
}

// Guards rule 3 where lists are watched: routers count as notified of what an outdated list lacks after 10 s, of what
// a watch misses that ended or fell silent after 6 s, and must follow it 2 s later. Of 300 gateways that started, or
// whose watch fell silent, some called 12 and 36 s later. Also guards discovery: calls are spread out, however many
// routers call.
func TestDiscoveryIsCalledBeforeNotificationsBind(t *testing.T) {
	list := completeList(primary("a"), up("b"))
	for _, n := range []int{1, 8, fleetSize, 300, 1024} {
		for name, c := range map[string]struct {
			silent, most Nanos // how long the watch has been silent; the latest start of a call
		}{"start": {-1, 1500 * ms}, "a watch that ended": {0, 6 * sec}, "a silent watch": {3 * sec, 3 * sec}} {
			s := fleetSettings()
			s.WatchDiscovery, s.Routers, s.DrainGrace = true, n, 2*sec
			var rs []*harness
			for i := range n {
				s.Rank = i
				r, _ := New(s, uint64(i)*977+5)
				g := &harness{t: t, router: r, now: 100 * sec}
				if rs = append(rs, g); c.silent >= 0 {
					g.step(0, list)
				}
			}
			var first Event = MemberList{Complete: true, Cached: true, Members: list.Members}
			if c.silent >= 0 {
				first = DiscoveryFailed{LastHeard: rs[0].now + 20*ms - c.silent}
			}
			by := callsByTenth(rs, 40*sec, first)
			// The mean number of calls in a tenth of a second.
			even := float64(n) / min(max(float64(n-smallFleet), 1)*float64(callSpacing),
				float64(c.most)) * float64(100*ms)
			if in := sum(by[:(c.most+100*ms)/(100*ms)]); in != n || sum(by) != n {
				t.Errorf("%d gateways, %s: %d called in time, %d in all", n, name, in, sum(by))
			} else if most := slices.Max(by); float64(most) > 1.5*even+2 {
				t.Errorf("%d gateways, %s: %d calls in a tenth of a second, mean %.1f", n, name, most, even)
			}
		}
	}
}

// Guards against learning too late: with a response every few seconds a slow member must show after two of them.
// Where responses are frequent, a single one may be chance.
func TestRareResponsesCountMore(t *testing.T) {
	for gap, want := range map[Nanos]bool{3 * sec: true, 50 * ms: false} {
		g := newHarness(t, fleetSettings())
		g.step(0, completeList(primary("a"), up("b")))
		for range 2 {
			g.serve(gap, anyClass, 380*ms, RoleReplica)
		}
		if slowness := g.router.members["b"].slowness; (slowness > 1.5) != want {
			t.Errorf("a response every %v: slowness %.2f after two that took four times as long", gap, slowness)
		}
	}
}

// Guards the writes of a warming primary: the mean of its group says little about what a primary, the busiest member,
// can do.
func TestWarmingPrimaryUsesRateOfFormerPrimary(t *testing.T) {
	g := newHarness(t, fleetSettings())
	g.step(0, completeList(primary("a"), up("b"), up("c"), up("d")))
	for range 300 {
		g.serve(100*ms, writeClass, 100*ms, RolePrimary)
	}
	if rate := g.router.groupList[0].warmWorkRate; rate < 0.7 {
		t.Errorf("work rate of a warmed-up member %.2f s per second, the primary did 1", rate)
	}
}

// Guards against sending an unresponsive member as many requests as a healthy one: each of 80 routers retried it
// after half a second, more often than it would normally send there. Where requests are frequent, ejections stay
// short.
func TestEjectionLastsAsLongAsRequestInterval(t *testing.T) {
	for every, want := range map[Nanos][2]Nanos{20 * ms: {250 * ms, 750 * ms}, 900 * ms: {1350 * ms, 4050 * ms},
		60 * sec: {2 * sec, 6 * sec}} {
		g := newHarness(t, fleetSettings())
		g.step(0, completeList(primary("a"), up("b"), up("c")))
		for range 60 {
			g.serve(every, writeClass, 50*ms, RolePrimary)
		}
		g.router.eject(g.router.members["b"], StateSilent)
		if got := g.router.members["b"].ejectedUntil - g.now; got < want[0] || got > want[1] {
			t.Errorf("a request every %d ms: ejected for %d ms, want %d to %d", every/ms, got/ms, want[0]/ms,
				want[1]/ms)
		}
	}
}

// Guards a new primary against the queued writes of a whole fleet, in which each router had the window of a small
// fleet.
func TestNewPrimaryGetsFewWritesFromFleet(t *testing.T) {
	for routers, most := range map[int]int{0: 4, 1: 4, 8: 4, fleetSize: 1, 200: 1, 1 << 40: 1} {
		s := fleetSettings()
		s.Routers = routers
		g := newHarness(t, s)
		g.step(0, completeList(up("a"), up("b"), up("c")))
		var events []Event
		for range 10 {
			events = append(events, g.request(writeClass))
		}
		if count[Probe](g.step(ms, events...)) != 1 || g.router.roundInterval() > 4*sec {
			t.Errorf("%d routers: no round, or only one every %d ms", routers, g.router.roundInterval()/ms)
		}
		acts := g.step(10*ms, ProbeResult{Member: "a", Outcome: Served, Duration: ms, Report: Report{HasRole: true,
			Primary: true, HasPosition: true, Position: g.now}})
		if n := len(sends(acts)); n != most {
			t.Errorf("%d routers: %d writes at once to the primary just found, want %d", routers, n, most)
		}
	}
}

// Guards the few warmed-up members of a group that is being replaced: long reads are kept to half of all replicas,
// and all went to half of the two that were left.
func TestLongReadsSpreadWhereFewMembersAreWarmedUp(t *testing.T) {
	s := fleetSettings()
	g := newHarness(t, s)
	list := completeList(primary("a"), up("b"), up("c"))
	for _, id := range []string{"d", "e", "f"} {
		m := up(id)
		m.StartedAt = g.now
		list.Members = append(list.Members, m)
	}
	g.step(0, list)
	g.router.members["b"].position = g.now // c lags more
	to := map[string]int{}
	for range 40 {
		g.router.typicalLatency[anyClass], g.router.meanWork = float64(5*sec), 0.1 // this one is long, most are short
		g.router.members["b"].slowness, g.router.members["c"].slowness = 1, 1
		to[g.serve(100*ms, anyClass, 100*ms, RoleReplica)]++
	}
	if to["b"] < 5 || to["c"] < 5 {
		t.Errorf("long reads went to %v", to)
	}
}

// Guards a slow primary's writes: bounded reads that no replica can serve are not added to them, whatever spillChance
// is.
func TestSlowPrimaryTakesNoSpilledReads(t *testing.T) {
	g := newReportedHarness(t, fleetSettings())
	g.router.groupList[0].spillChance = 1
	for ratio, want := range map[float64]int{0.1: 1, 0.5: 0} {
		g.router.members["a"].recentLatencyRatio = ratio
		if n := len(sends(g.step(2*sec, g.request(boundedClass)))); n != want {
			t.Errorf("recent responses at %.1f of the target: %d reads went to the primary, want %d", ratio, n, want)
		}
	}
}

// Guards the last warmed-up replica of a group whose others were replaced: it is ejected as attempts time out, all
// reads go there nevertheless, and nothing showed that the group is overloaded. One failing member among others still
// has no effect.
func TestTimeoutsOfLastReplicaRaiseGroupLatencyRatio(t *testing.T) {
	for others, want := range map[string]bool{"b": true, "c": false} {
		rs := newFleetOf(t, 1, fleetSettings(), completeList(primary("a"), up("b"), up(others)))
		driveFleet(rs, 20*sec, 5, func(g *harness) Request {
			g.router.eject(g.router.members["b"], StateSilent)
			return g.request(anyClass)
		}, func(_ int, _ Nanos, x Send) AttemptResult {
			return AttemptResult{Outcome: map[string]Outcome{"b": TimedOut, "c": Served}[x.Member], Duration: 20 * ms}
		}, func(string, Nanos) Report { return Report{} })
		if got := rs[0].router.groupList[0].latencyRatio; (got > quickLatencyRatio) != want {
			t.Errorf("with %q: latency ratio %.2f", others, got)
		}
	}
}

// Guards a primary that stopped responding: judged by its responses alone it stayed as quick as the last one, and got
// every bounded read of the group on top of its writes.
func TestUnresponsivePrimaryGetsFewReads(t *testing.T) {
	rs, reads := newFleet(t, fleetSettings(), completeList(primary("a"), up("b"))), 0
	driveFleet(rs, 50*sec, 0.2*fleetSize, func(g *harness) Request { return g.request(boundedClass) },
		func(int, Nanos, Send) AttemptResult {
			reads++
			return AttemptResult{Outcome: TimedOut, Duration: 250 * ms}
		}, func(m string, now Nanos) Report { // probes are still answered, past the queue
			return Report{HasRole: true, Primary: m == "a", HasPosition: m == "a", Position: now}
		})
	if reads > 8*fleetSize { // of ten for each, and their retries
		t.Errorf("%d sends to a primary that does not respond", reads)
	}
}

// Guards warming members against queueing elsewhere: measured by response times, warmed-up members seemed to do ten
// times the work when they responded ten times as late, and a warming member's share grew with it.
func TestSlowResponsesAreNotMoreWork(t *testing.T) {
	g := newHarness(t, fleetSettings())
	g.step(0, completeList(primary("a"), up("b")))
	for range 200 {
		// These response times include queueing.
		g.router.typicalLatency[anyClass], g.router.typicalLatency[writeClass] = float64(sec), float64(sec)
		g.serve(100*ms, writeClass, 50*ms, RolePrimary)
	}
	g.step(0, MemberList{Members: []Member{{ID: "n", Group: 1, Weight: 1, State: Up, StartedAt: g.now}}})
	g.step(50*ms, TimerFired{})
	s := g.router.settings
	initial := s.OverloadFactor * s.InitialCapacity * float64(s.OverloadWindow) / 1e9 // at a rate of one second of work per second
	if rate, work := g.router.groupList[0].warmWorkRate, 0.1; rate > 12*work ||
		g.router.members["n"].slowStartLimit > initial || g.router.members["n"].slowStartLimit < initial/2 {
		t.Errorf("10 requests of %.2f per second count as %.2f; a new member has a budget of %.2f, want %.2f at most", work, rate,
			g.router.members["n"].slowStartLimit, initial)
	}
}
