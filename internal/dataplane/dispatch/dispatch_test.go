package dispatch

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

const ms = aspenshed.Nanos(1e6)

type clock struct{ now aspenshed.Nanos }

func (c *clock) Now() aspenshed.Nanos { return c.now }

// fake is a link and the log of what was done to it.
type fake struct {
	ev     request.ConnectionEvents
	asked  bool // a statement waits for the link to show that it is alive
	sent   bool
	closed bool
	broken bool // writes fail
}

func (f *fake) Send(any, aspenshed.Nanos) bool { f.asked = !f.broken; return f.asked }
func (f *fake) Probe() bool                    { f.sent = !f.broken; return f.sent }
func (f *fake) MayHaveSent() bool              { return f.sent }
func (f *fake) Close()                         { f.closed = true }

// up brings the link up; alive shows that it is alive, so that the statement leaves.
func (f *fake) up()    { f.ev.Ready() }
func (f *fake) alive() { f.sent = f.asked && f.ev.AllowSend() }

func (f *fake) done() {
	f.asked, f.sent = false, false
	f.ev.Done(request.Result{Outcome: aspenshed.Served})
}

// rig is a stage over fake links.
type rig struct {
	*Stage
	t       *testing.T
	clock   *clock
	links   []*fake
	live    map[string]*request.Request
	ends    []aspenshed.AttemptResult
	most    int // links open at once
	lag     int // closed links whose descriptors have yet to be given back
	leaveBy aspenshed.Nanos
}

func (g *rig) Open(_ string, _ aspenshed.Nanos, _ bool, ev request.ConnectionEvents) (request.Connection, error) {
	open := g.lag
	for _, f := range g.links {
		if !f.closed {
			open++
		}
	}
	if open >= g.most {
		return nil, errors.New("no descriptor")
	}
	f := &fake{ev: ev}
	g.links = append(g.links, f)
	return f, nil
}

func newRig(t *testing.T) *rig {
	g := &rig{t: t, clock: &clock{1000 * ms}, live: map[string]*request.Request{}, most: 100}
	log := logrus.New()
	log.SetOutput(io.Discard)
	none := func(string, request.Result) {}
	g.Stage = &Stage{Loop: eventloop.NewLoop(g.clock), Log: logrus.NewEntry(log), Backend: g, ConnectTimeout: 250 * ms, IdleClose: 15000 * ms,
		FindRequest: func(id string) *request.Request { return g.live[id] }, OnAnswer: func(*request.Request, request.Result) {}, OnSettled: func(*request.Request) {}, OnAttemptEnd: func(*request.Request, string, request.Result) {}, OnProbeEnd: none,
		Emit: func(e aspenshed.Event) {
			if a, ok := e.(aspenshed.AttemptResult); ok {
				g.ends = append(g.ends, a)
			}
		}}
	g.Start()
	g.UpdateMembers(aspenshed.MemberList{Complete: true, Members: []aspenshed.Member{{ID: "a", State: aspenshed.Up}}}, map[string]string{"a": "h:1"})
	return g
}

// attempt sends a new request to a and returns the link it got.
func (g *rig) attempt(id string) *fake {
	g.live[id] = &request.Request{ID: id, Deadline: g.clock.now + 900*ms}
	g.Send(id, "a", g.live[id].Attempts, 0, g.leaveBy)
	if len(g.links) == 0 {
		return nil
	}
	return g.links[len(g.links)-1]
}

// idle is a link that has served a request and lies idle.
func (g *rig) idle(id string) *fake {
	f := g.attempt(id)
	f.up()
	f.alive()
	f.done()
	g.ended(aspenshed.Served)
	return f
}

func (g *rig) pass(d aspenshed.Nanos) {
	g.clock.now += d
	g.Loop.RunPending()
}

func (g *rig) ended(want aspenshed.Outcome) {
	g.t.Helper()
	g.Loop.RunPending()
	if len(g.ends) != 1 || g.ends[0].Outcome != want {
		g.t.Fatalf("ended as %+v, want outcome %d once", g.ends, want)
	}
	g.ends = nil
}

// Guards rule 2: what may have run and what never did are told apart by whether the last byte may have left.
func TestHasItRun(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*rig, *fake)
		want aspenshed.Outcome
	}{
		"the member refuses":               {func(_ *rig, f *fake) { f.ev.Lost(request.ConnectFailed, io.EOF) }, aspenshed.ConnectFailed},
		"cut before the statement leaves":  {func(g *rig, f *fake) { g.cutAll(f) }, aspenshed.ConnectFailed},
		"cut after the statement has left": {func(_ *rig, f *fake) { f.up(); f.alive(); f.ev.Lost(request.LostAfterSend, io.EOF) }, aspenshed.ConnectionLost},
		"no sign of life":                  {func(g *rig, f *fake) { f.up(); g.pass(250 * ms) }, aspenshed.ConnectFailed},
		"no answer by the deadline":        {func(g *rig, f *fake) { f.up(); f.alive(); g.pass(900 * ms) }, aspenshed.TimedOut},
		"no link by the deadline":          {func(g *rig, f *fake) { g.pass(900 * ms) }, aspenshed.ConnectFailed},
		"given up by the module":           {func(g *rig, f *fake) { f.up(); f.alive(); g.Cancel("q", 0) }, aspenshed.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			f := g.attempt("q")
			c.do(g, f)
			g.ended(c.want)
			if f = g.links[len(g.links)-1]; !f.closed {
				t.Error("the link is still open: a second copy could be out")
			}
			if f.ev.Done(request.Result{Outcome: aspenshed.Served}); len(g.ends) > 0 {
				t.Error("an answer after the end counted")
			}
			ran := c.want != aspenshed.ConnectFailed
			if g.live["q"].MayHaveRun != ran || g.live["q"].InFlight {
				t.Errorf("may have run: %t, want %t", !ran, ran)
			}
		})
	}
	g := newRig(t)
	g.most = 0
	g.attempt("q")
	g.ended(aspenshed.NotSent)
}

// cutAll cuts each link that an attempt takes up, before the statement leaves.
func (g *rig) cutAll(f *fake) {
	for n := 0; n != len(g.links); f = g.links[len(g.links)-1] {
		n = len(g.links)
		f.up()
		f.ev.Lost(request.LostBeforeSend, io.EOF)
	}
}

// Guards bookings against links that members or the network drop unseen: what has not left goes by another link.
func TestCutBeforeTheStatementLeavesTakesAnotherLink(t *testing.T) {
	g := newRig(t)
	old := g.attempt("q")
	old.up()
	old.alive()
	old.done()
	g.ended(aspenshed.Served)
	g.pass(100 * ms)
	if g.attempt("r"); !old.asked || len(g.links) != 1 {
		t.Fatal("the idle link was not taken")
	}
	old.ev.Lost(request.LostBeforeSend, io.EOF)
	next := g.links[len(g.links)-1]
	next.up()
	next.alive()
	next.done()
	if g.ended(aspenshed.Served); len(g.links) != 2 || g.live["r"].Attempts != 1 {
		t.Errorf("%d links, %d attempts", len(g.links), g.live["r"].Attempts)
	}
	next.ev.Lost(request.LostBeforeSend, io.EOF) // while it is idle: nobody's end
	if len(g.ends) != 0 {
		t.Errorf("%+v", g.ends)
	}
	g.attempt("s").up()
	g.pass(250 * ms)
	g.ended(aspenshed.ConnectFailed)
}

// Guards the age of data: a read whose link was slow to come up does not leave.
func TestTooLateToLeave(t *testing.T) {
	for wait, want := range map[aspenshed.Nanos]aspenshed.Outcome{20 * ms: aspenshed.Served, 21 * ms: aspenshed.Ineligible} {
		g := newRig(t)
		g.leaveBy = g.clock.now + 20*ms
		f := g.attempt("q")
		g.pass(wait)
		f.up()
		f.alive()
		if f.sent != (want == aspenshed.Served) || f.closed == f.sent {
			t.Errorf("after %d ms: sent %t, closed %t", wait/ms, f.sent, f.closed)
		}
		if f.sent {
			f.done()
		}
		g.ended(want)
	}
}

// Guards members against being thought ill of for our own want of descriptors: idle links make room.
// Guards rule 3: the word of a drain may come while an attempt waits for its link, and nothing leaves after it. Who is
// only absent from a list, where that does not bind, still gets what was on its way.
func TestNothingLeavesAfterTheWordOfADrain(t *testing.T) {
	for name, c := range map[string]struct {
		list aspenshed.MemberList
		soft bool
		want aspenshed.Outcome // 0: it leaves
	}{
		"draining":     {aspenshed.MemberList{Members: []aspenshed.Member{{ID: "a", State: aspenshed.Draining}}}, true, aspenshed.Ineligible},
		"gone":         {aspenshed.MemberList{Members: []aspenshed.Member{{ID: "a", State: aspenshed.Removed}}}, false, aspenshed.Ineligible},
		"absent":       {aspenshed.MemberList{Complete: true}, false, aspenshed.Ineligible},
		"only absent":  {aspenshed.MemberList{Complete: true}, true, 0},
		"another word": {aspenshed.MemberList{Members: []aspenshed.Member{{ID: "a", State: aspenshed.Up}}}, false, 0},
	} {
		g := newRig(t)
		g.RemovalNotBinding = c.soft
		f := g.attempt("q")
		g.UpdateMembers(c.list, nil)
		f.up()
		if f.alive(); f.sent != (c.want == 0) {
			t.Errorf("%s: sent %t", name, f.sent)
		}
		if c.want != 0 {
			g.ended(c.want)
		}
	}
}

func TestIdleLinksMakeRoom(t *testing.T) {
	g := newRig(t)
	g.most = 2
	g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: "b", State: aspenshed.Up}}}, map[string]string{"b": "h:2"})
	idle := g.idle("q")
	for _, id := range []string{"r", "s", "t"} {
		g.live[id] = &request.Request{ID: id, Deadline: g.clock.now + 900*ms}
	}
	g.Send("r", "b", 0, 0, 0)
	if g.Send("s", "b", 0, 0, 0); !idle.closed || len(g.links) != 3 {
		t.Errorf("%d links, the idle one closed: %t", len(g.links), idle.closed)
	}
	g.Send("t", "b", 0, 0, 0)
	g.ended(aspenshed.NotSent)
}

// Guards what is owed where descriptors are scarce: that of a closed link comes back a moment later.
func TestRoomIsWaitedFor(t *testing.T) {
	for _, back := range []bool{true, false} {
		g := newRig(t)
		g.most = 1
		g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: "b", State: aspenshed.Up}}}, map[string]string{"b": "h:2"})
		idle := g.idle("q")
		g.lag = 1
		g.live["r"] = &request.Request{ID: "r", Deadline: g.clock.now + 900*ms}
		if g.Send("r", "b", 0, 0, 0); !idle.closed || len(g.links) != 1 || len(g.ends) != 0 {
			t.Fatalf("idle link closed %t, %d links, ended %+v", idle.closed, len(g.links), g.ends)
		}
		if back {
			g.lag = 0
		}
		if g.pass(descriptorWait); !back {
			g.ended(aspenshed.NotSent)
		} else if len(g.links) != 2 {
			t.Errorf("%d links", len(g.links))
		}
	}
}

// Guards "one attempt out per request, and none for a request that has its answer".
func TestNoSecondCopy(t *testing.T) {
	g := newRig(t)
	g.attempt("q").up()
	g.Send("q", "a", 1, 0, 0)
	g.ended(aspenshed.NotSent)
	g.Send("gone", "a", 3, 0, 0)
	if len(g.links) != 1 {
		t.Errorf("%d links opened", len(g.links))
	}
	g.Loop.RunPending()
	if len(g.ends) != 1 || g.ends[0] != (aspenshed.AttemptResult{ID: "gone", Attempt: 3, Member: "a", Outcome: aspenshed.NotSent, Final: true}) {
		t.Errorf("the module heard %+v of the request whose client had left: it would count the attempt for ever", g.ends)
	}
}

// Guards "not sent on once its client has left", and refusals: what has its answer must not run after it. At whatever
// point before the last byte it is withdrawn, nothing leaves and all is given back once.
func TestNothingLeavesForARequestThatHasItsAnswer(t *testing.T) {
	for name, reach := range map[string]func(*rig, *fake){
		"no link yet":           func(*rig, *fake) {},
		"link just up":          func(_ *rig, f *fake) { f.up() },
		"another link":          func(_ *rig, f *fake) { f.up(); f.ev.Lost(request.LostBeforeSend, io.EOF) },
		"last byte not written": func(_ *rig, f *fake) { f.up(); f.ev.AllowSend(); f.ev.Lost(request.LostBeforeSend, io.EOF) },
		"end on its way":        func(g *rig, f *fake) { g.most = 1; f.up(); f.ev.Lost(request.LostBeforeSend, io.EOF) },
	} {
		g := newRig(t)
		f := g.attempt("q")
		reach(g, f)
		r := g.live["q"]
		r.Responded = true
		g.Withdraw(r)
		for _, l := range g.links { // a link comes up late, its sign of life later still
			l.ev.Ready()
			if l.ev.AllowSend() {
				t.Errorf("%s: the statement left", name)
			}
		}
		g.ended(aspenshed.NotSent)
		g.pass(1500 * ms)
		if len(g.ends) != 0 || r.MayHaveRun || g.HasAttempt(r) || g.PendingSends() != 0 {
			t.Errorf("%s: ended again as %+v, may have run %t, busy %d", name, g.ends, r.MayHaveRun, g.PendingSends())
		}
	}
	g := newRig(t)
	f := g.attempt("q")
	f.up()
	f.alive()
	g.live["q"].Responded = true
	if g.Withdraw(g.live["q"]); f.closed || len(g.ends) != 0 {
		t.Error("an attempt that is out was withdrawn: that is the module's to decide")
	}
}

// Guards drains: the member's state is asked again before the first byte, of a statement as of a probe.
func TestNoByteLeavesForALeavingMember(t *testing.T) {
	for _, state := range []aspenshed.MemberState{aspenshed.Draining, aspenshed.Removed} {
		g := newRig(t)
		statement := g.attempt("q")
		g.Probe("a")
		probe := g.links[1]
		g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: "a", State: state}}}, nil)
		statement.up()
		probe.up()
		if statement.asked || probe.sent || !statement.closed || !probe.closed {
			t.Errorf("state %d: statement asked %t, probe sent %t", state, statement.asked, probe.sent)
		}
		g.ended(aspenshed.Ineligible)
		if g.PendingSends() != 0 {
			t.Errorf("%d are busy", g.PendingSends())
		}
	}
}

func TestIdleLinksAreUsedAgainAndClosedInTime(t *testing.T) {
	g := newRig(t)
	first := g.attempt("q")
	first.up()
	first.alive()
	first.done()
	g.ended(aspenshed.Served)
	if g.attempt("r"); len(g.links) != 1 || !first.asked {
		t.Fatal("the idle link was not used again")
	}
	first.alive()
	first.done()
	g.ended(aspenshed.Served)
	for past := aspenshed.Nanos(0); past < 14500*ms; past += sweepInterval { // the member closes after 15 s
		g.pass(sweepInterval)
	}
	if !first.closed {
		t.Error("the link lay idle until the member closed it")
	}
	next := g.attempt("s")
	next.up()
	next.alive()
	next.done()
	g.ended(aspenshed.Served)
	g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: "a", State: aspenshed.Draining}}}, nil)
	if !next.closed {
		t.Error("a draining member keeps an idle link")
	}
}

func TestSilentProbeEndsAndTheNextUsesANewLink(t *testing.T) {
	g := newRig(t)
	var got []aspenshed.ProbeResult
	tell := g.Emit
	g.Emit = func(e aspenshed.Event) {
		if p, ok := e.(aspenshed.ProbeResult); ok {
			got = append(got, p)
		}
		tell(e)
	}
	g.Probe("a")
	g.links[0].ev.Ready()
	if g.PendingSends() != 1 {
		t.Error("a probe that is out is not counted")
	}
	g.pass(probeTimeout)
	if len(got) != 1 || got[0].Outcome != aspenshed.TimedOut || !g.links[0].closed || g.PendingSends() != 0 {
		t.Fatalf("silent probe: %+v", got)
	}
	g.Probe("a")
	if len(g.links) != 2 {
		t.Error("the silent link was used again")
	}
}

// Guards memory on long days: members come under new ids.
func TestPoolsOfTheGoneAreForgotten(t *testing.T) {
	g := newRig(t)
	f := g.attempt("q")
	f.up()
	f.alive()
	for i := range 100 {
		id := fmt.Sprint("n", i)
		g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: id, State: aspenshed.Up}}}, map[string]string{id: "h:2"})
		g.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{{ID: id, State: aspenshed.Removed}}}, nil)
	}
	g.UpdateMembers(aspenshed.MemberList{Complete: true, Members: []aspenshed.Member{{ID: "b", State: aspenshed.Up}}}, map[string]string{"b": "h:3"})
	if len(g.pools) != 1 {
		t.Errorf("%d pools, want that of the one member", len(g.pools))
	}
	f.ev.Done(request.Result{Outcome: aspenshed.Served})
	if g.ended(aspenshed.Served); !f.closed {
		t.Error("the link of a member that is gone is kept")
	}
}

// Guards members short of connections, and the price of new ones: with 80 gateways a link of each kept for probes
// alone doubled them. A probe goes out on an idle link and leaves it to the next attempt; only with none it opens one.
func TestProbesAndAttemptsShareLinks(t *testing.T) {
	g := newRig(t)
	g.Probe("a")
	f := g.links[0]
	f.up()
	f.done()
	for range 3 {
		if got := g.attempt("q"); got != f || len(g.links) != 1 {
			t.Fatalf("the attempt opened another link: %d", len(g.links))
		}
		f.alive()
		f.done()
		g.ended(aspenshed.Served)
		g.Probe("a")
		if f.done(); len(g.links) != 1 {
			t.Fatalf("the probe opened another link: %d", len(g.links))
		}
	}
	g.attempt("r") // out on the link: a probe does not wait for it
	if g.Probe("a"); len(g.links) != 2 {
		t.Errorf("%d links, want a second one for the probe beside an attempt", len(g.links))
	}
}
