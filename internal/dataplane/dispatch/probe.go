package dispatch

import (
	"aspenshed"
	"aspenshed/internal/dataplane/request"
)

// Probe asks a member on an idle connection, or a new one. Connections are dear to a member that many gateways ask: the next
// attempt there goes out on the same one.
func (s *Stage) Probe(member string) {
	p := s.pools[member]
	if p == nil {
		return
	}
	if l := p.probeConn; l != nil {
		l.close()
		s.finishProbe(l, request.Result{Outcome: aspenshed.TimedOut})
	}
	l := s.takeIdle(p)
	if l == nil {
		var err error
		if l, err = s.openConnection(p, true); err != nil {
			s.Loop.Post(func() {
				s.finishProbe(&connection{stage: s, pool: p, probeStartedAt: s.Loop.Now()}, request.Result{Outcome: aspenshed.ConnectFailed})
			})
			return
		}
	}
	p.probeConn = l
	l.probing, l.probeStartedAt = true, s.Loop.Now()
	l.probeTimer = s.Loop.At(l.probeStartedAt+probeTimeout, func() {
		l.close()
		s.finishProbe(l, request.Result{Outcome: aspenshed.TimedOut})
	})
	if l.ready {
		l.send()
	}
}

func (s *Stage) finishProbe(l *connection, r request.Result) {
	l.probing = false
	s.Loop.StopTimer(l.probeTimer)
	s.OnProbeEnd(l.pool.memberID, r)
	s.Emit(aspenshed.ProbeResult{Member: l.pool.memberID, Outcome: r.Outcome, Duration: s.Loop.Now() - l.probeStartedAt, Report: r.Report})
}
