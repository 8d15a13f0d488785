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
	// maxScopeItems bounds the groups and sites of a scope: all 3,500 groups of the target, twice.
	maxScopeItems = 7000
	// maxSubmissions may be unanswered for one session; what is beyond is refused and may be repeated. A gateway that
	// sees a whole zone go sends its reports in batches of hundreds.
	maxSubmissions = 64
)

// session is one connection. Until it has subscribed it only waits.
type session struct {
	id         SessionID
	subscriber string
	about      *pb.Subscribe // boot, region, zone, release
	scope      *scopeOf
	cursor     uint64    // it has been sent everything up to this revision
	snapshot   *snapshot // under way
	nextFrame  int       // of the snapshot

	sent        uint64 // frames
	acked       uint64 // of them
	inFlight    []int  // bytes of each frame that is not acknowledged
	outstanding int    // their sum
	submissions int    // unanswered
	inForce     uint64

	heartbeatAt aspenshed.Nanos // when something has to be sent at the latest
	progress    aspenshed.Nanos // when something was acknowledged last, or first became outstanding
	blocked     bool            // the next step doesn't fit the window until something is acknowledged
	touched     bool
}

// subscribe begins a subscription: from the log where it reaches back to what the subscriber has, else by a snapshot.
func (s *Server) subscribe(now aspenshed.Nanos, x *session, m *pb.Subscribe) error {
	if err := s.checkSubscribe(x, m); err != nil {
		return err
	}
	if err := s.behind(m.Revision); err != nil {
		x.subscriber = m.Subscriber
		s.close(x, pb.Closing_FUTURE_REVISION, err, 0)
		return nil
	}
	scope := s.encoder.scope(scopeFrom(m.Scope))
	if !s.resumes(x, scope, m) {
		ok, wait := s.admit(now, m.Subscriber, scope)
		if !ok {
			x.subscriber = m.Subscriber
			s.close(x, pb.Closing_BUSY, errAdmission, wait)
			return nil
		}
		x.snapshot = s.encoder.snapshot(now, scope)
	}
	s.replace(m.Subscriber, x)
	x.subscriber, x.scope, x.cursor, x.inForce = m.Subscriber, scope, m.Revision, 0
	x.heartbeatAt = now // the first frame tells that the subscription holds
	x.about = &pb.Subscribe{Boot: m.Boot, Region: m.Region, Zone: m.Zone, Release: m.Release}
	s.tracker.InForce(m.Subscriber, 0)
	return nil
}

// behind says why this server can't serve a subscriber that has a revision: it has no state yet, which must not be
// taken for an empty one, or an older state.
func (s *Server) behind(rev uint64) error {
	head := s.log.Head()
	switch {
	case head == 0:
		return errNoState
	case rev > head:
		return &revision.FutureError{Asked: rev, Head: head}
	}
	return nil
}

// admit asks the bucket for one snapshot of the scope.
func (s *Server) admit(now aspenshed.Nanos, subscriber string, scope *scopeOf) (bool, aspenshed.Nanos) {
	return s.admission.Admit(now, subscriber, s.encoder.snapshotBytes(now, scope), s.random.next())
}

// replace closes an earlier session of the same subscriber: it has restarted, or its old connection is dead.
func (s *Server) replace(subscriber string, by *session) {
	if old := s.byName[subscriber]; old != nil && old != by {
		s.close(old, pb.Closing_REPLACED, errReplaced, 0)
	}
	s.byName[subscriber] = by
}

func (s *Server) checkSubscribe(x *session, m *pb.Subscribe) error {
	switch {
	case x.subscriber != "":
		return errSubscribed
	case m.GetCluster() != s.config.Cluster:
		return fmt.Errorf("%w: %.64q, this is %q", errCluster, m.GetCluster(), s.config.Cluster)
	case m.Subscriber == "":
		return &ContentError{Message: "Subscribe", Problem: "no subscriber"}
	case len(m.Scope.GetGroups())+len(m.Scope.GetSites()) > maxScopeItems:
		return &ContentError{Message: "Subscribe", Problem: "too many groups and sites"}
	}
	for _, name := range append([]string{m.Subscriber, m.Boot, m.Region, m.Zone, m.Release}, m.Scope.GetSites()...) {
		if len(name) > maxNameBytes {
			return &ContentError{Message: "Subscribe", Problem: "a name is too long"}
		}
	}
	return nil
}

func scopeFrom(m *pb.Scope) revision.Scope {
	var scope revision.Scope
	for _, g := range m.GetGroups() {
		scope.Groups = append(scope.Groups, revision.Group{Wire: g.GetWire(), ID: g.GetGroup()})
	}
	scope.Sites = append(scope.Sites, m.GetSites()...)
	return scope.Normalized()
}

// resumes reports whether the log reaches back to what the subscriber has, and what it has is what we had then.
func (s *Server) resumes(x *session, scope *scopeOf, m *pb.Subscribe) bool {
	if m.Revision == 0 {
		return false
	}
	digest, err := s.encoder.digestAt(m.Revision, scope)
	if err != nil {
		return false
	}
	if digest != revision.Digest(m.Digest) {
		err := &DigestError{Revision: m.Revision, Got: revision.Digest(m.Digest), Want: digest}
		s.out = append(s.out, Output{Session: x.id, Log: &LogLine{Level: Warn, Message: messageServedOther, Session: x.id,
			Subscriber: m.Subscriber, Revision: m.Revision, Err: err}})
		return false
	}
	return true
}

// acknowledge makes room in the window and takes note of what is in force.
func (s *Server) acknowledge(now aspenshed.Nanos, x *session, m *pb.Ack) error {
	switch {
	case x.subscriber == "":
		return errNotFirst
	case m.Received > x.sent || m.Received < x.acked:
		return &ContentError{Message: "Ack", Problem: fmt.Sprintf("received %d of frames %d to %d", m.Received, x.acked, x.sent)}
	case m.InForce > x.cursor || m.InForce < x.inForce:
		return &ContentError{Message: "Ack", Problem: fmt.Sprintf("revision %d in force, of %d to %d", m.InForce, x.inForce, x.cursor)}
	}
	if taken := int(m.Received - x.acked); taken > 0 {
		for _, bytes := range x.inFlight[:taken] {
			x.outstanding -= bytes
		}
		x.inFlight = x.inFlight[taken:]
		x.acked = m.Received
		x.progress = now
		x.blocked = false
	}
	if m.InForce > x.inForce {
		x.inForce = m.InForce
		s.tracker.InForce(x.subscriber, m.InForce)
	}
	for _, r := range m.Refused {
		s.tracker.Refused(x.subscriber, r.Revision, r.Key, r.Reason)
	}
	return nil
}

// submit hands commands on, or refuses them at once where too many are unanswered.
func (s *Server) submit(now aspenshed.Nanos, x *session, m *pb.Submit) error {
	if x.subscriber == "" {
		return errNotFirst
	}
	if x.submissions >= maxSubmissions && x.outstanding > s.config.WindowBytes {
		s.close(x, pb.Closing_TOO_SLOW, ErrTooMany, 0)
		return nil
	}
	if x.submissions >= maxSubmissions {
		busy := &pb.Submitted{Id: m.Id, Reply: &catalogpb.Reply{Refused: ErrTooMany.Error(), Retry: true}}
		s.send(now, x, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Submitted{Submitted: busy}}))
		return nil
	}
	x.submissions++
	s.out = append(s.out, Output{Session: x.id, Submit: m})
	return nil
}

func (x *session) status() SubscriberStatus {
	return SubscriberStatus{Session: x.id, Subscriber: x.subscriber, Boot: x.about.Boot, Region: x.about.Region,
		Zone: x.about.Zone, Release: x.about.Release, Sent: x.cursor, InForce: x.inForce, Outstanding: x.outstanding,
		Snapshot: x.snapshot != nil}
}

// serve sends a session what it may have now, and closes it if it is too slow.
func (s *Server) serve(now aspenshed.Nanos, x *session) {
	if s.sessions[x.id] != x {
		return
	}
	if s.stalled(now, x) {
		return
	}
	if x.scope != nil {
		if err := s.advance(now, x); err != nil {
			s.closeBehind(x, err)
			return
		}
	}
	s.scanNext = min(s.scanNext, s.dueAt(x))
}

// stalled closes a session that has not subscribed, or has acknowledged nothing, for too long.
func (s *Server) stalled(now aspenshed.Nanos, x *session) bool {
	switch {
	case now < x.progress+s.config.StallTimeout || s.faults.keepStalled:
		return false
	case x.scope == nil:
		s.close(x, pb.Closing_TOO_SLOW, errNoSubscribe, 0)
	case x.outstanding > 0:
		s.close(x, pb.Closing_TOO_SLOW, errStalled, 0)
	default:
		return false
	}
	return true
}

// closeBehind ends a session for which there is no way from its revision to the newest.
func (s *Server) closeBehind(x *session, err error) {
	reason := pb.Closing_TOO_SLOW
	var ahead *revision.FutureError
	if errors.As(err, &ahead) {
		reason = pb.Closing_FUTURE_REVISION
	}
	s.close(x, reason, err, 0)
}

// dueAt is when a session has to be looked at if nothing happens.
func (s *Server) dueAt(x *session) aspenshed.Nanos {
	due := never
	if x.scope == nil || x.outstanding > 0 {
		due = x.progress + s.config.StallTimeout
	}
	if x.snapshot == nil && !x.blocked {
		due = min(due, x.heartbeatAt)
	}
	return due
}

// advance sends the rest of a snapshot, then steps of changes, as far as the window lets it.
func (s *Server) advance(now aspenshed.Nanos, x *session) error {
	if err := s.sendSnapshot(now, x); err != nil || x.snapshot != nil || x.blocked {
		return err
	}
	heartbeat := now >= x.heartbeatAt
	for x.cursor < s.flushed || heartbeat {
		step, err := s.encoder.step(x.cursor, x.scope)
		if err != nil {
			return err
		}
		if step.empty() && !heartbeat && step.through >= s.flushed {
			return nil
		}
		if s.exceeds(x, step.bytes) {
			x.blocked = true
			return nil
		}
		for _, b := range step.frames {
			s.send(now, x, b)
		}
		x.cursor = step.through
		heartbeat = false
	}
	return nil
}

// sendSnapshot sends as many frames of the snapshot under way as fit the window. It is given up once the log no longer
// reaches back to it, as nothing could follow it.
func (s *Server) sendSnapshot(now aspenshed.Nanos, x *session) error {
	if x.snapshot == nil {
		return nil
	}
	if _, err := s.log.Since(x.snapshot.revision); err != nil {
		return err
	}
	for _, b := range x.snapshot.frames[x.nextFrame:] {
		if s.exceeds(x, b.size()) {
			return nil
		}
		s.send(now, x, b)
		x.nextFrame++
	}
	x.cursor = x.snapshot.revision
	x.snapshot, x.nextFrame = nil, 0
	return nil
}

// exceeds reports whether so many bytes don't fit the window now. What is larger than the window goes out alone.
func (s *Server) exceeds(x *session, bytes int) bool {
	return x.outstanding > 0 && x.outstanding+bytes > s.config.WindowBytes && !s.faults.ignoreWindow
}

// send gives a frame its number on this session.
func (s *Server) send(now aspenshed.Nanos, x *session, b body) {
	x.sent++
	frame := b.number(x.sent)
	if x.outstanding == 0 {
		x.progress = now
	}
	x.inFlight = append(x.inFlight, len(frame))
	x.outstanding += len(frame)
	x.heartbeatAt = now + s.config.Heartbeat
	s.out = append(s.out, Output{Session: x.id, Frame: frame})
	s.outBytes += len(frame)
}
