package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestLinesFromFragmentsOfAnySize(t *testing.T) {
	text := head + chunk("{\"a\":1}\n{\"b\"") + chunk(":2}\n\n") + "0\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		var r response
		var got []string
		var err error
		for at := 0; at < len(text) && err == nil; at += size {
			err = r.feed([]byte(text[at:min(at+size, len(text))]), func(l []byte) error {
				got = append(got, string(l))
				return nil
			})
		}
		if s := strings.Join(got, "|"); s != `{"a":1}|{"b":2}|` || !errors.Is(err, errBodyEnded) {
			t.Fatalf("in pieces of %d: %q, %v", size, s, err)
		}
	}
}

func TestBadAnswersEndTheWatch(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 503 busy\r\n\r\n", "SSH-2.0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nnull\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n",
		head + "zz\r\n", head + "2\r\nabc\r\n", head + strings.Repeat("1", 2000), head + chunk("[]\n"), head + chunk("null\n"),
		head + strings.Repeat(chunk("{"+strings.Repeat(" ", 64<<10)), 65)} {
		var r response
		if err := r.feed([]byte(text), func([]byte) error { return nil }); err == nil {
			t.Errorf("%q passed", text)
		}
	}
}

func TestConvert(t *testing.T) {
	x := Instance{ID: "s-1", HostPort: "h:1", Zone: "b", Cell: 3, Lifecycle: "terminating", StartedAtMs: 5, Recovery: "off"}
	u, err := Convert(List{Reset: true, Instances: []Instance{x}}, []string{"a", "b"})
	want := aspenshed.Member{ID: "s-1", Group: 3, Zone: 1, Weight: 1, StartedAt: 5e6, State: aspenshed.Draining, Primary: true}
	if err != nil || !u.List.Complete || u.List.Members[0] != want || u.Addresses["s-1"] != "h:1" {
		t.Errorf("%v: %+v", err, u)
	}
}

// Guards the drains and the other members of a list in which one entry is bad: before, all of it was dropped. What is
// not understood is said with its place, and such a member gets nothing new.
func TestTheGoodPartOfABadListCounts(t *testing.T) {
	for entry, want := range map[string]struct {
		state aspenshed.MemberState // 0: left out
		fault string
	}{
		`{"instanceId":"x","hostPort":"h:1","lifecycle":"asleep"}`:                     {aspenshed.Draining, `instances[1].lifecycle: unknown value "asleep"`},
		`{"instanceId":"x","hostPort":"h:1"}`:                                          {aspenshed.Draining, `instances[1].lifecycle missing`},
		`{"instanceId":"x","lifecycle":"in_service"}`:                                  {aspenshed.Draining, "instances[1].hostPort"},
		`{"instanceId":"x","hostPort":7,"lifecycle":"in_service"}`:                     {aspenshed.Draining, "instances[1]: json"},
		`{"instanceId":"x","hostPort":"h:1","lifecycle":"in_service","weight":"much"}`: {aspenshed.Up, "instances[1]: json"},
		`{"hostPort":"h:1","lifecycle":"in_service"}`:                                  {0, "instances[1]: instanceId"},
		`{"instanceId":7,"hostPort":"h:1","lifecycle":"in_service"}`:                   {0, "instances[1]: json"},
		`7`: {0, "instances[1]: json"},
		`{"instanceId":"x","hostPort":"h:1","lifecycle":"terminated"},{"instanceId":"x","hostPort":"h:1","lifecycle":"in_service"}`: {
			aspenshed.Removed, `instances[2].instanceId: "x" stands there already`},
	} {
		var l List
		text := `{"generation":1,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"terminating"},` + entry + `,{"instanceId":"b","hostPort":"h:1","lifecycle":"in_service"}]}`
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Errorf("%s: %v", entry, err)
			continue
		}
		u, err := Convert(l, nil)
		got := map[string]aspenshed.MemberState{}
		for _, m := range u.List.Members {
			got[m.ID] = m.State
		}
		if err == nil || !strings.Contains(err.Error(), want.fault) || got["a"] != aspenshed.Draining || got["b"] != aspenshed.Up || got["x"] != want.state {
			t.Errorf("%s: %v, %v", entry, got, err)
		}
	}
}

type clock struct{ now aspenshed.Nanos }

func (c *clock) Now() aspenshed.Nanos { return c.now }

// server is a connection of a stand-in discovery service.
type server struct {
	conn *netio.Conn
	line string
	asks chan *server
}

func (s *server) Up() {}
func (s *server) Data(b []byte) {
	s.line = strings.SplitN(string(b), "\r\n", 2)[0]
	s.asks <- s
}
func (s *server) Closed(error) {}

// rig is a watcher and a stand-in discovery service.
type rig struct {
	*Watcher
	t        *testing.T
	clock    *clock
	asks     chan *server
	versions []string
	states   map[string]aspenshed.MemberState
	broke    int
	last     aspenshed.DiscoveryFailed
}

func newRig(t *testing.T) *rig {
	g := &rig{t: t, clock: &clock{100e9}, asks: make(chan *server, 10), states: map[string]aspenshed.MemberState{}}
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	n := g.service()
	g.Watcher = &Watcher{Loop: eventloop.NewLoop(g.clock), Log: logrus.NewEntry(log), Net: n, Address: n.Addr(), Version: 41, OnBreak: func(b aspenshed.DiscoveryFailed) { g.broke, g.last = g.broke+1, b },
		OnUpdate: func(u Update) {
			g.versions = append(g.versions, fmt.Sprint(u.List.Complete, len(u.List.Members)))
			for _, m := range u.List.Members {
				g.states[m.ID] = m.State
			}
		}}
	return g
}

func (g *rig) service() *netio.Net {
	n, err := netio.New(netio.Config{Listen: "127.0.0.1:0", MaxClients: 9, MaxDials: 9, Accept: func(c *netio.Conn) netio.Handler {
		return &server{conn: c, asks: g.asks}
	}})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(n.Stop)
	return n
}

func (g *rig) until(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); g.Loop.RunPending() {
		if time.Now().After(end) {
			g.t.Fatalf("never came: %s", what)
		}
	}
}

// asked is the next question.
func (g *rig) asked() (got *server) {
	g.t.Helper()
	g.until("the question", func() bool {
		select {
		case got = <-g.asks:
		default:
		}
		return got != nil
	})
	return got
}

// watched opens a watch that has told version 42.
func (g *rig) watched() *server {
	g.t.Helper()
	g.Watch()
	s := g.asked()
	_ = s.conn.Write([]byte(head))
	s.tell(42)
	g.until("the first update", func() bool { return len(g.versions) == 1 })
	return s
}

func (s *server) tell(generation int) {
	_ = s.conn.Write([]byte(chunk(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[`+
		`{"instanceId":"s-1","hostPort":"h:1","lifecycle":"in_service"}]}`, generation) + "\n")))
}

// A watch resumes by its index; silence for longer than the empty lines allow ends it.
func TestWatchResumesByIndexAndSilenceBreaksIt(t *testing.T) {
	g := newRig(t)
	g.Watch()
	s := g.asked()
	if s.line != "GET /v1/servers?stream=1&index=41 HTTP/1.1" {
		t.Errorf("asked %q", s.line)
	}
	_ = s.conn.Write([]byte(head + chunk("\n")))
	s.tell(43)
	g.until("two updates", func() bool { return len(g.versions) == 2 })
	if g.versions[0] != "false 0" || g.versions[1] != "false 1" {
		t.Errorf("updates %v", g.versions)
	}
	g.clock.now += silenceTimeout - 1
	if g.Loop.RunPending(); g.broke != 0 {
		t.Error("broke too early")
	}
	g.clock.now++
	if g.Loop.RunPending(); g.broke != 1 || g.last != (aspenshed.DiscoveryFailed{LastHeard: g.clock.now - silenceTimeout}) {
		t.Errorf("silence broke the watch %d times: %+v", g.broke, g.last)
	}
	g.Watch()
	if s = g.asked(); s.line != "GET /v1/servers?stream=1&index=43 HTTP/1.1" {
		t.Errorf("asked %q", s.line)
	}
	g.clock.now += silenceTimeout
	if g.Loop.RunPending(); g.broke != 2 || g.last != (aspenshed.DiscoveryFailed{LastHeard: g.clock.now - silenceTimeout}) {
		t.Errorf("a silent call broke %d times: %+v", g.broke, g.last)
	}
	g.Watch()
	_ = g.asked().conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))
	g.until("the refusal", func() bool { return g.broke == 3 })
	if g.last != (aspenshed.DiscoveryFailed{}) {
		t.Errorf("a call turned down: %+v", g.last)
	}
}

// Guards against a gap when discovery moves: the old watch counts until the new one has told something.
func TestMoveLeavesNoGap(t *testing.T) {
	g := newRig(t)
	old := g.watched()
	other := g.service()
	g.SetAddress(other.Addr())
	next := g.asked()
	if next.line != "GET /v1/servers?stream=1&index=42 HTTP/1.1" {
		t.Errorf("asked %q", next.line)
	}
	old.tell(44)
	g.until("an update from the old address", func() bool { return len(g.versions) == 2 })
	_ = next.conn.Write([]byte(head))
	next.tell(43) // not news: it must not undo what 44 has told
	g.until("the end of the old watch", func() bool { return g.previous == nil })
	next.tell(45)
	g.until("an update from the new address", func() bool { return g.Version == 45 })
	if len(g.versions) != 3 || g.broke != 0 {
		t.Errorf("updates %v, broke %d times", g.versions, g.broke)
	}
	g.SetAddress(other.Addr())
	if g.current == nil || !g.current.gotList || g.previous != nil {
		t.Error("a move to the same address broke the watch")
	}
}

// Guards the new address when its first call fails after SIGHUP: what the watch at the former one tells meanwhile leaves the
// planned call standing, as such a list is marked as maybe out of date. Before, nobody called again once that watch had ended.
func TestAListFromTheFormerAddressLeavesThePlannedCallStanding(t *testing.T) {
	g := newRig(t)
	var lists []aspenshed.MemberList
	changed := g.OnUpdate
	g.OnUpdate = func(u Update) {
		lists = append(lists, u.List)
		changed(u)
	}
	old := g.watched()
	other := g.service()
	g.SetAddress(other.Addr())
	_ = g.asked().conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))
	g.until("the refusal", func() bool { return g.broke == 1 })
	old.tell(43)
	g.until("a list from the former address", func() bool { return len(lists) == 2 })
	g.Watch() // as planned
	next := g.asked()
	_ = next.conn.Write([]byte(head))
	next.tell(44)
	g.until("a list from the new address", func() bool { return len(lists) == 3 })
	for i, outdated := range []bool{false, true, false} {
		if lists[i].Cached != outdated {
			t.Errorf("list %d: marked as maybe out of date: %t, want %t", i, lists[i].Cached, outdated)
		}
	}
	if g.previous != nil {
		t.Error("the watch at the former address was kept")
	}
}

// Guards drains at a SIGHUP that meets half a list: what the old watch says of it later counts if it comes whole before the
// new one has told something, and not if it is reset. The new one begins where the last whole list ended.
func TestAMoveInTheMiddleOfAList(t *testing.T) {
	for _, whole := range []bool{true, false} {
		g := newRig(t)
		old := g.watched()
		list := `{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"h:1","lifecycle":"terminating"}]}` + "\n"
		_ = old.conn.Write([]byte(fmt.Sprintf("%x\r\n%s", len(list), list[:len(list)-9])))
		other := g.service()
		g.SetAddress(other.Addr())
		next := g.asked()
		if next.line != "GET /v1/servers?stream=1&index=42 HTTP/1.1" {
			t.Errorf("whole %t: asked %q", whole, next.line)
		}
		if whole {
			_ = old.conn.Write([]byte(list[len(list)-9:] + "\r\n"))
			g.until("the rest", func() bool { return g.states["s-1"] == aspenshed.Draining })
		} else {
			old.conn.Close()
			g.until("the old watch's end", func() bool { return g.previous == nil })
		}
		_ = next.conn.Write([]byte(head))
		next.member(44, false, false, "s-2", "in_service")
		g.until("the new watch's word", func() bool { return g.Version == 44 })
		if want := map[bool]aspenshed.MemberState{true: aspenshed.Draining, false: aspenshed.Up}[whole]; g.states["s-1"] != want || g.broke != 0 || g.previous != nil {
			t.Errorf("whole %t: s-1 is %d, broke %d times", whole, g.states["s-1"], g.broke)
		}
	}
}

// Guards the call that a move makes: one planned before it does not take its place, and what it misses binds sooner.
func TestACallUnderWayIsLeftToItsEnd(t *testing.T) {
	g := newRig(t)
	g.Watch()
	g.asked()
	other := g.service()
	g.SetAddress(other.Addr())
	next := g.asked()
	moved := g.clock.now
	g.clock.now += 500e6
	g.Watch()
	_ = next.conn.Write([]byte(head))
	if g.until("the new call's head", func() bool { return g.current.connected }); g.current.movedAt != moved || g.current.startedAt != moved {
		t.Errorf("moved at %d, the call is of %d and %d", moved, g.current.startedAt, g.current.movedAt)
	}
	g.clock.now += silenceTimeout
	if g.Loop.RunPending(); g.broke != 1 || g.last.LastHeard != moved-moveGrace {
		t.Errorf("broke %d times: %+v", g.broke, g.last)
	}
	if len(g.asks) > 0 {
		t.Error("it was called twice")
	}
}

// Guards the log: a word that this release does not know is named once, however often lists repeat it.
func TestAnUnknownWordIsNamedOnce(t *testing.T) {
	g := newRig(t)
	var lines []string
	g.Log.Logger.SetLevel(logrus.WarnLevel)
	g.Log.Logger.SetOutput(io.Discard)
	g.Log.Logger.AddHook(hook(func(e *logrus.Entry) { lines = append(lines, fmt.Sprint(e.Data["error"])) }))
	g.Watch()
	s := g.asked()
	_ = s.conn.Write([]byte(head))
	for i, word := range []string{"resting", "resting", "asleep", "resting"} {
		s.member(42+i, false, false, "s-1", word)
		g.until("the list", func() bool { return g.Version == int64(42+i) })
	}
	if len(lines) != 2 || !strings.Contains(lines[0], `"resting"`) || !strings.Contains(lines[1], `"asleep"`) || g.states["s-1"] != aspenshed.Draining {
		t.Errorf("%q, %v", lines, g.states)
	}
}

type hook func(*logrus.Entry)

func (hook) Levels() []logrus.Level       { return logrus.AllLevels }
func (h hook) Fire(e *logrus.Entry) error { h(e); return nil }

// member tells of one member in a list, indented or not.
func (s *server) member(generation int, whole, indented bool, id, lifecycle string) {
	l := List{Generation: int64(generation), Reset: whole, Instances: []Instance{{ID: id, HostPort: "h:1", Lifecycle: lifecycle}}}
	b, _ := json.Marshal(l)
	if indented {
		b, _ = json.MarshalIndent(l, "", "  ")
	}
	_ = s.conn.Write([]byte(chunk(string(b) + "\n")))
}

// Guards against lists that come indented: before, their first line broke the watch, and nothing was ever heard.
func TestListsMayComeIndented(t *testing.T) {
	g := newRig(t)
	g.Watch()
	s := g.asked()
	_ = s.conn.Write([]byte(head))
	s.member(42, true, true, `a "{\`, "in_service")
	_ = s.conn.Write([]byte(chunk("\n")))
	s.member(43, false, true, `a "{\`, "terminating")
	g.until("both lists", func() bool { return g.Version == 43 })
	if g.broke != 0 || g.states[`a "{\`] != aspenshed.Draining {
		t.Errorf("broke %d times; %v", g.broke, g.states)
	}
}

// Guards drains against an answer that has no length, or a stated one: before, it was taken for a call turned down, and the
// next came 10 to 30 s later. A reset or an end in the middle of a list is no end of it; what was whole counts.
func TestAnAnswerMayHaveNoLength(t *testing.T) {
	g := newRig(t)
	line := `{"generation":43,"instances":[{"instanceId":"s-1","hostPort":"h:1","lifecycle":"terminating"}]}` + "\n"
	for i, answer := range []string{"\r\n" + line + `{"generation":99,"instances":[`, "Content-Length: " + fmt.Sprint(len(line)) + "\r\n\r\n" + line,
		"Content-Length: 999\r\n\r\n" + line} {
		g.Version, g.states = 42, map[string]aspenshed.MemberState{}
		g.Watch()
		s, began := g.asked(), g.clock.now
		_ = s.conn.Write([]byte("HTTP/1.1 200 OK\r\n" + answer))
		g.until("the list", func() bool { return g.Version == 43 })
		s.conn.Close()
		g.until("the end", func() bool { return g.current == nil })
		if g.states["s-1"] != aspenshed.Draining || g.broke != i {
			t.Errorf("%q: %v, broke %d times at once", answer, g.states, g.broke)
		}
		g.clock.now += minCallInterval
		if g.Loop.RunPending(); g.broke != i+1 || g.last.LastHeard != began {
			t.Errorf("%q: broke %d times, last %+v", answer, g.broke, g.last)
		}
	}
}

// Half a list is no sign of life, and what can't be read breaks the watch; what was told before stays.
func TestWhatCannotBeReadBreaksTheWatch(t *testing.T) {
	g := newRig(t)
	for i, bad := range []string{chunk("{\"generation\":"), chunk("{\"generation\":\"new\"}\n"), chunk("{]}\n"), chunk("draining s-1\n")} {
		g.Watch()
		s := g.asked()
		_ = s.conn.Write([]byte(head))
		s.member(42+i, false, false, "s-1", "terminating")
		g.until("the good list", func() bool { return g.Version == int64(42+i) })
		_ = s.conn.Write([]byte(bad))
		began := g.clock.now
		g.until("the break", func() bool {
			if i == 0 {
				g.clock.now += 100e6
			} else if g.current == nil { // another call does not come at once
				g.clock.now = began + minCallInterval
			}
			return g.broke == i+1
		})
		if g.states["s-1"] != aspenshed.Draining || g.Version != int64(42+i) {
			t.Errorf("%q: %v at %d", bad, g.states, g.Version)
		}
	}
}

// Guards drains against discovery that is behind: a move to one that has yet to hear of them, or its own restart.
func TestAnOlderListBringsNobodyBack(t *testing.T) {
	g := newRig(t)
	g.Watch()
	s := g.asked()
	_ = s.conn.Write([]byte(head))
	s.member(45, true, false, "drains", "terminating")
	s.member(46, false, false, "gone", "terminated")
	s.member(43, true, false, "drains", "in_service")
	s.member(44, false, false, "gone", "in_service")
	g.until("the older lists", func() bool { return len(g.versions) == 4 })
	if g.states["drains"] != aspenshed.Draining || g.states["gone"] != aspenshed.Removed {
		t.Errorf("an older list: %v", g.states)
	}
	s.member(47, false, false, "gone", "in_service")
	g.until("a newer list", func() bool { return len(g.versions) == 5 })
	if g.states["gone"] != aspenshed.Up {
		t.Errorf("a newer list: %v", g.states)
	}
}

// Guards pushed lists: what the agent has counts as told, so its watch is opened unasked, and again at once. A call that
// never came there is told apart from one that failed there.
func TestAWatchAtAnAgentIsKept(t *testing.T) {
	g := newRig(t)
	g.Pushed = true
	g.Watch()
	for range 3 {
		s := g.asked()
		_ = s.conn.Write([]byte(head))
		s.tell(int(g.Version) + 1)
		n := len(g.versions)
		g.until("the update", func() bool { return len(g.versions) > n })
		s.conn.Close()
		g.until("the break", func() bool { return g.current == nil })
		g.clock.now += maxRedialPause
	}
	g.asked()
	if g.broke != 0 {
		t.Error("a kept watch asked for calls")
	}
	g = newRig(t)
	g.Watcher.Address = "127.0.0.1:1"
	g.Watch()
	g.until("the refusal", func() bool { return g.broke == 1 })
	if !g.last.Unreachable {
		t.Error("a refused call seems to have come there")
	}
}
