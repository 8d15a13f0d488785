package subscription

import (
	"fmt"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxUpdateBytes bounds the size of a partially received update. A server sends a window's bytes, or one commit: the
	// size of one entry of the replicated log, 64 MB at most.
	maxUpdateBytes = 64 << 20
	// maxSnapshotBytes bounds the size of a partially received snapshot: a hundred times the 2.5 MB of the target.
	maxSnapshotBytes = 256 << 20
	// maxRevision bounds a revision: a million commits a second for two thousand years. A client that accepted a greater
	// one would reject every correct server from then on.
	maxRevision = 1 << 56
	// maxKeyBytes bounds a key: a prefix and an id.
	maxKeyBytes = 1024
)

// partialUpdate is the received part of an update. It is applied with its last frame.
type partialUpdate struct {
	from, through uint64
	changes       []revision.Change
	bytes         int
}

// partialSnapshot is the received part of a snapshot. It is applied with its SnapshotEnd.
type partialSnapshot struct {
	begin        *pb.SnapshotBegin
	chunks       uint32
	records      revision.Builder
	decompressor chunkDecompressor
	bytes        int
}

// onFrame checks a frame and its content; nothing is applied unless all of it is valid.
func (c *Client) onFrame(now aspenshed.Nanos, e Received) {
	if c.phase != phaseConnected {
		return
	}
	c.lastHeard = now
	if got, want := e.Frame.GetNumber(), c.receivedFrames+1; got != want {
		c.rejectInput(now, &SequenceError{Got: got, Want: want})
		return
	}
	if closing, ok := e.Frame.GetBody().(*pb.ServerFrame_Closing); ok {
		c.handleClosing(now, closing.Closing)
		return
	}
	if err := c.handleFrame(e); err != nil {
		c.rejectInput(now, err)
		return
	}
	c.receivedFrames++
	c.scheduleAck(now, e.Bytes)
}

func (c *Client) handleFrame(e Received) error {
	switch m := e.Frame.GetBody().(type) {
	case *pb.ServerFrame_Changes:
		return c.handleChanges(m.Changes, e.Bytes)
	case *pb.ServerFrame_SnapshotBegin:
		return c.handleSnapshotBegin(m.SnapshotBegin)
	case *pb.ServerFrame_SnapshotChunk:
		return c.handleSnapshotChunk(m.SnapshotChunk, e.Bytes)
	case *pb.ServerFrame_SnapshotEnd:
		return c.handleSnapshotEnd(m.SnapshotEnd)
	case *pb.ServerFrame_Submitted:
		return c.handleSubmitted(m.Submitted)
	}
	return errUnknownMessage
}

func (c *Client) handleSubmitted(m *pb.Submitted) error {
	if !c.pendingSubmissions[m.GetId()] {
		return &UnexpectedMessageError{Message: fmt.Sprintf("Submitted for unknown submission %d", m.GetId())}
	}
	delete(c.pendingSubmissions, m.Id)
	c.emit(SubmitDone{ID: m.Id, Reply: m.Reply})
	return nil
}

// handleChanges adds a frame to the partial update, and applies the update with its last frame.
func (c *Client) handleChanges(m *pb.Changes, bytes int) error {
	if c.snapshot != nil {
		return &UnexpectedMessageError{Message: "Changes within a snapshot"}
	}
	if err := c.checkContinuity(m); err != nil {
		return err
	}
	update := c.update
	if update == nil {
		update = &partialUpdate{from: m.From, through: m.Through}
	}
	if update.bytes += bytes; update.bytes > maxUpdateBytes {
		return &InvalidMessageError{Message: "Changes", Problem: "the update is too large"}
	}
	for _, w := range m.Changes {
		change, err := decodeChange(w, update)
		if err != nil {
			return err
		}
		update.changes = append(update.changes, change)
	}
	if c.update = update; m.More {
		return nil
	}
	return c.applyUpdate(revision.Digest(m.Digest))
}

// checkContinuity checks that changes continue the client's revision, or the partial update.
func (c *Client) checkContinuity(m *pb.Changes) error {
	current := c.streamRevision
	switch {
	case c.diverged:
		return &UnexpectedMessageError{Message: "Changes instead of a snapshot"}
	case m.Through < m.From:
		return &StaleRevisionError{Revision: m.Through, Current: m.From}
	case m.From != current:
		return &GapError{From: m.From, Current: current}
	case m.Through > maxRevision:
		return &InvalidMessageError{Message: "Changes", Problem: "revision out of range"}
	case c.update != nil && (m.From != c.update.from || m.Through != c.update.through):
		return &UnexpectedMessageError{Message: "Changes of another update"}
	}
	return nil
}

// decodeChange checks one change: its revision has to follow those before it in the update.
func decodeChange(w *pb.Change, update *partialUpdate) (revision.Change, error) {
	minRevision := update.from + 1
	if n := len(update.changes); n > 0 {
		minRevision = update.changes[n-1].Revision
	}
	switch {
	case w.Revision < minRevision || w.Revision > update.through:
		problem := fmt.Sprintf("revision %d is not between %d and %d", w.Revision, minRevision, update.through)
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: problem}
	case w.CommittedAt < 0:
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: "negative commit time"}
	case w.Removed && len(w.Value) > 0:
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: "removed record has a value"}
	}
	change := revision.Change{Revision: w.Revision, Removed: w.Removed, Binding: w.Binding, CommittedAt: w.CommittedAt}
	var err error
	change.Record, err = decodeRecord("Change", w.Key, w.Value, w.Removed)
	return change, err
}

// decodeRecord checks key and value.
func decodeRecord(message, key string, value []byte, removed bool) (revision.Record, error) {
	if key == "" || len(key) > maxKeyBytes {
		return revision.Record{}, &InvalidMessageError{Message: message, Key: key[:min(len(key), maxKeyBytes)], Problem: "invalid key length"}
	}
	r := revision.Record{Key: key, Value: value}
	if removed {
		return r, nil
	}
	var err error
	if r.Placement, err = revision.PlacementOf(key, value); err != nil {
		return revision.Record{}, &InvalidMessageError{Message: message, Key: key, Problem: err.Error()}
	}
	return r, nil
}

// applyUpdate applies the update if the resulting digest is the server's.
func (c *Client) applyUpdate(want revision.Digest) error {
	update := c.update
	c.update = nil
	if got := c.state.DigestAfter(update.changes); got != want && !c.faults.skipDigestCheck {
		return &DigestError{Revision: update.through, Got: got, Want: want}
	}
	for _, change := range update.changes {
		c.state.Apply(change)
	}
	c.state.Advance(update.through)
	c.streamRevision = update.through
	c.markEstablished()
	if update.through > update.from {
		c.emit(Apply{Revision: update.through, Changes: update.changes})
	}
	return nil
}

func (c *Client) handleSnapshotBegin(m *pb.SnapshotBegin) error {
	switch {
	case c.snapshot != nil || c.update != nil:
		return &UnexpectedMessageError{Message: "SnapshotBegin within a snapshot or update"}
	case m.Revision < c.state.Revision() && !c.faults.acceptOlderSnapshot:
		return &StaleRevisionError{Revision: m.Revision, Current: c.state.Revision()}
	case m.Revision > maxRevision:
		return &InvalidMessageError{Message: "SnapshotBegin", Problem: "revision out of range"}
	case uint64(m.Chunks) > m.Records:
		return &InvalidMessageError{Message: "SnapshotBegin", Problem: "more chunks than records"}
	}
	c.snapshot = &partialSnapshot{begin: m}
	return nil
}

func (c *Client) handleSnapshotChunk(m *pb.SnapshotChunk, bytes int) error {
	s := c.snapshot
	switch {
	case s == nil:
		return &UnexpectedMessageError{Message: "SnapshotChunk outside a snapshot"}
	case m.Index != s.chunks || m.Index >= s.begin.Chunks:
		return &ChunkError{Got: m.Index, Want: s.chunks}
	}
	records, decompressed, err := s.decompressor.decodeRecords(m)
	if err != nil {
		return err
	}
	if s.bytes+bytes+decompressed > maxSnapshotBytes {
		return &InvalidMessageError{Message: "SnapshotChunk", Problem: "the snapshot is too large"}
	}
	for _, w := range records {
		r, err := decodeRecord("SnapshotChunk", w.Key, w.Value, false)
		if err != nil {
			return err
		}
		if !s.records.Add(r) {
			return &InvalidMessageError{Message: "SnapshotChunk", Key: r.Key, Problem: "key out of order"}
		}
	}
	s.chunks++
	s.bytes += bytes + decompressed
	if c.faults.applyFirstChunk && s.chunks == 1 && s.begin.Chunks > 1 {
		c.state = s.records.State(s.begin.Revision)
		c.emit(Apply{Revision: s.begin.Revision, Full: true})
	}
	return nil
}

// handleSnapshotEnd replaces the state if the snapshot is complete.
func (c *Client) handleSnapshotEnd(m *pb.SnapshotEnd) error {
	s := c.snapshot
	switch {
	case s == nil:
		return &UnexpectedMessageError{Message: "SnapshotEnd outside a snapshot"}
	case m.Revision != s.begin.Revision:
		return &InvalidMessageError{Message: "SnapshotEnd", Problem: "revision differs from that of SnapshotBegin"}
	case s.chunks != s.begin.Chunks:
		return &ChunkError{Got: s.begin.Chunks, Want: s.chunks}
	case uint64(s.records.Len()) != s.begin.Records:
		problem := fmt.Sprintf("%d records, SnapshotBegin announced %d", s.records.Len(), s.begin.Records)
		return &InvalidMessageError{Message: "SnapshotEnd", Problem: problem}
	}
	state := s.records.State(m.Revision)
	if got, want := state.Digest(revision.Scope{}), revision.Digest(m.Digest); got != want && !c.faults.skipDigestCheck {
		return &DigestError{Revision: m.Revision, Got: got, Want: want}
	}
	c.snapshot = nil
	c.state, c.streamRevision = state, m.Revision
	c.emit(Apply{Revision: m.Revision, Full: true})
	if c.diverged {
		c.diverged = false
		c.log(Info, messageResynced, nil)
	}
	c.markEstablished()
	return nil
}

// markEstablished records that the connection has delivered a valid update or snapshot.
func (c *Client) markEstablished() {
	c.closedAsBusy = false
	if c.lossLogged {
		c.lossLogged = false
		c.log(Info, messageConnected, nil)
	}
}

// handleClosing closes the connection at the server's request, and schedules the next dial after the requested delay.
func (c *Client) handleClosing(now aspenshed.Nanos, m *pb.Closing) {
	err := &ClosedError{Reason: m.GetReason(), Detail: m.GetDetail(), RetryAfter: aspenshed.Nanos(m.GetRetryAfter())}
	if m.GetRetryAfter() < 0 {
		c.rejectInput(now, &InvalidMessageError{Message: "Closing", Problem: "negative RetryAfter"})
		return
	}
	server, retrySame := c.serverIndex, m.GetReason() == pb.Closing_BUSY && !c.closedAsBusy
	c.handleFailure(now, err, true)
	c.closedAsBusy = retrySame
	if retrySame { // the server holds a reservation for the retry; after a second BUSY the next server is tried
		c.serverIndex = server
	}
	c.dialAt = max(c.dialAt, now+min(err.RetryAfter, maxRetryAfter))
}

// maxRetryAfter bounds the delay that a server can request, ns: twice the longest wait of an admission ticket.
const maxRetryAfter = 120 * second
