// Package membership decides on changes of the store's instances: never more than one at once, and nobody votes who
// has not caught up.
package membership

import (
	"fmt"

	"aspenshed"
)

const (
	// joinLimit is how long a join may block others without a word from the one that joins.
	joinLimit = aspenshed.Nanos(30e9)
	mostLag   = 16 // log entries that an instance may be behind when it becomes a voter
)

// Server is one instance of the store's configuration.
type Server struct {
	ID, Address string
	Voter       bool
}

// View is what the leader sees.
type View struct {
	Servers []Server
	Commit  uint64
	Pending bool // a change has been made and is not yet agreed
}

// Do is what the leader shall do.
type Do int

// What there is to do.
const (
	Nothing Do = iota
	AddNonvoter
	Promote
	Remove
)

// Verdict answers who asks. Later: it is to ask again; nothing is wrong.
type Verdict struct {
	Do      Do
	Done    bool // it is a voter, or gone
	Added   bool // the configuration names it: it may start
	Later   bool
	Refused string
}

// Machine is the leader's. A new leader's knows of no join, and takes it from the configuration.
type Machine struct {
	joining string
	heard   aspenshed.Nanos
}

func (v View) find(id string) *Server {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return &v.Servers[i]
		}
	}
	return nil
}

// underWay is who joins just now, if not id; one that has been silent for too long no longer counts.
func (m *Machine) underWay(now aspenshed.Nanos, v View, id string) string {
	for _, s := range v.Servers {
		if s.Voter || s.ID == id {
			continue
		}
		if m.joining != s.ID {
			m.joining, m.heard = s.ID, now
		}
		if now < m.heard+joinLimit {
			return s.ID
		}
	}
	return ""
}

// Join answers an instance that wants in, and asks again until it is Done. empty: it holds nothing, so a vote that it
// once gave is forgotten: it comes in anew even where the configuration names it.
func (m *Machine) Join(now aspenshed.Nanos, v View, id, address string, applied uint64, empty bool) Verdict {
	if id == "" || address == "" {
		return Verdict{Refused: "an instance needs an id and an address"}
	}
	for _, s := range v.Servers {
		if s.Address == address && s.ID != id {
			return Verdict{Refused: fmt.Sprintf("address %s is that of %s", address, s.ID)}
		}
	}
	if v.Pending {
		return Verdict{Later: true, Refused: "another change is not yet agreed"}
	}
	if other := m.underWay(now, v, id); other != "" {
		return Verdict{Later: true, Refused: "another change is under way: " + other + " joins"}
	}
	s := v.find(id)
	switch {
	case s == nil:
		m.joining, m.heard = id, now
		return Verdict{Do: AddNonvoter, Later: true}
	case s.Voter && !empty && s.Address == address:
		return Verdict{Done: true, Added: true}
	case s.Voter || s.Address != address: // a lost disk or a new address: out first, in the next step in again
		return Verdict{Do: Remove, Later: true}
	}
	m.joining, m.heard = id, now
	if empty || applied+mostLag < v.Commit {
		return Verdict{Later: true, Added: true, Refused: fmt.Sprintf("%d of %d entries applied", applied, v.Commit)}
	}
	return Verdict{Do: Promote, Later: true, Added: true}
}

// Leave answers who wants an instance out.
func (m *Machine) Leave(now aspenshed.Nanos, v View, id string) Verdict {
	s := v.find(id)
	if s == nil {
		return Verdict{Done: true}
	}
	if v.Pending {
		return Verdict{Later: true, Refused: "another change is not yet agreed"}
	}
	if other := m.underWay(now, v, id); other != "" {
		return Verdict{Later: true, Refused: "another change is under way: " + other + " joins"}
	}
	voters := 0
	for _, x := range v.Servers {
		if x.Voter {
			voters++
		}
	}
	if s.Voter && voters == 1 {
		return Verdict{Refused: "it is the last voter"}
	}
	return Verdict{Do: Remove, Later: true}
}
