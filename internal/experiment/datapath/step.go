package datapath

import (
	"fmt"
	"slices"

	"aspenshed"

	"aspenshed/internal/experiment/measure"
)

const (
	stepTrials   = 7 // whose median counts
	stepGroup    = 5 // members of a group, as in BenchmarkStep
	stepInterval = 10 * aspenshed.Nanos(1e3)
	stepAnswer   = 20 * millisecond
)

// measureStep takes the time of one Step with one request and one answer, as BenchmarkStep does, by members and by
// requests in flight.
func measureStep(r *recorder, o Options) error {
	members, inFlight, steps := []int{20, 2100, 10500, 21000}, []int{100, 300, 600, 1200}, 4000
	if o.Short {
		members, inFlight, steps = []int{20, 200, 400}, []int{10, 20}, 50
	}
	most := members[len(members)-1]
	for _, flying := range []int{inFlight[0], inFlight[len(inFlight)-1]} {
		if flying > inFlight[0] { // the windows of few members do not let so many out
			members = members[1:]
		}
		s := measure.Series{Name: fmt.Sprintf("datapath.step-by-members-%d", flying), Role: "data path", X: "members", XUnit: "1",
			Y: "processor time of one Router.Step", YUnit: "s", Conditions: fmt.Sprintf("%d requests in flight, one request and one answer a step", flying)}
		for _, m := range members {
			took, err := stepTime(m, flying, steps, o.Seed)
			if err != nil {
				return err
			}
			s.Points = append(s.Points, measure.Point{X: float64(m), Y: took})
		}
		if err := r.series(s); err != nil {
			return err
		}
	}
	s := measure.Series{Name: "datapath.step-by-in-flight", Role: "data path", X: "requests in flight", XUnit: "1",
		Y: "processor time of one Router.Step", YUnit: "s", Conditions: fmt.Sprintf("%d members, one request and one answer a step", most)}
	for _, flying := range inFlight {
		took, err := stepTime(most, flying, steps, o.Seed)
		if err != nil {
			return err
		}
		s.Points = append(s.Points, measure.Point{X: float64(flying), Y: took})
	}
	return r.series(s)
}

// stepTime is the median over trials of the mean processor time of a Step.
func stepTime(members, inFlight, steps int, seed uint64) (float64, error) {
	d, err := newStepDriver(members, inFlight, seed)
	if err != nil {
		return 0, err
	}
	var trials []float64
	for range stepTrials {
		begun := threadTime()
		for range steps {
			d.step()
		}
		trials = append(trials, (threadTime()-begun).Seconds()/float64(steps))
	}
	slices.Sort(trials)
	return trials[len(trials)/2], nil
}

// stepDriver keeps a Router with so many requests in flight.
type stepDriver struct {
	router *aspenshed.Router
	now    aspenshed.Nanos
	groups int
	asked  int
	out    []aspenshed.Send // the oldest first
}

func newStepDriver(members, inFlight int, seed uint64) (*stepDriver, error) {
	s, err := settings(1)
	if err != nil {
		return nil, err
	}
	d := &stepDriver{now: worldStart, groups: members / stepGroup}
	if d.router, err = aspenshed.New(s, seed); err != nil {
		return nil, err
	}
	var list []aspenshed.Member
	for i := range members {
		list = append(list, aspenshed.Member{ID: fmt.Sprint("m", i), Group: i / stepGroup, Weight: 1, State: aspenshed.Up, Primary: i%stepGroup == 0})
	}
	d.router.Step(d.now, []aspenshed.Event{aspenshed.MemberList{Complete: true, Members: list}})
	for tries := 0; len(d.out) < inFlight && tries < 4*inFlight; tries++ {
		d.take([]aspenshed.Event{d.request()})
	}
	if len(d.out) < inFlight {
		return nil, fmt.Errorf("only %d of %d requests are in flight", len(d.out), inFlight)
	}
	return d, nil
}

func (d *stepDriver) request() aspenshed.Event {
	d.asked++
	return aspenshed.Request{ID: fmt.Sprint("q", d.asked), Class: anyRead, Group: d.asked % d.groups, Remaining: 3600 * second}
}

// step gives the Router one request and the oldest answer.
func (d *stepDriver) step() {
	events := []aspenshed.Event{d.request()}
	if len(d.out) > 0 {
		x := d.out[0]
		d.out = d.out[1:]
		events = append(events, aspenshed.AttemptResult{ID: x.ID, Member: x.Member, Outcome: aspenshed.Served, Final: true, Duration: stepAnswer,
			Role: aspenshed.RoleReplica})
	}
	d.take(events)
}

func (d *stepDriver) take(events []aspenshed.Event) {
	d.now += stepInterval
	for _, a := range d.router.Step(d.now, events) {
		if x, ok := a.(aspenshed.Send); ok {
			d.out = append(d.out, x)
		}
	}
}
