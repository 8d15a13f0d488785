// Package pipeline connects the stages of the data plane into a pipeline with one router, one member list and one
// backend. Each front has its own pipeline.
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

// Config configures a Pipeline.
type Config struct {
	Loop       *eventloop.Loop
	Log        *logrus.Entry
	Settings   aspenshed.Settings
	Seed       uint64
	MaxPending int
	Backend    request.Backend
	Watch      func() // requests the member list; does nothing where the list is not requested
}

// Pipeline is the chain of stages: accept, admission, routing, dispatch, response, accounting.
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

// New returns a Pipeline whose stages are connected.
func New(c Config) *Pipeline {
	c.Settings.Diagnostics = true
	c.Settings.TraceRequests = c.Log.Logger.IsLevelEnabled(logrus.DebugLevel)
	c.Settings.MayHedge = false // dispatch runs one attempt of a request at a time, even if the settings allow more
	p := &Pipeline{Loop: c.Loop, config: c}
	p.Accounting = accounting.New(c.Loop, c.Log)
	p.Response = response.Stage{Loop: c.Loop, Grace: c.Settings.ResponseSlack / 2, OnResponse: func(r *request.Request, resp request.Response) {
		p.Accounting.CountResponse(r, resp)
		p.Dispatch.Withdraw(r)
		if !p.Dispatch.HasAttempt(r) {
			p.Accept.ReleaseID(r)
		}
	}, OnDeadline: func(r *request.Request) {
		c.Log.WithFields(logrus.Fields{"request": r.ID, "class": r.Class}).Warn("request answered at its deadline without the decision module")
		p.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}}
	p.Dispatch = dispatch.Stage{Loop: c.Loop, Log: c.Log, Backend: c.Backend, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleTimeout: c.Settings.IdleTimeout, RemovalIsAdvisory: c.Settings.RemovalIsAdvisory, FindRequest: p.Response.Get, Emit: p.Routing.AddEvent, MaySend: p.Routing.MaySend,
		OnAnswer: func(r *request.Request, res request.Result) {
			resp := request.Response{Status: request.Served, Value: res.Value}
			if res.Outcome == aspenshed.StatementError {
				resp.Status, resp.Reason = request.Failed, res.Detail
			}
			p.Response.Respond(r, resp)
		},
		OnSettled: p.Accept.ReleaseID, OnAttemptEnd: p.Accounting.CountAttempt, OnProbeEnd: p.Accounting.CountProbe}
	p.Routing = routing.Stage{Loop: c.Loop, Log: c.Log, Settings: c.Settings, Seed: c.Seed, Executor: p, OnPanic: func() {
		p.FailAll("decision module panicked")
		p.Dispatch.AbortAll()
	}}
	p.Admission = admission.Stage{MaxPending: c.MaxPending, Pending: p.Response.Pending, Track: func(r *request.Request) {
		p.Accounting.CountRequest(r)
		p.Response.Track(r)
	}, Refuse: p.Response.Respond, Next: p.Routing.Submit}
	p.Accept = accept.Stage{Loop: c.Loop, Settings: &p.config.Settings, KnownGroup: p.Routing.KnownGroup,
		Next: p.Admission.Admit, Reject: func(q request.Query, reason string) {
			p.Accounting.CountRejected(q.Client.Peer(), reason)
			q.Client.Respond(request.Response{Status: request.Failed, Reason: reason, Invalid: true})
		}, Refuse: func(q request.Query, reason string) {
			p.Accounting.CountShed()
			q.Client.Respond(request.Response{Status: request.Refused, Reason: reason})
		}}
	return p
}

// Start starts the stages with the last known member list.
func (p *Pipeline) Start(known aspenshed.MemberList) error {
	p.Dispatch.Start()
	p.Dispatch.UpdateMembers(known)
	if err := p.Routing.Start(known.Members); err != nil {
		return err
	}
	afterBatch := p.Loop.AfterBatch
	p.Loop.AfterBatch = func() {
		afterBatch()
		p.Routing.Step()
	}
	p.logCounts()
	return nil
}

func (p *Pipeline) logCounts() {
	p.Accounting.LogCounts(p.Response.Pending())
	p.Loop.At(p.Loop.Now()+countsInterval, p.logCounts)
}

// UpdateMembers applies an update of the member list. What has been posted before it is decided first: the router chooses
// members by their IDs, and the list may name another server under the same ID.
func (p *Pipeline) UpdateMembers(list aspenshed.MemberList) {
	p.Routing.StepIfPending()
	p.Dispatch.UpdateMembers(list)
	p.Routing.UpdateMembers(list)
}

// AddEvent passes an event to the router.
func (p *Pipeline) AddEvent(event aspenshed.Event) { p.Routing.AddEvent(event) }

// Learned returns the state that the router has learned, if it is an aspenshed.Router.
func (p *Pipeline) Learned() (aspenshed.LearnedState, bool) { return p.Routing.Learned() }

// DiscoveryFailed reports that the member list is currently unavailable.
func (p *Pipeline) DiscoveryFailed(event aspenshed.DiscoveryFailed) { p.Routing.AddEvent(event) }

// Abandon reports that the client of a request has left.
func (p *Pipeline) Abandon(r *request.Request) {
	if !r.Responded {
		p.Response.Respond(r, request.Response{Status: request.ClientGone})
		p.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}
}

// FailAll ends every pending request.
func (p *Pipeline) FailAll(reason string) {
	for _, r := range p.Response.AllPending() {
		p.Response.Respond(r, p.Response.FallbackResponse(r, reason))
		p.Routing.AddEvent(aspenshed.RequestWithdrawn{ID: r.ID})
	}
}

// The methods below implement routing.Executor.

// Send starts an attempt.
func (p *Pipeline) Send(id, member string, attempt int, deadline, sendBy aspenshed.Nanos) {
	if p.config.Settings.TraceRequests {
		p.Accounting.TraceAttempt(p.externalID(id), member, attempt)
	}
	p.Dispatch.Send(id, member, attempt, deadline, sendBy)
}

// Cancel aborts an attempt.
func (p *Pipeline) Cancel(id string, attempt int) { p.Dispatch.Cancel(id, attempt) }

// Probe sends a probe to a member.
func (p *Pipeline) Probe(member string) { p.Dispatch.Probe(member) }

// ClosePool closes the idle connections to a member.
func (p *Pipeline) ClosePool(member string) { p.Dispatch.ClosePool(member) }

// Watch requests the member list.
func (p *Pipeline) Watch() { p.config.Watch() }

// Refuse ends a request that has not been executed.
func (p *Pipeline) Refuse(id string, retryAfter aspenshed.Nanos, cause aspenshed.Cause) {
	p.Response.Respond(p.Response.Get(id), request.Response{Status: request.Refused, RetryAfter: retryAfter, Reason: "try again", Cause: cause})
}

// Report counts and logs what the router reports of members and requests.
func (p *Pipeline) Report(a aspenshed.Action) {
	switch a := a.(type) {
	case aspenshed.MemberStateChanged:
		p.Accounting.CountMemberState(a)
	case aspenshed.SlowStartReport:
		p.Accounting.CountSlowStart(a)
	case aspenshed.PrimaryChanged:
		p.Accounting.CountPrimaryChange(a)
	case aspenshed.MembersClockChanged:
		p.Accounting.LogMembersClock(a)
	case aspenshed.RequestQueued:
		p.Accounting.TraceQueued(p.externalID(a.ID), a.Cause)
	}
}

// externalID returns the ID that the client gave a pending request, or "".
func (p *Pipeline) externalID(id string) string {
	if r := p.Response.Get(id); r != nil {
		return r.ExternalID
	}
	return ""
}

// Fail ends a request that may have been executed.
func (p *Pipeline) Fail(id string, cause aspenshed.Cause) {
	if r := p.Response.Get(id); r != nil {
		p.Response.Respond(r, request.Response{Status: request.Failed, Reason: "no answer that counts", Value: r.LastError, Cause: cause})
	}
}
