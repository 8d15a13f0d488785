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
	s       *Stage
	p       *pool
	c       request.Link
	up      bool
	closed  bool
	a       *attempt
	idle    aspenshed.Nanos // since when; 0: it has served nothing yet
	probing bool            // a probe's connection, and one is out
	began   aspenshed.Nanos // that probe
	timer   *eventloop.Timer
}

// start sends what the connection was opened or taken for.
func (l *connection) start() {
	s, a := l.s, l.a
	switch {
	case l.p.draining: // the word came while the connection did: not a byte more
		if a != nil {
			l.turn(deniedDraining)
			return
		}
		if l.close(); l.probing {
			s.Loop.Post(func() { s.probed(l, request.Result{Outcome: aspenshed.NotSent}) })
		}
	case a != nil:
		limit := cmp.Or(s.ConnectTimeout, probeTimeout)
		a.silence = s.Loop.At(s.Loop.Now()+limit, func() {
			how := request.Unreachable
			if a.idleFor > 0 { // an old connection may have been dropped unseen: only a new one tells
				how, a.connections = request.CutBefore, maxConnections-1
			}
			s.cut(a, how, "link does not show that it is alive")
		})
		if !l.c.Send(a.r.Statement, a.end-s.Loop.Now()) { // the attempt's own remaining wait
			s.cut(a, request.CutBefore, "link closed before the statement left")
		}
	case l.probing:
		if !l.c.Probe() {
			l.close()
			s.Loop.Post(func() { s.probed(l, request.Result{Outcome: aspenshed.ConnectFailed}) })
		}
	}
}

// Leave is asked when the attempt's last byte is about to leave.
func (l *connection) Leave() bool {
	s, a := l.s, l.a
	if l.closed || a == nil {
		return false
	}
	s.Loop.Stop(a.silence)
	switch {
	case l.p.draining: // guards drains: the word came after the statement's first bytes
		l.turn(deniedDraining)
	case a.leaveBy > 0 && s.Loop.Now() > a.leaveBy: // guards the age of data and the time for repeats
		l.turn("it took too long to get here")
	default:
		a.r.Out = true
		return true
	}
	return false
}

const deniedDraining = "the member was told to leave meanwhile"

// turn ends the attempt before its statement has left: it must not.
func (l *connection) turn(why string) {
	a := l.a
	l.a = nil
	l.close()
	l.s.endLater(a, request.Result{Outcome: aspenshed.Ineligible, Detail: why})
}

// Up is called when the member is ready for a statement.
func (l *connection) Up() {
	if l.closed {
		return
	}
	l.up = true
	l.start()
}

// Done is called when what was out has ended.
func (l *connection) Done(r request.Result) {
	if l.closed {
		return
	}
	if r.Close {
		l.close()
	}
	l.idle = l.s.Loop.Now()
	if a := l.a; a != nil {
		l.a = nil
		l.release()
		l.s.end(a, r)
	} else if l.probing {
		l.release()
		l.s.probed(l, r)
	}
}

// release leaves the connection to the next attempt or probe.
func (l *connection) release() {
	if l.p.probe == l {
		l.p.probe = nil
	}
	switch {
	case l.closed:
	case l.p.wanted:
		l.p.idle = append(l.p.idle, l)
	default:
		l.close()
	}
}

// Down is called when the connection is no more.
func (l *connection) Down(how request.End, err error) {
	if l.closed {
		return
	}
	l.close()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	r := request.Result{Outcome: aspenshed.ConnectFailed, Detail: detail}
	if how == request.CutAfter {
		r.Outcome = aspenshed.ConnectionLost
	}
	switch a := l.a; {
	case a != nil && how == request.CutAfter:
		l.a = nil
		l.s.end(a, r)
	case a != nil:
		l.s.cut(a, how, detail)
	case l.probing:
		l.s.probed(l, r)
	}
}

func (l *connection) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.c.Close()
	if l.p.probe == l {
		l.p.probe = nil
	}
	l.p.idle = slices.DeleteFunc(l.p.idle, func(x *connection) bool { return x == l })
}
