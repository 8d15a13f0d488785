package dispatch

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// attempt is one of a request: at most one is out.
type attempt struct {
	r           *request.Request
	n           int
	p           *pool
	l           *connection
	at          aspenshed.Nanos
	end         aspenshed.Nanos // when it is given up
	leaveBy     aspenshed.Nanos // it must not leave later: what is known of the member's data is too old then; 0: no matter
	idleFor     aspenshed.Nanos // how long its connection had lain idle; 0: a new one
	connections int             // taken up so far
	timer       *eventloop.Timer
	silence     *eventloop.Timer // ends a connection that does not show that it is alive
	ended       bool
}

// Send starts an attempt, the n-th of its request. leaveBy: when its statement must have left, if at all; 0: no matter.
func (s *Stage) Send(id, member string, n int, giveUpAt, leaveBy aspenshed.Nanos) {
	r, p := s.Get(id), s.pools[member]
	if r == nil { // its client left while the module decided, in the same batch: what that counted is given back
		s.Loop.Post(func() {
			s.Tell(aspenshed.AttemptResult{ID: id, Attempt: n, Member: member, Outcome: aspenshed.NotSent, Final: true})
		})
		return
	}
	if p == nil || s.attempts[id] != nil {
		// Guards the rules: never a second copy, never a send to a member that the list does not know.
		s.Log.WithFields(logrus.Fields{"request": id, "member": member}).Error("send refused: unknown or out already")
		s.endLater(&attempt{r: r, n: n, p: p, at: s.Loop.Now()}, request.Result{Outcome: aspenshed.NotSent})
		r.Attempts++
		return
	}
	a := &attempt{r: r, n: n, p: p, at: s.Loop.Now(), end: r.Deadline, leaveBy: leaveBy}
	r.Attempts++
	s.attempts[id] = a
	if giveUpAt > 0 {
		a.end = min(a.end, giveUpAt)
	}
	a.timer = s.Loop.At(a.end, func() { s.giveUp(a, aspenshed.TimedOut) })
	s.carry(a)
}

// carry takes up the newest idle connection for an attempt, or a new one.
func (s *Stage) carry(a *attempt) {
	a.connections++
	l := s.takeIdle(a.p)
	if l == nil || a.connections == maxConnections {
		var err error
		if l, err = s.open(a.p, false); err != nil && s.makeRoom() {
			if l, err = s.open(a.p, false); err != nil && a.connections < maxConnections {
				s.Loop.At(s.Loop.Now()+roomWait, func() {
					if !a.ended {
						s.carry(a)
					}
				})
				return
			}
		}
		if err != nil { // our own want of descriptors: nothing against the member, and no use to wait for it
			s.endLater(a, request.Result{Outcome: aspenshed.NotSent, Detail: err.Error()})
			return
		}
	}
	a.l, l.a, a.idleFor = l, a, 0
	if l.idle > 0 {
		a.idleFor = max(s.Loop.Now()-l.idle, 1)
	}
	if l.up {
		l.start()
	}
}

// cut ends a connection on which the attempt's statement did not leave. The attempt takes up another one, as members and
// the network drop connections unseen; where the member can't be reached, or all are cut, it has not run.
func (s *Stage) cut(a *attempt, how request.End, detail string) {
	s.Loop.Stop(a.silence)
	a.l.a = nil
	a.l.close()
	a.l, a.r.Out = nil, false // its last byte was let go, maybe, but could not be written
	if how == request.CutBefore && a.connections < maxConnections && !a.p.draining {
		s.carry(a)
		return
	}
	s.endLater(a, request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail})
}

// Cancel gives one attempt up.
func (s *Stage) Cancel(id string, n int) {
	if a := s.attempts[id]; a != nil && a.n == n {
		s.giveUp(a, aspenshed.Cancelled)
	}
}

// giveUp closes the attempt's connection before anything else may be sent for its request.
func (s *Stage) giveUp(a *attempt, o aspenshed.Outcome) {
	if o == aspenshed.TimedOut && (a.l == nil || !a.l.up || !a.l.c.Out()) {
		o = aspenshed.ConnectFailed // the statement never left: no connection came up in time
	}
	if a.l != nil {
		a.l.close()
	}
	s.end(a, request.Result{Outcome: o})
}

// Withdraw takes an attempt back whose request has its answer, or none to wait for it, before the statement has left:
// nothing may leave for it any more. One that is out is for the module to cancel or to let run.
func (s *Stage) Withdraw(r *request.Request) {
	if a := s.attempts[r.ID]; a != nil && !r.Out {
		if a.l != nil {
			a.l.a = nil
			a.l.close()
		}
		s.end(a, request.Result{Outcome: aspenshed.NotSent})
		s.Loop.Post(func() {}) // the module hears of it though this be one of its own actions
	}
}

// CloseAll gives up all attempts; nothing is told.
func (s *Stage) CloseAll() {
	for id, a := range s.attempts {
		s.Loop.Stop(a.timer)
		s.Loop.Stop(a.silence)
		if a.l != nil {
			a.l.close()
		}
		delete(s.attempts, id)
		if a.r.Final {
			s.Settled(a.r)
		}
	}
}

// Holds tells whether an attempt of the request is out.
func (s *Stage) Holds(r *request.Request) bool { return s.attempts[r.ID] != nil }

// endLater ends an attempt in the next batch, so that no decision is taken inside another's actions.
func (s *Stage) endLater(a *attempt, r request.Result) {
	s.Loop.Post(func() { s.end(a, r) })
}

func (s *Stage) end(a *attempt, res request.Result) {
	if a.ended { // given up while its end was on the way
		return
	}
	a.ended = true
	s.Loop.Stop(a.timer)
	s.Loop.Stop(a.silence)
	if s.attempts[a.r.ID] == a {
		delete(s.attempts, a.r.ID)
	}
	member := ""
	if a.p != nil {
		member = a.p.id
	}
	neverRan := res.Outcome == aspenshed.Overloaded || res.Outcome == aspenshed.ConnectFailed || res.Outcome == aspenshed.NotSent || res.Outcome == aspenshed.Ineligible
	a.r.Out = false
	res.Took, res.Lay = s.Loop.Now()-a.at, a.idleFor
	a.r.MayHaveRun = a.r.MayHaveRun || !neverRan
	s.Attempted(a.r, member, res)
	if a.r.Final {
		s.Settled(a.r)
	}
	answered := res.Outcome == aspenshed.Served || res.Outcome == aspenshed.StatementError
	if answered {
		s.Answered(a.r, res)
	} else if a.r.LastError = nil; res.Outcome == aspenshed.ErrorResponse {
		a.r.LastError = res.Value
	}
	s.Tell(aspenshed.AttemptResult{ID: a.r.ID, Attempt: a.n, Member: member, Outcome: res.Outcome, Final: answered || a.r.Final,
		Duration: s.Loop.Now() - a.at, Role: res.Role, Position: res.Position, Report: res.Report})
}
