package dispatch

import (
	"aspenshed"
	"aspenshed/internal/dataplane/request"
)

// Probe sends a probe on an idle connection, or a new one, and leaves it in the pool for the next attempt: a connection
// kept for probes alone would be expensive for a member that many gateways probe.
func (s *Stage) Probe(member string) {
	p := s.pools[member]
	if p == nil {
		return
	}
	if c := p.probeConn; c != nil {
		c.close()
		s.finishProbe(c, request.Result{Outcome: aspenshed.TimedOut})
	}
	c := s.takeIdle(p)
	if c == nil {
		var err error
		if c, err = s.openConnection(p, true); err != nil {
			s.Loop.Post(func() {
				s.finishProbe(&connection{stage: s, pool: p, probeStartedAt: s.Loop.Now()}, request.Result{Outcome: aspenshed.NotSent, Detail: err.Error()})
			})
			return
		}
	}
	p.probeConn = c
	c.probing, c.probeStartedAt = true, s.Loop.Now()
	c.probeTimer = s.Loop.At(c.probeStartedAt+probeTimeout, func() {
		c.close()
		s.finishProbe(c, request.Result{Outcome: aspenshed.TimedOut})
	})
	if c.ready {
		c.send()
	}
}

// finishProbe reports the result of a probe, to the router only if the member is still the one that was probed.
func (s *Stage) finishProbe(c *connection, r request.Result) {
	c.probing = false
	s.Loop.StopTimer(c.probeTimer)
	s.OnProbeEnd(c.pool.member.ID, r)
	if s.pools[c.pool.member.ID] != c.pool {
		return
	}
	s.Emit(aspenshed.ProbeResult{Member: c.pool.member.ID, Outcome: r.Outcome, Duration: s.Loop.Now() - c.probeStartedAt, Report: r.Report})
}
