// Package mode determines the mode of a store instance from its contact with the leader and its replication lag.
package mode

import "aspenshed"

// Mode is the state of an instance within the cluster.
type Mode int

// The modes.
const (
	CatchingUp Mode = iota // it has not applied all committed entries; its leases and drains may be out of date
	Following
	Leading
	Disconnected // no contact with a leader for ContactTimeout: it serves its last applied state
	Standalone   // it has no peers
)

func (m Mode) String() string {
	return [...]string{"catching_up", "following", "leading", "cut_off", "alone"}[m]
}

// The time limits, by the instance's own clock.
const (
	ContactTimeout = aspenshed.Nanos(1500e6) // without contact: three heartbeats of a healthy leader
	ReconnectAfter = aspenshed.Nanos(500e6)  // of uninterrupted contact before a disconnected instance leaves that mode
	maxFollowerLag = 64                      // log entries that a follower may lag behind without catching up
)

// Observation is what the instance observes of the cluster at one step.
type Observation struct {
	Standalone, IsLeader, IsVoter bool
	LeaderContact                 bool // contact with a leader since the last Step, or it leads with a majority
	AppliedIndex, CommitIndex     uint64
}

// StateMachine determines the mode.
type StateMachine struct {
	mode                        Mode
	lastContactAt, contactSince aspenshed.Nanos // since when contact is uninterrupted; 0: none
	initialized                 bool
	catchUpTarget               uint64 // log index to apply before catching up ends
}

// Step processes an observation and returns the mode, and whether it has changed.
func (m *StateMachine) Step(now aspenshed.Nanos, s Observation) (Mode, bool) {
	previous, initialized := m.mode, m.initialized
	if !initialized {
		m.initialized, m.lastContactAt = true, now
	}
	if s.LeaderContact {
		if m.contactSince == 0 {
			m.contactSince = now
		}
		m.lastContactAt = now
	}
	timedOut := now-m.lastContactAt >= ContactTimeout
	if timedOut {
		m.contactSince = 0
	}
	switch {
	case s.Standalone:
		m.mode = Standalone
	case timedOut:
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
	return m.mode, m.mode != previous || !initialized
}

// endCatchUp leaves CatchingUp once everything that was committed when it began has been applied.
func (m *StateMachine) endCatchUp(s Observation) {
	switch {
	case s.IsLeader:
		m.mode, m.catchUpTarget = Leading, 0
	case s.IsVoter && s.CommitIndex > 0 && s.AppliedIndex >= min(m.catchUpTarget, s.CommitIndex) && s.AppliedIndex+maxFollowerLag >= s.CommitIndex:
		m.mode, m.catchUpTarget = Following, 0
	}
}
