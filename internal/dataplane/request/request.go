// Package request defines the types that the stages of the data plane share: requests, responses,
// results of attempts, and connections to members. It is independent of any wire protocol.
package request

import (
	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
)

// Query is a request as parsed by a front.
type Query struct {
	ExternalID           string // chosen by the client; empty if it gave none
	Class, Group, Tenant int
	Session              string
	Timeout              aspenshed.Nanos // how long the client waits for the response
	SinceCommit          aspenshed.Nanos // age of the session's last commit, negative if it is later than our clock; 0 if there is none
	IsRetry              bool
	PrepareOnly          bool // only prepares a statement; not counted as a request
	Statement            any  // sent to a member; its type depends on the wire protocol
	Client               Client
}

// Request is a query from its acceptance to its response. It is owned by the event loop.
type Request struct {
	Query
	ID                  string
	ArrivedAt, Deadline aspenshed.Nanos
	Attempts            int  // started so far
	InFlight            bool // the last byte of an attempt may have been sent and the attempt has not ended
	MayHaveRun          bool // an attempt has ended without proof that its statement did not run
	LastError           any  // error response that ended the last attempt, as its wire protocol gives it; or nil
	Responded           bool
	DeadlineTimer       *eventloop.Timer
}

// ClientLeft reports whether the client has left, possibly before the loop has been told.
func (r *Request) ClientLeft() bool { return r.Client != nil && r.Client.Left() }

// Status is how a request ended.
type Status int

// ClientGone means that the client left before the response.
const (
	Served Status = iota + 1
	Refused
	Failed
	ClientGone
)

// Response is the single final response to a request.
type Response struct {
	Status     Status
	Value      any             // Served: the response of the member; Failed: the error response of a member, if any
	RetryAfter aspenshed.Nanos // Refused: when the client may retry; 0 if not known
	Reason     string          // set for Refused and Failed
	Cause      aspenshed.Cause // of Refused and Failed, for logs and metrics; CauseNone: not decided by the router
	Invalid    bool            // Failed: the query was not a valid request
}

// Client receives the response to its request. Respond is called once, on the event loop, unless the client has left.
type Client interface {
	Respond(Response)
	// Left reports whether the client has left, or is about to be reported as such. Any goroutine may call it.
	Left() bool
	// Peer returns the network address of the client.
	Peer() string
}

// Result is the result of an attempt or a probe.
type Result struct {
	Outcome         aspenshed.Outcome
	Role            aspenshed.Role
	Position        aspenshed.Nanos
	Report          aspenshed.Report
	Value           any
	CloseConnection bool   // the connection can't be reused
	Detail          string // for the log
	Elapsed         aspenshed.Nanos
	IdleTime        aspenshed.Nanos // how long the connection had been idle; 0 for a new one
}

// ConnectionLoss is how a connection failed.
type ConnectionLoss int

// Only after LostAfterSend can the statement that was sent have run.
const (
	ConnectFailed  ConnectionLoss = iota // refused or not established in time: attributed to the member
	LostBeforeSend                       // lost before the last byte of the statement could be sent
	LostAfterSend
	NoResources // not opened: this machine lacks descriptors, memory or buffers
	NoRoute     // not opened: this machine has no route or local address
)

// Connection is a connection to a member. It carries one attempt or probe at a time.
type Connection interface {
	// Send starts to send a statement. It first has the member show that the connection is alive and that no other
	// statement is queued on it, then calls AllowSend, and then sends the statement's last byte. It returns false if
	// the connection is closed.
	Send(statement any, wait aspenshed.Nanos) bool
	// Probe asks the member for its role, position and load. It returns false if the connection is closed.
	Probe() bool
	// MayHaveSent reports whether the last byte of the statement or probe in flight may have been sent.
	MayHaveSent() bool
	// Close drops what is in flight and closes the connection. No event follows.
	Close()
}

// ConnectionEvents receives the events of a connection, on the event loop.
type ConnectionEvents interface {
	Ready()
	// AllowSend is called right before the last byte of a statement is sent. If it returns false, the byte must not
	// be sent.
	AllowSend() bool
	Done(Result)
	// Lost is called when the connection has ended.
	Lost(how ConnectionLoss, err error)
}

// Backend opens connections. Open fails if no file descriptor is available or the connection is refused at once.
type Backend interface {
	// probe allows the use of the file descriptors reserved for probes.
	Open(address string, limit aspenshed.Nanos, probe bool, ev ConnectionEvents) (Connection, error)
}
