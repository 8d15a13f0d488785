package soak

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// This file applies the faults of a plan.

const (
	failoverTime   = 1800 * time.Millisecond // until another database is primary
	noticeTime     = 400 * time.Millisecond  // until discovery lists a crash
	addTime        = 1200 * time.Millisecond // until it lists a start
	silentNotice   = 3 * time.Second         // until it lists a database that vanished
	roleNoticeTime = time.Second             // until it lists a new primary
	restartTime    = 200 * time.Millisecond  // that a database is down at a restart
	lateDelay      = 1200 * time.Millisecond
	lateListDelay  = 2 * time.Second
	signalInterval = 80 * time.Millisecond
)

// databaseFell takes a database that was overloaded out of service.
func (r *run) databaseFell(d *database) {
	d.stop(false)
	r.afterLoss([]*database{d}, noticeTime)
}

// afterLoss has databases listed as gone after a while, and their groups fail over.
func (r *run) afterLoss(lost []*database, notice time.Duration) {
	time.AfterFunc(notice, func() {
		for _, d := range lost {
			if !d.isRunning() {
				r.discovery.list(d, terminated)
			}
		}
	})
	time.AfterFunc(failoverTime, r.failOver)
}

// failOver gives each group without a primary one that runs.
func (r *run) failOver() {
	for group := range 2 {
		var candidate *database
		found := false
		for _, d := range r.databases {
			if d.group != group || !d.isRunning() {
				continue
			}
			found = found || d.isPrimary()
			if candidate == nil {
				candidate = d
			}
		}
		if found || candidate == nil {
			continue
		}
		candidate.setPrimary(true)
		time.AfterFunc(roleNoticeTime, func() {
			if candidate.isRunning() {
				r.discovery.list(candidate, inService)
			}
		})
	}
}

func (r *run) apply(f Fault) {
	switch f.Kind {
	case ZoneLost, ZoneVanished:
		r.loseZone(f)
	case RestartNoGap:
		r.restartNoGap(r.databases[(f.Target+1)%len(r.databases)])
	case LinksFail, LinksLate, LinksReset, LinksHold, LinksSilent, LinksCutUp:
		r.breakLinks(f)
	case GatewayRestart, GatewayKilled:
		r.restartGateway(f)
	case GatewaySignals:
		r.signalGateway(r.gateways[(f.Target+1)%len(r.gateways)])
	case DatabaseDrained:
		r.discovery.list(r.databases[(f.Target+2)%len(r.databases)], terminating)
	case DiscoveryDown:
		r.discovery.goDown(f.For)
	case DiscoveryLate:
		g := (f.Target + 1) % len(r.gateways)
		r.discovery.setLate(g, lateListDelay)
		time.Sleep(f.For)
		r.discovery.setLate(g, 0)
	case ReplicaLag:
		now := time.Now()
		for _, d := range r.databases {
			if d.group == (f.Target+1)%2 && d.index%3 != 0 {
				d.lag(now, now.Add(f.For))
			}
		}
	case Quiet:
		r.mu.Lock()
		r.quiet = append(r.quiet, span{f.At, f.At + f.For})
		r.mu.Unlock()
	}
}

// loseZone stops the databases of a zone, all or all but one, and starts them cold again.
func (r *run) loseZone(f Fault) {
	var lost []*database
	for _, d := range r.databases {
		if d.zone == f.Target && (d.index/2+int(r.Seed))%6 != 0 {
			lost = append(lost, d)
		}
	}
	notice := noticeTime
	if f.Kind == ZoneVanished {
		notice = silentNotice
	}
	for _, d := range lost {
		d.stop(f.Kind == ZoneVanished)
	}
	r.afterLoss(lost, notice)
	time.Sleep(f.For)
	for _, d := range lost {
		d.start()
		time.AfterFunc(time.Duration(float64(addTime)*(1+r.random())), func() {
			if d.isRunning() {
				r.discovery.list(d, inService)
			}
		})
	}
	r.failOver()
}

func (r *run) restartNoGap(d *database) {
	if !d.isRunning() {
		return
	}
	d.stop(false)
	time.Sleep(restartTime)
	d.start()
	time.AfterFunc(addTime, func() {
		if d.isRunning() {
			r.discovery.list(d, inService)
		}
	})
	time.AfterFunc(failoverTime, r.failOver)
}

func (r *run) breakLinks(f Fault) {
	fault := map[FaultKind]linkFault{LinksFail: linkRefuses, LinksLate: linkComesUpLate, LinksReset: linkResets, LinksHold: linkHolds,
		LinksSilent: linkSilent, LinksCutUp: linkCutsUp}[f.Kind]
	for _, d := range r.databases {
		for _, p := range d.ports {
			oneGateway := f.Target >= 0 && f.Target%2 == 0 // otherwise all gateways, and one zone
			if oneGateway && p.gateway != f.Target/2%len(r.gateways) || f.Target >= 0 && !oneGateway && d.zone != f.Target/2%len(zones) {
				continue
			}
			p.setFault(fault, lateDelay, f.For)
		}
	}
}

func (r *run) restartGateway(f Fault) {
	g := r.gateways[(f.Target+1)%len(r.gateways)]
	g.restarting.Lock() // the platform ends a process once, and starts the next when it has ended
	defer g.restarting.Unlock()
	if f.Kind == GatewayKilled {
		g.kill()
	} else {
		g.terminate()
	}
	if err := g.start(); err != nil {
		r.problem(err)
	}
}

// signalGateway sends SIGHUP in series; some find a configuration that can't be read.
func (r *run) signalGateway(g *gateway) {
	good, err := os.ReadFile(g.configPath())
	if err != nil {
		r.problem(err)
		return
	}
	for i := range 8 {
		content := good
		if i%3 == 1 {
			content, _ = json.Marshal("no configuration")
		}
		if err := os.WriteFile(g.configPath(), content, 0o600); err != nil {
			r.problem(err)
		}
		g.signal(syscall.SIGHUP)
		time.Sleep(signalInterval)
	}
	if err := os.WriteFile(g.configPath(), good, 0o600); err != nil {
		r.problem(err)
	}
}
