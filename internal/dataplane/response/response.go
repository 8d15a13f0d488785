// Package response is the stage that answers: it knows every request that is owed
// a final answer and gives each exactly one, in time.
package response

import (
	"maps"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Stage owes the final answers. All of it runs on the loop.
type Stage struct {
	Loop *eventloop.Loop
	// Grace past the deadline after which a request is answered without the module.
	Grace aspenshed.Nanos
	// OnResponse hears of every final answer; Overdue of requests that the module has not answered.
	OnResponse func(*request.Request, request.Response)
	OnDeadline func(*request.Request)

	pending map[string]*request.Request
}

// Track begins a request's time.
func (s *Stage) Track(r *request.Request) {
	if s.pending == nil {
		s.pending = map[string]*request.Request{}
	}
	s.pending[r.ID] = r
	// Guards rule 1: whatever goes wrong above, the client gets an answer before it gives up.
	r.DeadlineTimer = s.Loop.At(r.Deadline+s.Grace, func() {
		r.DeadlineTimer = nil
		s.Respond(r, s.FallbackResponse(r, "deadline passed"))
		s.OnDeadline(r)
	})
}

// Pending is the number of requests owed an answer.
func (s *Stage) Pending() int { return len(s.pending) }

// Get returns a live request or nil.
func (s *Stage) Get(id string) *request.Request { return s.pending[id] }

// Respond gives the final answer; later ones are dropped.
func (s *Stage) Respond(r *request.Request, f request.Response) {
	if r == nil || r.Responded {
		return
	}
	r.Responded = true
	delete(s.pending, r.ID)
	s.Loop.StopTimer(r.DeadlineTimer)
	if f.Status != request.ClientGone {
		r.Client.Respond(f)
	}
	s.OnResponse(r, f)
}

// FallbackResponse is the answer that may be given whatever the class: a refusal only where nothing has run, as by what is only prepared.
func (s *Stage) FallbackResponse(r *request.Request, reason string) request.Response {
	if !r.PrepareOnly && (r.MayHaveRun || r.InFlight) {
		return request.Response{Status: request.Failed, Reason: reason}
	}
	return request.Response{Status: request.Refused, Reason: reason}
}

// AllPending are the live requests.
func (s *Stage) AllPending() []*request.Request { return slices.Collect(maps.Values(s.pending)) }
