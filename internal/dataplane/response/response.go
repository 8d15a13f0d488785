// Package response is the stage that tracks all pending requests and gives each exactly one response, shortly after its
// deadline at the latest.
package response

import (
	"maps"
	"slices"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Stage tracks the pending requests. All methods must be called on the event loop.
type Stage struct {
	Loop *eventloop.Loop
	// Grace is how long after its deadline a request gets a response without the router.
	Grace aspenshed.Nanos
	// OnResponse is called for every response, OnDeadline for each request that the router has left without one.
	OnResponse func(*request.Request, request.Response)
	OnDeadline func(*request.Request)

	pending map[string]*request.Request
}

// Track starts to track a request until its response.
func (s *Stage) Track(r *request.Request) {
	if s.pending == nil {
		s.pending = map[string]*request.Request{}
	}
	s.pending[r.ID] = r
	// Whatever goes wrong elsewhere, the client gets a response before it gives up.
	r.DeadlineTimer = s.Loop.At(r.Deadline+s.Grace, func() {
		r.DeadlineTimer = nil
		s.Respond(r, s.FallbackResponse(r, "deadline passed"))
		s.OnDeadline(r)
	})
}

// Pending returns the number of pending requests.
func (s *Stage) Pending() int { return len(s.pending) }

// Get returns a pending request, or nil.
func (s *Stage) Get(id string) *request.Request { return s.pending[id] }

// Respond sends the response to a request. Later responses to it are dropped.
func (s *Stage) Respond(r *request.Request, resp request.Response) {
	if r == nil || r.Responded {
		return
	}
	r.Responded = true
	delete(s.pending, r.ID)
	s.Loop.StopTimer(r.DeadlineTimer)
	if resp.Status != request.ClientGone {
		r.Client.Respond(resp)
	}
	s.OnResponse(r, resp)
}

// FallbackResponse returns a response that is correct for every class: a refusal if nothing can have run, which is also
// so for a statement that was only prepared, and a failure otherwise.
func (s *Stage) FallbackResponse(r *request.Request, reason string) request.Response {
	if !r.PrepareOnly && (r.MayHaveRun || r.InFlight) {
		return request.Response{Status: request.Failed, Reason: reason}
	}
	return request.Response{Status: request.Refused, Reason: reason}
}

// AllPending returns the pending requests.
func (s *Stage) AllPending() []*request.Request { return slices.Collect(maps.Values(s.pending)) }
