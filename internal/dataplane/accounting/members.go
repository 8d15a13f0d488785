package accounting

import (
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	memberLinesPerSecond = 5  // log lines on members, of each kind
	memberLineBurst      = 40 // as many at once, for instance when a zone is lost
)

// lineLimit bounds how often a kind of line is logged.
type lineLimit struct {
	limiter *rate.Limiter
	dropped int // since the last line
}

func newLineLimit() lineLimit {
	return lineLimit{limiter: rate.NewLimiter(memberLinesPerSecond, memberLineBurst)}
}

// take reports whether a line may be logged now, and how many were dropped before it.
func (l *lineLimit) take(now aspenshed.Nanos) (dropped int, ok bool) {
	if !l.limiter.AllowN(time.Unix(0, int64(now)), 1) {
		l.dropped++
		return 0, false
	}
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}

// CountMemberState counts and logs that the router sees a member in another state.
func (s *Stage) CountMemberState(e aspenshed.MemberStateChanged) {
	s.Counts.MemberStates[e.To]++
	if dropped, ok := s.stateLines.take(s.Loop.Now()); ok {
		s.Log.WithFields(logrus.Fields{"member": e.Member, "from": e.From.String(), "to": e.To.String(), "cause": e.Cause.String(),
			"dropped": dropped}).Info("member state changed")
	}
}

// CountPrimaryChange counts and logs that another member is trusted as the primary of a group, or none.
func (s *Stage) CountPrimaryChange(e aspenshed.PrimaryChanged) {
	s.Counts.PrimaryChanges[e.Source]++
	if dropped, ok := s.primaryLines.take(s.Loop.Now()); ok {
		s.Log.WithFields(logrus.Fields{"group": e.Group, "member": e.Member, "trusted": e.Trusted, "source": e.Source.String(),
			"age_ms": e.Age / 1e6, "dropped": dropped}).Info("primary changed")
	}
}

// LogMembersClock logs that the clock of the members differs from this machine's.
func (s *Stage) LogMembersClock(e aspenshed.MembersClockChanged) {
	if dropped, ok := s.clockLines.take(s.Loop.Now()); ok {
		s.Log.WithFields(logrus.Fields{"ahead_ms": e.Lead / 1e6, "dropped": dropped}).Warn("clock differs from the members'")
	}
}

// CountSlowStart counts and logs what a warming member was sent.
func (s *Stage) CountSlowStart(e aspenshed.SlowStartReport) {
	c := &s.Counts.SlowStart
	c.Attempts += e.Sent.Attempts
	c.Retries += e.Sent.Retries
	c.Probes += e.Sent.Probes
	c.Rejected += e.Sent.Rejected
	c.Unreachable += e.Sent.Unreachable
	c.Served += e.Sent.Served
	c.RandomShare += e.Sent.RandomShare
	c.Work += e.Sent.Work
	c.ServedWork += e.Sent.ServedWork
	now := s.Loop.Now()
	dropped, ok := s.slowStartLines.take(now)
	if !ok {
		return
	}
	s.Log.WithFields(logrus.Fields{"member": e.Member, "age_ms": e.Age / 1e6, "learned_ms_ago": (now - e.LearnedAt) / 1e6,
		"source": e.Source.String(), "capacity": round(e.Capacity), "budget": round(e.Budget), "left": round(e.Left),
		"rate_group": round(e.Estimates.Group), "rate_agreed": round(e.Estimates.Agreed),
		"rate_other_groups": round(e.Estimates.OtherGroups), "rate_requests": round(e.Estimates.Requests), "rate_proven": round(e.Estimates.Proven),
		"attempts": e.Sent.Attempts, "retries": e.Sent.Retries, "probes": e.Sent.Probes, "rejected": e.Sent.Rejected,
		"unreachable": e.Sent.Unreachable, "served": e.Sent.Served, "work": round(e.Sent.Work),
		"random_share": e.Sent.RandomShare, "dropped": dropped}).Info("slow start")
}

// round keeps three decimals, so that log lines stay short.
func round(x float64) float64 { return float64(int64(x*1000+0.5)) / 1000 }

// TraceQueued logs at debug level why a request waits for a member.
func (s *Stage) TraceQueued(externalID string, cause aspenshed.Cause) {
	if s.DebugEnabled() {
		s.Log.WithFields(logrus.Fields{"id": externalID, "cause": cause.String()}).Debug("request queued")
	}
}

// TraceAttempt logs at debug level that an attempt starts. Attempt 0 is the first, later ones are retries.
func (s *Stage) TraceAttempt(externalID, member string, attempt int) {
	if s.DebugEnabled() {
		s.Log.WithFields(logrus.Fields{"id": externalID, "member": member, "attempt": attempt}).Debug("attempt started")
	}
}
