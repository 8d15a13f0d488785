package aspenshed

// This file handles how attempts end, and those that do not: what is learned from them, and whether the request gets
// another one.

import (
	"cmp"
	"slices"
)

// observeNoResponse handles an attempt without a response. If its connection had been idle, the
// connection or the member is the cause: a response on a new connection will tell. Where connecting is
// slow, idle connections are kept.
func (r *Router) observeNoResponse(a *attempt) {
	if a.member.suspectIdle = a.connectionIdle; a.connectionIdle > 0 &&
		a.member.connectTime <= slowConnectRatio*r.typicalLatency[0] {
		a.member.suspectIdleAt, a.member.idleSince = r.now, nil
		r.closeIdleConnections(a.member)
	}
}

func (r *Router) attemptEnded(e AttemptResult) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	q.inFlight, a.ended = q.inFlight-1, true
	if !a.lost {
		a.member.inFlight--
	}
	notExecuted := e.Outcome.notExecuted()
	if notExecuted {
		q.maybeExecuted = slices.DeleteFunc(q.maybeExecuted, func(x *attempt) bool { return x == a })
	}
	if e.Outcome == UnknownOutcome {
		r.emit(LogMessage{"outcome not understood: taken as one that may have run"})
	}
	r.observeAttempt(a, e)
	if q.done || e.Final || e.Outcome == Served {
		r.endRequest(q)
		return
	} else if q.inFlight > 0 {
		return
	}
	if cause := r.noRetryCause(q, e.Outcome); cause != CauseNone {
		r.refuseOrFail(q, cause)
		return
	}
	if !notExecuted {
		r.retryBudget--
	} else if e.Outcome != Ineligible { // a connection and a rejection cost work too
		r.retryBudget -= 0.5
	}
	if len(q.attempts) > 1 || e.Outcome == Overloaded {
		q.notBefore = r.now + Nanos(float64(len(q.attempts))*(0.5+r.random())*float64(10*ms))
	}
	r.dispatch(q)
}

// noRetryCause tells why q gets no further attempt after one that ended with this outcome; CauseNone: it may.
func (r *Router) noRetryCause(q *request, outcome Outcome) Cause {
	switch {
	case outcome == NotSent:
		return CauseNotSent
	case r.now >= q.deadline-r.settings.MinStepInterval:
		return CauseNoTime
	case !outcome.notExecuted() && q.class.RetrySafety == Unsafe:
		return CauseMaybeExecuted
	case outcome != Ineligible && r.retryBudget < 1:
		return CauseRetryBudget
	case r.settings.MaxAttempts > 0 && len(q.attempts) >= r.settings.MaxAttempts:
		return CauseMaxAttempts
	}
	return CauseNone
}

// observeAttempt updates the estimates from the result of an attempt.
func (r *Router) observeAttempt(a *attempt, e AttemptResult) {
	m, q := a.member, a.request
	r.endSlowStart(a, e.Outcome)
	report := e.Report
	report.HasRole = report.HasRole && e.Role == RoleUnknown // the role of the response is the newer one
	r.applyReport(m, report, a.sentAt)
	if e.Role != RoleUnknown || e.Outcome == Served { // it responded: its connection is idle again
		m.idleSince = append(m.idleSince, r.now)
	}
	if e.Role != RoleUnknown {
		r.updateRole(m, roleEvidence{primary: e.Role == RolePrimary, notBefore: a.sentAt, source: RoleFromResponse})
	}
	switch {
	case e.Position == 0:
	case q.class.Consistency != Write:
		r.observePosition(m, e.Position)
	case e.Outcome == Served:
		r.observeCommit(e.Position)
	}
	// Dropped connections do not count, nor does a failing member of a group that has healthy ones.
	if (e.Outcome == TimedOut || e.Outcome == Cancelled) &&
		(a.connectionIdle == 0 || r.idleDropEvidence < 0) &&
		!a.lost && (!r.ejected(m) || !r.hasHealthyReplica(q.group)) {
		r.observeReplicaLatency(m, 1)
	}
	if (e.Outcome == TimedOut || e.Outcome == Cancelled || e.Outcome == Overloaded) && !a.lost {
		r.observeOverload(m, max(1, float64(e.Duration)/float64(q.class.LatencyTarget)))
	}
	switch e.Outcome {
	case Served:
		r.observeConnection(a, e.Duration)
		if r.settings.TrackSessionWrites && q.Session != "" && q.class.Consistency == Write {
			q.group.recordCommit(q.Session, cmp.Or(e.Position, r.membersNow()))
		}
		m.servedWork += a.work
		m.proven.add(a.work)
		r.observeResponse(m, float64(e.Duration), q.Class)
	case Ineligible:
		m.lastResponseAt = r.now
		if q.class.Consistency == Write && m == m.group.primary {
			r.primaryDenied(m, RoleFromResponse)
			r.distrustPrimary(m, RoleFromResponse)
		}
	case Overloaded, ErrorResponse:
		// A hung member may still reject work: Overloaded does not count as a response.
		if r.shrinkWindow(m, overloadShrink); e.Outcome == ErrorResponse {
			m.lastResponseAt = r.now
		} else {
			r.observeReplicaLatency(m, 1.5)
		}
		if m.failureRate += learningRate * (1 - m.failureRate); m.failureRate > 0.4 {
			r.eject(m, StateRejecting)
		}
	case ConnectFailed, ConnectionLost, TimedOut, UnknownOutcome:
		if e.Outcome == TimedOut {
			r.observeNoResponse(a)
		}
		if e.Outcome == ConnectFailed {
			m.connectTime = max(m.connectTime, float64(e.Duration))
		}
		m.failureRate += learningRate * (1 - m.failureRate)
		r.distrustPrimary(m, RoleFromFailure)
		if e.Outcome == ConnectionLost {
			r.connectionLost(m)
			break
		}
		if m.lastResponseAt > a.sentAt+Nanos(r.typicalLatency[q.Class]) {
			// Others got responses meanwhile: this one was lost, if it happens often.
			r.lossRate += learningRate / 2 * (1 - r.lossRate)
		}
		if e.Outcome == TimedOut && !a.lost && r.settings.Routers > smallFleet {
			r.observeSlowness(m, float64(e.Duration)/r.typicalLatency[q.Class])
		}
		if r.lossRate < lossThreshold && !a.lost {
			m.latencyRatio += learningRate * (2 - m.latencyRatio)
		}
		if m.latencyRatio > slowLatencyRatio && !a.lost {
			r.shrinkWindow(m, overloadShrink)
		}
		if e.Outcome == ConnectFailed && e.Duration < r.settings.ConnectTimeout/2 && r.settings.MayProbe &&
			!m.unreachable {
			m.unreachable, m.unreachableAt = true, r.now
		}
		if e.Outcome != TimedOut {
			r.eject(m, StateConnectFailed)
		}
	}
}

// checkInFlight finds members that stopped responding and moves their safe reads elsewhere.
func (r *Router) checkInFlight() {
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a *attempt) bool { return a.ended })
	for _, a := range r.inFlight {
		wait := Nanos(silenceRatio * r.typicalLatency[a.request.Class] * max(1, a.member.slowness))
		if !a.lost && r.now > a.sentAt+2*wait && a.member.lastResponseAt > a.sentAt+wait {
			// Its connection is dead: it does not count in the window of a member that still responds.
			a.lost = true
			a.member.inFlight--
		}
		if due := max(a.sentAt, a.member.lastResponseAt) + wait; r.now > due {
			if !r.ejected(a.member) {
				r.observeNoResponse(a)
			}
			r.eject(a.member, StateSilent)
		} else {
			r.scheduleStep(due + 1)
		}
	}
	for _, a := range r.inFlight {
		q := a.request
		moveAfter := 2 * r.typicalLatency[q.Class]
		if !r.ejected(a.member) { // a single attempt without a response, at a member that responds to others
			moveAfter *= silenceRatio / 2 * max(1, a.member.slowness)
		}
		if q.done || a.cancelled || q.class.RetrySafety != Safe || r.now >= q.targetAt ||
			q.inFlight > 1 || r.retryBudget < 1 ||
			!r.ejected(a.member) && !a.lost && r.lossRate < lossThreshold {
			continue
		}
		if r.scheduleStep(max(a.sentAt+Nanos(moveAfter), r.now+queueRetryInterval)); float64(r.now-a.sentAt) <
			moveAfter {
			continue
		}
		if r.settings.MayHedge {
			if m := r.pickMember(q); m != nil && m != a.member {
				r.retryBudget--
				r.send(q, m)
			}
		} else if r.settings.MayCancel {
			a.cancelled = true
			r.emit(Cancel{q.ID, a.number})
		}
	}
}
