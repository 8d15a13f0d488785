package subscription

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/placement"
	"aspenshed/internal/controlplane/revision"
)

func messages(lines []LogLine) (out []string) {
	for _, l := range lines {
		out = append(out, l.Message)
	}
	return out
}

// Divergence under a stream that goes on: found at the next step, logged once, healed by a snapshot, said so.
func TestDivergenceIsLoggedOnceAndHealed(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.client.state.Apply(revision.Change{Revision: 10, Record: member("stray", 0, "z", "")})
	p.run(5 * second)
	p.equal(revision.Scope{})
	if got := messages(p.lines); !slices.Equal(got, []string{messageDiverged, messageResynced, messageConnected}) {
		t.Errorf("logged %q", got)
	}
	if last := p.applied[len(p.applied)-1]; !last.Full {
		t.Errorf("%+v", last)
	}
}

// Divergence while away: the server sees another digest at the revision that it still knows, and sends a snapshot.
func TestDivergenceWhileAwayIsFoundAtSubscribing(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.breakOff()
	p.client.state.Apply(revision.Change{Revision: 10, Record: member("stray", 0, "z", "")})
	p.run(5 * second)
	p.equal(revision.Scope{})
	if got := messages(p.lines); !slices.Contains(got, messageDigestMismatch) {
		t.Errorf("logged %q", got)
	}
}

// breakOff ends the connection for both ends.
func (p *pair) breakOff() {
	p.server.Disconnected(p.session)
	p.session = 0
	actions, _ := p.client.Step(p.now, Disconnected{errors.New("reset")})
	p.act(actions)
}

func TestResumesFromTheLogWithoutASnapshot(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.breakOff()
	p.server.Commit(12, []revision.Change{{Revision: 12, Record: records(6)[5]}})
	p.run(5 * second)
	p.equal(revision.Scope{})
	if n := len(p.applied); n != 2 || p.applied[1].Full {
		t.Errorf("applied %+v", p.applied[1:])
	}
	if got := messages(p.lines); !slices.Equal(got, []string{messageLost, messageConnected}) {
		t.Errorf("logged %q", got)
	}
}

// A server that has no state yet must not be taken for one whose state is empty.
func TestServerWithoutStateServesNobody(t *testing.T) {
	s := NewServer(ServerConfig{Cluster: "c"})
	s.Open(0, 1)
	s.Receive(0, 1, subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "a"})[0])
	out, _ := s.Step(0)
	if len(out) != 1 || readFrame(t, out[0].Frame).GetClosing().GetReason() != pb.Closing_FUTURE_REVISION {
		t.Errorf("%+v", out)
	}
}

// A server that has lost its log serves a snapshot, and one that is behind is left for another.
func TestServerThatLostItsLogServesASnapshot(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.server.Reset(20, records(7))
	p.run(5 * second)
	p.equal(revision.Scope{})
	p.server.Reset(15, records(6))
	p.run(20 * second)
	if p.client.State().Revision() != 20 || p.client.State().Len() != 7 {
		t.Errorf("went back to revision %d", p.client.State().Revision())
	}
	p.server.Reset(21, records(8))
	p.run(20 * second)
	p.equal(revision.Scope{})
}

// Servers are tried in the subscriber's own order, and a loss moves it to the next.
func TestServersAreTriedInOrderOfPlacement(t *testing.T) {
	servers := []string{"a:1", "b:1", "c:1"}
	order := placement.Order("s", servers)
	c := NewClient(ClientConfig{Subscriber: "s", Servers: servers})
	now, dialled := aspenshed.Nanos(0), []string{}
	for len(dialled) < 4 {
		actions, next := c.Step(now)
		for _, a := range actions {
			if d, is := a.(Dial); is {
				dialled = append(dialled, d.Server)
				c.Step(now, Disconnected{errors.New("refused")})
				_, next = c.Step(now)
			}
		}
		now = max(next, now+1)
	}
	if !slices.Equal(dialled, append(order, order[0])) {
		t.Errorf("dialled %q of %q", dialled, order)
	}
}

func TestSilenceEndsAConnection(t *testing.T) {
	c := NewClient(ClientConfig{Subscriber: "s", Servers: []string{"a:1"}})
	c.Step(0)
	_, next := c.Step(1, Connected{})
	if next != 1+DefaultIdleTimeout {
		t.Fatalf("looks again at %d", next)
	}
	actions, _ := c.Step(next)
	if _, is := actions[len(actions)-1].(CloseConnection); !is {
		t.Errorf("%+v", actions)
	}
}

// Who is told to come back does so at that time and to that server; the time is bounded.
func TestComesBackWhenTold(t *testing.T) {
	for _, wait := range []aspenshed.Nanos{30 * second, 1 << 62} {
		c := NewClient(ClientConfig{Subscriber: "s", Servers: []string{"a:1", "b:1"}})
		first, _ := c.Step(0)
		c.Step(0, Connected{})
		busy := &pb.ServerFrame{Number: 1, Body: &pb.ServerFrame_Closing{Closing: &pb.Closing{Reason: pb.Closing_BUSY, RetryAfter: int64(wait)}}}
		_, next := c.Step(0, Received{Frame: busy, Bytes: 20})
		if next != min(wait, maxRetryAfter) {
			t.Errorf("comes back after %d, told %d", next, wait)
		}
		if again, _ := c.Step(next); again[0] != first[0] {
			t.Errorf("dialled %v, then %v", first, again)
		}
	}
}

// A stream that goes wrong again and again is tried less and less often, though each begins well with a snapshot; one
// that has lasted is tried again at once.
func TestAStreamThatAlwaysGoesWrongIsTriedLessOften(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{Servers: []string{"a:1"}})
	p.server.Reset(10, records(5))
	p.run(20 * second)
	p.filter = func(f *pb.ServerFrame) {
		if m := f.GetChanges(); m != nil {
			m.Digest++
		}
	}
	p.run(120 * second)
	if n := len(p.dialled); n < 10 || n > 60 {
		t.Errorf("dialled %d times in two minutes", n)
	}
	p.filter = nil
	p.run(30 * second)
	p.equal(revision.Scope{})
	dialled := len(p.dialled)
	p.breakOff()
	p.run(DefaultMinBackoff)
	if len(p.dialled) != dialled+1 {
		t.Error("not dialled again within the first backoff")
	}
}

// A stop of the server moves its subscribers; one of the client ends what it has under way.
func TestStops(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	actions, _ := p.client.Step(p.now, SubmitCommands{ID: 1, Batch: &catalogpb.Batch{}})
	p.act(actions)
	p.server.Stop(p.now)
	p.settle()
	if p.session != 0 || len(p.done) != 1 || !errors.Is(p.done[0].Err, ErrConnectionLost) {
		t.Errorf("session %d, done %+v", p.session, p.done)
	}
	actions, next := p.client.Step(p.now, Stop{}, SubmitCommands{ID: 2})
	if next != never || len(actions) != 1 || !errors.Is(actions[0].(SubmitDone).Err, ErrStopped) {
		t.Errorf("%+v, next %d", actions, next)
	}
}

// New servers end a connection to one that is gone, and only that.
func TestServersAreReplaced(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	session := p.session
	step := func(servers ...string) {
		actions, _ := p.client.Step(p.now, SetServers{servers})
		p.act(actions)
		p.run(second)
	}
	step("c:1", p.dialled[0])
	if p.session != session {
		t.Error("left a server that is still there")
	}
	step("c:1")
	if p.dialled[len(p.dialled)-1] != "c:1" || p.session == 0 {
		t.Errorf("dialled %q, session %d", p.dialled, p.session)
	}
	step()
	if p.session != 0 {
		t.Error("stays connected to no server")
	}
}

// A slow subscriber gets what changed often once, and binding changes all, in steps that fit its window.
func TestSlowSubscriberIsSentTheNewest(t *testing.T) {
	const window = 4000
	s := NewServer(ServerConfig{Cluster: "c", WindowBytes: window, StallTimeout: 1 << 60})
	s.Reset(1, nil)
	s.Open(0, 1)
	s.Receive(0, 1, subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "a"})[0])
	out, _ := s.Step(0)
	for rev := uint64(1); rev <= 2000; rev++ {
		s.Commit(rev, []revision.Change{{Revision: rev, Record: member("m", 0, "z", fmt.Sprint(rev)), Binding: rev%500 == 0}})
	}
	var frames []*pb.ServerFrame
	for now := aspenshed.Nanos(0); now < 10*second; now += second / 10 {
		for _, o := range out {
			frames = append(frames, readFrame(t, o.Frame))
		}
		if n := len(frames); n > 0 {
			s.Receive(now, 1, ack(&pb.Ack{Received: frames[n-1].Number}))
		}
		out, _ = s.Step(now)
	}
	var revisions []uint64
	for _, f := range frames {
		for _, c := range f.GetChanges().GetChanges() {
			revisions = append(revisions, c.Revision)
		}
	}
	if !slices.Equal(revisions, []uint64{500, 1000, 1500, 2000}) {
		t.Errorf("sent revisions %v", revisions)
	}
}

// A zone that returns at once is let in by turns at the rate of its snapshots, and who was there all the time is served
// meanwhile (checkPrompt).
func TestAZoneThatReturnsIsLetInByTurns(t *testing.T) {
	t.Parallel()
	s := newSimulation(profile{seed: 7, servers: 1, subscribers: 60, keys: 25, ticks: 40})
	if err := s.run(); err != nil {
		t.Fatal(err)
	}
	server := s.servers[0].machine
	for _, x := range s.subscribers[10:] {
		s.breakLink(x.link)
		x.link = nil
		s.startSubscriber(x, []string{"s0"})
	}
	bytes := 0
	for _, x := range s.subscribers[10:] {
		bytes += server.encoder.snapshotBytes(s.now, server.encoder.internScope(x.scope.Normalized()))
	}
	began, limit := s.now, aspenshed.Nanos(float64(bytes)/simSnapshotRate*1.2*float64(second))+3*second
	for !s.agreed() && s.problem == nil && s.now < began+limit {
		s.now += 20 * millisecond
		if s.rng.IntN(10) == 0 {
			s.truth.commit(2)
		}
		s.tick()
	}
	took := float64(s.now-began) / 1e9
	t.Logf("%d snapshots of %d bytes in all took %.1f s, at %d bytes a second", 50, bytes, took, simSnapshotRate)
	if s.problem != nil {
		t.Fatal(s.problem)
	}
	if left := len(s.subscribers) - len(server.Subscribers()); left > 0 {
		t.Errorf("%d are not back after %.1f s", left, took)
	}
}
