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
	if l := p.probe; l != nil {
		l.close()
		s.probed(l, request.Result{Outcome: aspenshed.TimedOut})
	}
	l := s.takeIdle(p)
	if l == nil {
		var err error
		if l, err = s.open(p, true); err != nil {
			s.Loop.Post(func() {
				s.probed(&connection{s: s, p: p, began: s.Loop.Now()}, request.Result{Outcome: aspenshed.ConnectFailed})
			})
			return
		}
	}
	p.probe = l
	l.probing, l.began = true, s.Loop.Now()
	l.timer = s.Loop.At(l.began+probeTimeout, func() {
		l.close()
		s.probed(l, request.Result{Outcome: aspenshed.TimedOut})
	})
	if l.up {
		l.start()
	}
}

func (s *Stage) probed(l *connection, r request.Result) {
	l.probing = false
	s.Loop.Stop(l.timer)
	s.Probed(l.p.id, r)
	s.Tell(aspenshed.ProbeResult{Member: l.p.id, Outcome: r.Outcome, Duration: s.Loop.Now() - l.began, Report: r.Report})
}
