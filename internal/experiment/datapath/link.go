package datapath

import (
	"errors"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/experiment/standin"
)

var errGone = errors.New("connection refused or broken")

// link is one simulated connection from a gateway to a database. It takes the same steps as the PostgreSQL backend's:
// connect, greeting, an empty query before each statement, the statement's last byte.
type link struct {
	gateway  *gateway
	database *database
	events   request.ConnectionEvents
	place    int // in database.links; -1: not there
	closed   bool
	sent     bool
	limit    *eventloop.Timer
}

// Open connects.
func (g *gateway) Open(address string, limit aspenshed.Nanos, _ bool, events request.ConnectionEvents) (request.Connection, error) {
	l := &link{gateway: g, database: g.byID[address], events: events, place: -1}
	l.limit = g.at(limit, func() { l.down(request.ConnectFailed) })
	g.at(oneWay, func() {
		switch l.database.state {
		case silent:
		case refusing:
			g.at(oneWay, func() { l.down(request.ConnectFailed) })
		default:
			l.establish()
		}
	})
	return l, nil
}

// establish counts the connection and goes through the greeting: a round trip after that of TCP.
func (l *link) establish() {
	if l.closed {
		return
	}
	d := l.database
	d.handshakes++
	l.place = len(d.links)
	d.links = append(d.links, l)
	l.gateway.at(3*oneWay, func() {
		if !l.closed && d.state == running {
			l.gateway.loop.StopTimer(l.limit)
			l.events.Ready()
		}
	})
}

// Send shows by an empty query's round trip that the connection is alive, then lets the statement go.
func (l *link) Send(statement any, _ aspenshed.Nanos) bool {
	l.gateway.at(2*oneWay, func() {
		if l.closed || l.database.state != running || !l.events.AllowSend() {
			return
		}
		l.sent = true
		l.gateway.at(oneWay, func() { l.arrive(statement.(bool)) })
	})
	return !l.closed
}

// arrive has the database take a statement.
func (l *link) arrive(isWrite bool) {
	d := l.database
	if d.state != running || l.place < 0 {
		return
	}
	d.statements++
	verdict, took := d.model.Accept(int64(l.gateway.loop.Now()), isWrite)
	l.gateway.at(nanos(took), func() {
		if verdict == standin.Served {
			verdict = d.model.Complete(int64(l.gateway.loop.Now()))
		}
		if d.state == running && verdict != standin.Unavailable {
			l.answer(request.Result{Outcome: outcomes[verdict]})
		}
	})
}

var outcomes = map[standin.Result]aspenshed.Outcome{standin.Served: aspenshed.Served, standin.Overloaded: aspenshed.Overloaded,
	standin.NotPrimary: aspenshed.Ineligible}

// Probe asks for role, position and load.
func (l *link) Probe() bool {
	l.sent = true
	l.gateway.at(oneWay, func() {
		if d := l.database; d.state == running && l.place >= 0 {
			d.probes++
			now := int64(l.gateway.loop.Now())
			l.answer(request.Result{Outcome: aspenshed.Served, Report: aspenshed.Report{
				HasPosition: true, Position: toMilliseconds(d.model.Position(now)), HasRole: true, Primary: d.model.Primary,
				HasQueued: true, Queued: float64(d.model.InFlight(now))}})
		}
	})
	return !l.closed
}

// answer travels back with role and position, as every answer does.
func (l *link) answer(r request.Result) {
	now := int64(l.gateway.loop.Now())
	r.Role, r.Position = aspenshed.RoleReplica, toMilliseconds(l.database.model.Position(now))
	if l.database.model.Primary {
		r.Role = aspenshed.RolePrimary
	}
	l.gateway.at(oneWay, func() {
		if !l.closed {
			l.sent = false
			l.events.Done(r)
		}
	})
}

func toMilliseconds(position int64) aspenshed.Nanos {
	return aspenshed.Nanos(position) / millisecond * millisecond
}

func nanos(d time.Duration) aspenshed.Nanos { return aspenshed.Nanos(d) }

// MayHaveSent tells whether a statement may have left.
func (l *link) MayHaveSent() bool { return l.sent }

// Close ends the connection without another event.
func (l *link) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.gateway.loop.StopTimer(l.limit)
	l.leave()
}

// leave takes the connection off the database's list.
func (l *link) leave() {
	if l.place < 0 {
		return
	}
	links := l.database.links
	last := links[len(links)-1]
	links[l.place], last.place = last, l.place
	l.database.links, l.place = links[:len(links)-1], -1
}

// broke tells the gateway that the connection has ended by itself.
func (l *link) broke() { l.down(request.ClassifyLoss(l.sent, false)) }

func (l *link) down(how request.ConnectionLoss) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(how, errGone)
}
