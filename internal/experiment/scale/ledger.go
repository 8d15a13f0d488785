package scale

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// Ledger is what the voters have agreed to by their answers: all of it must be in the state at the end.
type Ledger struct {
	members   map[string]int    // revision of each member's entry, as Member makes it
	numbers   map[string]int    // which member an id names
	drained   map[string]bool   // members that were drained and never started again
	primaries map[string]string // member by group's key
	pairs     map[string]string
}

// NewLedger is empty.
func NewLedger() *Ledger {
	return &Ledger{members: map[string]int{}, numbers: map[string]int{}, drained: map[string]bool{}, primaries: map[string]string{}, pairs: map[string]string{}}
}

// Lost names what a state lacks of the ledger, in words; none: nothing was lost.
func (l *Ledger) Lost(records map[string][]byte) (lost []string) {
	for id, version := range l.members {
		if reason := l.memberLost(records[revision.MemberPrefix+id], id, version); reason != "" {
			lost = append(lost, id+": "+reason)
		}
	}
	for id := range l.drained {
		if _, drained := drainOf(records[revision.MemberPrefix+id]); !drained {
			lost = append(lost, id+": its drain is undone")
		}
	}
	for key, member := range l.primaries {
		p := &pb.Primary{}
		if proto.Unmarshal(records[key], p) != nil || p.Member != member {
			lost = append(lost, fmt.Sprintf("%s: %q, not %q", key, p.Member, member))
		}
	}
	for key, value := range l.pairs {
		p := &pb.Pair{}
		if proto.Unmarshal(records[revision.PairPrefix+key], p) != nil || string(p.Value) != value {
			lost = append(lost, fmt.Sprintf("%s: %q, not %q", key, p.Value, value))
		}
	}
	return lost
}

func (l *Ledger) memberLost(record []byte, id string, version int) string {
	m := &pb.Member{}
	if len(record) == 0 {
		return "is not there"
	}
	if err := proto.Unmarshal(record, m); err != nil {
		return err.Error()
	}
	if want := Member(l.numbers[id], version); m.Entry.GetAddress() != want.Address {
		return fmt.Sprintf("address %s, not %s", m.Entry.GetAddress(), want.Address)
	}
	return ""
}

// Changes makes changes, and enters into the ledger those that were agreed on.
type Changes struct {
	ledger *Ledger
	count  int // members that there are
	next   func(n int) int
	marker int
}

// change is one command with what the ledger takes note of once it is agreed on.
type change struct {
	command *pb.Command
	agreed  func()
}

// rewrite gives one member a new address.
func (c *Changes) rewrite(i int) change {
	id := MemberID(i)
	version := c.ledger.members[id] + 1
	return change{upsert(Member(i, version)), func() { c.ledger.enter(i, version) }}
}

func (l *Ledger) enter(i, version int) {
	l.members[MemberID(i)], l.numbers[MemberID(i)] = version, i
}

// add brings in members from number From to Until-1.
func (c *Changes) add(from, until int) change {
	var entries []*pb.Entry
	for i := from; i < until; i++ {
		entries = append(entries, Member(i, 0))
	}
	return change{upsert(entries...), func() {
		for i := from; i < until; i++ {
			c.ledger.enter(i, 0)
		}
		c.count = max(c.count, until)
	}}
}

func upsert(entries ...*pb.Entry) *pb.Command {
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: entries, Author: "scale"}}}
}

// drain drains a member for good.
func (c *Changes) drain(id string) change {
	command := &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Reason: "scale"}}}
	return change{command, func() { c.ledger.drained[id] = true }}
}

// primary names the member that takes a group's writes from now on.
func (c *Changes) primary(group int32, member string, at int64) change {
	report := &pb.ReportPrimary{Wire: memberWire, Group: group, Member: member, At: at}
	key := revision.PrimaryPrefix + revision.Group{Wire: memberWire, ID: group}.String()
	return change{&pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: report}}, func() { c.ledger.primaries[key] = member }}
}

const markerKey = "scale-marker"

// mark sets a key by which the newest agreed state is known.
func (c *Changes) mark() change {
	c.marker++
	value := strconv.Itoa(c.marker)
	command := &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: markerKey, Value: []byte(value)}}}
	return change{command, func() { c.ledger.pairs[markerKey] = value }}
}

// ordinary is the n-th change of an ordinary day: configuration of a member mostly, now and then a drain or a new primary.
func (c *Changes) ordinary(n int, now int64) change {
	member := c.next(c.count)
	switch {
	case n%20 == 7:
		return c.drain(MemberID(member))
	case n%20 == 13:
		group := member / membersOfGroup
		return c.primary(int32(group), MemberID(group*membersOfGroup), now)
	}
	return c.rewrite(member)
}

func commandsOf(changes []change) (out []*pb.Command) {
	for _, c := range changes {
		out = append(out, c.command)
	}
	return out
}
