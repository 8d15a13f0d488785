package subscription

import (
	"fmt"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxUpdateBytes bounds what a client holds of a step that is not complete. A server sends a window's bytes, or one
	// commit: what one entry of the replicated log holds, 64 MB at most.
	maxUpdateBytes = 64 << 20
	// maxSnapshotBytes bounds what it holds of a snapshot: a hundred times the 2.5 MB of the target.
	maxSnapshotBytes = 256 << 20
	// maxRevision bounds a revision: a million commits a second for two thousand years. What claims to be beyond it would
	// keep the client from every true server for good.
	maxRevision = 1 << 56
	// maxKeyBytes bounds a key: a prefix and an id.
	maxKeyBytes = 1024
)

// partialUpdate is the part of a step that has come. It takes effect with its last frame.
type partialUpdate struct {
	from, through uint64
	changes       []revision.Change
	bytes         int
}

// partialSnapshot is the part of a snapshot that has come. It takes effect with its end.
type partialSnapshot struct {
	begin        *pb.SnapshotBegin
	chunks       uint32
	records      revision.Builder
	decompressor chunkDecompressor
	bytes        int
}

// onFrame checks a frame and what it brings; nothing takes effect unless all of it fits.
func (c *Client) onFrame(now aspenshed.Nanos, e Received) {
	if c.phase != phaseConnected {
		return
	}
	c.lastHeard = now
	if got, want := e.Frame.GetNumber(), c.receivedFrames+1; got != want {
		c.rejectInput(now, &SequenceError{Got: got, Want: want})
		return
	}
	if closing, is := e.Frame.GetBody().(*pb.ServerFrame_Closing); is {
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
		return &UnexpectedMessageError{Message: fmt.Sprintf("Submitted for %d, which was not submitted,", m.GetId())}
	}
	delete(c.pendingSubmissions, m.Id)
	c.emit(SubmitDone{ID: m.Id, Reply: m.Reply})
	return nil
}

// handleChanges adds a frame to the step under way, and applies the step with its last frame.
func (c *Client) handleChanges(m *pb.Changes, bytes int) error {
	if c.snapshot != nil {
		return &UnexpectedMessageError{Message: "Changes within a snapshot"}
	}
	if err := c.checkContinuity(m); err != nil {
		return err
	}
	step := c.update
	if step == nil {
		step = &partialUpdate{from: m.From, through: m.Through}
	}
	if step.bytes += bytes; step.bytes > maxUpdateBytes {
		return &InvalidMessageError{Message: "Changes", Problem: "a step without an end"}
	}
	for _, w := range m.Changes {
		change, err := decodeChange(w, step)
		if err != nil {
			return err
		}
		step.changes = append(step.changes, change)
	}
	if c.update = step; m.More {
		return nil
	}
	return c.applyUpdate(revision.Digest(m.Digest))
}

// checkContinuity checks that changes continue what the client has, or the step under way.
func (c *Client) checkContinuity(m *pb.Changes) error {
	own := c.streamRevision
	switch {
	case c.diverged:
		return &UnexpectedMessageError{Message: "Changes in place of a snapshot"}
	case m.Through < m.From:
		return &StaleRevisionError{Revision: m.Through, Current: m.From}
	case m.From != own:
		return &GapError{From: m.From, Current: own}
	case m.Through > maxRevision:
		return &InvalidMessageError{Message: "Changes", Problem: "an absurd revision"}
	case c.update != nil && (m.From != c.update.from || m.Through != c.update.through):
		return &UnexpectedMessageError{Message: "Changes of another step"}
	}
	return nil
}

// decodeChange checks one change: its revision has to follow those before it in the step.
func decodeChange(w *pb.Change, step *partialUpdate) (revision.Change, error) {
	least := step.from + 1
	if n := len(step.changes); n > 0 {
		least = step.changes[n-1].Revision
	}
	switch {
	case w.Revision < least || w.Revision > step.through:
		problem := fmt.Sprintf("revision %d is not from %d to %d", w.Revision, least, step.through)
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: problem}
	case w.CommittedAt < 0:
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: "committed at a negative time"}
	case w.Removed && len(w.Value) > 0:
		return revision.Change{}, &InvalidMessageError{Message: "Change", Key: w.Key, Problem: "removed, with a value"}
	}
	change := revision.Change{Revision: w.Revision, Removed: w.Removed, Binding: w.Binding, CommittedAt: w.CommittedAt}
	var err error
	change.Record, err = decodeRecord("Change", w.Key, w.Value, w.Removed)
	return change, err
}

// decodeRecord checks key and value.
func decodeRecord(message, key string, value []byte, removed bool) (revision.Record, error) {
	if key == "" || len(key) > maxKeyBytes {
		return revision.Record{}, &InvalidMessageError{Message: message, Key: key[:min(len(key), maxKeyBytes)], Problem: "a key of no valid length"}
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

// applyUpdate applies the whole step if the state is then what the server has.
func (c *Client) applyUpdate(want revision.Digest) error {
	step := c.update
	c.update = nil
	if got := c.state.DigestAfter(step.changes); got != want && !c.faults.skipDigestCheck {
		return &DigestError{Revision: step.through, Got: got, Want: want}
	}
	for _, change := range step.changes {
		c.state.Apply(change)
	}
	c.state.Advance(step.through)
	c.streamRevision = step.through
	c.markEstablished()
	if step.through > step.from {
		c.emit(Apply{Revision: step.through, Changes: step.changes})
	}
	return nil
}

func (c *Client) handleSnapshotBegin(m *pb.SnapshotBegin) error {
	switch {
	case c.snapshot != nil || c.update != nil:
		return &UnexpectedMessageError{Message: "SnapshotBegin within a snapshot or step"}
	case m.Revision < c.state.Revision() && !c.faults.acceptOlderSnapshot:
		return &StaleRevisionError{Revision: m.Revision, Current: c.state.Revision()}
	case m.Revision > maxRevision:
		return &InvalidMessageError{Message: "SnapshotBegin", Problem: "an absurd revision"}
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
	records, unpacked, err := s.decompressor.decodeRecords(m)
	if err != nil {
		return err
	}
	if s.bytes+bytes+unpacked > maxSnapshotBytes {
		return &InvalidMessageError{Message: "SnapshotChunk", Problem: "a snapshot without an end"}
	}
	for _, w := range records {
		r, err := decodeRecord("SnapshotChunk", w.Key, w.Value, false)
		if err != nil {
			return err
		}
		if !s.records.Add(r) {
			return &InvalidMessageError{Message: "SnapshotChunk", Key: r.Key, Problem: "the key is out of order"}
		}
	}
	s.chunks++
	s.bytes += bytes + unpacked
	if c.faults.applyFirstChunk && s.chunks == 1 && s.begin.Chunks > 1 {
		c.state = s.records.State(s.begin.Revision)
		c.emit(Apply{Revision: s.begin.Revision, Full: true})
	}
	return nil
}

// handleSnapshotEnd replaces the state if the whole snapshot has come.
func (c *Client) handleSnapshotEnd(m *pb.SnapshotEnd) error {
	s := c.snapshot
	switch {
	case s == nil:
		return &UnexpectedMessageError{Message: "SnapshotEnd outside a snapshot"}
	case m.Revision != s.begin.Revision:
		return &InvalidMessageError{Message: "SnapshotEnd", Problem: "of another revision than its begin"}
	case s.chunks != s.begin.Chunks:
		return &ChunkError{Got: s.begin.Chunks, Want: s.chunks}
	case uint64(s.records.Len()) != s.begin.Records:
		problem := fmt.Sprintf("%d records where %d were announced", s.records.Len(), s.begin.Records)
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

// markEstablished takes note that the connection has proved good.
func (c *Client) markEstablished() {
	c.closedAsBusy = false
	if c.lossLogged {
		c.lossLogged = false
		c.log(Info, messageConnected, nil)
	}
}

// handleClosing ends the connection as the server asks, and comes back when it says.
func (c *Client) handleClosing(now aspenshed.Nanos, m *pb.Closing) {
	err := &ClosedError{Reason: m.GetReason(), Detail: m.GetDetail(), RetryAfter: aspenshed.Nanos(m.GetRetryAfter())}
	if m.GetRetryAfter() < 0 {
		c.rejectInput(now, &InvalidMessageError{Message: "Closing", Problem: "a negative time to stay away"})
		return
	}
	server, again := c.serverIndex, m.GetReason() == pb.Closing_BUSY && !c.closedAsBusy
	c.handleFailure(now, err, true)
	c.closedAsBusy = again
	if again { // this server has promised to serve us then; a second time another is asked
		c.serverIndex = server
	}
	c.dialAt = max(c.dialAt, now+min(err.RetryAfter, maxRetryAfter))
}

// maxRetryAfter bounds how long a server can keep a client away, ns: twice the longest promise of admission.
const maxRetryAfter = 120 * second
