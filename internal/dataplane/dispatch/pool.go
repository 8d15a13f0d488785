package dispatch

import (
	"slices"

	"aspenshed"
)

// pool is a member's connections.
type pool struct {
	memberID, address string
	memberUp          bool          // the list has it up
	draining          bool          // the list has said that it drains or is gone: nothing leaves for it from then on
	idle              []*connection // the newest last
	probeConn         *connection   // on which a probe is out
}

// UpdateMembers keeps addresses, and closes what is idle at members that are not up. Those that are gone are forgotten,
// as ids are always new; what is still out there holds its pool itself.
func (s *Stage) UpdateMembers(l aspenshed.MemberList, addresses map[string]string) {
	listed := map[string]bool{}
	for _, m := range l.Members {
		listed[m.ID] = true
		p := s.pools[m.ID]
		if p == nil {
			p = &pool{memberID: m.ID}
			s.pools[m.ID] = p
		}
		if a := addresses[m.ID]; a != "" && a != p.address {
			s.ClosePool(m.ID)
			p.address = a
		}
		p.draining = m.State != aspenshed.Up
		if p.memberUp = !p.draining; p.draining {
			s.ClosePool(p.memberID)
		}
		if m.State == aspenshed.Removed {
			delete(s.pools, m.ID)
		}
	}
	if !l.Complete {
		return
	}
	for _, p := range s.pools {
		if !listed[p.memberID] {
			p.memberUp = false
			s.ClosePool(p.memberID)
			if !s.RemovalNotBinding {
				p.draining = true
				delete(s.pools, p.memberID)
			}
		}
	}
}

func (s *Stage) takeIdle(p *pool) *connection {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !s.idleExpired(l) {
			return l
		}
		l.close()
	}
	return nil
}

func (s *Stage) idleExpired(l *connection) bool {
	return s.IdleClose > 0 && s.Loop.Now() >= l.idleSince+max(s.IdleClose-idleCloseMargin, s.IdleClose/2)
}

// closeOldestIdle closes the connection that has lain idle for longest, of whichever member.
func (s *Stage) closeOldestIdle() bool {
	var oldest *connection
	for _, p := range s.pools {
		for _, l := range p.idle {
			if oldest == nil || l.idleSince < oldest.idleSince {
				oldest = l
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

func (s *Stage) openConnection(p *pool, probe bool) (*connection, error) {
	l := &connection{stage: s, pool: p}
	c, err := s.Backend.Open(p.address, s.ConnectTimeout, probe, l)
	if err != nil {
		return nil, err
	}
	l.backendConn = c
	return l, nil
}

// ClosePool closes a member's idle connections.
func (s *Stage) ClosePool(member string) {
	if p := s.pools[member]; p != nil {
		for _, l := range slices.Clone(p.idle) {
			l.close()
		}
	}
}

// sweepIdle closes connections before the member does: a statement that crosses the close would be lost.
func (s *Stage) sweepIdle() {
	for _, p := range s.pools {
		for _, l := range slices.Clone(p.idle) {
			if s.idleExpired(l) {
				l.close()
			}
		}
	}
	s.Loop.At(s.Loop.Now()+sweepInterval, s.sweepIdle)
}
