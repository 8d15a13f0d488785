package dispatch

import (
	"io"
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
)

// replacements are entries after which member a is another server, or the same with other data.
var replacements = map[string]aspenshed.Member{
	"another group":   {ID: "a", Address: "h:1", Group: 2, State: aspenshed.Up},
	"another address": {ID: "a", Address: "h:2", State: aspenshed.Up},
}

// forEachReplacement runs f with each replacement, in a complete list and in a list of changes.
func forEachReplacement(t *testing.T, f func(t *testing.T, h *harness, replace func())) {
	for name, m := range replacements {
		for _, complete := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				h := newHarness(t)
				f(t, h, func() {
					h.UpdateMembers(aspenshed.MemberList{Complete: complete, Members: []aspenshed.Member{m}})
				})
			})
		}
	}
}

// Guards against a statement at a server that its group's list no longer names, in each state in which a connection may
// be just then. One that may have been executed is finished.
func TestReplacedMemberGetsNoStatement(t *testing.T) {
	forEachReplacement(t, func(t *testing.T, h *harness, replace func()) {
		opening := h.startAttempt("opening")
		waiting := h.startAttempt("waiting")
		waiting.ready()
		sent := h.startAttempt("sent")
		sent.ready()
		sent.alive()
		replace()
		if !opening.closed || !waiting.closed || sent.closed {
			t.Fatalf("closed: opening %t, waiting for a sign of life %t, sent %t", opening.closed, waiting.closed, sent.closed)
		}
		h.Loop.RunPending()
		if len(h.results) != 2 || h.results[0].Outcome != aspenshed.Ineligible || h.results[1].Outcome != aspenshed.Ineligible {
			t.Fatalf("results %+v, want two that prove that nothing was executed", h.results)
		}
		h.results = nil
		opening.ready()
		waiting.alive()
		if opening.sent || waiting.sent {
			t.Error("a statement was sent after the replacement")
		}
		sent.done()
		h.wantResult(aspenshed.Served)
		if !sent.closed {
			t.Error("a connection to the former server stays open after its response")
		}
	})
}

// Guards against the use of connections that lead to the former server, whatever they did at the replacement.
func TestReplacedMemberGetsNewConnections(t *testing.T) {
	forEachReplacement(t, func(t *testing.T, h *harness, replace func()) {
		idle := h.idleConn("q")
		busy := h.startAttempt("r")
		if busy != idle {
			t.Fatal("the idle connection was not used")
		}
		busy.alive()
		second := h.startAttempt("s")
		second.ready()
		second.alive()
		second.done()
		h.wantResult(aspenshed.Served)
		opening := h.startAttempt("u")
		replace()
		h.wantResult(aspenshed.Ineligible)
		if !second.closed {
			t.Error("an idle connection stays open")
		}
		busy.done()
		h.wantResult(aspenshed.Served)
		next := h.startAttempt("t")
		if next == busy || next == second || len(h.conns) != 3 {
			t.Error("a connection to the former server is used")
		}
		if address := h.pools["a"].member.Address; next.address != address || !opening.closed {
			t.Errorf("connected to %s instead of %s; the connection that was being opened is closed: %t", next.address, address, opening.closed)
		}
	})
}

// Guards against the position and role of the former server, which a probe tells, being taken for the new one's.
func TestProbeOfAReplacedMemberIsNotReported(t *testing.T) {
	for _, connected := range []bool{true, false} {
		forEachReplacement(t, func(t *testing.T, h *harness, replace func()) {
			h.Probe("a")
			probe := h.conns[0]
			if connected {
				probe.ready()
			}
			replace()
			if !probe.closed {
				t.Error("the probe's connection stays open")
			}
			if connected {
				probe.done()
			} else {
				probe.ready()
			}
			h.advance(2 * probeTimeout)
			if len(h.probes) > 0 {
				t.Errorf("the router was told %+v", h.probes)
			}
			h.Probe("a")
			h.conns[1].ready()
			if h.conns[1].done(); len(h.probes) != 1 || h.probes[0].Outcome != aspenshed.Served {
				t.Errorf("probes of the new server: %+v", h.probes)
			}
		})
	}
}

// A change of the list that says nothing new of the member, or does not say where it is reached, keeps its connections.
func TestUnchangedMemberKeepsItsConnections(t *testing.T) {
	for name, m := range map[string]aspenshed.Member{
		"the same":        {ID: "a", Address: "h:1", State: aspenshed.Up},
		"without address": {ID: "a", State: aspenshed.Up},
		"another start":   {ID: "a", Address: "h:1", State: aspenshed.Up, StartedAt: 5, Weight: 2, Zone: 3, Primary: true},
	} {
		h := newHarness(t)
		idle := h.idleConn("q")
		h.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{m}})
		if h.startAttempt("r"); idle.closed || !idle.sendPending {
			t.Errorf("%s: the idle connection is closed: %t", name, idle.closed)
		}
	}
}

// Guards attempts that wait until this machine can open connections: they open none to the former server.
func TestWaitingAttemptDialsNoReplacedMember(t *testing.T) {
	forEachReplacement(t, func(t *testing.T, h *harness, replace func()) {
		h.startAttempt("q").events.Lost(request.NoResources, io.EOF)
		replace()
		h.advance(maxLocalRetryDelay)
		if h.wantResult(aspenshed.Ineligible); len(h.conns) != 1 {
			t.Errorf("%d connections were opened", len(h.conns))
		}
	})
}

// Guards reads that need the primary against a member that has lost that role while its connection was being opened, or
// while a sign of life was awaited.
func TestRevokedAttemptIsNotSent(t *testing.T) {
	for _, connected := range []bool{true, false} {
		h := newHarness(t)
		f := h.startAttempt("q")
		if connected {
			f.ready()
		}
		h.revoked = true
		if !connected {
			f.ready()
		}
		if f.alive(); f.sent || !f.closed {
			t.Errorf("sent %t, closed %t", f.sent, f.closed)
		}
		h.wantResult(aspenshed.Ineligible)
	}
}
