// Package admission is the second stage: it bounds what the gateway holds at once.
// Whether a request is worth taking on is for the decision module.
package admission

import "aspenshed/internal/dataplane/request"

// Stage admits requests.
type Stage struct {
	MaxPending int        // requests held at once
	Pending    func() int // how many are held now
	Track      func(*request.Request)
	Refuse     func(*request.Request, request.Response) // turns one away
	Next       func(*request.Request)
}

// Admit runs on the loop. From here on the request is owed one final answer.
func (s *Stage) Admit(r *request.Request) {
	s.Track(r)
	if s.Pending() > s.MaxPending {
		s.Refuse(r, request.Response{Status: request.Refused, Reason: "too many requests held"})
		return
	}
	s.Next(r)
}
