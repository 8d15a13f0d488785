package aspenshed

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"aspenshed/internal/experiment/warmup"
)

// A model of a fleet of routers with members that warm up by different curves and judge themselves what they are sent.

const (
	modelTick         = 10 * ms
	modelMeanWork     = 0.07                   // s; routers expect 0.1 s, as the latency targets are four times that
	modelWarmCapacity = 2.0                    // s of work per second: 28 requests per second
	modelMaxBacklog   = 400 * time.Millisecond // beyond it, requests are rejected
	modelAwaySince    = 20 * sec
	modelAwayFor      = 3 * sec
	modelRestart      = 1500 * ms // from the return to the start of new routers
	modelAfter        = 20 * sec  // what is played after the return
)

// modelMember serves at its present capacity, first come first served.
type modelMember struct {
	Member
	database  warmup.Database
	startedAt Nanos // 0: long ago
	away      bool
	failUntil Nanos // connections fail until then
	served    int   // while warming
}

// accept takes an attempt and returns its outcome, and when that is known.
func (m *modelMember) accept(now Nanos, router int, work float64) (Outcome, Nanos) {
	if m.away || now < m.failUntil {
		return ConnectFailed, 5 * ms
	}
	m.database.Arrive(int64(now), work, router)
	if m.database.Delay(int64(now)) > modelMaxBacklog {
		return Overloaded, 2 * ms
	}
	if m.database.Cold(int64(now)) {
		m.served++
	}
	return Served, Nanos(m.database.Enqueue(int64(now), work)) + 20*ms
}

// slowStartModel is one history of the model.
type slowStartModel struct {
	seed     int64
	routers  int
	away     int // members of the first group that go away and come back; there are six
	curve    warmup.Curve
	retries  int     // of each client after a refusal or a failure
	failFor  Nanos   // connections to the members that came back fail for so long
	quietFor Nanos   // no client sends for so long after the return; after that twice as much comes
	restart  bool    // all routers start anew soon after the return
	capacity float64 // initial; 0: that of fleetSettings
}

func (h slowStartModel) String() string {
	return fmt.Sprintf("seed %d, %d routers, %d away, warm %v, %d retries, failing %d ms, quiet %d ms, restart %t, capacity %.2f", h.seed, h.routers,
		h.away, h.curve, h.retries, h.failFor/ms, h.quietFor/ms, h.restart, h.capacity)
}

type modelRequest struct {
	router  int
	request Request
	tries   int
	endsAt  Nanos
	ended   bool
}

// modelWorld plays a slowStartModel.
type modelWorld struct {
	slowStartModel
	rng      *rand.Rand
	settings Settings
	members  map[string]*modelMember
	order    []*modelMember
	rs       []*harness
	due      map[Nanos][]func() // by tick
	events   [][]Event          // for the next step of each router
	requests map[string]*modelRequest
	now      Nanos
	served   int
}

func newModelWorld(t *testing.T, h slowStartModel) *modelWorld {
	w := &modelWorld{slowStartModel: h, rng: rand.New(rand.NewSource(h.seed)), members: map[string]*modelMember{},
		due: map[Nanos][]func(){}, events: make([][]Event, h.routers), requests: map[string]*modelRequest{}, now: 100 * sec}
	w.settings = fleetSettings()
	w.settings.InitialCapacity = cmp.Or(h.capacity, w.settings.InitialCapacity)
	w.settings.Routers, w.settings.ProbeCost, w.settings.MaxAttempts, w.settings.ConnectTimeout = h.routers, 0.02, 10, 250*ms
	w.settings.SendRetryAfter = false
	list := completeList()
	for i := range 12 {
		m := &modelMember{Member: Member{ID: fmt.Sprint("m", i), Group: i / 6, Primary: i%6 == 5, Weight: 1, State: Up},
			database: warmup.Database{Limits: warmup.Limits{Capacity: modelWarmCapacity, MeanWork: modelMeanWork,
				InitialCapacity: w.settings.InitialCapacity, WarmUpTime: time.Duration(w.settings.WarmUpTime),
				OverloadFactor: w.settings.OverloadFactor, OverloadWindow: time.Duration(w.settings.OverloadWindow), Curve: h.curve}}}
		w.members[m.ID], w.order = m, append(w.order, m)
		list.Members = append(list.Members, m.Member)
	}
	w.startRouters(t)
	w.toAll(list)
	return w
}

// startRouters starts all routers, which know nothing.
func (w *modelWorld) startRouters(t *testing.T) {
	w.rs = nil
	for i := range w.routers {
		w.settings.Rank = i
		r, err := New(w.settings, uint64(w.seed)*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		w.rs = append(w.rs, &harness{t: t, router: r, now: w.now})
	}
}

// restartRouters replaces all routers; the clients of what they held retry.
func (w *modelWorld) restartRouters(t *testing.T) {
	w.startRouters(t)
	w.events = make([][]Event, w.routers)
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		w.end(w.requests[id], false)
	}
	list := completeList()
	for _, m := range w.order {
		x := m.Member
		x.StartedAt = m.startedAt
		list.Members = append(list.Members, x)
	}
	w.toAll(list)
}

func (w *modelWorld) toAll(e Event) {
	for i := range w.events {
		w.events[i] = append(w.events[i], e)
	}
}

func (w *modelWorld) at(after Nanos, f func()) {
	tick := w.now + max(after/modelTick, 1)*modelTick
	w.due[tick] = append(w.due[tick], f)
}

// submit sends a client's request to a router; tries counts those before it.
func (w *modelWorld) submit(router, class, group, tries int) {
	g := w.rs[router]
	q := g.request(class)
	q.ID, q.Group, q.Remaining = fmt.Sprint(router, "-", q.ID), group, sec
	x := &modelRequest{router: router, request: q, tries: tries, endsAt: w.now + q.Remaining}
	w.requests[q.ID] = x
	w.events[router] = append(w.events[router], q)
	w.at(q.Remaining+50*ms, func() { w.end(x, false) })
}

// end ends a request; the client of one that was not served retries after a pause.
func (w *modelWorld) end(x *modelRequest, served bool) {
	if x.ended {
		return
	}
	x.ended = true
	delete(w.requests, x.request.ID)
	if served {
		w.served++
	} else if x.tries < w.retries {
		pause := Nanos(float64(20*ms) * math.Pow(2, float64(min(x.tries, 3))) * (0.5 + w.rng.Float64()))
		w.at(pause, func() { w.submit(w.rng.Intn(w.routers), x.request.Class, x.request.Group, x.tries+1) })
	}
}

func (w *modelWorld) execute(router int, a Action) {
	post := func(after Nanos, e Event) {
		w.at(after, func() { w.events[router] = append(w.events[router], e) })
	}
	switch a := a.(type) {
	case Send:
		w.send(router, a, post)
	case Probe:
		m := w.members[a.Member]
		if m.away || w.now < m.failUntil {
			post(5*ms, ProbeResult{Member: a.Member, Outcome: ConnectFailed, Duration: 5 * ms})
			return
		}
		post(2*ms, ProbeResult{Member: a.Member, Outcome: Served, Duration: 2 * ms, Report: Report{HasRole: true, Primary: m.Primary,
			HasPosition: true, Position: w.now}})
	case Refuse:
		w.end(w.requests[a.ID], false)
	case Fail:
		w.end(w.requests[a.ID], false)
	}
}

func (w *modelWorld) send(router int, a Send, post func(Nanos, Event)) {
	x, m := w.requests[a.ID], w.members[a.Member]
	if x == nil {
		return
	}
	result := AttemptResult{ID: a.ID, Member: a.Member, Attempt: a.Attempt}
	if x.request.Class == writeClass && !m.Primary && !m.away {
		result.Outcome, result.Role, result.Duration = Ineligible, RoleReplica, 2*ms
		post(2*ms, result)
		return
	}
	result.Outcome, result.Duration = m.accept(w.now, router, modelMeanWork*w.rng.ExpFloat64())
	if w.now+result.Duration > x.endsAt {
		result.Outcome, result.Duration = TimedOut, max(x.endsAt-w.now, ms)
	}
	if result.Outcome == Served {
		result.Final, result.Role = true, RoleReplica
		if m.Primary {
			result.Role = RolePrimary
		}
		w.at(result.Duration, func() { w.end(x, true) })
	}
	post(result.Duration, result)
}

// lists returns the changes that name the members that went away.
func (w *modelWorld) list(state MemberState) (l MemberList) {
	for _, m := range w.order[:w.away] {
		x := m.Member
		x.State, x.StartedAt = state, m.startedAt
		l.Members = append(l.Members, x)
	}
	return l
}

func (w *modelWorld) leave() {
	for _, m := range w.order[:w.away] {
		m.away = true
	}
	w.at(500*ms, func() { w.toAll(w.list(Removed)) })
}

func (w *modelWorld) comeBack() {
	for _, m := range w.order[:w.away] {
		m.away, m.startedAt, m.failUntil = false, w.now, w.now+w.failFor
		m.database.Start(int64(w.now))
	}
	w.at(sec, func() { w.toAll(w.list(Up)) })
}

// rate is the number of new requests per second.
func (w *modelWorld) rate(at Nanos) float64 {
	const usual = 12 * modelWarmCapacity / modelMeanWork * 0.45
	back := modelAwaySince + modelAwayFor
	switch {
	case w.quietFor > 0 && at >= back && at < back+w.quietFor:
		return 0
	case w.quietFor > 0 && at >= back+w.quietFor && at < back+w.quietFor+5*sec:
		return 2 * usual
	}
	return usual
}

func (w *modelWorld) run(t *testing.T) {
	start := w.now
	for w.now < start+modelAwaySince+modelAwayFor+modelAfter {
		w.now += modelTick
		switch w.now - start {
		case modelAwaySince:
			w.leave()
		case modelAwaySince + modelAwayFor:
			w.comeBack()
		case modelAwaySince + modelAwayFor + modelRestart:
			if w.restart {
				w.restartRouters(t)
			}
		}
		for _, m := range w.order {
			m.database.Advance(int64(w.now))
		}
		for _, f := range w.due[w.now] {
			f()
		}
		delete(w.due, w.now)
		for left := w.rng.ExpFloat64(); left < w.rate(w.now-start)*float64(modelTick)/1e9; left += w.rng.ExpFloat64() {
			class := anyClass
			if w.rng.Intn(6) == 0 {
				class = writeClass
			}
			w.submit(w.rng.Intn(w.routers), class, w.rng.Intn(2), 0)
		}
		for i, g := range w.rs {
			events := append(w.events[i], TimerFired{})
			w.events[i] = nil
			for _, a := range g.step(w.now-g.now, events...) {
				w.execute(i, a)
			}
		}
	}
}

// worst returns the worst window of the members that came back, and what they served while they warmed up, in requests
// per member.
func (w *modelWorld) worst() (worst warmup.Overload, served float64) {
	for _, m := range w.order[:w.away] {
		if m.database.Worst.Ratio > worst.Ratio {
			worst = m.database.Worst
		}
		served += float64(m.served) / float64(w.away)
	}
	return worst, served
}

// slowStartHistories are the histories that the budget must hold in.
func slowStartHistories() (out []slowStartModel) {
	for _, routers := range []int{1, 4, 8} {
		for _, away := range []int{5, 6} {
			for _, curve := range warmup.Curves {
				for _, h := range []slowStartModel{{retries: 6}, {retries: 6, failFor: 5 * sec}, {retries: 1, quietFor: 6 * sec},
					{retries: 6, restart: true}} {
					h.routers, h.away, h.curve, h.seed = routers, away, curve, int64(len(out)+1)
					out = append(out, h)
				}
			}
		}
	}
	// A budget of a few requests, whose work varies: four standard deviations of their number were not enough (1.19).
	for _, seed := range []int64{5005, 5021, 5024} {
		out = append(out, slowStartModel{seed: seed, routers: 8, away: 6, curve: warmup.Late, retries: 2, capacity: 0.12})
	}
	return out
}

// Guards warming databases that warm by the work that they do, or late, against more than their budget (report 221955).
func TestWarmingMemberStaysWithinBudgetWhateverItsCurve(t *testing.T) {
	for _, h := range slowStartHistories() {
		t.Run(h.String(), func(t *testing.T) {
			t.Parallel()
			w := newModelWorld(t, h)
			w.run(t)
			if worst, served := w.worst(); worst.Ratio > 1 {
				t.Errorf("%.2f of the limit in the window that ends %v after the start (%.0f served per member)", worst.Ratio, worst.Age, served)
			}
		})
	}
}
