// Package dispatch is the stage that sends attempts and probes to the members. It keeps a pool of connections to each
// member, with at most one attempt or probe on a connection at a time, and enforces their timeouts.
package dispatch

import (
	"aspenshed"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

const (
	probeTimeout             = aspenshed.Nanos(250e6)
	idleTimeoutMargin        = aspenshed.Nanos(1e9) // idle connections are closed this long before the member would
	sweepInterval            = aspenshed.Nanos(500e6)
	maxConnectionsPerAttempt = 3 // connections that an attempt tries until its statement is sent on one
	// maxDeadlineAge is how long the last byte of a statement may come after the bytes that tell the member its deadline.
	maxDeadlineAge = aspenshed.Nanos(50e6)
	// descriptorWait is how long to wait for the descriptor of a closed connection: the poller releases it asynchronously.
	descriptorWait = aspenshed.Nanos(2e6)
)

// Stage sends attempts and probes. All methods must be called on the event loop.
type Stage struct {
	Loop              *eventloop.Loop
	Log               *logrus.Entry
	Backend           request.Backend
	ConnectTimeout    aspenshed.Nanos
	IdleTimeout       aspenshed.Nanos // after which members close idle connections; 0 for never
	RemovalIsAdvisory bool            // a member absent from a complete list still gets the attempts that have started
	FindRequest       func(id string) *request.Request
	Emit              func(aspenshed.Event)
	// MaySend reports whether attempt n of a request may still be sent, by what is known now.
	MaySend func(id string, n int) bool
	// OnAnswer is called with a result that answers its request. OnSettled is called when the last attempt of a request
	// ends that already has its response. OnAttemptEnd and OnProbeEnd are called for every attempt and probe.
	OnAnswer     func(*request.Request, request.Result)
	OnSettled    func(*request.Request)
	OnAttemptEnd func(r *request.Request, member string, res request.Result)
	OnProbeEnd   func(member string, res request.Result)

	pools         map[string]*pool
	attempts      map[string]*attempt // the running attempt, by request ID
	connects      int                 // connections opened
	localFaultLog *rate.Limiter
}

// Start initializes the stage and starts the periodic close of idle connections.
func (s *Stage) Start() {
	s.pools, s.attempts = map[string]*pool{}, map[string]*attempt{}
	s.localFaultLog = rate.NewLimiter(1, 1)
	s.sweepIdle()
}

// PendingSends returns the number of running probes plus that of attempts whose statement has not been sent yet, but for
// those that wait until a later dial.
func (s *Stage) PendingSends() (n int) {
	for _, p := range s.pools {
		if p.probeConn != nil {
			n++
		}
	}
	for _, a := range s.attempts {
		if !a.waitsForMachine && (a.conn == nil || !a.conn.backendConn.MayHaveSent()) {
			n++
		}
	}
	return n
}
