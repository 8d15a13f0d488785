package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"aspenshed/internal/experiment/measure"
)

// Plan lists the phases of a run, in this order: member counts at the first gateway count, rates of changes
// there, gateway counts at the last member count, and then the events.
type Plan struct {
	Members        []int
	Rates          []float64 // changes per second, in addition to TypicalChangeRate
	Gateways       []int     // increasing
	SteadyDuration time.Duration
	GrowthDuration time.Duration // wait after adding members: each changes once more when it has warmed up
	JoinSpread     time.Duration // period over which the gateways of one worker start
	Events         eventSettings
	CheckBounds    bool // check the operators' limits at the last number of gateways
}

// FullPlan returns the plan of `make scale`, which takes some ten minutes.
func FullPlan() Plan {
	return Plan{Members: []int{2100, 10500, 21000}, Rates: []float64{2.92, 7.3}, Gateways: []int{150, 300, 600, 1200, 2400},
		SteadyDuration: 15 * time.Second, GrowthDuration: 22 * time.Second, JoinSpread: 2 * time.Second, CheckBounds: true,
		Events: eventSettings{steady: 15 * time.Second, leaderDowntime: 10 * time.Second, rackDowntime: 10 * time.Second, partition: time.Minute,
			restartPeriod: 30 * time.Second, restartCount: 200, convergeTimeout: 90 * time.Second, stalledSubscribers: 50, burstSize: BurstChanges}}
}

// ShortPlan returns a plan for tests, which takes half a minute. Its checks do not depend on the machine's speed.
func ShortPlan() Plan {
	return Plan{Members: []int{60, 180}, Rates: []float64{10}, Gateways: []int{19, 38},
		SteadyDuration: time.Second, GrowthDuration: time.Second, JoinSpread: 200 * time.Millisecond,
		Events: eventSettings{steady: time.Second, leaderDowntime: time.Second, rackDowntime: time.Second, partition: 4 * time.Second,
			restartPeriod: time.Second, restartCount: 10, convergeTimeout: MaxApplyDelay, stalledSubscribers: 4, burstSize: 150}}
}

// Limit removes the gateway counts above a limit; 0 keeps all.
func (p *Plan) Limit(gateways int) {
	if gateways > 0 {
		p.Gateways = slices.DeleteFunc(slices.Clone(p.Gateways), func(n int) bool { return n > gateways })
	}
}

// ErrEmptyPlan reports a plan without a number of members or gateways.
var ErrEmptyPlan = errors.New("scale: a plan needs members and gateways")

// Run starts an installation, executes a plan, and stops everything that it started.
func Run(ctx context.Context, o Options, p Plan) (run measure.Run, err error) {
	run = measure.Run{Experiment: "scale", Commit: commitName(), Started: time.Now(), Machine: machineDescription()}
	defer func() { run.Seconds = time.Since(run.Started).Seconds() }()
	if len(p.Members) == 0 || len(p.Gateways) == 0 {
		return run, ErrEmptyPlan
	}
	o.InitialMembers, o.JoinSpread = p.Members[0], p.JoinSpread
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	x, err := newInstallation(ctx, o, rng.IntN)
	defer func() { err = errors.Join(err, x.close()) }()
	if err != nil {
		return run, err
	}
	r := &runner{installation: x, plan: p, run: &run}
	run.Notes = r.notes()
	for _, step := range []func(context.Context) error{r.measureEmptyWorker, r.measureMembers, r.measureRates, r.measureGateways, r.measureEvents, r.verifyFinalState} {
		if err := step(ctx); err != nil {
			return run, err
		}
	}
	return run, nil
}

// runner executes a plan.
type runner struct {
	*installation
	plan           Plan
	run            *measure.Run
	emptyWorker    Usage   // usage of a worker without gateways
	steadyByteRate float64 // bytes per second and gateway, at the last number of gateways
}

// notes returns what a reader needs to interpret the results.
func (r *runner) notes() []string {
	e := r.plan.Events
	return []string{
		"All processes share one machine: processor time is measured while voters, gateways and the load compete for its cores.",
		"Delays between zones (0.5 ms within one to 40 ms one way between the farthest regions) and cuts are set at the gateways' control streams; between voters there is loopback.",
		"The region that is cut off holds no voter. Real gateways are not cut off.",
		"Hollow gateways have a change in force as soon as their control side hands it over. Real gateways' figures include their data path at light load.",
		fmt.Sprintf("Steady windows last %v; a region is cut off for %v; %d restarts within %v stand for those of a day (%d).", r.plan.SteadyDuration, e.partition, e.restartCount, e.restartPeriod, RestartsPerDay),
		"A window shorter than a minute is filled up with the steady rate where its worst minute is held against a bound.",
		"No relays: gateways subscribe to the voters.",
	}
}

func (r *runner) measureEmptyWorker(context.Context) (err error) {
	if r.options.EmptyWorkerUsage != nil {
		r.emptyWorker, err = r.options.EmptyWorkerUsage()
	}
	return err
}

// measureSteady measures a window without an action.
func (r *runner) measureSteady(ctx context.Context, name string, rate float64) (*windowResult, error) {
	return r.recordWindow(ctx, windowPlan{name: name, duration: r.plan.SteadyDuration, rate: rate})
}

func (r *runner) recordWindow(ctx context.Context, p windowPlan) (*windowResult, error) {
	w, err := r.measureWindow(ctx, p)
	if w != nil {
		r.run.Events = append(r.run.Events, w.event)
		r.run.Checks = append(r.run.Checks, w.checks...)
	}
	return w, err
}

func (r *runner) measureMembers(ctx context.Context) error {
	if err := r.addGateways(ctx, r.plan.Gateways[0]); err != nil {
		return err
	}
	if err := r.setMemoryLimit(ctx, r.options.GrowthMemoryLimit); err != nil {
		return err
	}
	var points seriesPoints
	for _, members := range r.plan.Members {
		f, err := r.measureMemberCount(ctx, members)
		if err != nil {
			return err
		}
		points.add(float64(members), f)
	}
	held := fmt.Sprintf("%d gateways, %d voters, %.2f changes/s", r.plan.Gateways[0], r.options.Voters, TypicalChangeRate)
	r.run.Series = append(r.run.Series, points.series("members", "members", "1", held)...)
	// The worker's heap stays fragmented after all sizes, and at its limit it would be garbage-collected all the time.
	r.closeWorkers()
	return nil
}

// measureMemberCount adds members up to a number, restarts all gateways once, and measures a steady window.
func (r *runner) measureMemberCount(ctx context.Context, members int) (metrics, error) {
	if err := r.addMembersUpTo(ctx, members); err != nil {
		return nil, err
	}
	growth := windowPlan{name: fmt.Sprintf("growth-to-%d-members", members), duration: r.plan.GrowthDuration}
	if _, err := r.recordWindow(ctx, growth); err != nil {
		return nil, err
	}
	snapshots := windowPlan{name: fmt.Sprintf("snapshots-of-%d-members", members), duration: r.plan.SteadyDuration / 3, action: r.restartAll}
	restarted, err := r.recordWindow(ctx, snapshots)
	if err != nil {
		return nil, err
	}
	steady, err := r.measureSteady(ctx, fmt.Sprintf("steady-%d-gateways-%d-members", r.plan.Gateways[0], members), TypicalChangeRate)
	if err != nil {
		return nil, err
	}
	f := r.windowMetrics(steady)
	f["gateway.snapshot-bytes"] = float64(restarted.total.Bytes) / float64(restarted.total.Gateways)
	f["gateway.snapshot-time"] = quantilesOf(restarted.total.snapshotLatency).Max
	return f, nil
}

// joinGateways starts gateways up to a number, and waits until they have applied the state.
func (r *runner) joinGateways(ctx context.Context, gateways int) error {
	if err := r.addGateways(ctx, gateways); err != nil {
		return err
	}
	_, err := r.recordWindow(ctx, windowPlan{name: fmt.Sprintf("join-to-%d-gateways", gateways), duration: r.plan.SteadyDuration / 5, convergeTimeout: r.plan.Events.convergeTimeout})
	return err
}

func (r *runner) measureRates(ctx context.Context) error {
	if err := r.joinGateways(ctx, r.plan.Gateways[0]); err != nil {
		return err
	}
	var points seriesPoints
	for _, rate := range append([]float64{TypicalChangeRate}, r.plan.Rates...) {
		w, err := r.measureSteady(ctx, fmt.Sprintf("steady-%.2f-changes", rate), rate)
		if err != nil {
			return err
		}
		points.add(rate, r.windowMetrics(w))
	}
	held := fmt.Sprintf("%d gateways, %d voters, %d members", r.plan.Gateways[0], r.options.Voters, r.changes.memberCount)
	r.run.Series = append(r.run.Series, points.series("changes", "changes", "1/s", held)...)
	return nil
}

func (r *runner) measureGateways(ctx context.Context) error {
	var points seriesPoints
	for _, gateways := range r.plan.Gateways {
		if err := r.joinGateways(ctx, gateways); err != nil {
			return err
		}
		w, err := r.measureSteady(ctx, fmt.Sprintf("steady-%d-gateways", gateways), TypicalChangeRate)
		if err != nil {
			return err
		}
		points.add(float64(gateways), r.windowMetrics(w))
		if r.plan.CheckBounds && gateways == r.plan.Gateways[len(r.plan.Gateways)-1] {
			r.checkSteadyBounds(w)
		}
	}
	held := fmt.Sprintf("%d members, %d voters, %.2f changes/s", r.changes.memberCount, r.options.Voters, TypicalChangeRate)
	r.run.Series = append(r.run.Series, points.series("gateways", "gateways", "1", held)...)
	if r.plan.CheckBounds {
		r.run.Checks = append(r.run.Checks, sublinearGrowthCheck("gateway.in-force-p99-by-gateways", r.run.Series))
	}
	return nil
}

func (r *runner) measureEvents(ctx context.Context) error {
	for _, e := range r.events(r.plan.Events) {
		w, err := r.recordWindow(ctx, e)
		if err != nil {
			return err
		}
		if r.plan.CheckBounds {
			r.checkMinuteBound(w)
		}
	}
	return nil
}
