package subscription

import (
	"errors"
	"fmt"

	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxNameBytes bounds each name that a subscriber sends: ids are host names, of 253 bytes at most.
	maxNameBytes = 256
	// maxScopeEntries bounds the groups and sites of a scope: all 3,500 groups of the target, twice.
	maxScopeEntries = 7000
	// maxSubmissions bounds the pending submissions of one session; further ones are refused and may be retried. A gateway
	// that observes the loss of a whole zone sends its reports in batches of hundreds.
	maxSubmissions = 64
)

// session is one connection. It is sent nothing until it has subscribed.
type session struct {
	id                SessionID
	subscriber        string
	attributes        *pb.Subscribe // boot, region, zone, release
	scope             *sharedScope
	cursor            uint64           // all changes up to this revision have been sent
	snapshot          *encodedSnapshot // being sent; nil: none
	nextSnapshotFrame int              // index in the snapshot's frames

	sentFrames         uint64 // number of the last sent frame
	ackedFrames        uint64 // number of the last acknowledged frame
	unackedSizes       []int  // of each unacknowledged frame, in bytes
	unackedBytes       int    // their sum
	pendingSubmissions int    // not answered yet
	appliedRevision    uint64

	heartbeatAt  aspenshed.Nanos // when the next frame has to be sent at the latest
	lastProgress aspenshed.Nanos // time of the last acknowledgement, or of the first unacknowledged frame
	windowFull   bool            // the next update doesn't fit the window until frames are acknowledged
	dirty        bool
}

// handleSubscribe begins a subscription: from the log if it reaches back to the subscriber's revision, else with a
// snapshot.
func (s *Server) handleSubscribe(now aspenshed.Nanos, sess *session, m *pb.Subscribe) error {
	if err := s.checkSubscribe(sess, m); err != nil {
		return err
	}
	if err := s.checkRevision(m.Revision); err != nil {
		sess.subscriber = m.Subscriber
		s.close(sess, pb.Closing_FUTURE_REVISION, err, 0)
		return nil
	}
	scope := s.encoder.internScope(scopeFromProto(m.Scope))
	if !s.canResume(sess, scope, m) {
		ok, wait := s.admitSnapshot(now, m.Subscriber, scope)
		if !ok {
			sess.subscriber = m.Subscriber
			s.close(sess, pb.Closing_BUSY, errTooManySnapshots, wait)
			return nil
		}
		sess.snapshot = s.encoder.snapshot(now, scope)
	}
	s.replaceSession(m.Subscriber, sess)
	sess.subscriber, sess.scope, sess.cursor, sess.appliedRevision = m.Subscriber, scope, m.Revision, 0
	sess.heartbeatAt = now // the first frame confirms the subscription
	sess.attributes = &pb.Subscribe{Boot: m.Boot, Region: m.Region, Zone: m.Zone, Release: m.Release}
	s.tracker.SetApplied(m.Subscriber, 0)
	return nil
}

// checkRevision returns an error if this server can't serve a subscriber at a revision: it has no state yet, which must
// not be treated as an empty one, or an older state.
func (s *Server) checkRevision(rev uint64) error {
	head := s.log.Head()
	switch {
	case head == 0:
		return errNoState
	case rev > head:
		return &revision.FutureError{Requested: rev, Head: head}
	}
	return nil
}

// admitSnapshot requests admission for one snapshot of the scope.
func (s *Server) admitSnapshot(now aspenshed.Nanos, subscriber string, scope *sharedScope) (bool, aspenshed.Nanos) {
	return s.admission.Admit(now, subscriber, s.encoder.snapshotBytes(now, scope), s.random.next())
}

// replaceSession closes an earlier session of the same subscriber: the subscriber has restarted, or its old connection
// is dead.
func (s *Server) replaceSession(subscriber string, successor *session) {
	if previous := s.bySubscriber[subscriber]; previous != nil && previous != successor {
		s.close(previous, pb.Closing_REPLACED, errReplaced, 0)
	}
	s.bySubscriber[subscriber] = successor
}

func (s *Server) checkSubscribe(sess *session, m *pb.Subscribe) error {
	switch {
	case sess.subscriber != "":
		return errAlreadySubscribed
	case m.GetCluster() != s.config.Cluster:
		return fmt.Errorf("%w: %.64q, this is %q", errWrongCluster, m.GetCluster(), s.config.Cluster)
	case m.Subscriber == "":
		return &InvalidMessageError{Message: "Subscribe", Problem: "no subscriber"}
	case len(m.Scope.GetGroups())+len(m.Scope.GetSites()) > maxScopeEntries:
		return &InvalidMessageError{Message: "Subscribe", Problem: "too many groups and sites"}
	}
	for _, name := range append([]string{m.Subscriber, m.Boot, m.Region, m.Zone, m.Release}, m.Scope.GetSites()...) {
		if len(name) > maxNameBytes {
			return &InvalidMessageError{Message: "Subscribe", Problem: "a name is too long"}
		}
	}
	return nil
}

func scopeFromProto(m *pb.Scope) revision.Scope {
	var scope revision.Scope
	for _, g := range m.GetGroups() {
		scope.Groups = append(scope.Groups, revision.Group{Wire: g.GetWire(), ID: g.GetGroup()})
	}
	scope.Sites = append(scope.Sites, m.GetSites()...)
	return scope.Normalized()
}

// canResume reports whether the log reaches back to the subscriber's revision, and the subscriber's digest is the
// server's at that revision.
func (s *Server) canResume(sess *session, scope *sharedScope, m *pb.Subscribe) bool {
	if m.Revision == 0 {
		return false
	}
	digest, err := s.encoder.digestAt(m.Revision, scope)
	if err != nil {
		return false
	}
	if digest != revision.Digest(m.Digest) {
		err := &DigestError{Revision: m.Revision, Got: revision.Digest(m.Digest), Want: digest}
		s.outputs = append(s.outputs, Output{Session: sess.id, Log: &LogLine{Level: Warn, Message: messageDigestMismatch, Session: sess.id,
			Subscriber: m.Subscriber, Revision: m.Revision, Err: err}})
		return false
	}
	return true
}

// handleAck frees space in the window and records the applied revision and the refused changes.
func (s *Server) handleAck(now aspenshed.Nanos, sess *session, m *pb.Ack) error {
	switch {
	case sess.subscriber == "":
		return errNotSubscribed
	case m.Received > sess.sentFrames || m.Received < sess.ackedFrames:
		return &InvalidMessageError{Message: "Ack",
			Problem: fmt.Sprintf("received %d of frames %d to %d", m.Received, sess.ackedFrames, sess.sentFrames)}
	case m.InForce > sess.cursor || m.InForce < sess.appliedRevision:
		return &InvalidMessageError{Message: "Ack",
			Problem: fmt.Sprintf("revision %d in force, of %d to %d", m.InForce, sess.appliedRevision, sess.cursor)}
	}
	if acknowledged := int(m.Received - sess.ackedFrames); acknowledged > 0 {
		for _, bytes := range sess.unackedSizes[:acknowledged] {
			sess.unackedBytes -= bytes
		}
		sess.unackedSizes = sess.unackedSizes[acknowledged:]
		sess.ackedFrames = m.Received
		sess.lastProgress = now
		sess.windowFull = false
	}
	if m.InForce > sess.appliedRevision {
		sess.appliedRevision = m.InForce
		s.tracker.SetApplied(sess.subscriber, m.InForce)
	}
	for _, r := range m.Refused {
		s.tracker.AddRefusal(sess.subscriber, r.Revision, r.Key, r.Reason)
	}
	return nil
}

// handleSubmit passes a batch on, or refuses it at once if too many are pending.
func (s *Server) handleSubmit(now aspenshed.Nanos, sess *session, m *pb.Submit) error {
	if sess.subscriber == "" {
		return errNotSubscribed
	}
	if sess.pendingSubmissions >= maxSubmissions && sess.unackedBytes > s.config.WindowBytes {
		s.close(sess, pb.Closing_TOO_SLOW, ErrTooManySubmissions, 0)
		return nil
	}
	if sess.pendingSubmissions >= maxSubmissions {
		busy := &pb.Submitted{Id: m.Id, Reply: &catalogpb.Reply{Refused: ErrTooManySubmissions.Error(), Retry: true}}
		s.sendFrame(now, sess, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Submitted{Submitted: busy}}))
		return nil
	}
	sess.pendingSubmissions++
	s.outputs = append(s.outputs, Output{Session: sess.id, Submit: m})
	return nil
}

func (sess *session) status() SubscriberStatus {
	return SubscriberStatus{Session: sess.id, Subscriber: sess.subscriber, Boot: sess.attributes.Boot,
		Region: sess.attributes.Region, Zone: sess.attributes.Zone, Release: sess.attributes.Release,
		SentRevision: sess.cursor, AppliedRevision: sess.appliedRevision, UnackedBytes: sess.unackedBytes,
		SnapshotInProgress: sess.snapshot != nil}
}

// serve sends a session what its window allows, and closes it if it is too slow.
func (s *Server) serve(now aspenshed.Nanos, sess *session) {
	if s.sessions[sess.id] != sess {
		return
	}
	if s.closeIfStalled(now, sess) {
		return
	}
	if sess.scope != nil {
		if err := s.sendPending(now, sess); err != nil {
			s.closeUnresumable(sess, err)
			return
		}
	}
	s.nextScan = min(s.nextScan, s.nextDeadline(sess))
}

// closeIfStalled closes a session that has not subscribed, or has acknowledged nothing, for too long.
func (s *Server) closeIfStalled(now aspenshed.Nanos, sess *session) bool {
	switch {
	case now < sess.lastProgress+s.config.StallTimeout || s.faults.keepStalledSessions:
		return false
	case sess.scope == nil:
		s.close(sess, pb.Closing_TOO_SLOW, errSubscribeTimeout, 0)
	case sess.unackedBytes > 0:
		s.close(sess, pb.Closing_TOO_SLOW, errAckTimeout, 0)
	default:
		return false
	}
	return true
}

// closeUnresumable closes a session if the log has no changes from its revision to the newest.
func (s *Server) closeUnresumable(sess *session, err error) {
	reason := pb.Closing_TOO_SLOW
	var future *revision.FutureError
	if errors.As(err, &future) {
		reason = pb.Closing_FUTURE_REVISION
	}
	s.close(sess, reason, err, 0)
}

// nextDeadline returns when a session has to be served if there is no input before.
func (s *Server) nextDeadline(sess *session) aspenshed.Nanos {
	deadline := never
	if sess.scope == nil || sess.unackedBytes > 0 {
		deadline = sess.lastProgress + s.config.StallTimeout
	}
	if sess.snapshot == nil && !sess.windowFull {
		deadline = min(deadline, sess.heartbeatAt)
	}
	return deadline
}

// sendPending sends the rest of a snapshot, then updates, as far as the window allows.
func (s *Server) sendPending(now aspenshed.Nanos, sess *session) error {
	if err := s.sendSnapshotFrames(now, sess); err != nil || sess.snapshot != nil || sess.windowFull {
		return err
	}
	heartbeat := now >= sess.heartbeatAt
	for sess.cursor < s.flushedRevision || heartbeat {
		update, err := s.encoder.update(sess.cursor, sess.scope)
		if err != nil {
			return err
		}
		if update.empty() && !heartbeat && update.through >= s.flushedRevision {
			return nil
		}
		if s.exceedsWindow(sess, update.bytes) {
			sess.windowFull = true
			return nil
		}
		for _, b := range update.frames {
			s.sendFrame(now, sess, b)
		}
		sess.cursor = update.through
		heartbeat = false
	}
	return nil
}

// sendSnapshotFrames sends as many frames of the current snapshot as fit the window. It fails once the log no longer
// reaches back to the snapshot, as no update could follow it.
func (s *Server) sendSnapshotFrames(now aspenshed.Nanos, sess *session) error {
	if sess.snapshot == nil {
		return nil
	}
	if _, err := s.log.Since(sess.snapshot.revision); err != nil {
		return err
	}
	for _, b := range sess.snapshot.frames[sess.nextSnapshotFrame:] {
		if s.exceedsWindow(sess, b.size()) {
			return nil
		}
		s.sendFrame(now, sess, b)
		sess.nextSnapshotFrame++
	}
	sess.cursor = sess.snapshot.revision
	sess.snapshot, sess.nextSnapshotFrame = nil, 0
	return nil
}

// exceedsWindow reports whether so many bytes don't fit the window now. An item larger than the window is sent when
// nothing is unacknowledged.
func (s *Server) exceedsWindow(sess *session, bytes int) bool {
	return sess.unackedBytes > 0 && sess.unackedBytes+bytes > s.config.WindowBytes && !s.faults.ignoreWindow
}

// sendFrame numbers a frame and sends it.
func (s *Server) sendFrame(now aspenshed.Nanos, sess *session, b body) {
	sess.sentFrames++
	frame := b.withNumber(sess.sentFrames)
	if sess.unackedBytes == 0 {
		sess.lastProgress = now
	}
	sess.unackedSizes = append(sess.unackedSizes, len(frame))
	sess.unackedBytes += len(frame)
	sess.heartbeatAt = now + s.config.HeartbeatInterval
	s.outputs = append(s.outputs, Output{Session: sess.id, Frame: frame})
	s.outputBytes += len(frame)
}
