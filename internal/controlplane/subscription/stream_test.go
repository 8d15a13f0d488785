package subscription

import (
	"encoding/binary"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// member is a record of a member, with a text that makes its value differ.
func member(id string, group int32, site, text string) revision.Record {
	entry := &catalogpb.Entry{Id: id, Address: id + ":3306", Site: site, Group: group, Wire: "mysql", State: text}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&catalogpb.Member{Entry: entry})
	if err != nil {
		panic(err)
	}
	place := revision.Placement{Group: revision.Group{Wire: "mysql", ID: group}, Site: site}
	return revision.Record{Key: revision.MemberPrefix + id, Value: value, Placement: place}
}

// readFrame takes a whole frame apart.
func readFrame(t rapid.TB, b []byte) *pb.ServerFrame {
	t.Helper()
	f := &pb.ServerFrame{}
	if len(b) < lengthBytes || int(binary.BigEndian.Uint32(b)) != len(b)-lengthBytes {
		t.Fatalf("a frame of %d bytes with a wrong length", len(b))
	}
	if err := proto.Unmarshal(b[lengthBytes:], f); err != nil {
		t.Fatal(err)
	}
	return f
}

// pair is one server and one client, joined without delay or loss.
type pair struct {
	t       rapid.TB
	now     aspenshed.Nanos
	server  *Server
	client  *Client
	session SessionID // 0: not connected
	last    SessionID
	dialled []string
	frames  []*pb.ServerFrame
	applied []Apply
	lines   []LogLine
	done    []SubmitDone
	submits []*pb.Submit
	filter  func(*pb.ServerFrame) // changes a frame on its way
}

func newPair(t rapid.TB, server ServerConfig, client ClientConfig) *pair {
	server.Cluster, client.Cluster = "c", "c"
	client.Subscriber = "s"
	if client.Servers == nil {
		client.Servers = []string{"a:1", "b:1"}
	}
	p := &pair{t: t, now: 1000 * second, server: NewServer(server), client: NewClient(client)}
	p.server.Reset(1, nil) // without a state it would serve nobody
	return p
}

// run lets both ends do what is due, for so long.
func (p *pair) run(span aspenshed.Nanos) {
	for end := p.now + span; ; {
		p.settle()
		_, next := p.server.Step(p.now)
		_, wake := p.client.Step(p.now)
		if next = min(next, wake); next > end {
			p.now = end
			p.settle()
			return
		}
		p.now = max(next, p.now+1)
	}
}

// settle steps both until neither has anything to say at this instant.
func (p *pair) settle() {
	for busy := true; busy; {
		busy = p.stepServer()
		actions, _ := p.client.Step(p.now)
		busy = p.act(actions) || busy
	}
}

func (p *pair) stepServer() bool {
	out, _ := p.server.Step(p.now)
	for _, o := range out {
		if o.Log != nil {
			p.lines = append(p.lines, *o.Log)
		}
		if o.Submit != nil {
			p.submits = append(p.submits, o.Submit)
		}
		if o.Session == p.session && o.Frame != nil {
			p.deliver(o.Frame)
		}
		if o.Close && o.Session == p.session {
			p.session = 0
			actions, _ := p.client.Step(p.now, Disconnected{})
			p.act(actions)
		}
	}
	return len(out) > 0
}

func (p *pair) deliver(b []byte) {
	f := readFrame(p.t, b)
	if p.filter != nil {
		p.filter(f)
	}
	p.frames = append(p.frames, f)
	actions, _ := p.client.Step(p.now, Received{Frame: f, Bytes: len(b)})
	p.act(actions)
}

func (p *pair) act(actions []Action) bool {
	for _, a := range actions {
		switch a := a.(type) {
		case Dial:
			p.dialled = append(p.dialled, a.Server)
			p.last++
			p.session = p.last
			p.server.Open(p.now, p.session)
			more, _ := p.client.Step(p.now, Connected{})
			p.act(more)
		case Send:
			p.server.Receive(p.now, p.session, proto.Clone(a.Frame).(*pb.SubscriberFrame))
		case CloseConnection:
			p.server.Disconnected(p.session)
			p.session = 0
		case Apply:
			p.applied = append(p.applied, a)
			more, _ := p.client.Step(p.now, InForce{Revision: a.Revision})
			p.act(more)
		case Log:
			p.lines = append(p.lines, a.LogLine)
		case SubmitDone:
			p.done = append(p.done, a)
		}
	}
	return len(actions) > 0
}

// equal fails unless the client holds what the server has within the scope.
func (p *pair) equal(scope revision.Scope) {
	p.t.Helper()
	if got, want := p.client.State().Revision(), p.server.state.Revision(); got != want {
		p.t.Fatalf("client at revision %d, server at %d", got, want)
	}
	if got, want := p.client.State().Digest(revision.Scope{}), p.server.state.Digest(scope); got != want {
		p.t.Fatalf("digests differ: %x, %x", got, want)
	}
}

func records(n int) (out []revision.Record) {
	for i := range n {
		out = append(out, member(fmt.Sprintf("m%05d", i), int32(i/6), fmt.Sprint("z", i%19), ""))
	}
	return out
}

func TestSnapshotThenChanges(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(7, records(3000))
	p.run(second)
	p.equal(revision.Scope{})
	if len(p.applied) != 1 || !p.applied[0].Full || p.applied[0].Revision != 7 {
		t.Fatalf("applied %+v", p.applied)
	}
	changed := member("m00003", 0, "z3", "draining")
	p.server.Commit(9, []revision.Change{{Revision: 9, Record: changed, Binding: true}})
	p.settle()
	p.equal(revision.Scope{})
	if len(p.applied) != 2 || len(p.applied[1].Changes) != 1 || p.applied[1].Changes[0].Key != changed.Key {
		t.Fatalf("applied %+v", p.applied[1:])
	}
	p.run(second)
	if r := p.server.Rollout(0); r.Revision != 9 || r.Subscribers != 1 || r.InForce != 1 || len(r.Lagging) != 0 {
		t.Errorf("rollout %v", r)
	}
	for _, l := range p.lines {
		t.Errorf("logged %+v", l)
	}
}

func TestSubmissionsAreAnswered(t *testing.T) {
	p := newPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	actions, _ := p.client.Step(p.now, SubmitCommands{ID: 4, Batch: &catalogpb.Batch{}})
	p.act(actions)
	p.settle()
	if len(p.submits) != 1 || p.submits[0].Id != 4 {
		t.Fatalf("submitted %v", p.submits)
	}
	p.server.Submitted(p.now, p.session, &pb.Submitted{Id: 4, Reply: &catalogpb.Reply{Index: 3}})
	p.settle()
	if len(p.done) != 1 || p.done[0].ID != 4 || p.done[0].Err != nil || p.done[0].Reply.GetIndex() != 3 {
		t.Errorf("answered %+v", p.done)
	}
}
