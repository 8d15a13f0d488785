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
	CutOff // no word from a leader for too long: it serves from what it last held
	Alone  // it has no others
)

func (m Mode) String() string {
	return [...]string{"catching_up", "following", "leading", "cut_off", "alone"}[m]
}

// The limits, on the instance's own clock.
const (
	CutAfter  = aspenshed.Nanos(1500e6) // without contact: three heartbeats of a leader that is well
	BackAfter = aspenshed.Nanos(500e6)  // of unbroken contact before a cut-off instance counts as back
	mostLag   = 64                      // log entries that a follower may be behind and still follow
)

// Seen is what the instance sees of the store just now.
type Seen struct {
	Alone, Leads, Voter bool
	Contact             bool // a leader was heard of since the last Step, or is this instance with a majority behind it
	Applied, Commit     uint64
}

// Machine holds the mode.
type Machine struct {
	mode                 Mode
	lastContact, firstOf aspenshed.Nanos // of the present stretch of contact
	born                 bool
	must                 uint64 // what it has to have applied to be back
}

// Step takes what is seen and tells the mode, and whether it has changed.
func (m *Machine) Step(now aspenshed.Nanos, s Seen) (Mode, bool) {
	was, born := m.mode, m.born
	if !born {
		m.born, m.lastContact = true, now
	}
	if s.Contact {
		if m.firstOf == 0 {
			m.firstOf = now
		}
		m.lastContact = now
	}
	cut := now-m.lastContact >= CutAfter
	if cut {
		m.firstOf = 0
	}
	switch {
	case s.Alone:
		m.mode = Alone
	case cut:
		m.mode = CutOff
	case m.mode == CutOff:
		if m.must = max(m.must, s.Commit); m.firstOf > 0 && now >= m.firstOf+BackAfter {
			m.mode = CatchingUp
			m.catchUp(s)
		}
	case m.mode == CatchingUp:
		m.must = max(m.must, s.Commit)
		m.catchUp(s)
	case s.Leads:
		m.mode = Leading
	case s.Applied+mostLag < s.Commit:
		m.mode, m.must = CatchingUp, s.Commit
	default:
		m.mode = Following
	}
	return m.mode, m.mode != was || !born
}

// catchUp ends the mode once all that was agreed when it began has been applied.
func (m *Machine) catchUp(s Seen) {
	switch {
	case s.Leads:
		m.mode, m.must = Leading, 0
	case s.Voter && s.Commit > 0 && s.Applied >= min(m.must, s.Commit) && s.Applied+mostLag >= s.Commit:
		m.mode, m.must = Following, 0
	}
}
