package soak

import (
	"fmt"
	"strings"
	"time"

	"aspenshed/internal/experiment/warmup"
)

// Rule is a rule that a gateway may break.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"       // a request without its answer
	RuleLeft      Rule = "left"       // an attempt that begins after the client has left
	RuleDuplicate Rule = "duplicate"  // a write that may run twice, or that is refused although it may have run
	RuleDrain     Rule = "drain"      // an attempt at a draining database after the grace
	RuleSlowStart Rule = "slow start" // a cold database got more than its budget
	RuleStale     Rule = "stale"      // a read of data that is too old
	RuleDeadline  Rule = "deadline"   // a database was told a longer deadline than the client has
	RuleExit      Rule = "exit"       // a gateway that ended by itself, or not in good order
	RuleLeak      Rule = "leak"       // descriptors that are still open when there is nothing to do
	RuleMemory    Rule = "memory"     // a gateway over its limit of memory
	RuleHalf      Rule = "half"       // a client that stopped in the middle of a request and got neither error nor end in time
	RuleSlowed    Rule = "slowed"     // usual clients that other clients slow down
)

const (
	maxLeaked    = 8  // descriptors, for discovery and what the runtime opens later
	maxDescribed = 20 // violations of one run that are described
	maxSlowdown  = 2  // of the 99th percentile of the usual clients' latency
	percentile   = 0.99
	sureToBeRead = 100 * time.Millisecond // a request that waited so long when its connection was closed had been read
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	At     time.Duration // since the load began
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3fs %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Report is the result of a run.
type Report struct {
	Plan         *Plan
	Violations   []Violation
	Answers      map[string]int  // requests by answer
	Attempts     int             // at databases
	Worst        warmup.Overload // the worst window of any start, among arrivals that count
	Starts       int             // of cold databases
	ServedCold   int             // requests served by databases while cold
	Fallen       int             // databases that fell, the rule broken or not
	LongestStall time.Duration   // of the soak's own process
	PeakMemoryKB int             // of any gateway
	// P99Before and P99During are latencies of the usual clients, where the plan compares them: at databases that get no
	// requests of clients that make trouble. P99Troubled is the latency at the others.
	P99Before, P99During, P99Troubled time.Duration
	// LongestRunDelay is how long a gateway waited for a processor at the longest.
	LongestRunDelay time.Duration
}

func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v\n  answers %v, %d attempts; %d cold starts, worst window %.2f of its limit, %d served while cold, %d fell; longest stall %v, run delay %v; memory %d MB, p99 %v and %v, at troubled databases %v",
		r.Plan, r.Answers, r.Attempts, r.Starts, r.Worst.Ratio, r.ServedCold, r.Fallen, r.LongestStall.Round(time.Millisecond), r.LongestRunDelay.Round(time.Millisecond),
		r.PeakMemoryKB>>10, r.P99Before.Round(time.Millisecond), r.P99During.Round(time.Millisecond), r.P99Troubled.Round(time.Millisecond))
	for i, v := range r.Violations {
		if i == maxDescribed {
			fmt.Fprintf(&b, "\n  and %d more", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "\n  %v", v)
	}
	return b.String()
}

// judge checks all records against the rules.
func (r *run) judge(stalls *stallMonitor) *Report {
	o := &oracle{run: r, stalls: stalls, report: &Report{Plan: r.Plan, Answers: map[string]int{}, Attempts: len(r.records.attempts),
		LongestStall: stalls.longest(), LongestRunDelay: r.longestRunDelay()}, attempts: map[string][]*attemptRecord{}, requests: map[string]*requestRecord{}}
	for _, a := range r.records.attempts {
		o.attempts[a.id] = append(o.attempts[a.id], a)
	}
	for _, x := range r.records.requests {
		o.requests[x.id] = x
		o.report.Answers[x.answer.String()]++
		o.checkAnswer(x)
		o.checkWrites(x)
	}
	for _, a := range r.records.attempts {
		o.checkAttempt(a)
	}
	o.checkBudgets()
	o.checkEnds()
	o.checkMemory()
	o.checkTroubles()
	o.compareLatencies()
	return o.report
}

type oracle struct {
	run      *run
	stalls   *stallMonitor
	report   *Report
	attempts map[string][]*attemptRecord // by request
	requests map[string]*requestRecord
}

func (o *oracle) violation(rule Rule, at time.Time, format string, args ...any) {
	o.report.Violations = append(o.report.Violations, Violation{rule, at.Sub(o.run.startedAt), fmt.Sprintf(format, args...)})
}

// slack is what a limit of a gateway may be exceeded by at that time, for the network and for stalls of this machine.
func (o *oracle) slack(gateway int, at time.Time) time.Duration {
	return socketSlack + o.stalled(gateway, at)
}

// stalled is how long this machine ran neither the soak nor the gateway close to a time, although they had something to run.
func (o *oracle) stalled(gateway int, at time.Time) time.Duration {
	return o.stalls.around(at) + o.run.gateways[gateway].delaysAround(at)
}

// killedWithoutNotice reports whether the process of a gateway was killed with no SIGTERM before.
func (o *oracle) killedWithoutNotice(gateway, process int) bool {
	for _, e := range o.run.gateways[gateway].ends {
		if e.process == process {
			return e.killed && e.signalAt.IsZero()
		}
	}
	return false
}

func (o *oracle) checkAnswer(x *requestRecord) {
	if o.killedWithoutNotice(x.gateway, x.process) {
		return
	}
	attempts := len(o.attempts[x.id])
	switch waited := x.endedAt.Sub(x.sentAt); {
	case x.answer == unanswered:
		o.violation(RuleLost, x.endedAt, "%s at gateway %d: no answer %v after its deadline, %d attempts", x.id, x.gateway,
			x.endedAt.Sub(x.deadline).Round(time.Millisecond), attempts)
	case x.answer == connClosed && (attempts > 0 || waited > sureToBeRead+o.slack(x.gateway, x.endedAt)):
		o.violation(RuleLost, x.endedAt, "%s at gateway %d: closed without an answer after %v, %d attempts", x.id, x.gateway,
			waited.Round(time.Millisecond), attempts)
	case (x.answer == served || x.answer == refused || x.answer == failed) && x.endedAt.Sub(x.deadline) > lostAfter+o.slack(x.gateway, x.endedAt):
		o.violation(RuleLost, x.endedAt, "%s at gateway %d: answered %v after its deadline", x.id, x.gateway,
			x.endedAt.Sub(x.deadline).Round(time.Millisecond))
	case x.answer == served && attempts == 0:
		o.violation(RuleLost, x.endedAt, "%s at gateway %d: served, but no database has seen it", x.id, x.gateway)
	}
}

// checkWrites checks that a write runs once at most, and is not refused if it may have run.
func (o *oracle) checkWrites(x *requestRecord) {
	if !classes[x.class].write {
		return
	}
	mayRun := 0
	for _, a := range o.attempts[x.id] {
		if a.mayRun {
			mayRun++
		}
	}
	if mayRun > 1 {
		o.violation(RuleDuplicate, x.endedAt, "%s: %d attempts that may have run", x.id, mayRun)
	}
	if mayRun > 0 && x.answer == refused {
		o.violation(RuleDuplicate, x.endedAt, "%s: refused although it may have run", x.id)
	}
}

func (o *oracle) checkAttempt(a *attemptRecord) {
	x := o.requests[a.id]
	if x == nil { // of a client that ended with the run
		return
	}
	if late := a.sentAt.Sub(x.endedAt); x.answer == left && !x.isRepeat(a) && late > leaveLimit+o.slack(a.gateway, a.sentAt) {
		o.violation(RuleLeft, a.sentAt, "%s: attempt at database %d %v after its client left", a.id, a.database, late.Round(time.Millisecond))
	}
	if x.isRepeat(a) {
		return
	}
	// A stall between the client's write and the gateway's read is part of all that the gateway tells later.
	stalled := o.stalled(a.gateway, x.sentAt) + o.stalled(a.gateway, a.sentAt)
	if excess := a.timeout - x.deadline.Sub(a.sentAt); excess > deadlineSlack+stalled {
		o.violation(RuleDeadline, a.sentAt, "%s: database %d is told %v, %v more than its client has", a.id, a.database, a.timeout,
			excess.Round(time.Millisecond))
	}
	o.checkDrain(a)
	if c := classes[a.class]; c.staleness > 0 && a.mayRun && a.stale > c.staleness+o.slack(a.gateway, a.sentAt) {
		o.violation(RuleStale, a.sentAt, "%s: database %d is %v behind", a.id, a.database, a.stale.Round(time.Millisecond))
	}
}

// checkDrain checks the latest that the gateway was told of the database when it began the attempt.
func (o *oracle) checkDrain(a *attemptRecord) {
	var since time.Time // it is known to be draining or gone
	for _, n := range o.run.discovery.told[a.gateway] {
		switch {
		case n.database != a.database || n.at.After(a.firstSentAt):
		case n.lifecycle == inService:
			since = time.Time{}
		case since.IsZero():
			since = n.at
		}
	}
	if !since.IsZero() && a.firstSentAt.Sub(since) > drainGrace+o.slack(a.gateway, a.firstSentAt) {
		o.violation(RuleDrain, a.firstSentAt, "%s: attempt of gateway %d at database %d %v after it was told", a.id, a.gateway, a.database,
			a.firstSentAt.Sub(since).Round(time.Millisecond))
	}
}

func (o *oracle) checkBudgets() {
	for _, d := range o.run.databases {
		d.keepWorst()
		o.report.Starts += d.starts
		o.report.ServedCold += d.servedCold
		for _, x := range d.overloads {
			o.checkOverload(x)
		}
	}
}

func (o *oracle) checkOverload(x overload) {
	aware := x.window.Arrived - x.window.Sources[unaware]
	counts := aware > toldShareOfLimit*x.window.Arrived
	if x.window.Ratio > 1 {
		o.report.Fallen++
	}
	if counts && x.window.Ratio > o.report.Worst.Ratio {
		o.report.Worst = x.window
	}
	if counts && x.window.Ratio > 1 {
		o.violation(RuleSlowStart, x.start.Add(x.window.Age), "database %d fell %v after its start: %.1f requests in a window that allows %.1f, by gateway %v, counts %v",
			x.database, x.window.Age.Round(time.Millisecond), x.window.Arrived, x.window.Limit, x.window.Sources, x.window.Counts)
	}
}

func (o *oracle) checkEnds() {
	for _, g := range o.run.gateways {
		if g.leaked > maxLeaked {
			o.violation(RuleLeak, time.Now(), "gateway %d holds %d descriptors at rest that it had not at its start", g.index, g.leaked)
		}
		for _, e := range g.ends {
			switch {
			case !e.signalAt.IsZero() && e.killed:
				o.violation(RuleExit, e.endedAt, "gateway %d had not ended when SIGKILL came, %v after SIGTERM", g.index, e.endedAt.Sub(e.signalAt))
			case e.exitCode != 0 && !e.killed:
				o.violation(RuleExit, e.endedAt, "gateway %d ended with %d", g.index, e.exitCode)
			case e.signalAt.IsZero() && !e.killed:
				o.violation(RuleExit, e.endedAt, "gateway %d ended by itself", g.index)
			}
		}
	}
}

func (r *run) longestRunDelay() (longest time.Duration) {
	for _, g := range r.gateways {
		for _, m := range g.runDelays {
			longest = max(longest, m.longest())
		}
	}
	return longest
}
