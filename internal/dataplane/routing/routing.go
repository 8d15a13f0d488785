// Package routing is the third stage: it passes events to the router, which takes all decisions, and executes the
// actions that it returns.
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

// Executor executes the actions of the router.
type Executor interface {
	Send(id, member string, attempt int, deadline, sendBy aspenshed.Nanos)
	Cancel(id string, attempt int)
	Probe(member string)
	ClosePool(member string)
	Refuse(id string, retryAfter aspenshed.Nanos, cause aspenshed.Cause)
	Fail(id string, cause aspenshed.Cause)
	Watch()
	Report(aspenshed.Action)
}

// Decider takes the decisions. It is an aspenshed.Router unless Stage.NewDecider creates another one.
type Decider interface {
	Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action
}

// Stage owns the router. All methods must be called on the event loop.
type Stage struct {
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Settings aspenshed.Settings
	Seed     uint64
	Executor Executor
	// NewDecider creates the Decider; nil for an aspenshed.Router.
	NewDecider func(aspenshed.Settings, uint64) (Decider, error)
	// OnPanic ends all pending requests after the Decider has panicked.
	OnPanic func()

	decider       Decider
	pendingEvents []aspenshed.Event
	members       map[string]aspenshed.Member // the current members, with which a new router starts
	memberOrder   []string
	knownGroups   map[int]bool
}

// Start creates the router and gives it the last known member list.
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

// KnownGroup reports whether the group has appeared in a member list.
func (s *Stage) KnownGroup(g int) bool { return s.knownGroups[g] }

// Submit passes a request to the router.
func (s *Stage) Submit(r *request.Request) {
	s.AddEvent(aspenshed.Request{ID: r.ID, Class: r.Class, Group: r.Group, Tenant: r.Tenant, Session: r.Session,
		Remaining: max(r.Deadline-s.Loop.Now(), 1), SinceCommit: r.SinceCommit, IsRetry: r.IsRetry})
}

// UpdateMembers applies an update of the member list and passes it to the router.
func (s *Stage) UpdateMembers(list aspenshed.MemberList) {
	if list.Complete {
		s.members, s.memberOrder = map[string]aspenshed.Member{}, nil
	}
	for _, m := range list.Members {
		_, listed := s.members[m.ID]
		switch s.knownGroups[m.Group] = true; {
		case m.State == aspenshed.Removed: // IDs are never reused, so keeping removed members would leak memory
			delete(s.members, m.ID)
			s.memberOrder = slices.DeleteFunc(s.memberOrder, func(id string) bool { return id == m.ID })
			continue
		case !listed:
			s.memberOrder = append(s.memberOrder, m.ID)
		}
		s.members[m.ID] = m
	}
	s.AddEvent(list)
}

// Learned returns the state that the router has learned, or false if the Decider is not an aspenshed.Router.
func (s *Stage) Learned() (aspenshed.LearnedState, bool) {
	if r, ok := s.decider.(*aspenshed.Router); ok {
		return r.Learned(), true
	}
	return aspenshed.LearnedState{}, false
}

// MaySend reports whether the router still has an attempt sent that it has chosen. A Decider that can't tell has all sent.
func (s *Stage) MaySend(id string, attempt int) bool {
	d, ok := s.decider.(interface{ MaySend(string, int) bool })
	return !ok || d.MaySend(id, attempt)
}

// AddEvent queues an event for the next Step.
func (s *Stage) AddEvent(e aspenshed.Event) { s.pendingEvents = append(s.pendingEvents, e) }

// Step passes all queued events to the router and executes its actions. It is called after each batch of the loop.
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

// StepIfPending passes queued events to the router now, if there are any.
func (s *Stage) StepIfPending() {
	if len(s.pendingEvents) > 0 {
		s.Step()
	}
}

// callDecider turns a panic of the Decider into an error.
func (s *Stage) callDecider(events []aspenshed.Event) (actions []aspenshed.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return s.decider.Step(s.Loop.Now(), events), nil
}

// restart recovers from a panic of the Decider: every pending request still gets its response, and a new Decider starts
// from the current member list.
func (s *Stage) restart(err error) {
	s.Log.WithError(err).Error("decision module panicked: failing all pending requests and restarting it")
	s.OnPanic()
	if err := s.resetDecider(); err != nil {
		s.Log.WithError(err).Error("decision module failed to restart")
		return
	}
	s.pendingEvents = nil
	s.AddEvent(aspenshed.MemberList{Complete: true, Cached: true, Members: s.LastMembers()})
	s.Loop.Post(func() {})
}

// LastMembers returns the current members in the order in which they were added.
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
		s.Executor.Refuse(a.ID, a.RetryAfter, a.Cause)
	case aspenshed.Fail:
		s.Executor.Fail(a.ID, a.Cause)
	case aspenshed.Watch:
		s.Executor.Watch()
	case aspenshed.SetTimer:
		s.Loop.At(s.Loop.Now()+a.After, func() { s.AddEvent(aspenshed.TimerFired{Label: a.Label}) })
	case aspenshed.MemberStateChanged, aspenshed.SlowStartReport, aspenshed.RequestQueued, aspenshed.MembersClockChanged,
		aspenshed.PrimaryChanged:
		s.Executor.Report(a)
	case aspenshed.LogMessage:
		s.Log.WithField("note", a.Text).Info("decision module")
	}
}
