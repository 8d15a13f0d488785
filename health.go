package aspenshed

// This file judges members by their responses: ejection, slowness, overload and the window of attempts in flight.

// eject takes a member out of selection for a while. After that, single reads try it again.
func (r *Router) eject(m *member, cause StateCause) {
	if r.ejected(m) {
		return
	}
	m.diagnostics.phaseCause = cause
	first := r.firstEjection()
	m.ejectionTime = min(max(2*m.ejectionTime, first), max(maxEjection, 4*first))
	// The length is random: routers must not return all at once.
	m.ejectedUntil = r.now + Nanos(float64(m.ejectionTime)*(0.5+r.random()))
	if r.distrustPrimary(m, RoleFromFailure); m.group.primary != m && r.settings.MayProbe {
		r.probe(m)
	}
}

// connectionLost handles a lost connection. The network may be the cause, and it says nothing about
// queues. A member that has crashed answers no probe.
func (r *Router) connectionLost(m *member) {
	if m.connectionLosses = 1; r.settings.MayProbe {
		r.probe(m)
	} else {
		r.eject(m, StateConnectionLost)
	}
}

func (r *Router) observeResponse(m *member, duration float64, class int) {
	m.lastResponseAt, m.ejectionTime, m.ejectedUntil, m.connectionLosses = r.now, 0, 0, 0
	r.sampleCount[class] = min(r.sampleCount[class]+1, 2/learningRate)
	r.typicalLatency[class] += (duration - r.typicalLatency[class]) / r.sampleCount[class]
	m.recentLatencyRatio += r.sampleWeight(m) *
		(duration/float64(r.settings.Classes[class].LatencyTarget) - m.recentLatencyRatio)
	r.observeSlowness(m, duration/r.typicalLatency[class])
	m.failureRate -= learningRate * m.failureRate
	if g := m.group; m == g.primary { // reads are added to the primary's own work only while that stays quick
		if g.spillChance = min(1, g.spillChance+spillStep); duration >=
			spillLatencyRatio*float64(r.settings.Classes[class].LatencyTarget) {
			g.spillChance = max(spillStep, (g.spillChance-spillStep)*(1-3*spillStep))
		}
	}
	r.lossRate -= learningRate / 2 * r.lossRate
	m.latencyRatio += learningRate *
		(duration/float64(r.settings.Classes[class].LatencyTarget) - m.latencyRatio)
	r.observeReplicaLatency(m, duration/float64(r.settings.Classes[class].LatencyTarget))
	switch {
	case m.latencyRatio > slowLatencyRatio:
		r.shrinkWindow(m, windowShrink)
	case float64(m.inFlight+1) < m.window/2: // the window was not used: nothing is learned
	default:
		m.window += max(1/m.window, 2/initialWindow)
	}
}

// sampleWeight is the weight of a new sample of m. Where responses are rare each counts for more:
// otherwise each router would learn too late what the fleet as a whole has observed.
func (r *Router) sampleWeight(m *member) float64 {
	return min(max(learningRate, float64(r.now-m.slownessAt)/1e9/fullWeightGap), 0.5)
}

// observeSlowness adds a sample of how slow m is.
func (r *Router) observeSlowness(m *member, sample float64) {
	m.slowness += r.sampleWeight(m) * (min(max(sample, 0.1), 10) - m.slowness)
	m.slownessAt = r.now
}

// observeOverload counts an attempt that m rejected or did not respond to as a slow response: judged by
// its responses alone, a primary that gives none would seem as quick as before.
func (r *Router) observeOverload(m *member, ratio float64) {
	m.recentLatencyRatio += r.sampleWeight(m) * (min(ratio, 2) - m.recentLatencyRatio)
}

// spareCapacity is the chance that a bounded-staleness read goes to the primary before a replica is
// probed for its position: where probes are costly, the higher the quicker the primary is.
func (r *Router) spareCapacity(g *group) float64 {
	if r.settings.ProbeCost < costlyProbe {
		return 0
	}
	return (busyLatencyRatio - g.primary.recentLatencyRatio) / (busyLatencyRatio - spareLatencyRatio)
}

func (r *Router) shrinkWindow(m *member, factor float64) {
	if r.now < m.windowShrunkAt+Nanos(r.typicalLatency[0]) {
		return
	}
	if m.windowShrunkAt, m.window = r.now, max(1, m.window*factor); m == m.group.primary {
		// A primary's writes have nowhere else to go.
		m.window = max(m.window, r.windowShare(minPrimaryWindow))
	}
}
