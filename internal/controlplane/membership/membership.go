// Package membership decides on membership changes of the store's cluster: one change at a time, and an instance
// becomes a voter only once it has caught up with the log.
package membership

import (
	"fmt"

	"aspenshed"
)

const (
	// joinTimeout is how long a join blocks other changes without a request from the joining instance.
	joinTimeout     = aspenshed.Nanos(30e9)
	maxPromotionLag = 16 // log entries that an instance may lag behind when it is promoted to voter
)

// Server is one instance of the cluster configuration.
type Server struct {
	ID, Address string
	Voter       bool
}

// View is the leader's view of the cluster.
type View struct {
	Servers       []Server
	CommitIndex   uint64
	ChangePending bool // the latest configuration is not yet committed
}

// Action is what the leader has to do to the configuration.
type Action int

// The actions.
const (
	NoAction Action = iota
	AddNonvoter
	Promote
	Remove
)

// Decision answers a request to join or to remove an instance. Retry asks the caller to repeat the request later; it is
// not an error.
type Decision struct {
	Action  Action
	Done    bool // the instance is a voter, or has been removed
	Added   bool // the configuration lists it: it may start replication
	Retry   bool
	Refused string
}

// StateMachine is run by the leader. A new leader's has no join on record and finds it in the configuration.
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

// joinInProgress returns the id of another instance that is joining, or "". A join without a request for joinTimeout is
// ignored.
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

// Join handles a join request, which the instance repeats until the decision is Done. empty means that the instance has
// no stored state, so it may have forgotten a vote: it has to join anew even if the configuration lists it.
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
	case s.Voter || s.Address != address: // a lost disk or a new address: remove it, then add it at its next request
		return Decision{Action: Remove, Retry: true}
	}
	m.joiningID, m.lastHeardAt = id, now
	if empty || applied+maxPromotionLag < v.CommitIndex {
		return Decision{Retry: true, Added: true, Refused: fmt.Sprintf("%d of %d entries applied", applied, v.CommitIndex)}
	}
	return Decision{Action: Promote, Retry: true, Added: true}
}

// Leave handles a request to remove an instance.
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
