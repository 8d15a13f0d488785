// Package warmup models a database that is cold after a start: how its capacity rises, how it works off what it is sent, and
// whether that was more than its slow-start budget allows. It reads no clock: callers pass the time in Unix ns.
package warmup

import (
	"math"
	"time"
)

// Curve is how the capacity rises after a start.
type Curve int

// The curves. All reach the full capacity at the end of WarmUpTime at the latest.
const (
	ByTime Curve = iota // linearly with the time
	ByWork              // linearly with the work done
	Late                // at the end, at once
)

// Curves are all curves.
var Curves = []Curve{ByTime, ByWork, Late}

func (c Curve) String() string { return [...]string{"by time", "by work", "late"}[c] }

const (
	step           = int64(10 * time.Millisecond) // resolution of the model
	smallLimit     = 30.0                         // requests; below it, chance gets more slack
	byWorkFraction = 0.5                          // of the work of a warm database in WarmUpTime, after which it is warm
)

// Limits are the limits of a database.
type Limits struct {
	Capacity        float64 // seconds of work per second, when warm
	MeanWork        float64 // of a request, in seconds
	InitialCapacity float64 // share of Capacity right after a start
	WarmUpTime      time.Duration
	OverloadFactor  float64 // multiple of the present capacity that overloads a cold database ...
	OverloadWindow  time.Duration
	Curve           Curve
}

type arrival struct {
	at       int64
	requests float64 // in units of MeanWork
	source   int
}

// Overload is the window in which a database was sent the most, relative to its limit.
type Overload struct {
	Ratio   float64 // of what arrived to the limit; above 1 it breaks the rule
	Age     time.Duration
	Arrived float64 // requests of mean work in the window
	Limit   float64
	Sources map[int]float64 // what arrived, by source
	Counts  map[int]int     // requests that arrived, by source
}

// Database is the model of one database.
type Database struct {
	Limits
	Worst Overload // since the last start

	startedAt  int64 // 0: warmed up
	advancedAt int64
	backlog    float64 // s of work
	done       float64 // s of work since the start
	window     []arrival
	shares     []float64 // share of the capacity in each step of the window, the oldest first
}

// Start restarts the database, which is cold from now on.
func (d *Database) Start(now int64) {
	*d = Database{Limits: d.Limits, startedAt: now, advancedAt: now}
}

// Share returns the share of the capacity that is available now.
func (d *Database) Share(now int64) float64 {
	age := time.Duration(now - d.startedAt)
	if d.startedAt == 0 || age >= d.WarmUpTime {
		return 1
	}
	progress := 0.0
	switch d.Curve {
	case ByTime:
		progress = float64(age) / float64(d.WarmUpTime)
	case ByWork:
		progress = min(1, d.done/(d.Capacity*d.WarmUpTime.Seconds()*byWorkFraction))
	}
	return d.InitialCapacity + (1-d.InitialCapacity)*progress
}

// Cold reports whether the database has less than its full capacity.
func (d *Database) Cold(now int64) bool { return d.Share(now) < 1 }

// Advance works off the backlog until now.
func (d *Database) Advance(now int64) {
	if d.advancedAt == 0 {
		d.advancedAt = now
	}
	steps := int(int64(d.OverloadWindow) / step)
	for ; d.advancedAt+step <= now; d.advancedAt += step {
		share := d.Share(d.advancedAt)
		work := min(d.backlog, share*d.Capacity*float64(step)/1e9)
		d.backlog -= work
		d.done += work
		if d.shares = append(d.shares, share); len(d.shares) > steps {
			d.shares = d.shares[1:]
		}
	}
	for len(d.window) > 0 && d.window[0].at <= now-int64(d.OverloadWindow) {
		d.window = d.window[1:]
	}
}

// Delay returns how long the backlog takes at the present capacity.
func (d *Database) Delay(now int64) time.Duration {
	d.Advance(now)
	return time.Duration(d.backlog / (d.Share(now) * d.Capacity) * 1e9)
}

// Enqueue adds the work of a request that the database takes, and returns how long its response takes.
func (d *Database) Enqueue(now int64, work float64) time.Duration {
	d.Advance(now)
	d.backlog += work
	return d.Delay(now)
}

// Arrive counts work that reaches the database from a source, whether it takes it or not, and reports whether a cold one is
// overloaded by it.
func (d *Database) Arrive(now int64, work float64, source int) (overloaded bool) {
	d.Advance(now)
	if !d.Cold(now) {
		return false
	}
	d.window = append(d.window, arrival{now, work / d.MeanWork, source})
	sum := 0.0
	for _, a := range d.window {
		sum += a.requests
	}
	limit := d.Limit(d.meanShare(now))
	if ratio := sum / limit; ratio > d.Worst.Ratio {
		d.Worst = Overload{Ratio: ratio, Age: time.Duration(now - d.startedAt), Arrived: sum, Limit: limit, Sources: d.bySource(), Counts: d.countBySource()}
	}
	return sum > limit
}

func (d *Database) bySource() map[int]float64 {
	out := map[int]float64{}
	for _, a := range d.window {
		out[a.source] += a.requests
	}
	return out
}

func (d *Database) countBySource() map[int]int {
	out := map[int]int{}
	for _, a := range d.window {
		out[a.source]++
	}
	return out
}

// meanShare is the mean share of the capacity in the window that ends now.
func (d *Database) meanShare(now int64) float64 {
	sum := d.Share(now)
	for _, share := range d.shares {
		sum += share
	}
	return sum / float64(len(d.shares)+1)
}

// Limit returns how many requests of mean work a window allows at that share of the capacity.
func (d *Database) Limit(share float64) float64 {
	n := d.OverloadFactor * share * d.Capacity * d.OverloadWindow.Seconds() / d.MeanWork
	if n < smallLimit {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Servable returns how many requests of mean work a database of these limits can serve from one age to another, if there is
// always enough to do from the first on.
func (l Limits) Servable(from, until time.Duration) float64 {
	const start = int64(time.Hour)
	d := Database{Limits: l}
	d.Start(start)
	d.Advance(start + int64(from))
	d.backlog = l.Capacity * until.Seconds() // more than it can do
	d.Advance(start + int64(until))
	return d.done / l.MeanWork
}
