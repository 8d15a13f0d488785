package subscription

import (
	"cmp"
	"errors"
	"slices"

	"aspenshed"
	"aspenshed/internal/controlplane/admission"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/rollout"
)

// scanInterval is the shortest time between two scans of all sessions for heartbeats and stalls, ns: a scan of 2,400 of
// them takes well under 0.1 ms, ten times a second.
const scanInterval = 100 * millisecond

// minBindingFlushInterval is the shortest time between two flushes for binding changes, ns: the first one is flushed at
// once, and those that follow in a burst of commits fifty times a second rather than as a frame for each commit and
// subscriber.
const minBindingFlushInterval = 20 * millisecond

// maxStepOutputBytes is the output size at which a Step ends although further sessions are due; they are served first
// in the next Step. A burst of 76 KB for each of 2,400 sessions would be 180 MB at once, and delay everything else
// until it is written.
const maxStepOutputBytes = 8 << 20

// Server serves the state to subscribers. Its methods process inputs; Step has to follow them and returns the resulting
// outputs.
type Server struct {
	config    ServerConfig
	state     *revision.State
	log       *revision.Log
	encoder   *encoder
	admission *admission.Bucket
	tracker   *rollout.Tracker
	random    random
	faults    faults

	sessions     map[SessionID]*session
	bySubscriber map[string]*session // sessions that have subscribed
	dirty        []*session          // to be served in the next Step, without duplicates
	outputs      []Output
	outputBytes  int // of the frames in outputs

	maxOutputBytes int // maxStepOutputBytes; smaller in tests

	bindingPending  bool            // binding changes wait for a flush
	changesPending  bool            // any changes wait for a flush
	flushAt         aspenshed.Nanos // the time of the next flush; never: not scheduled
	lastFlush       aspenshed.Nanos // the time of the last flush
	flushedRevision uint64          // sessions may be sent changes up to this revision
	lastScan        aspenshed.Nanos
	nextScan        aspenshed.Nanos // the earliest heartbeat or stall timeout
	stopping        bool
}

// NewServer returns a server without a state, at revision 0. It serves no subscriber until Reset or the first Commit.
func NewServer(c ServerConfig) *Server {
	c = c.withDefaults()
	s := &Server{config: c, state: revision.NewState(), log: revision.NewLog(c.LogBytes),
		admission: admission.NewBucket(c.SnapshotRate, c.SnapshotBurst), tracker: rollout.NewTracker(),
		random: random{c.Seed}, sessions: map[SessionID]*session{}, bySubscriber: map[string]*session{},
		maxOutputBytes: maxStepOutputBytes, flushAt: never, lastFlush: -never, lastScan: -never, nextScan: never}
	s.encoder = newEncoder(s.state, s.log, c.WindowBytes, &s.faults)
	return s
}

// Reset replaces the state, after a start or a snapshot of the replicated log. Sessions at other revisions are closed
// by the next Step, as the log has no changes from their revisions to this one.
func (s *Server) Reset(rev uint64, records []revision.Record) {
	s.state.Reset(rev, records)
	s.log.Reset(rev)
	s.encoder.reset()
	s.flushedRevision = rev
	s.changesPending, s.bindingPending, s.flushAt = false, false, never
	for _, id := range s.sessionIDs() {
		s.markDirty(s.sessions[id])
	}
}

// Commit applies one commit's changes; commits come in the order of their revisions.
func (s *Server) Commit(rev uint64, changes []revision.Change) {
	if rev <= s.log.Head() {
		return
	}
	for i := range changes {
		s.state.Apply(changes[i])
		s.bindingPending = s.bindingPending || changes[i].Binding
	}
	s.state.Advance(rev)
	s.log.Append(rev, changes)
	s.changesPending = s.changesPending || len(changes) > 0
}

// Open adds a session for a new connection.
func (s *Server) Open(now aspenshed.Nanos, id SessionID) {
	sess := &session{id: id, heartbeatAt: never, lastProgress: now}
	s.sessions[id] = sess
	s.markDirty(sess)
	switch {
	case s.stopping:
		s.close(sess, pb.Closing_SHUTTING_DOWN, errStopping, 0)
	case len(s.sessions) > s.config.MaxSessions:
		s.close(sess, pb.Closing_BUSY, errTooManySessions, s.jitter(s.config.StallTimeout))
	}
}

// Receive processes a frame of a session. Frames of closed sessions are dropped.
func (s *Server) Receive(now aspenshed.Nanos, id SessionID, f *pb.SubscriberFrame) {
	sess := s.sessions[id]
	if sess == nil {
		return
	}
	s.markDirty(sess)
	if err := s.handleFrame(now, sess, f); err != nil {
		s.closeInvalid(sess, err)
	}
}

func (s *Server) handleFrame(now aspenshed.Nanos, sess *session, f *pb.SubscriberFrame) error {
	switch m := f.GetBody().(type) {
	case *pb.SubscriberFrame_Subscribe:
		return s.handleSubscribe(now, sess, m.Subscribe)
	case *pb.SubscriberFrame_Ack:
		return s.handleAck(now, sess, m.Ack)
	case *pb.SubscriberFrame_Submit:
		return s.handleSubmit(now, sess, m.Submit)
	}
	return errUnknownMessage
}

// BadFrame closes a session that has sent input which can't be decoded as a frame.
func (s *Server) BadFrame(_ aspenshed.Nanos, id SessionID, err error) {
	if sess := s.sessions[id]; sess != nil {
		s.closeInvalid(sess, err)
	}
}

// Disconnected removes a session whose connection has ended.
func (s *Server) Disconnected(id SessionID) {
	if sess := s.sessions[id]; sess != nil {
		s.removeSession(sess)
	}
}

// Submitted answers a session's Submit; the answer for a session that has ended is dropped.
func (s *Server) Submitted(now aspenshed.Nanos, id SessionID, r *pb.Submitted) {
	sess := s.sessions[id]
	if sess == nil || sess.pendingSubmissions == 0 {
		return
	}
	sess.pendingSubmissions--
	s.sendFrame(now, sess, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Submitted{Submitted: r}}))
	s.markDirty(sess)
}

// Stop closes all sessions, and every session that is opened from now on.
func (s *Server) Stop(aspenshed.Nanos) {
	s.stopping = true
	for _, id := range s.sessionIDs() {
		s.close(s.sessions[id], pb.Closing_SHUTTING_DOWN, errStopping, 0)
	}
}

// Step returns the due outputs, and the time at which it has to be called again at the latest if there is no input
// before.
func (s *Server) Step(now aspenshed.Nanos) (out []Output, next aspenshed.Nanos) {
	s.scheduleFlush(now)
	switch {
	case now >= s.flushAt:
		s.flushedRevision, s.lastFlush = s.log.Head(), now
		s.bindingPending, s.changesPending, s.flushAt = false, false, never
		s.scan(now)
	case now >= max(s.nextScan, s.lastScan+scanInterval):
		s.scan(now)
	}
	s.serveDirty(now)
	out, s.outputs, s.outputBytes = s.outputs, nil, 0
	if len(s.dirty) > 0 {
		return out, now
	}
	return out, min(s.flushAt, max(s.nextScan, s.lastScan+scanInterval))
}

// scheduleFlush sets the time of the next flush.
func (s *Server) scheduleFlush(now aspenshed.Nanos) {
	if s.changesPending && s.flushAt == never {
		s.flushAt = now + s.config.FlushDelay
	}
	if s.bindingPending {
		s.flushAt = min(s.flushAt, max(now, s.lastFlush+minBindingFlushInterval))
	}
}

// scan marks every session to be served.
func (s *Server) scan(now aspenshed.Nanos) {
	s.lastScan, s.nextScan = now, never
	for _, id := range s.sessionIDs() {
		s.markDirty(s.sessions[id])
	}
}

// sessionIDs returns the ids in order, so that equal histories give equal outputs.
func (s *Server) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(s.sessions))
	for id := range s.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// serveDirty serves the marked sessions in order, until the output of one Step is full.
func (s *Server) serveDirty(now aspenshed.Nanos) {
	served := 0
	for _, sess := range s.dirty {
		if s.outputBytes >= s.maxOutputBytes {
			break
		}
		served++
		sess.dirty = false
		s.serve(now, sess)
	}
	s.dirty = slices.Delete(s.dirty, 0, served)
}

func (s *Server) markDirty(sess *session) {
	if !sess.dirty {
		sess.dirty = true
		s.dirty = append(s.dirty, sess)
	}
}

// Rollout returns the progress of this server's subscribers with a revision; 0 is the newest that changed anything. A
// commit that changed nothing counts as applied where the change before it is.
func (s *Server) Rollout(rev uint64) *catalogpb.RolloutStatus {
	if rev == 0 {
		rev = s.log.LastChange(s.log.Head())
	}
	return s.tracker.Status(rev, s.log.LastChange(rev))
}

// Subscribers lists the subscribed sessions by subscriber name.
func (s *Server) Subscribers() []SubscriberStatus {
	out := make([]SubscriberStatus, 0, len(s.bySubscriber))
	for _, sess := range s.bySubscriber {
		out = append(out, sess.status())
	}
	slices.SortFunc(out, func(a, b SubscriberStatus) int { return cmp.Compare(a.Subscriber, b.Subscriber) })
	return out
}

// closeInvalid closes a session for its invalid input.
func (s *Server) closeInvalid(sess *session, err error) {
	reason := pb.Closing_BAD_FRAME
	if errors.Is(err, errWrongCluster) {
		reason = pb.Closing_WRONG_CLUSTER
	}
	s.close(sess, reason, err, 0)
}

// close sends the reason as the session's last frame, and removes the session.
func (s *Server) close(sess *session, reason pb.Closing_Reason, err error, retryAfter aspenshed.Nanos) {
	sess.sentFrames++
	closing := &pb.Closing{Reason: reason, Detail: err.Error(), RetryAfter: int64(retryAfter)}
	frame := encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Closing{Closing: closing}}).withNumber(sess.sentFrames)
	out := Output{Session: sess.id, Frame: frame, Close: true}
	if reason != pb.Closing_SHUTTING_DOWN { // a stopping server is logged once, by its owner
		out.Log = closeLogLine(sess, reason, err)
	}
	s.outputs = append(s.outputs, out)
	s.removeSession(sess)
}

// closeLogLine returns the log line for a closed session. Reasons that occur in normal operation are no warnings.
func closeLogLine(sess *session, reason pb.Closing_Reason, err error) *LogLine {
	line := &LogLine{Level: Warn, Message: messageSessionClosed, Session: sess.id, Subscriber: sess.subscriber, Revision: sess.cursor}
	line.Err = &SubscriberError{Subscriber: sess.subscriber, Session: sess.id, Revision: sess.cursor, Reason: reason, Err: err}
	switch reason {
	case pb.Closing_BUSY, pb.Closing_FUTURE_REVISION:
		line.Level = Info
	case pb.Closing_BAD_FRAME, pb.Closing_WRONG_CLUSTER:
		line.Message = messageInvalidSubscriberInput
	}
	return line
}

func (s *Server) removeSession(sess *session) {
	delete(s.sessions, sess.id)
	if sess.subscriber != "" && s.bySubscriber[sess.subscriber] == sess {
		delete(s.bySubscriber, sess.subscriber)
		s.tracker.Remove(sess.subscriber)
	}
}

// jitter returns a random duration between half of span and span.
func (s *Server) jitter(span aspenshed.Nanos) aspenshed.Nanos {
	return span/2 + aspenshed.Nanos(s.random.next()*float64(span/2))
}
