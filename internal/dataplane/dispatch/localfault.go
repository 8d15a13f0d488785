package dispatch

import (
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
)

// This file handles connections that this machine can't open: the members are not to blame, and it may pass soon.

const (
	minLocalRetryDelay = aspenshed.Nanos(5e6)
	maxLocalRetryDelay = aspenshed.Nanos(80e6)
)

func isLocal(loss request.ConnectionLoss) bool {
	return loss == request.NoResources || loss == request.NoRoute
}

// retryAfterLocalFault has an attempt try again after a while, until its time is over.
func (s *Stage) retryAfterLocalFault(a *attempt, loss request.ConnectionLoss, detail string) {
	now := s.Loop.Now()
	if s.localFaultLog.AllowN(time.Unix(0, int64(now)), 1) {
		s.Log.WithField("error", detail).Warn("cannot open connections")
	}
	a.localFaults++
	if loss == request.NoRoute && a.localFaults > 1 && s.otherConnected(a) { // its address may be wrong
		s.finishLater(a, request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail})
		return
	}
	if loss == request.NoResources && a.localFaults == 1 {
		s.closeOldestIdle()
	}
	a.waitsForMachine = true
	a.connectionsTried-- // it has tried none
	delay := min(minLocalRetryDelay<<min(a.localFaults-1, 10), maxLocalRetryDelay)
	s.Loop.At(now+delay, func() {
		if !a.ended && a.conn == nil {
			s.acquireConnection(a)
		}
	})
}

// otherConnected reports whether this machine has opened a connection to any other member since the attempt began.
func (s *Stage) otherConnected(a *attempt) bool {
	for _, p := range s.pools {
		if p != a.pool && p.lastConnect > a.connectsBefore {
			return true
		}
	}
	return false
}
