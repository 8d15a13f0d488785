package subscription

import (
	"errors"
	"strings"
	"testing"

	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

func changesFrame(m *pb.Changes) *pb.ServerFrame {
	return &pb.ServerFrame{Body: &pb.ServerFrame_Changes{Changes: m}}
}

func beginFrame(m *pb.SnapshotBegin) *pb.ServerFrame {
	return &pb.ServerFrame{Body: &pb.ServerFrame_SnapshotBegin{SnapshotBegin: m}}
}

func chunkFrame(index uint32, records ...*pb.Record) *pb.ServerFrame {
	return &pb.ServerFrame{Body: &pb.ServerFrame_SnapshotChunk{SnapshotChunk: &pb.SnapshotChunk{Index: index, Records: records}}}
}

func endFrame(m *pb.SnapshotEnd) *pb.ServerFrame {
	return &pb.ServerFrame{Body: &pb.ServerFrame_SnapshotEnd{SnapshotEnd: m}}
}

func pairRecord(key, value string) *pb.Record {
	return &pb.Record{Key: revision.PairPrefix + key, Value: []byte(value)}
}

// isError reports whether err wraps an error of type T.
func isError[T error](err error) bool {
	var want T
	return errors.As(err, &want)
}

// invalidFrames are sequences of frames that a client at revision 10 must reject, each because of its last frame.
// Frames are numbered consecutively unless a number is set.
var invalidFrames = map[string]struct {
	frames  []*pb.ServerFrame
	matches func(error) bool
	key     string
}{
	"unknown kind":      {[]*pb.ServerFrame{{}}, func(err error) bool { return errors.Is(err, errUnknownMessage) }, ""},
	"repeated number":   {[]*pb.ServerFrame{{Number: 2}}, isError[*SequenceError], ""},
	"skipped number":    {[]*pb.ServerFrame{{Number: 7}}, isError[*SequenceError], ""},
	"gap":               {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 11, Through: 12})}, isError[*GapError], ""},
	"repeated update":   {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 9, Through: 10})}, isError[*GapError], ""},
	"revision backward": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 9})}, isError[*StaleRevisionError], ""},
	"wrong digest":      {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11, Digest: 5})}, isError[*DigestError], ""},
	"empty key": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11, Changes: []*pb.Change{{Revision: 11}}})},
		isError[*InvalidMessageError], ""},
	"long key": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11,
		Changes: []*pb.Change{{Revision: 11, Key: strings.Repeat("k", maxKeyBytes+1)}}})}, isError[*InvalidMessageError], strings.Repeat("k", maxKeyBytes)},
	"negative time": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11,
		Changes: []*pb.Change{{Revision: 11, Key: "rules", CommittedAt: -1}}})}, isError[*InvalidMessageError], "rules"},
	"change outside its update": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11,
		Changes: []*pb.Change{{Revision: 12, Key: "rules"}}})}, isError[*InvalidMessageError], "rules"},
	"changes out of order": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 13,
		Changes: []*pb.Change{{Revision: 13, Key: "a"}, {Revision: 12, Key: "b"}}})}, isError[*InvalidMessageError], "b"},
	"removed with a value": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11,
		Changes: []*pb.Change{{Revision: 11, Key: "a", Removed: true, Value: []byte("x")}}})}, isError[*InvalidMessageError], "a"},
	"invalid member": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 11,
		Changes: []*pb.Change{{Revision: 11, Key: "member/a", Value: []byte{0xff}}}})}, isError[*InvalidMessageError], "member/a"},
	"frame of another update": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 12, More: true}),
		changesFrame(&pb.Changes{From: 10, Through: 13})}, isError[*UnexpectedMessageError], ""},
	"snapshot within an update": {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: 12, More: true}),
		beginFrame(&pb.SnapshotBegin{Revision: 12})}, isError[*UnexpectedMessageError], ""},
	"older snapshot":              {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 9})}, isError[*StaleRevisionError], ""},
	"too many chunks":             {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Chunks: 1 << 31})}, isError[*InvalidMessageError], ""},
	"excessive revision":          {[]*pb.ServerFrame{changesFrame(&pb.Changes{From: 10, Through: maxRevision + 1})}, isError[*InvalidMessageError], ""},
	"excessive snapshot revision": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: maxRevision + 1})}, isError[*InvalidMessageError], ""},
	"chunk without begin":         {[]*pb.ServerFrame{chunkFrame(0)}, isError[*UnexpectedMessageError], ""},
	"end without begin":           {[]*pb.ServerFrame{endFrame(&pb.SnapshotEnd{Revision: 12})}, isError[*UnexpectedMessageError], ""},
	"second snapshot":             {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12}), beginFrame(&pb.SnapshotBegin{Revision: 12})}, isError[*UnexpectedMessageError], ""},
	"changes within a snapshot": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12}),
		changesFrame(&pb.Changes{From: 10, Through: 12})}, isError[*UnexpectedMessageError], ""},
	"missing chunk": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 2, Chunks: 2}),
		chunkFrame(1, pairRecord("a", ""))}, isError[*ChunkError], ""},
	"repeated chunk": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 2, Chunks: 2}),
		chunkFrame(0, pairRecord("a", "")), chunkFrame(0, pairRecord("a", ""))}, isError[*ChunkError], ""},
	"extra chunk": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 1, Chunks: 1}),
		chunkFrame(0, pairRecord("a", "")), chunkFrame(1, pairRecord("b", ""))}, isError[*ChunkError], ""},
	"end too early": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 2, Chunks: 2}),
		chunkFrame(0, pairRecord("a", "")), endFrame(&pb.SnapshotEnd{Revision: 12})}, isError[*ChunkError], ""},
	"truncated chunk": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 2, Chunks: 1}),
		chunkFrame(0, pairRecord("a", "")), endFrame(&pb.SnapshotEnd{Revision: 12})}, isError[*InvalidMessageError], ""},
	"key twice in a snapshot": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 2, Chunks: 1}),
		chunkFrame(0, pairRecord("a", ""), pairRecord("a", ""))}, isError[*InvalidMessageError], "pair/a"},
	"end of another revision": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 1, Chunks: 1}),
		chunkFrame(0, pairRecord("a", "")), endFrame(&pb.SnapshotEnd{Revision: 13})}, isError[*InvalidMessageError], ""},
	"wrong digest of a snapshot": {[]*pb.ServerFrame{beginFrame(&pb.SnapshotBegin{Revision: 12, Records: 1, Chunks: 1}),
		chunkFrame(0, pairRecord("a", "")), endFrame(&pb.SnapshotEnd{Revision: 12})}, isError[*DigestError], ""},
	"reply without submission": {[]*pb.ServerFrame{{Body: &pb.ServerFrame_Submitted{Submitted: &pb.Submitted{Id: 3}}}},
		isError[*UnexpectedMessageError], ""},
	"negative retry": {[]*pb.ServerFrame{{Body: &pb.ServerFrame_Closing{Closing: &pb.Closing{RetryAfter: -1}}}},
		isError[*InvalidMessageError], ""},
}

// Checks that invalid input is rejected with a typed error that names server, revision and key, is logged once, changes
// nothing and ends the connection, and that the client then reconnects and continues.
func TestClientRejectsInvalidFrames(t *testing.T) {
	for name, bad := range invalidFrames {
		t.Run(name, func(t *testing.T) {
			p := newTestPair(t, ServerConfig{}, ClientConfig{})
			p.server.Reset(10, records(5))
			p.run(second)
			digest, applied := p.client.State().Digest(revision.Scope{}), len(p.applied)
			var actions []Action
			for _, f := range bad.frames {
				if f.Number == 0 {
					f.Number = p.client.receivedFrames + 1
				}
				if len(actions) > 0 {
					t.Fatalf("rejected too early: %+v", actions)
				}
				actions, _ = p.client.Step(p.now, Received{Frame: f, Bytes: 100})
			}
			p.logLines = nil
			p.perform(actions)
			if len(p.logLines) != 1 || !bad.matches(p.logLines[0].Err) {
				t.Fatalf("logged %+v", p.logLines)
			}
			var where *StreamError
			if !errors.As(p.logLines[0].Err, &where) || where.Server == "" || where.Revision != 10 || where.Key != bad.key {
				t.Errorf("error location %+v", where)
			}
			if p.session != 0 || len(p.applied) != applied || p.client.State().Digest(revision.Scope{}) != digest || p.client.State().Revision() != 10 {
				t.Errorf("session %d, applied %+v", p.session, p.applied[applied:])
			}
			p.server.Commit(11, []revision.Change{{Revision: 11, Record: records(6)[5], Binding: true}})
			p.run(5 * second)
			p.assertSynced(revision.Scope{})
		})
	}
}

func TestClientRejectsUndecodableInput(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	actions, _ := p.client.Step(p.now, BadFrame{errors.New("over the limit")})
	p.perform(actions)
	if p.session != 0 || len(p.logLines) != 1 || p.logLines[0].Message != messageInvalidInput {
		t.Errorf("session %d, logged %+v", p.session, p.logLines)
	}
}

func subscriberFrames(m *pb.Subscribe, others ...*pb.SubscriberFrame) []*pb.SubscriberFrame {
	return append([]*pb.SubscriberFrame{{Body: &pb.SubscriberFrame_Subscribe{Subscribe: m}}}, others...)
}

func ackFrame(m *pb.Ack) *pb.SubscriberFrame {
	return &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Ack{Ack: m}}
}

// Checks that a server closes a session that sends invalid input, with the reason, and that no other session is
// affected.
func TestServerRejectsInvalidFrames(t *testing.T) {
	good := &pb.Subscribe{Cluster: "c", Subscriber: "bad"}
	long := strings.Repeat("x", maxNameBytes+1)
	for name, bad := range map[string]struct {
		frames []*pb.SubscriberFrame
		reason pb.Closing_Reason
	}{
		"unknown kind":            {[]*pb.SubscriberFrame{{}}, pb.Closing_BAD_FRAME},
		"wrong cluster":           {subscriberFrames(&pb.Subscribe{Cluster: "d", Subscriber: "bad"}), pb.Closing_WRONG_CLUSTER},
		"no message":              {subscriberFrames(nil), pb.Closing_WRONG_CLUSTER},
		"no name":                 {subscriberFrames(&pb.Subscribe{Cluster: "c"}), pb.Closing_BAD_FRAME},
		"long name":               {subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: long}), pb.Closing_BAD_FRAME},
		"long site":               {subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "bad", Scope: &pb.Scope{Sites: []string{long}}}), pb.Closing_BAD_FRAME},
		"huge scope":              {subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "bad", Scope: &pb.Scope{Sites: make([]string, maxScopeEntries+1)}}), pb.Closing_BAD_FRAME},
		"future revision":         {subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "bad", Revision: 1 << 60}), pb.Closing_FUTURE_REVISION},
		"ack before subscribe":    {[]*pb.SubscriberFrame{ackFrame(&pb.Ack{})}, pb.Closing_BAD_FRAME},
		"submit before subscribe": {[]*pb.SubscriberFrame{{Body: &pb.SubscriberFrame_Submit{Submit: &pb.Submit{}}}}, pb.Closing_BAD_FRAME},
		"subscribed twice":        {subscriberFrames(good, subscriberFrames(good)...), pb.Closing_BAD_FRAME},
		"ack of unsent frame":     {subscriberFrames(good, ackFrame(&pb.Ack{Received: 1 << 40})), pb.Closing_BAD_FRAME},
		"unsent applied revision": {subscriberFrames(good, ackFrame(&pb.Ack{InForce: 1 << 40})), pb.Closing_BAD_FRAME},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPair(t, ServerConfig{}, ClientConfig{})
			p.server.Reset(10, records(5))
			p.run(second)
			const id = 1000
			p.server.Open(p.now, id)
			for _, f := range bad.frames {
				p.server.Receive(p.now, id, f)
			}
			out, _ := p.server.Step(p.now)
			last := out[len(out)-1]
			var why *SubscriberError
			if !last.Close || last.Log == nil || !errors.As(last.Log.Err, &why) || why.Reason != bad.reason || why.Session != id {
				t.Fatalf("%+v", last)
			}
			if got := readFrame(t, last.Frame).GetClosing(); got.GetReason() != bad.reason || got.Detail == "" {
				t.Errorf("closed with %v", got)
			}
			p.server.Receive(p.now, id, ackFrame(&pb.Ack{})) // in flight when the session was closed: dropped
			if out, _ := p.server.Step(p.now); len(out) != 0 || p.session == 0 || len(p.server.Subscribers()) != 1 {
				t.Errorf("%+v, %d subscribers", out, len(p.server.Subscribers()))
			}
		})
	}
}

func TestServerRejectsUndecodableInput(t *testing.T) {
	s := NewServer(ServerConfig{})
	s.Open(0, 1)
	s.BadFrame(0, 1, errors.New("over the limit"))
	out, _ := s.Step(0)
	if len(out) != 1 || !out[0].Close || readFrame(t, out[0].Frame).GetClosing().GetReason() != pb.Closing_BAD_FRAME {
		t.Errorf("%+v", out)
	}
}

// A refused change is reported with its reason; a refusal that was lost with a connection is reported on the next one.
func TestRefusalsReachTheServer(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(10, records(5))
	p.run(second)
	actions, _ := p.client.Step(p.now, Applied{Revision: 10, Refused: []*pb.RefusedChange{{Revision: 10, Key: "config", Reason: "no such group"}}})
	p.perform(actions)
	p.run(second)
	r := p.server.Rollout(10)
	if len(r.Refusals) != 1 || r.Refusals[0].Key != "config" || r.Refusals[0].Subscriber != "s" || r.InForce != 1 {
		t.Errorf("%v", r)
	}
}

// Submissions beyond the limit are refused, not queued; a subscriber that submits on without reading is closed.
func TestSubmissionsAreBounded(t *testing.T) {
	s := NewServer(ServerConfig{Cluster: "c", WindowBytes: 1000})
	s.Reset(1, nil)
	s.Open(0, 1)
	s.Receive(0, 1, subscriberFrames(&pb.Subscribe{Cluster: "c", Subscriber: "a"})[0])
	submits, refused, closed := 0, 0, 0
	for i := range 1000 {
		s.Receive(0, 1, &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Submit{Submit: &pb.Submit{Id: uint64(i)}}})
	}
	out, _ := s.Step(0)
	for _, o := range out {
		switch {
		case o.Submit != nil:
			submits++
		case o.Close:
			closed++
		case readFrame(t, o.Frame).GetSubmitted().GetReply().GetRetry():
			refused++
		}
	}
	if submits != maxSubmissions || refused == 0 || refused > 100 || closed != 1 {
		t.Errorf("%d forwarded, %d refused, %d closed", submits, refused, closed)
	}
	c := NewClient(ClientConfig{Servers: []string{"a:1"}})
	if actions, _ := c.Step(0, SubmitCommands{ID: 1, Batch: &catalogpb.Batch{}}); !errors.Is(actions[0].(SubmitDone).Err, ErrNotConnected) {
		t.Errorf("%+v", actions)
	}
}

// The number of sessions is bounded; further ones are closed as BUSY with a time to retry.
func TestSessionsAreBounded(t *testing.T) {
	s := NewServer(ServerConfig{Cluster: "c", MaxSessions: 2})
	for id := range SessionID(3) {
		s.Open(0, id)
	}
	out, _ := s.Step(0)
	if len(out) != 1 || out[0].Session != 2 {
		t.Fatalf("%+v", out)
	}
	closing := readFrame(t, out[0].Frame).GetClosing()
	if closing.GetReason() != pb.Closing_BUSY || aspenshed.Nanos(closing.RetryAfter) < DefaultStallTimeout/2 {
		t.Errorf("%v", closing)
	}
}
