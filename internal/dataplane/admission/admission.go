// Package admission is the second stage: it bounds what the gateway holds at once.
// Whether a request is worth taking on is for the decision module.
package admission

import "aspenshed/internal/dataplane/request"

// Stage admits requests.
type Stage struct {
	Most int        // requests held at once
	Live func() int // how many are held now
	Owe  func(*request.Request)
	Turn func(*request.Request, request.Final) // turns one away
	Next func(*request.Request)
}

// Admit runs on the loop. From here on the request is owed one final answer.
func (s *Stage) Admit(r *request.Request) {
	s.Owe(r)
	if s.Live() > s.Most {
		s.Turn(r, request.Final{Verdict: request.Refused, Reason: "too many requests held"})
		return
	}
	s.Next(r)
}
