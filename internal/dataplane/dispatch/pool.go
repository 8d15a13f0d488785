package dispatch

import (
	"slices"

	"aspenshed"
)

// pool holds the connections to a member.
type pool struct {
	memberID, address string
	memberUp          bool          // the member list has it up
	draining          bool          // the member list has it draining or removed: nothing more is sent to it
	idle              []*connection // newest last
	probeConn         *connection   // on which a probe is running
	lastConnect       int           // count of all connections opened when the last one to it was
}

// UpdateMembers updates the addresses of members, and closes idle connections to members that are not up. Pools of
// removed members are deleted, as member IDs are never reused; connections in use keep a reference to their pool.
func (s *Stage) UpdateMembers(list aspenshed.MemberList) {
	listed := map[string]bool{}
	for _, m := range list.Members {
		listed[m.ID] = true
		p := s.pools[m.ID]
		if p == nil {
			p = &pool{memberID: m.ID}
			s.pools[m.ID] = p
		}
		if a := m.Address; a != "" && a != p.address {
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
	if !list.Complete {
		return
	}
	for _, p := range s.pools {
		if !listed[p.memberID] {
			p.memberUp = false
			s.ClosePool(p.memberID)
			if !s.RemovalIsAdvisory {
				p.draining = true
				delete(s.pools, p.memberID)
			}
		}
	}
}

func (s *Stage) takeIdle(p *pool) *connection {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !s.idleExpired(c) {
			return c
		}
		c.close()
	}
	return nil
}

func (s *Stage) idleExpired(c *connection) bool {
	return s.IdleTimeout > 0 && s.Loop.Now() >= c.idleSince+max(s.IdleTimeout-idleTimeoutMargin, s.IdleTimeout/2)
}

// closeOldestIdle closes the connection of any member that has been idle the longest; false if there is none.
func (s *Stage) closeOldestIdle() bool {
	var oldest *connection
	for _, p := range s.pools {
		for _, c := range p.idle {
			if oldest == nil || c.idleSince < oldest.idleSince {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

func (s *Stage) openConnection(p *pool, probe bool) (*connection, error) {
	c := &connection{stage: s, pool: p}
	backendConn, err := s.Backend.Open(p.address, s.ConnectTimeout, probe, c)
	if err != nil {
		return nil, err
	}
	c.backendConn = backendConn
	return c, nil
}

// ClosePool closes the idle connections to a member.
func (s *Stage) ClosePool(member string) {
	if p := s.pools[member]; p != nil {
		for _, c := range slices.Clone(p.idle) {
			c.close()
		}
	}
}

// sweepIdle closes idle connections before the member does, as a statement sent at that moment would be lost.
func (s *Stage) sweepIdle() {
	for _, p := range s.pools {
		for _, c := range slices.Clone(p.idle) {
			if s.idleExpired(c) {
				c.close()
			}
		}
	}
	s.Loop.At(s.Loop.Now()+sweepInterval, s.sweepIdle)
}
