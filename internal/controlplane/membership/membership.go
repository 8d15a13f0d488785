// Package membership decides on changes of the store's instances: never more than one at once, and nobody votes who
// has not caught up.
package membership

import (
	"fmt"

	"aspenshed"
)

const (
	// joinTimeout is how long a join may block others without a word from the one that joins.
	joinTimeout     = aspenshed.Nanos(30e9)
	maxPromotionLag = 16 // log entries that an instance may be behind when it becomes a voter
)

// Server is one instance of the store's configuration.
type Server struct {
	ID, Address string
	Voter       bool
}

// View is what the leader sees.
type View struct {
	Servers       []Server
	CommitIndex   uint64
	ChangePending bool // a change has been made and is not yet agreed
}

// Action is what the leader shall do.
type Action int

// What there is to do.
const (
	NoAction Action = iota
	AddNonvoter
	Promote
	Remove
)

// Decision answers who asks. Later: it is to ask again; nothing is wrong.
type Decision struct {
	Action  Action
	Done    bool // it is a voter, or gone
	Added   bool // the configuration names it: it may start
	Retry   bool
	Refused string
}

// StateMachine is the leader's. A new leader's knows of no join, and takes it from the configuration.
type StateMachine struct {
	joiningID   string
	lastHeardAt aspenshed.Nanos
}

func (v View) findServer(id string) *Server {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return &v.Servers[i]
		}
	}
	return nil
}

// joinInProgress is who joins just now, if not id; one that has been silent for too long no longer counts.
func (m *StateMachine) joinInProgress(now aspenshed.Nanos, v View, id string) string {
	for _, s := range v.Servers {
		if s.Voter || s.ID == id {
			continue
		}
		if m.joiningID != s.ID {
			m.joiningID, m.lastHeardAt = s.ID, now
		}
		if now < m.lastHeardAt+joinTimeout {
			return s.ID
		}
	}
	return ""
}

// Join answers an instance that wants in, and asks again until it is Done. empty: it holds nothing, so a vote that it
// once gave is forgotten: it comes in anew even where the configuration names it.
func (m *StateMachine) Join(now aspenshed.Nanos, v View, id, address string, applied uint64, empty bool) Decision {
	if id == "" || address == "" {
		return Decision{Refused: "an instance needs an id and an address"}
	}
	for _, s := range v.Servers {
		if s.Address == address && s.ID != id {
			return Decision{Refused: fmt.Sprintf("address %s is that of %s", address, s.ID)}
		}
	}
	if v.ChangePending {
		return Decision{Retry: true, Refused: "another change is not yet agreed"}
	}
	if other := m.joinInProgress(now, v, id); other != "" {
		return Decision{Retry: true, Refused: "another change is under way: " + other + " joins"}
	}
	s := v.findServer(id)
	switch {
	case s == nil:
		m.joiningID, m.lastHeardAt = id, now
		return Decision{Action: AddNonvoter, Retry: true}
	case s.Voter && !empty && s.Address == address:
		return Decision{Done: true, Added: true}
	case s.Voter || s.Address != address: // a lost disk or a new address: out first, in the next step in again
		return Decision{Action: Remove, Retry: true}
	}
	m.joiningID, m.lastHeardAt = id, now
	if empty || applied+maxPromotionLag < v.CommitIndex {
		return Decision{Retry: true, Added: true, Refused: fmt.Sprintf("%d of %d entries applied", applied, v.CommitIndex)}
	}
	return Decision{Action: Promote, Retry: true, Added: true}
}

// Leave answers who wants an instance out.
func (m *StateMachine) Leave(now aspenshed.Nanos, v View, id string) Decision {
	s := v.findServer(id)
	if s == nil {
		return Decision{Done: true}
	}
	if v.ChangePending {
		return Decision{Retry: true, Refused: "another change is not yet agreed"}
	}
	if other := m.joinInProgress(now, v, id); other != "" {
		return Decision{Retry: true, Refused: "another change is under way: " + other + " joins"}
	}
	voters := 0
	for _, x := range v.Servers {
		if x.Voter {
			voters++
		}
	}
	if s.Voter && voters == 1 {
		return Decision{Refused: "it is the last voter"}
	}
	return Decision{Action: Remove, Retry: true}
}
