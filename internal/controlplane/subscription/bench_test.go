package subscription

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	benchSessions = 2400
	benchMembers  = 21000
	benchBurst    = 1105 // the primaries that change when a zone goes
)

// benchServer has all the target's members and subscribers, each at the newest revision.
type benchServer struct {
	*Server
	now     aspenshed.Nanos
	rev     uint64
	members []revision.Record
	sent    []uint64
}

func newBenchServer(b *testing.B) *benchServer {
	x := &benchServer{Server: NewServer(ServerConfig{Cluster: "c", StallTimeout: 1 << 60}), rev: 10, members: records(benchMembers),
		sent: make([]uint64, benchSessions)}
	x.Reset(x.rev, x.members)
	digest := uint64(x.state.Digest(revision.Scope{}))
	for id := range SessionID(benchSessions) {
		x.Open(0, id)
		m := &pb.Subscribe{Cluster: "c", Subscriber: fmt.Sprint("gateway-", id), Revision: x.rev, Digest: digest}
		x.Receive(0, id, &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Subscribe{Subscribe: m}})
	}
	x.step()
	x.acknowledgeAll()
	if n := len(x.Subscribers()); n != benchSessions {
		b.Fatalf("%d subscribers", n)
	}
	return x
}

// step sends what is due and counts the bytes.
func (x *benchServer) step() (bytes int) {
	x.now += second / 2
	for next := x.now; next <= x.now; {
		var out []Output
		out, next = x.Step(x.now)
		for _, o := range out {
			bytes += len(o.Frame)
			x.sent[o.Session]++
		}
	}
	return bytes
}

func (x *benchServer) acknowledgeAll() {
	for id, sent := range x.sent {
		x.Receive(x.now, SessionID(id), ack(&pb.Ack{Received: sent, InForce: x.rev}))
	}
	x.Step(x.now)
}

// commit changes so many members, each in a commit of its own.
func (x *benchServer) commit(n int) {
	for range n {
		x.rev++
		i := int(x.rev) % len(x.members)
		before := x.members[i]
		x.members[i] = member(before.Key[len(revision.MemberPrefix):], before.Placement.Group.ID, before.Placement.Site, fmt.Sprint(x.rev))
		x.Commit(x.rev, []revision.Change{{Revision: x.rev, Record: x.members[i], Before: &before, Binding: true, CommittedAt: 1}})
	}
}

func benchmarkStep(b *testing.B, changes int) {
	x := newBenchServer(b)
	b.ReportAllocs()
	bytes := 0
	for range b.N {
		b.StopTimer()
		x.acknowledgeAll()
		x.commit(changes)
		b.StartTimer()
		bytes += x.step()
	}
	b.ReportMetric(float64(bytes)/float64(b.N)/benchSessions, "bytes/session")
	if x.step(); x.bySubscriber["gateway-7"].cursor != x.rev {
		b.Fatal("not all was sent")
	}
}

func BenchmarkStepAfterOneCommit(b *testing.B) { benchmarkStep(b, 1) }

func BenchmarkStepAfterABurst(b *testing.B) { benchmarkStep(b, benchBurst) }

func BenchmarkAcknowledge(b *testing.B) {
	x := newBenchServer(b)
	b.ReportAllocs()
	for i := range b.N {
		id := i % benchSessions
		x.Receive(x.now, SessionID(id), ack(&pb.Ack{Received: x.sent[id], InForce: x.rev}))
		x.Step(x.now)
	}
}

func BenchmarkEncodeSnapshot(b *testing.B) {
	x := newBenchServer(b)
	b.ReportAllocs()
	scope := x.encoder.internScope(revision.Scope{})
	for range b.N {
		b.SetBytes(int64(x.encoder.encodeSnapshot(scope.Scope).bytes))
	}
}

func BenchmarkRollout(b *testing.B) {
	x := newBenchServer(b)
	for range b.N {
		x.Rollout(x.rev)
	}
}

// BenchmarkClientApply takes one change of one member.
func BenchmarkClientApply(b *testing.B) {
	p := newPair(b, ServerConfig{}, ClientConfig{})
	all := records(benchMembers)
	p.server.Reset(10, all)
	p.run(second)
	b.ReportAllocs()
	for i := range b.N {
		b.StopTimer()
		rev := p.server.log.Head() + 1
		r := member(all[i%benchMembers].Key[len(revision.MemberPrefix):], 1, "z1", fmt.Sprint(rev))
		p.server.Commit(rev, []revision.Change{{Revision: rev, Record: r, Binding: true}})
		p.now += second / 2
		out, _ := p.server.Step(p.now)
		b.StartTimer()
		for _, o := range out {
			f := &pb.ServerFrame{}
			if err := proto.Unmarshal(o.Frame[lengthBytes:], f); err != nil {
				b.Fatal(err)
			}
			actions, _ := p.client.Step(p.now, Received{Frame: f, Bytes: len(o.Frame)})
			p.act(actions)
		}
	}
	p.equal(revision.Scope{})
}

// BenchmarkClientSnapshot takes the whole state.
func BenchmarkClientSnapshot(b *testing.B) {
	x := newBenchServer(b)
	var frames []*pb.ServerFrame
	for _, encoded := range x.encoder.snapshot(0, x.encoder.internScope(revision.Scope{})).frames {
		frames = append(frames, readFrame(b, encoded.withNumber(uint64(len(frames)+1))))
	}
	b.ReportAllocs()
	for range b.N {
		c := NewClient(ClientConfig{Cluster: "c", Subscriber: "s", Servers: []string{"a:1"}})
		c.Step(0)
		c.Step(0, Connected{})
		for _, f := range frames {
			c.Step(0, Received{Frame: f, Bytes: maxFrameBytes})
		}
		if c.State().Len() != benchMembers {
			b.Fatalf("%d members", c.State().Len())
		}
	}
}
