// Package dispatch is the stage that carries attempts and probes to the members:
// it keeps a pool of connections to each, one attempt on a connection, and its time-outs.
package dispatch

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

const (
	probeTimeout             = aspenshed.Nanos(250e6)
	idleCloseMargin          = aspenshed.Nanos(1e9) // idle connections close this long before the member would
	sweepInterval            = aspenshed.Nanos(500e6)
	maxConnectionsPerAttempt = 3                    // that an attempt takes up, as long as its statement has not left on any
	descriptorWait           = aspenshed.Nanos(2e6) // for the descriptor of a connection that was closed to be given back: its poller does that
)

// Stage sends. All of it runs on the loop.
type Stage struct {
	Loop              *eventloop.Loop
	Log               *logrus.Entry
	Backend           request.Backend
	ConnectTimeout    aspenshed.Nanos
	IdleClose         aspenshed.Nanos // 0: members never close idle connections
	RemovalNotBinding bool            // absence from the list does not end a member
	FindRequest       func(id string) *request.Request
	Emit              func(aspenshed.Event)
	// OnAnswer has a request answered; Settled hears of one that had its answer before its last attempt ended;
	// Attempted and Probed hear of every end.
	OnAnswer     func(*request.Request, request.Result)
	OnSettled    func(*request.Request)
	OnAttemptEnd func(q *request.Request, member string, r request.Result)
	OnProbeEnd   func(member string, r request.Result)

	pools    map[string]*pool
	attempts map[string]*attempt // the one that is out, by request
}

// Start begins the sweep of idle connections.
func (s *Stage) Start() {
	s.pools, s.attempts = map[string]*pool{}, map[string]*attempt{}
	s.sweepIdle()
}

// PendingSends is the number of probes that are out and of attempts whose statement has not left yet.
func (s *Stage) PendingSends() (n int) {
	for _, p := range s.pools {
		if p.probeConn != nil {
			n++
		}
	}
	for _, a := range s.attempts {
		if a.conn == nil || !a.conn.backendConn.MayHaveSent() {
			n++
		}
	}
	return n
}
