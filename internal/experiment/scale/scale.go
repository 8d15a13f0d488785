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

// Plan says what a run goes through, in this order: members at the first number of gateways, rates of changes there, numbers
// of gateways at the last number of members, and then the events.
type Plan struct {
	Members  []int
	Rates    []float64 // changes a second, beside OrdinaryRate
	Gateways []int     // rising
	Steady   time.Duration
	Growth   time.Duration // that new members are let be: they change once more when they have warmed up
	Join     time.Duration // over which the gateways of one worker start
	Events   eventTimes
	Bounds   bool // hold the operators' bounds against the last number of gateways
}

// FullPlan is what `make scale` runs: some ten minutes.
func FullPlan() Plan {
	return Plan{Members: []int{2100, 10500, 21000}, Rates: []float64{2.92, 7.3}, Gateways: []int{150, 300, 600, 1200, 2400},
		Steady: 15 * time.Second, Growth: 22 * time.Second, Join: 2 * time.Second, Bounds: true,
		Events: eventTimes{steady: 15 * time.Second, leaderGone: 10 * time.Second, rackGone: 10 * time.Second, cut: time.Minute,
			restarts: 30 * time.Second, compressed: 200, converge: 90 * time.Second, stalledSubs: 50, burst: BurstChanges}}
}

// ShortPlan takes half a minute: it is for tests, whose verdict does not depend on how fast the machine is.
func ShortPlan() Plan {
	return Plan{Members: []int{60, 180}, Rates: []float64{10}, Gateways: []int{19, 38},
		Steady: time.Second, Growth: time.Second, Join: 200 * time.Millisecond,
		Events: eventTimes{steady: time.Second, leaderGone: time.Second, rackGone: time.Second, cut: 4 * time.Second,
			restarts: time.Second, compressed: 10, converge: InForceBound, stalledSubs: 4, burst: 150}}
}

// Limit leaves out numbers of gateways above a limit; 0: none.
func (p *Plan) Limit(gateways int) {
	if gateways > 0 {
		p.Gateways = slices.DeleteFunc(slices.Clone(p.Gateways), func(n int) bool { return n > gateways })
	}
}

// ErrEmptyPlan says that a plan has no number of members or gateways.
var ErrEmptyPlan = errors.New("scale: a plan needs members and gateways")

// Run starts an installation, goes through a plan, and ends all that it has started.
func Run(ctx context.Context, o Options, p Plan) (run measure.Run, err error) {
	run = measure.Run{Experiment: "scale", Commit: commit(), Started: time.Now(), Machine: machine()}
	defer func() { run.Seconds = time.Since(run.Started).Seconds() }()
	if len(p.Members) == 0 || len(p.Gateways) == 0 {
		return run, ErrEmptyPlan
	}
	o.Members, o.Join = p.Members[0], p.Join
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	x, err := newInstallation(ctx, o, rng.IntN)
	defer func() { err = errors.Join(err, x.close()) }()
	if err != nil {
		return run, err
	}
	r := &runner{installation: x, plan: p, run: &run}
	run.Notes = r.notes()
	for _, step := range []func(context.Context) error{r.measureEmpty, r.measureMembers, r.measureRates, r.measureGateways, r.measureEvents, r.judge} {
		if err := step(ctx); err != nil {
			return run, err
		}
	}
	return run, nil
}

// runner goes through a plan.
type runner struct {
	*installation
	plan        Plan
	run         *measure.Run
	empty       Usage   // a worker without gateways
	steadyBytes float64 // a second and gateway, at the last number of gateways
}

// notes tell what a reader of the figures has to know.
func (r *runner) notes() []string {
	e := r.plan.Events
	return []string{
		"All processes share one machine: processor time is measured while voters, gateways and the load compete for its cores.",
		"Delays between zones (0.5 ms within one to 40 ms one way between the farthest regions) and cuts are set at the gateways' control streams; between voters there is loopback.",
		"The region that is cut off holds no voter. Real gateways are not cut off.",
		"Hollow gateways have a change in force as soon as their control side hands it over. Real gateways' figures include their data path at light load.",
		fmt.Sprintf("Steady windows last %v; a region is cut off for %v; %d restarts within %v stand for those of a day (%d).", r.plan.Steady, e.cut, e.compressed, e.restarts, RestartsPerDay),
		"A window shorter than a minute is filled up with the steady rate where its worst minute is held against a bound.",
		"No relays: gateways subscribe to the voters.",
	}
}

func (r *runner) measureEmpty(context.Context) (err error) {
	if r.options.Empty != nil {
		r.empty, err = r.options.Empty()
	}
	return err
}

// steady measures a window without any disturbance.
func (r *runner) steady(ctx context.Context, name string, rate float64) (*windowResult, error) {
	return r.window(ctx, windowPlan{name: name, lasts: r.plan.Steady, rate: rate})
}

func (r *runner) window(ctx context.Context, p windowPlan) (*windowResult, error) {
	w, err := r.measureWindow(ctx, p)
	if w != nil {
		r.run.Events = append(r.run.Events, w.event)
		r.run.Checks = append(r.run.Checks, w.checks...)
	}
	return w, err
}

func (r *runner) measureMembers(ctx context.Context) error {
	if err := r.grow(ctx, r.plan.Gateways[0]); err != nil {
		return err
	}
	if err := r.limitMemory(ctx, r.options.GrowthMemory); err != nil {
		return err
	}
	var points seriesPoints
	for _, members := range r.plan.Members {
		f, err := r.measureSize(ctx, members)
		if err != nil {
			return err
		}
		points.add(float64(members), f)
	}
	held := fmt.Sprintf("%d gateways, %d voters, %.2f changes/s", r.plan.Gateways[0], r.options.Voters, OrdinaryRate)
	r.run.Series = append(r.run.Series, points.series("members", "members", "1", held)...)
	// The heap of the worker that has seen all sizes stays fragmented, and would be collected all the time within its limit.
	r.closeWorkers()
	return nil
}

// measureSize brings in members until there are so many, restarts all gateways once, and measures a steady window.
func (r *runner) measureSize(ctx context.Context, members int) (figures, error) {
	if err := r.growMembers(ctx, members); err != nil {
		return nil, err
	}
	growth := windowPlan{name: fmt.Sprintf("growth-to-%d-members", members), lasts: r.plan.Growth}
	if _, err := r.window(ctx, growth); err != nil {
		return nil, err
	}
	snapshots := windowPlan{name: fmt.Sprintf("snapshots-of-%d-members", members), lasts: r.plan.Steady / 3, disturb: r.restartAll}
	restarted, err := r.window(ctx, snapshots)
	if err != nil {
		return nil, err
	}
	steady, err := r.steady(ctx, fmt.Sprintf("steady-%d-gateways-%d-members", r.plan.Gateways[0], members), OrdinaryRate)
	if err != nil {
		return nil, err
	}
	f := r.figures(steady)
	f["gateway.snapshot-bytes"] = float64(restarted.total.Bytes) / float64(restarted.total.Gateways)
	f["gateway.snapshot-time"] = quantilesOf(restarted.total.snapshots).Max
	return f, nil
}

// join starts gateways until there are so many, and lets them get the state.
func (r *runner) join(ctx context.Context, gateways int) error {
	if err := r.grow(ctx, gateways); err != nil {
		return err
	}
	_, err := r.window(ctx, windowPlan{name: fmt.Sprintf("join-to-%d-gateways", gateways), lasts: r.plan.Steady / 5, converge: r.plan.Events.converge})
	return err
}

func (r *runner) measureRates(ctx context.Context) error {
	if err := r.join(ctx, r.plan.Gateways[0]); err != nil {
		return err
	}
	var points seriesPoints
	for _, rate := range append([]float64{OrdinaryRate}, r.plan.Rates...) {
		w, err := r.steady(ctx, fmt.Sprintf("steady-%.2f-changes", rate), rate)
		if err != nil {
			return err
		}
		points.add(rate, r.figures(w))
	}
	held := fmt.Sprintf("%d gateways, %d voters, %d members", r.plan.Gateways[0], r.options.Voters, r.changes.count)
	r.run.Series = append(r.run.Series, points.series("changes", "changes", "1/s", held)...)
	return nil
}

func (r *runner) measureGateways(ctx context.Context) error {
	var points seriesPoints
	for _, gateways := range r.plan.Gateways {
		if err := r.join(ctx, gateways); err != nil {
			return err
		}
		w, err := r.steady(ctx, fmt.Sprintf("steady-%d-gateways", gateways), OrdinaryRate)
		if err != nil {
			return err
		}
		points.add(float64(gateways), r.figures(w))
		if r.plan.Bounds && gateways == r.plan.Gateways[len(r.plan.Gateways)-1] {
			r.holdSteadyBounds(w)
		}
	}
	held := fmt.Sprintf("%d members, %d voters, %.2f changes/s", r.changes.count, r.options.Voters, OrdinaryRate)
	r.run.Series = append(r.run.Series, points.series("gateways", "gateways", "1", held)...)
	if r.plan.Bounds {
		r.run.Checks = append(r.run.Checks, growthCheck("gateway.in-force-p99-by-gateways", r.run.Series))
	}
	return nil
}

func (r *runner) measureEvents(ctx context.Context) error {
	for _, e := range r.events(r.plan.Events) {
		w, err := r.window(ctx, e)
		if err != nil {
			return err
		}
		if r.plan.Bounds {
			r.holdMinuteBound(w)
		}
	}
	return nil
}
