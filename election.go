package aspenshed

// This file finds the primary of a group by probe rounds. What the results prove is decided in roles.go.

import "slices"

// runRound probes the members in probeOrder, one at a time, while no primary is trusted.
func (r *Router) runRound(g *group) {
	if g.primaryTrusted || r.now > g.primaryWantedAt+r.roundInterval() {
		g.inRound = false
		return
	}
	// Without probes the writes themselves try one member after the other.
	if i := slices.IndexFunc(g.probeOrder, isUp); !r.settings.MayProbe && i >= 0 {
		if r.now >= g.nextRoundAt {
			m := g.probeOrder[i]
			g.probeOrder = append(slices.Delete(g.probeOrder, i, i+1), m)
			g.primary, g.primaryTrusted, g.roleSource = m, true, RoleFromRotation
			g.nextRoundAt = r.now + minRoundInterval/10
		}
		return
	}
	if !g.inRound {
		if r.now >= g.nextRoundAt {
			g.inRound, g.probeIndex = true, -1
			g.nextRoundAt = r.now + Nanos(float64(r.roundInterval())*(0.5+r.random()))
			r.probeNext(g)
		}
	} else if r.now >= g.roundProbedAt+probeTimeout {
		r.probeNext(g)
	}
	r.scheduleStep(max(g.nextRoundAt, g.roundProbedAt+probeTimeout))
}

func (r *Router) probeNext(g *group) {
	for g.probeIndex++; g.probeIndex < len(g.probeOrder); g.probeIndex++ {
		// A member that refused connections is probed rarely, but probed: nothing else may show that it
		// is back.
		if m := g.probeOrder[g.probeIndex]; m.State == Up &&
			(!m.unreachable || r.now > max(m.unreachableAt, m.probedAt)+maxEjection) {
			g.roundProbedAt = r.now
			r.probe(m)
			return
		}
	}
	g.inRound = false
}

func (r *Router) probe(m *member) {
	if m.State != Up || m.probePending && r.now < m.probedAt+2*probeTimeout {
		return
	}
	m.probePending, m.probedAt = true, r.now
	m.diagnostics.sent.Probes++
	r.emit(Probe{m.ID})
}

func (r *Router) probeEnded(e ProbeResult) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	sentAt := r.now - e.Duration
	if m.probePending { // the duration was measured a little before this Step
		sentAt = min(sentAt, m.probedAt)
	}
	if m.probePending = false; e.Outcome == NotSent { // says nothing of m
		return
	}
	r.probeLatency += Nanos(learningRate * float64(e.Duration-r.probeLatency))
	switch {
	case m.connectionLosses == 1 && e.Outcome == ConnectionLost:
		// The probe's connection was lost too: there is still no response from the member.
		m.connectionLosses, m.group.roundProbedAt = 2, r.now
		r.probe(m)
		return
	case m.connectionLosses > 0 && e.Outcome != Served:
		r.eject(m, StateProbeFailed)
	}
	m.connectionLosses = 0
	if e.Outcome == Served {
		if m.unreachable { // reachable again
			m.unreachable, m.ejectionTime, m.ejectedUntil, m.reachableAt = false, 0, 0, r.now
			r.startWarming(m, r.now, StateConnectionRefused)
		}
		r.applyReport(m, e.Report, sentAt)
		// A first silence may be chance: then a probe counts as a response.
		if m.ejectionTime <= r.firstEjection() {
			m.lastResponseAt = r.now
		}
	}
	g := m.group
	if g.inRound && !g.primaryTrusted && g.probeIndex >= 0 && g.probeIndex < len(g.probeOrder) &&
		g.probeOrder[g.probeIndex] == m {
		r.probeNext(g)
	}
}
