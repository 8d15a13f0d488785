package datapath

import (
	"fmt"
	"slices"

	"aspenshed"

	"aspenshed/internal/experiment/measure"
)

const (
	stepTrials       = 7 // whose median counts
	stepGroupSize    = 5 // members of a group, as in BenchmarkStep
	stepInterval     = 10 * aspenshed.Nanos(1e3)
	stepResponseTime = 20 * millisecond
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
		if err := r.addSeries(s); err != nil {
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
	return r.addSeries(s)
}

// stepTime is the median over trials of the mean processor time of a Step.
func stepTime(members, inFlight, steps int, seed uint64) (float64, error) {
	d, err := newStepDriver(members, inFlight, seed)
	if err != nil {
		return 0, err
	}
	var trials []float64
	for range stepTrials {
		begun := threadCPUTime()
		for range steps {
			d.step()
		}
		trials = append(trials, (threadCPUTime()-begun).Seconds()/float64(steps))
	}
	slices.Sort(trials)
	return trials[len(trials)/2], nil
}

// stepDriver keeps a Router with so many requests in flight.
type stepDriver struct {
	router       *aspenshed.Router
	now          aspenshed.Nanos
	groups       int
	requestCount int
	inFlight     []aspenshed.Send // the oldest first
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
		return nil, fmt.Errorf("only %d of %d requests are in flight", len(d.inFlight), inFlight)
	}
	return d, nil
}

func (d *stepDriver) request() aspenshed.Event {
	d.requestCount++
	return aspenshed.Request{ID: fmt.Sprint("q", d.requestCount), Class: anyRead, Group: d.requestCount % d.groups, Remaining: 3600 * second}
}

// step gives the Router one request and the oldest answer.
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
