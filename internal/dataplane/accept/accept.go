// Package accept is the first stage: it validates a parsed query against the settings and makes it a request with
// a unique ID.
package accept

import (
	"fmt"
	"strconv"

	"aspenshed"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Stage accepts queries.
type Stage struct {
	Loop     *eventloop.Loop
	Settings *aspenshed.Settings
	// KnownGroup reports whether the group has appeared in a member list.
	KnownGroup func(int) bool
	// Reject responds to an invalid query; Next passes a request to the next stage.
	Reject func(request.Query, string)
	// Refuse responds to a query that can't be taken now.
	Refuse func(request.Query, string)
	Next   func(*request.Request)

	accepted uint64
	openIDs  map[string]bool // client-chosen IDs of requests without a response or with a running attempt
	executed *executedIDs
}

// Accept validates a query and passes it on as a request. It returns nil if the query is rejected. arrivedAt is when
// the last byte of the query was read. Accept must be called on the event loop.
func (s *Stage) Accept(q request.Query, arrivedAt aspenshed.Nanos) *request.Request {
	s.initialize()
	if reason := s.validate(&q); reason != "" {
		s.Reject(q, reason)
		return nil
	}
	if q.ExternalID != "" {
		if !s.mayRepeat(q.Class) && s.executed.full(s.Loop.Now()) {
			s.Refuse(q, "too many requests that must not run twice")
			return nil
		}
		s.openIDs[q.ExternalID] = true
	}
	// Client-chosen IDs need not be unique over time, so the router gets a generated one.
	s.accepted++
	req := &request.Request{Query: q, ID: strconv.FormatUint(s.accepted, 36), ArrivedAt: arrivedAt, Deadline: arrivedAt + q.Timeout}
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
		// A member couldn't tell this request from a second copy of the first, of which only one attempt may run.
		return "id of a request that is still open"
	case q.ExternalID != "" && !s.mayRepeat(q.Class) && s.executed.contains(s.Loop.Now(), q.ExternalID):
		return "id of a request that may have run"
	}
	q.Timeout = min(q.Timeout, s.Settings.Classes[q.Class].ClientTimeout)
	return ""
}

func (s *Stage) initialize() {
	if s.openIDs == nil {
		s.openIDs, s.executed = map[string]bool{}, newExecutedIDs(s.Settings.Classes)
	}
}

// mayRepeat reports whether requests of a class may run more than once.
func (s *Stage) mayRepeat(class int) bool {
	return s.Settings.Classes[class].RetrySafety == aspenshed.Safe
}

// ReleaseID frees the client-chosen ID of a request that has its response and no running attempt. If the request may have
// run and must not run twice, the ID is remembered.
func (s *Stage) ReleaseID(r *request.Request) {
	delete(s.openIDs, r.ExternalID)
	if r.ExternalID != "" && (r.MayHaveRun || r.InFlight) && !s.mayRepeat(r.Class) {
		s.initialize()
		s.executed.add(s.Loop.Now(), r.ExternalID)
	}
}
