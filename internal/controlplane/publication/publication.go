// Package publication decides how an instance publishes a member list that it has loaded: which commands make it the agreed
// list of its wire, when that is done, and whether it may replace what others have agreed on meanwhile.
//
// A list may replace the agreed list that its instance knew when it was loaded. If the instance could not publish it for a
// while and another list was agreed on, which may be newer, the list is refused: whoever loaded it has to decide.
package publication

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// List is a member list that an instance has loaded.
type List struct {
	Wire    string
	Entries []*pb.Entry
	// Initial is set for the list that was read at the start of the instance: it counts only where none is agreed on.
	Initial bool
}

// RefusedError reports a list, or a part of it, that the store refused.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "store: " + e.Reason }

// ListSizeError reports an initial list that is too long for one command.
type ListSizeError struct{ Bytes, Limit int }

func (e *ListSizeError) Error() string {
	return fmt.Sprintf("the initial inventory has %d bytes, %d at most", e.Bytes, e.Limit)
}

// ConflictError reports that another list was agreed on after this one was loaded and before it could be published.
type ConflictError struct{ Version uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("another inventory was agreed on since this one was loaded: it is at version %d", e.Version)
}

// Step is the next step of a publication.
type Step struct {
	// Commands are to be submitted in order. None: the list is the agreed one, or there is no need to publish it.
	Commands []*pb.Command
	Version  uint64 // of the agreed inventory that the step is based on
}

// Publication is the publication of one list, until it is stored, refused or replaced by a newer one of the instance.
type Publication struct {
	list   List
	author string
	// replaceable are the agreed lists that this one may replace: what the instance knew, what it has loaded before, and
	// what its own commands may have made of them. At most one entry is added for each command that was submitted.
	replaceable map[catalog.ListDigest]bool
	refusedAt   uint64 // version of the inventory on which the store refused a command
	refusal     *RefusedError
}

// New begins the publication of a list. held is the agreed list of its wire as the instance knew it when it loaded the list.
func New(list List, author string, held catalog.ListDigest) *Publication {
	return &Publication{list: list, author: author, replaceable: map[catalog.ListDigest]bool{held: true}}
}

// Replace has the publication take the place of an earlier one of the same instance that has not ended.
func (p *Publication) Replace(earlier *Publication) {
	for digest := range earlier.replaceable {
		p.replaceable[digest] = true
	}
	p.replaceable[catalog.DigestOf(earlier.list.Entries)] = true
}

// Initial reports whether the list was read at the start of the instance.
func (p *Publication) Initial() bool { return p.list.Initial }

// Next returns the next step, given the newest agreed state and the time in Unix nanoseconds. An error is final: the list is
// not published.
func (p *Publication) Next(c *catalog.Catalog, now int64) (Step, error) {
	step := Step{Version: c.InventoryVersion()}
	if p.refusal != nil && step.Version == p.refusedAt {
		return step, p.refusal
	}
	if !c.HasWire(p.list.Wire) {
		return p.firstList(step)
	}
	if p.list.Initial {
		return step, nil
	}
	changed, removed := c.Difference(p.list.Wire, p.list.Entries, now)
	if len(changed)+len(removed) == 0 {
		return step, nil
	}
	agreed := c.WireDigest(p.list.Wire)
	if !p.replaceable[agreed] {
		return step, &ConflictError{Version: step.Version}
	}
	if len(removed) > 0 {
		if whole := p.wholeInventory(c, changed, removed); proto.Size(whole) <= MaxCommandBytes {
			p.replaceable[catalog.DigestOf(p.list.Entries)] = true
			step.Commands = []*pb.Command{whole}
			return step, nil
		}
	}
	step.Commands = p.commands(changed, removed, step.Version)
	p.expect(c, agreed, step.Commands)
	return step, nil
}

// firstList publishes the first list of a wire. It is sent as one command, so that it is never applied in part, and based on
// the version that was read, as another instance may do the same.
func (p *Publication) firstList(step Step) (Step, error) {
	if len(p.list.Entries) == 0 {
		return step, nil
	}
	first := p.upsert(p.list.Entries, step.Version)
	if n := proto.Size(first); n > maxInitialListBytes {
		return step, &ListSizeError{n, maxInitialListBytes}
	}
	p.replaceable[catalog.DigestOf(p.list.Entries)] = true
	step.Commands = []*pb.Command{first}
	return step, nil
}

// Refused records that the store refused a command of a step. The next step is tried if the inventory has changed since, as
// the command may have been refused for that.
func (p *Publication) Refused(step Step, reason string) {
	p.refusedAt, p.refusal = step.Version, &RefusedError{reason}
}

// expect records what the commands make of the agreed list, one after the other: which of them were applied may stay in doubt.
func (p *Publication) expect(c *catalog.Catalog, agreed catalog.ListDigest, commands []*pb.Command) {
	known := func(id string) catalog.ListDigest {
		m := c.Member(id)
		if m == nil || m.Entry.Wire != p.list.Wire {
			return 0
		}
		return catalog.DigestOf([]*pb.Entry{m.Entry})
	}
	for _, x := range commands {
		for _, e := range x.GetUpsertMembers().GetMembers() {
			agreed ^= known(e.Id) ^ catalog.DigestOf([]*pb.Entry{e})
		}
		for _, id := range x.GetRemoveMembers().GetMembers() {
			agreed ^= known(id)
		}
		p.replaceable[agreed] = true
	}
}
