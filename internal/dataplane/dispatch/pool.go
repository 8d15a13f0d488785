package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
)

// pool holds the connections to a member.
type pool struct {
	member      aspenshed.Member // as it was when the pool was made; its address may have been added since
	memberUp    bool             // the member list has it up
	draining    bool             // the member list has it draining or removed: nothing more is sent to it
	idle        []*connection    // newest last
	probeConn   *connection      // on which a probe is running
	lastConnect int              // count of all connections opened when the last one to it was
}

// UpdateMembers updates the pools to a member list. Pools of removed members are deleted; connections in use keep a
// reference to their pool.
func (s *Stage) UpdateMembers(list aspenshed.MemberList) {
	listed := map[string]bool{}
	for _, m := range list.Members {
		listed[m.ID] = true
		s.updatePool(m)
	}
	if !list.Complete {
		return
	}
	for _, p := range s.pools {
		if !listed[p.member.ID] {
			p.memberUp = false
			s.ClosePool(p.member.ID)
			if !s.RemovalIsAdvisory {
				s.stopSending(p)
				delete(s.pools, p.member.ID)
			}
		}
	}
}

// updatePool applies the entry of one member. Where the entry names a server with other data, the member gets a new pool.
func (s *Stage) updatePool(m aspenshed.Member) {
	p := s.pools[m.ID]
	if p != nil && m.State == aspenshed.Up && p.member.ReplacedBy(m) {
		s.retire(p)
		p = nil
	}
	if p == nil {
		p = &pool{member: m}
		s.pools[m.ID] = p
	}
	p.member.Address = cmp.Or(p.member.Address, m.Address)
	if p.memberUp = m.State == aspenshed.Up; p.memberUp {
		p.draining = false
		return
	}
	s.ClosePool(m.ID)
	s.stopSending(p)
	if m.State == aspenshed.Removed {
		delete(s.pools, m.ID)
	}
}

// retire takes a pool out of use. What its connections still say is not of the member that has its ID now.
func (s *Stage) retire(p *pool) {
	p.memberUp = false
	s.ClosePool(p.member.ID)
	s.stopSending(p)
	delete(s.pools, p.member.ID)
	if c := p.probeConn; c != nil {
		c.close()
		s.finishProbe(c, request.Result{Outcome: aspenshed.NotSent, Detail: reasonNotListed})
	}
}

// stopSending ends the attempts at a pool's member whose statement has not been sent. Those that may have been executed
// go on.
func (s *Stage) stopSending(p *pool) {
	if p.draining {
		return
	}
	p.draining = true
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		if a := s.attempts[id]; a.pool == p && !a.request.InFlight {
			s.deny(a, reasonNotListed)
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
	backendConn, err := s.Backend.Open(p.member.Address, s.ConnectTimeout, probe, c)
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
