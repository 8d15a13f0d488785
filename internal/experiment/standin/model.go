package standin

import (
	"time"
)

// Limits are what a database can do. Times are in ns, capacity in requests a second.
type Limits struct {
	Capacity   float64
	Work       time.Duration // that one request takes when nothing else is there
	Lag        time.Duration // of a replica
	ColdShare  float64       // of its capacity at the start
	ColdFor    time.Duration
	Multiple   float64 // work over this multiple of the present capacity, ...
	FallFor    time.Duration
	Queue      int           // requests beyond what it works on; more are turned away
	DrainGrace time.Duration // after the word of a drain
}

// DefaultLimits are those of a small database.
func DefaultLimits() Limits {
	return Limits{Capacity: 400, Work: 2 * time.Millisecond, Lag: 5 * time.Millisecond, ColdShare: 0.15, ColdFor: 16 * time.Second,
		Multiple: 2.5, FallFor: 1500 * time.Millisecond, Queue: 400, DrainGrace: 2 * time.Second}
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Full
	Miss // a write, and this is no primary
	Down
)

// Report is what a database has seen since its start.
type Report struct {
	Served, Full int
	LateDrain    int     // requests that came later than the grace after a drain
	Highest      float64 // share of what topples it that was asked of it while it was cold, 1: it fell
	Fell         bool
}

// Model decides what a database does with a request. It reads no clock: times are Unix ns.
type Model struct {
	Limits
	Report
	Primary bool

	startedAt int64 // 0: warm
	drainedAt int64
	freeAt    int64 // when it has worked off all that it took
	held      int
	window    []int64 // arrivals within FallFor, while it is cold
}

// NewModel makes a warm one.
func NewModel(l Limits, primary bool) Model { return Model{Limits: l, Primary: primary} }

// Start makes it cold.
func (m *Model) Start(now int64) {
	m.startedAt, m.drainedAt, m.freeAt, m.window, m.Fell, m.Highest = now, 0, now, nil, false, 0
}

// Drain notes that it is to get nothing new.
func (m *Model) Drain(now int64) { m.drainedAt = now }

// Warmth is the part of its capacity that it has now; it rises evenly.
func (m *Model) Warmth(now int64) float64 {
	if m.startedAt == 0 || now >= m.startedAt+int64(m.ColdFor) {
		return 1
	}
	return m.ColdShare + (1-m.ColdShare)*float64(now-m.startedAt)/float64(m.ColdFor)
}

// Take takes a request or turns it away, and tells how long it will take.
func (m *Model) Take(now int64, write bool) (Verdict, time.Duration) {
	if m.Fell {
		return Down, 0
	}
	if m.drainedAt != 0 && now > m.drainedAt+int64(m.DrainGrace) {
		m.LateDrain++
	}
	warmth := m.Warmth(now)
	if warmth < 1 {
		m.push(now, warmth)
	}
	switch {
	case m.Fell:
		return Down, 0
	case write && !m.Primary:
		return Miss, 0
	case m.held >= m.Queue:
		m.Full++
		return Full, 0
	}
	m.held++
	each := int64(1e9 / (m.Capacity * warmth))
	m.freeAt = max(m.freeAt, now) + each
	return Served, time.Duration(max(m.freeAt-now, int64(m.Work)))
}

// push falls over once more has come within the window than the multiple of what it can do.
func (m *Model) push(now int64, warmth float64) {
	m.window = append(m.window, now)
	for len(m.window) > 0 && m.window[0] <= now-int64(m.FallFor) {
		m.window = m.window[1:]
	}
	most := m.Multiple * warmth * m.Capacity * m.FallFor.Seconds()
	m.Highest = max(m.Highest, float64(len(m.window))/most)
	m.Fell = float64(len(m.window)) > most
}

// Done ends a request that was taken.
func (m *Model) Done(int64) Verdict {
	m.held--
	if m.Fell {
		return Down
	}
	m.Report.Served++
	return Served
}

// Position is the instant up to which it has applied all.
func (m *Model) Position(now int64) int64 {
	if m.Primary {
		return now
	}
	return now - int64(m.Lag)
}

// Waiting is how many it holds.
func (m *Model) Waiting(int64) int { return m.held }
