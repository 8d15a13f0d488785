// Package estate wires the chain of stages for one estate: one Router, one
// member list, one backend. Each front has an estate of its own, of the same code.
package estate

import (
	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
	"aspenshed/internal/stage/admit"
	"aspenshed/internal/stage/book"
	"aspenshed/internal/stage/intake"
	"aspenshed/internal/stage/relay"
	"aspenshed/internal/stage/route"
	"aspenshed/internal/stage/send"
)

const countsEvery = nc.Nanos(10e9)

// Config is what an estate is made of.
type Config struct {
	Loop     *core.Loop
	Log      *logrus.Entry
	Settings nc.Settings
	Seed     uint64
	MostHeld int
	Backend  core.Backend
	Watch    func() // asks for the member list, where it must be asked for
}

// Estate is the chain: take in, admit, route, send, relay, book.
type Estate struct {
	Loop   *core.Loop
	Intake intake.Stage
	Admit  admit.Stage
	Route  route.Stage
	Sender send.Stage
	Relay  relay.Stage
	Book   book.Stage
	cfg    Config
}

// New wires an estate.
func New(c Config) *Estate {
	c.Settings.MayCopy = false // send carries one attempt of a request at a time, wherever more are allowed
	e := &Estate{Loop: c.Loop, cfg: c}
	e.Book = book.New(c.Loop, c.Log)
	e.Relay = relay.Stage{Loop: c.Loop, Grace: c.Settings.AnswerSlack / 2, Ended: func(r *core.Request, f core.Final) {
		e.Book.Ended(r, f)
		e.Sender.Withdraw(r)
		if !e.Sender.Holds(r) {
			e.Intake.Closed(r)
		}
	}, Overdue: func(r *core.Request) {
		c.Log.WithFields(logrus.Fields{"request": r.ID, "class": r.Class}).Warn("request answered at its deadline without the decision module")
		e.Route.Tell(nc.Left{ID: r.ID})
	}}
	e.Sender = send.Stage{Loop: c.Loop, Log: c.Log, Backend: c.Backend, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleClose: c.Settings.IdleClose, SoftRemoval: c.Settings.RemovalIsSoft, Get: e.Relay.Get, Tell: e.Route.Tell,
		Answered: func(r *core.Request, res core.Result) {
			f := core.Final{Verdict: core.Served, Value: res.Value}
			if res.Outcome == nc.Rejected {
				f.Verdict, f.Reason = core.Failed, res.Detail
			}
			e.Relay.Finish(r, f)
		},
		Settled: e.Intake.Closed, Attempted: e.Book.Attempt, Probed: e.Book.Probe}
	e.Route = route.Stage{Loop: c.Loop, Log: c.Log, Settings: c.Settings, Seed: c.Seed, Do: e, Broken: func() {
		e.FailAll("decision module panicked")
		e.Sender.CloseAll()
	}}
	e.Admit = admit.Stage{Most: c.MostHeld, Live: e.Relay.Live, Owe: func(r *core.Request) {
		e.Book.Took(r)
		e.Relay.Owe(r)
	}, Turn: e.Relay.Finish, Next: e.Route.Request}
	e.Intake = intake.Stage{Loop: c.Loop, Settings: &e.cfg.Settings, KnownGroup: e.Route.KnownGroup,
		Next: e.Admit.Admit, Reject: func(q core.Query, problem string) {
			e.Book.Rejected(problem)
			q.Client.Finish(core.Final{Verdict: core.Failed, Reason: problem, Bad: true})
		}}
	return e
}

// Start begins with the members as last known.
func (e *Estate) Start(known nc.MemberList, addresses map[string]string) error {
	e.Sender.Start()
	e.Sender.Members(known, addresses)
	if err := e.Route.Start(known.Members); err != nil {
		return err
	}
	after := e.Loop.AfterBatch
	e.Loop.AfterBatch = func() {
		after()
		e.Route.Step()
	}
	e.counts()
	return nil
}

func (e *Estate) counts() {
	e.Book.Write(e.Relay.Live())
	e.Loop.At(e.Loop.Now()+countsEvery, e.counts)
}

// Members takes news of the member list.
func (e *Estate) Members(l nc.MemberList, addresses map[string]string) {
	e.Sender.Members(l, addresses)
	e.Route.Members(l)
}

// Tell hands the module an event that comes from no wire.
func (e *Estate) Tell(x nc.Event) { e.Route.Tell(x) }

// Learned is what the module has learned, where it is one that tells.
func (e *Estate) Learned() (nc.Learned, bool) { return e.Route.Learned() }

// DiscoveryBroke says that the list cannot be had just now.
func (e *Estate) DiscoveryBroke(b nc.DiscoveryBroke) { e.Route.Tell(b) }

// Leave says that a request's client has gone.
func (e *Estate) Leave(r *core.Request) {
	if !r.Final {
		e.Relay.Finish(r, core.Final{Verdict: core.Left})
		e.Route.Tell(nc.Left{ID: r.ID})
	}
}

// FailAll ends every request at hand.
func (e *Estate) FailAll(reason string) {
	for _, r := range e.Relay.All() {
		e.Relay.Finish(r, e.Relay.Honest(r, reason))
		e.Route.Tell(nc.Left{ID: r.ID})
	}
}

// The module's actions.

// Send starts an attempt.
func (e *Estate) Send(id, member string, attempt int, giveUpAt, leaveBy nc.Nanos) {
	e.Sender.Send(id, member, attempt, giveUpAt, leaveBy)
}

// Cancel gives one up.
func (e *Estate) Cancel(id string, attempt int) { e.Sender.Cancel(id, attempt) }

// Probe asks a member.
func (e *Estate) Probe(member string) { e.Sender.Probe(member) }

// ClosePool closes idle links.
func (e *Estate) ClosePool(member string) { e.Sender.ClosePool(member) }

// Watch asks for the member list.
func (e *Estate) Watch() { e.cfg.Watch() }

// Refuse ends a request that has not run.
func (e *Estate) Refuse(id string, retryIn nc.Nanos) {
	e.Relay.Finish(e.Relay.Get(id), core.Final{Verdict: core.Refused, RetryIn: retryIn, Reason: "try again"})
}

// Fail ends a request that may have run.
func (e *Estate) Fail(id string) {
	if r := e.Relay.Get(id); r != nil {
		e.Relay.Finish(r, core.Final{Verdict: core.Failed, Reason: "no answer that counts", Value: r.LastError})
	}
}
