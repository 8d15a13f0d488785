// Package request holds what the stages of a request share: requests, attempts,
// outcomes, and the loop that owns them. It knows no wire.
package request

import (
	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

// Query is a request as a front has parsed it.
type Query struct {
	ExternalID           string // as its client names it; empty: it has no name
	Class, Group, Tenant int
	Session              string
	Timeout              aspenshed.Nanos // how long the client will wait
	SinceCommit          aspenshed.Nanos // age of the session's last commit; 0: none
	IsRetry              bool
	PrepareOnly          bool // no request of its own: a statement that is only prepared
	Statement            any  // what a member is sent; only a wire knows its form
	Client               Client
}

// Request is a query from its taking to its final answer. The loop owns it.
type Request struct {
	Query
	ID                  string
	ArrivedAt, Deadline aspenshed.Nanos
	Attempts            int  // given to Send so far
	InFlight            bool // an attempt's last byte may have left, and it has not ended
	MayHaveRun          bool // an ended attempt was not proved never to have run
	LastError           any  // a member's, as its wire gives it
	Responded           bool
	DeadlineTimer       *eventloop.Timer
}

// Status says how a request ended.
type Status int

// The verdicts, and ClientGone where the client went first.
const (
	Served Status = iota + 1
	Refused
	Failed
	ClientGone
)

// Response is the one final answer of a request.
type Response struct {
	Status     Status
	Value      any             // Served: what the member answered; Failed: its last error, if there is one
	RetryAfter aspenshed.Nanos // Refused: advice to the client; 0: none
	Reason     string          // Refused and Failed
	Invalid    bool            // Failed: it was no request at all
}

// Client takes the final answer of its request, once, on the loop.
type Client interface{ Respond(Response) }

// Result is how an attempt or a probe ended.
type Result struct {
	Outcome         aspenshed.Outcome
	Role            aspenshed.Role
	Position        aspenshed.Nanos
	Report          aspenshed.Report
	Value           any
	CloseConnection bool   // the connection is of no more use
	Detail          string // for the log
	Elapsed         aspenshed.Nanos
	IdleTime        aspenshed.Nanos // how long the link had lain idle; 0: it was new
}

// ConnectionLoss says how a link came to its end.
type ConnectionLoss int

// The ends. What was out on the link can have run only after LostAfterSend.
const (
	ConnectFailed  ConnectionLoss = iota // refused, or never up: the member's doing
	LostBeforeSend                       // broken before the last byte of what was out could leave
	LostAfterSend
)

// ClassifyLoss tells the ends apart: by whether the last byte of what was out may have left, and whether the member
// refused the connection.
func ClassifyLoss(sent, refused bool) ConnectionLoss {
	switch {
	case sent:
		return LostAfterSend
	case refused:
		return ConnectFailed
	}
	return LostBeforeSend
}

// Connection is a connection to a member. It carries one attempt at a time.
type Connection interface {
	// Send has the member show that the link is alive and that nothing else waits on it. Then it asks Leave, and lets
	// the statement's last byte go. False: the link is no more.
	Send(statement any, wait aspenshed.Nanos) bool
	// Probe asks for role, position and load.
	Probe() bool
	// MayHaveSent tells whether the last byte of what is out may have left.
	MayHaveSent() bool
	// Close gives up at once what is out; no event follows.
	Close()
}

// ConnectionEvents hears of a link, on the loop.
type ConnectionEvents interface {
	Ready()
	// AllowSend is asked when the last byte of what is out is about to leave. False: it must not.
	AllowSend() bool
	Done(Result)
	// Lost says that the link is no more.
	Lost(how ConnectionLoss, err error)
}

// Backend opens links. An error means that there is no descriptor for it or that it was refused at once.
type Backend interface {
	// probe: it may use the descriptors that are kept back for probes.
	Open(address string, limit aspenshed.Nanos, probe bool, ev ConnectionEvents) (Connection, error)
}
