package dispatch

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// attempt is an attempt of a request. A request has at most one running attempt.
type attempt struct {
	request          *request.Request
	number           int
	pool             *pool
	conn             *connection
	startedAt        aspenshed.Nanos
	giveUpAt         aspenshed.Nanos // when it times out
	sendBy           aspenshed.Nanos // latest time to send the statement, as data goes stale; 0: no limit
	deadlineSentAt   aspenshed.Nanos // when the bytes of its statement that hold the deadline were written
	connIdleTime     aspenshed.Nanos // how long its connection had been idle; 0 for a new one
	connectionsTried int
	localFaults      int  // dials that failed because of this machine
	waitsForMachine  bool // until it can open connections again
	connectsBefore   int  // connections that had been opened when it began
	giveUpTimer      *eventloop.Timer
	livenessTimer    *eventloop.Timer // closes a connection whose member shows no sign of life
	ended            bool
}

// Send starts attempt n of a request. Its statement must not be sent after sendBy; 0 for no limit.
func (s *Stage) Send(id, member string, n int, giveUpAt, sendBy aspenshed.Nanos) {
	r, p := s.FindRequest(id), s.pools[member]
	if r == nil || r.ClientLeft() { // the router must still be told that the attempt has ended
		s.Loop.Post(func() {
			s.Emit(aspenshed.AttemptResult{ID: id, Attempt: n, Member: member, Outcome: aspenshed.NotSent, Final: true})
		})
		return
	}
	if p == nil || s.attempts[id] != nil {
		// A request must never have two running attempts, nor be sent to a member that is not in the list.
		s.Log.WithFields(logrus.Fields{"request": id, "member": member}).Error("attempt refused: unknown member or a second attempt")
		s.finishLater(&attempt{request: r, number: n, pool: p, startedAt: s.Loop.Now()}, request.Result{Outcome: aspenshed.NotSent})
		r.Attempts++
		return
	}
	a := &attempt{request: r, number: n, pool: p, startedAt: s.Loop.Now(), giveUpAt: r.Deadline, sendBy: sendBy, connectsBefore: s.connects}
	r.Attempts++
	s.attempts[id] = a
	if giveUpAt > 0 {
		a.giveUpAt = min(a.giveUpAt, giveUpAt)
	}
	a.giveUpTimer = s.Loop.At(a.giveUpAt, func() { s.abort(a, aspenshed.TimedOut) })
	s.acquireConnection(a)
}

// acquireConnection assigns the newest idle connection to an attempt, or opens a new one. Without a free descriptor it
// closes the oldest idle connection and tries again, at once and after descriptorWait. The last connection that an
// attempt may try is always a new one.
func (s *Stage) acquireConnection(a *attempt) {
	if a.pool.draining {
		s.deny(a, reasonNotListed)
		return
	}
	a.connectionsTried++
	c := s.takeIdle(a.pool)
	if c == nil || a.connectionsTried == maxConnectionsPerAttempt {
		var err error
		if c, err = s.openConnection(a.pool, false); err != nil && s.closeOldestIdle() {
			if c, err = s.openConnection(a.pool, false); err != nil && a.connectionsTried < maxConnectionsPerAttempt {
				s.Loop.At(s.Loop.Now()+descriptorWait, func() {
					if !a.ended {
						s.acquireConnection(a)
					}
				})
				return
			}
		}
		if err != nil { // a lack of local descriptors: the member is not to blame, and more waiting would not help
			s.finishLater(a, request.Result{Outcome: aspenshed.NotSent, Detail: err.Error()})
			return
		}
	}
	a.conn, c.attempt, a.connIdleTime, a.waitsForMachine = c, a, 0, false
	if c.idleSince > 0 {
		a.connIdleTime = max(s.Loop.Now()-c.idleSince, 1)
	}
	if c.ready {
		c.send()
	}
}

// retryConnection closes a connection on which the statement was not sent, and tries another one, as members and the
// network drop idle connections without notice. If the member can't be reached, or maxConnectionsPerAttempt connections
// have failed, the attempt ends as not executed.
func (s *Stage) retryConnection(a *attempt, loss request.ConnectionLoss, detail string) {
	s.Loop.StopTimer(a.livenessTimer)
	a.conn.attempt = nil
	a.conn.close()
	a.conn, a.request.InFlight = nil, false // AllowSend may have returned true, but the write failed
	if isLocal(loss) && !a.pool.draining {
		s.retryAfterLocalFault(a, loss, detail)
		return
	}
	if loss == request.LostBeforeSend && a.connectionsTried < maxConnectionsPerAttempt && !a.pool.draining {
		s.acquireConnection(a)
		return
	}
	s.finishLater(a, request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail})
}

const reasonNotListed = "the member is not listed as up any more, or not as it was"

// deny ends an attempt whose statement must not be sent to its member any more.
func (s *Stage) deny(a *attempt, reason string) {
	s.endUnsent(a, request.Result{Outcome: aspenshed.Ineligible, Detail: reason})
}

// endUnsent ends an attempt whose statement has not been sent, and closes its connection.
func (s *Stage) endUnsent(a *attempt, r request.Result) {
	s.Loop.StopTimer(a.livenessTimer)
	if a.conn != nil {
		a.conn.attempt = nil
		a.conn.close()
	}
	s.finishLater(a, r)
}

// Cancel aborts attempt n of a request, if it is running.
func (s *Stage) Cancel(id string, n int) {
	if a := s.attempts[id]; a != nil && a.number == n {
		s.abort(a, aspenshed.Cancelled)
	}
}

// abort ends an attempt and closes its connection, so that another attempt of the request can be sent.
func (s *Stage) abort(a *attempt, outcome aspenshed.Outcome) {
	if a.waitsForMachine && outcome == aspenshed.TimedOut {
		outcome = aspenshed.NotSent
	}
	if outcome == aspenshed.TimedOut && (a.conn == nil || !a.conn.ready || !a.conn.backendConn.MayHaveSent()) {
		outcome = aspenshed.ConnectFailed // the statement was not sent: no connection was ready in time
	}
	if a.conn != nil {
		a.conn.close()
	}
	s.finish(a, request.Result{Outcome: outcome})
}

// Withdraw ends the attempt of a request that has its response, or whose client has left, if the statement has not been
// sent. If it may have been sent, the router decides whether to cancel the attempt.
func (s *Stage) Withdraw(r *request.Request) {
	if a := s.attempts[r.ID]; a != nil && !r.InFlight {
		if a.conn != nil {
			a.conn.attempt = nil
			a.conn.close()
		}
		s.finish(a, request.Result{Outcome: aspenshed.NotSent})
		s.Loop.Post(func() {}) // forces another batch, so that the router gets the event even if it caused this call
	}
}

// AbortAll closes the connections of all attempts, without an event for the router.
func (s *Stage) AbortAll() {
	for id, a := range s.attempts {
		s.Loop.StopTimer(a.giveUpTimer)
		s.Loop.StopTimer(a.livenessTimer)
		if a.conn != nil {
			a.conn.close()
		}
		delete(s.attempts, id)
		if a.request.Responded {
			s.OnSettled(a.request)
		}
	}
}

// HasAttempt reports whether the request has a running attempt.
func (s *Stage) HasAttempt(r *request.Request) bool { return s.attempts[r.ID] != nil }

// finishLater ends an attempt in the next batch, so that the router is not told while its actions are executed.
func (s *Stage) finishLater(a *attempt, r request.Result) {
	s.Loop.Post(func() { s.finish(a, r) })
}

func (s *Stage) finish(a *attempt, res request.Result) {
	if a.ended { // aborted while a finishLater was queued
		return
	}
	a.ended = true
	s.Loop.StopTimer(a.giveUpTimer)
	s.Loop.StopTimer(a.livenessTimer)
	if s.attempts[a.request.ID] == a {
		delete(s.attempts, a.request.ID)
	}
	member := ""
	if a.pool != nil {
		member = a.pool.member.ID
	}
	notExecuted := res.Outcome == aspenshed.Overloaded || res.Outcome == aspenshed.ConnectFailed || res.Outcome == aspenshed.NotSent || res.Outcome == aspenshed.Ineligible
	a.request.InFlight = false
	res.Elapsed, res.IdleTime = s.Loop.Now()-a.startedAt, a.connIdleTime
	a.request.MayHaveRun = a.request.MayHaveRun || !notExecuted
	s.OnAttemptEnd(a.request, member, res)
	if a.request.Responded {
		s.OnSettled(a.request)
	}
	answered := res.Outcome == aspenshed.Served || res.Outcome == aspenshed.StatementError
	if answered {
		s.OnAnswer(a.request, res)
	} else if a.request.LastError = nil; res.Outcome == aspenshed.ErrorResponse {
		a.request.LastError = res.Value
	}
	s.Emit(aspenshed.AttemptResult{ID: a.request.ID, Attempt: a.number, Member: member, Outcome: res.Outcome, Final: answered || a.request.Responded,
		Duration: s.Loop.Now() - a.startedAt, Role: res.Role, Position: res.Position, Report: res.Report})
}
