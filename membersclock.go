package aspenshed

// This file relates the router's clock to that of the members. Positions are instants of the members' clock. The router's
// clock is read once, at the start, and is wrong from then on if the machine's clock was wrong in that moment.

import "slices"

const (
	// leadTolerance is how much the lead differs between reports of one member: reports are up to 200 ms old.
	leadTolerance = 250 * ms
	// leadConfirmations is how many reports in a row show a lead that is believed. A single one may be an error.
	leadConfirmations = 3
	// maxClockDoubt is how long an unconfirmed lead keeps reads from replicas.
	maxClockDoubt = 1000 * ms
	// minDelayShown is the least delay of the members' clock that is corrected: replicas lag, and positions stand still for
	// a moment while there is no primary.
	minDelayShown = 2000 * ms
	// maxClockDifference bounds what is taken for a difference of clocks. Positions further off are no times.
	maxClockDifference = 25 * 3600 * 1000 * ms
	// delayWindow is how long all primaries have to show the same delay before it is corrected.
	delayWindow = 1000 * ms
)

// membersClock estimates how far the members' clock is ahead of the router's.
type membersClock struct {
	lead       Nanos // negative: it is behind
	doubtUntil Nanos // until then a later lead is shown by some member, but not confirmed
	observed   bool  // some member has reported a position
	leastLead  Nanos // if observed: the lead is at least this, as no position is later than the present
	delay      delayEvidence
}

// provenLead is how far the members' clock is ahead at least. Until a position is known it is taken as equal.
func (c *membersClock) provenLead() Nanos {
	if !c.observed {
		return c.lead
	}
	return c.leastLead
}

// reportLead is the lead by which reports are dated. While reports show the members' clock to be behind the estimate, but
// the estimate is not corrected, it is theirs.
func (c *membersClock) reportLead() Nanos {
	if c.lead-c.provenLead() > leadTolerance {
		return c.provenLead()
	}
	return c.lead
}

// leadEvidence counts the reports of a member in a row that show about the same lead over the estimate.
type leadEvidence struct {
	lead  Nanos
	count int
}

// delayEvidence holds the leads that were reported within one window.
type delayEvidence struct {
	since, last  Nanos // first and last report of a primary; since is 0 if there is none
	lowest       Nanos // of primaries
	highest      Nanos // of primaries
	highestOfAll Nanos
}

// membersNow returns the present by the members' clock.
func (r *Router) membersNow() Nanos { return r.now + r.clock.lead }

// lag returns how old the data of m was when m was last heard from.
func (r *Router) lag(m *member) Nanos { return m.lastHeardAt + r.clock.lead - m.position }

// observePosition takes a position that m reports. One that is later than the present changes the estimate of the members'
// clock, or is ignored until it is confirmed. It reports whether the position was taken.
func (r *Router) observePosition(m *member, position Nanos) bool {
	if lead := position - r.now; max(lead, -lead) > maxClockDifference {
		return lead < 0 // never fresh; its report may be right otherwise
	}
	r.observeDelay(m, position-r.now)
	ahead := position - r.membersNow()
	switch {
	case ahead <= positionMargin:
		r.dropLeadEvidence(m)
	case ahead <= leadTolerance:
		r.setClockLead(r.clock.lead + ahead)
	case !m.leadEvidence.confirm(ahead):
		r.clock.doubtUntil = r.now + maxClockDoubt
		return false
	default:
		r.setClockLead(r.clock.lead + ahead)
	}
	m.position = max(m.position, position-positionMargin)
	r.clock.raiseLeastLead(position - r.now)
	return true
}

// dropLeadEvidence forgets an unconfirmed lead that m has not shown again.
func (r *Router) dropLeadEvidence(m *member) {
	if m.leadEvidence.count == 0 {
		return
	}
	m.leadEvidence.count = 0
	if !slices.ContainsFunc(r.memberList, func(m *member) bool { return m.leadEvidence.count > 0 }) {
		r.clock.doubtUntil = 0
	}
}

// observeCommit takes a commit that a member has just made at that position, rounded up: the present is no earlier.
func (r *Router) observeCommit(position Nanos) {
	if lead := position - positionMargin - r.now; max(lead, -lead) <= maxClockDifference {
		r.clock.raiseLeastLead(lead)
	}
}

func (c *membersClock) raiseLeastLead(lead Nanos) {
	if !c.observed || lead > c.leastLead {
		c.observed, c.leastLead = true, lead
	}
}

// confirm adds a lead and reports whether it is confirmed.
func (e *leadEvidence) confirm(lead Nanos) bool {
	if difference := lead - e.lead; max(difference, -difference) > leadTolerance {
		e.count = 0
	}
	e.lead = lead
	e.count++
	return e.count >= leadConfirmations
}

// observeDelay corrects the estimate if the members' clock is behind it: all primaries, which have the latest data, show
// the same delay throughout a window, and no member shows less.
func (r *Router) observeDelay(m *member, lead Nanos) {
	e := &r.clock.delay
	if e.since != 0 {
		e.highestOfAll = max(e.highestOfAll, lead)
	}
	if m != m.group.primary || !m.group.primaryTrusted {
		return
	}
	if e.since == 0 || r.now > e.last+delayWindow {
		*e = delayEvidence{since: r.now, lowest: lead, highest: lead, highestOfAll: lead}
	}
	e.last, e.lowest, e.highest = r.now, min(e.lowest, lead), max(e.highest, lead)
	if r.now < e.since+delayWindow {
		return
	}
	// What was proven once stays true: if the delay is more than it allows, reports are late, and not the clock.
	possible := e.highestOfAll >= r.clock.provenLead()-leadTolerance
	if possible && e.highest-e.lowest <= leadTolerance && e.highestOfAll < r.clock.lead-minDelayShown {
		r.setClockLead(e.highestOfAll)
	}
	e.since = 0
}

// setClockLead sets the estimate. What members have reported so far stays: it is in terms of their clock.
func (r *Router) setClockLead(lead Nanos) {
	r.clock.lead, r.clock.doubtUntil = lead, 0
	for _, m := range r.memberList {
		m.leadEvidence.count = 0
	}
	if r.settings.Diagnostics {
		r.emit(MembersClockChanged{Lead: lead})
	}
}
