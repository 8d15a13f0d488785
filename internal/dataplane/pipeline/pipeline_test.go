package pipeline

import (
	"fmt"
	"io"
	"testing"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/dataplane/routing"
)

const ms = aspenshed.Nanos(1e6)

type clock struct{ now aspenshed.Nanos }

func (c *clock) Now() aspenshed.Nanos { return c.now }

// silent is a backend whose links never come up.
type silent struct{}

func (silent) Open(string, aspenshed.Nanos, bool, request.ConnectionEvents) (request.Connection, error) {
	return silent{}, nil
}
func (silent) Send(any, aspenshed.Nanos) bool { return true }
func (silent) Probe() bool                    { return true }
func (silent) MayHaveSent() bool              { return false }
func (silent) Close()                         {}

// client counts its answers.
type client struct{ got []request.Response }

func (c *client) Respond(f request.Response) { c.got = append(c.got, f) }

// brittle panics when it is told so.
type brittle struct {
	routing.Decider
	now *bool
}

func (b brittle) Step(now aspenshed.Nanos, events []aspenshed.Event) []aspenshed.Action {
	if *b.now {
		*b.now = false
		panic("a defect in the module")
	}
	return b.Decider.Step(now, events)
}

func start(t *testing.T, most int) (*Pipeline, *clock, *bool) {
	c := &clock{1000 * ms}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Loop: eventloop.NewLoop(c), Log: logrus.NewEntry(log), MaxPending: most, Backend: silent{}, Watch: func() {}, Settings: aspenshed.Settings{
		MayProbe: true, MaxAttempts: 3, ResponseSlack: 20 * ms, Classes: []aspenshed.Class{{Name: "booking", Consistency: aspenshed.Write, LatencyTarget: 400 * ms,
			ClientTimeout: 2000 * ms, Value: 1, LateValue: 0.5, RetrySafety: aspenshed.Unsafe}}}})
	var fail bool
	e.Routing.NewDecider = func(s aspenshed.Settings, seed uint64) (routing.Decider, error) {
		r, err := aspenshed.New(s, seed)
		return brittle{r, &fail}, err
	}
	if err := e.Start(aspenshed.MemberList{Complete: true, Members: []aspenshed.Member{{ID: "a", Group: 1, State: aspenshed.Up}}}, map[string]string{"a": "h:1"}); err != nil {
		t.Fatal(err)
	}
	return e, c, &fail
}

func (c *client) ask(e *Pipeline) *request.Request {
	return e.Accept.Accept(request.Query{Group: 1, Timeout: 900 * ms, Client: c}, e.Loop.Now())
}

// Guards rule 1 against a defect in the module: whoever waits gets an answer, and the next request is decided.
func TestPanicInTheModuleAnswersEverybody(t *testing.T) {
	e, _, fail := start(t, 10)
	var c client
	c.ask(e)
	e.Loop.Post(func() {})
	e.Loop.RunPending()
	if len(c.got) != 0 {
		t.Fatalf("answered at once: %+v", c.got)
	}
	*fail = true
	e.Loop.Post(func() {})
	e.Loop.RunPending()
	if len(c.got) != 1 || c.got[0].Status != request.Refused || e.Response.Pending() != 0 {
		t.Fatalf("after the panic: %+v", c.got)
	}
	c.ask(e)
	e.Loop.Post(func() {})
	e.Loop.RunPending()
	if e.Response.Pending() != 1 || len(c.got) != 1 {
		t.Errorf("the next request was not held: %+v", c.got)
	}
}

// Guards rule 1 against a module that says nothing: the answer at the deadline promises only what is known.
func TestDeadlineAnswersWithoutTheModule(t *testing.T) {
	for out, want := range map[bool]request.Status{true: request.Failed, false: request.Refused} {
		e, clock, _ := start(t, 10)
		var c client
		r := c.ask(e)
		r.InFlight = out
		clock.now += 910 * ms
		e.Loop.AfterBatch = func() {} // the module is not asked
		e.Loop.RunPending()
		if len(c.got) != 1 || c.got[0].Status != want {
			t.Errorf("out %t: %+v", out, c.got)
		}
		e.Fail(r.ID)
		e.Abandon(r)
		if len(c.got) != 1 {
			t.Errorf("%d answers", len(c.got))
		}
	}
}

func TestMoreThanMayBeHeldIsRefused(t *testing.T) {
	e, _, _ := start(t, 1)
	var a, b client
	a.ask(e)
	b.ask(e)
	if len(a.got) != 0 || len(b.got) != 1 || b.got[0].Status != request.Refused {
		t.Errorf("first %+v, second %+v", a.got, b.got)
	}
}

// Guards all other requests against a defect in one stage or front.
func TestPanicOnTheLoopIsSurvived(t *testing.T) {
	e, clock, _ := start(t, 10)
	var said []any
	e.Loop.OnPanic = func(p any) { said = append(said, p) }
	var c client
	e.Loop.Post(func() { c.ask(e) })
	e.Loop.Post(func() { panic("a defect") })
	e.Loop.RunPending()
	clock.now += 910 * ms
	if e.Loop.RunPending(); len(said) != 1 || len(c.got) != 1 {
		t.Errorf("heard of %v, answers %+v", said, c.got)
	}
}

// Guards memory on long days: what a new Router would start from holds the members there are, not all there were.
func TestMembersThatLeftAreNotKept(t *testing.T) {
	e, _, _ := start(t, 10)
	for i := range 50 {
		id := fmt.Sprint("n", i)
		e.Members(aspenshed.MemberList{Members: []aspenshed.Member{{ID: id, Group: 1, State: aspenshed.Up}}}, map[string]string{id: "h:2"})
		e.Members(aspenshed.MemberList{Members: []aspenshed.Member{{ID: id, Group: 1, State: aspenshed.Removed}}}, nil)
	}
	if got := e.Routing.LastMembers(); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("kept %+v", got)
	}
}

// Guards "one attempt out per request" where settings allow more: the module must know that a silent attempt is to be given
// up before the next goes out. Asked for a copy, send would refuse it, and the read stay where nobody answers.
func TestTheModuleAsksForNoCopies(t *testing.T) {
	var told []aspenshed.Settings
	e := New(Config{Loop: eventloop.NewLoop(&clock{1000 * ms}), Log: logrus.NewEntry(logrus.New()), Backend: silent{}, Watch: func() {},
		Settings: aspenshed.Settings{MayHedge: true, MayCancel: true, Classes: []aspenshed.Class{{Name: "x", Consistency: aspenshed.Eventual, LatencyTarget: ms, ClientTimeout: ms, RetrySafety: aspenshed.Safe}}}})
	e.Routing.NewDecider = func(s aspenshed.Settings, seed uint64) (routing.Decider, error) {
		told = append(told, s)
		return aspenshed.New(s, seed)
	}
	if err := e.Start(aspenshed.MemberList{}, nil); err != nil || len(told) != 1 || told[0].MayHedge || !told[0].MayCancel {
		t.Errorf("%v: the module was told %+v", err, told)
	}
}

// Guards clients that prepare a statement as the gateway ends: nothing has run, so they may come again elsewhere.
func TestWhatIsOnlyPreparedIsRefused(t *testing.T) {
	for auxiliary, want := range map[bool]request.Status{true: request.Refused, false: request.Failed} {
		e, _, _ := start(t, 10)
		var c client
		r := c.ask(e)
		r.PrepareOnly, r.InFlight = auxiliary, true
		if e.FailAll("the gateway ends"); len(c.got) != 1 || c.got[0].Status != want {
			t.Errorf("only prepared %t: answered %+v, want %d", auxiliary, c.got, want)
		}
	}
}
