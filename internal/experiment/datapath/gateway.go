package datapath

import (
	"math/rand/v2"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/dataplane/routing"
)

const mostHeld = 8192 // as the daemon's

// gateway is a real pipeline with simulated clients and connections.
type gateway struct {
	number   int
	world    *world
	loop     *eventloop.Loop
	pipeline *pipeline.Pipeline
	router   *aspenshed.Router
	byID     map[string]*database
	random   *rand.Rand
	due      aspenshed.Nanos
	steps    steps
	groups   int
	ended    func(ending) // hears of every statement's end; nil: nobody does
	answers  answers
}

// answers counts ends of statements.
type answers struct{ served, refused, failed int }

// ending is one statement's end.
type ending struct {
	class   int
	arrived aspenshed.Nanos
	at      aspenshed.Nanos
	served  bool
}

// steps is what the routing module was asked, and the processor time that it took.
type steps struct {
	count int
	took  time.Duration
}

// timed is a Router whose Steps are counted.
type timed struct {
	routing.Decider
	steps *steps
}

// Step counts and passes on.
func (t timed) Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action {
	begun := threadTime()
	actions := t.Decider.Step(now, events)
	t.steps.took += threadTime() - begun
	t.steps.count++
	return actions
}

// addGateways starts gateways before all databases, each with so many statements a second over all groups alike.
func (w *world) addGateways(n int, s aspenshed.Settings, statements float64) error {
	list, addresses := w.list()
	byID := map[string]*database{}
	groups := 0
	for _, d := range w.databases {
		byID[d.id] = d
		groups = max(groups, d.group+1)
	}
	for i := range n {
		s.Rank = i
		g := &gateway{number: i, world: w, loop: eventloop.NewLoop(&w.clock), byID: byID, groups: groups,
			random: rand.New(rand.NewPCG(w.random.Uint64(), uint64(i)))}
		g.pipeline = pipeline.New(pipeline.Config{Loop: g.loop, Log: w.log, Settings: s, Seed: w.random.Uint64(),
			MaxPending: mostHeld, Backend: g, Watch: func() {}})
		g.pipeline.Routing.NewDecider = func(s aspenshed.Settings, seed uint64) (routing.Decider, error) {
			r, err := aspenshed.New(s, seed)
			g.router = r
			return timed{r, &g.steps}, err
		}
		if err := g.pipeline.Start(list, addresses); err != nil {
			return err
		}
		g.load(statements)
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// at calls f after a while, on the gateway's loop.
func (g *gateway) at(after aspenshed.Nanos, f func()) *eventloop.Timer {
	return g.loop.At(g.loop.Now()+after, f)
}

// turn handles what is due.
func (g *gateway) turn() { g.due = g.loop.RunPending() }

// load has clients ask at random instants, so many a second in the mean.
func (g *gateway) load(statements float64) {
	if statements <= 0 {
		return
	}
	asked := 0
	var next func()
	next = func() {
		g.ask(mix[asked%len(mix)])
		asked++
		g.at(g.gap(statements), next)
	}
	asked = g.random.IntN(len(mix))
	g.at(g.gap(statements), next)
}

func (g *gateway) gap(statements float64) aspenshed.Nanos {
	return aspenshed.Nanos(g.random.ExpFloat64() * 1e9 / statements)
}

// ask takes one statement in.
func (g *gateway) ask(class int) {
	now := g.loop.Now()
	g.pipeline.Accept.Accept(request.Query{Class: class, Group: g.random.IntN(g.groups), Timeout: statementWait,
		Statement: class == write, Client: &client{g, class, now}}, now)
}

// client waits for one answer.
type client struct {
	gateway *gateway
	class   int
	arrived aspenshed.Nanos
}

// Respond counts the answer.
func (c *client) Respond(f request.Response) {
	switch g := c.gateway; f.Status {
	case request.Served:
		g.answers.served++
	case request.Refused:
		g.answers.refused++
	default:
		g.answers.failed++
	}
	if c.gateway.ended != nil {
		c.gateway.ended(ending{c.class, c.arrived, c.gateway.loop.Now(), f.Status == request.Served})
	}
}
