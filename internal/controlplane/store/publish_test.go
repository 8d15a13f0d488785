package store

import (
	"fmt"
	"reflect"
	"sync"
	"testing"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// recordingPublisher is a Publisher that builds a catalog from what is published.
type recordingPublisher struct {
	t *testing.T

	mu     sync.Mutex
	cat    *catalog.Catalog
	rev    uint64
	resets int
}

func newRecordingPublisher(t *testing.T) *recordingPublisher {
	return &recordingPublisher{t: t, cat: catalog.New("t")}
}

func (f *recordingPublisher) Publish(rev uint64, changes []revision.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev <= f.rev {
		f.t.Errorf("revision %d after %d", rev, f.rev)
	}
	f.rev = rev
	for _, x := range changes {
		err := error(nil)
		if x.Removed {
			err = f.cat.RemoveRecord(x.Key)
		} else {
			err = f.cat.SetRecord(x.Record)
		}
		if err != nil || x.Revision != rev || x.CommittedAt == 0 {
			f.t.Errorf("revision %d: %+v: %v", rev, x, err)
		}
	}
}

func (f *recordingPublisher) Reset(rev uint64, records []revision.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rev <= f.rev {
		f.t.Errorf("reset to revision %d after %d", rev, f.rev)
	}
	f.rev = rev
	f.resets++
	if err := f.cat.ResetRecords(rev, records); err != nil {
		f.t.Error(err)
	}
}

// holds reports whether its records equal those of s.
func (f *recordingPublisher) holds(s *Store) (same bool) {
	s.Read(func(c *catalog.Catalog) {
		f.mu.Lock()
		defer f.mu.Unlock()
		same = reflect.DeepEqual(f.cat.Records(), c.Records())
	})
	return same
}

func (f *recordingPublisher) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resets
}

func upsertCommand(ids ...string) *pb.Command {
	p := &pb.UpsertMembers{Author: "t"}
	for _, id := range ids {
		p.Members = append(p.Members, &pb.Entry{Id: id, Address: id + ":1", State: "in_service"})
	}
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: p}}
}

func drainCommand(id string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Reason: "test"}}}
}

// The published changes of a voter reproduce its catalog: while it writes, after a snapshot of the leader replaced log
// entries that it missed, and after an operator's restore, which has a newer revision.
func TestPublishedChangesReproduceCatalog(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	publishers := map[string]*recordingPublisher{}
	reopen := func(id string) {
		c.kill(id)
		publishers[id] = newRecordingPublisher(t)
		c.nodes[id].cfg.Publisher = publishers[id]
		c.open(id)
	}
	for _, id := range []string{"a", "b", "c"} {
		reopen(id)
	}
	same := func(when string) {
		t.Helper()
		c.waitForEqual(nil)
		for id, f := range publishers {
			c.waitFor(fmt.Sprint("what ", id, " publishes ", when), func() bool { return f.holds(c.nodes[id].store) })
		}
	}
	c.leader()
	c.submit("a", upsertCommand("m1", "m2", "m3"))
	c.submit("b", drainCommand("m2"))
	c.put("c", "k", "v")
	c.submit("c", &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: []string{"m3"}}}})
	same("after writes")
	stopped := c.follower()
	c.kill(stopped)
	writer := c.leader()
	for i := range 300 { // more entries than the log keeps
		c.put(writer, fmt.Sprint("k", i%7), fmt.Sprint(i))
	}
	reopen(stopped)
	c.waitFor("a snapshot at the restarted instance", func() bool { return publishers[stopped].count() > 0 })
	same("after a snapshot")
	lead := c.leader()
	saved := encodeCatalog(t, c.nodes[lead].store)
	c.put(lead, "k", "later")
	before := publishers[lead].count()
	if err := c.nodes[lead].store.Restore(saved); err != nil {
		t.Fatal(err)
	}
	if publishers[lead].count() == before {
		t.Error("the restored state was not published")
	}
	c.put(lead, "after", "the restore")
	same("after a restore")
	c.waitForEqual(map[string]string{"k": "v", "after": "the restore"})
}

func encodeCatalog(t *testing.T, s *Store) (b []byte) {
	t.Helper()
	var err error
	if s.Read(func(c *catalog.Catalog) { b, err = c.Encode() }); err != nil {
		t.Fatal(err)
	}
	return b
}

// submit submits a command, which has to succeed.
func (c *cluster) submit(from string, x *pb.Command) {
	c.t.Helper()
	if r, err := c.nodes[from].store.Submit(x, waitTimeout); err != nil || r.Refused != "" {
		c.t.Fatalf("%v: %v %v", x, r, err)
	}
}

// An instance without a log publishes its changes as well.
func TestStandaloneInstancePublishes(t *testing.T) {
	f := newRecordingPublisher(t)
	s, err := Open(Config{Cluster: "t", ID: "only", Publisher: f})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, x := range []*pb.Command{upsertCommand("m1", "m2"), drainCommand("m1"), setCommand("k", "v")} {
		if r, err := s.Submit(x, waitTimeout); err != nil || r.Refused != "" {
			t.Fatal(r, err)
		}
	}
	saved := encodeCatalog(t, s)
	if r, err := s.Submit(setCommand("k", "w"), waitTimeout); err != nil || r.Refused != "" {
		t.Fatal(r, err)
	}
	if !f.holds(s) {
		t.Error("the published records differ from its own")
	}
	if err := s.Restore(saved); err != nil {
		t.Fatal(err)
	}
	if !f.holds(s) || f.count() != 1 || getValue(s, "k") != "v" {
		t.Errorf("after a restore: %d resets, k=%q", f.count(), getValue(s, "k"))
	}
}
