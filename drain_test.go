package aspenshed

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"aspenshed/internal/experiment/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "300") }

// Rule 3 over histories: a router that asks for its list, discovery that goes down or silent, restarts with an old list.
// When a drain counts as known is worked out here from the page's clocks alone.

const tick = 50 * ms

// outage is a stretch of time in which discovery refuses calls, or says nothing to those it takes, or is cut off.
type outage struct {
	kind     string // "down", "silent", "cut"
	from, to Nanos
}

// drainHistory is a history as it is played.
type drainHistory struct {
	t             *rapid.T
	settings      Settings
	harness       *harness
	outages       []outage
	drainStart    map[string]Nanos // when a member begins to drain
	notified      map[string]bool  // the members whose drain this process heard of
	events        []Event
	startedAt     Nanos  // of this process
	state         string // of its call: "" none, "cut" on its way, "called", "refused" soon, "open", "silent"
	calledAt, due Nanos  // the last call, 0: none; when something comes of it
	lastRefused   bool   // the last call was
	callFailed    bool   // since this process last heard anything: refused, silent or never there
	lastHeard     Nanos  // the watch's last line, or the call for it
	silentSince   Nanos  // of a watch or call, nothing was heard since; 0: none
}

// currentOutage is the kind of this moment's outage.
func (d *drainHistory) currentOutage() string {
	for _, x := range d.outages {
		if d.harness.now >= x.from && d.harness.now < x.to {
			return x.kind
		}
	}
	return ""
}

// notifiedSince is when the page counts the drain of m as known, as of now: by the clock of the last call or watch, and after a
// call that was refused, failed or was given up at the latest 6 s after discovery had it and this process could reach it.
func (d *drainHistory) notifiedSince(m string) Nanos {
	known := d.notifiedByLastCall(m)
	if !d.callFailed || d.notified[m] {
		return known
	}
	reachable := d.startedAt
	for _, x := range d.outages {
		switch {
		case x.kind == "silent" || x.to <= d.startedAt || d.harness.now < x.from:
		case d.harness.now < x.to:
			return known // it cannot be reached now
		default:
			reachable = max(reachable, x.to)
		}
	}
	return min(known, max(d.drainStart[m], reachable)+6*sec)
}

// notifiedByLastCall is the same by the clocks that run from the last call, or from the silence of a watch, alone.
func (d *drainHistory) notifiedByLastCall(m string) Nanos {
	at, within := d.drainStart[m], d.settings.NotifiedAfter
	switch {
	case d.notified[m]: // the router knows
		return at
	case d.silentSince > 0:
		return max(at, d.silentSince+6*sec)
	case d.state == "open": // it is on its way
		return at + sec
	case d.calledAt == 0:
		return max(at+within, d.startedAt)
	}
	from := d.calledAt
	if d.lastRefused {
		within *= 4
		for _, x := range d.outages { // counted anew when discovery is back
			if x.kind == "down" && x.to <= d.harness.now {
				from = max(from, x.to)
			}
		}
	}
	return max(at, from) + within
}

// stepDiscovery plays a tick of the service and of the network code.
func (d *drainHistory) stepDiscovery(calls bool) {
	now, outage := d.harness.now, d.currentOutage()
	if calls {
		d.calledAt, d.lastHeard, d.lastRefused = now, now, false
		d.due = now + Nanos(rapid.IntRange(1, 300).Draw(d.t, "wait"))*ms
		d.state = map[string]string{"": "called", "down": "refused", "silent": "called", "cut": "cut"}[outage]
	}
	well := outage == ""
	switch {
	case d.state == "cut" && now >= d.calledAt+500*ms:
		d.failCall(DiscoveryFailed{Unreachable: true})
	case d.state == "refused" && now >= d.due, d.state == "called" && outage == "down":
		d.lastRefused, d.silentSince = true, 0
		d.failCall(DiscoveryFailed{})
	case d.state == "open" && outage == "down":
		d.failCall(DiscoveryFailed{LastHeard: d.lastHeard})
	case (d.state == "called" || d.state == "open") && !well:
		d.state, d.silentSince = "silent", cmp.Or(d.silentSince, now)
	case d.state == "silent" && now >= d.lastHeard+3*sec:
		d.failCall(DiscoveryFailed{LastHeard: d.lastHeard})
	case d.state == "called" && now >= d.due, d.state == "open":
		var l MemberList
		for _, m := range slices.Sorted(maps.Keys(d.drainStart)) {
			if d.drainStart[m] <= now && !d.notified[m] {
				d.notified[m] = true
				l.Members = append(l.Members, Member{ID: m, Group: 1, Weight: 1, State: Draining})
			}
		}
		if d.lastHeard, d.silentSince, d.callFailed = now, 0, false; d.state == "called" || len(l.Members) > 0 {
			d.events = append(d.events, l)
		}
		d.state = "open"
	}
}

func (d *drainHistory) failCall(b DiscoveryFailed) {
	d.state, d.callFailed = "", true
	d.events = append(d.events, b)
}

// startProcess starts a process with the list as it was at known.
func (d *drainHistory) startProcess(known Nanos) {
	r, err := New(d.settings, uint64(d.harness.now))
	if err != nil {
		d.t.Fatal(err)
	}
	d.harness.router, d.notified, d.startedAt = r, map[string]bool{}, d.harness.now
	d.state, d.calledAt, d.silentSince, d.lastRefused, d.callFailed = "", 0, 0, false, false
	l := MemberList{Complete: true, Cached: true}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		m := up(id)
		if at, leaves := d.drainStart[id]; leaves && at <= known {
			m.State, d.notified[id] = Draining, true
		}
		l.Members = append(l.Members, m)
	}
	d.events = []Event{l}
}

func TestNothingIsSentTwoSecondsAfterADrainWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleetSettings()
		s.WatchDiscovery, s.DrainGrace, s.MinStepInterval = true, 2*sec, ms
		s.Routers = rapid.SampledFrom([]int{1, 8, 80, 300, 1024}).Draw(t, "routers")
		s.Rank = rapid.IntRange(0, s.Routers-1).Draw(t, "rank")
		d := &drainHistory{t: t, settings: s, drainStart: map[string]Nanos{}, harness: &harness{now: 100 * sec}}
		at := func(name string, from, to int) Nanos { return Nanos(rapid.IntRange(from, to).Draw(t, name)) * tick }
		for _, id := range []string{"b", "c", "d", "e"} {
			if rapid.Bool().Draw(t, "leaves") {
				d.drainStart[id] = d.harness.now + at("leaves at", 0, 900)
			}
		}
		for from := d.harness.now; len(d.outages) < 3; {
			x := outage{kind: rapid.SampledFrom([]string{"down", "silent", "cut"}).Draw(t, "outage")}
			x.from = from + at("well for", 200*min(1, len(d.outages)), 400)
			x.to = x.from + at("for", 1, map[string]int{"down": 400, "silent": 50, "cut": 120}[x.kind])
			d.outages, from = append(d.outages, x), x.to
		}
		restart := d.harness.now + at("restart", 1, 2000) // after the end: none
		d.startProcess(d.harness.now)
		for n := 0; d.harness.now < 150*sec; n++ {
			if d.harness.now >= restart && d.startedAt < restart {
				d.startProcess(d.harness.now - at("list is older by", 0, 300))
			}
			d.events = append(d.events, TimerFired{}, d.harness.requestNamed(fmt.Sprint("q", n)))
			events := d.events
			d.events = nil
			acts := d.harness.step(tick, events...)
			for _, x := range acts {
				if send, ok := x.(Send); ok {
					m := send.Member
					if at, leaves := d.drainStart[m]; leaves && at <= d.harness.now && d.harness.now > d.notifiedSince(m)+2*sec+50*ms+tick {
						t.Fatalf("%v: sent to %s, which drains since %v and counts as known since %v", d.harness.now, m, at, d.notifiedSince(m))
					}
					d.events = append(d.events, AttemptResult{ID: send.ID, Member: m, Outcome: Served, Final: true, Duration: 20 * ms, Role: RoleReplica})
				}
			}
			d.stepDiscovery(count[Watch](acts) > 0)
		}
	})
}

func (g *harness) requestNamed(id string) Request {
	return Request{ID: id, Class: anyClass, Group: 1, Remaining: 2 * sec}
}
