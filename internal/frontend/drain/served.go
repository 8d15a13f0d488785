package drain

import (
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
)

// Served is the Front of a listener, its client sessions and their pipeline.
type Served struct {
	Net      *netio.Net
	Sessions *session.Manager
	Pipeline *pipeline.Pipeline
}

// StopListening implements Front.
func (s Served) StopListening() { s.Net.StopListening() }

// CloseIdle implements Front.
func (s Served) CloseIdle() { s.Sessions.CloseIdle() }

// RespondAll implements Front. Queued queries come first: a response would have them submitted.
func (s Served) RespondAll(reason string) {
	s.Sessions.RefuseQueued(reason)
	s.Pipeline.FailAll(reason)
}

// Pending implements Front.
func (s Served) Pending() int { return s.Pipeline.Response.Pending() + s.Sessions.QueuedCount() }

// Remaining implements Front.
func (s Served) Remaining() int { return s.Net.ClientCount() + s.Pending() }
