package dispatch

import (
	"cmp"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// connection is one to a member, and what is out on it.
type connection struct {
	stage          *Stage
	pool           *pool
	backendConn    request.Connection
	ready          bool
	closed         bool
	attempt        *attempt
	idleSince      aspenshed.Nanos // since when; 0: it has served nothing yet
	probing        bool            // a probe's connection, and one is out
	probeStartedAt aspenshed.Nanos // that probe
	probeTimer     *eventloop.Timer
}

// send sends what the connection was opened or taken for.
func (l *connection) send() {
	s, a := l.stage, l.attempt
	switch {
	case l.pool.draining: // the word came while the connection did: not a byte more
		if a != nil {
			l.deny(reasonDraining)
			return
		}
		if l.close(); l.probing {
			s.Loop.Post(func() { s.finishProbe(l, request.Result{Outcome: aspenshed.NotSent}) })
		}
	case a != nil:
		limit := cmp.Or(s.ConnectTimeout, probeTimeout)
		a.livenessTimer = s.Loop.At(s.Loop.Now()+limit, func() {
			how := request.ConnectFailed
			if a.connIdleTime > 0 { // an old connection may have been dropped unseen: only a new one tells
				how, a.connectionsTried = request.LostBeforeSend, maxConnectionsPerAttempt-1
			}
			s.retryConnection(a, how, "link does not show that it is alive")
		})
		if !l.backendConn.Send(a.request.Statement, a.giveUpAt-s.Loop.Now()) { // the attempt's own remaining wait
			s.retryConnection(a, request.LostBeforeSend, "link closed before the statement left")
		}
	case l.probing:
		if !l.backendConn.Probe() {
			l.close()
			s.Loop.Post(func() { s.finishProbe(l, request.Result{Outcome: aspenshed.ConnectFailed}) })
		}
	}
}

// AllowSend is asked when the attempt's last byte is about to leave.
func (l *connection) AllowSend() bool {
	s, a := l.stage, l.attempt
	if l.closed || a == nil {
		return false
	}
	s.Loop.StopTimer(a.livenessTimer)
	switch {
	case l.pool.draining: // guards drains: the word came after the statement's first bytes
		l.deny(reasonDraining)
	case a.sendBy > 0 && s.Loop.Now() > a.sendBy: // guards the age of data and the time for repeats
		l.deny("it took too long to get here")
	default:
		a.request.InFlight = true
		return true
	}
	return false
}

const reasonDraining = "the member was told to leave meanwhile"

// deny ends the attempt before its statement has left: it must not.
func (l *connection) deny(why string) {
	a := l.attempt
	l.attempt = nil
	l.close()
	l.stage.finishLater(a, request.Result{Outcome: aspenshed.Ineligible, Detail: why})
}

// Ready is called when the member is ready for a statement.
func (l *connection) Ready() {
	if l.closed {
		return
	}
	l.ready = true
	l.send()
}

// Done is called when what was out has ended.
func (l *connection) Done(r request.Result) {
	if l.closed {
		return
	}
	if r.CloseConnection {
		l.close()
	}
	l.idleSince = l.stage.Loop.Now()
	if a := l.attempt; a != nil {
		l.attempt = nil
		l.release()
		l.stage.finish(a, r)
	} else if l.probing {
		l.release()
		l.stage.finishProbe(l, r)
	}
}

// release leaves the connection to the next attempt or probe.
func (l *connection) release() {
	if l.pool.probeConn == l {
		l.pool.probeConn = nil
	}
	switch {
	case l.closed:
	case l.pool.memberUp:
		l.pool.idle = append(l.pool.idle, l)
	default:
		l.close()
	}
}

// Lost is called when the connection is no more.
func (l *connection) Lost(how request.ConnectionLoss, err error) {
	if l.closed {
		return
	}
	l.close()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	r := request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail}
	if how == request.LostAfterSend {
		r.Outcome = aspenshed.ConnectionLost
	}
	switch a := l.attempt; {
	case a != nil && how == request.LostAfterSend:
		l.attempt = nil
		l.stage.finish(a, r)
	case a != nil:
		l.stage.retryConnection(a, how, detail)
	case l.probing:
		l.stage.finishProbe(l, r)
	}
}

func (l *connection) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.backendConn.Close()
	if l.pool.probeConn == l {
		l.pool.probeConn = nil
	}
	l.pool.idle = slices.DeleteFunc(l.pool.idle, func(x *connection) bool { return x == l })
}
