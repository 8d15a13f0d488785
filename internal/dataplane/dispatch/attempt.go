package dispatch

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// attempt is one of a request: at most one is out.
type attempt struct {
	request          *request.Request
	number           int
	pool             *pool
	conn             *connection
	startedAt        aspenshed.Nanos
	giveUpAt         aspenshed.Nanos // when it is given up
	sendBy           aspenshed.Nanos // it must not leave later: what is known of the member's data is too old then; 0: no matter
	connIdleTime     aspenshed.Nanos // how long its connection had lain idle; 0: a new one
	connectionsTried int             // taken up so far
	giveUpTimer      *eventloop.Timer
	livenessTimer    *eventloop.Timer // ends a connection that does not show that it is alive
	ended            bool
}

// Send starts an attempt, the n-th of its request. leaveBy: when its statement must have left, if at all; 0: no matter.
func (s *Stage) Send(id, member string, n int, giveUpAt, leaveBy aspenshed.Nanos) {
	r, p := s.FindRequest(id), s.pools[member]
	if r == nil { // its client left while the module decided, in the same batch: what that counted is given back
		s.Loop.Post(func() {
			s.Emit(aspenshed.AttemptResult{ID: id, Attempt: n, Member: member, Outcome: aspenshed.NotSent, Final: true})
		})
		return
	}
	if p == nil || s.attempts[id] != nil {
		// Guards the rules: never a second copy, never a send to a member that the list does not know.
		s.Log.WithFields(logrus.Fields{"request": id, "member": member}).Error("send refused: unknown or out already")
		s.finishLater(&attempt{request: r, number: n, pool: p, startedAt: s.Loop.Now()}, request.Result{Outcome: aspenshed.NotSent})
		r.Attempts++
		return
	}
	a := &attempt{request: r, number: n, pool: p, startedAt: s.Loop.Now(), giveUpAt: r.Deadline, sendBy: leaveBy}
	r.Attempts++
	s.attempts[id] = a
	if giveUpAt > 0 {
		a.giveUpAt = min(a.giveUpAt, giveUpAt)
	}
	a.giveUpTimer = s.Loop.At(a.giveUpAt, func() { s.abort(a, aspenshed.TimedOut) })
	s.acquireConnection(a)
}

// acquireConnection takes up the newest idle connection for an attempt, or a new one.
func (s *Stage) acquireConnection(a *attempt) {
	a.connectionsTried++
	l := s.takeIdle(a.pool)
	if l == nil || a.connectionsTried == maxConnectionsPerAttempt {
		var err error
		if l, err = s.openConnection(a.pool, false); err != nil && s.closeOldestIdle() {
			if l, err = s.openConnection(a.pool, false); err != nil && a.connectionsTried < maxConnectionsPerAttempt {
				s.Loop.At(s.Loop.Now()+descriptorWait, func() {
					if !a.ended {
						s.acquireConnection(a)
					}
				})
				return
			}
		}
		if err != nil { // our own want of descriptors: nothing against the member, and no use to wait for it
			s.finishLater(a, request.Result{Outcome: aspenshed.NotSent, Detail: err.Error()})
			return
		}
	}
	a.conn, l.attempt, a.connIdleTime = l, a, 0
	if l.idleSince > 0 {
		a.connIdleTime = max(s.Loop.Now()-l.idleSince, 1)
	}
	if l.ready {
		l.send()
	}
}

// retryConnection ends a connection on which the attempt's statement did not leave. The attempt takes up another one, as members and
// the network drop connections unseen; where the member can't be reached, or all are retryConnection, it has not run.
func (s *Stage) retryConnection(a *attempt, how request.ConnectionLoss, detail string) {
	s.Loop.StopTimer(a.livenessTimer)
	a.conn.attempt = nil
	a.conn.close()
	a.conn, a.request.InFlight = nil, false // its last byte was let go, maybe, but could not be written
	if how == request.LostBeforeSend && a.connectionsTried < maxConnectionsPerAttempt && !a.pool.draining {
		s.acquireConnection(a)
		return
	}
	s.finishLater(a, request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail})
}

// Cancel gives one attempt up.
func (s *Stage) Cancel(id string, n int) {
	if a := s.attempts[id]; a != nil && a.number == n {
		s.abort(a, aspenshed.Cancelled)
	}
}

// abort closes the attempt's connection before anything else may be sent for its request.
func (s *Stage) abort(a *attempt, o aspenshed.Outcome) {
	if o == aspenshed.TimedOut && (a.conn == nil || !a.conn.ready || !a.conn.backendConn.MayHaveSent()) {
		o = aspenshed.ConnectFailed // the statement never left: no connection came up in time
	}
	if a.conn != nil {
		a.conn.close()
	}
	s.finish(a, request.Result{Outcome: o})
}

// Withdraw takes an attempt back whose request has its answer, or none to wait for it, before the statement has left:
// nothing may leave for it any more. One that is out is for the module to cancel or to let run.
func (s *Stage) Withdraw(r *request.Request) {
	if a := s.attempts[r.ID]; a != nil && !r.InFlight {
		if a.conn != nil {
			a.conn.attempt = nil
			a.conn.close()
		}
		s.finish(a, request.Result{Outcome: aspenshed.NotSent})
		s.Loop.Post(func() {}) // the module hears of it though this be one of its own actions
	}
}

// AbortAll gives up all attempts; nothing is told.
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

// HasAttempt tells whether an attempt of the request is out.
func (s *Stage) HasAttempt(r *request.Request) bool { return s.attempts[r.ID] != nil }

// finishLater ends an attempt in the next batch, so that no decision is taken inside another's actions.
func (s *Stage) finishLater(a *attempt, r request.Result) {
	s.Loop.Post(func() { s.finish(a, r) })
}

func (s *Stage) finish(a *attempt, res request.Result) {
	if a.ended { // given up while its end was on the way
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
		member = a.pool.memberID
	}
	neverRan := res.Outcome == aspenshed.Overloaded || res.Outcome == aspenshed.ConnectFailed || res.Outcome == aspenshed.NotSent || res.Outcome == aspenshed.Ineligible
	a.request.InFlight = false
	res.Elapsed, res.IdleTime = s.Loop.Now()-a.startedAt, a.connIdleTime
	a.request.MayHaveRun = a.request.MayHaveRun || !neverRan
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
