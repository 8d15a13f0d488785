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

const maxPending = 8192 // same as the daemon's

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
	onCompletion func(completion) // called when a statement completes; may be nil
	responses    responseCounts
}

// responseCounts counts completed statements by result.
type responseCounts struct{ served, refused, failed int }

// completion describes a completed statement.
type completion struct {
	class       int
	arrivedAt   aspenshed.Nanos
	completedAt aspenshed.Nanos
	served      bool
}

// stepStats counts the calls of Router.Step and their processor time.
type stepStats struct {
	count   int
	cpuTime time.Duration
}

// timedDecider is a Router whose Step calls are counted and timed.
type timedDecider struct {
	routing.Decider
	steps *stepStats
}

// Step counts and times the call.
func (t timedDecider) Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action {
	startedAt := threadCPUTime()
	actions := t.Decider.Step(now, events)
	t.steps.cpuTime += threadCPUTime() - startedAt
	t.steps.count++
	return actions
}

// addGateways starts n gateways with all databases, each receiving the given number of statements per second, spread
// uniformly over all groups.
func (w *simulation) addGateways(n int, s aspenshed.Settings, statements float64) error {
	list := w.memberList()
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
		if err := g.pipeline.Start(list); err != nil {
			return err
		}
		g.generateLoad(statements)
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// after calls f after a delay, on the gateway's loop.
func (g *gateway) after(delay aspenshed.Nanos, f func()) *eventloop.Timer {
	return g.loop.At(g.loop.Now()+delay, f)
}

// runDue runs the pending events of the loop that are due.
func (g *gateway) runDue() { g.nextDue = g.loop.RunPending() }

// generateLoad submits statements at random times at the given mean rate per second.
func (g *gateway) generateLoad(statements float64) {
	if statements <= 0 {
		return
	}
	submitted := 0
	var next func()
	next = func() {
		g.submit(classMix[submitted%len(classMix)])
		submitted++
		g.after(g.interarrivalTime(statements), next)
	}
	submitted = g.random.IntN(len(classMix))
	g.after(g.interarrivalTime(statements), next)
}

func (g *gateway) interarrivalTime(statements float64) aspenshed.Nanos {
	return aspenshed.Nanos(g.random.ExpFloat64() * 1e9 / statements)
}

// submit passes one statement to the pipeline.
func (g *gateway) submit(class int) {
	now := g.loop.Now()
	g.pipeline.Accept.Accept(request.Query{Class: class, Group: g.random.IntN(g.groups), Timeout: statementTimeout,
		Statement: class == write, Client: &simulatedClient{g, class, now}}, now)
}

// simulatedClient waits for one response.
type simulatedClient struct {
	gateway   *gateway
	class     int
	arrivedAt aspenshed.Nanos
}

// Left implements request.Client.
func (c *simulatedClient) Left() bool { return false }

// Peer implements request.Client.
func (c *simulatedClient) Peer() string { return "" }

// Respond counts the response.
func (c *simulatedClient) Respond(r request.Response) {
	switch g := c.gateway; r.Status {
	case request.Served:
		g.responses.served++
	case request.Refused:
		g.responses.refused++
	default:
		g.responses.failed++
	}
	if c.gateway.onCompletion != nil {
		c.gateway.onCompletion(completion{c.class, c.arrivedAt, c.gateway.loop.Now(), r.Status == request.Served})
	}
}
