// Package pipeline wires the chain of stages for one pipeline: one Router, one
// member list, one backend. Each front has an pipeline of its own, of the same code.
package pipeline

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/accept"
	"aspenshed/internal/dataplane/accounting"
	"aspenshed/internal/dataplane/admission"
	"aspenshed/internal/dataplane/dispatch"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/dataplane/response"
	"aspenshed/internal/dataplane/routing"
)

const countsInterval = aspenshed.Nanos(10e9)

// Config is what an pipeline is made of.
type Config struct {
	Loop       *eventloop.Loop
	Log        *logrus.Entry
	Settings   aspenshed.Settings
	Seed       uint64
	MaxPending int
	Backend    request.Backend
	Watch      func() // asks for the member list, where it must be asked for
}

// Pipeline is the chain: take in, admit, route, send, relay, book.
type Pipeline struct {
	Loop       *eventloop.Loop
	Accept     accept.Stage
	Admission  admission.Stage
	Routing    routing.Stage
	Dispatch   dispatch.Stage
	Response   response.Stage
	Accounting accounting.Stage
	config     Config
}

// New wires an pipeline.
func New(c Config) *Pipeline {
	c.Settings.MayHedge = false // send carries one attempt of a request at a time, wherever more are allowed
	e := &Pipeline{Loop: c.Loop, config: c}
	e.Accounting = accounting.New(c.Loop, c.Log)
	e.Response = response.Stage{Loop: c.Loop, Grace: c.Settings.ResponseSlack / 2, OnResponse: func(r *request.Request, f request.Response) {
		e.Accounting.CountResponse(r, f)
		e.Dispatch.Withdraw(r)
		if !e.Dispatch.HasAttempt(r) {
			e.Accept.ReleaseID(r)
		}
	}, OnDeadline: func(r *request.Request) {
		c.Log.WithFields(logrus.Fields{"request": r.ID, "class": r.Class}).Warn("request answered at its deadline without the decision module")
		e.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}}
	e.Dispatch = dispatch.Stage{Loop: c.Loop, Log: c.Log, Backend: c.Backend, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleClose: c.Settings.IdleTimeout, RemovalNotBinding: c.Settings.RemovalIsAdvisory, FindRequest: e.Response.Get, Emit: e.Routing.AddEvent,
		OnAnswer: func(r *request.Request, res request.Result) {
			f := request.Response{Status: request.Served, Value: res.Value}
			if res.Outcome == aspenshed.StatementError {
				f.Status, f.Reason = request.Failed, res.Detail
			}
			e.Response.Respond(r, f)
		},
		OnSettled: e.Accept.ReleaseID, OnAttemptEnd: e.Accounting.CountAttempt, OnProbeEnd: e.Accounting.CountProbe}
	e.Routing = routing.Stage{Loop: c.Loop, Log: c.Log, Settings: c.Settings, Seed: c.Seed, Executor: e, OnPanic: func() {
		e.FailAll("decision module panicked")
		e.Dispatch.AbortAll()
	}}
	e.Admission = admission.Stage{MaxPending: c.MaxPending, Pending: e.Response.Pending, Track: func(r *request.Request) {
		e.Accounting.CountRequest(r)
		e.Response.Track(r)
	}, Refuse: e.Response.Respond, Next: e.Routing.Submit}
	e.Accept = accept.Stage{Loop: c.Loop, Settings: &e.config.Settings, KnownGroup: e.Routing.KnownGroup,
		Next: e.Admission.Admit, Reject: func(q request.Query, problem string) {
			e.Accounting.CountRejected(problem)
			q.Client.Respond(request.Response{Status: request.Failed, Reason: problem, Invalid: true})
		}}
	return e
}

// Start begins with the members as last known.
func (e *Pipeline) Start(known aspenshed.MemberList, addresses map[string]string) error {
	e.Dispatch.Start()
	e.Dispatch.UpdateMembers(known, addresses)
	if err := e.Routing.Start(known.Members); err != nil {
		return err
	}
	after := e.Loop.AfterBatch
	e.Loop.AfterBatch = func() {
		after()
		e.Routing.Step()
	}
	e.logCounts()
	return nil
}

func (e *Pipeline) logCounts() {
	e.Accounting.LogCounts(e.Response.Pending())
	e.Loop.At(e.Loop.Now()+countsInterval, e.logCounts)
}

// Members takes news of the member list.
func (e *Pipeline) Members(l aspenshed.MemberList, addresses map[string]string) {
	e.Dispatch.UpdateMembers(l, addresses)
	e.Routing.UpdateMembers(l)
}

// Tell hands the module an event that comes from no wire.
func (e *Pipeline) Tell(x aspenshed.Event) { e.Routing.AddEvent(x) }

// Learned is what the module has learned, where it is one that tells.
func (e *Pipeline) Learned() (aspenshed.LearnedState, bool) { return e.Routing.Learned() }

// DiscoveryFailed says that the list cannot be had just now.
func (e *Pipeline) DiscoveryFailed(b aspenshed.DiscoveryFailed) { e.Routing.AddEvent(b) }

// Abandon says that a request's client has gone.
func (e *Pipeline) Abandon(r *request.Request) {
	if !r.Responded {
		e.Response.Respond(r, request.Response{Status: request.ClientGone})
		e.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}
}

// FailAll ends every request at hand.
func (e *Pipeline) FailAll(reason string) {
	for _, r := range e.Response.AllPending() {
		e.Response.Respond(r, e.Response.FallbackResponse(r, reason))
		e.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}
}

// The module's actions.

// Send starts an attempt.
func (e *Pipeline) Send(id, member string, attempt int, giveUpAt, leaveBy aspenshed.Nanos) {
	e.Dispatch.Send(id, member, attempt, giveUpAt, leaveBy)
}

// Cancel gives one up.
func (e *Pipeline) Cancel(id string, attempt int) { e.Dispatch.Cancel(id, attempt) }

// Probe asks a member.
func (e *Pipeline) Probe(member string) { e.Dispatch.Probe(member) }

// ClosePool closes idle links.
func (e *Pipeline) ClosePool(member string) { e.Dispatch.ClosePool(member) }

// Watch asks for the member list.
func (e *Pipeline) Watch() { e.config.Watch() }

// Refuse ends a request that has not run.
func (e *Pipeline) Refuse(id string, retryIn aspenshed.Nanos) {
	e.Response.Respond(e.Response.Get(id), request.Response{Status: request.Refused, RetryAfter: retryIn, Reason: "try again"})
}

// Fail ends a request that may have run.
func (e *Pipeline) Fail(id string) {
	if r := e.Response.Get(id); r != nil {
		e.Response.Respond(r, request.Response{Status: request.Failed, Reason: "no answer that counts", Value: r.LastError})
	}
}
