// Package routing is the third stage: it turns what has happened into the
// decision module's events and hands the module's actions on.
package routing

import (
	"fmt"
	"runtime/debug"
	"slices"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Actions carries out what the module decides.
type Actions interface {
	Send(id, member string, attempt int, giveUpAt, leaveBy aspenshed.Nanos)
	Cancel(id string, attempt int)
	Probe(member string)
	ClosePool(member string)
	Refuse(id string, retryIn aspenshed.Nanos)
	Fail(id string)
	Watch()
}

// Decider is the decision module.
type Decider interface {
	Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action
}

// Stage owns the Router. All of it runs on the loop.
type Stage struct {
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Settings aspenshed.Settings
	Seed     uint64
	Do       Actions
	// Make makes a Decider; nil: the Router.
	Make func(aspenshed.Settings, uint64) (Decider, error)
	// Broken ends all requests at hand after the module has panicked.
	Broken func()

	router  Decider
	events  []aspenshed.Event
	members map[string]aspenshed.Member // as last told, for a new Router
	order   []string
	groups  map[int]bool
}

// Start makes the Router and gives it the list as last known.
func (s *Stage) Start(known []aspenshed.Member) error {
	s.members, s.groups = map[string]aspenshed.Member{}, map[int]bool{}
	if err := s.renew(); err != nil {
		return err
	}
	s.Members(aspenshed.MemberList{Complete: true, Cached: true, Members: known})
	return nil
}

func (s *Stage) renew() (err error) {
	if s.Make != nil {
		s.router, err = s.Make(s.Settings, s.Seed)
	} else {
		s.router, err = aspenshed.New(s.Settings, s.Seed)
	}
	s.Seed++
	return err
}

// KnownGroup tells whether some list has named the group.
func (s *Stage) KnownGroup(g int) bool { return s.groups[g] }

// Request asks the module about a request.
func (s *Stage) Request(r *request.Request) {
	s.Tell(aspenshed.Request{ID: r.ID, Class: r.Class, Group: r.Group, Tenant: r.Tenant, Session: r.Session,
		Remaining: max(r.Deadline-s.Loop.Now(), 1), SinceCommit: r.SinceCommit, IsRetry: r.Repeat})
}

// Members takes news of the member list.
func (s *Stage) Members(l aspenshed.MemberList) {
	if l.Complete {
		s.members, s.order = map[string]aspenshed.Member{}, nil
	}
	for _, m := range l.Members {
		_, old := s.members[m.ID]
		switch s.groups[m.Group] = true; {
		case m.State == aspenshed.Removed: // ids are always new: those that left must not be kept
			delete(s.members, m.ID)
			s.order = slices.DeleteFunc(s.order, func(id string) bool { return id == m.ID })
			continue
		case !old:
			s.order = append(s.order, m.ID)
		}
		s.members[m.ID] = m
	}
	s.Tell(l)
}

// Learned is what the Router has learned; false: another Decider is in its place.
func (s *Stage) Learned() (aspenshed.LearnedState, bool) {
	if r, ok := s.router.(*aspenshed.Router); ok {
		return r.Learned(), true
	}
	return aspenshed.LearnedState{}, false
}

// Tell keeps an event for the next Step.
func (s *Stage) Tell(e aspenshed.Event) { s.events = append(s.events, e) }

// Step gives the module all events at hand and carries out its actions. It runs after every batch.
func (s *Stage) Step() {
	events := s.events
	s.events = nil
	actions, err := s.step(events)
	if err != nil {
		s.recover(err)
		return
	}
	for _, a := range actions {
		s.do(a)
	}
}

func (s *Stage) step(events []aspenshed.Event) (out []aspenshed.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return s.router.Step(s.Loop.Now(), events), nil
}

// recover guards against a defect in the module: every request at hand still gets its one answer, and a new
// Router starts from the member list.
func (s *Stage) recover(err error) {
	s.Log.WithError(err).Error("decision module panicked: requests at hand fail, a new one starts")
	s.Broken()
	if err := s.renew(); err != nil {
		s.Log.WithError(err).Error("decision module did not start again")
		return
	}
	s.events = nil
	s.Tell(aspenshed.MemberList{Complete: true, Cached: true, Members: s.Last()})
	s.Loop.Post(func() {})
}

// Last is the member list as last told.
func (s *Stage) Last() []aspenshed.Member {
	out := make([]aspenshed.Member, 0, len(s.order))
	for _, id := range s.order {
		out = append(out, s.members[id])
	}
	return out
}

func (s *Stage) do(a aspenshed.Action) {
	switch a := a.(type) {
	case aspenshed.Send:
		s.Do.Send(a.ID, a.Member, a.Attempt, a.Deadline, a.SendBy)
	case aspenshed.Cancel:
		s.Do.Cancel(a.ID, a.Attempt)
	case aspenshed.Probe:
		s.Do.Probe(a.Member)
	case aspenshed.CloseIdleConnections:
		s.Do.ClosePool(a.Member)
	case aspenshed.Refuse:
		s.Do.Refuse(a.ID, a.RetryAfter)
	case aspenshed.Fail:
		s.Do.Fail(a.ID)
	case aspenshed.Watch:
		s.Do.Watch()
	case aspenshed.SetTimer:
		s.Loop.At(s.Loop.Now()+a.After, func() { s.Tell(aspenshed.TimerFired{Label: a.Label}) })
	case aspenshed.LogMessage:
		s.Log.WithField("note", a.Text).Info("decision module")
	}
}
