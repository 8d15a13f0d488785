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

const countsEvery = aspenshed.Nanos(10e9)

// Config is what an pipeline is made of.
type Config struct {
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Settings aspenshed.Settings
	Seed     uint64
	MostHeld int
	Backend  request.Backend
	Watch    func() // asks for the member list, where it must be asked for
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
	cfg        Config
}

// New wires an pipeline.
func New(c Config) *Pipeline {
	c.Settings.MayHedge = false // send carries one attempt of a request at a time, wherever more are allowed
	e := &Pipeline{Loop: c.Loop, cfg: c}
	e.Accounting = accounting.New(c.Loop, c.Log)
	e.Response = response.Stage{Loop: c.Loop, Grace: c.Settings.ResponseSlack / 2, Ended: func(r *request.Request, f request.Final) {
		e.Accounting.Ended(r, f)
		e.Dispatch.Withdraw(r)
		if !e.Dispatch.Holds(r) {
			e.Accept.Closed(r)
		}
	}, Overdue: func(r *request.Request) {
		c.Log.WithFields(logrus.Fields{"request": r.ID, "class": r.Class}).Warn("request answered at its deadline without the decision module")
		e.Routing.Tell(aspenshed.RequestWithdrawn{ID: r.ID})
	}}
	e.Dispatch = dispatch.Stage{Loop: c.Loop, Log: c.Log, Backend: c.Backend, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleClose: c.Settings.IdleTimeout, SoftRemoval: c.Settings.RemovalIsAdvisory, Get: e.Response.Get, Tell: e.Routing.Tell,
		Answered: func(r *request.Request, res request.Result) {
			f := request.Final{Verdict: request.Served, Value: res.Value}
			if res.Outcome == aspenshed.StatementError {
				f.Verdict, f.Reason = request.Failed, res.Detail
			}
			e.Response.Finish(r, f)
		},
		Settled: e.Accept.Closed, Attempted: e.Accounting.Attempt, Probed: e.Accounting.Probe}
	e.Routing = routing.Stage{Loop: c.Loop, Log: c.Log, Settings: c.Settings, Seed: c.Seed, Do: e, Broken: func() {
		e.FailAll("decision module panicked")
		e.Dispatch.CloseAll()
	}}
	e.Admission = admission.Stage{Most: c.MostHeld, Live: e.Response.Live, Owe: func(r *request.Request) {
		e.Accounting.Took(r)
		e.Response.Owe(r)
	}, Turn: e.Response.Finish, Next: e.Routing.Request}
	e.Accept = accept.Stage{Loop: c.Loop, Settings: &e.cfg.Settings, KnownGroup: e.Routing.KnownGroup,
		Next: e.Admission.Admit, Reject: func(q request.Query, problem string) {
			e.Accounting.Rejected(problem)
			q.Client.Finish(request.Final{Verdict: request.Failed, Reason: problem, Bad: true})
		}}
	return e
}

// Start begins with the members as last known.
func (e *Pipeline) Start(known aspenshed.MemberList, addresses map[string]string) error {
	e.Dispatch.Start()
	e.Dispatch.Members(known, addresses)
	if err := e.Routing.Start(known.Members); err != nil {
		return err
	}
	after := e.Loop.AfterBatch
	e.Loop.AfterBatch = func() {
		after()
		e.Routing.Step()
	}
	e.counts()
	return nil
}

func (e *Pipeline) counts() {
	e.Accounting.Write(e.Response.Live())
	e.Loop.At(e.Loop.Now()+countsEvery, e.counts)
}

// Members takes news of the member list.
func (e *Pipeline) Members(l aspenshed.MemberList, addresses map[string]string) {
	e.Dispatch.Members(l, addresses)
	e.Routing.Members(l)
}

// Tell hands the module an event that comes from no wire.
func (e *Pipeline) Tell(x aspenshed.Event) { e.Routing.Tell(x) }

// Learned is what the module has learned, where it is one that tells.
func (e *Pipeline) Learned() (aspenshed.LearnedState, bool) { return e.Routing.Learned() }

// DiscoveryBroke says that the list cannot be had just now.
func (e *Pipeline) DiscoveryBroke(b aspenshed.DiscoveryFailed) { e.Routing.Tell(b) }

// Leave says that a request's client has gone.
func (e *Pipeline) Leave(r *request.Request) {
	if !r.Final {
		e.Response.Finish(r, request.Final{Verdict: request.Left})
		e.Routing.Tell(aspenshed.RequestWithdrawn{ID: r.ID})
	}
}

// FailAll ends every request at hand.
func (e *Pipeline) FailAll(reason string) {
	for _, r := range e.Response.All() {
		e.Response.Finish(r, e.Response.Honest(r, reason))
		e.Routing.Tell(aspenshed.RequestWithdrawn{ID: r.ID})
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
func (e *Pipeline) Watch() { e.cfg.Watch() }

// Refuse ends a request that has not run.
func (e *Pipeline) Refuse(id string, retryIn aspenshed.Nanos) {
	e.Response.Finish(e.Response.Get(id), request.Final{Verdict: request.Refused, RetryIn: retryIn, Reason: "try again"})
}

// Fail ends a request that may have run.
func (e *Pipeline) Fail(id string) {
	if r := e.Response.Get(id); r != nil {
		e.Response.Finish(r, request.Final{Verdict: request.Failed, Reason: "no answer that counts", Value: r.LastError})
	}
}
