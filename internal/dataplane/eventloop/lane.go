package eventloop

// Lane is a queue of functions of one source, such as a client. The loop takes turns between lanes, so that a source with
// many functions does not delay the others; functions posted to the loop itself come before those of lanes. The source
// bounds the length of its lane.
type Lane struct {
	loop  *Loop
	queue []func() // guarded by the loop's mutex
}

// NewLane returns an empty lane.
func (l *Loop) NewLane() *Lane { return &Lane{loop: l} }

// Post queues f to be called by the loop in one of the lane's turns.
func (n *Lane) Post(f func()) {
	l := n.loop
	l.mu.Lock()
	if len(n.queue) == 0 {
		l.lanes = append(l.lanes, n)
	}
	n.queue = append(n.queue, f)
	l.mu.Unlock()
	l.wake()
}
