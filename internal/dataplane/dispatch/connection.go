package dispatch

import (
	"cmp"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// connection is a connection to a member, with the attempt or probe that uses it.
type connection struct {
	stage          *Stage
	pool           *pool
	backendConn    request.Connection
	ready          bool
	closed         bool
	attempt        *attempt
	idleSince      aspenshed.Nanos // 0 if it has served nothing yet
	probing        bool            // a probe is running on it
	probeStartedAt aspenshed.Nanos
	probeTimer     *eventloop.Timer
}

// send sends the statement or probe for which the connection was opened or taken from the pool.
func (c *connection) send() {
	s, a := c.stage, c.attempt
	switch {
	case c.pool.draining: // the drain notice came while the connection was opened: send nothing
		if a != nil {
			s.deny(a, reasonNotListed)
			return
		}
		if c.close(); c.probing {
			s.Loop.Post(func() { s.finishProbe(c, request.Result{Outcome: aspenshed.NotSent}) })
		}
	case a != nil:
		limit := cmp.Or(s.ConnectTimeout, probeTimeout)
		a.livenessTimer = s.Loop.At(s.Loop.Now()+limit, func() {
			loss := request.ConnectFailed
			// An idle connection may have been dropped without notice: only a new one shows whether the member is alive.
			if a.connIdleTime > 0 {
				loss, a.connectionsTried = request.LostBeforeSend, maxConnectionsPerAttempt-1
			}
			s.retryConnection(a, loss, "connection timed out without a sign of life")
		})
		a.deadlineSentAt = s.Loop.Now()
		remaining := a.giveUpAt - a.deadlineSentAt
		if !c.backendConn.Send(a.request.Statement, max(remaining-maxDeadlineAge, remaining/2)) { // counts from its last byte
			s.retryConnection(a, request.LostBeforeSend, "connection closed before the statement was sent")
		}
	case c.probing:
		if !c.backendConn.Probe() {
			c.close()
			s.Loop.Post(func() { s.finishProbe(c, request.Result{Outcome: aspenshed.ConnectFailed}) })
		}
	}
}

// AllowSend is called right before the last byte of the statement is sent.
func (c *connection) AllowSend() bool {
	s, a := c.stage, c.attempt
	if c.closed || a == nil {
		return false
	}
	s.Loop.StopTimer(a.livenessTimer)
	switch {
	case c.pool.draining: // the drain notice came after the first bytes were sent
		s.deny(a, reasonNotListed)
	case a.request.ClientLeft():
		s.endUnsent(a, request.Result{Outcome: aspenshed.NotSent, Detail: "the client has left"})
	case a.sendBy > 0 && s.Loop.Now() > a.sendBy: // the data may be too stale, or the time for retries over
		s.deny(a, "the statement was not sent in time")
	case !s.MaySend(a.request.ID, a.number):
		s.deny(a, "the member is not the primary any more")
	case s.Loop.Now() > a.deadlineSentAt+maxDeadlineAge:
		s.retryConnection(a, request.LostBeforeSend, "the sign of life came late")
	default:
		a.request.InFlight = true
		return true
	}
	return false
}

// Ready is called when the member is ready for a statement.
func (c *connection) Ready() {
	if c.closed {
		return
	}
	c.ready = true
	c.stage.connects++
	c.pool.lastConnect = c.stage.connects
	c.send()
}

// Done is called when the attempt or probe has ended.
func (c *connection) Done(r request.Result) {
	if c.closed {
		return
	}
	if r.CloseConnection {
		c.close()
	}
	c.idleSince = c.stage.Loop.Now()
	if a := c.attempt; a != nil {
		c.attempt = nil
		c.release()
		c.stage.finish(a, r)
	} else if c.probing {
		c.release()
		c.stage.finishProbe(c, r)
	}
}

// release puts the connection into the pool for the next attempt or probe.
func (c *connection) release() {
	if c.pool.probeConn == c {
		c.pool.probeConn = nil
	}
	switch {
	case c.closed:
	case c.pool.memberUp:
		c.pool.idle = append(c.pool.idle, c)
	default:
		c.close()
	}
}

// Lost is called when the connection has ended.
func (c *connection) Lost(loss request.ConnectionLoss, err error) {
	if c.closed {
		return
	}
	c.close()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	r := request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail}
	switch {
	case loss == request.LostAfterSend:
		r.Outcome = aspenshed.ConnectionLost
	case isLocal(loss):
		r.Outcome = aspenshed.NotSent
	}
	switch a := c.attempt; {
	case a != nil && loss == request.LostAfterSend:
		c.attempt = nil
		c.stage.finish(a, r)
	case a != nil:
		c.stage.retryConnection(a, loss, detail)
	case c.probing:
		c.stage.finishProbe(c, r)
	}
}

func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.backendConn.Close()
	if c.pool.probeConn == c {
		c.pool.probeConn = nil
	}
	c.pool.idle = slices.DeleteFunc(c.pool.idle, func(other *connection) bool { return other == c })
}
