// Package soak runs gateways as processes on loopback, under faults that a seed chooses: stand-in databases that judge their own
// slow-start budget, a discovery service, clients that retry and leave, links that refuse, delay, reset, hold and fall silent,
// and signals. An oracle then checks every request and attempt against the rules.
//
// Everything but the gateways lives in this process, so that one clock stamps all records.
package soak

import "time"

// The limits of the rules, and the slack that each has on sockets.
const (
	socketSlack      = 50 * time.Millisecond
	leaveLimit       = 100 * time.Millisecond // after a client has left, no attempt of its request begins
	deadlineSlack    = 150 * time.Millisecond // by which the deadline passed to a database may exceed the client's
	lostAfter        = 500 * time.Millisecond // after its deadline an unanswered request is lost
	drainGrace       = 2 * time.Second
	maxKillDeadline  = 3 * time.Second // SIGKILL comes after the longest deadline, but at most this, and killMargin
	killMargin       = 700 * time.Millisecond
	toldShareOfLimit = 2.0 / 3 // of what overloaded a database that came from gateways that knew of its start
)
