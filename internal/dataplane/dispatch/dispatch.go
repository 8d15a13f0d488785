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
	probeTimeout   = aspenshed.Nanos(250e6)
	idleMargin     = aspenshed.Nanos(1e9) // idle connections close this long before the member would
	sweepEvery     = aspenshed.Nanos(500e6)
	maxConnections = 3                    // that an attempt takes up, as long as its statement has not left on any
	roomWait       = aspenshed.Nanos(2e6) // for the descriptor of a connection that was closed to be given back: its poller does that
)

// Stage sends. All of it runs on the loop.
type Stage struct {
	Loop           *eventloop.Loop
	Log            *logrus.Entry
	Backend        request.Backend
	ConnectTimeout aspenshed.Nanos
	IdleClose      aspenshed.Nanos // 0: members never close idle connections
	SoftRemoval    bool            // absence from the list does not end a member
	Get            func(id string) *request.Request
	Tell           func(aspenshed.Event)
	// Answered has a request answered; Settled hears of one that had its answer before its last attempt ended;
	// Attempted and Probed hear of every end.
	Answered  func(*request.Request, request.Result)
	Settled   func(*request.Request)
	Attempted func(q *request.Request, member string, r request.Result)
	Probed    func(member string, r request.Result)

	pools    map[string]*pool
	attempts map[string]*attempt // the one that is out, by request
}

// Start begins the sweep of idle connections.
func (s *Stage) Start() {
	s.pools, s.attempts = map[string]*pool{}, map[string]*attempt{}
	s.sweep()
}

// Busy is the number of probes that are out and of attempts whose statement has not left yet.
func (s *Stage) Busy() (n int) {
	for _, p := range s.pools {
		if p.probe != nil {
			n++
		}
	}
	for _, a := range s.attempts {
		if a.l == nil || !a.l.c.Out() {
			n++
		}
	}
	return n
}
