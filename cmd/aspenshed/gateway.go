package main

import (
	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/core"
	"aspenshed/internal/discovery"
	"aspenshed/internal/estate"
	"aspenshed/internal/front"
	"aspenshed/internal/front/platform"
	"aspenshed/internal/netio"
)

const (
	acceptAfterTerm = nc.Nanos(400e6) // new connections still come this long after SIGTERM
	quietBeforeEnd  = nc.Nanos(20e6)  // a connection is closed once its last answer is that old
	drainTick       = nc.Nanos(10e6)
	otherFiles      = 32 // standard streams, epoll, listener, timers
	mostHeld        = 8192
)

// gateway is the platform's side of the program: one estate behind the thin front.
type gateway struct {
	loop   *core.Loop
	net    *netio.Net
	front  *platform.Front
	estate *estate.Estate
}

func newGateway(node *config.Node) (*gateway, error) {
	log := logrus.WithField("node", node.Name)
	known, err := discovery.Convert(node.Known, node.Zones)
	if err != nil {
		return nil, err
	}
	g := &gateway{loop: core.NewLoop(core.NewClock())}
	files := node.Limits.Sockets - otherFiles
	g.front = &platform.Front{Desk: front.Desk{Loop: g.loop, Settings: &node.Settings}}
	ready := make(chan struct{})
	g.net, err = netio.New(netio.Config{Name: "platform", Listen: node.Listen, Clients: files * 6 / 10, Dials: files * 4 / 10,
		Accept: func(c *netio.Conn) netio.Handler {
			<-ready
			return g.front.Accept(c)
		}})
	if err != nil {
		return nil, err
	}
	watcher := &discovery.Watcher{Loop: g.loop, Log: log, Net: g.net, Address: node.Discovery, Zones: node.Zones,
		Index: node.Known.Generation}
	held := mostHeld
	if node.MostHeld > 0 {
		held = min(held, node.MostHeld)
	}
	g.estate = estate.New(estate.Config{Loop: g.loop, Log: log, Settings: node.Settings, Seed: node.SeedNumber(),
		MostHeld: held, Backend: &platform.Backend{Net: g.net, Loop: g.loop}, Watch: watcher.Watch})
	watcher.Changed = func(u discovery.Update) { g.estate.Members(u.List, u.Addresses) }
	watcher.Broke = g.estate.DiscoveryBroke
	g.front.Take, g.front.Leave, g.front.Rejected = g.estate.Intake.Take, g.estate.Leave, g.estate.Book.Rejected
	known.List.Whole, known.List.Remnant = true, true
	if err := g.estate.Start(known.List, known.Addresses); err != nil {
		return nil, err
	}
	g.loop.Post(func() {}) // the first Step asks for the list
	close(ready)
	log.WithFields(logrus.Fields{"listen": g.net.Addr(), "members": len(known.List.Members)}).Info("ready")
	return g, nil
}

// drain goes on accepting for a while, then closes connections between requests, and ends once all that was
// taken has its answer.
func (g *gateway) drain() {
	logrus.WithField("live", g.estate.Relay.Live()).Info("draining")
	var tick func()
	tick = func() {
		if g.front.CloseIdle(quietBeforeEnd) == 0 && g.estate.Relay.Live() == 0 {
			g.loop.Quit()
			return
		}
		g.loop.At(g.loop.Now()+drainTick, tick)
	}
	g.loop.At(g.loop.Now()+acceptAfterTerm, func() {
		g.net.StopListening()
		tick()
	})
}
