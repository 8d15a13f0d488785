package agent

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/publication"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/dataplane/eventloop"
)

const waitTimeout = 30 * time.Second // for operations that must succeed

// inventoryLog counts the log entries with changes of the inventory, and their bytes.
type inventoryLog struct {
	raft.LogStore

	mu             sync.Mutex
	bytes, entries int
}

func (l *inventoryLog) StoreLogs(logs []*raft.Log) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range logs {
		b := &pb.Batch{}
		if x.Type != raft.LogCommand || proto.Unmarshal(x.Data, b) != nil {
			continue
		}
		if slices.ContainsFunc(b.Commands, changesInventory) {
			l.bytes += len(x.Data)
			l.entries++
		}
	}
	return l.LogStore.StoreLogs(logs)
}

func changesInventory(c *pb.Command) bool {
	switch c.Body.(type) {
	case *pb.Command_PutInventory, *pb.Command_UpsertMembers, *pb.Command_RemoveMembers:
		return true
	}
	return false
}

// takeCounts returns the counts since the last call.
func (l *inventoryLog) takeCounts() (bytes, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes, entries = l.bytes, l.entries
	l.bytes, l.entries = 0, 0
	return bytes, entries
}

// noCaller is the Caller of an instance without peers.
type noCaller struct{}

func (noCaller) Call(string, *pb.Call, time.Duration) (*pb.Reply, error) {
	return nil, store.ErrUnavailable
}

// newSingleInstanceAgent returns an agent of a store with one instance and a log.
func newSingleInstanceAgent(t *testing.T) (*Agent, *inventoryLog) {
	t.Helper()
	log := &inventoryLog{}
	_, transport := raft.NewInmemTransport("r-a")
	self := store.Peer{ID: "a", Address: "r-a", Service: "s-a"}
	s, err := store.Open(store.Config{Cluster: "t", ID: self.ID, Address: self.Address, Service: self.Service, Peers: []store.Peer{self},
		DataDir: t.TempDir(), ShortTimeouts: true, Transport: transport, Caller: noCaller{},
		WrapLogStore: func(l raft.LogStore) raft.LogStore { log.LogStore = l; return log }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return &Agent{cfg: Config{Store: s, Wire: "mysql", Loop: eventloop.NewLoop(eventloop.NewClock())}, publisher: newPublisher(), stop: make(chan struct{})}, log
}

// publishInitial and publishLoaded publish a list and return why it was refused.
func (a *Agent) publishInitial(list []*pb.Entry) error {
	return a.publishNow(publication.List{Wire: a.cfg.Wire, Entries: list, Initial: true})
}

func (a *Agent) publishLoaded(list []*pb.Entry) error {
	return a.publishNow(publication.List{Wire: a.cfg.Wire, Entries: list})
}

func (a *Agent) publishNow(list publication.List) error {
	var held catalog.ListDigest
	a.cfg.Store.Read(func(c *catalog.Catalog) { held = c.WireDigest(list.Wire) })
	return a.publish(publication.New(list, a.cfg.Store.ID(), held)).err
}

// memberList returns a list of n members, as a front builds it from its file.
func memberList(n int) (list []*pb.Entry) {
	for i := range n {
		list = append(list, &pb.Entry{Id: fmt.Sprintf("db-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:3306", i>>16, i>>8&255, i&255),
			Site: fmt.Sprint("zone-", i%19), Group: int32(i / 6), Kind: "replica", State: "in_service", Wire: "mysql"})
	}
	return list
}

func (a *Agent) catalogMembers() (ids []string) {
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		for _, m := range c.Members() {
			ids = append(ids, m.Entry.Id+"@"+m.Entry.Address)
		}
	})
	return ids
}

func memberKeys(list []*pb.Entry) (out []string) {
	for _, e := range list {
		out = append(out, e.Id+"@"+e.Address)
	}
	slices.Sort(out)
	return out
}

// The log bytes of one member's change do not depend on the length of the inventory.
func TestLogBytesOfOneMemberChange(t *testing.T) {
	for _, members := range []int{2100, 10500, 21000} {
		a, log := newSingleInstanceAgent(t)
		list := memberList(members)
		if err := a.publishInitial(list); err != nil {
			t.Fatal(err)
		}
		first, entries := log.takeCounts()
		if entries != 1 {
			t.Errorf("%d members: the initial list took %d log entries", members, entries)
		}
		whole := &pb.Command{Body: &pb.Command_PutInventory{PutInventory: &pb.PutInventory{Base: 1, Members: list, Author: "a"}}}
		if r, err := a.cfg.Store.Submit(whole, waitTimeout); err != nil || r.Refused != "" {
			t.Fatal(r, err)
		}
		before, _ := log.takeCounts()
		list[members/2] = proto.Clone(list[members/2]).(*pb.Entry)
		list[members/2].Address = "10.99.0.1:3306"
		if err := a.publishLoaded(list); err != nil {
			t.Fatal(err)
		}
		after, entries := log.takeCounts()
		if entries != 1 || after > 256 || !slices.Equal(a.catalogMembers(), memberKeys(list)) {
			t.Errorf("%d members: %d log entries, %d bytes", members, entries, after)
		}
		t.Logf("%d members: initial list %d bytes of log; one changed member: %d bytes as a whole list, %d as a difference", members, first, before, after)
		if err := a.publishLoaded(list); err != nil {
			t.Fatal(err)
		}
		if _, entries := log.takeCounts(); entries != 0 {
			t.Errorf("%d members: %d log entries for an equal list", members, entries)
		}
	}
}

// A large difference is split into commands of bounded size, and does not affect members of other wires.
func TestLargeDifferenceIsSplit(t *testing.T) {
	a, log := newSingleInstanceAgent(t)
	if err := a.publishInitial(memberList(12000)); err != nil {
		t.Fatal(err)
	}
	other := &Agent{cfg: Config{Store: a.cfg.Store, Wire: "postgres", Loop: a.cfg.Loop}, publisher: newPublisher(), stop: make(chan struct{})}
	foreign := []*pb.Entry{{Id: "po-a", Address: "10.1.1.1:5432", Wire: "postgres", State: "in_service"}}
	if err := other.publishInitial(foreign); err != nil {
		t.Fatal(err)
	}
	log.takeCounts()
	list := memberList(24000)[6000:]
	if err := a.publishLoaded(list); err != nil {
		t.Fatal(err)
	}
	bytes, entries := log.takeCounts()
	if entries < 4 || bytes/entries > publication.MaxCommandBytes+1024 {
		t.Errorf("%d bytes in %d log entries", bytes, entries)
	}
	if !slices.Equal(a.catalogMembers(), memberKeys(append(slices.Clone(list), foreign...))) {
		t.Errorf("%d members are in the catalog", len(a.catalogMembers()))
	}
}

// An initial list starts no slow start and does not replace an existing one; one that is too long is an error at once.
func TestInitialListIsPublishedOnce(t *testing.T) {
	a, _ := newSingleInstanceAgent(t)
	if err := a.publishInitial(memberList(3)); err != nil {
		t.Fatal(err)
	}
	a.cfg.Store.Read(func(c *catalog.Catalog) {
		if n := len(c.WarmingMembers()); n != 0 {
			t.Errorf("%d members are in slow start", n)
		}
	})
	if err := a.publishInitial(memberList(5)); err != nil || len(a.catalogMembers()) != 3 {
		t.Errorf("a second initial list: %v, %d members", err, len(a.catalogMembers()))
	}
	long := &Agent{cfg: Config{Store: a.cfg.Store, Wire: "postgres", Loop: a.cfg.Loop}, publisher: newPublisher(), stop: make(chan struct{})}
	list := memberList(1000)
	for _, e := range list {
		e.Id, e.Wire = e.Id+strings.Repeat("x", 5000), "postgres"
	}
	var tooLong *publication.ListSizeError
	if err := long.publishInitial(list); !errors.As(err, &tooLong) || len(a.catalogMembers()) != 3 {
		t.Errorf("a list that is too long: %v", err)
	}
}

// Guards a server that takes over a member's entry: it is in slow start and no primary until it says so, and a drain of
// the member stays.
func TestPublishedReplacementIsANewServer(t *testing.T) {
	a, _ := newSingleInstanceAgent(t)
	list := memberList(4) // all in group 0
	if err := a.publishInitial(list); err != nil {
		t.Fatal(err)
	}
	submit := func(c *pb.Command) {
		t.Helper()
		if r, err := a.cfg.Store.Submit(c, waitTimeout); err != nil || r.Refused != "" {
			t.Fatal(r, err)
		}
	}
	now := int64(a.cfg.Loop.Now())
	submit(&pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: &pb.ReportPrimary{Wire: "mysql", Member: list[0].Id, At: now}}})
	submit(&pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: list[2].Id, Reason: "test"}}})
	for i, change := range []func(*pb.Entry){
		func(e *pb.Entry) { e.Address = "10.99.0.1:3306" },
		func(e *pb.Entry) { e.Group = 7 },
		func(e *pb.Entry) { e.Address = "10.99.0.3:3306" },
		func(e *pb.Entry) { e.Site = "elsewhere" },
	} {
		list[i] = proto.Clone(list[i]).(*pb.Entry)
		change(list[i])
	}
	for range 2 { // the second time nothing differs
		if err := a.publishLoaded(list); err != nil {
			t.Fatal(err)
		}
		a.cfg.Store.Read(func(c *catalog.Catalog) {
			for i, want := range []struct{ warming, draining bool }{{true, false}, {true, false}, {false, true}, {false, false}} {
				m := c.Member(list[i].Id)
				if m.Entry.Address != list[i].Address || m.Entry.Group != list[i].Group || catalog.IsWarming(m) != want.warming || (m.DrainedAt != 0) != want.draining {
					t.Errorf("%s: %v, want %+v", list[i].Id, m, want)
				}
			}
			if p := c.Primary(catalog.GroupOf(list[0])); p != nil {
				t.Errorf("the primary of the group is still %v", p)
			}
			if c.InventoryVersion() != 2 {
				t.Errorf("the inventory is at version %d", c.InventoryVersion())
			}
		})
	}
}
