package aspenshed

// This file applies member lists and decides when discovery is called.

import (
	"cmp"
	"math"
)

func (r *Router) updateMembers(e MemberList) {
	if !e.Cached {
		r.nextCallAt, r.retryCycle = 0, 0
	}
	seen := map[string]bool{}
	for _, listed := range e.Members {
		seen[listed.ID] = true
		m := r.members[listed.ID]
		if m == nil {
			if listed.State == Removed {
				continue
			}
			g := r.group(listed.Group)
			m = &member{Member: listed, group: g, slowness: 1, slownessAt: r.now,
				window: initialWindow}
			r.members[listed.ID], r.memberList, g.probeOrder =
				m, append(r.memberList, m), append(g.probeOrder, m)
			r.startListed(m, listed.StartedAt)
		}
		if r.isNewStart(e, listed, m) {
			m.slowness, m.failureRate, m.ejectedUntil, m.ejectionTime, m.unreachable = 1, 0, 0, 0, false
			r.startListed(m, listed.StartedAt)
		}
		wasPrimary := m.Primary
		m.Member = listed
		m.Weight = max(listed.Weight, 0.01)
		m.group.primaryTrusted = m.group.primaryTrusted && (listed.State == Up || m != m.group.primary)
		// The list's roles may be outdated: they only decide which member is probed first.
		if r.settings.ListHasRoles && listed.Primary && (!wasPrimary || m.group.primary == nil) &&
			m.group.primary != m {
			m.group.moveToFront(m)
			if m.group.primary == nil && m.State == Up {
				// Nothing better is known. A write to the wrong member is rejected without being
				// executed, and costs less than the probes of a whole fleet that has just started.
				m.group.primary, m.group.primaryTrusted = m, true
				m.window = r.windowShare(newPrimaryWindow)
			} else if !m.group.primaryTrusted {
				m.group.inRound, m.group.nextRoundAt = false, 0
			}
		}
	}
	r.knowsList = r.knowsList || !e.Cached
	for _, m := range r.memberList {
		if e.Complete && !seen[m.ID] && m.State != Removed &&
			!(r.settings.RemovalIsAdvisory && m.State == Up) {
			m.State, m.group.primaryTrusted = Removed, m.group.primaryTrusted && m.group.primary != m
		}
	}
	r.dropRemoved()
}

// callFailed schedules the next call to discovery after one that failed or a watch that ended. However
// it failed, the router counts as notified of a change changeNotifiedAfter later and has to follow it
// DrainGrace after that: the next call has ended by then.
func (r *Router) callFailed(e DiscoveryFailed) {
	switch {
	case e.Unreachable:
		r.nextCallAt = r.now + Nanos(float64(minCallRetry)*(1+2*r.random()))
	case r.nextCallAt == 0: // a watch ended, possibly for a whole fleet at once
		r.nextCallAt = r.callSlot(cmp.Or(e.LastHeard, r.now) + r.maxCallInterval() - r.now)
	default:
		r.nextCallAt = r.retryCallAt(cmp.Or(e.LastHeard, r.lastCallAt) + r.maxCallInterval())
	}
}

// maxCallInterval is the time from a call, or from the last line of a watch, within which the next call
// has to start.
func (r *Router) maxCallInterval() Nanos {
	return max(min(changeNotifiedAfter, r.settings.NotifiedAfter)+r.settings.DrainGrace-callDuration,
		minCallRetry)
}

// retryCallAt is the time of this router's call slot in a cycle that the fleet shares, as all routers
// are given the same clock: few calls, evenly spread, whenever each of them failed. If the slot is too
// late, the router calls earlier, so that the call fails before the slot.
func (r *Router) retryCallAt(latest Nanos) Nanos {
	fleetPeriod := float64(callSpacing) * float64(r.settings.Routers)
	r.retryCycle = max(2*r.retryCycle, minCallRetry, Nanos(min(fleetPeriod, float64(changeNotifiedAfter))))
	r.retryCycle = min(r.retryCycle, r.maxCallInterval())
	slot := Nanos(float64(r.settings.Rank) / float64(max(r.settings.Routers, 1)) * float64(r.retryCycle))
	earliest := r.now + minCallRetry/2
	at := earliest + ((slot-earliest)%r.retryCycle+r.retryCycle)%r.retryCycle
	if at > latest {
		at -= maxCallFailureTime + minCallRetry
	}
	return min(max(at, earliest), max(latest, r.now)) // an overdue call is made at once
}

// callSlot is the time of this router's call among all routers that start to call now; the last slot is
// maxWait from now at the latest.
func (r *Router) callSlot(maxWait Nanos) Nanos {
	slot := math.Mod((float64(r.settings.Rank)+r.random())/float64(max(r.settings.Routers, 1)), 1)
	return r.now + Nanos(math.Abs(slot)*min(float64(callSpacing)*r.routersAboveSmallFleet(),
		float64(max(maxWait, 0))))
}
