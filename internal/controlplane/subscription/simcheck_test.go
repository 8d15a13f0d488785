package subscription

import (
	"fmt"
	"slices"

	"aspenshed/internal/controlplane/revision"
)

// checkApply checks a step that took effect: revisions go forward, the state is what was committed, and every binding
// change on the way was there, in order.
func (s *simulation) checkApply(x *simSubscriber, a Apply) {
	state := x.machine.State()
	if a.Revision < x.revision || state.Revision() != a.Revision {
		s.fail("%s: from revision %d to %d, state at %d", x.name, x.revision, a.Revision, state.Revision())
	}
	if got, want := state.Digest(revision.Scope{}), s.truth.at(a.Revision).digest(x.scope); got != want {
		s.fail("%s: digest %x at revision %d, committed was %x", x.name, got, a.Revision, want)
	}
	if a.Full {
		s.snapshots++
		if x.link.applied || !x.link.wholeFits {
			s.fail("%s: a snapshot though the log reached back to revision %d", x.name, x.revision)
		}
	} else {
		s.checkBinding(x, a)
	}
	x.link.applied = true
	x.revision = a.Revision
	if x.calm == never && !x.slow && !s.cut(x.link) && x.revision >= x.link.server.machine.log.Head() {
		x.calm = s.now
	}
}

// checkBinding compares the binding changes of a step with those committed.
func (s *simulation) checkBinding(x *simSubscriber, a Apply) {
	var want, got []string
	last := x.revision
	for _, c := range a.Changes {
		if c.Revision < last || c.Revision > a.Revision {
			s.fail("%s: change of revision %d after %d, through %d", x.name, c.Revision, last, a.Revision)
		}
		last = c.Revision
		if c.Binding {
			got = append(got, changeName(c))
		}
	}
	for _, commit := range s.truth.commits {
		for _, c := range commit.changes {
			c, within := x.scope.Project(c)
			if within && c.Binding && c.Revision > x.revision && c.Revision <= a.Revision {
				want = append(want, changeName(c))
			}
		}
	}
	s.binding += len(want)
	if !slices.Equal(got, want) {
		s.fail("%s: binding changes %q from %d through %d, committed were %q", x.name, got, x.revision, a.Revision, want)
	}
}

func changeName(c revision.Change) string {
	return fmt.Sprint(c.Revision, c.Key, c.Removed)
}

// checkPrompt checks that a subscriber that nothing disturbs isn't starved by those that are slow or away.
func (s *simulation) checkPrompt(x *simSubscriber) {
	if x.calm == never || x.link == nil {
		return
	}
	server := x.link.server
	for i := len(server.heardAt) - 1; i >= 0 && server.heardAt[i] >= x.calm; i-- {
		if rev := s.truth.commits[i].revision; s.now > server.heardAt[i]+simPrompt && x.revision < rev {
			s.fail("%s: still at revision %d, %s heard of %d at %.3f s", x.name, x.revision, server.name, rev,
				float64(server.heardAt[i])/1e9)
		}
	}
}

// checkBounds checks that windows, queues, logs and caches stay within what they are given.
func (s *simulation) checkBounds() {
	for _, x := range s.servers {
		m := x.machine
		if m.log.Bytes() > m.config.LogBytes {
			s.fail("%s: a log of %d bytes", x.name, m.log.Bytes())
		}
		if len(m.encoder.updates) > maxCachedUpdates || len(m.encoder.scopes) > maxCachedScopes || len(m.outputs) > 0 || x.up && len(m.dirty) > 0 {
			s.fail("%s: %d steps, %d scopes kept, %d outputs, %d sessions left", x.name, len(m.encoder.updates), len(m.encoder.scopes),
				len(m.outputs), len(m.dirty))
		}
		kept, largest := 0, 0
		for _, k := range m.encoder.snapshots {
			kept += k.bytes
			largest = max(largest, k.bytes)
		}
		if kept > max(simKept, largest) {
			s.fail("%s: %d bytes of snapshots kept", x.name, kept)
		}
		for _, session := range m.sessions {
			sum := 0
			for _, bytes := range session.unackedSizes {
				sum += bytes
			}
			if sum != session.unackedBytes || sum > simWindow {
				s.fail("%s: %d bytes under way to %s, counted %d", x.name, sum, session.subscriber, session.unackedBytes)
			}
			if session.unackedBytes > 0 && s.now > session.lastProgress+m.config.StallTimeout+scanInterval+second/5 && x.up {
				s.fail("%s: nothing acknowledged by %s for too long", x.name, session.subscriber)
			}
		}
	}
}

// agreed reports whether every subscriber holds what was committed, and every server knows that.
func (s *simulation) agreed() bool {
	for _, x := range s.subscribers {
		if x.revision != s.truth.head() {
			return false
		}
	}
	inForce, subscribers := uint64(0), uint64(0)
	for _, x := range s.servers {
		r := x.machine.Rollout(s.truth.head())
		inForce += r.InForce
		subscribers += r.Subscribers
	}
	return inForce == uint64(len(s.subscribers)) && subscribers == inForce
}

func (s *simulation) describeDisagreement() {
	for _, x := range s.subscribers {
		if x.revision != s.truth.head() {
			s.fail("%s is at revision %d, committed is %d; phase %d, dials at %.3f", x.name, x.revision, s.truth.head(),
				x.machine.phase, float64(x.machine.dialAt)/1e9)
		}
	}
	for _, x := range s.servers {
		if r := x.machine.Rollout(s.truth.head()); r.InForce != r.Subscribers {
			s.fail("%s counts %v", x.name, r)
		}
	}
	s.fail("the servers count too many or too few subscribers")
}
