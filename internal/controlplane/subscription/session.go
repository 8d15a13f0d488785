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
	// maxNameBytes bounds each name that a subscriber tells: ids are host names, of 253 bytes at most.
	maxNameBytes = 256
	// maxScopeEntries bounds the groups and sites of a scope: all 3,500 groups of the target, twice.
	maxScopeEntries = 7000
	// maxSubmissions may be unanswered for one session; what is beyond is refused and may be repeated. A gateway that
	// sees a whole zone go sends its reports in batches of hundreds.
	maxSubmissions = 64
)

// session is one connection. Until it has subscribed it only waits.
type session struct {
	id                SessionID
	subscriber        string
	attributes        *pb.Subscribe // boot, region, zone, release
	scope             *sharedScope
	cursor            uint64           // it has been sent everything up to this revision
	snapshot          *encodedSnapshot // under way
	nextSnapshotFrame int              // of the snapshot

	sentFrames         uint64 // frames
	ackedFrames        uint64 // of them
	unackedSizes       []int  // bytes of each frame that is not acknowledged
	unackedBytes       int    // their sum
	pendingSubmissions int    // unanswered
	inForce            uint64

	heartbeatAt  aspenshed.Nanos // when something has to be sent at the latest
	lastProgress aspenshed.Nanos // when something was acknowledged last, or first became outstanding
	windowFull   bool            // the next step doesn't fit the window until something is acknowledged
	dirty        bool
}

// handleSubscribe begins a subscription: from the log where it reaches back to what the subscriber has, else by a snapshot.
func (s *Server) handleSubscribe(now aspenshed.Nanos, x *session, m *pb.Subscribe) error {
	if err := s.checkSubscribe(x, m); err != nil {
		return err
	}
	if err := s.checkRevision(m.Revision); err != nil {
		x.subscriber = m.Subscriber
		s.close(x, pb.Closing_FUTURE_REVISION, err, 0)
		return nil
	}
	scope := s.encoder.internScope(scopeFromProto(m.Scope))
	if !s.canResume(x, scope, m) {
		ok, wait := s.admitSnapshot(now, m.Subscriber, scope)
		if !ok {
			x.subscriber = m.Subscriber
			s.close(x, pb.Closing_BUSY, errTooManySnapshots, wait)
			return nil
		}
		x.snapshot = s.encoder.snapshot(now, scope)
	}
	s.replaceSession(m.Subscriber, x)
	x.subscriber, x.scope, x.cursor, x.inForce = m.Subscriber, scope, m.Revision, 0
	x.heartbeatAt = now // the first frame tells that the subscription holds
	x.attributes = &pb.Subscribe{Boot: m.Boot, Region: m.Region, Zone: m.Zone, Release: m.Release}
	s.tracker.SetInForce(m.Subscriber, 0)
	return nil
}

// checkRevision says why this server can't serve a subscriber that has a revision: it has no state yet, which must not be
// taken for an empty one, or an older state.
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

// admitSnapshot asks the bucket for one snapshot of the scope.
func (s *Server) admitSnapshot(now aspenshed.Nanos, subscriber string, scope *sharedScope) (bool, aspenshed.Nanos) {
	return s.admission.Admit(now, subscriber, s.encoder.snapshotBytes(now, scope), s.random.next())
}

// replaceSession closes an earlier session of the same subscriber: it has restarted, or its old connection is dead.
func (s *Server) replaceSession(subscriber string, by *session) {
	if old := s.bySubscriber[subscriber]; old != nil && old != by {
		s.close(old, pb.Closing_REPLACED, errReplaced, 0)
	}
	s.bySubscriber[subscriber] = by
}

func (s *Server) checkSubscribe(x *session, m *pb.Subscribe) error {
	switch {
	case x.subscriber != "":
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

// canResume reports whether the log reaches back to what the subscriber has, and what it has is what we had then.
func (s *Server) canResume(x *session, scope *sharedScope, m *pb.Subscribe) bool {
	if m.Revision == 0 {
		return false
	}
	digest, err := s.encoder.digestAt(m.Revision, scope)
	if err != nil {
		return false
	}
	if digest != revision.Digest(m.Digest) {
		err := &DigestError{Revision: m.Revision, Got: revision.Digest(m.Digest), Want: digest}
		s.outputs = append(s.outputs, Output{Session: x.id, Log: &LogLine{Level: Warn, Message: messageDigestMismatch, Session: x.id,
			Subscriber: m.Subscriber, Revision: m.Revision, Err: err}})
		return false
	}
	return true
}

// handleAck makes room in the window and takes note of what is in force.
func (s *Server) handleAck(now aspenshed.Nanos, x *session, m *pb.Ack) error {
	switch {
	case x.subscriber == "":
		return errNotSubscribed
	case m.Received > x.sentFrames || m.Received < x.ackedFrames:
		return &InvalidMessageError{Message: "Ack", Problem: fmt.Sprintf("received %d of frames %d to %d", m.Received, x.ackedFrames, x.sentFrames)}
	case m.InForce > x.cursor || m.InForce < x.inForce:
		return &InvalidMessageError{Message: "Ack", Problem: fmt.Sprintf("revision %d in force, of %d to %d", m.InForce, x.inForce, x.cursor)}
	}
	if taken := int(m.Received - x.ackedFrames); taken > 0 {
		for _, bytes := range x.unackedSizes[:taken] {
			x.unackedBytes -= bytes
		}
		x.unackedSizes = x.unackedSizes[taken:]
		x.ackedFrames = m.Received
		x.lastProgress = now
		x.windowFull = false
	}
	if m.InForce > x.inForce {
		x.inForce = m.InForce
		s.tracker.SetInForce(x.subscriber, m.InForce)
	}
	for _, r := range m.Refused {
		s.tracker.AddRefusal(x.subscriber, r.Revision, r.Key, r.Reason)
	}
	return nil
}

// handleSubmit hands commands on, or refuses them at once where too many are unanswered.
func (s *Server) handleSubmit(now aspenshed.Nanos, x *session, m *pb.Submit) error {
	if x.subscriber == "" {
		return errNotSubscribed
	}
	if x.pendingSubmissions >= maxSubmissions && x.unackedBytes > s.config.WindowBytes {
		s.close(x, pb.Closing_TOO_SLOW, ErrTooManySubmissions, 0)
		return nil
	}
	if x.pendingSubmissions >= maxSubmissions {
		busy := &pb.Submitted{Id: m.Id, Reply: &catalogpb.Reply{Refused: ErrTooManySubmissions.Error(), Retry: true}}
		s.sendFrame(now, x, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Submitted{Submitted: busy}}))
		return nil
	}
	x.pendingSubmissions++
	s.outputs = append(s.outputs, Output{Session: x.id, Submit: m})
	return nil
}

func (x *session) status() SubscriberStatus {
	return SubscriberStatus{Session: x.id, Subscriber: x.subscriber, Boot: x.attributes.Boot, Region: x.attributes.Region,
		Zone: x.attributes.Zone, Release: x.attributes.Release, SentRevision: x.cursor, InForce: x.inForce, UnackedBytes: x.unackedBytes,
		SnapshotInProgress: x.snapshot != nil}
}

// serve sends a session what it may have now, and closes it if it is too slow.
func (s *Server) serve(now aspenshed.Nanos, x *session) {
	if s.sessions[x.id] != x {
		return
	}
	if s.closeIfStalled(now, x) {
		return
	}
	if x.scope != nil {
		if err := s.sendPending(now, x); err != nil {
			s.closeUnresumable(x, err)
			return
		}
	}
	s.nextScan = min(s.nextScan, s.nextDeadline(x))
}

// closeIfStalled closes a session that has not subscribed, or has acknowledged nothing, for too long.
func (s *Server) closeIfStalled(now aspenshed.Nanos, x *session) bool {
	switch {
	case now < x.lastProgress+s.config.StallTimeout || s.faults.keepStalledSessions:
		return false
	case x.scope == nil:
		s.close(x, pb.Closing_TOO_SLOW, errSubscribeTimeout, 0)
	case x.unackedBytes > 0:
		s.close(x, pb.Closing_TOO_SLOW, errAckTimeout, 0)
	default:
		return false
	}
	return true
}

// closeUnresumable ends a session for which there is no way from its revision to the newest.
func (s *Server) closeUnresumable(x *session, err error) {
	reason := pb.Closing_TOO_SLOW
	var ahead *revision.FutureError
	if errors.As(err, &ahead) {
		reason = pb.Closing_FUTURE_REVISION
	}
	s.close(x, reason, err, 0)
}

// nextDeadline is when a session has to be looked at if nothing happens.
func (s *Server) nextDeadline(x *session) aspenshed.Nanos {
	due := never
	if x.scope == nil || x.unackedBytes > 0 {
		due = x.lastProgress + s.config.StallTimeout
	}
	if x.snapshot == nil && !x.windowFull {
		due = min(due, x.heartbeatAt)
	}
	return due
}

// sendPending sends the rest of a snapshot, then steps of changes, as far as the window lets it.
func (s *Server) sendPending(now aspenshed.Nanos, x *session) error {
	if err := s.sendSnapshotFrames(now, x); err != nil || x.snapshot != nil || x.windowFull {
		return err
	}
	heartbeat := now >= x.heartbeatAt
	for x.cursor < s.flushedRevision || heartbeat {
		step, err := s.encoder.update(x.cursor, x.scope)
		if err != nil {
			return err
		}
		if step.empty() && !heartbeat && step.through >= s.flushedRevision {
			return nil
		}
		if s.exceedsWindow(x, step.bytes) {
			x.windowFull = true
			return nil
		}
		for _, b := range step.frames {
			s.sendFrame(now, x, b)
		}
		x.cursor = step.through
		heartbeat = false
	}
	return nil
}

// sendSnapshotFrames sends as many frames of the snapshot under way as fit the window. It is given up once the log no longer
// reaches back to it, as nothing could follow it.
func (s *Server) sendSnapshotFrames(now aspenshed.Nanos, x *session) error {
	if x.snapshot == nil {
		return nil
	}
	if _, err := s.log.Since(x.snapshot.revision); err != nil {
		return err
	}
	for _, b := range x.snapshot.frames[x.nextSnapshotFrame:] {
		if s.exceedsWindow(x, b.size()) {
			return nil
		}
		s.sendFrame(now, x, b)
		x.nextSnapshotFrame++
	}
	x.cursor = x.snapshot.revision
	x.snapshot, x.nextSnapshotFrame = nil, 0
	return nil
}

// exceedsWindow reports whether so many bytes don't fit the window now. What is larger than the window goes out alone.
func (s *Server) exceedsWindow(x *session, bytes int) bool {
	return x.unackedBytes > 0 && x.unackedBytes+bytes > s.config.WindowBytes && !s.faults.ignoreWindow
}

// sendFrame gives a frame its number on this session.
func (s *Server) sendFrame(now aspenshed.Nanos, x *session, b body) {
	x.sentFrames++
	frame := b.withNumber(x.sentFrames)
	if x.unackedBytes == 0 {
		x.lastProgress = now
	}
	x.unackedSizes = append(x.unackedSizes, len(frame))
	x.unackedBytes += len(frame)
	x.heartbeatAt = now + s.config.HeartbeatInterval
	s.outputs = append(s.outputs, Output{Session: x.id, Frame: frame})
	s.outputBytes += len(frame)
}
