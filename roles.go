package aspenshed

// This file decides what members' statements of their roles prove. Such a statement was true at some moment between the
// sending of the query and the arrival of the response: the response may have waited at the server, in the network, or
// unread. The router does not know that moment, so it takes the one that is safe: a claim to be the primary counts as of
// the sending; a denial, and a claim of another member, as of the arrival.

const (
	// maxReportAge is how old a member's stored report is at most when the member returns it.
	maxReportAge = 200 * ms
)

// needsConfirmation tells whether a recent proof of the primary's role is needed to send it q. A write needs none, as a
// replica rejects it, nor does a read that any member may serve, and members that check reads reject stale ones. Where
// responses tell the role, the first one ends a wrong belief. Where no probe is allowed, nothing else can.
func (r *Router) needsConfirmation(q *request) bool {
	switch q.class.Consistency {
	case BoundedStaleness, ReadYourWrites, Linearizable:
		return r.settings.MayProbe && !r.settings.MembersCheckStaleness && !r.settings.ResponsesHaveRole
	}
	return false
}

// confirmationTime is for how long a proof of the primary's role serves a read. A member has all commits up to the moment
// in which it was the primary, so if it has lost the role since, a bounded read still gets data within its bound.
func (r *Router) confirmationTime(q *request) Nanos {
	if q.class.isBounded() {
		return q.class.MaxStaleness - positionMargin
	}
	return r.minStalenessBound
}

// isConfirmed tells whether the primary p has proven its role recently enough for q.
func (r *Router) isConfirmed(q *request, p *member) bool {
	return !r.needsConfirmation(q) || p.primaryProvenAt != 0 && r.now <= p.primaryProvenAt+r.confirmationTime(q)
}

// confirmPrimary tells whether the primary p, to which q would be sent, has proven its role recently enough for it. In the
// second half of that time it probes p, so that reads need not wait for the next proof.
func (r *Router) confirmPrimary(q *request, p *member) bool {
	if r.needsConfirmation(q) && r.now > p.primaryProvenAt+r.confirmationTime(q)/2 && r.now >= p.probedAt+r.minStalenessBound/4 {
		r.probe(p)
	}
	return r.isConfirmed(q, p)
}

// roleEvidence is what a member has stated of its role.
type roleEvidence struct {
	primary   bool
	notBefore Nanos // the statement was true at some moment since then; only needed if primary
	source    RoleSource
}

// claims are the claims of a group's members to be its primary: when the newest arrived, and the newest of any other member
// than that one.
type claims struct {
	claimant           *member
	newestAt, othersAt Nanos
}

// add records a claim of m and returns when the newest claim of any other member arrived; 0: there is none.
func (c *claims) add(m *member, now Nanos) (others Nanos) {
	if c.claimant != m {
		c.claimant, c.othersAt = m, c.newestAt
	}
	c.newestAt = now
	return c.othersAt
}

// contradictsList tells whether members have stated roles by which m, which the list names as the primary, may be none: the
// list is older than that.
func (g *group) contradictsList(m *member) bool {
	return m.primaryDeniedAt != 0 || g.claims.claimant != nil && g.claims.claimant != m
}

// updateRole applies what m has stated of its role.
func (r *Router) updateRole(m *member, e roleEvidence) {
	if e.primary {
		r.primaryClaimed(m, e)
	} else {
		r.primaryDenied(m, e.source)
	}
}

// primaryDenied applies that m has stated that it is not the primary.
func (r *Router) primaryDenied(m *member, source RoleSource) {
	m.primaryDeniedAt = r.now
	if g := m.group; g.primary == m {
		g.primaryTrusted, g.roleSource = false, source
	}
}

// primaryClaimed applies that m has stated that it is the primary. It is trusted if that is provably newer than its own last
// denial and than the claims of all others. Else nobody is trusted, as another member may have become the primary since it
// was last heard of: a probe round will tell.
func (r *Router) primaryClaimed(m *member, e roleEvidence) {
	g := m.group
	others := g.claims.add(m, r.now)
	proven := e.notBefore >= m.primaryDeniedAt && e.notBefore >= others
	if proven {
		m.primaryProvenAt = max(m.primaryProvenAt, e.notBefore)
	}
	if proven && m.State == Up {
		r.trustPrimary(m, e.source)
	} else if p := g.primary; p != nil && p != m && g.primaryTrusted {
		r.distrustPrimary(p, e.source)
	}
}

// trustPrimary makes m the trusted primary of its group.
func (r *Router) trustPrimary(m *member, source RoleSource) {
	g := m.group
	if former := g.primary; former != m {
		if former != nil {
			r.closeIdleConnections(former)
		}
		g.primary = m
		m.window = r.windowShare(newPrimaryWindow)
	}
	g.moveToFront(m)
	g.primaryTrusted, g.roleSource = true, source
	g.inRound, g.nextRoundAt = false, 0
}

// distrustPrimary stops trusting m as the primary and lets a probe round start; rounds go on while
// requests need a primary.
func (r *Router) distrustPrimary(m *member, source RoleSource) {
	if g := m.group; m == g.primary {
		g.primaryTrusted, g.roleSource, g.primaryWantedAt = false, source, r.now
	}
}

// applyReportedRole applies the role in a report that was asked for at that time.
func (r *Router) applyReportedRole(m *member, report Report, askedAt Nanos) {
	evidence := roleEvidence{primary: report.Primary, source: RoleFromReport, notBefore: askedAt}
	switch {
	case report.RoleIsCurrent:
	case !report.HasPosition || report.Position == 0:
		evidence.notBefore -= maxReportAge
	case report.Primary: // the primary's position is the time of the report
		evidence.notBefore = min(askedAt, report.Position-r.clock.reportLead())
	case report.Position+positionMargin-r.clock.provenLead() < m.primaryProvenAt:
		return // made before m became the primary, whose position is the present
	}
	r.updateRole(m, evidence)
}
