package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"aspenshed/internal/experiment/measure"
)

const (
	// MaxApplyDelay is the operators' limit from a commit until every reachable gateway has applied it.
	MaxApplyDelay = 11 * time.Second
	// convergeGrace is how long a window waits at its end beyond the limit, so that a late gateway is counted as late
	// rather than as lost.
	convergeGrace = 60 * time.Second
)

// windowPlan describes one period that is measured separately.
type windowPlan struct {
	name            string
	duration        time.Duration
	rate            float64                              // typical changes per second
	action          func(context.Context) error          // runs from the window's start; nil: none
	convergeTimeout time.Duration                        // for gateways to apply all changes; 0: MaxApplyDelay
	check           func(context.Context, *windowResult) // adds checks at the end
}

// windowResult holds the measurements of a window.
type windowResult struct {
	event        measure.Event
	total        fleetTotal
	voters       map[string]Rates // by node ID
	gateways     map[string]Rates
	lateGateways int           // gateways that had not applied everything in time
	convergeTime time.Duration // from the last commit until all had applied it
	logEntryRate float64       // per second
	messageRate  float64       // per second and gateway
	checks       []measure.Check
}

// usageSnapshot is the usage of all daemons at one time.
type usageSnapshot struct {
	usage       map[string]Usage
	commitIndex uint64
	at          time.Time
}

func (x *installation) collectUsage() (u usageSnapshot, err error) {
	u = usageSnapshot{usage: map[string]Usage{}, at: time.Now()}
	for _, n := range append(append([]*Node(nil), x.voters...), x.gateways...) {
		if n.Instance.PID() == 0 {
			continue
		}
		if u.usage[n.ID], err = n.Usage(); err != nil {
			return u, err
		}
	}
	if leader := leaderOf(x.voters); leader != nil {
		s, err := leader.Status()
		if err != nil {
			return u, err
		}
		u.commitIndex = s.Commit
	}
	return u, nil
}

// rates returns the usage of nodes between two snapshots. A node that was restarted in between counts from its
// restart.
func rates(nodes []*Node, before, after usageSnapshot) map[string]Rates {
	out := map[string]Rates{}
	for _, n := range nodes {
		now, ok := after.usage[n.ID]
		earlier := before.usage[n.ID]
		if now.CPU < earlier.CPU || now.Read < earlier.Read {
			earlier = Usage{Recorded: before.at}
		}
		if ok {
			out[n.ID] = now.Since(earlier)
		}
	}
	return out
}

// measureWindow runs a window with typical changes and its action, and waits until all gateways have applied
// every change.
func (x *installation) measureWindow(ctx context.Context, p windowPlan) (*windowResult, error) {
	x.options.Progress("%s: started", p.name)
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

// runWindow submits typical changes at the window's rate until it is over, concurrently with the action.
func (x *installation) runWindow(ctx context.Context, p windowPlan) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
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
	_ = sleepContext(ctx, time.Until(end)) // the cause of an early end is returned below
	wg.Wait()
	return context.Cause(ctx)
}

func (x *installation) submitTypicalChange(ctx context.Context, n int) error {
	x.mu.Lock()
	c := x.changes.typicalChange(n, time.Now().UnixNano())
	x.mu.Unlock()
	return x.submit(ctx, c)
}

// waitConverged waits until every reachable gateway has applied every committed change.
func (x *installation) waitConverged(ctx context.Context, p windowPlan, r *windowResult) error {
	expected, err := x.commitMarker(ctx)
	if err != nil {
		return err
	}
	limit := p.convergeTimeout
	if limit == 0 {
		limit = MaxApplyDelay
	}
	begin := time.Now()
	for {
		withinLimit := time.Since(begin) <= limit
		if r.total, err = x.report(ctx, Report{Expected: expected}); err != nil {
			return err
		}
		missing := r.total.Gateways - r.total.Partitioned - r.total.Applied
		r.convergeTime = time.Since(begin)
		if withinLimit {
			r.lateGateways = missing
		}
		if missing == 0 || r.convergeTime > limit+convergeGrace {
			return nil
		}
		if err := sleepContext(ctx, 5*pollInterval); err != nil {
			return err
		}
	}
}

// evaluate computes the event and its checks.
func (x *installation) evaluate(p windowPlan, r *windowResult, workersBefore fleetTotal, before, after usageSnapshot) {
	t := &r.total
	seconds := t.Window.Seconds()
	gateways := float64(max(t.Gateways, 1))
	r.voters, r.gateways = rates(x.voters, before, after), rates(x.gateways, before, after)
	if after.commitIndex >= before.commitIndex && before.commitIndex > 0 {
		r.logEntryRate = float64(after.commitIndex-before.commitIndex) / after.at.Sub(before.at).Seconds()
	}
	r.messageRate = float64(t.Messages) / gateways / seconds
	r.event = measure.Event{Name: p.name, Gateways: t.Gateways, Members: x.changes.memberCount, Seconds: seconds, ApplyDelay: quantilesOf(t.applyLatency),
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
		atMost(p.name+": slowest from commit to in force", r.event.ApplyDelay.Max, MaxApplyDelay.Seconds(), "s", fmt.Sprintf("%d changes taken", r.event.ApplyDelay.Count)),
		atMost(p.name+": drains undone", float64(t.UndoneDrains), 0, "1", ""),
		atMost(p.name+": updates that led backward", float64(t.RevisionRegressions), 0, "1", ""))
	x.options.Progress("%s: %d gateways, applied p50 %.3f s, p99 %.3f s, max %.3f s; %.0f B/s per gateway, max %.0f; "+
		"%d snapshots (max %.1f s), %d reconnects; converged %.1f s after the last commit; %d late",
		p.name, t.Gateways, r.event.ApplyDelay.P50, r.event.ApplyDelay.P99, r.event.ApplyDelay.Max, r.event.GatewayBytes, r.event.WorstMinuteBytes, t.Snapshots, quantilesOf(t.snapshotLatency).Max,
		t.Reconnects, r.convergeTime.Seconds(), r.lateGateways)
}

// workerRates returns the usage of the workers by process ID. A worker started during the window is left out.
func (r *windowResult) workerRates(before fleetTotal) map[int]Rates {
	out := map[int]Rates{}
	for pid, now := range r.total.usageByProcess {
		if earlier, ok := before.usageByProcess[pid]; ok {
			out[pid] = now.Since(earlier)
		}
	}
	return out
}

func daemonUsage(role, process string, hosts int, r Rates) measure.Usage {
	return measure.Usage{Role: role, Process: process, Gateways: hosts, Cores: r.Cores, Memory: r.Memory, BytesIn: r.Read, BytesOut: r.Written}
}

// MemoryError ends a run that takes more than its share of the machine's memory.
type MemoryError struct{ Used, Limit int64 }

func (e *MemoryError) Error() string {
	return fmt.Sprintf("scale: processes hold %d MB in total, more than the limit of %d MB", e.Used>>20, e.Limit>>20)
}

func (x *installation) checkMemory() error {
	used, err := x.memory()
	if err != nil {
		return err
	}
	x.options.Progress("all processes hold %d MB in total", used>>20)
	if used > x.options.MaxMemory {
		return &MemoryError{used, x.options.MaxMemory}
	}
	return nil
}
