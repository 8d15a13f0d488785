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

// Executor carries out what the module decides.
type Executor interface {
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
	Executor Executor
	// NewDecider makes a Decider; nil: the Router.
	NewDecider func(aspenshed.Settings, uint64) (Decider, error)
	// OnPanic ends all requests at hand after the module has panicked.
	OnPanic func()

	decider       Decider
	pendingEvents []aspenshed.Event
	members       map[string]aspenshed.Member // as last told, for a new Router
	memberOrder   []string
	knownGroups   map[int]bool
}

// Start makes the Router and gives it the list as last known.
func (s *Stage) Start(known []aspenshed.Member) error {
	s.members, s.knownGroups = map[string]aspenshed.Member{}, map[int]bool{}
	if err := s.resetDecider(); err != nil {
		return err
	}
	s.UpdateMembers(aspenshed.MemberList{Complete: true, Cached: true, Members: known})
	return nil
}

func (s *Stage) resetDecider() (err error) {
	if s.NewDecider != nil {
		s.decider, err = s.NewDecider(s.Settings, s.Seed)
	} else {
		s.decider, err = aspenshed.New(s.Settings, s.Seed)
	}
	s.Seed++
	return err
}

// KnownGroup tells whether some list has named the group.
func (s *Stage) KnownGroup(g int) bool { return s.knownGroups[g] }

// Submit asks the module about a request.
func (s *Stage) Submit(r *request.Request) {
	s.AddEvent(aspenshed.Request{ID: r.ID, Class: r.Class, Group: r.Group, Tenant: r.Tenant, Session: r.Session,
		Remaining: max(r.Deadline-s.Loop.Now(), 1), SinceCommit: r.SinceCommit, IsRetry: r.IsRetry})
}

// UpdateMembers takes news of the member list.
func (s *Stage) UpdateMembers(l aspenshed.MemberList) {
	if l.Complete {
		s.members, s.memberOrder = map[string]aspenshed.Member{}, nil
	}
	for _, m := range l.Members {
		_, old := s.members[m.ID]
		switch s.knownGroups[m.Group] = true; {
		case m.State == aspenshed.Removed: // ids are always new: those that left must not be kept
			delete(s.members, m.ID)
			s.memberOrder = slices.DeleteFunc(s.memberOrder, func(id string) bool { return id == m.ID })
			continue
		case !old:
			s.memberOrder = append(s.memberOrder, m.ID)
		}
		s.members[m.ID] = m
	}
	s.AddEvent(l)
}

// Learned is what the Router has learned; false: another Decider is in its place.
func (s *Stage) Learned() (aspenshed.LearnedState, bool) {
	if r, ok := s.decider.(*aspenshed.Router); ok {
		return r.Learned(), true
	}
	return aspenshed.LearnedState{}, false
}

// AddEvent keeps an event for the next Step.
func (s *Stage) AddEvent(e aspenshed.Event) { s.pendingEvents = append(s.pendingEvents, e) }

// Step gives the module all events at hand and carries out its actions. It runs after every batch.
func (s *Stage) Step() {
	events := s.pendingEvents
	s.pendingEvents = nil
	actions, err := s.callDecider(events)
	if err != nil {
		s.restart(err)
		return
	}
	for _, a := range actions {
		s.execute(a)
	}
}

func (s *Stage) callDecider(events []aspenshed.Event) (out []aspenshed.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return s.decider.Step(s.Loop.Now(), events), nil
}

// restart guards against a defect in the module: every request at hand still gets its one answer, and a new
// Router starts from the member list.
func (s *Stage) restart(err error) {
	s.Log.WithError(err).Error("decision module panicked: requests at hand fail, a new one starts")
	s.OnPanic()
	if err := s.resetDecider(); err != nil {
		s.Log.WithError(err).Error("decision module did not start again")
		return
	}
	s.pendingEvents = nil
	s.AddEvent(aspenshed.MemberList{Complete: true, Cached: true, Members: s.LastMembers()})
	s.Loop.Post(func() {})
}

// LastMembers is the member list as last told.
func (s *Stage) LastMembers() []aspenshed.Member {
	out := make([]aspenshed.Member, 0, len(s.memberOrder))
	for _, id := range s.memberOrder {
		out = append(out, s.members[id])
	}
	return out
}

func (s *Stage) execute(a aspenshed.Action) {
	switch a := a.(type) {
	case aspenshed.Send:
		s.Executor.Send(a.ID, a.Member, a.Attempt, a.Deadline, a.SendBy)
	case aspenshed.Cancel:
		s.Executor.Cancel(a.ID, a.Attempt)
	case aspenshed.Probe:
		s.Executor.Probe(a.Member)
	case aspenshed.CloseIdleConnections:
		s.Executor.ClosePool(a.Member)
	case aspenshed.Refuse:
		s.Executor.Refuse(a.ID, a.RetryAfter)
	case aspenshed.Fail:
		s.Executor.Fail(a.ID)
	case aspenshed.Watch:
		s.Executor.Watch()
	case aspenshed.SetTimer:
		s.Loop.At(s.Loop.Now()+a.After, func() { s.AddEvent(aspenshed.TimerFired{Label: a.Label}) })
	case aspenshed.LogMessage:
		s.Log.WithField("note", a.Text).Info("decision module")
	}
}
