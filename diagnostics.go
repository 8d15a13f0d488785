package aspenshed

// This file reports what the router does, for logs and metrics: refusal causes, changes of member
// states and the slow start of warming members. Nothing here decides anything.

// Cause says why a request was refused, failed or queued.
type Cause int

// The causes. Those from CauseNoPrimary on are also reasons for which requests are queued.
const (
	CauseNone Cause = iota
	CauseInvalid
	CauseNoTime         // too little of the client's time is left for a response
	CauseOverload       // response times of the group show that it is overloaded
	CauseMaybeExecuted  // an earlier attempt may have been executed
	CauseRetryBudget    // the budget for retries is spent
	CauseMaxAttempts    // the request has had all attempts that it may have
	CauseNotSent        // this gateway could not open a connection
	CauseNoPrimary      // no trusted primary
	CausePrimaryBusy    // the primary's window is full
	CauseSlowStart      // all candidates are warming and have no budget left
	CauseNoFreshReplica // no replica is known to be fresh enough
	CauseNoMember       // no candidate is up, or all windows are full
	CausePause          // pause between two attempts
	causeCount          = int(CausePause) + 1
)

// CauseCount is the number of causes.
const CauseCount = causeCount

var causeNames = [causeCount]string{"none", "invalid", "no_time", "overload", "maybe_executed", "retry_budget",
	"max_attempts", "not_sent", "no_primary", "primary_busy", "slow_start", "no_fresh_replica", "no_member", "pause"}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	if c < 0 || int(c) >= causeCount {
		return "unknown"
	}
	return causeNames[c]
}

// MemberPhase is a member's state as the router sees it.
type MemberPhase int

// The phases.
const (
	PhaseUp MemberPhase = iota
	PhaseWarming
	PhaseEjected
	PhaseDraining
	PhaseRemoved
)

var phaseNames = [...]string{"up", "warming", "ejected", "draining", "removed"}

// String returns the name of the phase in logs and metrics.
func (p MemberPhase) String() string { return phaseNames[p] }

// StateCause says what changed a member's phase, or what a start was learned from.
type StateCause int

// The causes of phases.
const (
	StateListed            StateCause = iota // the member list
	StateAgreed                              // the state that the routers have agreed on
	StateConnectionRefused                   // it refused connections and answered again
	StateConnectFailed
	StateConnectionLost
	StateSilent // no response in time
	StateProbeFailed
	StateRejecting // it rejects requests or answers with errors
	StateElapsed   // the time of a warm-up or an ejection has passed
	StateReplaced  // the list names another server, or one with other data, under the same id
)

var stateCauseNames = [...]string{"list", "agreed", "connection_refused", "connect_failed", "connection_lost", "silent",
	"probe_failed", "rejecting", "elapsed", "replaced"}

// String returns the name of the cause in logs and metrics.
func (c StateCause) String() string { return stateCauseNames[c] }

// MemberStateChanged reports that a member's phase has changed. It is emitted if Settings.Diagnostics is set.
type MemberStateChanged struct {
	Member   string
	From, To MemberPhase
	Cause    StateCause
}

// SlowStartReport reports what a warming member was sent since the last report on it. It is emitted if
// Settings.Diagnostics is set, at most once per overload window, and only if something was sent or the start is new.
type SlowStartReport struct {
	Member    string
	Age       Nanos      // since the start
	LearnedAt Nanos      // when the router learned of the start
	Source    StateCause // what it learned that from
	Capacity  float64    // assumed capacity for this router's requests, in seconds of work per second
	Budget    float64    // work that this router may send within an overload window, in seconds
	Left      float64    // what is left of the budget
	Estimates WorkRates
	Sent      SlowStartCounts
}

// WorkRates are the estimates, in seconds of work per second and weight, of what a warmed-up member does for this router.
type WorkRates struct {
	Group, Agreed, OtherGroups, Requests float64
	Proven                               float64 // what the warming member itself has just done for this router
}

// SlowStartCounts count what a warming member was sent and how that ended.
type SlowStartCounts struct {
	Attempts, Retries, Probes int
	Rejected, Unreachable     int     // attempts that it rejected, or for which there was no connection
	Served                    int     // attempts that it served
	Work, ServedWork          float64 // expected work of the attempts, and of those that it served, in seconds
	RandomShare               int     // requests sent by the random share
}

// RequestQueued reports that a request waits for a member. It is emitted if Settings.TraceRequests is set, once per
// request and cause.
type RequestQueued struct {
	ID    string
	Cause Cause
}

// MembersClockChanged reports that the router has corrected its estimate of the members' clock. It is emitted if
// Settings.Diagnostics is set.
type MembersClockChanged struct {
	Lead Nanos // how far the members' clock is ahead of the router's
}

// RoleSource says where the router learned a member's role from.
type RoleSource int

// The sources.
const (
	RoleFromList     RoleSource = iota // the member list names the primary
	RoleFromResponse                   // the response to an attempt
	RoleFromReport                     // a report, as probes return it
	RoleFromFailure                    // an attempt failed: the member may have lost its role
	RoleFromRotation                   // probes are not allowed, and the member is the next that writes try
	roleSourceCount  = int(RoleFromRotation) + 1
)

// RoleSourceCount is the number of sources.
const RoleSourceCount = roleSourceCount

var roleSourceNames = [roleSourceCount]string{"list", "response", "report", "failure", "rotation"}

// String returns the name of the source in logs and metrics.
func (s RoleSource) String() string { return roleSourceNames[s] }

// PrimaryChanged reports that the router trusts another member as the primary of a group, or has ceased to trust the one
// that it trusted. It is emitted if Settings.Diagnostics is set, at most once per group and Step.
type PrimaryChanged struct {
	Group   int
	Member  string
	Trusted bool
	Source  RoleSource
	Age     Nanos // Trusted: how long ago the member was known to be the primary; 0 for a source that does not tell
}

func (MemberStateChanged) isAction()  {}
func (PrimaryChanged) isAction()      {}
func (SlowStartReport) isAction()     {}
func (RequestQueued) isAction()       {}
func (MembersClockChanged) isAction() {}

// diagnostics is what the router records of a member for its reports.
type diagnostics struct {
	phase      MemberPhase
	phaseCause StateCause // of the latest ejection or start
	learnedAt  Nanos      // when the start was learned
	source     StateCause
	reportedAt Nanos // when the latest SlowStartReport was due
	newStart   bool  // no report yet on this start
	sent       SlowStartCounts
	rates      WorkRates
	capacity   float64
}

func (r *Router) phase(m *member) MemberPhase {
	switch {
	case m.State == Removed:
		return PhaseRemoved
	case m.State == Draining:
		return PhaseDraining
	case r.ejected(m):
		return PhaseEjected
	case r.warming(m):
		return PhaseWarming
	}
	return PhaseUp
}

// reportedPrimary is what a PrimaryChanged last said of a group.
type reportedPrimary struct {
	member  string
	trusted bool
}

// reportPrimary emits whether the primary of g is another one, or is trusted no longer, since the last call.
func (r *Router) reportPrimary(g *group) {
	if !r.settings.Diagnostics || g.primary == nil && !g.reported.trusted {
		return
	}
	current := reportedPrimary{trusted: g.primary != nil && g.primaryTrusted, member: g.reported.member}
	if current.trusted {
		current.member = g.primary.ID
	}
	if current == g.reported {
		return
	}
	g.reported = current
	change := PrimaryChanged{Group: g.id, Member: current.member, Trusted: current.trusted, Source: g.roleSource}
	if current.trusted && g.primary.primaryProvenAt != 0 && (g.roleSource == RoleFromResponse || g.roleSource == RoleFromReport) {
		change.Age = r.now - g.primary.primaryProvenAt
	}
	r.emit(change)
}

// reportMembers emits what has changed since the last call. Phases that were shorter than the time between two calls
// are not seen.
func (r *Router) reportMembers() {
	if !r.settings.Diagnostics {
		return
	}
	for _, m := range r.memberList {
		r.reportPhase(m)
		if m.diagnostics.phase == PhaseWarming || r.warming(m) {
			r.reportSlowStart(m)
		}
	}
}

func (r *Router) reportPhase(m *member) {
	d := &m.diagnostics
	phase := r.phase(m)
	if phase == d.phase {
		return
	}
	cause := StateElapsed
	switch phase {
	case PhaseDraining, PhaseRemoved:
		cause = StateListed
	case PhaseEjected:
		cause = d.phaseCause
	case PhaseWarming:
		if d.phase != PhaseEjected {
			cause = d.source
		}
	}
	r.emit(MemberStateChanged{Member: m.ID, From: d.phase, To: phase, Cause: cause})
	d.phase = phase
}

// reportReplaced reports that m is dropped because its entry names another server.
func (r *Router) reportReplaced(m *member) {
	if r.settings.Diagnostics {
		r.emit(MemberStateChanged{Member: m.ID, From: m.diagnostics.phase, To: PhaseRemoved, Cause: StateReplaced})
	}
}

func (r *Router) reportSlowStart(m *member) {
	d := &m.diagnostics
	if r.now < d.reportedAt+r.settings.OverloadWindow && !d.newStart || !d.newStart && d.sent == (SlowStartCounts{}) {
		return
	}
	r.emit(SlowStartReport{Member: m.ID, Age: r.now - m.warmingSince, LearnedAt: d.learnedAt, Source: d.source,
		Capacity: d.capacity, Budget: m.slowStartLimit, Left: m.slowStartLimit - m.sentWork.total(r.now), Estimates: d.rates, Sent: d.sent})
	d.reportedAt, d.newStart, d.sent = r.now, false, SlowStartCounts{}
}

// observeSlowStart counts how an attempt at a warming member ended.
func (m *member) observeSlowStart(a *attempt, outcome Outcome) {
	sent := &m.diagnostics.sent
	switch outcome {
	case Served:
		sent.Served++
		sent.ServedWork += a.work
	case Overloaded, Ineligible:
		sent.Rejected++
	case ConnectFailed, NotSent:
		sent.Unreachable++
	}
}

// traceQueued reports why q, which no member can take now, is queued.
func (r *Router) traceQueued(q *request) {
	if !r.settings.TraceRequests {
		return
	}
	if cause := r.queueCause(q); cause != q.queueCause {
		q.queueCause = cause
		r.emit(RequestQueued{ID: q.ID, Cause: cause})
	}
}

// queueCause tells why no member can take q now.
func (r *Router) queueCause(q *request) Cause {
	p := q.group.primary
	switch {
	case r.now < q.notBefore:
		return CausePause
	case q.class.Consistency < Linearizable:
		return r.readQueueCause(q)
	case p == nil || !q.group.primaryTrusted:
		return CauseNoPrimary
	case !r.isConfirmed(q, p):
		return CauseNoPrimary
	case float64(p.inFlight) >= p.window:
		return CausePrimaryBusy
	case r.warming(p) && !r.fitsSlowStart(q, p):
		return CauseSlowStart
	}
	return CauseNoMember
}

func (r *Router) readQueueCause(q *request) Cause {
	cause := CauseNoMember
	for _, m := range q.group.probeOrder {
		switch {
		case m.State != Up || m == q.group.primary:
		case r.warming(m) && !r.fitsSlowStart(q, m):
			if cause == CauseNoMember {
				cause = CauseSlowStart
			}
		case !r.freshEnough(q, m):
			cause = CauseNoFreshReplica
		}
	}
	return cause
}
