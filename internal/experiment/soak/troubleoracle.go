package soak

import (
	"slices"
	"time"
)

// isRepeat reports whether an attempt is that of the request that was sent again.
func (x *requestRecord) isRepeat(a *attemptRecord) bool {
	return !x.repeatedAt.IsZero() && a.sentAt.After(x.repeatedAt)
}

// checkMemory checks the memory of every process of the gateways.
func (o *oracle) checkMemory() {
	for _, g := range o.run.gateways {
		for _, m := range g.memory {
			kb, at := m.peak()
			o.report.PeakMemoryKB = max(o.report.PeakMemoryKB, kb)
			if o.run.CheckMemory && kb > o.run.MemoryMB<<10 {
				o.violation(RuleMemory, at, "gateway %d had %d KB of %d MB", g.index, kb, o.run.MemoryMB)
			}
		}
	}
}

// checkTroubles checks what the gateways owe clients that make trouble.
func (o *oracle) checkTroubles() {
	for _, h := range o.run.records.halves {
		if took := h.endedAt.Sub(h.stoppedAt); took > badClientLimit+o.slack(h.gateway, h.endedAt) && !o.ended(h.gateway, h.process) {
			o.violation(RuleHalf, h.endedAt, "gateway %d: %v after half a message: %v", h.gateway, took.Round(time.Millisecond), h.err)
		}
	}
	for _, x := range o.run.records.repeats {
		if x.answered < x.orders && !o.ended(x.gateway, x.process) {
			o.violation(RuleLost, x.sentAt, "gateway %d: %d of %d orders that came again were answered: %v", x.gateway, x.answered, x.orders, x.err)
		}
	}
}

// ended reports whether a process of a gateway was ended by a signal before the run's end.
func (o *oracle) ended(gateway, process int) bool {
	for _, e := range o.run.gateways[gateway].ends {
		if e.process == process {
			return e.endedAt.Before(o.run.startedAt.Add(o.run.Duration))
		}
	}
	return false
}

// compareLatencies compares the usual clients' latency during the troubles with that before them. Databases that have to
// serve the troubles' sound requests are slower for all; they don't count.
func (o *oracle) compareLatencies() {
	if !o.run.Compare {
		return
	}
	from, until := o.run.startedAt.Add(calmTime), o.run.startedAt.Add(calmTime+troubleTime)
	var before, during, troubled []time.Duration
	for _, x := range o.run.records.requests {
		switch took := x.endedAt.Sub(x.sentAt); {
		case x.answer == left:
		case x.sentAt.Before(from):
			before = append(before, took)
		case x.sentAt.Before(until) && x.group == troubledGroup:
			troubled = append(troubled, took)
		case x.sentAt.Before(until):
			during = append(during, took)
		}
	}
	o.report.P99Before, o.report.P99During, o.report.P99Troubled = highPercentile(before), highPercentile(during), highPercentile(troubled)
	if o.report.P99During > maxSlowdown*o.report.P99Before+socketSlack+o.report.LongestStall+o.report.LongestRunDelay {
		o.violation(RuleSlowed, from, "the 99th percentile of the latency went from %v to %v", o.report.P99Before.Round(time.Millisecond),
			o.report.P99During.Round(time.Millisecond))
	}
}

func highPercentile(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(percentile*float64(len(latencies)-1))]
}
