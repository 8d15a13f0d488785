package subscription

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// drawNumber draws any number, with a preference for those near the limits and revisions of these tests.
func drawNumber(t *rapid.T) uint64 {
	return rapid.OneOf(rapid.SampledFrom([]uint64{0, 1, 2, 9, 10, 11, 12, 1 << 31, 1 << 63, 1<<64 - 1}), rapid.Uint64()).Draw(t, "number")
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"", "a", "b", "member/a", "member/m00001", "primary/", "config", "\x00"}).Draw(t, "key")
}

func drawValue(t *rapid.T) []byte {
	return rapid.SampledFrom([][]byte{nil, {1}, {0xff, 0xff}, {10, 0}, {10, 2, 32, 7}, records(1)[0].Value}).Draw(t, "value")
}

func drawServerFrame(t *rapid.T) *pb.ServerFrame {
	f := &pb.ServerFrame{}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		m := &pb.Changes{From: drawNumber(t), Through: drawNumber(t), Digest: drawNumber(t), More: rapid.Bool().Draw(t, "more")}
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			m.Changes = append(m.Changes, &pb.Change{Revision: drawNumber(t), Key: drawKey(t), Value: drawValue(t),
				Removed: rapid.Bool().Draw(t, "removed"), CommittedAt: int64(drawNumber(t))})
		}
		f.Body = &pb.ServerFrame_Changes{Changes: m}
	case 1:
		m := &pb.SnapshotBegin{Revision: drawNumber(t), Records: drawNumber(t), Chunks: uint32(drawNumber(t))}
		f.Body = &pb.ServerFrame_SnapshotBegin{SnapshotBegin: m}
	case 2:
		m := &pb.SnapshotChunk{Index: uint32(drawNumber(t))}
		for range rapid.IntRange(0, 3).Draw(t, "records") {
			m.Records = append(m.Records, &pb.Record{Key: drawKey(t), Value: drawValue(t)})
		}
		f.Body = &pb.ServerFrame_SnapshotChunk{SnapshotChunk: m}
	case 3:
		f.Body = &pb.ServerFrame_SnapshotEnd{SnapshotEnd: &pb.SnapshotEnd{Revision: drawNumber(t), Digest: drawNumber(t)}}
	case 4:
		m := &pb.Closing{Reason: pb.Closing_Reason(drawNumber(t)), RetryAfter: int64(drawNumber(t))}
		f.Body = &pb.ServerFrame_Closing{Closing: m}
	case 5:
		f.Body = &pb.ServerFrame_Submitted{Submitted: &pb.Submitted{Id: drawNumber(t)}}
	}
	return f
}

// Checks that no sequence of decodable frames with arbitrary content breaks the client, moves its revision back, or
// leaves it with a state that does not match its digest.
func TestClientToleratesArbitraryFrames(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPair(t, ServerConfig{}, ClientConfig{MaxBackoff: second / 2})
		p.server.Reset(10, records(3))
		p.run(second)
		last := p.client.State().Revision()
		for range rapid.IntRange(1, 12).Draw(t, "frames") {
			f := drawServerFrame(t)
			if f.Number = p.client.receivedFrames + 1; rapid.IntRange(0, 9).Draw(t, "number fits") == 0 {
				f.Number = drawNumber(t)
			}
			actions, next := p.client.Step(p.now, Received{Frame: f, Bytes: proto.Size(f)})
			p.perform(actions)
			if p.session == 0 {
				p.now = max(p.now, min(next, p.now+maxRetryAfter))
				actions, _ = p.client.Step(p.now)
				p.perform(actions)
			}
			state, sum := p.client.State(), revision.Digest(0)
			for r := range state.Records(revision.Scope{}) {
				sum += revision.Hash(r.Key, r.Value)
			}
			if state.Revision() < last || sum != state.Digest(revision.Scope{}) {
				t.Fatalf("revision %d after %d, digest %x, want %x", state.Revision(), last, state.Digest(revision.Scope{}), sum)
			}
			last = state.Revision()
		}
	})
}

func drawSubscriberFrame(t *rapid.T) *pb.SubscriberFrame {
	f := &pb.SubscriberFrame{}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		m := &pb.Subscribe{Cluster: rapid.SampledFrom([]string{"c", "c", "d"}).Draw(t, "cluster"),
			Subscriber: rapid.SampledFrom([]string{"s", "x", ""}).Draw(t, "subscriber"), Revision: drawNumber(t), Digest: drawNumber(t)}
		if rapid.Bool().Draw(t, "scoped") {
			m.Scope = &pb.Scope{Groups: []*pb.GroupName{{Wire: "mysql", Group: int32(drawNumber(t))}}, Sites: []string{drawKey(t)}}
		}
		f.Body = &pb.SubscriberFrame_Subscribe{Subscribe: m}
	case 2:
		m := &pb.Ack{Received: drawNumber(t), InForce: drawNumber(t), Refused: []*pb.RefusedChange{{Revision: drawNumber(t), Key: drawKey(t)}}}
		f.Body = &pb.SubscriberFrame_Ack{Ack: m}
	case 3:
		f.Body = &pb.SubscriberFrame_Submit{Submit: &pb.Submit{Id: drawNumber(t)}}
	}
	return f
}

// Checks that a connection that sends arbitrary frames does not affect a subscriber of another name.
func TestServerToleratesArbitraryFrames(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPair(t, ServerConfig{}, ClientConfig{MaxBackoff: second / 2})
		p.server.Reset(10, records(3))
		p.run(second)
		const firstID = 1000 // not used by the pair's own sessions
		for i := range rapid.IntRange(1, 12).Draw(t, "frames") {
			id := SessionID(firstID + i/3)
			if i%3 == 0 {
				p.server.Open(p.now, id)
			}
			p.server.Receive(p.now, id, drawSubscriberFrame(t))
			p.settle()
		}
		p.server.Commit(11, []revision.Change{{Revision: 11, Record: member("new", 1, "z", "")}})
		p.run(3 * second)
		p.assertSynced(revision.Scope{})
	})
}
