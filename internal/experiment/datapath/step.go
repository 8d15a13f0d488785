package datapath

import (
	"fmt"
	"slices"

	"aspenshed"

	"aspenshed/internal/experiment/measure"
)

const (
	stepTrials       = 7 // the median is recorded
	stepGroupSize    = 5 // members per group, as in BenchmarkStep
	stepInterval     = 10 * aspenshed.Nanos(1e3)
	stepResponseTime = 20 * millisecond
)

// measureStep measures the processor time of one Step with one request and one response, as BenchmarkStep does, by
// members and by requests in flight.
func measureStep(r *recorder, o Options) error {
	members, inFlight, steps := []int{20, 2100, 10500, 21000}, []int{100, 300, 600, 1200}, 4000
	if o.Short {
		members, inFlight, steps = []int{20, 200, 400}, []int{10, 20}, 50
	}
	maxMembers := members[len(members)-1]
	for _, count := range []int{inFlight[0], inFlight[len(inFlight)-1]} {
		if count > inFlight[0] { // the windows of few members admit fewer requests in flight
			members = members[1:]
		}
		s := measure.Series{Name: fmt.Sprintf("datapath.step-by-members-%d", count), Role: "data path", X: "members", XUnit: "1",
			Y: "processor time of one Router.Step", YUnit: "s", Conditions: fmt.Sprintf("%d requests in flight, one request and one answer a step", count)}
		for _, m := range members {
			took, err := stepTime(m, count, steps, o.Seed)
			if err != nil {
				return err
			}
			s.Points = append(s.Points, measure.Point{X: float64(m), Y: took})
		}
		if err := r.addSeries(s); err != nil {
			return err
		}
	}
	s := measure.Series{Name: "datapath.step-by-in-flight", Role: "data path", X: "requests in flight", XUnit: "1",
		Y: "processor time of one Router.Step", YUnit: "s", Conditions: fmt.Sprintf("%d members, one request and one answer a step", maxMembers)}
	for _, count := range inFlight {
		took, err := stepTime(maxMembers, count, steps, o.Seed)
		if err != nil {
			return err
		}
		s.Points = append(s.Points, measure.Point{X: float64(count), Y: took})
	}
	return r.addSeries(s)
}

// stepTime returns the median over trials of the mean processor time of a Step.
func stepTime(members, inFlight, steps int, seed uint64) (float64, error) {
	d, err := newStepDriver(members, inFlight, seed)
	if err != nil {
		return 0, err
	}
	var trials []float64
	for range stepTrials {
		startedAt := threadCPUTime()
		for range steps {
			d.step()
		}
		trials = append(trials, (threadCPUTime()-startedAt).Seconds()/float64(steps))
	}
	slices.Sort(trials)
	return trials[len(trials)/2], nil
}

// stepDriver drives a Router with a constant number of requests in flight.
type stepDriver struct {
	router       *aspenshed.Router
	now          aspenshed.Nanos
	groups       int
	requestCount int
	inFlight     []aspenshed.Send // oldest first
}

func newStepDriver(members, inFlight int, seed uint64) (*stepDriver, error) {
	s, err := settings(1)
	if err != nil {
		return nil, err
	}
	d := &stepDriver{now: simulationStart, groups: members / stepGroupSize}
	if d.router, err = aspenshed.New(s, seed); err != nil {
		return nil, err
	}
	var list []aspenshed.Member
	for i := range members {
		list = append(list, aspenshed.Member{ID: fmt.Sprint("m", i), Group: i / stepGroupSize, Weight: 1, State: aspenshed.Up, Primary: i%stepGroupSize == 0})
	}
	d.router.Step(d.now, []aspenshed.Event{aspenshed.MemberList{Complete: true, Members: list}})
	for tries := 0; len(d.inFlight) < inFlight && tries < 4*inFlight; tries++ {
		d.apply([]aspenshed.Event{d.request()})
	}
	if len(d.inFlight) < inFlight {
		return nil, fmt.Errorf("only %d of %d requests in flight", len(d.inFlight), inFlight)
	}
	return d, nil
}

func (d *stepDriver) request() aspenshed.Event {
	d.requestCount++
	return aspenshed.Request{ID: fmt.Sprint("q", d.requestCount), Class: anyRead, Group: d.requestCount % d.groups, Remaining: 3600 * second}
}

// step passes the Router one request and the response of the oldest request in flight.
func (d *stepDriver) step() {
	events := []aspenshed.Event{d.request()}
	if len(d.inFlight) > 0 {
		x := d.inFlight[0]
		d.inFlight = d.inFlight[1:]
		events = append(events, aspenshed.AttemptResult{ID: x.ID, Member: x.Member, Outcome: aspenshed.Served, Final: true, Duration: stepResponseTime,
			Role: aspenshed.RoleReplica})
	}
	d.apply(events)
}

func (d *stepDriver) apply(events []aspenshed.Event) {
	d.now += stepInterval
	for _, a := range d.router.Step(d.now, events) {
		if x, ok := a.(aspenshed.Send); ok {
			d.inFlight = append(d.inFlight, x)
		}
	}
}
