package aspenshed

// This file applies member lists.

import "slices"

func (r *Router) updateMembers(list MemberList) {
	if !list.Cached {
		r.nextCallAt, r.retryCycle = 0, 0
	}
	seen := map[string]bool{}
	for _, listed := range list.Members {
		seen[listed.ID] = true
		r.updateMember(list, listed)
	}
	r.knowsList = r.knowsList || !list.Cached
	for _, m := range r.memberList {
		if list.Complete && !seen[m.ID] && m.State != Removed &&
			!(r.settings.RemovalIsAdvisory && m.State == Up) {
			m.State = Removed
			m.distrustAsListed()
		}
	}
	r.dropRemoved()
}

// updateMember applies the entry of one member.
func (r *Router) updateMember(list MemberList, listed Member) {
	m := r.members[listed.ID]
	switch {
	case m != nil && listed.State == Up && m.ReplacedBy(listed):
		r.forgetMember(m)
		m = r.addMember(listed)
		m.isReplacement = true
	case m != nil && r.isNewStart(list, listed, m):
		m.slowness, m.failureRate, m.ejectedUntil, m.ejectionTime, m.unreachable = 1, 0, 0, 0, false
		r.startListed(m, listed.StartedAt)
	case m == nil && listed.State == Removed:
		return
	case m == nil:
		m = r.addMember(listed)
	}
	wasPrimary := m.Primary
	m.update(listed)
	if listed.State != Up {
		m.distrustAsListed()
	}
	if r.settings.ListHasRoles && listed.Primary && (!wasPrimary || m.group.primary == nil) {
		r.listedAsPrimary(m)
	}
}

// distrustAsListed applies that the list has m draining or removed: it is the primary no more.
func (m *member) distrustAsListed() {
	if g := m.group; g.primary == m {
		g.primaryTrusted, g.roleSource = false, RoleFromList
	}
}

func (r *Router) addMember(listed Member) *member {
	g := r.group(listed.Group)
	m := &member{Member: listed, group: g, slowness: 1, slownessAt: r.now, window: initialWindow}
	r.members[listed.ID] = m
	r.memberList = append(r.memberList, m)
	g.probeOrder = append(g.probeOrder, m)
	r.startListed(m, listed.StartedAt)
	return m
}

// ReplacedBy tells whether an entry with m's ID names another server, or the same with other data: nothing that is known of
// m is true of it. An entry without an address does not say where the member is reached.
func (m Member) ReplacedBy(listed Member) bool {
	return listed.Group != m.Group || m.Address != "" && listed.Address != "" && listed.Address != m.Address
}

// update takes over an entry. A member that is not up keeps its group and address: an entry that says that it leaves may
// say no more.
func (m *member) update(listed Member) {
	if listed.State != Up {
		listed.Group, listed.Address = m.Group, m.Address
	}
	if listed.Address == "" {
		listed.Address = m.Address
	}
	m.Member = listed
	m.Weight = max(listed.Weight, 0.01)
}

// forgetMember drops a member whose entry names another server now. Attempts in flight keep it until they end; what their
// responses say concerns no one any more.
func (r *Router) forgetMember(m *member) {
	r.reportReplaced(m)
	m.State = Removed
	g := m.group
	if g.primary == m {
		g.primary, g.primaryTrusted, g.roleSource = nil, false, RoleFromList
	}
	g.inRound = false // its position in probeOrder may have changed
	isForgotten := func(x *member) bool { return x == m }
	g.probeOrder = slices.DeleteFunc(g.probeOrder, isForgotten)
	r.memberList = slices.DeleteFunc(r.memberList, isForgotten)
	delete(r.members, m.ID)
}

// listedAsPrimary applies that the list newly names m as the primary. The list's roles may be outdated: they only decide
// which member is probed first.
func (r *Router) listedAsPrimary(m *member) {
	g := m.group
	if g.primary == m {
		return
	}
	g.moveToFront(m)
	// Of a replacement the list may still have the former role.
	if g.primary == nil && m.State == Up && !m.isReplacement && !g.contradictsList(m) {
		// Nothing better is known. A write to the wrong member is rejected without being executed, and costs less than the
		// probes of a whole fleet that has just started.
		g.primary, g.primaryTrusted, g.roleSource = m, true, RoleFromList
		m.window = r.windowShare(newPrimaryWindow)
	} else if !g.primaryTrusted {
		g.inRound, g.nextRoundAt = false, 0
	}
}

// closeIdleConnections closes the idle connections to m, unless its entry names another server now.
func (r *Router) closeIdleConnections(m *member) {
	if r.members[m.ID] == m {
		r.emit(CloseIdleConnections{m.ID})
	}
}
