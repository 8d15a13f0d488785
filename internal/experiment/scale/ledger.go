package scale

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// ExpectedState records the changes that the voters have committed: all of them must be in the final state.
type ExpectedState struct {
	memberVersions map[string]int    // version of each member's entry, as passed to MemberEntry
	memberIndexes  map[string]int    // member number by ID
	drainedMembers map[string]bool   // members that were drained and not started again
	primaries      map[string]string // member ID by the key of the group's primary record
	pairs          map[string]string
}

// NewExpectedState creates an empty state.
func NewExpectedState() *ExpectedState {
	return &ExpectedState{memberVersions: map[string]int{}, memberIndexes: map[string]int{}, drainedMembers: map[string]bool{}, primaries: map[string]string{}, pairs: map[string]string{}}
}

// Lost describes the committed changes that are missing from records. It returns nothing if there are none.
func (e *ExpectedState) Lost(records map[string][]byte) (lost []string) {
	for id, version := range e.memberVersions {
		if reason := e.checkMember(records[revision.MemberPrefix+id], id, version); reason != "" {
			lost = append(lost, id+": "+reason)
		}
	}
	for id := range e.drainedMembers {
		if _, drained := drainOf(records[revision.MemberPrefix+id]); !drained {
			lost = append(lost, id+": its drain is undone")
		}
	}
	for key, member := range e.primaries {
		p := &pb.Primary{}
		if proto.Unmarshal(records[key], p) != nil || p.Member != member {
			lost = append(lost, fmt.Sprintf("%s: %q, not %q", key, p.Member, member))
		}
	}
	for key, value := range e.pairs {
		p := &pb.Pair{}
		if proto.Unmarshal(records[revision.PairPrefix+key], p) != nil || string(p.Value) != value {
			lost = append(lost, fmt.Sprintf("%s: %q, not %q", key, p.Value, value))
		}
	}
	return lost
}

func (e *ExpectedState) checkMember(record []byte, id string, version int) string {
	m := &pb.Member{}
	if len(record) == 0 {
		return "is not there"
	}
	if err := proto.Unmarshal(record, m); err != nil {
		return err.Error()
	}
	if want := MemberEntry(e.memberIndexes[id], version); m.Entry.GetAddress() != want.Address {
		return fmt.Sprintf("address %s, not %s", m.Entry.GetAddress(), want.Address)
	}
	return ""
}

// ChangeGenerator creates changes that are recorded in the expected state once committed.
type ChangeGenerator struct {
	expected    *ExpectedState
	memberCount int // members added so far
	randomIndex func(n int) int
	markerValue int
}

// change is one command with the callback that records it once committed.
type change struct {
	command     *pb.Command
	onCommitted func()
}

// changeAddress gives one member a new address.
func (c *ChangeGenerator) changeAddress(i int) change {
	id := MemberID(i)
	version := c.expected.memberVersions[id] + 1
	return change{upsert(MemberEntry(i, version)), func() { c.expected.recordMember(i, version) }}
}

func (e *ExpectedState) recordMember(i, version int) {
	e.memberVersions[MemberID(i)], e.memberIndexes[MemberID(i)] = version, i
}

// addMembers adds the members from to until-1.
func (c *ChangeGenerator) addMembers(from, until int) change {
	var entries []*pb.Entry
	for i := from; i < until; i++ {
		entries = append(entries, MemberEntry(i, 0))
	}
	return change{upsert(entries...), func() {
		for i := from; i < until; i++ {
			c.expected.recordMember(i, 0)
		}
		c.memberCount = max(c.memberCount, until)
	}}
}

func upsert(entries ...*pb.Entry) *pb.Command {
	return &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: entries, Author: "scale"}}}
}

// drain drains a member permanently.
func (c *ChangeGenerator) drain(id string) change {
	command := &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Reason: "scale"}}}
	return change{command, func() { c.expected.drainedMembers[id] = true }}
}

// primary reports a new primary of a group.
func (c *ChangeGenerator) primary(group int32, member string, at int64) change {
	report := &pb.ReportPrimary{Wire: memberWire, Group: group, Member: member, At: at}
	key := revision.PrimaryPrefix + revision.Group{Wire: memberWire, ID: group}.String()
	return change{&pb.Command{Body: &pb.Command_ReportPrimary{ReportPrimary: report}}, func() { c.expected.primaries[key] = member }}
}

const markerKey = "scale-marker"

// setMarker sets the key that identifies the newest committed state.
func (c *ChangeGenerator) setMarker() change {
	c.markerValue++
	value := strconv.Itoa(c.markerValue)
	command := &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: markerKey, Value: []byte(value)}}}
	return change{command, func() { c.expected.pairs[markerKey] = value }}
}

// typicalChange returns the n-th change of a typical day: mostly the configuration of a member, and now and then
// a drain or a new primary.
func (c *ChangeGenerator) typicalChange(n int, now int64) change {
	member := c.randomIndex(c.memberCount)
	switch {
	case n%20 == 7:
		return c.drain(MemberID(member))
	case n%20 == 13:
		group := member / membersPerGroup
		return c.primary(int32(group), MemberID(group*membersPerGroup), now)
	}
	return c.changeAddress(member)
}

func commandsOf(changes []change) (out []*pb.Command) {
	for _, c := range changes {
		out = append(out, c.command)
	}
	return out
}
