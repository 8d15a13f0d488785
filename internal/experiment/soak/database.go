package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"aspenshed/internal/experiment/warmup"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	overloadFactor  = 2.5
	overloadWindow  = 1500 * time.Millisecond
	warmCapacity    = 2.8                    // s of work per second: about 28 requests per second
	maxQueueDelay   = 700 * time.Millisecond // a request that would wait longer is rejected
	baseServiceTime = 5 * time.Millisecond
	usualLag        = 10 * time.Millisecond // of replicas behind their primary
	equalWorkFactor = 0.25                  // of a class's mean work, where all requests are equal
)

// unaware is the source of what comes from gateways that have not been told of a start.
const unaware = -1

// verdict is what a database makes of a statement.
type verdict int

const (
	accepted verdict = iota
	rejectedFull
	rejectedNotPrimary
	down
)

// database is one stand-in database.
type database struct {
	index   int
	id      string
	zone    int
	group   int
	records *records
	ports   []*port // by gateway
	// toldStart reports whether a gateway has been told of the present start; onFall is called when the database falls.
	toldStart func(d *database, gateway int) bool
	onFall    func(*database)

	equalWork bool

	mu         sync.Mutex
	rng        *rand.Rand
	model      warmup.Database
	primary    bool
	running    bool
	starts     int
	startedAt  time.Time // zero: before the run
	lagFrom    time.Time // its data stops here until lagUntil
	lagUntil   time.Time
	servedCold int // requests served while cold
	overloads  []overload
}

// overload records that a cold database fell.
type overload struct {
	database int
	at       time.Time
	start    time.Time
	window   warmup.Overload
}

func newDatabase(index int, p *Plan, r *records) *database {
	return &database{index: index, id: fmt.Sprintf("s-%02d", index), zone: index % len(zones), group: index / (p.Databases / 2), records: r, equalWork: p.Compare,
		rng: rand.New(rand.NewPCG(p.Seed, uint64(index))), running: true, model: warmup.Database{Limits: warmup.Limits{
			Capacity: warmCapacity, MeanWork: meanWork(), InitialCapacity: p.InitialCapacity, WarmUpTime: p.WarmUpTime,
			OverloadFactor: overloadFactor, OverloadWindow: overloadWindow, Curve: p.Curve}}}
}

// stop ends the process: its connections are reset and new ones refused. A silent one only stops answering.
func (d *database) stop(silent bool) {
	d.mu.Lock()
	d.running, d.primary = false, false
	d.mu.Unlock()
	for _, p := range d.ports {
		p.databaseStopped(silent)
	}
}

// start starts the database anew, cold and as a replica.
func (d *database) start() {
	d.mu.Lock()
	d.running, d.startedAt = true, time.Now()
	d.starts++
	d.keepWorst()
	d.model.Start(d.startedAt.UnixNano())
	d.mu.Unlock()
	for _, p := range d.ports {
		p.databaseStarted()
	}
}

// keepWorst records the worst window of the start that ends.
func (d *database) keepWorst() {
	if d.model.Worst.Ratio > 0 {
		d.overloads = append(d.overloads, overload{d.index, time.Now(), d.startedAt, d.model.Worst})
	}
}

func (d *database) isRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

func (d *database) setPrimary(primary bool) {
	d.mu.Lock()
	d.primary = primary
	d.mu.Unlock()
}

func (d *database) isPrimary() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary
}

func (d *database) lag(from, until time.Time) {
	d.mu.Lock()
	d.lagFrom, d.lagUntil = from, until
	d.mu.Unlock()
}

// staleness returns how far the data is behind.
func (d *database) staleness(now time.Time) time.Duration {
	switch {
	case d.primary:
		return 0
	case now.Before(d.lagUntil) && now.After(d.lagFrom):
		return now.Sub(d.lagFrom) + usualLag
	}
	return usualLag
}

// begin takes a statement. It returns how long an accepted one takes, and its record.
func (d *database) begin(gateway int, s sqlcomment.Statement, times arrivalTimes) (verdict, time.Duration, *attemptRecord) {
	timeout, _ := s.Int("d", 0)
	a := &attemptRecord{id: s.Fields.Get("id"), class: classIndex(s.Fields.Get("c")), database: d.index, gateway: gateway, arrivalTimes: times,
		timeout: time.Duration(timeout) * time.Millisecond}
	at := times.arrivedAt
	defer d.records.addAttempt(a)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := at.UnixNano()
	a.work = classes[a.class].meanWork * d.workFactor()
	a.stale = d.staleness(at)
	if !d.running {
		return down, 0, a
	}
	source := gateway
	if !d.toldStart(d, gateway) {
		source = unaware
	}
	if d.model.Arrive(now, a.work, source) {
		d.running = false
		go d.onFall(d)
		return down, 0, a
	}
	switch {
	case classes[a.class].write && !d.primary:
		return rejectedNotPrimary, 0, a
	case d.model.Delay(now) > maxQueueDelay:
		return rejectedFull, 0, a
	}
	a.mayRun = true
	return accepted, d.model.Enqueue(now, a.work) + baseServiceTime, a
}

// workFactor returns the work of a request as a multiple of its class's mean.
func (d *database) workFactor() float64 {
	if d.equalWork {
		return equalWorkFactor
	}
	return d.rng.ExpFloat64()
}

// complete ends an accepted statement; it reports whether the database is still the process that accepted it.
func (d *database) complete(a *attemptRecord, starts int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running || d.starts != starts {
		return false
	}
	a.executed = true
	if d.model.Cold(time.Now().UnixNano()) {
		d.servedCold++
	}
	return true
}

// health is the load report.
func (d *database) health() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	role := 0
	if d.primary {
		role = 1
	}
	position := now.Add(-d.staleness(now))
	return fmt.Sprintf("x0=%d.%03d,x1=%d,backlog=%.0f", position.Unix(), position.Nanosecond()/1e6, role,
		d.model.Delay(now.UnixNano()).Seconds()*10)
}

func (d *database) generation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}
