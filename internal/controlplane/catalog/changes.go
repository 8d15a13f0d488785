package catalog

import (
	"bytes"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// recorder collects the records that the current log entry changes. A record that an entry changes several times counts
// as one change, as the states in between are not observable.
type recorder struct {
	committedAt int64 // time of the current command, Unix ns
	touched     map[string]touchedRecord
	changes     []revision.Change // by entries applied since the last TakeChanges
}

// touchedRecord is the state of a record before the current entry, with the time of the last command that touched it.
type touchedRecord struct {
	before           *revision.Record // nil: it did not exist
	start, drainedAt int64            // of a member
	committedAt      int64
}

// TakeChanges returns the changes of the entries applied since the last call, in order; within an entry sorted by key.
// The caller of Apply has to take the changes of each entry, as they are kept until then.
func (c *Catalog) TakeChanges() []revision.Change {
	out := c.recorder.changes
	c.recorder.changes = nil
	return out
}

// touch has to be called before a record is modified.
func (c *Catalog) touch(key string) {
	t, known := c.recorder.touched[key]
	if !known {
		t.before = c.currentRecord(key)
		if id, isMember := strings.CutPrefix(key, revision.MemberPrefix); isMember && c.members[id] != nil {
			t.start, t.drainedAt = c.members[id].Start, c.members[id].DrainedAt
		}
	}
	t.committedAt = c.recorder.committedAt
	if c.recorder.touched == nil {
		c.recorder.touched = map[string]touchedRecord{}
	}
	c.recorder.touched[key] = t
}

func (c *Catalog) touchMember(id string) { c.touch(revision.MemberPrefix + id) }

// recordChanges converts the records touched by one entry into changes.
func (c *Catalog) recordChanges(index uint64) {
	for _, key := range sortedKeys(c.recorder.touched) {
		t := c.recorder.touched[key]
		after := c.currentRecord(key)
		change := revision.Change{Revision: index, Before: t.before, CommittedAt: t.committedAt}
		switch {
		case after == nil && t.before == nil:
			continue
		case after == nil:
			change.Record = revision.Record{Key: key, Placement: t.before.Placement}
			change.Removed = true
		case t.before != nil && bytes.Equal(t.before.Value, after.Value):
			continue
		default:
			change.Record = *after
		}
		change.Binding = c.isBinding(key, t, change.Removed)
		c.recorder.changes = append(c.recorder.changes, change)
	}
	c.recorder.touched = nil
}

// isBinding reports whether a change must reach every subscriber: a new drain, a new start, the removal of a member, or
// any change of a primary.
func (c *Catalog) isBinding(key string, before touchedRecord, removed bool) bool {
	if strings.HasPrefix(key, revision.PrimaryPrefix) {
		return true
	}
	id, isMember := strings.CutPrefix(key, revision.MemberPrefix)
	if !isMember || removed {
		return isMember
	}
	m := c.members[id]
	newDrain := m.DrainedAt != 0 && m.DrainedAt != before.drainedAt
	newStart := before.before != nil && m.Start != before.start
	return newDrain || newStart
}

// currentRecord returns the current record of a key, nil if there is none.
func (c *Catalog) currentRecord(key string) *revision.Record {
	if id, ok := strings.CutPrefix(key, revision.MemberPrefix); ok {
		if m := c.members[id]; m != nil {
			return memberRecord(m)
		}
		return nil
	}
	if name, ok := strings.CutPrefix(key, revision.PairPrefix); ok {
		if p := c.pairs[name]; p != nil {
			return encodeRecord(key, p)
		}
		return nil
	}
	if name, ok := strings.CutPrefix(key, revision.PrimaryPrefix); ok {
		if p := c.primaries[name]; p != nil {
			return encodeRecord(key, p)
		}
		return nil
	}
	switch {
	case key == revision.ConfigKey && c.Config() != nil:
		return encodeRecord(key, c.Config())
	case key == revision.RulesKey && c.state.RulesSet:
		return encodeRecord(key, c.state.Rules)
	}
	return nil
}

// memberRecord returns a member's record, without its leases, which concern their holders only.
func memberRecord(m *pb.Member) *revision.Record {
	r := encodeRecord(revision.MemberPrefix+m.Entry.Id, &pb.Member{Entry: m.Entry, Start: m.Start, ColdSince: m.ColdSince,
		WarmAt: m.WarmAt, DrainedAt: m.DrainedAt, DrainReason: m.DrainReason})
	r.Placement = revision.Placement{Group: GroupOf(m.Entry), Site: m.Entry.Site}
	return r
}

// encodeRecord encodes a value deterministically.
func encodeRecord(key string, value proto.Message) *revision.Record {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(value)
	if err != nil { // invalid UTF-8, which a command decoded from the log cannot contain
		b = nil
	}
	return &revision.Record{Key: key, Value: b}
}

// IsRedundant reports whether a command would change nothing: a drain that is recorded for that start, a start that is
// known, a report of a primary that is not newer. Later entries never make it necessary again.
func (c *Catalog) IsRedundant(x *pb.Command) bool {
	switch b := x.Body.(type) {
	case *pb.Command_Drain:
		m := c.members[b.Drain.GetMember()]
		return m != nil && m.DrainedAt != 0 && b.Drain.Start == m.Start
	case *pb.Command_Start:
		m := c.members[b.Start.GetMember()]
		return m != nil && b.Start.Start <= m.Start
	case *pb.Command_ReportPrimary:
		group := Group{Wire: b.ReportPrimary.GetWire(), ID: b.ReportPrimary.GetGroup()}
		known := c.primaries[group.String()]
		return known != nil && (b.ReportPrimary.At <= known.At || isRefresh(known, b.ReportPrimary))
	}
	return false
}
