// Package accounting is the last stage: it counts the results of requests, attempts and probes, and logs them for
// operators.
package accounting

import (
	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Counts are totals since the start.
type Counts struct {
	Accepted, Served, Refused, Failed, ClientGone, Rejected uint64
	PrepareOnly, Attempts, Probes                           uint64
	Outcomes, ProbeOutcomes                                 [aspenshed.UnknownOutcome + 1]uint64
	Causes                                                  [aspenshed.CauseCount]uint64       // of refusals and failures
	MemberStates                                            [aspenshed.PhaseRemoved + 1]uint64 // changes, by the new state
	PrimaryChanges                                          [aspenshed.RoleSourceCount]uint64  // by what they were learned from
	SlowStart                                               aspenshed.SlowStartCounts
	ClientCloses                                            [request.CloseReasonCount]uint64 // client connections that ended, by reason
	Shed                                                    uint64                           // commands refused for want of memory
	Unanswered                                              uint64                           // commands without a response on client connections that the gateway closed
}

// Stage counts results. All methods must be called on the event loop.
type Stage struct {
	Loop   *eventloop.Loop
	Log    *logrus.Entry
	Counts Counts
	last   Counts

	// ReadPressure, if set, returns what clients have taken of the process's memory and time since its last call.
	ReadPressure func() Pressure
	LastPressure Pressure // at the last LogCounts

	rejections     rejections
	stateLines     lineLimit
	slowStartLines lineLimit
	clockLines     lineLimit
	primaryLines   lineLimit
}

// New returns a Stage.
func New(loop *eventloop.Loop, log *logrus.Entry) Stage {
	return Stage{Loop: loop, Log: log, rejections: newRejections(),
		stateLines: newLineLimit(), slowStartLines: newLineLimit(), clockLines: newLineLimit(), primaryLines: newLineLimit()}
}

var outcomeNames = [...]string{aspenshed.Served: "served", aspenshed.ErrorResponse: "errored", aspenshed.Overloaded: "full", aspenshed.TimedOut: "timed_out",
	aspenshed.ConnectFailed: "no_link", aspenshed.ConnectionLost: "link_broke", aspenshed.Cancelled: "cancelled", aspenshed.NotSent: "not_sent",
	aspenshed.Ineligible: "turned", aspenshed.StatementError: "rejected", aspenshed.UnknownOutcome: "unknown"}

var statusNames = [...]string{request.Served: "served", request.Refused: "refused", request.Failed: "failed", request.ClientGone: "left"}

// CountRequest counts a request that was accepted.
func (s *Stage) CountRequest(r *request.Request) {
	if r.PrepareOnly {
		s.Counts.PrepareOnly++
	} else {
		s.Counts.Accepted++
	}
}

// CountResponse counts a response and logs it at debug level.
func (s *Stage) CountResponse(r *request.Request, resp request.Response) {
	if r.PrepareOnly {
		return
	}
	switch resp.Status {
	case request.Served:
		s.Counts.Served++
	case request.Refused:
		s.Counts.Refused++
	case request.Failed:
		s.Counts.Failed++
	case request.ClientGone:
		s.Counts.ClientGone++
	}
	if resp.Status == request.Refused || resp.Status == request.Failed {
		s.Counts.Causes[resp.Cause]++
	}
	if s.DebugEnabled() {
		now := s.Loop.Now()
		s.Log.WithFields(logrus.Fields{"id": r.ExternalID, "class": r.Class, "group": r.Group, "verdict": statusNames[resp.Status],
			"attempts": r.Attempts, "reason": resp.Reason, "cause": resp.Cause.String(), "took_ms": (now - r.ArrivedAt) / 1e6, "left_ms": (r.Deadline - now) / 1e6}).
			Debug("request ended")
	}
}

// CountClientClose counts the end of a client connection and logs it at debug level; pending is the number of its commands
// that had no response.
func (s *Stage) CountClientClose(reason request.CloseReason, pending int) {
	s.Counts.ClientCloses[reason]++
	if reason != request.ClosedByClient {
		s.Counts.Unanswered += uint64(pending)
	}
	if s.DebugEnabled() {
		s.Log.WithFields(logrus.Fields{"reason": reason.String(), "pending": pending}).Debug("client connection closed")
	}
}

// CountShed counts a command that was refused because there was no memory for it.
func (s *Stage) CountShed() { s.Counts.Shed++ }

// DebugEnabled saves the cost of debug lines that would be dropped.
func (s *Stage) DebugEnabled() bool { return s.Log.Logger.IsLevelEnabled(logrus.DebugLevel) }

// CountAttempt counts the result of an attempt and logs it at debug level.
func (s *Stage) CountAttempt(r *request.Request, member string, res request.Result) {
	s.Counts.Attempts++
	s.Counts.Outcomes[res.Outcome]++
	if s.DebugEnabled() {
		s.Log.WithFields(logrus.Fields{"id": r.ExternalID, "class": r.Class, "member": member, "outcome": outcomeNames[res.Outcome],
			"detail": res.Detail, "took_ms": res.Elapsed / 1e6, "lay_ms": res.IdleTime / 1e6, "role": res.Role,
			"begun_ms": (s.Loop.Now() - res.Elapsed - r.ArrivedAt) / 1e6}).Debug("attempt ended")
	}
}

// CountProbe counts the result of a probe.
func (s *Stage) CountProbe(member string, res request.Result) {
	s.Counts.Probes++
	s.Counts.ProbeOutcomes[res.Outcome]++
}

// LogCounts logs the changes since its last call, if there are any.
func (s *Stage) LogCounts(pending int) {
	c := s.Counts
	if s.ReadPressure != nil {
		s.LastPressure = s.ReadPressure()
	}
	if c == s.last {
		return
	}
	fields := logrus.Fields{"live": pending, "taken": c.Accepted - s.last.Accepted, "served": c.Served - s.last.Served,
		"refused": c.Refused - s.last.Refused, "failed": c.Failed - s.last.Failed, "left": c.ClientGone - s.last.ClientGone,
		"rejected": c.Rejected - s.last.Rejected}
	add := func(prefix string, now, before [aspenshed.UnknownOutcome + 1]uint64) {
		for i, n := range now {
			if n > before[i] {
				fields[prefix+outcomeNames[i]] = n - before[i]
			}
		}
	}
	if n := c.PrepareOnly - s.last.PrepareOnly; n > 0 {
		fields["prepared"] = n
	}
	add("a_", c.Outcomes, s.last.Outcomes)
	add("p_", c.ProbeOutcomes, s.last.ProbeOutcomes)
	for i, n := range c.Causes {
		if n > s.last.Causes[i] {
			fields["r_"+aspenshed.Cause(i).String()] = n - s.last.Causes[i]
		}
	}
	for i, n := range c.ClientCloses {
		if n > s.last.ClientCloses[i] {
			fields["c_"+request.CloseReason(i).String()] = n - s.last.ClientCloses[i]
		}
	}
	if n := c.Shed - s.last.Shed; n > 0 {
		fields["shed"] = n
	}
	if n := c.Unanswered - s.last.Unanswered; n > 0 {
		fields["unanswered"] = n
	}
	s.LastPressure.addTo(fields)
	s.rejections.addTo(fields)
	s.last = c
	s.Log.WithFields(fields).Info("counts")
}
