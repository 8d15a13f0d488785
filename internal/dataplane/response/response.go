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
	// Ended hears of every final answer; Overdue of requests that the module has not answered.
	Ended   func(*request.Request, request.Final)
	Overdue func(*request.Request)

	live map[string]*request.Request
}

// Owe begins a request's time.
func (s *Stage) Owe(r *request.Request) {
	if s.live == nil {
		s.live = map[string]*request.Request{}
	}
	s.live[r.ID] = r
	// Guards rule 1: whatever goes wrong above, the client gets an answer before it gives up.
	r.Guard = s.Loop.At(r.Deadline+s.Grace, func() {
		r.Guard = nil
		s.Finish(r, s.Honest(r, "deadline passed"))
		s.Overdue(r)
	})
}

// Live is the number of requests owed an answer.
func (s *Stage) Live() int { return len(s.live) }

// Get returns a live request or nil.
func (s *Stage) Get(id string) *request.Request { return s.live[id] }

// Finish gives the final answer; later ones are dropped.
func (s *Stage) Finish(r *request.Request, f request.Final) {
	if r == nil || r.Final {
		return
	}
	r.Final = true
	delete(s.live, r.ID)
	s.Loop.Stop(r.Guard)
	if f.Verdict != request.Left {
		r.Client.Finish(f)
	}
	s.Ended(r, f)
}

// Honest is the answer that may be given whatever the class: a refusal only where nothing has run, as by what is only prepared.
func (s *Stage) Honest(r *request.Request, reason string) request.Final {
	if !r.Auxiliary && (r.MayHaveRun || r.Out) {
		return request.Final{Verdict: request.Failed, Reason: reason}
	}
	return request.Final{Verdict: request.Refused, Reason: reason}
}

// All are the live requests.
func (s *Stage) All() []*request.Request { return slices.Collect(maps.Values(s.live)) }
