// Package relay is the stage that answers: it knows every request that is owed
// a final answer and gives each exactly one, in time.
package relay

import (
	"maps"
	"slices"

	nc "aspenshed"

	"aspenshed/internal/core"
)

// Stage owes the final answers. All of it runs on the loop.
type Stage struct {
	Loop *core.Loop
	// Grace past the deadline after which a request is answered without the module.
	Grace nc.Nanos
	// Ended hears of every final answer; Overdue of requests that the module has not answered.
	Ended   func(*core.Request, core.Final)
	Overdue func(*core.Request)

	live map[string]*core.Request
}

// Owe begins a request's time.
func (s *Stage) Owe(r *core.Request) {
	if s.live == nil {
		s.live = map[string]*core.Request{}
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
func (s *Stage) Get(id string) *core.Request { return s.live[id] }

// Finish gives the final answer; later ones are dropped.
func (s *Stage) Finish(r *core.Request, f core.Final) {
	if r == nil || r.Final {
		return
	}
	r.Final = true
	delete(s.live, r.ID)
	s.Loop.Stop(r.Guard)
	if f.Verdict != core.Left {
		r.Client.Finish(f)
	}
	s.Ended(r, f)
}

// Honest is the answer that may be given whatever the class: a refusal only where nothing has run, as by what is only prepared.
func (s *Stage) Honest(r *core.Request, reason string) core.Final {
	if !r.Auxiliary && (r.MayHaveRun || r.Out) {
		return core.Final{Verdict: core.Failed, Reason: reason}
	}
	return core.Final{Verdict: core.Refused, Reason: reason}
}

// All are the live requests.
func (s *Stage) All() []*core.Request { return slices.Collect(maps.Values(s.live)) }
