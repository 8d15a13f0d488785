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

// Effect says what a repeat of a request may do.
type Effect int

// The effects. Safe requests may be repeated freely, Keyed ones where their
// repeats are dropped, Unsafe ones only once it is proved that nothing ran.
const (
	Safe Effect = iota + 1
	Keyed
	Unsafe
)

// Need says what a request needs of the member that serves it.
type Need int

// The needs, from the most lenient.
const (
	AnyData    Need = iota + 1 // every member will do
	Bounded                    // data no older than Class.Bound at the send
	OwnWrites                  // everything the session has written
	AllWrites                  // everything written before the request arrived
	WriteToIt                  // a write: the primary only
	needsCount = int(WriteToIt)
)

// Scope names the members that drop the repeats of a Keyed request.
type Scope int

// The scopes: every member, those of the first member's zone, or its group.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class describes one class of request.
type Class struct {
	Name         string
	Need         Need
	Bound        Nanos // Bounded only: how old the data may be
	Aim          Nanos // an answer within this is worth Worth
	GiveUp       Nanos // how long a client waits over all its tries
	Worth        float64
	LateWorth    float64 // part of Worth that a late answer still earns
	Effect       Effect
	RepeatScope  Scope // Keyed only
	RepeatWindow Nanos // Keyed only, from the first attempt that may have run
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second at all routers together
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers, Rank, Zone int
	Quantum             Nanos // least time between two Steps
	Classes             []Class
	Tenants             []Tenant
	OverShareWorth      float64 // part of the worth left beyond a tenant's share

	AskDiscovery    bool  // the member list comes only when asked for
	AskWithin       Nanos // rule 3: the list counts as told after this long
	ListTellsRole   bool  // the list names a primary, late or as at the start
	PositionZero    Nanos // the instant that positions are counted from
	AnswersPosition bool  // every answer carries a position
	AnswersReport   bool  // answers carry load reports, not only probes
	Remember        bool  // the router remembers sessions' writes (else told)
	MembersCheck    bool  // members turn away reads they are too old for
	CheckWait       Nanos // after waiting this long to catch up

	MayProbe, MayCancel, MayCopy, RetryAdvice bool
	MaxAttempts                               int
	MaxRetryIn                                Nanos // the longest advice that clients follow
	ConnectTimeout                            Nanos
	IdleClose                                 Nanos // idle connections are closed after this long; 0: never

	AnswerSlack    Nanos   // how late past the deadline a final answer may be
	DrainGrace     Nanos   // after news of a drain
	RemovalIsSoft  bool    // only a drain binds; absence from the list does not
	StartCapacity  float64 // the least share of capacity of a fresh member
	ColdFor        Nanos   // warm after this at the latest
	FallMultiple   float64 // work over this multiple of present capacity ...
	FallFor        Nanos   // ... for this long topples a cold member
	SafeShare      float64 // of a cold member's budget: what this router may use without a lease. 0: no leases here
	ColdLongest    Nanos   // with leases: a start without an agreed word is cold for this long from when it was heard of
	PriceProbe     float64 // points for one probe a request
	PriceCrossZone float64 // points for one zone crossing a request
	PriceWaste     float64 // points for as much wasted work as was asked for
	PriceLateFail  float64 // points for failing all after the aim

	Unknown []string // settings keys and report columns that were not understood
}

// MemberState is what the member list says of a member.
type MemberState int

// The states.
const (
	Up MemberState = iota + 1
	Draining
	Gone
)

// Member is one entry of the member list.
type Member struct {
	ID        string
	Group     int
	Zone      int
	Size      float64 // comparable between members; 1 where unknown
	StartedAt Nanos   // 0: long ago
	State     MemberState
	Primary   bool // the list's view of its role
}

// Report is what a member says of itself; each value may be absent.
type Report struct {
	HasPosition, HasRole, HasWaiting, HasHeld bool
	Position                                  Nanos // instant up to which all commits are applied, as of the report
	Primary                                   bool
	Waiting                                   float64 // requests queued
	Held                                      float64 // requests in progress
}

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Turned, Full, NoLink and NotSent prove that nothing ran.
const (
	Served  Outcome = iota + 1 // answered
	Errored                    // the member answered with an error; may have run
	Full                       // turned away unseen
	TimedOut
	NoLink    // no connection came about
	LinkBroke // the connection broke while the attempt was out
	Cancelled
	NotSent
	Turned   // untouched: not the primary, or too far behind for the read
	Rejected // the statement itself is at fault: its error is the answer, and says nothing of the member
	Unknown  // an outcome this release does not know; treated as may have run
)

// neverRan tells whether the outcome proves that nothing ran.
func (o Outcome) neverRan() bool { return o == Full || o == NoLink || o == NotSent || o == Turned }

// Event is something a router is told. The types below are the only ones.
type Event interface{ isEvent() }

// MemberList is news of the members: a change, or the whole list.
type MemberList struct {
	Whole   bool // members that are not in it are gone
	Remnant bool // the list as last held, maybe out of date; comes at the start
	Members []Member
}

// DiscoveryBroke says that a Watch or Fetch failed or that the watch ended.
type DiscoveryBroke struct {
	// Heard is since when a watch that ended, or a call that fell silent, has told nothing, not even that nothing had
	// changed; 0: discovery has turned the call down, or it is not known.
	Heard     Nanos
	Unreached bool // the call never came to discovery
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
	Repeat      bool  // the client says that it asks again
}

// Answer ends one attempt. Over is set once the request needs nothing more.
type Answer struct {
	ID       string
	Attempt  int
	Member   string
	Outcome  Outcome
	Over     bool
	Took     Nanos
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

// Left says that a request has ended without the router: nothing is owed.
type Left struct{ ID string }

// Woke is the answer to a Wake.
type Woke struct{ Label string }

// Probed ends a probe.
type Probed struct {
	Member  string
	Outcome Outcome
	Took    Nanos
	Report  Report
}

// ColdShare is what the routers have agreed on for one start of a member, where Settings.SafeShare is set.
type ColdShare struct {
	Member    string
	StartedAt Nanos
	Warm      bool    // it is no longer cold
	Part      float64 // of its budget that this router may use on top of SafeShare, until Until
	Until     Nanos
	Rate      float64 // work a second and size that its group's warm members answer for all routers; 0: not known
}

func (MemberList) isEvent()     {}
func (DiscoveryBroke) isEvent() {}
func (Request) isEvent()        {}
func (Answer) isEvent()         {}
func (Left) isEvent()           {}
func (Woke) isEvent()           {}
func (Probed) isEvent()         {}
func (ColdShare) isEvent()      {}

// Action is something a router wants done. The types below are the only ones.
type Action interface{ isAction() }

// Send starts an attempt; attempts of a request are numbered from 0.
type Send struct {
	ID, Member string
	Attempt    int
	GiveUpAt   Nanos // 0: when the client gives up
	LeaveBy    Nanos // it must leave by then or not at all: later the data may be too old; 0: no matter
}

// Refuse is a final answer: nothing ran, trying again is harmless.
type Refuse struct {
	ID      string
	RetryIn Nanos // advice to the client; 0: none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel gives up waiting for one attempt; an Answer still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Woke after a while.
type Wake struct {
	After Nanos
	Label string
}

// Probe asks a member for its report.
type Probe struct{ Member string }

// ClosePool closes this router's idle connections to a member.
type ClosePool struct{ Member string }

// Watch asks discovery for changes from now on.
type Watch struct{}

// Note is a line for the embedder's log.
type Note struct{ Text string }

func (Send) isAction()      {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (Wake) isAction()      {}
func (Probe) isAction()     {}
func (ClosePool) isAction() {}
func (Watch) isAction()     {}
func (Note) isAction()      {}
