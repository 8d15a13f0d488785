// Package accept is the first stage: it takes a parsed query in, turns away
// what the settings do not know, and names the request.
package accept

import (
	"fmt"
	"strconv"

	"aspenshed"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Stage takes queries in.
type Stage struct {
	Loop     *eventloop.Loop
	Settings *aspenshed.Settings
	// KnownGroup tells whether some member list has named the group.
	KnownGroup func(int) bool
	// Reject answers a query that is no request; Next is the stage after this one.
	Reject func(request.Query, string)
	Next   func(*request.Request)

	accepted uint64
	openIDs  map[string]bool // names of requests that hold something here or at a member
}

// Accept runs on the loop. It returns nil for a query that it has rejected.
// arrived is when the query's last byte was read.
func (s *Stage) Accept(q request.Query, arrived aspenshed.Nanos) *request.Request {
	if problem := s.validate(&q); problem != "" {
		s.Reject(q, problem)
		return nil
	}
	s.accepted++
	// Clients name requests as they like, maybe twice: the module gets a name of our own.
	if q.ExternalID != "" {
		if s.openIDs == nil {
			s.openIDs = map[string]bool{}
		}
		s.openIDs[q.ExternalID] = true
	}
	req := &request.Request{Query: q, ID: strconv.FormatUint(s.accepted, 36), ArrivedAt: arrived, Deadline: arrived + q.Timeout}
	s.Next(req)
	return req
}

func (s *Stage) validate(q *request.Query) string {
	switch {
	case q.Class < 0 || q.Class >= len(s.Settings.Classes):
		return "unknown class"
	case q.Tenant < 0 || q.Tenant > 0 && q.Tenant >= len(s.Settings.Tenants):
		return "unknown tenant"
	case !s.KnownGroup(q.Group):
		return fmt.Sprintf("unknown group %d", q.Group)
	case q.Timeout <= 0:
		return "no time to wait"
	case s.openIDs[q.ExternalID]:
		// Guards "one attempt out per request": a member can't tell this one from a second copy of the first.
		return "id of a request that is still open"
	}
	q.Timeout = min(q.Timeout, s.Settings.Classes[q.Class].ClientTimeout)
	return ""
}

// ReleaseID says that a request has its answer and no attempt of it is out: its name may come again.
func (s *Stage) ReleaseID(r *request.Request) { delete(s.openIDs, r.ExternalID) }
