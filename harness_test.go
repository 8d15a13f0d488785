package aspenshed

import (
	"fmt"
	"testing"
)

// Class numbers of testSettings.
const (
	anyClass = iota
	boundedClass
	sessionClass
	linearizableClass
	writeClass
	deduplicatedClass
)

const sec = 1000 * ms

func testSettings() Settings {
	class := func(name string, n Consistency, e RetrySafety) Class {
		return Class{Name: name, Consistency: n, RetrySafety: e, MaxStaleness: 300 * ms, LatencyTarget: 400 * ms,
			ClientTimeout: 2 * sec, Value: 1,
			LateValue: 0.5, DedupWindow: 500 * ms, DedupScope: DedupGroup}
	}
	return Settings{
		Routers: 3, MinStepInterval: 5 * ms, ListHasRoles: true, MayProbe: true, MayCancel: true, SendRetryAfter: true,
		MaxAttempts: 4, MaxRetryAfter: sec, ResponseSlack: 10 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		WarmUpTime: 10 * sec, OverloadFactor: 2, OverloadWindow: sec, NotifiedAfter: 10 * sec, ProbeCost: 0.01,
		Classes: []Class{class("any", Eventual, Safe), class("bounded", BoundedStaleness, Safe),
			class("session", ReadYourWrites, Safe),
			class("linearizable", Linearizable, Safe), class("write", Write, Unsafe),
			class("deduplicated", Eventual, Deduplicated)},
	}
}

// harness steps one router.
type harness struct {
	t            *testing.T
	router       *Router
	now          Nanos
	requestCount int
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: r, now: 100 * sec}
}

func up(id string) Member { return Member{ID: id, Group: 1, Weight: 1, State: Up} }

func completeList(ms ...Member) MemberList { return MemberList{Complete: true, Members: ms} }

func (g *harness) step(after Nanos, events ...Event) []Action {
	g.now += after
	return g.router.Step(g.now, events)
}

// newReportedHarness starts a router whose group 1 has primary a and replicas b and c, all of which have just
// reported.
func newReportedHarness(t *testing.T, s Settings) *harness {
	g := newHarness(t, s)
	g.step(0, MemberList{Complete: true, Cached: true, Members: []Member{up("a"), up("b"), up("c")}})
	g.reportAll(0)
	return g
}

// reportAll passes in a report of each member: a is the primary, the replicas lag by lag.
func (g *harness) reportAll(lag Nanos) []Action {
	rep := func(id string, primary bool, at Nanos) ProbeResult {
		return ProbeResult{Member: id, Outcome: Served, Duration: ms,
			Report: Report{HasPosition: true, Position: at, HasRole: true, Primary: primary}}
	}
	return g.step(ms, rep("a", true, g.now+ms), rep("b", false, g.now+ms-lag), rep("c", false, g.now+ms-lag))
}

func (g *harness) request(class int) Request {
	g.requestCount++
	return Request{ID: fmt.Sprint("q", g.requestCount), Class: class, Group: 1, Session: "s", Remaining: 2 * sec}
}

func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return
}

func count[T Action](acts []Action) (n int) {
	for _, a := range acts {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return
}

func (g *harness) sentTo(acts []Action) string {
	g.t.Helper()
	s := sends(acts)
	if len(s) != 1 {
		g.t.Fatalf("%d sends, want one: %v", len(s), acts)
	}
	return s[0].Member
}

func endedAttempts(g *harness, n int) (out []*attempt) {
	for i := 0; i < n; i++ {
		out = append(out, &attempt{member: g.router.members["c"], number: i, sentAt: g.now - 10*ms, ended: true})
	}
	return
}

// stepOnTimers steps the router only when its timers fire, until span has passed.
func (g *harness) stepOnTimers(acts []Action, span Nanos) (all []Action, steps int) {
	due := map[Nanos]bool{}
	end := g.now + span
	for {
		all = append(all, acts...)
		for _, a := range acts {
			if w, ok := a.(SetTimer); ok {
				due[g.now+max(w.After, 1000)] = true
			}
		}
		next := end + 1
		for at := range due {
			next = min(next, at)
		}
		if next > end {
			return
		}
		delete(due, next)
		steps++
		acts = g.step((next-g.now)/1000*1000, TimerFired{}) // timers are rounded down
	}
}
