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

const maxPending = 8192 // as the daemon's

// gateway is a real pipeline with simulated clients and connections.
type gateway struct {
	number       int
	world        *simulation
	loop         *eventloop.Loop
	pipeline     *pipeline.Pipeline
	router       *aspenshed.Router
	databaseByID map[string]*database
	random       *rand.Rand
	nextDue      aspenshed.Nanos
	steps        stepStats
	groups       int
	onCompletion func(completion) // hears of every statement's end; nil: nobody does
	responses    responseCounts
}

// responseCounts counts ends of statements.
type responseCounts struct{ served, refused, failed int }

// completion is one statement's end.
type completion struct {
	class       int
	arrivedAt   aspenshed.Nanos
	completedAt aspenshed.Nanos
	served      bool
}

// stepStats is what the routing module was asked, and the processor time that it took.
type stepStats struct {
	count   int
	cpuTime time.Duration
}

// timedDecider is a Router whose Steps are counted.
type timedDecider struct {
	routing.Decider
	steps *stepStats
}

// Step counts and passes on.
func (t timedDecider) Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action {
	begun := threadCPUTime()
	actions := t.Decider.Step(now, events)
	t.steps.cpuTime += threadCPUTime() - begun
	t.steps.count++
	return actions
}

// addGateways starts gateways before all databases, each with so many statements a second over all groups alike.
func (w *simulation) addGateways(n int, s aspenshed.Settings, statements float64) error {
	list, addresses := w.memberList()
	byID := map[string]*database{}
	groups := 0
	for _, d := range w.databases {
		byID[d.id] = d
		groups = max(groups, d.group+1)
	}
	for i := range n {
		s.Rank = i
		g := &gateway{number: i, world: w, loop: eventloop.NewLoop(&w.clock), databaseByID: byID, groups: groups,
			random: rand.New(rand.NewPCG(w.random.Uint64(), uint64(i)))}
		g.pipeline = pipeline.New(pipeline.Config{Loop: g.loop, Log: w.log, Settings: s, Seed: w.random.Uint64(),
			MaxPending: maxPending, Backend: g, Watch: func() {}})
		g.pipeline.Routing.NewDecider = func(s aspenshed.Settings, seed uint64) (routing.Decider, error) {
			r, err := aspenshed.New(s, seed)
			g.router = r
			return timedDecider{r, &g.steps}, err
		}
		if err := g.pipeline.Start(list, addresses); err != nil {
			return err
		}
		g.generateLoad(statements)
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// after calls f after a while, on the gateway's loop.
func (g *gateway) after(after aspenshed.Nanos, f func()) *eventloop.Timer {
	return g.loop.At(g.loop.Now()+after, f)
}

// runDue handles what is due.
func (g *gateway) runDue() { g.nextDue = g.loop.RunPending() }

// generateLoad has clients ask at random instants, so many a second in the mean.
func (g *gateway) generateLoad(statements float64) {
	if statements <= 0 {
		return
	}
	asked := 0
	var next func()
	next = func() {
		g.submit(classMix[asked%len(classMix)])
		asked++
		g.after(g.interarrivalTime(statements), next)
	}
	asked = g.random.IntN(len(classMix))
	g.after(g.interarrivalTime(statements), next)
}

func (g *gateway) interarrivalTime(statements float64) aspenshed.Nanos {
	return aspenshed.Nanos(g.random.ExpFloat64() * 1e9 / statements)
}

// submit takes one statement in.
func (g *gateway) submit(class int) {
	now := g.loop.Now()
	g.pipeline.Accept.Accept(request.Query{Class: class, Group: g.random.IntN(g.groups), Timeout: statementTimeout,
		Statement: class == write, Client: &simulatedClient{g, class, now}}, now)
}

// simulatedClient waits for one answer.
type simulatedClient struct {
	gateway   *gateway
	class     int
	arrivedAt aspenshed.Nanos
}

// Respond counts the answer.
func (c *simulatedClient) Respond(f request.Response) {
	switch g := c.gateway; f.Status {
	case request.Served:
		g.responses.served++
	case request.Refused:
		g.responses.refused++
	default:
		g.responses.failed++
	}
	if c.gateway.onCompletion != nil {
		c.gateway.onCompletion(completion{c.class, c.arrivedAt, c.gateway.loop.Now(), f.Status == request.Served})
	}
}
