package publication_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"aspenshed"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/publication"
	"aspenshed/internal/controlplane/roster"
)

const (
	wire      = "mysql"
	instances = 3
	mixture   = -1 // number of a member list whose members are of several lists
)

// cluster is a replicated log with instances that load, publish and apply member lists.
type cluster struct {
	t         *rapid.T
	log       []*pb.Command
	agreed    *catalog.Catalog // with the whole log applied
	history   []int            // number of the agreed list by version of the inventory
	instances []*instance
	lists     int        // numbers given to lists
	delayed   []*delayed // commands that may still be applied
}

// delayed is a command whose sender doesn't know whether it was applied.
type delayed struct {
	command *pb.Command
	known   map[int]bool // to its sender
}

// instance is one instance. Its agent publishes as the package agent does.
type instance struct {
	*cluster
	id        string
	boots     int
	seq       uint64
	connected bool
	replica   *catalog.Catalog
	applied   int // commands of the log
	merger    *roster.Merger

	file     int // number of the list in its file
	queue    publication.Queue
	current  *publication.Publication // taken from the queue
	newest   *publication.Publication
	step     publication.Step
	sent     int          // commands of the step that were submitted
	known    map[int]bool // lists that it knew when it loaded the newest one
	storedAt uint64       // version of the inventory that the newest list was stored as; 0: it was not
	ended    bool         // the publication of the newest list has ended
	reloaded bool         // the newest list is not the initial one
	// replaceable are lists that the newest one must not be refused for.
	replaceable map[int]bool
}

// entries returns a list with a number. Its members name it.
func entries(number int) (out []*pb.Entry) {
	for i := range 2 + number%3 {
		out = append(out, &pb.Entry{Id: fmt.Sprint("m", (number*5+i)%4), Address: fmt.Sprint("h:", number), Wire: wire, State: "in_service"})
	}
	return out
}

func local(number int) (out []roster.Entry) {
	for _, e := range entries(number) {
		out = append(out, roster.Entry{Member: aspenshed.Member{ID: e.Id, Address: e.Address}})
	}
	return out
}

// numberOf returns the number of the list that consists of members with these ids and addresses, in order of their ids.
func numberOf(members []string) int {
	if len(members) == 0 {
		return 0
	}
	var number int
	if _, err := fmt.Sscanf(members[0][len("m0@"):], "h:%d", &number); err != nil {
		return mixture
	}
	var want []string
	for _, e := range entries(number) {
		want = append(want, e.Id+"@"+e.Address)
	}
	slices.Sort(want)
	if !slices.Equal(want, members) {
		return mixture
	}
	return number
}

func listOf(c *catalog.Catalog) int {
	var members []string
	for _, m := range c.Members() {
		members = append(members, m.Entry.Id+"@"+m.Entry.Address)
	}
	return numberOf(members)
}

// inUse returns the number of the list that the instance uses.
func (x *instance) inUse() int {
	list, _ := x.merger.Merge()
	var members []string
	for _, e := range list {
		members = append(members, e.ID+"@"+e.Address)
	}
	return numberOf(members)
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, agreed: catalog.New("test"), history: []int{0}, lists: 1}
	for i := range instances {
		x := &instance{cluster: c, id: fmt.Sprint("i", i), file: 1, connected: true}
		c.instances = append(c.instances, x)
		x.start()
	}
	return c
}

// start starts the instance with its file and an empty replica.
func (x *instance) start() {
	x.boots++
	x.seq, x.applied, x.replica, x.merger = 0, 0, catalog.New("test"), roster.New()
	x.queue, x.current, x.newest, x.step, x.sent = publication.Queue{}, nil, nil, publication.Step{}, 0
	x.known = map[int]bool{0: true}
	x.merger.SetLocal(local(x.file))
	x.load(x.file, true)
}

// load has the instance load a list.
func (x *instance) load(number int, initial bool) {
	p := publication.New(publication.List{Wire: wire, Entries: entries(number), Initial: initial}, x.id, x.replica.WireDigest(wire))
	x.known[listOf(x.replica)] = true
	x.known[x.file] = true
	x.replaceable = map[int]bool{listOf(x.replica): true, number: true}
	if x.newest != nil && !x.ended { // what it loaded before may be agreed on any moment
		x.replaceable[x.file] = true
	}
	x.known[number] = true
	x.file, x.newest, x.storedAt, x.ended, x.reloaded = number, p, 0, false, !initial
	if !initial {
		x.merger.SetLocal(local(number))
		x.merger.SetLocalPending()
	}
	x.queue.Load(p)
}

// apply has the instance apply the log up to an index.
func (x *instance) apply(index int) {
	for ; x.applied < index; x.applied++ {
		x.replica.Apply(uint64(x.applied+1), &pb.Batch{Commands: []*pb.Command{proto.Clone(x.log[x.applied]).(*pb.Command)}})
	}
	x.refresh()
}

// refresh passes the replica to the merger.
func (x *instance) refresh() {
	version := x.replica.InventoryVersion()
	x.merger.SetCatalog(version, x.replica.Members())
}

// commit appends a command to the log.
func (c *cluster) commit(command *pb.Command, known map[int]bool) *pb.Result {
	before, version := listOf(c.agreed), c.agreed.InventoryVersion()
	command = proto.Clone(command).(*pb.Command)
	c.log = append(c.log, command)
	command.At = int64(len(c.log)) * 1e9
	result := c.agreed.Apply(uint64(len(c.log)), &pb.Batch{Commands: []*pb.Command{proto.Clone(command).(*pb.Command)}})[0]
	for len(c.history) <= int(c.agreed.InventoryVersion()) {
		c.history = append(c.history, listOf(c.agreed))
	}
	after := listOf(c.agreed)
	if c.agreed.InventoryVersion() != version && before != mixture && !known[before] {
		c.t.Fatalf("%s replaced list %d, which it did not know, by %d", command.Origin, before, after)
	}
	return result
}

// publish has the instance take one step of a publication.
func (x *instance) publish() {
	// It looks for a newer list now and then.
	if x.current == nil || x.queue.HasNext() && rapid.Bool().Draw(x.t, "looks") {
		x.current, x.step.Commands = x.queue.Take(), nil
	}
	if x.current == nil || !x.connected {
		return
	}
	if x.sent >= len(x.step.Commands) {
		x.decide()
		return
	}
	command := x.step.Commands[x.sent]
	x.seq++
	command.Origin, command.Seq, command.Kind = fmt.Sprint(x.id, x.boots), x.seq, catalog.CommandKind(command)
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "in doubt", "late"}).Draw(x.t, "outcome") {
	case "answered":
		x.sent++
		if result := x.commit(command, x.known); result.Refused != "" {
			x.current.Refused(x.step, result.Refused)
			x.step.Commands = nil
		}
	case "lost":
		x.step.Commands = nil
	case "in doubt":
		x.commit(command, x.known)
		x.step.Commands = nil
	case "late":
		x.delayed = append(x.delayed, &delayed{proto.Clone(command).(*pb.Command), maps.Clone(x.known)})
		x.step.Commands = nil
	}
}

// decide has the instance read the newest state and begin the next step.
func (x *instance) decide() {
	x.apply(len(x.log))
	step, err := x.current.Next(x.replica, int64(len(x.log))*1e9)
	x.step, x.sent = step, 0
	if err == nil && len(step.Commands) > 0 {
		return
	}
	if conflict := (*publication.ConflictError)(nil); x.current == x.newest && errors.As(err, &conflict) && x.replaceable[listOf(x.replica)] {
		x.t.Fatalf("%s refused list %d, as %d is agreed on, which it knew", x.id, x.file, listOf(x.replica))
	}
	x.ended = x.ended || x.current == x.newest
	if x.current == x.newest && x.reloaded {
		if err != nil {
			x.merger.LocalNotStored()
		} else {
			x.merger.LocalStored(step.Version)
			x.storedAt = step.Version
		}
		x.refresh()
	}
	x.queue.End()
	x.current = nil
}

// check checks what every instance uses.
func (c *cluster) check() {
	for _, x := range c.instances {
		used := x.inUse()
		switch {
		case x.reloaded && !x.ended:
			if used != x.file {
				c.t.Fatalf("%s uses list %d, and %d waits to be published", x.id, used, x.file)
			}
		case x.reloaded && x.storedAt > 0:
			if !slices.Contains(c.history[x.storedAt:], used) {
				c.t.Fatalf("%s uses list %d, which is older than %d, stored at version %d: %v", x.id, used, x.file, x.storedAt, c.history)
			}
		case x.replica.InventoryVersion() > 0:
			if used != listOf(x.replica) {
				c.t.Fatalf("%s uses list %d, and its replica has %d", x.id, used, listOf(x.replica))
			}
		}
	}
}

// act takes a random action.
func (c *cluster) act() {
	x := c.instances[rapid.IntRange(0, instances-1).Draw(c.t, "instance")]
	switch rapid.SampledFrom([]string{"load", "publish", "publish", "publish", "publish", "apply", "connect", "late", "restart", "load everywhere"}).Draw(c.t, "action") {
	case "load":
		c.lists++
		x.load(c.lists, false)
	case "load everywhere":
		c.lists++
		for _, y := range c.instances {
			y.load(c.lists, false)
		}
	case "publish":
		x.publish()
	case "apply":
		if x.connected {
			x.apply(rapid.IntRange(x.applied, len(c.log)).Draw(c.t, "index"))
		}
	case "connect":
		x.connected = !x.connected
	case "late":
		if len(c.delayed) > 0 {
			d := c.delayed[0]
			c.delayed = c.delayed[1:]
			c.commit(d.command, d.known)
		}
	case "restart":
		if rapid.IntRange(0, 3).Draw(c.t, "restarts") == 0 {
			x.start()
		}
	}
	c.check()
}

// settle connects all instances and lets all publications end.
func (c *cluster) settle() {
	for _, d := range c.delayed {
		c.commit(d.command, d.known)
	}
	c.delayed = nil
	for _, x := range c.instances {
		x.connected = true
	}
	for round := 0; ; round++ {
		busy := false
		for _, x := range c.instances {
			busy = busy || x.current != nil || x.queue.HasNext()
			x.publish()
			c.check()
		}
		if !busy && len(c.delayed) == 0 {
			break
		}
		for _, d := range c.delayed {
			c.commit(d.command, d.known)
		}
		if c.delayed = nil; round > 1000 {
			c.t.Fatal("the publications do not end")
		}
	}
	for _, x := range c.instances {
		x.apply(len(c.log))
	}
}

// Guards against instances that go back to an older list: whatever the order of loads, losses, restarts and late answers, a list
// replaces only one that its instance knew, is in use where it was loaded until it is stored or refused, and in the end all use
// the list that was agreed on last.
func TestAllInstancesEndOnTheLastAgreedList(t *testing.T) {
	refused, stored := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 80).Draw(t, "actions") {
			c.act()
		}
		c.settle()
		last := listOf(c.agreed)
		if last == mixture || last == 0 {
			t.Fatalf("the agreed list is none that was loaded: %v", c.history)
		}
		for _, x := range c.instances {
			if used := x.inUse(); used != last {
				t.Fatalf("%s uses list %d, agreed on is %d: %v", x.id, used, last, c.history)
			}
			switch {
			case x.reloaded && x.storedAt == 0:
				refused++
			case x.reloaded:
				stored++
			}
		}
	})
	if refused == 0 || stored == 0 {
		t.Errorf("%d lists were refused, %d stored", refused, stored)
	}
}
