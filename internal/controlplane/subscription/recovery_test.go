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

// A divergence on an open stream is detected with the next update, logged once, and repaired by a snapshot, which is
// logged too.
func TestDivergenceIsLoggedOnceAndRepaired(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.client.state.Apply(revision.Change{Revision: 10, Record: member("stray", 0, "z", "")})
	p.run(5 * second)
	p.assertSynced(revision.Scope{})
	if got := messages(p.logLines); !slices.Equal(got, []string{messageDiverged, messageResynced, messageConnected}) {
		t.Errorf("logged %q", got)
	}
	if last := p.applied[len(p.applied)-1]; !last.Full {
		t.Errorf("%+v", last)
	}
}

// A divergence while disconnected: the server sees another digest at a revision that its log reaches back to, and sends
// a snapshot.
func TestDivergenceIsDetectedOnSubscribe(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.disconnect()
	p.client.state.Apply(revision.Change{Revision: 10, Record: member("stray", 0, "z", "")})
	p.run(5 * second)
	p.assertSynced(revision.Scope{})
	if got := messages(p.logLines); !slices.Contains(got, messageDigestMismatch) {
		t.Errorf("logged %q", got)
	}
}

// disconnect ends the connection at both ends.
func (p *testPair) disconnect() {
	p.server.Disconnected(p.session)
	p.session = 0
	actions, _ := p.client.Step(p.now, Disconnected{errors.New("reset")})
	p.perform(actions)
}

func TestResumeFromLogWithoutSnapshot(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.disconnect()
	p.server.Commit(12, []revision.Change{{Revision: 12, Record: records(6)[5]}})
	p.run(5 * second)
	p.assertSynced(revision.Scope{})
	if n := len(p.applied); n != 2 || p.applied[1].Full {
		t.Errorf("applied %+v", p.applied[1:])
	}
	if got := messages(p.logLines); !slices.Equal(got, []string{messageLost, messageConnected}) {
		t.Errorf("logged %q", got)
	}
}

// A server that has no state yet must not be mistaken for one with an empty state.
func TestServerWithoutStateRejectsSubscribers(t *testing.T) {
	s := NewServer(ServerConfig{Cluster: "c"})
	s.Open(0, 1)
	s.Receive(0, 1, subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "a"})[0])
	out, _ := s.Step(0)
	if len(out) != 1 || readFrame(t, out[0].Frame).GetClosing().GetReason() != pb.Closing_FUTURE_REVISION {
		t.Errorf("%+v", out)
	}
}

// A server that has lost its log sends a snapshot; a server that is behind the client is left for another.
func TestServerWithoutLogSendsSnapshot(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	p.server.Reset(20, records(7))
	p.run(5 * second)
	p.assertSynced(revision.Scope{})
	p.server.Reset(15, records(6))
	p.run(20 * second)
	if p.client.State().Revision() != 20 || p.client.State().Len() != 7 {
		t.Errorf("the client went back to revision %d", p.client.State().Revision())
	}
	p.server.Reset(21, records(8))
	p.run(20 * second)
	p.assertSynced(revision.Scope{})
}

// Servers are tried in the subscriber's own order, and a loss moves it to the next.
func TestServersAreTriedInPlacementOrder(t *testing.T) {
	servers := []string{"a:1", "b:1", "c:1"}
	order := placement.Order("s", servers)
	c := NewClient(ClientConfig{Subscriber: "s", Servers: servers})
	now, dialed := aspenshed.Nanos(0), []string{}
	for len(dialed) < 4 {
		actions, next := c.Step(now)
		for _, a := range actions {
			if d, ok := a.(Dial); ok {
				dialed = append(dialed, d.Server)
				c.Step(now, Disconnected{errors.New("refused")})
				_, next = c.Step(now)
			}
		}
		now = max(next, now+1)
	}
	if !slices.Equal(dialed, append(order, order[0])) {
		t.Errorf("dialed %q of %q", dialed, order)
	}
}

func TestIdleTimeoutClosesConnection(t *testing.T) {
	c := NewClient(ClientConfig{Subscriber: "s", Servers: []string{"a:1"}})
	c.Step(0)
	_, next := c.Step(1, Connected{})
	if next != 1+DefaultIdleTimeout {
		t.Fatalf("next deadline is %d", next)
	}
	actions, _ := c.Step(next)
	if _, ok := actions[len(actions)-1].(CloseConnection); !ok {
		t.Errorf("%+v", actions)
	}
}

// A client that is closed as BUSY reconnects to the same server after the requested delay, which is bounded.
func TestClientHonorsRetryAfter(t *testing.T) {
	for _, wait := range []aspenshed.Nanos{30 * second, 1 << 62} {
		c := NewClient(ClientConfig{Subscriber: "s", Servers: []string{"a:1", "b:1"}})
		first, _ := c.Step(0)
		c.Step(0, Connected{})
		busy := &pb.ServerFrame{Number: 1, Body: &pb.ServerFrame_Closing{Closing: &pb.Closing{Reason: pb.Closing_BUSY, RetryAfter: int64(wait)}}}
		_, next := c.Step(0, Received{Frame: busy, Bytes: 20})
		if next != min(wait, maxRetryAfter) {
			t.Errorf("reconnects after %d, RetryAfter was %d", next, wait)
		}
		if again, _ := c.Step(next); again[0] != first[0] {
			t.Errorf("dialed %v, then %v", first, again)
		}
	}
}

// A stream that fails repeatedly is retried after longer and longer delays, although each attempt starts well with a
// snapshot. After a stable connection the backoff starts again at its minimum.
func TestBackoffGrowsWhileStreamKeepsFailing(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{Servers: []string{"a:1"}})
	p.server.Reset(10, records(5))
	p.run(20 * second)
	p.filter = func(f *pb.ServerFrame) {
		if m := f.GetChanges(); m != nil {
			m.Digest++
		}
	}
	p.run(120 * second)
	if n := len(p.dialed); n < 10 || n > 60 {
		t.Errorf("dialed %d times in two minutes", n)
	}
	p.filter = nil
	p.run(30 * second)
	p.assertSynced(revision.Scope{})
	dialed := len(p.dialed)
	p.disconnect()
	p.run(DefaultMinBackoff)
	if len(p.dialed) != dialed+1 {
		t.Error("not dialed again within the first backoff")
	}
}

// A server that stops moves its subscribers to others; a client that stops completes its pending submissions.
func TestStop(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	actions, _ := p.client.Step(p.now, SubmitCommands{ID: 1, Batch: &catalogpb.Batch{}})
	p.perform(actions)
	p.server.Stop(p.now)
	p.settle()
	if p.session != 0 || len(p.results) != 1 || !errors.Is(p.results[0].Err, ErrConnectionLost) {
		t.Errorf("session %d, done %+v", p.session, p.results)
	}
	actions, next := p.client.Step(p.now, Stop{}, SubmitCommands{ID: 2})
	if next != never || len(actions) != 1 || !errors.Is(actions[0].(SubmitDone).Err, ErrStopped) {
		t.Errorf("%+v, next %d", actions, next)
	}
}

// SetServers closes the connection only if its server is no longer listed.
func TestSetServers(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	session := p.session
	step := func(servers ...string) {
		actions, _ := p.client.Step(p.now, SetServers{servers})
		p.perform(actions)
		p.run(second)
	}
	step("c:1", p.dialed[0])
	if p.session != session {
		t.Error("left a server that is still listed")
	}
	step("c:1")
	if p.dialed[len(p.dialed)-1] != "c:1" || p.session == 0 {
		t.Errorf("dialed %q, session %d", p.dialed, p.session)
	}
	step()
	if p.session != 0 {
		t.Error("still connected although no server is listed")
	}
}

// A slow subscriber is sent the coalesced changes of a key and all its binding changes, in updates that fit the window.
func TestSlowSubscriberGetsCoalescedChanges(t *testing.T) {
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
			s.Receive(now, 1, ackFrame(&pb.Ack{Received: frames[n-1].Number}))
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

// Checks that the subscribers of a zone that returns at once are admitted at the rate of the snapshots, and that the
// connected subscribers are served in the meantime (checkLatency).
func TestSnapshotAdmissionAfterZoneReturns(t *testing.T) {
	t.Parallel()
	s := newSimulation(profile{seed: 7, servers: 1, subscribers: 60, keys: 25, ticks: 40})
	if err := s.run(); err != nil {
		t.Fatal(err)
	}
	server := s.servers[0].machine
	for _, x := range s.subscribers[10:] {
		s.breakConnection(x.conn)
		x.conn = nil
		s.startSubscriber(x, []string{"s0"})
	}
	bytes := 0
	for _, x := range s.subscribers[10:] {
		bytes += server.encoder.snapshotBytes(s.now, server.encoder.internScope(x.scope.Normalized()))
	}
	began, limit := s.now, aspenshed.Nanos(float64(bytes)/simSnapshotRate*1.2*float64(second))+3*second
	for !s.converged() && s.failure == nil && s.now < began+limit {
		s.now += 20 * millisecond
		if s.rng.IntN(10) == 0 {
			s.reference.commit(2)
		}
		s.tick()
	}
	took := float64(s.now-began) / 1e9
	t.Logf("%d snapshots of %d bytes in total took %.1f s, at %d bytes a second", 50, bytes, took, simSnapshotRate)
	if s.failure != nil {
		t.Fatal(s.failure)
	}
	if left := len(s.subscribers) - len(server.Subscribers()); left > 0 {
		t.Errorf("%d subscribers are not connected after %.1f s", left, took)
	}
}
