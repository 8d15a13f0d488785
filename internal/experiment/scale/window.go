package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"aspenshed/internal/experiment/measure"
)

const (
	// MaxApplyDelay is the operators' limit from a commit to its being in force at every gateway that can be reached.
	MaxApplyDelay = 11 * time.Second
	// convergeGrace is how long a window waits for gateways at its end, beyond the bound, so that a late one is seen as late
	// rather than as lost.
	convergeGrace = 60 * time.Second
)

// windowPlan is one stretch of time that is measured by itself.
type windowPlan struct {
	name            string
	duration        time.Duration
	rate            float64                              // ordinary changes a second meanwhile
	action          func(context.Context) error          // what is done at its start; nil: nothing
	convergeTimeout time.Duration                        // how long all may take to have everything in force at the end; 0: InForceBound
	check           func(context.Context, *windowResult) // more that has to hold at its end
}

// windowResult is what came of it.
type windowResult struct {
	event        measure.Event
	total        fleetTotal
	voters       map[string]Rates // by node
	gateways     map[string]Rates
	lateGateways int           // gateways that did not have everything in force in time
	convergeTime time.Duration // from the last commit until all had it
	logEntryRate float64       // a second
	messageRate  float64       // a second and gateway
	checks       []measure.Check
}

// usageSnapshot are those of all daemons at one time.
type usageSnapshot struct {
	usage       map[string]Usage
	commitIndex uint64
	at          time.Time
}

func (x *installation) collectUsage() (a usageSnapshot, err error) {
	a = usageSnapshot{usage: map[string]Usage{}, at: time.Now()}
	for _, n := range append(append([]*Node(nil), x.voters...), x.gateways...) {
		if n.Instance.PID() == 0 {
			continue
		}
		if a.usage[n.ID], err = n.Usage(); err != nil {
			return a, err
		}
	}
	if leader := leaderOf(x.voters); leader != nil {
		s, err := leader.Status()
		if err != nil {
			return a, err
		}
		a.commitIndex = s.Commit
	}
	return a, nil
}

// rates are what nodes used between two accounts. One that was started again meanwhile counts from its start.
func rates(nodes []*Node, before, after usageSnapshot) map[string]Rates {
	out := map[string]Rates{}
	for _, n := range nodes {
		now, there := after.usage[n.ID]
		earlier := before.usage[n.ID]
		if now.CPU < earlier.CPU || now.Read < earlier.Read {
			earlier = Usage{Recorded: before.at}
		}
		if there {
			out[n.ID] = now.Since(earlier)
		}
	}
	return out
}

// measureWindow lets time pass with ordinary changes, disturbs, and waits until all gateways have everything in force.
func (x *installation) measureWindow(ctx context.Context, p windowPlan) (*windowResult, error) {
	x.options.Progress("%s: begins", p.name)
	workersBefore, err := x.report(ctx, Report{NewWindow: true})
	if err != nil {
		return nil, err
	}
	before, err := x.collectUsage()
	if err != nil {
		return nil, err
	}
	if err := x.runWindow(ctx, p); err != nil {
		return nil, fmt.Errorf("%s: %w", p.name, err)
	}
	r := &windowResult{}
	if err := x.waitConverged(ctx, p, r); err != nil {
		return nil, fmt.Errorf("%s: %w", p.name, err)
	}
	after, err := x.collectUsage()
	if err != nil {
		return nil, err
	}
	x.evaluate(p, r, workersBefore, before, after)
	if p.check != nil {
		p.check(ctx, r)
	}
	return r, x.checkMemory()
}

// runWindow has ordinary changes agreed on at their rate until the window is over, and the disturbance beside them.
func (x *installation) runWindow(ctx context.Context, p windowPlan) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		if p.action == nil {
			return
		}
		if err := p.action(ctx); err != nil {
			cancel(err)
		}
	}()
	end := time.Now().Add(p.duration)
	for n := 0; p.rate > 0; n++ {
		due := end.Add(-p.duration + time.Duration(float64(n)/p.rate*float64(time.Second)))
		if !due.Before(end) {
			break
		}
		if err := sleepContext(ctx, time.Until(due)); err != nil {
			break
		}
		if err := x.submitTypicalChange(ctx, n); err != nil {
			cancel(err)
		}
	}
	_ = sleepContext(ctx, time.Until(end)) // the cause of an early end is looked at below
	wait.Wait()
	return context.Cause(ctx)
}

func (x *installation) submitTypicalChange(ctx context.Context, n int) error {
	x.mu.Lock()
	c := x.changes.typicalChange(n, time.Now().UnixNano())
	x.mu.Unlock()
	return x.submit(ctx, c)
}

// waitConverged waits until every gateway that can be reached has in force all that was agreed on.
func (x *installation) waitConverged(ctx context.Context, p windowPlan, r *windowResult) error {
	expected, err := x.commitMarker(ctx)
	if err != nil {
		return err
	}
	bound := p.convergeTimeout
	if bound == 0 {
		bound = MaxApplyDelay
	}
	begin := time.Now()
	for {
		askedInTime := time.Since(begin) <= bound
		if r.total, err = x.report(ctx, Report{Expected: expected}); err != nil {
			return err
		}
		missing := r.total.Gateways - r.total.Partitioned - r.total.Applied
		r.convergeTime = time.Since(begin)
		if askedInTime {
			r.lateGateways = missing
		}
		if missing == 0 || r.convergeTime > bound+convergeGrace {
			return nil
		}
		if err := sleepContext(ctx, 5*pollInterval); err != nil {
			return err
		}
	}
}

// evaluate makes the event and its checks.
func (x *installation) evaluate(p windowPlan, r *windowResult, workersBefore fleetTotal, before, after usageSnapshot) {
	t := &r.total
	seconds := t.Window.Seconds()
	gateways := float64(max(t.Gateways, 1))
	r.voters, r.gateways = rates(x.voters, before, after), rates(x.gateways, before, after)
	if after.commitIndex >= before.commitIndex && before.commitIndex > 0 {
		r.logEntryRate = float64(after.commitIndex-before.commitIndex) / after.at.Sub(before.at).Seconds()
	}
	r.messageRate = float64(t.Messages) / gateways / seconds
	r.event = measure.Event{Name: p.name, Gateways: t.Gateways, Members: x.changes.memberCount, Seconds: seconds, InForce: quantilesOf(t.applyLatency),
		GatewayBytes: float64(t.Bytes) / gateways / seconds, WorstMinuteBytes: float64(t.MaxGatewayBytes) / max(seconds, 1)}
	for _, n := range x.voters {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleVoter, n.ID, 0, r.voters[n.ID]))
	}
	for _, n := range x.gateways {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleGateway, n.ID, 1, r.gateways[n.ID]))
	}
	for pid, used := range r.workerRates(workersBefore) {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleHollow, fmt.Sprint("worker of ", t.gatewaysByProcess[pid]), t.gatewaysByProcess[pid], used))
	}
	r.checks = append(r.checks,
		atMost(p.name+": gateways without all changes in force in time", float64(r.lateGateways), 0, "1", fmt.Sprintf("of %d, after %.1f s", t.Gateways, r.convergeTime.Seconds())),
		atMost(p.name+": slowest from commit to in force", r.event.InForce.Max, MaxApplyDelay.Seconds(), "s", fmt.Sprintf("%d changes taken", r.event.InForce.Count)),
		atMost(p.name+": drains undone", float64(t.UndoneDrains), 0, "1", ""),
		atMost(p.name+": updates that led backward", float64(t.RevisionRegressions), 0, "1", ""))
	x.options.Progress("%s: %d gateways, in force p50 %.3f s, p99 %.3f s, slowest %.3f s; %.0f B/s a gateway, most %.0f; "+
		"%d snapshots (slowest %.1f s), %d reconnects; all %.1f s after the last commit; %d late",
		p.name, t.Gateways, r.event.InForce.P50, r.event.InForce.P99, r.event.InForce.Max, r.event.GatewayBytes, r.event.WorstMinuteBytes, t.Snapshots, quantilesOf(t.snapshotLatency).Max,
		t.Reconnects, r.convergeTime.Seconds(), r.lateGateways)
}

// workerRates are what the workers used, by process. One that began meanwhile is left out.
func (r *windowResult) workerRates(before fleetTotal) map[int]Rates {
	out := map[int]Rates{}
	for pid, now := range r.total.usageByProcess {
		if earlier, there := before.usageByProcess[pid]; there {
			out[pid] = now.Since(earlier)
		}
	}
	return out
}

func daemonUsage(role, process string, hosts int, r Rates) measure.Usage {
	return measure.Usage{Role: role, Process: process, Hosts: hosts, Cores: r.Cores, Memory: r.Memory, BytesIn: r.Read, BytesOut: r.Written}
}

// MemoryError ends a run that would take more of the machine than it may.
type MemoryError struct{ Used, Limit int64 }

func (e *MemoryError) Error() string {
	return fmt.Sprintf("scale: all processes together hold %d MB, %d MB at most", e.Used>>20, e.Limit>>20)
}

func (x *installation) checkMemory() error {
	used, err := x.memory()
	if err != nil {
		return err
	}
	x.options.Progress("all processes hold %d MB", used>>20)
	if used > x.options.MaxMemory {
		return &MemoryError{used, x.options.MaxMemory}
	}
	return nil
}
