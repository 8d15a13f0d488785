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
	Taken, Served, Refused, Failed, Left, Rejected uint64
	Auxiliary, Attempts, Probes                    uint64
	Outcomes, ProbeOutcomes                        [aspenshed.UnknownOutcome + 1]uint64
}

// Stage counts. All of it runs on the loop.
type Stage struct {
	Loop   *eventloop.Loop
	Log    *logrus.Entry
	Counts Counts
	last   Counts

	logRejected rate.Sometimes // bad clients come by hundreds: they must not fill the log
	unlogged    int
	named       map[string]bool // what a request named that is not known here, as logged
}

// mostNamed is how many unknown names are logged: clients may send any number of them.
const mostNamed = 64

// New makes a Stage.
func New(loop *eventloop.Loop, log *logrus.Entry) Stage {
	return Stage{Loop: loop, Log: log, logRejected: rate.Sometimes{First: 10, Interval: time.Second}}
}

var outcomeNames = [...]string{aspenshed.Served: "served", aspenshed.ErrorResponse: "errored", aspenshed.Overloaded: "full", aspenshed.TimedOut: "timed_out",
	aspenshed.ConnectFailed: "no_link", aspenshed.ConnectionLost: "link_broke", aspenshed.Cancelled: "cancelled", aspenshed.NotSent: "not_sent",
	aspenshed.Ineligible: "turned", aspenshed.StatementError: "rejected", aspenshed.UnknownOutcome: "unknown"}

var verdictNames = [...]string{request.Served: "served", request.Refused: "refused", request.Failed: "failed", request.Left: "left"}

// Took counts a request.
func (s *Stage) Took(r *request.Request) {
	if r.Auxiliary {
		s.Counts.Auxiliary++
	} else {
		s.Counts.Taken++
	}
}

// Ended counts a final answer.
func (s *Stage) Ended(r *request.Request, f request.Final) {
	if r.Auxiliary {
		return
	}
	switch f.Verdict {
	case request.Served:
		s.Counts.Served++
	case request.Refused:
		s.Counts.Refused++
	case request.Failed:
		s.Counts.Failed++
	case request.Left:
		s.Counts.Left++
	}
	if s.tracing() {
		now := s.Loop.Now()
		s.Log.WithFields(logrus.Fields{"id": r.Name, "class": r.Class, "group": r.Group, "verdict": verdictNames[f.Verdict],
			"attempts": r.Attempts, "reason": f.Reason, "took_ms": (now - r.Arrived) / 1e6, "left_ms": (r.Deadline - now) / 1e6}).
			Debug("request ended")
	}
}

// tracing guards the ordinary path against the cost of lines that nobody reads.
func (s *Stage) tracing() bool { return s.Log.Logger.IsLevelEnabled(logrus.DebugLevel) }

// Rejected counts bad input. What is not known here, a class or tenant say, is logged once by its name.
func (s *Stage) Rejected(reason string) {
	s.Counts.Rejected++
	s.unlogged++
	line := func() {
		s.Log.WithFields(logrus.Fields{"reason": reason, "more": s.unlogged - 1}).Warn("bad request rejected")
		s.unlogged = 0
	}
	switch {
	case !strings.HasPrefix(reason, "unknown "):
		s.logRejected.Do(line)
	case !s.named[reason] && len(s.named) < mostNamed:
		if s.named == nil {
			s.named = map[string]bool{}
		}
		s.named[reason] = true
		line()
	}
}

// Attempt counts an attempt's end.
func (s *Stage) Attempt(q *request.Request, member string, r request.Result) {
	s.Counts.Attempts++
	s.Counts.Outcomes[r.Outcome]++
	if s.tracing() {
		s.Log.WithFields(logrus.Fields{"id": q.Name, "class": q.Class, "member": member, "outcome": outcomeNames[r.Outcome],
			"detail": r.Detail, "took_ms": r.Took / 1e6, "lay_ms": r.Lay / 1e6, "role": r.Role,
			"begun_ms": (s.Loop.Now() - r.Took - q.Arrived) / 1e6}).Debug("attempt ended")
	}
}

// Probe counts a probe's end.
func (s *Stage) Probe(member string, r request.Result) {
	s.Counts.Probes++
	s.Counts.ProbeOutcomes[r.Outcome]++
}

// Write logs what has changed since the last time.
func (s *Stage) Write(live int) {
	c := s.Counts
	if c == s.last {
		return
	}
	f := logrus.Fields{"live": live, "taken": c.Taken - s.last.Taken, "served": c.Served - s.last.Served,
		"refused": c.Refused - s.last.Refused, "failed": c.Failed - s.last.Failed, "left": c.Left - s.last.Left,
		"rejected": c.Rejected - s.last.Rejected}
	add := func(prefix string, now, old [aspenshed.UnknownOutcome + 1]uint64) {
		for i, n := range now {
			if n > old[i] {
				f[prefix+outcomeNames[i]] = n - old[i]
			}
		}
	}
	if n := c.Auxiliary - s.last.Auxiliary; n > 0 {
		f["prepared"] = n
	}
	add("a_", c.Outcomes, s.last.Outcomes)
	add("p_", c.ProbeOutcomes, s.last.ProbeOutcomes)
	s.last = c
	s.Log.WithFields(f).Info("counts")
}
