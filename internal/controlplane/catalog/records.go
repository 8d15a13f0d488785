package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// A subscriber's catalog applies no commands: it is built from the records that the control plane distributes.

// RecordError reports a record that was not accepted.
type RecordError struct{ Key, Problem string }

func (e *RecordError) Error() string { return fmt.Sprintf("catalog: record %q: %s", e.Key, e.Problem) }

// Records returns all records that are distributed, sorted by key.
func (c *Catalog) Records() []revision.Record {
	out := make([]revision.Record, 0, len(c.members)+len(c.primaries)+len(c.pairs)+2)
	add := func(key string) {
		if r := c.currentRecord(key); r != nil {
			out = append(out, *r)
		}
	}
	add(revision.ConfigKey)
	add(revision.RulesKey)
	for id := range c.members {
		add(revision.MemberPrefix + id)
	}
	for name := range c.pairs {
		add(revision.PairPrefix + name)
	}
	for group := range c.primaries {
		add(revision.PrimaryPrefix + group)
	}
	slices.SortFunc(out, func(a, b revision.Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// SetIndex sets the revision of the catalog.
func (c *Catalog) SetIndex(revision uint64) { c.state.Index = revision }

// ResetRecords replaces the content of the catalog. On an error, a *RecordError, nothing has changed.
func (c *Catalog) ResetRecords(rev uint64, records []revision.Record) error {
	fresh := New(c.state.Cluster)
	for _, r := range records {
		if err := fresh.SetRecord(r); err != nil {
			return err
		}
	}
	fresh.state.Index, fresh.state.Inventory = rev, c.state.Inventory+1
	c.ReplaceWith(fresh)
	return nil
}

// SetRecord adds or replaces one record. On an error, a *RecordError, nothing has changed.
func (c *Catalog) SetRecord(r revision.Record) error {
	if id, ok := strings.CutPrefix(r.Key, revision.MemberPrefix); ok {
		return c.setMemberRecord(r, id)
	}
	if name, ok := strings.CutPrefix(r.Key, revision.PairPrefix); ok {
		return c.setPairRecord(r, name)
	}
	if group, ok := strings.CutPrefix(r.Key, revision.PrimaryPrefix); ok {
		return c.setPrimaryRecord(r, group)
	}
	switch r.Key {
	case revision.ConfigKey:
		return c.setConfigRecord(r)
	case revision.RulesKey:
		return c.setRulesRecord(r)
	}
	return &RecordError{r.Key, "no kind of record that this release knows"}
}

// RemoveRecord removes one record. An unknown id is no error.
func (c *Catalog) RemoveRecord(key string) error {
	if id, ok := strings.CutPrefix(key, revision.MemberPrefix); ok {
		if m := c.members[id]; m != nil {
			delete(c.members, id)
			c.countMember(GroupOf(m.Entry), -1)
			c.state.Inventory++
			c.membersVersion++
		}
		return nil
	}
	if name, ok := strings.CutPrefix(key, revision.PairPrefix); ok {
		delete(c.pairs, name)
		return nil
	}
	if group, ok := strings.CutPrefix(key, revision.PrimaryPrefix); ok {
		delete(c.primaries, group)
		c.learnedVersion++
		return nil
	}
	switch key {
	case revision.ConfigKey:
		c.state.Configs = nil
		return nil
	case revision.RulesKey:
		c.state.Rules, c.state.RulesSet = DefaultRules(), false
		c.membersVersion++
		return nil
	}
	return &RecordError{key, "no kind of record that this release knows"}
}

// decode unmarshals a record's value.
func decode(r revision.Record, value proto.Message) error {
	if err := proto.Unmarshal(r.Value, value); err != nil {
		return &RecordError{r.Key, err.Error()}
	}
	return nil
}

func (c *Catalog) setMemberRecord(r revision.Record, id string) error {
	m := &pb.Member{}
	if err := decode(r, m); err != nil {
		return err
	}
	old := c.members[id]
	switch {
	case id == "" || m.Entry.GetId() != id:
		return &RecordError{r.Key, fmt.Sprintf("it is of member %q", m.Entry.GetId())}
	case m.Entry.Address == "":
		return &RecordError{r.Key, "address missing"}
	case len(m.Leases) > 0:
		return &RecordError{r.Key, "it holds leases, which are not distributed"}
	case m.Start < 0 || m.ColdSince < 0 || m.WarmAt < 0 || m.DrainedAt < 0:
		return &RecordError{r.Key, "a time before 1970"}
	case old == nil && len(c.members) >= maxMembers:
		return &RecordError{r.Key, fmt.Sprintf("%d members are held already", maxMembers)}
	}
	if old != nil {
		c.countMember(GroupOf(old.Entry), -1)
	}
	if old == nil || !proto.Equal(old.Entry, m.Entry) {
		c.state.Inventory++
	}
	c.members[id] = m
	c.countMember(GroupOf(m.Entry), 1)
	c.membersVersion++
	return nil
}

func (c *Catalog) setPairRecord(r revision.Record, name string) error {
	p := &pb.Pair{}
	if err := decode(r, p); err != nil {
		return err
	}
	switch {
	case name == "" || p.Key != name:
		return &RecordError{r.Key, fmt.Sprintf("it is of key %q", p.Key)}
	case len(p.Value) > maxValueBytes:
		return &RecordError{r.Key, fmt.Sprintf("the value has %d bytes, %d at most", len(p.Value), maxValueBytes)}
	case c.pairs[name] == nil && len(c.pairs) >= maxPairs:
		return &RecordError{r.Key, fmt.Sprintf("%d keys are held already", maxPairs)}
	}
	c.pairs[name] = p
	return nil
}

func (c *Catalog) setPrimaryRecord(r revision.Record, group string) error {
	p := &pb.Primary{}
	if err := decode(r, p); err != nil {
		return err
	}
	switch {
	case primaryGroup(p).String() != group:
		return &RecordError{r.Key, fmt.Sprintf("it is of group %s", primaryGroup(p))}
	case p.Member == "" || p.At <= 0:
		return &RecordError{r.Key, "member or time missing"}
	case c.primaries[group] == nil && len(c.primaries) >= maxGroups:
		return &RecordError{r.Key, fmt.Sprintf("primaries of %d groups are held already", maxGroups)}
	}
	c.primaries[group] = p
	c.learnedVersion++
	return nil
}

func (c *Catalog) setConfigRecord(r revision.Record) error {
	v := &pb.ConfigVersion{}
	if err := decode(r, v); err != nil {
		return err
	}
	switch {
	case v.Version == 0:
		return &RecordError{r.Key, "version missing"}
	case len(v.Text) > maxValueBytes:
		return &RecordError{r.Key, fmt.Sprintf("the configuration has %d bytes, %d at most", len(v.Text), maxValueBytes)}
	}
	c.state.Configs = []*pb.ConfigVersion{v}
	return nil
}

func (c *Catalog) setRulesRecord(r revision.Record) error {
	rules := &pb.Rules{}
	if err := decode(r, rules); err != nil {
		return err
	}
	if problem := ValidateRules(rules); problem != "" {
		return &RecordError{r.Key, problem}
	}
	c.state.Rules, c.state.RulesSet = rules, true
	c.membersVersion++
	return nil
}
