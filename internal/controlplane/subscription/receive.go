package subscription

import (
	"fmt"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxStepBytes bounds what a client holds of a step that is not complete. A server sends a window's bytes, or one
	// commit: what one entry of the replicated log holds, 64 MB at most.
	maxStepBytes = 64 << 20
	// maxSnapshotBytes bounds what it holds of a snapshot: a hundred times the 2.5 MB of the target.
	maxSnapshotBytes = 256 << 20
	// maxRevision bounds a revision: a million commits a second for two thousand years. What claims to be beyond it would
	// keep the client from every true server for good.
	maxRevision = 1 << 56
	// maxKeyBytes bounds a key: a prefix and an id.
	maxKeyBytes = 1024
)

// stagedStep is the part of a step that has come. It takes effect with its last frame.
type stagedStep struct {
	from, through uint64
	changes       []revision.Change
	bytes         int
}

// stagedSnapshot is the part of a snapshot that has come. It takes effect with its end.
type stagedSnapshot struct {
	begin    *pb.SnapshotBegin
	chunks   uint32
	records  revision.Builder
	unpacker unpacker
	bytes    int
}

// receivedFrame checks a frame and what it brings; nothing takes effect unless all of it fits.
func (c *Client) receivedFrame(now aspenshed.Nanos, e Received) {
	if c.phase != subscribed {
		return
	}
	c.heard = now
	if got, want := e.Frame.GetNumber(), c.received+1; got != want {
		c.badInput(now, &SequenceError{Got: got, Want: want})
		return
	}
	if closing, is := e.Frame.GetBody().(*pb.ServerFrame_Closing); is {
		c.closedByServer(now, closing.Closing)
		return
	}
	if err := c.takeFrame(e); err != nil {
		c.badInput(now, err)
		return
	}
	c.received++
	c.noteBytes(now, e.Bytes)
}

func (c *Client) takeFrame(e Received) error {
	switch m := e.Frame.GetBody().(type) {
	case *pb.ServerFrame_Changes:
		return c.takeChanges(m.Changes, e.Bytes)
	case *pb.ServerFrame_SnapshotBegin:
		return c.takeBegin(m.SnapshotBegin)
	case *pb.ServerFrame_SnapshotChunk:
		return c.takeChunk(m.SnapshotChunk, e.Bytes)
	case *pb.ServerFrame_SnapshotEnd:
		return c.takeEnd(m.SnapshotEnd)
	case *pb.ServerFrame_Submitted:
		return c.takeSubmitted(m.Submitted)
	}
	return errUnknownKind
}

func (c *Client) takeSubmitted(m *pb.Submitted) error {
	if !c.unanswered[m.GetId()] {
		return &OutOfPlaceError{Message: fmt.Sprintf("Submitted for %d, which was not submitted,", m.GetId())}
	}
	delete(c.unanswered, m.Id)
	c.do(SubmitDone{ID: m.Id, Reply: m.Reply})
	return nil
}

// takeChanges adds a frame to the step under way, and applies the step with its last frame.
func (c *Client) takeChanges(m *pb.Changes, bytes int) error {
	if c.snapshot != nil {
		return &OutOfPlaceError{Message: "Changes within a snapshot"}
	}
	if err := c.fits(m); err != nil {
		return err
	}
	step := c.step
	if step == nil {
		step = &stagedStep{from: m.From, through: m.Through}
	}
	if step.bytes += bytes; step.bytes > maxStepBytes {
		return &ContentError{Message: "Changes", Problem: "a step without an end"}
	}
	for _, w := range m.Changes {
		change, err := readChange(w, step)
		if err != nil {
			return err
		}
		step.changes = append(step.changes, change)
	}
	if c.step = step; m.More {
		return nil
	}
	return c.applyStep(revision.Digest(m.Digest))
}

// fits checks that changes continue what the client has, or the step under way.
func (c *Client) fits(m *pb.Changes) error {
	own := c.position
	switch {
	case c.diverged:
		return &OutOfPlaceError{Message: "Changes in place of a snapshot"}
	case m.Through < m.From:
		return &StaleError{Revision: m.Through, Own: m.From}
	case m.From != own:
		return &GapError{From: m.From, Own: own}
	case m.Through > maxRevision:
		return &ContentError{Message: "Changes", Problem: "an absurd revision"}
	case c.step != nil && (m.From != c.step.from || m.Through != c.step.through):
		return &OutOfPlaceError{Message: "Changes of another step"}
	}
	return nil
}

// readChange checks one change: its revision has to follow those before it in the step.
func readChange(w *pb.Change, step *stagedStep) (revision.Change, error) {
	least := step.from + 1
	if n := len(step.changes); n > 0 {
		least = step.changes[n-1].Revision
	}
	switch {
	case w.Revision < least || w.Revision > step.through:
		problem := fmt.Sprintf("revision %d is not from %d to %d", w.Revision, least, step.through)
		return revision.Change{}, &ContentError{Message: "Change", Key: w.Key, Problem: problem}
	case w.CommittedAt < 0:
		return revision.Change{}, &ContentError{Message: "Change", Key: w.Key, Problem: "committed at a negative time"}
	case w.Removed && len(w.Value) > 0:
		return revision.Change{}, &ContentError{Message: "Change", Key: w.Key, Problem: "removed, with a value"}
	}
	change := revision.Change{Revision: w.Revision, Removed: w.Removed, Binding: w.Binding, CommittedAt: w.CommittedAt}
	var err error
	change.Record, err = readRecord("Change", w.Key, w.Value, w.Removed)
	return change, err
}

// readRecord checks key and value.
func readRecord(message, key string, value []byte, removed bool) (revision.Record, error) {
	if key == "" || len(key) > maxKeyBytes {
		return revision.Record{}, &ContentError{Message: message, Key: key[:min(len(key), maxKeyBytes)], Problem: "a key of no valid length"}
	}
	r := revision.Record{Key: key, Value: value}
	if removed {
		return r, nil
	}
	var err error
	if r.Placement, err = revision.PlacementOf(key, value); err != nil {
		return revision.Record{}, &ContentError{Message: message, Key: key, Problem: err.Error()}
	}
	return r, nil
}

// applyStep applies the whole step if the state is then what the server has.
func (c *Client) applyStep(want revision.Digest) error {
	step := c.step
	c.step = nil
	if got := c.state.DigestAfter(step.changes); got != want && !c.faults.skipDigest {
		return &DigestError{Revision: step.through, Got: got, Want: want}
	}
	for _, change := range step.changes {
		c.state.Apply(change)
	}
	c.state.Advance(step.through)
	c.position = step.through
	c.established()
	if step.through > step.from {
		c.do(Apply{Revision: step.through, Changes: step.changes})
	}
	return nil
}

func (c *Client) takeBegin(m *pb.SnapshotBegin) error {
	switch {
	case c.snapshot != nil || c.step != nil:
		return &OutOfPlaceError{Message: "SnapshotBegin within a snapshot or step"}
	case m.Revision < c.state.Revision() && !c.faults.takeOlder:
		return &StaleError{Revision: m.Revision, Own: c.state.Revision()}
	case m.Revision > maxRevision:
		return &ContentError{Message: "SnapshotBegin", Problem: "an absurd revision"}
	case uint64(m.Chunks) > m.Records:
		return &ContentError{Message: "SnapshotBegin", Problem: "more chunks than records"}
	}
	c.snapshot = &stagedSnapshot{begin: m}
	return nil
}

func (c *Client) takeChunk(m *pb.SnapshotChunk, bytes int) error {
	s := c.snapshot
	switch {
	case s == nil:
		return &OutOfPlaceError{Message: "SnapshotChunk outside a snapshot"}
	case m.Index != s.chunks || m.Index >= s.begin.Chunks:
		return &ChunkError{Got: m.Index, Want: s.chunks}
	}
	records, unpacked, err := s.unpacker.records(m)
	if err != nil {
		return err
	}
	if s.bytes+bytes+unpacked > maxSnapshotBytes {
		return &ContentError{Message: "SnapshotChunk", Problem: "a snapshot without an end"}
	}
	for _, w := range records {
		r, err := readRecord("SnapshotChunk", w.Key, w.Value, false)
		if err != nil {
			return err
		}
		if !s.records.Add(r) {
			return &ContentError{Message: "SnapshotChunk", Key: r.Key, Problem: "the key is out of order"}
		}
	}
	s.chunks++
	s.bytes += bytes + unpacked
	if c.faults.applyHalf && s.chunks == 1 && s.begin.Chunks > 1 {
		c.state = s.records.State(s.begin.Revision)
		c.do(Apply{Revision: s.begin.Revision, Whole: true})
	}
	return nil
}

// takeEnd replaces the state if the whole snapshot has come.
func (c *Client) takeEnd(m *pb.SnapshotEnd) error {
	s := c.snapshot
	switch {
	case s == nil:
		return &OutOfPlaceError{Message: "SnapshotEnd outside a snapshot"}
	case m.Revision != s.begin.Revision:
		return &ContentError{Message: "SnapshotEnd", Problem: "of another revision than its begin"}
	case s.chunks != s.begin.Chunks:
		return &ChunkError{Got: s.begin.Chunks, Want: s.chunks}
	case uint64(s.records.Len()) != s.begin.Records:
		problem := fmt.Sprintf("%d records where %d were announced", s.records.Len(), s.begin.Records)
		return &ContentError{Message: "SnapshotEnd", Problem: problem}
	}
	state := s.records.State(m.Revision)
	if got, want := state.Digest(revision.Scope{}), revision.Digest(m.Digest); got != want && !c.faults.skipDigest {
		return &DigestError{Revision: m.Revision, Got: got, Want: want}
	}
	c.snapshot = nil
	c.state, c.position = state, m.Revision
	c.do(Apply{Revision: m.Revision, Whole: true})
	if c.diverged {
		c.diverged = false
		c.log(Info, messageResynced, nil)
	}
	c.established()
	return nil
}

// established takes note that the connection has proved good.
func (c *Client) established() {
	c.busy = false
	if c.lost {
		c.lost = false
		c.log(Info, messageConnected, nil)
	}
}

// closedByServer ends the connection as the server asks, and comes back when it says.
func (c *Client) closedByServer(now aspenshed.Nanos, m *pb.Closing) {
	err := &ClosedError{Reason: m.GetReason(), Detail: m.GetDetail(), RetryAfter: aspenshed.Nanos(m.GetRetryAfter())}
	if m.GetRetryAfter() < 0 {
		c.badInput(now, &ContentError{Message: "Closing", Problem: "a negative time to stay away"})
		return
	}
	server, again := c.server, m.GetReason() == pb.Closing_BUSY && !c.busy
	c.fail(now, err, true)
	c.busy = again
	if again { // this server has promised to serve us then; a second time another is asked
		c.server = server
	}
	c.dialAt = max(c.dialAt, now+min(err.RetryAfter, maxRetryAfter))
}

// maxRetryAfter bounds how long a server can keep a client away, ns: twice the longest promise of admission.
const maxRetryAfter = 120 * second
