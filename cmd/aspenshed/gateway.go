package main

import (
	"runtime/debug"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/daemon"
	"aspenshed/internal/dataplane/accounting"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/discovery"
	"aspenshed/internal/frontend/drain"
	"aspenshed/internal/frontend/postgres"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
)

const (
	// acceptAfterTerm: clients still connect for 0.4 s after SIGTERM, and connecting takes a moment.
	acceptAfterTerm     = aspenshed.Nanos(450e6)
	idleCloseWindow     = aspenshed.Nanos(1700e6) // before SIGKILL, in which connections between requests are closed
	finalResponseWindow = aspenshed.Nanos(300e6)  // before SIGKILL, for sending the responses to pending requests
	clientTimeout       = aspenshed.Nanos(2e9)    // for a client to send its first request, and between requests
	// reclaimMinIdle applies between requests when connections are scarce: clients hold at most a third of all
	// descriptors.
	reclaimMinIdle      = aspenshed.Nanos(200e6)
	reservedDescriptors = 32 // standard streams, epoll, listener, timers
	maxPendingRequests  = 8192
	// idleMemoryMB is what a process needs without requests: the program, its members and its connections.
	idleMemoryMB = 24
	minBudgetMB  = 8 // of a process with less memory than that
	// garbageFactor is by how much the heap may exceed what is in use before the garbage collector runs.
	garbageFactor = 2
)

// gateway is the platform's gateway: one pipeline behind the PostgreSQL front end.
type gateway struct {
	node     *config.Node
	log      *logrus.Entry
	loop     *eventloop.Loop
	net      *netio.Net
	front    *postgres.Front
	watcher  *discovery.Watcher
	pipeline *pipeline.Pipeline
	mysql    *daemon.Front // nil: the MySQL front end is off
	budget   *membudget.Budget

	draining bool
}

func newGateway(node *config.Node, deploy *config.Deploy, m machine) (*gateway, error) {
	log := logrus.WithField("node", node.Name)
	// ReadNode rejects all other faults, so these are unknown values of a newer release.
	known, faults := discovery.Convert(node.Known, node.Zones)
	var err error
	g := &gateway{node: node, log: log, loop: eventloop.NewLoop(m.clock)}
	g.loop.OnPanic = func(p any) {
		log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("panic in the event loop; continuing")
	}
	descriptors := node.Limits.Sockets - reservedDescriptors
	clients := descriptors * 6 / 10
	g.budget = membudget.New(memoryBudget(node.Limits.MemoryMB))
	g.front = &postgres.Front{Manager: session.Manager{Loop: g.loop, Settings: &node.Settings, Budget: g.budget,
		Limits: session.Limits{CommandTimeout: clientTimeout, IdleTimeout: clientTimeout, ReclaimAbove: node.Limits.Sockets / 4,
			ReclaimMinIdle: reclaimMinIdle}}}
	ready := make(chan struct{})
	g.net, err = netio.New(netio.Config{Name: "platform", Listen: node.Listen, MaxClients: clients, MaxDials: descriptors * 4 / 10,
		ReservedDials: descriptors / 20, MaxQueued: g.budget.Limit(membudget.Unsent), System: m.system, Budget: g.budget,
		Accept: func(c *netio.Conn) netio.Handler {
			<-ready
			return g.front.Accept(c)
		}})
	if err != nil {
		return nil, err
	}
	g.watcher = &discovery.Watcher{Loop: g.loop, Log: log, Net: g.net, Address: node.Discovery, Zones: node.Zones,
		Version: node.Known.Generation, Pushed: !node.Settings.WatchDiscovery}
	g.watcher.LogFaults(log.WithField("version", node.Known.Generation), faults)
	maxPending := maxPendingRequests
	if node.MaxPending > 0 {
		maxPending = min(maxPending, node.MaxPending)
	}
	g.pipeline = pipeline.New(pipeline.Config{Loop: g.loop, Log: log, Settings: node.Settings, Seed: node.SeedNumber(),
		MaxPending: maxPending, Backend: &postgres.Backend{Net: g.net, Loop: g.loop, Budget: g.budget}, Watch: g.watcher.Watch})
	g.watcher.OnUpdate = g.pipeline.UpdateMembers
	g.watcher.OnBreak = g.pipeline.DiscoveryFailed
	g.front.Submit, g.front.Cancel, g.front.CountRejected =
		g.pipeline.Accept.Accept, g.pipeline.Abandon, g.pipeline.Accounting.CountRejected
	g.front.OnClose, g.front.CountShed = g.pipeline.Accounting.CountClientClose, g.pipeline.Accounting.CountShed
	g.pipeline.Accounting.ReadPressure = g.readPressure
	known.Complete, known.Cached = true, true
	if err := g.pipeline.Start(known); err != nil {
		return nil, err
	}
	if deploy.MySQL.Listen != "" {
		if g.mysql, err = daemon.NewMySQL(&deploy.MySQL, g.loop, node.SeedNumber()+1, nil, g.budget); err != nil {
			return nil, err
		}
	}
	g.loop.Post(func() { // unless lists are pushed, the first Step opens the watch
		if g.watcher.Pushed {
			g.watcher.Watch()
		}
	})
	close(ready)
	log.WithFields(logrus.Fields{"listen": g.net.Addr(), "members": len(known.Members)}).Info("ready")
	return g, nil
}

// memoryBudget returns how many bytes clients and databases may occupy in a process with that limit. The other part holds
// the idle process, and what the garbage collector has not freed yet.
func memoryBudget(limitMB int) int64 {
	return max(int64(limitMB)-idleMemoryMB, minBudgetMB) << 20 / garbageFactor
}

// readPressure returns what clients have taken of memory and time since its last call.
func (g *gateway) readPressure() accounting.Pressure {
	return accounting.Pressure{Memory: g.budget.TakeUsage(), Loop: g.loop.TakeStats(), Net: g.net.TakeStats()}
}

// drain keeps accepting connections for a while and serves open ones for longer, as their clients may have no other
// gateway yet. Then it closes connections between requests, and stops once all accepted requests have responses.
func (g *gateway) drain() {
	if g.draining {
		return
	}
	g.draining = true
	kill := g.killDelay()
	respondAll := kill - finalResponseWindow // requests that are pending at SIGKILL are lost
	d := drain.Drain{Loop: g.loop, Fronts: g.fronts(), Done: g.loop.Quit, Schedule: drain.Schedule{StopListening: acceptAfterTerm,
		CloseIdle: max(acceptAfterTerm, kill-idleCloseWindow), RespondAll: respondAll, End: respondAll + finalResponseWindow/2}}
	logrus.WithField("live", d.Pending()).Info("draining")
	d.Start()
}

// fronts returns all front ends.
func (g *gateway) fronts() []drain.Front {
	all := []drain.Front{drain.Served{Net: g.net, Sessions: &g.front.Manager, Pipeline: g.pipeline}}
	if g.mysql != nil {
		all = append(all, g.mysql.Served())
	}
	return all
}

// killDelay returns how soon after SIGTERM the platform may send SIGKILL: the longest client timeout in its settings, but at most
// 3 s, plus 0.7 s. The platform does not know the classes of other front ends, whose requests have to be over by then too.
func (g *gateway) killDelay() (delay aspenshed.Nanos) {
	for _, c := range g.node.Settings.Classes {
		delay = max(delay, c.ClientTimeout)
	}
	return min(delay, 3e9) + 700e6
}

// reload applies the configuration read at SIGHUP. Only the discovery address changes without a restart; an invalid
// file changes nothing. NODE_DISCOVERY dates from the start of the process, so only the file's address counts.
func (g *gateway) reload(next *config.Node, err error) {
	if g.mysql != nil {
		g.mysql.Reload()
	}
	if err != nil {
		g.log.WithError(err).Error("configuration rejected; keeping the running one")
		return
	}
	moved := next.ConfiguredDiscovery != "" && next.ConfiguredDiscovery != g.node.ConfiguredDiscovery
	if moved {
		g.node.ConfiguredDiscovery = next.ConfiguredDiscovery
		g.watcher.SetAddress(next.ConfiguredDiscovery)
	}
	g.log.WithFields(logrus.Fields{"discovery": g.watcher.Address, "moved": moved, "needs_restart": g.node.RestartFields(next)}).
		Info("configuration reloaded")
}

// stop logs the final counts.
func (g *gateway) stop() {
	g.pipeline.Accounting.LogCounts(g.pipeline.Response.Pending())
	if g.mysql != nil {
		g.mysql.Stop()
	}
}
