package aspenshed

import (
	"testing"
	"time"

	"aspenshed/internal/experiment/warmup"
)

const playTick = 10 * ms

// honestPlay is one router with the warmed-up replicas b and c and the warming replica d, which serves at its present capacity.
type honestPlay struct {
	*harness
	d       warmup.Database
	results map[Nanos][]Event
	sentToD int
}

// newHonestPlay has served rps reads per second by each replica, and then learns that d starts.
func newHonestPlay(t *testing.T, s Settings, rps int) *honestPlay {
	s.Routers = 1
	p := &honestPlay{harness: newHarness(t, s), results: map[Nanos][]Event{}, d: warmup.Database{Limits: warmup.Limits{
		Capacity: float64(rps) * 0.1, MeanWork: 0.1, InitialCapacity: s.InitialCapacity, WarmUpTime: time.Duration(s.WarmUpTime),
		OverloadFactor: s.OverloadFactor, OverloadWindow: time.Duration(s.OverloadWindow)}}}
	p.step(0, completeList(primary("a"), up("b"), up("c"), up("d")))
	p.run(15*sec, 3*rps, false)
	m := up("d")
	m.StartedAt = p.now
	p.d.Start(int64(p.now))
	p.step(0, MemberList{Members: []Member{m}})
	return p
}

// run sends rps bounded reads per second. While d lags too much, none of them may go there.
func (p *honestPlay) run(span Nanos, rps int, lagging bool) {
	due := 0
	for end := p.now + span; p.now < end; {
		events := append(p.results[p.now+playTick], TimerFired{})
		delete(p.results, p.now+playTick)
		for _, id := range []string{"b", "c", "d"} {
			if id != "d" || !lagging {
				events = append(events, ProbeResult{Member: id, Outcome: Served, Duration: ms, Report: Report{HasPosition: true, Position: p.now}})
			}
		}
		for due += rps * int(playTick/ms); due >= 1000; due -= 1000 {
			events = append(events, p.request(boundedClass))
		}
		for _, x := range sends(p.step(playTick, events...)) {
			p.serveLater(x)
		}
	}
}

// serveLater has the result of an attempt come when its member has served it.
func (p *honestPlay) serveLater(x Send) {
	took := 20 * ms
	if x.Member == "d" {
		p.sentToD++
		p.d.Arrive(int64(p.now), 0.1, 0)
		took = Nanos(p.d.Enqueue(int64(p.now), 0.1))
	}
	at := p.now + (took/playTick+1)*playTick
	p.results[at] = append(p.results[at], AttemptResult{ID: x.ID, Member: x.Member, Attempt: x.Attempt, Outcome: Served, Final: true,
		Duration: took, Role: RoleReplica})
}

// Guards a warming member that nothing could be sent to for a while, as it lagged: the budget that was saved up and the one that
// was added meanwhile came within one window.
func TestBudgetIsNotSavedUp(t *testing.T) {
	const rps = 400
	p := newHonestPlay(t, fleetSettings(), rps)
	p.run(9*sec, 2*rps, true)
	p.run(2*sec, 10*rps, false)
	if w := p.d.Worst; w.Ratio > 1 {
		t.Errorf("%.0f requests in the window that ends %v after the start, %.0f overload the member", w.Arrived, w.Age, w.Limit)
	}
	if p.sentToD == 0 {
		t.Error("nothing was sent to the member")
	}
}

// Clients that retry raise what arrives, not what a member can do: the budget stays.
func TestRetriesDoNotRaiseSlowStartBudget(t *testing.T) {
	p := newHonestPlay(t, fleetSettings(), 20)
	p.run(sec, 60, true)
	before := p.router.members["d"].slowStartLimit
	for range 100 {
		var events []Event
		for range 20 { // 400 a second, of which nothing is served
			events = append(events, p.request(writeClass))
		}
		p.step(50*ms, append(events, TimerFired{})...)
	}
	if after := p.router.members["d"].slowStartLimit; before == 0 || after > before {
		t.Errorf("budget %.2f s of work, %.2f after 2000 requests that nobody served", before, after)
	}
}

// Where no member is known to be warmed up, a warming one still gets a little, from all routers together.
func TestFirstBudgetIsSharedByFleet(t *testing.T) {
	for _, routers := range []int{1, 4, 300} {
		s := fleetSettings()
		s.Routers = routers
		g := newHarness(t, s)
		list := completeList(primary("a"), up("b"))
		for i := range list.Members {
			list.Members[i].StartedAt = g.now
		}
		g.step(0, list)
		g.step(50*ms, TimerFired{})
		if got := g.router.members["b"].slowStartLimit * float64(routers); got < 0.1 || got > 3*0.1 {
			t.Errorf("%d routers: %.2f s of work in a window, want one to three requests of 0.1 s", routers, got)
		}
	}
}

// Guards starts against a wall clock that was stepped: the stamps of a list and the clock of the router may differ by an hour, and
// a later start may bear an earlier stamp. A start that was just heard of is one, and its warm-up ends in time.
func TestStartThatIsHeardOfWarmsUpWhateverItsStamp(t *testing.T) {
	const now, hour = 10000 * sec, 3600 * sec
	s := fleetSettings()
	for name, stamps := range map[string][]Nanos{"right": {now}, "an hour behind": {now - hour}, "an hour ahead": {now + hour},
		"stepped back between two starts": {now, now - hour}} {
		g := newHarness(t, s)
		g.now = now
		g.step(0, completeList(primary("a"), up("b"), up("c")))
		g.step(sec, MemberList{Members: []Member{up("b")}})
		for _, stamp := range stamps {
			m := up("c")
			m.StartedAt = stamp
			g.step(30*sec, MemberList{Members: []Member{m}})
			c := g.router.members["c"]
			if !g.router.warming(c) {
				t.Errorf("%s: not warming after its start was heard of", name)
			}
			g.step(s.WarmUpTime-ms, TimerFired{})
			if !g.router.warming(c) {
				t.Errorf("%s: warmed up before the time of the settings", name)
			}
			g.step(s.WarmUpTime/10+2*ms, MemberList{Members: []Member{m}})
			if g.router.warming(c) {
				t.Errorf("%s: still warming %d s after its start was heard of", name, s.WarmUpTime*11/10/sec)
			}
		}
	}
}

// At its own start a router learns of starts that are over, by their stamps; a stamp from the future is one of now.
func TestStampsAgeStartsInFirstLists(t *testing.T) {
	s := fleetSettings()
	for stamp, want := range map[Nanos]bool{0: false, 50 * sec: false, 95 * sec: true, 100*sec + 3600*sec: true} {
		g := newHarness(t, s)
		known, live := completeList(primary("a"), up("b")), completeList(primary("a"), up("b"), up("c"))
		known.Cached, known.Members[1].StartedAt = true, stamp
		live.Members[1].StartedAt, live.Members[2].StartedAt = stamp, stamp
		g.step(0, known)
		g.step(0, live)
		for _, id := range []string{"b", "c"} {
			if got := g.router.warming(g.router.members[id]); got != want {
				t.Errorf("%s, stamp %d s before now: warming %v, want %v", id, (g.now-stamp)/sec, got, want)
			}
		}
		g.step(s.WarmUpTime*11/10+ms, TimerFired{})
		if g.router.warming(g.router.members["b"]) {
			t.Errorf("stamp %d s before now: warming for longer than the settings allow", (g.now-stamp)/sec)
		}
	}
}

// A start leaves alone what counts at other warming members: what was in flight there would have counted for ever.
func TestStartKeepsWhatCountsAtOtherMembers(t *testing.T) {
	p := newHonestPlay(t, fleetSettings(), 20)
	p.run(sec, 60, false)
	p.run(2*sec, 0, false)
	d := p.router.members["d"]
	var events []Event
	for range 20 {
		events = append(events, p.request(boundedClass))
	}
	for _, x := range sends(p.step(playTick, events...)) {
		p.serveLater(x)
	}
	if d.inFlight == 0 {
		t.Fatal("nothing in flight")
	}
	c := up("c")
	c.StartedAt = p.now
	p.step(0, MemberList{Members: []Member{c}})
	p.run(2*p.router.settings.OverloadWindow, 0, false)
	if got := d.sentWork.total(p.now); got > 1e-6 {
		t.Errorf("%.2f s of work count at a member that was sent nothing for two windows", got)
	}
}

// A member that only seemed to have started anew keeps what it was sent within the last window.
func TestSeemingRestartDoesNotRenewTheBudget(t *testing.T) {
	p := newHonestPlay(t, fleetSettings(), 20)
	p.run(2*sec, 200, false)
	d := p.router.members["d"]
	before := d.sentWork.total(p.now)
	p.router.startWarming(d, p.now, StateConnectionRefused)
	if after := d.sentWork.total(p.now); before == 0 || after < before {
		t.Errorf("%.2f s of work counted before it, %.2f after", before, after)
	}
}

// Guards a gateway whose connections fail for a moment against taking all members for cold until their warm-up time is over
// (report 221955: 838 of 876 requests refused): a start is listed soon, if there was one and discovery is heard.
func TestStartThatNoListNamesEndsSoon(t *testing.T) {
	for name, c := range map[string]struct {
		event   Event
		warming bool
	}{"no list names it": {TimerFired{}, false}, "a list names it": {MemberList{Members: []Member{{ID: "b", Group: 1, Weight: 1, State: Up, StartedAt: 104 * sec}}}, true},
		"discovery is not heard": {DiscoveryFailed{Unreachable: true}, true}} {
		s := fleetSettings()
		s.WatchDiscovery, s.ConnectTimeout = true, 250*ms
		g := newHarness(t, s)
		g.step(0, completeList(primary("a"), up("b")))
		b := g.router.members["b"]
		b.unreachable, b.unreachableAt = true, g.now
		g.step(2*sec, ProbeResult{Member: "b", Outcome: Served, Duration: ms})
		if !g.router.warming(b) {
			t.Errorf("%s: not warming after it refused connections and came back", name)
		}
		for range 48 {
			g.step(250*ms, c.event)
		}
		if got := g.router.warming(b); got != c.warming {
			t.Errorf("%s: warming %v after 12 s, want %v", name, got, c.warming)
		}
	}
}

// Guards gateways that have just started against rates over ten seconds that they never saw: a warming member then got a sixth
// of its share; and against taking one response for a high rate.
func TestRatesOfAStartingRouter(t *testing.T) {
	for served, limits := range map[int][2]float64{1: {0, 0.1}, 40: {1, 3}} { // writes of 0.1 s in 2 s; bounds in s of work per second
		g := newHarness(t, fleetSettings())
		g.step(0, completeList(primary("a"), up("b"), up("c")))
		for range served {
			g.serve(2*sec/Nanos(served), writeClass, 20*ms, RolePrimary)
		}
		for range 3 {
			g.step(50*ms, TimerFired{})
		}
		if rate := g.router.groupList[0].warmWorkRate; rate < limits[0] || rate > limits[1] {
			t.Errorf("%d writes of 0.1 s in 2 s: work rate %.2f, want %.2f to %.2f", served, rate, limits[0], limits[1])
		}
	}
}
