package subscription

import (
	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
)

// noteInForce has the server told what the data plane goes by.
func (c *Client) noteInForce(now aspenshed.Nanos, e InForce) {
	c.inForce = max(c.inForce, e.Revision)
	c.refused = append(c.refused, e.Refused...)
	if over := len(c.refused) - maxRefused; over > 0 {
		c.refused = c.refused[over:]
	}
	if c.phase == subscribed {
		c.ackAt = min(c.ackAt, now+ackInterval)
	}
}

// noteBytes has what was received acknowledged soon, or at once where it is much.
func (c *Client) noteBytes(now aspenshed.Nanos, bytes int) {
	c.unacked += bytes
	c.ackAt = min(c.ackAt, now+ackInterval)
	if c.unacked >= ackBytes {
		c.ackAt = now
	}
}

// acknowledge tells what was received and what is in force, as far as this connection has brought it.
func (c *Client) acknowledge() {
	ack := &pb.Ack{Received: c.received, InForce: min(c.inForce, c.position), Refused: c.refused}
	c.refused, c.unacked, c.ackAt = nil, 0, never
	c.do(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Ack{Ack: ack}}})
}

// submit sends a batch to the server, or answers at once where it can't.
func (c *Client) submit(e SubmitCommands) {
	switch {
	case !c.Subscribed():
		c.do(SubmitDone{ID: e.ID, Err: ErrNotConnected})
	case len(c.unanswered) >= maxUnanswered:
		c.do(SubmitDone{ID: e.ID, Err: ErrTooMany})
	default:
		c.unanswered[e.ID] = true
		submit := &pb.Submit{Id: e.ID, Batch: e.Batch}
		c.do(Send{Frame: &pb.SubscriberFrame{Body: &pb.SubscriberFrame_Submit{Submit: submit}}})
	}
}

// refuseSubmit answers what comes after the end.
func (c *Client) refuseSubmit(e Event) {
	if submit, is := e.(SubmitCommands); is {
		c.do(SubmitDone{ID: submit.ID, Err: ErrStopped})
	}
}
