package standin

import (
	"time"
)

// Limits are the performance limits of a database. Capacity is in requests per second.
type Limits struct {
	Capacity        float64
	ServiceTime     time.Duration // time that one request takes on an idle database
	ReplicationLag  time.Duration // how far a replica is behind the primary
	InitialCapacity float64       // share of Capacity right after a start
	WarmUpTime      time.Duration // time from a start until full capacity
	OverloadFactor  float64       // a cold database crashes if arrivals exceed this multiple of its present capacity
	OverloadWindow  time.Duration // period over which arrivals are counted for OverloadFactor
	MaxInFlight     int           // requests accepted and not yet completed; more are rejected
	DrainGrace      time.Duration // time after a drain notice in which requests may still arrive
}

// DefaultLimits returns the limits of a small database.
func DefaultLimits() Limits {
	return Limits{Capacity: 400, ServiceTime: 2 * time.Millisecond, ReplicationLag: 5 * time.Millisecond,
		InitialCapacity: 0.15, WarmUpTime: 16 * time.Second, OverloadFactor: 2.5, OverloadWindow: 1500 * time.Millisecond,
		MaxInFlight: 400, DrainGrace: 2 * time.Second}
}

// Result is the result of a request.
type Result int

// Results of a request.
const (
	Served Result = iota
	Overloaded
	NotPrimary // a write at a replica
	Unavailable
)

// Report counts what a database has observed. A restart resets PeakOverload and Crashed.
type Report struct {
	Served, Overloaded int
	AfterDrainGrace    int     // requests that arrived after DrainGrace had passed since a drain
	PeakOverload       float64 // largest ratio of arrivals to the overload limit while cold; above 1 the database crashes
	Crashed            bool
}

// Model decides how a database handles requests. It reads no clock: callers pass the time in Unix ns.
type Model struct {
	Limits
	Report
	Primary bool

	startedAt int64 // 0: warmed up
	drainedAt int64
	idleAt    int64 // when all accepted requests will be completed
	inFlight  int
	arrivals  []int64 // times of the arrivals within OverloadWindow, recorded while it is cold
}

// NewModel returns the model of a database that is warmed up.
func NewModel(l Limits, primary bool) Model { return Model{Limits: l, Primary: primary} }

// Start models a restart: the database is cold again.
func (m *Model) Start(now int64) {
	m.startedAt, m.drainedAt, m.idleAt, m.arrivals, m.Crashed, m.PeakOverload = now, 0, now, nil, false, 0
}

// Drain records the time of a drain notice.
func (m *Model) Drain(now int64) { m.drainedAt = now }

// CapacityShare returns the share of Capacity that is available now. It rises linearly during the warm-up.
func (m *Model) CapacityShare(now int64) float64 {
	if m.startedAt == 0 || now >= m.startedAt+int64(m.WarmUpTime) {
		return 1
	}
	return m.InitialCapacity + (1-m.InitialCapacity)*float64(now-m.startedAt)/float64(m.WarmUpTime)
}

// Accept accepts or rejects a request, and returns how long an accepted one takes.
func (m *Model) Accept(now int64, write bool) (Result, time.Duration) {
	if m.Crashed {
		return Unavailable, 0
	}
	if m.drainedAt != 0 && now > m.drainedAt+int64(m.DrainGrace) {
		m.AfterDrainGrace++
	}
	share := m.CapacityShare(now)
	if share < 1 {
		m.recordArrival(now, share)
	}
	switch {
	case m.Crashed:
		return Unavailable, 0
	case write && !m.Primary:
		return NotPrimary, 0
	case m.inFlight >= m.MaxInFlight:
		m.Overloaded++
		return Overloaded, 0
	}
	m.inFlight++
	perRequest := int64(1e9 / (m.Capacity * share))
	m.idleAt = max(m.idleAt, now) + perRequest
	return Served, time.Duration(max(m.idleAt-now, int64(m.ServiceTime)))
}

// recordArrival records an arrival at a cold database. The database crashes once the arrivals within OverloadWindow
// exceed OverloadFactor times what it can serve in that time.
func (m *Model) recordArrival(now int64, share float64) {
	m.arrivals = append(m.arrivals, now)
	for len(m.arrivals) > 0 && m.arrivals[0] <= now-int64(m.OverloadWindow) {
		m.arrivals = m.arrivals[1:]
	}
	limit := m.OverloadFactor * share * m.Capacity * m.OverloadWindow.Seconds()
	m.PeakOverload = max(m.PeakOverload, float64(len(m.arrivals))/limit)
	m.Crashed = float64(len(m.arrivals)) > limit
}

// Complete ends an accepted request.
func (m *Model) Complete(int64) Result {
	m.inFlight--
	if m.Crashed {
		return Unavailable
	}
	m.Report.Served++
	return Served
}

// Position returns the time up to which the database has applied all writes.
func (m *Model) Position(now int64) int64 {
	if m.Primary {
		return now
	}
	return now - int64(m.ReplicationLag)
}

// InFlight returns the number of requests that were accepted and have not completed.
func (m *Model) InFlight(int64) int { return m.inFlight }
