// Package aspenshed makes the routing decisions of a gateway in front of
// groups of replicated databases: which member serves a request, and when to
// queue, retry, refuse or cancel it. The embedder owns the sockets, the clock
// and the goroutine.
//
// A Router is made with New and driven with Step. It starts no goroutine,
// reads no clock and shares no state: equal settings, seed and events give
// equal actions. The policy begins in router.go; this file is the interface.
package aspenshed

// Nanos is an instant on the embedder's monotonic clock, or a duration, in
// nanoseconds. The clock may start anywhere; it must never go backward.
type Nanos int64

// RetrySafety says whether a request may be executed more than once.
type RetrySafety int

// The levels of retry safety. Safe requests may be repeated freely,
// Deduplicated ones where members drop the duplicates, Unsafe ones only once
// it is certain that no earlier attempt was executed.
const (
	Safe RetrySafety = iota + 1
	Deduplicated
	Unsafe
)

// Consistency is what a request requires of the member that serves it.
type Consistency int

// The consistency levels, from the weakest. Linearizable and Write need the primary.
const (
	Eventual         Consistency = iota + 1 // any member
	BoundedStaleness                        // data no older than Class.MaxStaleness when the request is sent
	ReadYourWrites                          // all writes of the session
	Linearizable                            // all writes committed before the request arrived
	Write                                   // a write
	consistencyCount = int(Write)
)

// DedupScope is the set of members that drop duplicates of a Deduplicated request.
type DedupScope int

// The scopes: all members, those in the zone of the first attempt's member, or those of its group.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupGroup
)

// Class describes one class of request.
type Class struct {
	Name          string
	Consistency   Consistency
	MaxStaleness  Nanos // BoundedStaleness, or Linearizable in its place where positions are unknown; otherwise 0
	LatencyTarget Nanos // a response within this time is worth Value
	ClientTimeout Nanos // how long a client waits over all its retries
	Value         float64
	LateValue     float64 // fraction of Value that a response after LatencyTarget is still worth
	RetrySafety   RetrySafety
	DedupScope    DedupScope // Deduplicated only
	DedupWindow   Nanos      // Deduplicated only, from the first attempt that may have been executed
}

// isBounded tells whether the class's reads have a bound on the age of the data.
func (c *Class) isBounded() bool {
	return c.Consistency == BoundedStaleness || c.Consistency == Linearizable && c.MaxStaleness > 0
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers
}

// Settings configures a router at its start.
type Settings struct {
	Routers, Rank, Zone int   // number of routers, this router's index among them, its zone
	MinStepInterval     Nanos // the embedder calls Step no more often than this
	Classes             []Class
	Tenants             []Tenant
	OverQuotaValue      float64 // fraction of the value left for requests beyond a tenant's quota

	WatchDiscovery        bool  // the member list arrives only after a Watch
	NotifiedAfter         Nanos // rule 3: the router counts as notified of a change of the list after this long
	ListHasRoles          bool  // the list names a primary, possibly an outdated one
	PositionEpoch         Nanos // the instant from which positions are counted
	ResponsesHaveRole     bool  // every response to a statement tells the member's role
	ResponsesHavePosition bool  // every response carries a position
	ResponsesHaveReport   bool  // responses carry load reports, not only probe results
	TrackSessionWrites    bool  // the router tracks the commits of sessions; otherwise requests carry SinceCommit
	MembersCheckStaleness bool  // members reject reads that they are too stale for
	StalenessCheckWait    Nanos // how long a member waits to catch up before it rejects such a read

	MayProbe, MayCancel, MayHedge, SendRetryAfter bool
	MaxAttempts                                   int
	MaxRetryAfter                                 Nanos // the longest retry delay that clients honor
	ConnectTimeout                                Nanos
	IdleTimeout                                   Nanos // idle connections are closed after this long; 0: never

	ResponseSlack     Nanos   // how long after the deadline a final response may still come
	DrainGrace        Nanos   // how long after a drain notice requests may still be sent to the member
	RemovalIsAdvisory bool    // absence from the list does not stop sends to a member, only draining does
	InitialCapacity   float64 // fraction of its capacity that a member has right after its start
	WarmUpTime        Nanos   // a started member is warmed up after this long at the latest
	OverloadFactor    float64 // work above this multiple of a warming member's present capacity ...
	OverloadWindow    Nanos   // ... for this long overloads it
	UnleasedShare     float64 // share of a warming member's budget that needs no lease; 0: leases are not used
	MaxWarmUpTime     Nanos   // with leases: longest warm-up, from the notification, of a start without agreed state
	ProbeCost         float64 // points for one probe per request
	CrossZoneCost     float64 // points for one zone crossing per request
	WastedWorkCost    float64 // points for as much wasted work as was requested
	LateFailureCost   float64 // points if every request fails after its latency target

	Diagnostics   bool // emit MemberStateChanged, SlowStartReport and MembersClockChanged
	TraceRequests bool // emit RequestQueued

	UnknownKeys []string // settings keys and report columns that were not recognized
}

// MemberState is a member's state in the member list.
type MemberState int

// The member states.
const (
	Up MemberState = iota + 1
	Draining
	Removed
)

// Member is one entry of the member list.
type Member struct {
	ID        string
	Address   string // where it is reached; compared only, "": not known
	Group     int
	Zone      int
	Weight    float64 // capacity relative to other members; 1 where unknown
	StartedAt Nanos   // 0: long ago
	State     MemberState
	Primary   bool // its role according to the list
}

// Report is what a member reports about itself; each value may be absent.
type Report struct {
	HasPosition, HasRole, HasQueued, HasInFlight bool
	Position                                     Nanos // all commits up to this instant were applied at the report
	Primary                                      bool
	RoleIsCurrent                                bool    // the role was read for this report; otherwise it may be as old as stored reports get
	Queued                                       float64 // requests queued
	InFlight                                     float64 // requests being executed
}

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Overloaded, ConnectFailed, NotSent and Ineligible prove that nothing was executed.
const (
	Served        Outcome = iota + 1
	ErrorResponse         // the member responded with an error; may have been executed
	Overloaded            // rejected without being read
	TimedOut
	ConnectFailed
	ConnectionLost // the connection broke during the attempt
	Cancelled
	NotSent
	Ineligible     // rejected without being executed: not the primary, or too stale for the read
	StatementError // the client's statement is invalid: its error is the response, and says nothing of the member
	UnknownOutcome // an outcome that this release does not know; may have been executed
)

// notExecuted tells whether the outcome proves that the attempt was not executed.
func (o Outcome) notExecuted() bool {
	return o == Overloaded || o == ConnectFailed || o == NotSent || o == Ineligible
}

// Event is an input of a router. The types below are the only ones.
type Event interface{ isEvent() }

// MemberList is an update of the members: changes, or the complete list.
type MemberList struct {
	Complete bool // members that are not in it have been removed
	Cached   bool // the last list that was stored, possibly outdated; sent at the start
	Members  []Member
}

// DiscoveryFailed says that a Watch call failed or that the watch ended.
type DiscoveryFailed struct {
	// LastHeard is when a watch that ended, or a call that fell silent, last received anything, if only that nothing
	// had changed; 0: discovery refused the call, or the time is not known.
	LastHeard   Nanos
	Unreachable bool // no connection to discovery was established
}

// Request is a request that a client has sent to this router.
type Request struct {
	ID          string
	Class       int
	Group       int
	Tenant      int
	Session     string
	Remaining   Nanos // until the client gives this request up
	SinceCommit Nanos // ReadYourWrites without TrackSessionWrites: age of the session's last commit at arrival; negative: it is later than the router's clock; 0: none
	IsRetry     bool  // the client marks it as a retry
}

// AttemptResult ends one attempt.
type AttemptResult struct {
	ID       string
	Attempt  int
	Member   string
	Outcome  Outcome
	Final    bool // the request needs no further attempt
	Duration Nanos
	Role     Role
	Position Nanos // 0: not reported. For a served write its commit, rounded up
	Report   Report
}

// Role is a member's role in its group.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// RequestWithdrawn says that a request has ended without the router: it needs no response.
type RequestWithdrawn struct{ ID string }

// TimerFired answers a SetTimer.
type TimerFired struct{ Label string }

// ProbeResult ends a probe.
type ProbeResult struct {
	Member   string
	Outcome  Outcome
	Duration Nanos
	Report   Report
}

// SlowStartShare is what the routers have agreed on for one start of a member, where Settings.UnleasedShare is set.
type SlowStartShare struct {
	Member      string
	StartedAt   Nanos
	WarmedUp    bool
	LeasedShare float64 // share of its budget that this router may use on top of UnleasedShare, until Until
	Until       Nanos
	WorkRate    float64 // work per second and weight that the group's warmed-up members do for all routers; 0: unknown
}

func (MemberList) isEvent()       {}
func (DiscoveryFailed) isEvent()  {}
func (Request) isEvent()          {}
func (AttemptResult) isEvent()    {}
func (RequestWithdrawn) isEvent() {}
func (TimerFired) isEvent()       {}
func (ProbeResult) isEvent()      {}
func (SlowStartShare) isEvent()   {}

// Action is an output of a router. The types below are the only ones.
type Action interface{ isAction() }

// Send starts an attempt; the attempts of a request are numbered from 0.
type Send struct {
	ID, Member string
	Attempt    int
	Deadline   Nanos // 0: when the client gives up
	SendBy     Nanos // must be sent by then or not at all, as the member may be too stale afterwards; 0: no limit
}

// Refuse is a final response: retrying the request is harmless.
type Refuse struct {
	ID         string
	RetryAfter Nanos // retry delay for the client; 0: none
	Cause      Cause // for logs and metrics
}

// Fail is a final response after which the request may or may not have been executed.
type Fail struct {
	ID    string
	Cause Cause // for logs and metrics
}

// Cancel stops waiting for one attempt; an AttemptResult still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for a TimerFired after a delay.
type SetTimer struct {
	After Nanos
	Label string
}

// Probe asks a member for its report.
type Probe struct{ Member string }

// CloseIdleConnections closes this router's idle connections to a member.
type CloseIdleConnections struct{ Member string }

// Watch subscribes to changes of the member list at discovery.
type Watch struct{}

// LogMessage is a line for the embedder's log.
type LogMessage struct{ Text string }

func (Send) isAction()                 {}
func (Refuse) isAction()               {}
func (Fail) isAction()                 {}
func (Cancel) isAction()               {}
func (SetTimer) isAction()             {}
func (Probe) isAction()                {}
func (CloseIdleConnections) isAction() {}
func (Watch) isAction()                {}
func (LogMessage) isAction()           {}
