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
	// delay other commands to the leader.
	maxPublishBytes = 256 << 10
	// maxInitialListBytes bounds an initial list, which is sent as one command: below a frame's 4 MiB, with room for
	// the rest of the frame. 42,000 members, twice the planned fleet, take 2.6 MB.
	maxInitialListBytes = 4<<20 - 64<<10
	entryOverhead       = 6 // bytes per entry or id in a command beyond its own size: tag and length
)

// RefusedError reports a list, or a part of it, that the store refused.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "store: " + e.Reason }

// ListSizeError reports an initial list that is too long for one command. Retrying does not help.
type ListSizeError struct{ Bytes, Limit int }

func (e *ListSizeError) Error() string {
	return fmt.Sprintf("the initial inventory has %d bytes, %d at most", e.Bytes, e.Limit)
}

// Publish replaces the catalog's list of this wire with the local list. Only the difference is sent, so that the cost
// of one member's change does not depend on the length of the list.
func (a *Agent) Publish(local []*pb.Entry) error {
	var changed []*pb.Entry
	var removed []string
	err := a.cfg.Store.ReadLatest(publishTimeout, func(c *catalog.Catalog) {
		changed, removed = c.Difference(a.cfg.Wire, local, int64(a.cfg.Loop.Now()))
	})
	if err != nil {
		return err
	}
	// Additions come first, so that no group is without members in between.
	for _, c := range a.publishCommands(changed, removed) {
		if err := a.submitCommand(c); err != nil {
			return err
		}
	}
	return nil
}

// PublishInitial publishes the local list if the catalog has no member of this wire, at the first start of an
// installation. It retries until the catalog has a list, the local list is too long, or the agent stops.
func (a *Agent) PublishInitial(local []*pb.Entry) (err error) {
	for wait := tickInterval; ; wait = min(2*wait, publishTimeout) {
		err = a.tryPublishInitial(local)
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

// tryPublishInitial sends the whole list as one command, so that it is never applied in part, and based on the version
// that it has read, as another instance may do the same.
func (a *Agent) tryPublishInitial(local []*pb.Entry) error {
	list := &pb.UpsertMembers{Members: local, Author: a.cfg.Store.ID(), Checked: true}
	known := false
	err := a.cfg.Store.ReadLatest(publishTimeout, func(c *catalog.Catalog) {
		known = c.HasWire(a.cfg.Wire)
		list.Base = c.InventoryVersion()
	})
	if err != nil || known || len(local) == 0 {
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

// publishCommands returns the commands for a difference, each within maxPublishBytes unless a single entry is longer.
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

// splitBySize splits a list into parts of at most maxPublishBytes.
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
