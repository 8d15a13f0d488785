package main

import (
	"runtime/debug"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/daemon"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/discovery"
	"aspenshed/internal/frontend/postgres"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
)

const (
	acceptAfterTerm     = aspenshed.Nanos(450e6)  // new connections still come for 0.4 s after SIGTERM, and take a moment to come up
	idleCloseWindow     = aspenshed.Nanos(1700e6) // from then on before SIGKILL connections are closed between requests
	finalResponseWindow = aspenshed.Nanos(300e6)  // and what is still held then gets its answer
	drainInterval       = aspenshed.Nanos(10e6)
	clientTimeout       = aspenshed.Nanos(2e9)   // for a client without a request: to send one, and between two
	reclaimMinIdle      = aspenshed.Nanos(200e6) // the same where connections are scarce: clients hold a third of all descriptors at most
	reservedDescriptors = 32                     // standard streams, epoll, listener, timers
	maxHeld             = 8192
	memoryShare         = 8 // commands without an answer may take one part in so many of the memory, and answers that nobody reads too
)

// gateway is the platform's side of the program: one pipeline behind the thin front.
type gateway struct {
	node     *config.Node
	log      *logrus.Entry
	loop     *eventloop.Loop
	net      *netio.Net
	front    *postgres.Front
	watcher  *discovery.Watcher
	pipeline *pipeline.Pipeline
	mysql    *daemon.Front // nil: the MySQL front is off

	draining bool
}

func newGateway(node *config.Node, deploy *config.Deploy, clock eventloop.Clock) (*gateway, error) {
	log := logrus.WithField("node", node.Name)
	known, faults := discovery.Convert(node.Known, node.Zones) // those left are words of a newer release: nothing to stop for
	var err error
	g := &gateway{node: node, log: log, loop: eventloop.NewLoop(clock)}
	g.loop.OnPanic = func(p any) {
		log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("panic on the loop: it goes on")
	}
	files := node.Limits.Sockets - reservedDescriptors
	clients := files * 6 / 10
	buffered := int64(node.Limits.MemoryMB) << 20 / memoryShare
	g.front = &postgres.Front{Manager: session.Manager{Loop: g.loop, Settings: &node.Settings,
		Limits: session.Limits{CommandTimeout: clientTimeout, IdleTimeout: clientTimeout, ReclaimAbove: node.Limits.Sockets / 4, ReclaimMinIdle: reclaimMinIdle,
			MaxPendingBytes: buffered}}}
	ready := make(chan struct{})
	g.net, err = netio.New(netio.Config{Name: "platform", Listen: node.Listen, MaxClients: clients, MaxDials: files * 4 / 10, ReservedDials: files / 20, MaxQueued: buffered,
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
	held := maxHeld
	if node.MaxHeld > 0 {
		held = min(held, node.MaxHeld)
	}
	g.pipeline = pipeline.New(pipeline.Config{Loop: g.loop, Log: log, Settings: node.Settings, Seed: node.SeedNumber(),
		MaxPending: held, Backend: &postgres.Backend{Net: g.net, Loop: g.loop}, Watch: g.watcher.Watch})
	g.watcher.OnUpdate = func(u discovery.Update) { g.pipeline.Members(u.List, u.Addresses) }
	g.watcher.OnBreak = g.pipeline.DiscoveryFailed
	g.front.Submit, g.front.Cancel, g.front.CountRejected = g.pipeline.Accept.Accept, g.pipeline.Abandon, g.pipeline.Accounting.CountRejected
	known.List.Complete, known.List.Cached = true, true
	if err := g.pipeline.Start(known.List, known.Addresses); err != nil {
		return nil, err
	}
	if deploy.MySQL.Listen != "" {
		if g.mysql, err = daemon.NewMySQL(&deploy.MySQL, g.loop, node.SeedNumber()+1, nil); err != nil {
			return nil, err
		}
	}
	g.loop.Post(func() { // the first Step asks for the list, where it must be asked for
		if g.watcher.Pushed {
			g.watcher.Watch()
		}
	})
	close(ready)
	log.WithFields(logrus.Fields{"listen": g.net.Addr(), "members": len(known.List.Members)}).Info("ready")
	return g, nil
}

// drain goes on accepting for a while and serves open connections for longer: their clients may have no other
// gateway yet. Then it closes them between requests, and ends once all that was taken has its answer.
func (g *gateway) drain() {
	if g.draining {
		return
	}
	g.draining = true
	logrus.WithField("live", g.pipeline.Response.Pending()).Info("draining")
	start, kill := g.loop.Now(), g.killDelay()
	closeFrom, answerAll := start+max(acceptAfterTerm, kill-idleCloseWindow), start+kill-finalResponseWindow
	var tick func()
	tick = func() {
		now := g.loop.Now()
		if now >= answerAll { // what is unanswered when SIGKILL comes is lost
			g.pipeline.FailAll("the gateway ends")
		}
		if now >= closeFrom {
			g.front.CloseIdle()
		}
		left := g.net.ClientCount() + g.pipeline.Response.Pending()
		if g.mysql != nil {
			left += g.mysql.Remaining(true)
		}
		if left == 0 || now >= answerAll+finalResponseWindow/2 {
			g.loop.Quit()
			return
		}
		g.loop.At(now+drainInterval, tick)
	}
	g.loop.At(start+acceptAfterTerm, func() {
		g.net.StopListening()
		if g.mysql != nil {
			g.mysql.Net.StopListening()
		}
		tick()
	})
}

// killDelay is how soon after SIGTERM the platform may send SIGKILL: the longest deadline, counted as 3 s where it
// is longer, and 0.7 s.
func (g *gateway) killDelay() (after aspenshed.Nanos) {
	for _, c := range g.node.Settings.Classes {
		after = max(after, c.ClientTimeout)
	}
	return min(after, 3e9) + 700e6
}

// reload takes the configuration as SIGHUP found it. Of it only discovery's address changes without a restart; a
// bad file changes nothing. NODE_DISCOVERY is as old as the start: what counts is what the file names now.
func (g *gateway) reload(next *config.Node, err error) {
	if g.mysql != nil {
		g.mysql.Reload()
	}
	if err != nil {
		g.log.WithError(err).Error("configuration refused: the running one stays")
		return
	}
	moved := next.ConfiguredDiscovery != "" && next.ConfiguredDiscovery != g.node.ConfiguredDiscovery
	if moved {
		g.node.ConfiguredDiscovery = next.ConfiguredDiscovery
		g.watcher.SetAddress(next.ConfiguredDiscovery)
	}
	g.log.WithFields(logrus.Fields{"discovery": g.watcher.Address, "moved": moved, "needs_restart": g.node.RestartFields(next)}).
		Info("configuration read again")
}

// stop writes the last counts.
func (g *gateway) stop() {
	g.pipeline.Accounting.LogCounts(g.pipeline.Response.Pending())
	if g.mysql != nil {
		g.mysql.Stop()
	}
}
