package subscription

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// number is any, with a liking for those that mean something here.
func number(t *rapid.T) uint64 {
	return rapid.OneOf(rapid.SampledFrom([]uint64{0, 1, 2, 9, 10, 11, 12, 1 << 31, 1 << 63, 1<<64 - 1}), rapid.Uint64()).Draw(t, "number")
}

func anyKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"", "a", "b", "member/a", "member/m00001", "primary/", "config", "\x00"}).Draw(t, "key")
}

func anyValue(t *rapid.T) []byte {
	return rapid.SampledFrom([][]byte{nil, {1}, {0xff, 0xff}, {10, 0}, {10, 2, 32, 7}, records(1)[0].Value}).Draw(t, "value")
}

func anyServerFrame(t *rapid.T) *pb.ServerFrame {
	f := &pb.ServerFrame{}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		m := &pb.Changes{From: number(t), Through: number(t), Digest: number(t), More: rapid.Bool().Draw(t, "more")}
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			m.Changes = append(m.Changes, &pb.Change{Revision: number(t), Key: anyKey(t), Value: anyValue(t),
				Removed: rapid.Bool().Draw(t, "removed"), CommittedAt: int64(number(t))})
		}
		f.Body = &pb.ServerFrame_Changes{Changes: m}
	case 1:
		m := &pb.SnapshotBegin{Revision: number(t), Records: number(t), Chunks: uint32(number(t))}
		f.Body = &pb.ServerFrame_SnapshotBegin{SnapshotBegin: m}
	case 2:
		m := &pb.SnapshotChunk{Index: uint32(number(t))}
		for range rapid.IntRange(0, 3).Draw(t, "records") {
			m.Records = append(m.Records, &pb.Record{Key: anyKey(t), Value: anyValue(t)})
		}
		f.Body = &pb.ServerFrame_SnapshotChunk{SnapshotChunk: m}
	case 3:
		f.Body = &pb.ServerFrame_SnapshotEnd{SnapshotEnd: &pb.SnapshotEnd{Revision: number(t), Digest: number(t)}}
	case 4:
		m := &pb.Closing{Reason: pb.Closing_Reason(number(t)), RetryAfter: int64(number(t))}
		f.Body = &pb.ServerFrame_Closing{Closing: m}
	case 5:
		f.Body = &pb.ServerFrame_Submitted{Submitted: &pb.Submitted{Id: number(t)}}
	}
	return f
}

// Guards that no sequence of valid frames with absurd content breaks the client, sets it back, or leaves it with a state
// that its own digest contradicts.
func TestAbsurdFramesDoNotBreakTheClient(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t, ServerConfig{}, ClientConfig{MaxBackoff: second / 2})
		p.server.Reset(10, records(3))
		p.run(second)
		last := p.client.State().Revision()
		for range rapid.IntRange(1, 12).Draw(t, "frames") {
			f := anyServerFrame(t)
			if f.Number = p.client.receivedFrames + 1; rapid.IntRange(0, 9).Draw(t, "number fits") == 0 {
				f.Number = number(t)
			}
			actions, next := p.client.Step(p.now, Received{Frame: f, Bytes: proto.Size(f)})
			p.act(actions)
			if p.session == 0 {
				p.now = max(p.now, min(next, p.now+maxRetryAfter))
				actions, _ = p.client.Step(p.now)
				p.act(actions)
			}
			state, walk := p.client.State(), revision.Digest(0)
			for r := range state.Records(revision.Scope{}) {
				walk += revision.Hash(r.Key, r.Value)
			}
			if state.Revision() < last || walk != state.Digest(revision.Scope{}) {
				t.Fatalf("revision %d after %d, digest %x, by a walk %x", state.Revision(), last, state.Digest(revision.Scope{}), walk)
			}
			last = state.Revision()
		}
	})
}

func anySubscriberFrame(t *rapid.T) *pb.SubscriberFrame {
	f := &pb.SubscriberFrame{}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		m := &pb.Subscribe{Cluster: rapid.SampledFrom([]string{"c", "c", "d"}).Draw(t, "cluster"),
			Subscriber: rapid.SampledFrom([]string{"s", "x", ""}).Draw(t, "subscriber"), Revision: number(t), Digest: number(t)}
		if rapid.Bool().Draw(t, "scoped") {
			m.Scope = &pb.Scope{Groups: []*pb.GroupName{{Wire: "mysql", Group: int32(number(t))}}, Sites: []string{anyKey(t)}}
		}
		f.Body = &pb.SubscriberFrame_Subscribe{Subscribe: m}
	case 2:
		m := &pb.Ack{Received: number(t), InForce: number(t), Refused: []*pb.RefusedChange{{Revision: number(t), Key: anyKey(t)}}}
		f.Body = &pb.SubscriberFrame_Ack{Ack: m}
	case 3:
		f.Body = &pb.SubscriberFrame_Submit{Submit: &pb.Submit{Id: number(t)}}
	}
	return f
}

// The same towards a server: whatever one connection sends, the subscriber of another name is served on.
func TestAbsurdFramesDoNotBreakTheServer(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t, ServerConfig{}, ClientConfig{MaxBackoff: second / 2})
		p.server.Reset(10, records(3))
		p.run(second)
		const others = 1000 // session ids
		for i := range rapid.IntRange(1, 12).Draw(t, "frames") {
			id := SessionID(others + i/3)
			if i%3 == 0 {
				p.server.Open(p.now, id)
			}
			p.server.Receive(p.now, id, anySubscriberFrame(t))
			p.settle()
		}
		p.server.Commit(11, []revision.Change{{Revision: 11, Record: member("new", 1, "z", "")}})
		p.run(3 * second)
		p.equal(revision.Scope{})
	})
}
