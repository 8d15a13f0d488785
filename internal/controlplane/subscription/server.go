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

// scanInterval is how often all sessions are looked at for heartbeats and stalls at most, ns: a walk over 2,400 of them
// takes well under 0.1 ms, ten times a second.
const scanInterval = 100 * millisecond

// minBindingFlushInterval is the shortest time between two flushes for binding changes, ns: the first goes at once, and what follows
// in a burst of commits goes fifty times a second rather than as a frame for each commit and subscriber.
const minBindingFlushInterval = 20 * millisecond

// maxStepOutputBytes is when a Step ends though more sessions wait, who come first in the next: a burst of 76 KB for each of
// 2,400 sessions would be 180 MB at once, and hold up everything else for as long as that takes to write.
const maxStepOutputBytes = 8 << 20

// Server serves the state to subscribers. Its methods take note of what happened; what has to be done about it is told
// by Step, which has to follow them.
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
	bySubscriber map[string]*session // those that have subscribed
	dirty        []*session          // to be looked at in the next Step, each once
	outputs      []Output
	outputBytes  int // of the frames in out

	maxOutputBytes int // maxStepOutput, less in tests

	bindingPending  bool            // binding changes wait
	changesPending  bool            // other changes wait
	flushAt         aspenshed.Nanos // when these are due; never: not set yet
	lastFlush       aspenshed.Nanos // the last flush
	flushedRevision uint64          // the revision up to which sessions may be sent changes
	lastScan        aspenshed.Nanos
	nextScan        aspenshed.Nanos // the earliest heartbeat or stall
	stopping        bool
}

// NewServer has no state yet and is at revision 0: until Reset or the first Commit it serves nobody.
func NewServer(c ServerConfig) *Server {
	c = c.withDefaults()
	s := &Server{config: c, state: revision.NewState(), log: revision.NewLog(c.LogBytes),
		admission: admission.NewBucket(c.SnapshotRate, c.SnapshotBurst), tracker: rollout.NewTracker(),
		random: random{c.Seed}, sessions: map[SessionID]*session{}, bySubscriber: map[string]*session{},
		maxOutputBytes: maxStepOutputBytes, flushAt: never, lastFlush: -never, lastScan: -never, nextScan: never}
	s.encoder = newEncoder(s.state, s.log, c.WindowBytes, &s.faults)
	return s
}

// Reset replaces the state, after a start or a snapshot of the replicated log. Sessions that are not at this revision
// are closed by the next Step, as there is no way from theirs to it.
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

// Commit takes one commit's changes; commits come in the order of their revisions.
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

// Open takes a connection.
func (s *Server) Open(now aspenshed.Nanos, id SessionID) {
	x := &session{id: id, heartbeatAt: never, lastProgress: now}
	s.sessions[id] = x
	s.markDirty(x)
	switch {
	case s.stopping:
		s.close(x, pb.Closing_SHUTTING_DOWN, errStopping, 0)
	case len(s.sessions) > s.config.MaxSessions:
		s.close(x, pb.Closing_BUSY, errTooManySessions, s.jitter(s.config.StallTimeout))
	}
}

// Receive takes a frame of a session. Frames of one that has been closed are dropped.
func (s *Server) Receive(now aspenshed.Nanos, id SessionID, f *pb.SubscriberFrame) {
	x := s.sessions[id]
	if x == nil {
		return
	}
	s.markDirty(x)
	if err := s.handleFrame(now, x, f); err != nil {
		s.closeInvalid(x, err)
	}
}

func (s *Server) handleFrame(now aspenshed.Nanos, x *session, f *pb.SubscriberFrame) error {
	switch m := f.GetBody().(type) {
	case *pb.SubscriberFrame_Subscribe:
		return s.handleSubscribe(now, x, m.Subscribe)
	case *pb.SubscriberFrame_Ack:
		return s.handleAck(now, x, m.Ack)
	case *pb.SubscriberFrame_Submit:
		return s.handleSubmit(now, x, m.Submit)
	}
	return errUnknownMessage
}

// BadFrame ends a session from which something came that is no frame.
func (s *Server) BadFrame(_ aspenshed.Nanos, id SessionID, err error) {
	if x := s.sessions[id]; x != nil {
		s.closeInvalid(x, err)
	}
}

// Disconnected forgets a session whose connection has ended.
func (s *Server) Disconnected(id SessionID) {
	if x := s.sessions[id]; x != nil {
		s.removeSession(x)
	}
}

// Submitted answers a session's Submit; an answer for one that has ended is dropped.
func (s *Server) Submitted(now aspenshed.Nanos, id SessionID, r *pb.Submitted) {
	x := s.sessions[id]
	if x == nil || x.pendingSubmissions == 0 {
		return
	}
	x.pendingSubmissions--
	s.sendFrame(now, x, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Submitted{Submitted: r}}))
	s.markDirty(x)
}

// Stop closes all sessions and those that come from now on.
func (s *Server) Stop(aspenshed.Nanos) {
	s.stopping = true
	for _, id := range s.sessionIDs() {
		s.close(s.sessions[id], pb.Closing_SHUTTING_DOWN, errStopping, 0)
	}
}

// Step tells what is due, and when it has to be called again at the latest if nothing happens before.
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

// scheduleFlush sets when waiting changes go out.
func (s *Server) scheduleFlush(now aspenshed.Nanos) {
	if s.changesPending && s.flushAt == never {
		s.flushAt = now + s.config.FlushDelay
	}
	if s.bindingPending {
		s.flushAt = min(s.flushAt, max(now, s.lastFlush+minBindingFlushInterval))
	}
}

// scan looks at every session.
func (s *Server) scan(now aspenshed.Nanos) {
	s.lastScan, s.nextScan = now, never
	for _, id := range s.sessionIDs() {
		s.markDirty(s.sessions[id])
	}
}

// sessionIDs is in order, so that equal histories give equal outputs.
func (s *Server) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(s.sessions))
	for id := range s.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// serveDirty serves the sessions to be looked at in their turn, until one Step's output is full.
func (s *Server) serveDirty(now aspenshed.Nanos) {
	served := 0
	for _, x := range s.dirty {
		if s.outputBytes >= s.maxOutputBytes {
			break
		}
		served++
		x.dirty = false
		s.serve(now, x)
	}
	s.dirty = slices.Delete(s.dirty, 0, served)
}

func (s *Server) markDirty(x *session) {
	if !x.dirty {
		x.dirty = true
		s.dirty = append(s.dirty, x)
	}
}

// Rollout is how far this server's subscribers are with a revision; 0 is the newest that changed anything. A commit that
// changed nothing is in force where the change before it is.
func (s *Server) Rollout(rev uint64) *catalogpb.RolloutStatus {
	if rev == 0 {
		rev = s.log.LastChange(s.log.Head())
	}
	return s.tracker.Status(rev, s.log.LastChange(rev))
}

// Subscribers lists the sessions that have subscribed, in the order of their names.
func (s *Server) Subscribers() []SubscriberStatus {
	out := make([]SubscriberStatus, 0, len(s.bySubscriber))
	for _, x := range s.bySubscriber {
		out = append(out, x.status())
	}
	slices.SortFunc(out, func(a, b SubscriberStatus) int { return cmp.Compare(a.Subscriber, b.Subscriber) })
	return out
}

// closeInvalid ends a session for what it sent.
func (s *Server) closeInvalid(x *session, err error) {
	reason := pb.Closing_BAD_FRAME
	if errors.Is(err, errWrongCluster) {
		reason = pb.Closing_WRONG_CLUSTER
	}
	s.close(x, reason, err, 0)
}

// close sends the reason as the session's last frame, and forgets the session.
func (s *Server) close(x *session, reason pb.Closing_Reason, err error, retryAfter aspenshed.Nanos) {
	x.sentFrames++
	closing := &pb.Closing{Reason: reason, Detail: err.Error(), RetryAfter: int64(retryAfter)}
	frame := encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Closing{Closing: closing}}).withNumber(x.sentFrames)
	out := Output{Session: x.id, Frame: frame, Close: true}
	if reason != pb.Closing_SHUTTING_DOWN { // who stops says so once himself
		out.Log = closeLogLine(x, reason, err)
	}
	s.outputs = append(s.outputs, out)
	s.removeSession(x)
}

// closeLogLine is what the operators hear of it: what the operation of the fleet brings along is no warning.
func closeLogLine(x *session, reason pb.Closing_Reason, err error) *LogLine {
	line := &LogLine{Level: Warn, Message: messageSessionClosed, Session: x.id, Subscriber: x.subscriber, Revision: x.cursor}
	line.Err = &SubscriberError{Subscriber: x.subscriber, Session: x.id, Revision: x.cursor, Reason: reason, Err: err}
	switch reason {
	case pb.Closing_BUSY, pb.Closing_FUTURE_REVISION:
		line.Level = Info
	case pb.Closing_BAD_FRAME, pb.Closing_WRONG_CLUSTER:
		line.Message = messageInvalidSubscriberInput
	}
	return line
}

func (s *Server) removeSession(x *session) {
	delete(s.sessions, x.id)
	if x.subscriber != "" && s.bySubscriber[x.subscriber] == x {
		delete(s.bySubscriber, x.subscriber)
		s.tracker.Remove(x.subscriber)
	}
}

// jitter is between half of a span and all of it, at random.
func (s *Server) jitter(span aspenshed.Nanos) aspenshed.Nanos {
	return span/2 + aspenshed.Nanos(s.random.next()*float64(span/2))
}
