package session

import "sync"

// PendingResponses says what a link's member still owes answers to, in order: the loop adds,
// the poller takes off. Bytes that come while nothing is owed belong to no
// answer; without this a second copy of one answer could pass for the next.
type PendingResponses struct {
	mu    sync.Mutex
	kinds []int
}

// Add notes what is about to be written.
func (o *PendingResponses) Add(what int) {
	o.mu.Lock()
	o.kinds = append(o.kinds, what)
	o.mu.Unlock()
}

// Next is what the next bytes answer; 0: nothing.
func (o *PendingResponses) Next() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.kinds) == 0 {
		return 0
	}
	return o.kinds[0]
}

// Done takes off what has been answered whole.
func (o *PendingResponses) Done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.kinds) > 0 {
		o.kinds = o.kinds[1:]
	}
}
