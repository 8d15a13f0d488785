package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"aspenshed/internal/experiment/measure"
)

const (
	// InForceBound is the operators' limit from a commit to its being in force at every gateway that can be reached.
	InForceBound = 11 * time.Second
	// convergeLimit is how long a window waits for gateways at its end, beyond the bound, so that a late one is seen as late
	// rather than as lost.
	convergeLimit = 60 * time.Second
)

// windowPlan is one stretch of time that is measured by itself.
type windowPlan struct {
	name     string
	lasts    time.Duration
	rate     float64                              // ordinary changes a second meanwhile
	disturb  func(context.Context) error          // what is done at its start; nil: nothing
	converge time.Duration                        // how long all may take to have everything in force at the end; 0: InForceBound
	check    func(context.Context, *windowResult) // more that has to hold at its end
}

// windowResult is what came of it.
type windowResult struct {
	event      measure.Event
	total      fleetTotal
	voters     map[string]Rates // by node
	gateways   map[string]Rates
	late       int           // gateways that did not have everything in force in time
	converged  time.Duration // from the last commit until all had it
	logEntries float64       // a second
	messages   float64       // a second and gateway
	checks     []measure.Check
}

// accounts are those of all daemons at one time.
type accounts struct {
	usage  map[string]Usage
	commit uint64
	at     time.Time
}

func (x *installation) accounts() (a accounts, err error) {
	a = accounts{usage: map[string]Usage{}, at: time.Now()}
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
		a.commit = s.Commit
	}
	return a, nil
}

// rates are what nodes used between two accounts. One that was started again meanwhile counts from its start.
func rates(nodes []*Node, before, after accounts) map[string]Rates {
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
	before, err := x.accounts()
	if err != nil {
		return nil, err
	}
	if err := x.passTime(ctx, p); err != nil {
		return nil, fmt.Errorf("%s: %w", p.name, err)
	}
	r := &windowResult{}
	if err := x.converge(ctx, p, r); err != nil {
		return nil, fmt.Errorf("%s: %w", p.name, err)
	}
	after, err := x.accounts()
	if err != nil {
		return nil, err
	}
	x.evaluate(p, r, workersBefore, before, after)
	if p.check != nil {
		p.check(ctx, r)
	}
	return r, x.checkMemory()
}

// passTime has ordinary changes agreed on at their rate until the window is over, and the disturbance beside them.
func (x *installation) passTime(ctx context.Context, p windowPlan) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		if p.disturb == nil {
			return
		}
		if err := p.disturb(ctx); err != nil {
			cancel(err)
		}
	}()
	end := time.Now().Add(p.lasts)
	for n := 0; p.rate > 0; n++ {
		due := end.Add(-p.lasts + time.Duration(float64(n)/p.rate*float64(time.Second)))
		if !due.Before(end) {
			break
		}
		if err := pause(ctx, time.Until(due)); err != nil {
			break
		}
		if err := x.submitOrdinary(ctx, n); err != nil {
			cancel(err)
		}
	}
	_ = pause(ctx, time.Until(end)) // the cause of an early end is looked at below
	wait.Wait()
	return context.Cause(ctx)
}

func (x *installation) submitOrdinary(ctx context.Context, n int) error {
	x.mu.Lock()
	c := x.changes.ordinary(n, time.Now().UnixNano())
	x.mu.Unlock()
	return x.submit(ctx, c)
}

// converge waits until every gateway that can be reached has in force all that was agreed on.
func (x *installation) converge(ctx context.Context, p windowPlan, r *windowResult) error {
	expected, err := x.settle(ctx)
	if err != nil {
		return err
	}
	bound := p.converge
	if bound == 0 {
		bound = InForceBound
	}
	begin := time.Now()
	for {
		askedInTime := time.Since(begin) <= bound
		if r.total, err = x.report(ctx, Report{Expected: expected}); err != nil {
			return err
		}
		missing := r.total.Gateways - r.total.Cut - r.total.InForce
		r.converged = time.Since(begin)
		if askedInTime {
			r.late = missing
		}
		if missing == 0 || r.converged > bound+convergeLimit {
			return nil
		}
		if err := pause(ctx, 5*pollInterval); err != nil {
			return err
		}
	}
}

// evaluate makes the event and its checks.
func (x *installation) evaluate(p windowPlan, r *windowResult, workersBefore fleetTotal, before, after accounts) {
	t := &r.total
	seconds := t.Window.Seconds()
	gateways := float64(max(t.Gateways, 1))
	r.voters, r.gateways = rates(x.voters, before, after), rates(x.gateways, before, after)
	if after.commit >= before.commit && before.commit > 0 {
		r.logEntries = float64(after.commit-before.commit) / after.at.Sub(before.at).Seconds()
	}
	r.messages = float64(t.Messages) / gateways / seconds
	r.event = measure.Event{Name: p.name, Gateways: t.Gateways, Members: x.changes.count, Seconds: seconds, ApplyDelay: quantilesOf(t.inForce),
		GatewayBytes: float64(t.Bytes) / gateways / seconds, WorstMinuteBytes: float64(t.MaxBytes) / max(seconds, 1)}
	for _, n := range x.voters {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleVoter, n.ID, 0, r.voters[n.ID]))
	}
	for _, n := range x.gateways {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleGateway, n.ID, 1, r.gateways[n.ID]))
	}
	for pid, used := range r.workerRates(workersBefore) {
		r.event.Roles = append(r.event.Roles, daemonUsage(RoleHollow, fmt.Sprint("worker of ", t.hosts[pid]), t.hosts[pid], used))
	}
	r.checks = append(r.checks,
		atMost(p.name+": gateways without all changes in force in time", float64(r.late), 0, "1", fmt.Sprintf("of %d, after %.1f s", t.Gateways, r.converged.Seconds())),
		atMost(p.name+": slowest from commit to in force", r.event.ApplyDelay.Max, InForceBound.Seconds(), "s", fmt.Sprintf("%d changes taken", r.event.ApplyDelay.Count)),
		atMost(p.name+": drains undone", float64(t.Undone), 0, "1", ""),
		atMost(p.name+": updates that led backward", float64(t.Backward), 0, "1", ""))
	x.options.Progress("%s: %d gateways, in force p50 %.3f s, p99 %.3f s, slowest %.3f s; %.0f B/s a gateway, most %.0f; "+
		"%d snapshots (slowest %.1f s), %d reconnects; all %.1f s after the last commit; %d late",
		p.name, t.Gateways, r.event.ApplyDelay.P50, r.event.ApplyDelay.P99, r.event.ApplyDelay.Max, r.event.GatewayBytes, r.event.WorstMinuteBytes, t.Snapshots, quantilesOf(t.snapshots).Max,
		t.Reconnects, r.converged.Seconds(), r.late)
}

// workerRates are what the workers used, by process. One that began meanwhile is left out.
func (r *windowResult) workerRates(before fleetTotal) map[int]Rates {
	out := map[int]Rates{}
	for pid, now := range r.total.usage {
		if earlier, there := before.usage[pid]; there {
			out[pid] = now.Since(earlier)
		}
	}
	return out
}

func daemonUsage(role, process string, hosts int, r Rates) measure.Usage {
	return measure.Usage{Role: role, Process: process, Gateways: hosts, Cores: r.Cores, Memory: r.Memory, BytesIn: r.Read, BytesOut: r.Written}
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
