// Package request holds what the stages of a request share: requests, attempts,
// outcomes, and the loop that owns them. It knows no wire.
package request

import (
	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

// Query is a request as a front has parsed it.
type Query struct {
	Name                 string // as its client names it; empty: it has no name
	Class, Group, Tenant int
	Session              string
	Wait                 aspenshed.Nanos // how long the client will wait
	SinceCommit          aspenshed.Nanos // age of the session's last commit; 0: none
	Repeat               bool
	Auxiliary            bool // no request of its own: a statement that is only prepared
	Statement            any  // what a member is sent; only a wire knows its form
	Client               Client
}

// Request is a query from its taking to its final answer. The loop owns it.
type Request struct {
	Query
	ID                string
	Arrived, Deadline aspenshed.Nanos
	Attempts          int  // given to Send so far
	Out               bool // an attempt's last byte may have left, and it has not ended
	MayHaveRun        bool // an ended attempt was not proved never to have run
	LastError         any  // a member's, as its wire gives it
	Final             bool
	Guard             *eventloop.Timer
}

// Verdict says how a request ended.
type Verdict int

// The verdicts, and Left where the client went first.
const (
	Served Verdict = iota + 1
	Refused
	Failed
	Left
)

// Final is the one final answer of a request.
type Final struct {
	Verdict Verdict
	Value   any             // Served: what the member answered; Failed: its last error, if there is one
	RetryIn aspenshed.Nanos // Refused: advice to the client; 0: none
	Reason  string          // Refused and Failed
	Bad     bool            // Failed: it was no request at all
}

// Client takes the final answer of its request, once, on the loop.
type Client interface{ Finish(Final) }

// Result is how an attempt or a probe ended.
type Result struct {
	Outcome  aspenshed.Outcome
	Role     aspenshed.Role
	Position aspenshed.Nanos
	Report   aspenshed.Report
	Value    any
	Close    bool   // the connection is of no more use
	Detail   string // for the log
	Took     aspenshed.Nanos
	Lay      aspenshed.Nanos // how long the link had lain idle; 0: it was new
}

// End says how a link came to its end.
type End int

// The ends. What was out on the link can have run only after CutAfter.
const (
	Unreachable End = iota // refused, or never up: the member's doing
	CutBefore              // broken before the last byte of what was out could leave
	CutAfter
)

// HowEnded tells the ends apart: by whether the last byte of what was out may have left, and whether the member
// refused the connection.
func HowEnded(sent, refused bool) End {
	switch {
	case sent:
		return CutAfter
	case refused:
		return Unreachable
	}
	return CutBefore
}

// Link is a connection to a member. It carries one attempt at a time.
type Link interface {
	// Send has the member show that the link is alive and that nothing else waits on it. Then it asks Leave, and lets
	// the statement's last byte go. False: the link is no more.
	Send(statement any, wait aspenshed.Nanos) bool
	// Probe asks for role, position and load.
	Probe() bool
	// Out tells whether the last byte of what is out may have left.
	Out() bool
	// Close gives up at once what is out; no event follows.
	Close()
}

// LinkEvents hears of a link, on the loop.
type LinkEvents interface {
	Up()
	// Leave is asked when the last byte of what is out is about to leave. False: it must not.
	Leave() bool
	Done(Result)
	// Down says that the link is no more.
	Down(how End, err error)
}

// Backend opens links. An error means that there is no descriptor for it or that it was refused at once.
type Backend interface {
	// probe: it may use the descriptors that are kept back for probes.
	Open(address string, limit aspenshed.Nanos, probe bool, ev LinkEvents) (Link, error)
}
