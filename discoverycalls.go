package aspenshed

// This file decides when discovery is called.

import (
	"cmp"
	"math"
)

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
