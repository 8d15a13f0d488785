// Package route is the third stage: it turns what has happened into the
// decision module's events and hands the module's actions on.
package route

import (
	"fmt"
	"runtime/debug"
	"slices"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
)

// Actions carries out what the module decides.
type Actions interface {
	Send(id, member string, attempt int, giveUpAt, leaveBy nc.Nanos)
	Cancel(id string, attempt int)
	Probe(member string)
	ClosePool(member string)
	Refuse(id string, retryIn nc.Nanos)
	Fail(id string)
	Watch()
}

// Decider is the decision module.
type Decider interface {
	Step(now nc.Nanos, events []nc.Event) []nc.Action
}

// Stage owns the Router. All of it runs on the loop.
type Stage struct {
	Loop     *core.Loop
	Log      *logrus.Entry
	Settings nc.Settings
	Seed     uint64
	Do       Actions
	// Make makes a Decider; nil: the Router.
	Make func(nc.Settings, uint64) (Decider, error)
	// Broken ends all requests at hand after the module has panicked.
	Broken func()

	router  Decider
	events  []nc.Event
	members map[string]nc.Member // as last told, for a new Router
	order   []string
	groups  map[int]bool
}

// Start makes the Router and gives it the list as last known.
func (s *Stage) Start(known []nc.Member) error {
	s.members, s.groups = map[string]nc.Member{}, map[int]bool{}
	if err := s.renew(); err != nil {
		return err
	}
	s.Members(nc.MemberList{Whole: true, Remnant: true, Members: known})
	return nil
}

func (s *Stage) renew() (err error) {
	if s.Make != nil {
		s.router, err = s.Make(s.Settings, s.Seed)
	} else {
		s.router, err = nc.New(s.Settings, s.Seed)
	}
	s.Seed++
	return err
}

// KnownGroup tells whether some list has named the group.
func (s *Stage) KnownGroup(g int) bool { return s.groups[g] }

// Request asks the module about a request.
func (s *Stage) Request(r *core.Request) {
	s.Tell(nc.Request{ID: r.ID, Class: r.Class, Group: r.Group, Tenant: r.Tenant, Session: r.Session,
		Remaining: max(r.Deadline-s.Loop.Now(), 1), SinceCommit: r.SinceCommit, Repeat: r.Repeat})
}

// Members takes news of the member list.
func (s *Stage) Members(l nc.MemberList) {
	if l.Whole {
		s.members, s.order = map[string]nc.Member{}, nil
	}
	for _, m := range l.Members {
		_, old := s.members[m.ID]
		switch s.groups[m.Group] = true; {
		case m.State == nc.Gone: // ids are always new: those that left must not be kept
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
func (s *Stage) Learned() (nc.Learned, bool) {
	if r, ok := s.router.(*nc.Router); ok {
		return r.Learned(), true
	}
	return nc.Learned{}, false
}

// Tell keeps an event for the next Step.
func (s *Stage) Tell(e nc.Event) { s.events = append(s.events, e) }

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

func (s *Stage) step(events []nc.Event) (out []nc.Action, err error) {
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
	s.Tell(nc.MemberList{Whole: true, Remnant: true, Members: s.Last()})
	s.Loop.Post(func() {})
}

// Last is the member list as last told.
func (s *Stage) Last() []nc.Member {
	out := make([]nc.Member, 0, len(s.order))
	for _, id := range s.order {
		out = append(out, s.members[id])
	}
	return out
}

func (s *Stage) do(a nc.Action) {
	switch a := a.(type) {
	case nc.Send:
		s.Do.Send(a.ID, a.Member, a.Attempt, a.GiveUpAt, a.LeaveBy)
	case nc.Cancel:
		s.Do.Cancel(a.ID, a.Attempt)
	case nc.Probe:
		s.Do.Probe(a.Member)
	case nc.ClosePool:
		s.Do.ClosePool(a.Member)
	case nc.Refuse:
		s.Do.Refuse(a.ID, a.RetryIn)
	case nc.Fail:
		s.Do.Fail(a.ID)
	case nc.Watch:
		s.Do.Watch()
	case nc.Wake:
		s.Loop.At(s.Loop.Now()+a.After, func() { s.Tell(nc.Woke{Label: a.Label}) })
	case nc.Note:
		s.Log.WithField("note", a.Text).Info("decision module")
	}
}
