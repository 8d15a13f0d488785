package subscription

import (
	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
)

// recordInForce has the server told what the data plane goes by.
func (c *Client) recordInForce(now aspenshed.Nanos, e InForce) {
	c.inForce = max(c.inForce, e.Revision)
	c.pendingRefusals = append(c.pendingRefusals, e.Refused...)
	if over := len(c.pendingRefusals) - maxPendingRefusals; over > 0 {
		c.pendingRefusals = c.pendingRefusals[over:]
	}
	if c.phase == phaseConnected {
		c.ackAt = min(c.ackAt, now+ackInterval)
	}
}

// scheduleAck has what was received acknowledged soon, or at once where it is much.
func (c *Client) scheduleAck(now aspenshed.Nanos, bytes int) {
	c.unackedBytes += bytes
	c.ackAt = min(c.ackAt, now+ackInterval)
	if c.unackedBytes >= ackThresholdBytes {
		c.ackAt = now
	}
}

// sendAck tells what was received and what is in force, as far as this connection has brought it.
func (c *Client) sendAck() {
	ack := &pb.Ack{Received: c.receivedFrames, InForce: min(c.inForce, c.streamRevision), Refused: c.pendingRefusals}
	c.pendingRefusals, c.unackedBytes, c.ackAt = nil, 0, never
	c.emit(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Ack{Ack: ack}}})
}

// submit sends a batch to the server, or answers at once where it can't.
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

// rejectSubmit answers what comes after the end.
func (c *Client) rejectSubmit(e Event) {
	if submit, is := e.(SubmitCommands); is {
		c.emit(SubmitDone{ID: submit.ID, Err: ErrStopped})
	}
}
