package datapath

import (
	"errors"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/experiment/standin"
	"aspenshed/internal/frontend/session"
)

var errConnectionLost = errors.New("connection refused or lost")

// dbConnection is one simulated connection from a gateway to a database. It takes the same steps as the PostgreSQL
// backend: connect, startup handshake, an empty query before each statement, the statement.
type dbConnection struct {
	gateway      *gateway
	database     *database
	events       request.ConnectionEvents
	index        int // in database.connections; -1: not listed
	closed       bool
	mayHaveSent  bool
	connectTimer *eventloop.Timer
}

// Open starts connecting to a database.
func (g *gateway) Open(address string, limit aspenshed.Nanos, _ bool, events request.ConnectionEvents) (request.Connection, error) {
	l := &dbConnection{gateway: g, database: g.databaseByID[address], events: events, index: -1}
	l.connectTimer = g.after(limit, func() { l.reportLoss(request.ConnectFailed) })
	g.after(oneWayDelay, func() {
		switch l.database.state {
		case silent:
		case refusing:
			g.after(oneWayDelay, func() { l.reportLoss(request.ConnectFailed) })
		default:
			l.establish()
		}
	})
	return l, nil
}

// establish lists the connection and completes the startup handshake, one round trip after that of TCP.
func (l *dbConnection) establish() {
	if l.closed {
		return
	}
	d := l.database
	d.handshakes++
	l.index = len(d.connections)
	d.connections = append(d.connections, l)
	l.gateway.after(3*oneWayDelay, func() {
		if !l.closed && d.state == running {
			l.gateway.loop.StopTimer(l.connectTimer)
			l.events.Ready()
		}
	})
}

// Send checks that the connection is alive by the round trip of an empty query, then sends the statement.
func (l *dbConnection) Send(statement any, _ aspenshed.Nanos) bool {
	l.gateway.after(2*oneWayDelay, func() {
		if l.closed || l.database.state != running || !l.events.AllowSend() {
			return
		}
		l.mayHaveSent = true
		l.gateway.after(oneWayDelay, func() { l.deliverStatement(statement.(bool)) })
	})
	return !l.closed
}

// deliverStatement passes a statement to the database.
func (l *dbConnection) deliverStatement(isWrite bool) {
	d := l.database
	if d.state != running || l.index < 0 {
		return
	}
	d.statements++
	verdict, took := d.model.Accept(int64(l.gateway.loop.Now()), isWrite)
	l.gateway.after(nanos(took), func() {
		if verdict == standin.Served {
			verdict = d.model.Complete(int64(l.gateway.loop.Now()))
		}
		if d.state == running && verdict != standin.Unavailable {
			l.respond(request.Result{Outcome: outcomes[verdict]})
		}
	})
}

var outcomes = map[standin.Result]aspenshed.Outcome{standin.Served: aspenshed.Served, standin.Overloaded: aspenshed.Overloaded,
	standin.NotPrimary: aspenshed.Ineligible}

// Probe queries role, position and load.
func (l *dbConnection) Probe() bool {
	l.mayHaveSent = true
	l.gateway.after(oneWayDelay, func() {
		if d := l.database; d.state == running && l.index >= 0 {
			d.probes++
			now := int64(l.gateway.loop.Now())
			l.respond(request.Result{Outcome: aspenshed.Served, Report: aspenshed.Report{
				HasPosition: true, Position: toMilliseconds(d.model.Position(now)), HasRole: true, Primary: d.model.Primary,
				HasQueued: true, Queued: float64(d.model.InFlight(now))}})
		}
	})
	return !l.closed
}

// respond sends a response, which always carries role and position.
func (l *dbConnection) respond(r request.Result) {
	now := int64(l.gateway.loop.Now())
	r.Role, r.Position = aspenshed.RoleReplica, toMilliseconds(l.database.model.Position(now))
	if l.database.model.Primary {
		r.Role = aspenshed.RolePrimary
	}
	l.gateway.after(oneWayDelay, func() {
		if !l.closed {
			l.mayHaveSent = false
			l.events.Done(r)
		}
	})
}

func toMilliseconds(position int64) aspenshed.Nanos {
	return aspenshed.Nanos(position) / millisecond * millisecond
}

func nanos(d time.Duration) aspenshed.Nanos { return aspenshed.Nanos(d) }

// MayHaveSent reports whether a statement or probe may have been sent.
func (l *dbConnection) MayHaveSent() bool { return l.mayHaveSent }

// Close closes the connection without a further event.
func (l *dbConnection) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.gateway.loop.StopTimer(l.connectTimer)
	l.removeFromDatabase()
}

// removeFromDatabase removes the connection from the database's list.
func (l *dbConnection) removeFromDatabase() {
	if l.index < 0 {
		return
	}
	links := l.database.connections
	last := links[len(links)-1]
	links[l.index], last.index = last, l.index
	l.database.connections, l.index = links[:len(links)-1], -1
}

// connectionBroken notifies the gateway that the connection was lost.
func (l *dbConnection) connectionBroken() {
	l.reportLoss(session.ClassifyLoss(l.mayHaveSent, errConnectionLost))
}

func (l *dbConnection) reportLoss(how request.ConnectionLoss) {
	if l.closed {
		return
	}
	l.Close()
	l.events.Lost(how, errConnectionLost)
}
