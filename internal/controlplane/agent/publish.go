package agent

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	publishTimeout = 10 * time.Second
	// maxPublishBytes bounds one command of a published list: far below a frame's 4 MiB, so that a large list does not
	// hold up what else goes to the leader.
	maxPublishBytes = 256 << 10
	// maxInitialListBytes bounds a first list, which goes in one command: below a frame's 4 MiB, with room for the rest of it.
	// 42,000 members, twice the planned fleet, take 2.6 MB.
	maxInitialListBytes = 4<<20 - 64<<10
	entryOverhead       = 6 // bytes of an entry or id in a command, beside its own: tag and length
)

// RefusedError is a list, or a part of it, that the store did not take.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "store: " + e.Reason }

// ListSizeError is a first list that is too long for one command. To publish it again does not help.
type ListSizeError struct{ Bytes, Limit int }

func (e *ListSizeError) Error() string {
	return fmt.Sprintf("the first inventory has %d bytes, %d at most", e.Bytes, e.Limit)
}

// Publish makes the instance's own list that of all. Only what differs from the list that all have is sent, so one
// member's change costs as much as one member.
func (a *Agent) Publish(own []*pb.Entry) error {
	var changed []*pb.Entry
	var removed []string
	err := a.cfg.Store.ReadLatest(publishTimeout, func(c *catalog.Catalog) {
		changed, removed = c.Difference(a.cfg.Wire, own)
	})
	if err != nil {
		return err
	}
	// What is new comes first: no group is without members on the way.
	for _, c := range a.publishCommands(changed, removed) {
		if err := a.submitCommand(c); err != nil {
			return err
		}
	}
	return nil
}

// PublishInitial makes the own list that of all where the catalog knows no member of this wire: at the first start of an
// installation. It retries until it is settled, the list proves too long, or
// the agent stops.
func (a *Agent) PublishInitial(own []*pb.Entry) (err error) {
	for wait := tickInterval; ; wait = min(2*wait, publishTimeout) {
		err = a.tryPublishInitial(own)
		if tooLong := (*ListSizeError)(nil); err == nil || errors.As(err, &tooLong) {
			return err
		}
		select {
		case <-a.stop:
			return err
		case <-time.After(wait):
		}
	}
}

// tryPublishInitial sends the whole list as one command, so that nobody goes by a part of it, and on top of the version
// that it has seen, as another instance may do the same.
func (a *Agent) tryPublishInitial(own []*pb.Entry) error {
	list := &pb.UpsertMembers{Members: own, Author: a.cfg.Store.ID(), Checked: true}
	known := false
	err := a.cfg.Store.ReadLatest(publishTimeout, func(c *catalog.Catalog) {
		known = c.HasWire(a.cfg.Wire)
		list.Base = c.InventoryVersion()
	})
	if err != nil || known || len(own) == 0 {
		return err
	}
	if n := proto.Size(list); n > maxInitialListBytes {
		return &ListSizeError{n, maxInitialListBytes}
	}
	return a.submitCommand(&pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: list}})
}

func (a *Agent) submitCommand(c *pb.Command) error {
	r, err := a.cfg.Store.Submit(c, publishTimeout)
	if err == nil && r.Refused != "" {
		err = &RefusedError{r.Refused}
	}
	return err
}

// publishCommands are the commands that carry a difference, each within maxPublishBytes unless one entry alone is longer.
func (a *Agent) publishCommands(changed []*pb.Entry, removed []string) (out []*pb.Command) {
	author := a.cfg.Store.ID()
	entryBytes := func(e *pb.Entry) int { return proto.Size(e) + entryOverhead }
	for _, part := range splitBySize(changed, entryBytes) {
		out = append(out, &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: part, Author: author}}})
	}
	idBytes := func(id string) int { return len(id) + entryOverhead }
	for _, part := range splitBySize(removed, idBytes) {
		out = append(out, &pb.Command{Body: &pb.Command_RemoveMembers{RemoveMembers: &pb.RemoveMembers{Members: part, Author: author}}})
	}
	return out
}

// splitBySize cuts a list into parts of at most maxPublishBytes.
func splitBySize[T any](list []T, size func(T) int) (parts [][]T) {
	begin, bytes := 0, 0
	for i, x := range list {
		n := size(x)
		if bytes += n; bytes > maxPublishBytes && i > begin {
			parts = append(parts, list[begin:i])
			begin, bytes = i, n
		}
	}
	if begin < len(list) {
		parts = append(parts, list[begin:])
	}
	return parts
}
