// Package mode decides in which mode an instance of the store is: what it may believe of the others.
package mode

import "aspenshed"

// Mode is what an instance takes itself to be.
type Mode int

// The modes.
const (
	CatchingUp Mode = iota // it has not yet all that was agreed; its leases and drains may lag
	Following
	Leading
	Disconnected // no word from a leader for too long: it serves from what it last held
	Standalone   // it has no others
)

func (m Mode) String() string {
	return [...]string{"catching_up", "following", "leading", "cut_off", "alone"}[m]
}

// The limits, on the instance's own clock.
const (
	ContactTimeout = aspenshed.Nanos(1500e6) // without contact: three heartbeats of a leader that is well
	ReconnectAfter = aspenshed.Nanos(500e6)  // of unbroken contact before a cut-off instance counts as back
	maxFollowerLag = 64                      // log entries that a follower may be behind and still follow
)

// Observation is what the instance sees of the store just now.
type Observation struct {
	Standalone, IsLeader, IsVoter bool
	LeaderContact                 bool // a leader was heard of since the last Step, or is this instance with a majority behind it
	AppliedIndex, CommitIndex     uint64
}

// StateMachine holds the mode.
type StateMachine struct {
	mode                        Mode
	lastContactAt, contactSince aspenshed.Nanos // of the present stretch of contact
	initialized                 bool
	catchUpTarget               uint64 // what it has to have applied to be back
}

// Step takes what is seen and tells the mode, and whether it has changed.
func (m *StateMachine) Step(now aspenshed.Nanos, s Observation) (Mode, bool) {
	was, born := m.mode, m.initialized
	if !born {
		m.initialized, m.lastContactAt = true, now
	}
	if s.LeaderContact {
		if m.contactSince == 0 {
			m.contactSince = now
		}
		m.lastContactAt = now
	}
	cut := now-m.lastContactAt >= ContactTimeout
	if cut {
		m.contactSince = 0
	}
	switch {
	case s.Standalone:
		m.mode = Standalone
	case cut:
		m.mode = Disconnected
	case m.mode == Disconnected:
		if m.catchUpTarget = max(m.catchUpTarget, s.CommitIndex); m.contactSince > 0 && now >= m.contactSince+ReconnectAfter {
			m.mode = CatchingUp
			m.endCatchUp(s)
		}
	case m.mode == CatchingUp:
		m.catchUpTarget = max(m.catchUpTarget, s.CommitIndex)
		m.endCatchUp(s)
	case s.IsLeader:
		m.mode = Leading
	case s.AppliedIndex+maxFollowerLag < s.CommitIndex:
		m.mode, m.catchUpTarget = CatchingUp, s.CommitIndex
	default:
		m.mode = Following
	}
	return m.mode, m.mode != was || !born
}

// endCatchUp ends the mode once all that was agreed when it began has been applied.
func (m *StateMachine) endCatchUp(s Observation) {
	switch {
	case s.IsLeader:
		m.mode, m.catchUpTarget = Leading, 0
	case s.IsVoter && s.CommitIndex > 0 && s.AppliedIndex >= min(m.catchUpTarget, s.CommitIndex) && s.AppliedIndex+maxFollowerLag >= s.CommitIndex:
		m.mode, m.catchUpTarget = Following, 0
	}
}
