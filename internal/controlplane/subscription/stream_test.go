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

// member returns the record of a member; text makes its value differ.
func member(id string, group int32, site, text string) revision.Record {
	entry := &catalogpb.Entry{Id: id, Address: id + ":3306", Site: site, Group: group, Wire: "mysql", State: text}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&catalogpb.Member{Entry: entry})
	if err != nil {
		panic(err)
	}
	place := revision.Placement{Group: revision.Group{Wire: "mysql", ID: group}, Site: site}
	return revision.Record{Key: revision.MemberPrefix + id, Value: value, Placement: place}
}

// readFrame decodes a complete frame.
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

// testPair is one server and one client, connected without delay or loss.
type testPair struct {
	t           rapid.TB
	now         aspenshed.Nanos
	server      *Server
	client      *Client
	session     SessionID // 0: not connected
	lastSession SessionID
	dialed      []string
	frames      []*pb.ServerFrame
	applied     []Apply
	logLines    []LogLine
	results     []SubmitDone
	submits     []*pb.Submit
	filter      func(*pb.ServerFrame) // modifies a frame before it is delivered
}

func newTestPair(t rapid.TB, server ServerConfig, client ClientConfig) *testPair {
	server.Cluster, client.Cluster = "c", "c"
	client.Subscriber = "s"
	if client.Servers == nil {
		client.Servers = []string{"a:1", "b:1"}
	}
	p := &testPair{t: t, now: 1000 * second, server: NewServer(server), client: NewClient(client)}
	p.server.Reset(1, nil) // a server without a state rejects subscribers
	return p
}

// run runs both ends for a span of time.
func (p *testPair) run(span aspenshed.Nanos) {
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

// settle steps both ends until neither has any output at this time.
func (p *testPair) settle() {
	for busy := true; busy; {
		busy = p.stepServer()
		actions, _ := p.client.Step(p.now)
		busy = p.perform(actions) || busy
	}
}

func (p *testPair) stepServer() bool {
	out, _ := p.server.Step(p.now)
	for _, o := range out {
		if o.Log != nil {
			p.logLines = append(p.logLines, *o.Log)
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
			p.perform(actions)
		}
	}
	return len(out) > 0
}

func (p *testPair) deliver(b []byte) {
	f := readFrame(p.t, b)
	if p.filter != nil {
		p.filter(f)
	}
	p.frames = append(p.frames, f)
	actions, _ := p.client.Step(p.now, Received{Frame: f, Bytes: len(b)})
	p.perform(actions)
}

func (p *testPair) perform(actions []Action) bool {
	for _, a := range actions {
		switch a := a.(type) {
		case Dial:
			p.dialed = append(p.dialed, a.Server)
			p.lastSession++
			p.session = p.lastSession
			p.server.Open(p.now, p.session)
			more, _ := p.client.Step(p.now, Connected{})
			p.perform(more)
		case Send:
			p.server.Receive(p.now, p.session, proto.Clone(a.Frame).(*pb.SubscriberFrame))
		case CloseConnection:
			p.server.Disconnected(p.session)
			p.session = 0
		case Apply:
			p.applied = append(p.applied, a)
			more, _ := p.client.Step(p.now, Applied{Revision: a.Revision})
			p.perform(more)
		case Log:
			p.logLines = append(p.logLines, a.LogLine)
		case SubmitDone:
			p.results = append(p.results, a)
		}
	}
	return len(actions) > 0
}

// assertSynced fails unless the client has the server's records within the scope.
func (p *testPair) assertSynced(scope revision.Scope) {
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
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.server.Reset(7, records(3000))
	p.run(second)
	p.assertSynced(revision.Scope{})
	if len(p.applied) != 1 || !p.applied[0].Full || p.applied[0].Revision != 7 {
		t.Fatalf("applied %+v", p.applied)
	}
	changed := member("m00003", 0, "z3", "draining")
	p.server.Commit(9, []revision.Change{{Revision: 9, Record: changed, Binding: true}})
	p.settle()
	p.assertSynced(revision.Scope{})
	if len(p.applied) != 2 || len(p.applied[1].Changes) != 1 || p.applied[1].Changes[0].Key != changed.Key {
		t.Fatalf("applied %+v", p.applied[1:])
	}
	p.run(second)
	if r := p.server.Rollout(0); r.Revision != 9 || r.Subscribers != 1 || r.InForce != 1 || len(r.Lagging) != 0 {
		t.Errorf("rollout %v", r)
	}
	for _, l := range p.logLines {
		t.Errorf("logged %+v", l)
	}
}

func TestSubmissionsAreAnswered(t *testing.T) {
	p := newTestPair(t, ServerConfig{}, ClientConfig{})
	p.run(second)
	actions, _ := p.client.Step(p.now, SubmitCommands{ID: 4, Batch: &catalogpb.Batch{}})
	p.perform(actions)
	p.settle()
	if len(p.submits) != 1 || p.submits[0].Id != 4 {
		t.Fatalf("submitted %v", p.submits)
	}
	p.server.Submitted(p.now, p.session, &pb.Submitted{Id: 4, Reply: &catalogpb.Reply{Index: 3}})
	p.settle()
	if len(p.results) != 1 || p.results[0].ID != 4 || p.results[0].Err != nil || p.results[0].Reply.GetIndex() != 3 {
		t.Errorf("answered %+v", p.results)
	}
}
