package subscription

import (
	"fmt"
	"slices"

	"aspenshed/internal/controlplane/revision"
)

// checkApply checks an applied update: revisions increase, the state is the committed one, and it contains every
// binding change in between, in order.
func (s *simulation) checkApply(x *simSubscriber, a Apply) {
	state := x.machine.State()
	if a.Revision < x.revision || state.Revision() != a.Revision {
		s.fail("%s: from revision %d to %d, state at %d", x.name, x.revision, a.Revision, state.Revision())
	}
	if got, want := state.Digest(revision.Scope{}), s.reference.commitAt(a.Revision).digest(x.scope); got != want {
		s.fail("%s: digest %x at revision %d, want %x", x.name, got, a.Revision, want)
	}
	if a.Full {
		s.snapshots++
		if x.conn.applied || !x.conn.snapshotExpected {
			s.fail("%s: a snapshot although the log reached back to revision %d", x.name, x.revision)
		}
	} else {
		s.checkBinding(x, a)
	}
	x.conn.applied = true
	x.revision = a.Revision
	if x.undisturbedSince == never && !x.slow && !s.partitioned(x.conn) && x.revision >= x.conn.server.machine.log.Head() {
		x.undisturbedSince = s.now
	}
}

// checkBinding compares the binding changes of an update with those committed.
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
	for _, commit := range s.reference.commits {
		for _, c := range commit.changes {
			c, within := x.scope.Project(c)
			if within && c.Binding && c.Revision > x.revision && c.Revision <= a.Revision {
				want = append(want, changeName(c))
			}
		}
	}
	s.binding += len(want)
	if !slices.Equal(got, want) {
		s.fail("%s: binding changes %q from %d through %d, want %q", x.name, got, x.revision, a.Revision, want)
	}
}

func changeName(c revision.Change) string {
	return fmt.Sprint(c.Revision, c.Key, c.Removed)
}

// checkLatency checks that an undisturbed subscriber isn't starved by slow or disconnected ones.
func (s *simulation) checkLatency(x *simSubscriber) {
	if x.undisturbedSince == never || x.conn == nil {
		return
	}
	server := x.conn.server
	for i := len(server.receivedAt) - 1; i >= 0 && server.receivedAt[i] >= x.undisturbedSince; i-- {
		if rev := s.reference.commits[i].revision; s.now > server.receivedAt[i]+simMaxLatency && x.revision < rev {
			s.fail("%s: still at revision %d, %s received %d at %.3f s", x.name, x.revision, server.name, rev,
				float64(server.receivedAt[i])/1e9)
		}
	}
}

// checkBounds checks that windows, queues, logs and caches stay within their limits.
func (s *simulation) checkBounds() {
	for _, x := range s.servers {
		m := x.machine
		if m.log.Bytes() > m.config.LogBytes {
			s.fail("%s: the log has %d bytes", x.name, m.log.Bytes())
		}
		if len(m.encoder.updates) > maxCachedUpdates || len(m.encoder.scopes) > maxCachedScopes || len(m.outputs) > 0 || x.up && len(m.dirty) > 0 {
			s.fail("%s: %d updates and %d scopes cached, %d outputs, %d sessions left", x.name, len(m.encoder.updates), len(m.encoder.scopes),
				len(m.outputs), len(m.dirty))
		}
		kept, largest := 0, 0
		for _, k := range m.encoder.snapshots {
			kept += k.bytes
			largest = max(largest, k.bytes)
		}
		if kept > max(simCacheBytes, largest) {
			s.fail("%s: %d bytes of snapshots cached", x.name, kept)
		}
		for _, session := range m.sessions {
			sum := 0
			for _, bytes := range session.unackedSizes {
				sum += bytes
			}
			if sum != session.unackedBytes || sum > simWindowBytes {
				s.fail("%s: %d bytes unacknowledged by %s, counted %d", x.name, sum, session.subscriber, session.unackedBytes)
			}
			if session.unackedBytes > 0 && s.now > session.lastProgress+m.config.StallTimeout+scanInterval+second/5 && x.up {
				s.fail("%s: nothing acknowledged by %s for too long", x.name, session.subscriber)
			}
		}
	}
}

// converged reports whether every subscriber has the newest committed state, and every server knows that.
func (s *simulation) converged() bool {
	for _, x := range s.subscribers {
		if x.revision != s.reference.head() {
			return false
		}
	}
	applied, subscribers := uint64(0), uint64(0)
	for _, x := range s.servers {
		r := x.machine.Rollout(s.reference.head())
		applied += r.InForce
		subscribers += r.Subscribers
	}
	return applied == uint64(len(s.subscribers)) && subscribers == applied
}

func (s *simulation) reportDivergence() {
	for _, x := range s.subscribers {
		if x.revision != s.reference.head() {
			s.fail("%s is at revision %d, the newest is %d; phase %d, dials at %.3f", x.name, x.revision, s.reference.head(),
				x.machine.phase, float64(x.machine.dialAt)/1e9)
		}
	}
	for _, x := range s.servers {
		if r := x.machine.Rollout(s.reference.head()); r.InForce != r.Subscribers {
			s.fail("%s reports %v", x.name, r)
		}
	}
	s.fail("the servers count too many or too few subscribers")
}
