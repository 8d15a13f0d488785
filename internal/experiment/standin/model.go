package standin

import (
	"time"
)

// Limits are what a database can do. Times are in ns, capacity in requests a second.
type Limits struct {
	Capacity        float64
	ServiceTime     time.Duration // that one request takes when nothing else is there
	ReplicationLag  time.Duration // of a replica
	InitialCapacity float64       // of its capacity at the start
	WarmUpTime      time.Duration
	OverloadFactor  float64 // work over this multiple of the present capacity, ...
	OverloadWindow  time.Duration
	MaxInFlight     int           // requests beyond what it works on; more are turned away
	DrainGrace      time.Duration // after the word of a drain
}

// DefaultLimits are those of a small database.
func DefaultLimits() Limits {
	return Limits{Capacity: 400, ServiceTime: 2 * time.Millisecond, ReplicationLag: 5 * time.Millisecond, InitialCapacity: 0.15, WarmUpTime: 16 * time.Second,
		OverloadFactor: 2.5, OverloadWindow: 1500 * time.Millisecond, MaxInFlight: 400, DrainGrace: 2 * time.Second}
}

// Result is what becomes of a request.
type Result int

// The verdicts.
const (
	Served Result = iota
	Overloaded
	NotPrimary // a write, and this is no primary
	Unavailable
)

// Report is what a database has seen since its start.
type Report struct {
	Served, Overloaded int
	AfterDrainGrace    int     // requests that came later than the grace after a drain
	PeakOverload       float64 // share of what topples it that was asked of it while it was cold, 1: it fell
	Crashed            bool
}

// Model decides what a database does with a request. It reads no clock: times are Unix ns.
type Model struct {
	Limits
	Report
	Primary bool

	startedAt int64 // 0: warm
	drainedAt int64
	idleAt    int64 // when it has worked off all that it took
	inFlight  int
	arrivals  []int64 // arrivals within FallFor, while it is cold
}

// NewModel makes a warm one.
func NewModel(l Limits, primary bool) Model { return Model{Limits: l, Primary: primary} }

// Start makes it cold.
func (m *Model) Start(now int64) {
	m.startedAt, m.drainedAt, m.idleAt, m.arrivals, m.Crashed, m.PeakOverload = now, 0, now, nil, false, 0
}

// Drain notes that it is to get nothing new.
func (m *Model) Drain(now int64) { m.drainedAt = now }

// CapacityShare is the part of its capacity that it has now; it rises evenly.
func (m *Model) CapacityShare(now int64) float64 {
	if m.startedAt == 0 || now >= m.startedAt+int64(m.WarmUpTime) {
		return 1
	}
	return m.InitialCapacity + (1-m.InitialCapacity)*float64(now-m.startedAt)/float64(m.WarmUpTime)
}

// Accept takes a request or turns it away, and tells how long it will take.
func (m *Model) Accept(now int64, write bool) (Result, time.Duration) {
	if m.Crashed {
		return Unavailable, 0
	}
	if m.drainedAt != 0 && now > m.drainedAt+int64(m.DrainGrace) {
		m.AfterDrainGrace++
	}
	warmth := m.CapacityShare(now)
	if warmth < 1 {
		m.recordArrival(now, warmth)
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
	each := int64(1e9 / (m.Capacity * warmth))
	m.idleAt = max(m.idleAt, now) + each
	return Served, time.Duration(max(m.idleAt-now, int64(m.ServiceTime)))
}

// recordArrival falls over once more has come within the window than the multiple of what it can do.
func (m *Model) recordArrival(now int64, warmth float64) {
	m.arrivals = append(m.arrivals, now)
	for len(m.arrivals) > 0 && m.arrivals[0] <= now-int64(m.OverloadWindow) {
		m.arrivals = m.arrivals[1:]
	}
	most := m.OverloadFactor * warmth * m.Capacity * m.OverloadWindow.Seconds()
	m.PeakOverload = max(m.PeakOverload, float64(len(m.arrivals))/most)
	m.Crashed = float64(len(m.arrivals)) > most
}

// Complete ends a request that was taken.
func (m *Model) Complete(int64) Result {
	m.inFlight--
	if m.Crashed {
		return Unavailable
	}
	m.Report.Served++
	return Served
}

// Position is the instant up to which it has applied all.
func (m *Model) Position(now int64) int64 {
	if m.Primary {
		return now
	}
	return now - int64(m.ReplicationLag)
}

// InFlight is how many it holds.
func (m *Model) InFlight(int64) int { return m.inFlight }
