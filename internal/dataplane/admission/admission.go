// Package admission is the second stage: it bounds the number of pending requests. Which requests to shed under load is
// decided by the router.
package admission

import "aspenshed/internal/dataplane/request"

// Stage admits requests.
type Stage struct {
	MaxPending int        // limit of pending requests
	Pending    func() int // current number of pending requests
	Track      func(*request.Request)
	Refuse     func(*request.Request, request.Response)
	Next       func(*request.Request)
}

// Admit starts to track the request, which gets exactly one response from here on, and refuses it if there are too many
// pending requests. It must be called on the event loop.
func (s *Stage) Admit(r *request.Request) {
	s.Track(r)
	if s.Pending() > s.MaxPending {
		s.Refuse(r, request.Response{Status: request.Refused, Reason: "too many requests held"})
		return
	}
	s.Next(r)
}
