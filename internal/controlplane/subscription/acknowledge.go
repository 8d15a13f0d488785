package subscription

import (
	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
)

// recordApplied records which revision the data plane has applied and which changes it refused, and schedules an
// acknowledgement.
func (c *Client) recordApplied(now aspenshed.Nanos, e Applied) {
	c.appliedRevision = max(c.appliedRevision, e.Revision)
	c.pendingRefusals = append(c.pendingRefusals, e.Refused...)
	if excess := len(c.pendingRefusals) - maxPendingRefusals; excess > 0 {
		c.pendingRefusals = c.pendingRefusals[excess:]
	}
	if c.phase == phaseConnected {
		c.ackAt = min(c.ackAt, now+ackInterval)
	}
}

// scheduleAck counts received bytes and schedules an acknowledgement, at once if there are many of them.
func (c *Client) scheduleAck(now aspenshed.Nanos, bytes int) {
	c.unackedBytes += bytes
	c.ackAt = min(c.ackAt, now+ackInterval)
	if c.unackedBytes >= ackThresholdBytes {
		c.ackAt = now
	}
}

// sendAck acknowledges the received frames, and reports the applied revision as far as this connection has delivered
// it.
func (c *Client) sendAck() {
	ack := &pb.Ack{Received: c.receivedFrames, InForce: min(c.appliedRevision, c.streamRevision), Refused: c.pendingRefusals}
	c.pendingRefusals, c.unackedBytes, c.ackAt = nil, 0, never
	c.emit(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Ack{Ack: ack}}})
}

// submit sends a batch to the server, or completes it at once with an error if it can't be sent.
func (c *Client) submit(e SubmitCommands) {
	switch {
	case !c.Subscribed():
		c.emit(SubmitDone{ID: e.ID, Err: ErrNotConnected})
	case len(c.pendingSubmissions) >= maxClientSubmissions:
		c.emit(SubmitDone{ID: e.ID, Err: ErrTooManySubmissions})
	default:
		c.pendingSubmissions[e.ID] = true
		submit := &pb.Submit{Id: e.ID, Batch: e.Batch}
		c.emit(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Submit{Submit: submit}}})
	}
}

// rejectSubmit completes a submission that comes after Stop with an error.
func (c *Client) rejectSubmit(e Event) {
	if submit, ok := e.(SubmitCommands); ok {
		c.emit(SubmitDone{ID: submit.ID, Err: ErrStopped})
	}
}
