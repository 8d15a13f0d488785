package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"sync"
	"time"

	"aspenshed/internal/protocol/pgwire"
)

const (
	loadTick        = 5 * time.Millisecond
	burstFactor     = 2.0 // of the usual load, after a quiet spell
	burstTime       = 4 * time.Second
	maxBackoffSteps = 4
	restTime        = time.Second // for connections that were closed to be released
)

// Options are the options of a run.
type Options struct {
	Plan    *Plan
	Dir     string                         // for configurations and logs
	Command func(args ...string) *exec.Cmd // runs this program; its environment is completed by the run
}

// run is one run of a plan.
type run struct {
	*Plan
	records   records
	databases []*database
	discovery *discovery
	gateways  []*gateway

	mu        sync.Mutex
	rng       *rand.Rand
	lastID    int
	startedAt time.Time
	quiet     []span // no new requests
	ending    bool   // the gateways are being stopped: what ended clients does not come again
	clients   sync.WaitGroup
	faults    sync.WaitGroup
	problems  []error // of the run itself
}

type span struct{ from, until time.Duration }

// Run runs a plan and returns what the oracle found.
func Run(o Options) (*Report, error) {
	r := &run{Plan: o.Plan, rng: rand.New(rand.NewPCG(o.Plan.Seed, 1))}
	monitor := startStallMonitor()
	err := r.play(o)
	monitor.end()
	r.shutdown()
	if err = errors.Join(append(r.problems, err)...); err != nil {
		return nil, fmt.Errorf("%v: %w", o.Plan, err)
	}
	return r.judge(monitor), nil
}

func (r *run) play(o Options) error {
	if err := r.setUp(o); err != nil {
		return err
	}
	r.startedAt = time.Now()
	for _, f := range r.Faults {
		r.schedule(f.At, func() { r.apply(f) })
	}
	for _, f := range r.MachineFaults {
		r.schedule(f.At, func() { r.applyMachineFault(f) })
	}
	for _, t := range r.Troubles {
		r.schedule(t.At, func() { r.makeTrouble(t) })
	}
	r.openIdleClients()
	r.load()
	r.faults.Wait()
	r.rest()
	r.endGateways()
	r.clients.Wait()
	return nil
}

// schedule has a fault applied after a while.
func (r *run) schedule(after time.Duration, apply func()) {
	r.faults.Add(1)
	go func() {
		defer r.faults.Done()
		time.Sleep(after)
		apply()
	}()
}

func (r *run) setUp(o Options) (err error) {
	for i := range r.Databases {
		d := newDatabase(i, r.Plan, &r.records)
		r.databases = append(r.databases, d)
		d.onFall = r.databaseFell
		for g := range r.Gateways {
			p, err := newPort(d, g, r.listenAddress())
			if err != nil {
				return err
			}
			d.ports = append(d.ports, p)
		}
		d.setPrimary(i%(r.Databases/2) == 0)
	}
	if r.discovery, err = newDiscovery(r.databases, r.Gateways, r.listenAddress()); err != nil {
		return err
	}
	for _, d := range r.databases {
		d.toldStart = r.discovery.toldStart
	}
	for i := range r.Gateways {
		g, err := newGateway(i, o.Dir, r.discovery, r.Plan, o.Command)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// shutdown stops what is still running.
func (r *run) shutdown() {
	for _, g := range r.gateways {
		if g.ended != nil {
			g.kill()
		}
		g.log.file.Close()
	}
	if r.discovery != nil {
		r.discovery.stop()
	}
	for _, d := range r.databases {
		d.stop(false)
	}
}

func (r *run) problem(err error) {
	r.mu.Lock()
	r.problems = append(r.problems, err)
	r.mu.Unlock()
}

func (r *run) random() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *run) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// load sends new requests at the plan's rate until its duration is over.
func (r *run) load() {
	usual := r.Load * float64(r.Databases) * warmCapacity / meanWork()
	due := 0.0
	for last := time.Now(); ; {
		now := time.Now()
		at := now.Sub(r.startedAt)
		if at >= r.Duration {
			return
		}
		due += r.rateFactor(at) * usual * now.Sub(last).Seconds()
		for last = now; due >= 1; due-- {
			r.goRequest(r.randomClass(), r.intN(2), 0, 0)
		}
		time.Sleep(time.Duration(float64(loadTick) * (0.5 + r.random())))
	}
}

func (r *run) rateFactor(at time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.quiet {
		switch {
		case at >= q.from && at < q.until:
			return 0
		case at >= q.until && at < q.until+burstTime:
			return burstFactor
		}
	}
	return 1
}

func (r *run) randomClass() int {
	x := r.random()
	for i, c := range classes {
		if x -= c.share; x < 0 {
			return i
		}
	}
	return 0
}

// goRequest lets a client send a request, after a pause; tries counts its requests before.
func (r *run) goRequest(class, group, tries int, pause time.Duration) {
	r.clients.Add(1)
	go func() {
		defer r.clients.Done()
		time.Sleep(pause)
		x := r.request(class, group, false)
		if x == nil || tries >= r.Retries || r.isEnding() {
			return
		}
		// Safe requests are sent again after any failure, others only if that is said to be harmless.
		if x.answer == refused || !classes[class].write && (x.answer == failed || x.answer == connClosed || x.answer == unanswered) {
			backoff := r.Backoff << min(tries, maxBackoffSteps)
			r.goRequest(class, group, tries+1, time.Duration(float64(backoff)*(0.5+r.random())))
		}
	}()
}

func (r *run) isEnding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ending
}

func (r *run) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("%08x%08x", r.Seed, r.lastID)
}

// connect returns a connection to a gateway: a resting one or, if there is none or fresh is set, a new one.
func (r *run) connect(fresh bool) (*gateway, *clientConn) {
	first := r.intN(len(r.gateways))
	for i := range r.gateways {
		g := r.gateways[(first+i)%len(r.gateways)]
		if !fresh {
			if c := g.pool.take(); c != nil {
				return g, c
			}
		}
		if open, _ := g.isOpen(); !open {
			continue
		}
		if c, err := dialClient(g.address); err == nil {
			return g, c
		}
	}
	return nil, nil
}

// request sends one request and records its answer; nil: no gateway could be reached.
func (r *run) request(class, group int, resent bool) *requestRecord {
	g, c := r.connect(resent)
	if c == nil {
		return nil
	}
	_, process := g.isOpen()
	x := &requestRecord{id: r.nextID(), class: class, group: group, gateway: g.index, process: process, resent: resent}
	timeout := time.Duration(float64(classes[class].deadline) * (0.5 + 0.5*r.random()))
	leaveAfter := time.Duration(0)
	if r.random() < r.Leaving {
		leaveAfter = time.Duration(float64(timeout) * r.random() * 0.5)
	}
	used := c.used
	c.send(x, group, timeout, leaveAfter)
	r.records.addRequest(x)
	c.used = true
	switch x.answer {
	case served, refused, failed:
		g.pool.put(c)
	default:
		c.conn.Close()
	}
	if x.answer == connClosed && used && !resent { // its close may have crossed the request
		return r.request(class, group, true)
	}
	return x
}

// openIdleClients opens connections that send nothing, or half a command.
func (r *run) openIdleClients() {
	half := pgwire.QueryMessage("SELECT")[:5]
	for _, g := range r.gateways {
		for i := range r.IdleClients {
			c, err := net.DialTimeout("tcp", g.address, dialTimeout)
			if err != nil {
				continue
			}
			if i%2 == 0 {
				_, _ = c.Write(append(pgwire.StartupMessage("web", "orders"), half...))
			}
			time.AfterFunc(r.Duration, func() { c.Close() })
		}
	}
}

// rest lets all requests end and measures what descriptors the gateways still hold, then sends requests again for a moment.
func (r *run) rest() {
	r.clients.Wait()
	for _, g := range r.gateways {
		g.pool.closeAll()
	}
	time.Sleep(restTime)
	for _, g := range r.gateways {
		open := 0
		for _, d := range r.databases {
			open += d.ports[g.index].connections()
		}
		g.leaked = g.descriptors() - g.descriptorsAtStart - open
	}
	for end := time.Now().Add(restTime / 2); time.Now().Before(end); time.Sleep(2 * loadTick) {
		r.goRequest(r.randomClass(), r.intN(2), 0, 0)
	}
}

// endGateways ends all gateways in good order, while clients go on.
func (r *run) endGateways() {
	var all sync.WaitGroup
	for _, g := range r.gateways {
		all.Add(1)
		go func() {
			defer all.Done()
			g.terminate()
			g.ended = nil
		}()
	}
	r.loadUntil(&all)
}

// loadUntil sends requests on open connections until the gateways have ended.
func (r *run) loadUntil(all *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	for {
		select {
		case <-done:
			return
		case <-time.After(4 * loadTick):
			r.goRequest(r.randomClass(), r.intN(2), 0, 0)
		}
	}
}
