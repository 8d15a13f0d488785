// Package accounting is the last stage: it counts what became of requests and
// attempts and writes the lines that on-call staff read.
package accounting

import (
	"strings"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

// Counts are totals since the start.
type Counts struct {
	Accepted, Served, Refused, Failed, ClientGone, Rejected uint64
	PrepareOnly, Attempts, Probes                           uint64
	Outcomes, ProbeOutcomes                                 [aspenshed.UnknownOutcome + 1]uint64
}

// Stage counts. All of it runs on the loop.
type Stage struct {
	Loop   *eventloop.Loop
	Log    *logrus.Entry
	Counts Counts
	last   Counts

	rejectLogLimit rate.Sometimes // bad clients come by hundreds: they must not fill the log
	unlogged       int
	loggedNames    map[string]bool // what a request named that is not known here, as logged
}

// maxLoggedNames is how many unknown names are logged: clients may send any number of them.
const maxLoggedNames = 64

// New makes a Stage.
func New(loop *eventloop.Loop, log *logrus.Entry) Stage {
	return Stage{Loop: loop, Log: log, rejectLogLimit: rate.Sometimes{First: 10, Interval: time.Second}}
}

var outcomeNames = [...]string{aspenshed.Served: "served", aspenshed.ErrorResponse: "errored", aspenshed.Overloaded: "full", aspenshed.TimedOut: "timed_out",
	aspenshed.ConnectFailed: "no_link", aspenshed.ConnectionLost: "link_broke", aspenshed.Cancelled: "cancelled", aspenshed.NotSent: "not_sent",
	aspenshed.Ineligible: "turned", aspenshed.StatementError: "rejected", aspenshed.UnknownOutcome: "unknown"}

var statusNames = [...]string{request.Served: "served", request.Refused: "refused", request.Failed: "failed", request.ClientGone: "left"}

// CountRequest counts a request.
func (s *Stage) CountRequest(r *request.Request) {
	if r.PrepareOnly {
		s.Counts.PrepareOnly++
	} else {
		s.Counts.Accepted++
	}
}

// CountResponse counts a final answer.
func (s *Stage) CountResponse(r *request.Request, f request.Response) {
	if r.PrepareOnly {
		return
	}
	switch f.Status {
	case request.Served:
		s.Counts.Served++
	case request.Refused:
		s.Counts.Refused++
	case request.Failed:
		s.Counts.Failed++
	case request.ClientGone:
		s.Counts.ClientGone++
	}
	if s.debugEnabled() {
		now := s.Loop.Now()
		s.Log.WithFields(logrus.Fields{"id": r.ExternalID, "class": r.Class, "group": r.Group, "verdict": statusNames[f.Status],
			"attempts": r.Attempts, "reason": f.Reason, "took_ms": (now - r.ArrivedAt) / 1e6, "left_ms": (r.Deadline - now) / 1e6}).
			Debug("request ended")
	}
}

// debugEnabled guards the ordinary path against the cost of lines that nobody reads.
func (s *Stage) debugEnabled() bool { return s.Log.Logger.IsLevelEnabled(logrus.DebugLevel) }

// CountRejected counts bad input. What is not known here, a class or tenant say, is logged once by its name.
func (s *Stage) CountRejected(reason string) {
	s.Counts.Rejected++
	s.unlogged++
	line := func() {
		s.Log.WithFields(logrus.Fields{"reason": reason, "more": s.unlogged - 1}).Warn("bad request rejected")
		s.unlogged = 0
	}
	switch {
	case !strings.HasPrefix(reason, "unknown "):
		s.rejectLogLimit.Do(line)
	case !s.loggedNames[reason] && len(s.loggedNames) < maxLoggedNames:
		if s.loggedNames == nil {
			s.loggedNames = map[string]bool{}
		}
		s.loggedNames[reason] = true
		line()
	}
}

// CountAttempt counts an attempt's end.
func (s *Stage) CountAttempt(q *request.Request, member string, r request.Result) {
	s.Counts.Attempts++
	s.Counts.Outcomes[r.Outcome]++
	if s.debugEnabled() {
		s.Log.WithFields(logrus.Fields{"id": q.ExternalID, "class": q.Class, "member": member, "outcome": outcomeNames[r.Outcome],
			"detail": r.Detail, "took_ms": r.Elapsed / 1e6, "lay_ms": r.IdleTime / 1e6, "role": r.Role,
			"begun_ms": (s.Loop.Now() - r.Elapsed - q.ArrivedAt) / 1e6}).Debug("attempt ended")
	}
}

// CountProbe counts a probe's end.
func (s *Stage) CountProbe(member string, r request.Result) {
	s.Counts.Probes++
	s.Counts.ProbeOutcomes[r.Outcome]++
}

// LogCounts logs what has changed since the last time.
func (s *Stage) LogCounts(live int) {
	c := s.Counts
	if c == s.last {
		return
	}
	f := logrus.Fields{"live": live, "taken": c.Accepted - s.last.Accepted, "served": c.Served - s.last.Served,
		"refused": c.Refused - s.last.Refused, "failed": c.Failed - s.last.Failed, "left": c.ClientGone - s.last.ClientGone,
		"rejected": c.Rejected - s.last.Rejected}
	add := func(prefix string, now, old [aspenshed.UnknownOutcome + 1]uint64) {
		for i, n := range now {
			if n > old[i] {
				f[prefix+outcomeNames[i]] = n - old[i]
			}
		}
	}
	if n := c.PrepareOnly - s.last.PrepareOnly; n > 0 {
		f["prepared"] = n
	}
	add("a_", c.Outcomes, s.last.Outcomes)
	add("p_", c.ProbeOutcomes, s.last.ProbeOutcomes)
	s.last = c
	s.Log.WithFields(f).Info("counts")
}
