// Package aspenshed decides where a client-side router sends the reads and
// writes of a replicated store. It holds decisions only: the embedder owns the
// sockets, the clock and the goroutine.
//
// A Router is made with New and driven with Step. It keeps no goroutine, reads
// no clock and shares nothing: equal settings, seed and events give equal
// actions. All policy is in router.go; this file is the interface.
package aspenshed

// Nanos is an instant on the embedder's monotonic clock, or a span of it, in
// nanoseconds. The clock may start anywhere; it must only move forward.
type Nanos int64

// RetrySafety says what a repeat of a request may do.
type RetrySafety int

// The effects. Safe requests may be repeated freely, Deduplicated ones where their
// repeats are dropped, Unsafe ones only once it is proved that nothing ran.
const (
	Safe RetrySafety = iota + 1
	Deduplicated
	Unsafe
)

// Consistency says what a request needs of the member that serves it.
type Consistency int

// The needs, from the most lenient.
const (
	Eventual         Consistency = iota + 1 // every member will do
	BoundedStaleness                        // data no older than Class.Bound at the send
	ReadYourWrites                          // everything the session has written
	Linearizable                            // everything written before the request arrived
	Write                                   // a write: the primary only
	consistencyCount = int(Write)
)

// DedupScope names the members that drop the repeats of a Keyed request.
type DedupScope int

// The scopes: every member, those of the first member's zone, or its group.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupGroup
)

// Class describes one class of request.
type Class struct {
	Name          string
	Consistency   Consistency
	MaxStaleness  Nanos // Bounded only: how old the data may be
	LatencyTarget Nanos // an answer within this is worth Worth
	ClientTimeout Nanos // how long a client waits over all its tries
	Value         float64
	LateValue     float64 // part of Worth that a late answer still earns
	RetrySafety   RetrySafety
	DedupScope    DedupScope // Keyed only
	DedupWindow   Nanos      // Keyed only, from the first attempt that may have run
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second at all routers together
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers, Rank, Zone int
	MinStepInterval     Nanos // least time between two Steps
	Classes             []Class
	Tenants             []Tenant
	OverQuotaValue      float64 // part of the worth left beyond a tenant's share

	WatchDiscovery        bool  // the member list comes only when asked for
	NotifiedAfter         Nanos // rule 3: the list counts as told after this long
	ListHasRoles          bool  // the list names a primary, late or as at the start
	PositionEpoch         Nanos // the instant that positions are counted from
	ResponsesHavePosition bool  // every answer carries a position
	ResponsesHaveReport   bool  // answers carry load reports, not only probes
	TrackSessionWrites    bool  // the router remembers sessions' writes (else told)
	MembersCheckStaleness bool  // members turn away reads they are too old for
	StalenessCheckWait    Nanos // after waiting this long to catch up

	MayProbe, MayCancel, MayHedge, SendRetryAfter bool
	MaxAttempts                                   int
	MaxRetryAfter                                 Nanos // the longest advice that clients follow
	ConnectTimeout                                Nanos
	IdleTimeout                                   Nanos // idle connections are closed after this long; 0: never

	ResponseSlack     Nanos   // how late past the deadline a final answer may be
	DrainGrace        Nanos   // after news of a drain
	RemovalIsAdvisory bool    // only a drain binds; absence from the list does not
	InitialCapacity   float64 // the least share of capacity of a fresh member
	WarmUpTime        Nanos   // warm after this at the latest
	OverloadFactor    float64 // work over this multiple of present capacity ...
	OverloadWindow    Nanos   // ... for this long topples a cold member
	UnleasedShare     float64 // of a cold member's budget: what this router may use without a lease. 0: no leases here
	MaxWarmUpTime     Nanos   // with leases: a start without an agreed word is cold for this long from when it was heard of
	ProbeCost         float64 // points for one probe a request
	CrossZoneCost     float64 // points for one zone crossing a request
	WastedWorkCost    float64 // points for as much wasted work as was asked for
	LateFailureCost   float64 // points for failing all after the aim

	UnknownKeys []string // settings keys and report columns that were not understood
}

// MemberState is what the member list says of a member.
type MemberState int

// The states.
const (
	Up MemberState = iota + 1
	Draining
	Removed
)

// Member is one entry of the member list.
type Member struct {
	ID        string
	Group     int
	Zone      int
	Weight    float64 // comparable between members; 1 where unknown
	StartedAt Nanos   // 0: long ago
	State     MemberState
	Primary   bool // the list's view of its role
}

// Report is what a member says of itself; each value may be absent.
type Report struct {
	HasPosition, HasRole, HasQueued, HasInFlight bool
	Position                                     Nanos // instant up to which all commits are applied, as of the report
	Primary                                      bool
	Queued                                       float64 // requests queued
	InFlight                                     float64 // requests in progress
}

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Ineligible, Overloaded, ConnectFailed and NotSent prove that nothing ran.
const (
	Served        Outcome = iota + 1 // answered
	ErrorResponse                    // the member answered with an error; may have run
	Overloaded                       // turned away unseen
	TimedOut
	ConnectFailed  // no connection came about
	ConnectionLost // the connection broke while the attempt was out
	Cancelled
	NotSent
	Ineligible     // untouched: not the primary, or too far behind for the read
	StatementError // the statement itself is at fault: its error is the answer, and says nothing of the member
	UnknownOutcome // an outcome this release does not know; treated as may have run
)

// notExecuted tells whether the outcome proves that nothing ran.
func (o Outcome) notExecuted() bool {
	return o == Overloaded || o == ConnectFailed || o == NotSent || o == Ineligible
}

// Event is something a router is told. The types below are the only ones.
type Event interface{ isEvent() }

// MemberList is news of the members: a change, or the whole list.
type MemberList struct {
	Complete bool // members that are not in it are gone
	Cached   bool // the list as last held, maybe out of date; comes at the start
	Members  []Member
}

// DiscoveryFailed says that a Watch or Fetch failed or that the watch ended.
type DiscoveryFailed struct {
	// LastHeard is since when a watch that ended, or a call that fell silent, has told nothing, not even that nothing had
	// changed; 0: discovery has turned the call down, or it is not known.
	LastHeard   Nanos
	Unreachable bool // the call never came to discovery
}

// Request is a request that a client has handed to this router.
type Request struct {
	ID          string
	Class       int
	Group       int
	Tenant      int
	Session     string
	Remaining   Nanos // until the client gives this try up
	SinceCommit Nanos // OwnWrites, told tokens: age of the session's last commit at arrival; 0: none
	IsRetry     bool  // the client says that it asks again
}

// AttemptResult ends one attempt. Over is set once the request needs nothing more.
type AttemptResult struct {
	ID       string
	Attempt  int
	Member   string
	Outcome  Outcome
	Final    bool
	Duration Nanos
	Role     Role
	Position Nanos // 0: not told. For a served write its commit, rounded up
	Report   Report
}

// Role is a member's part in its group.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// RequestWithdrawn says that a request has ended without the router: nothing is owed.
type RequestWithdrawn struct{ ID string }

// TimerFired is the answer to a Wake.
type TimerFired struct{ Label string }

// ProbeResult ends a probe.
type ProbeResult struct {
	Member   string
	Outcome  Outcome
	Duration Nanos
	Report   Report
}

// SlowStartShare is what the routers have agreed on for one start of a member, where Settings.SafeShare is set.
type SlowStartShare struct {
	Member      string
	StartedAt   Nanos
	WarmedUp    bool    // it is no longer cold
	LeasedShare float64 // of its budget that this router may use on top of SafeShare, until Until
	Until       Nanos
	WorkRate    float64 // work a second and size that its group's warm members answer for all routers; 0: not known
}

func (MemberList) isEvent()       {}
func (DiscoveryFailed) isEvent()  {}
func (Request) isEvent()          {}
func (AttemptResult) isEvent()    {}
func (RequestWithdrawn) isEvent() {}
func (TimerFired) isEvent()       {}
func (ProbeResult) isEvent()      {}
func (SlowStartShare) isEvent()   {}

// Action is something a router wants done. The types below are the only ones.
type Action interface{ isAction() }

// Send starts an attempt; attempts of a request are numbered from 0.
type Send struct {
	ID, Member string
	Attempt    int
	Deadline   Nanos // 0: when the client gives up
	SendBy     Nanos // it must leave by then or not at all: later the data may be too old; 0: no matter
}

// Refuse is a final answer: nothing ran, trying again is harmless.
type Refuse struct {
	ID         string
	RetryAfter Nanos // advice to the client; 0: none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel gives up waiting for one attempt; an Answer still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for a Woke after a while.
type SetTimer struct {
	After Nanos
	Label string
}

// Probe asks a member for its report.
type Probe struct{ Member string }

// CloseIdleConnections closes this router's idle connections to a member.
type CloseIdleConnections struct{ Member string }

// Watch asks discovery for changes from now on.
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
