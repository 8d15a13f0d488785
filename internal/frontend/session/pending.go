package session

import "sync"

// PendingResponses is the queue of responses that a backend connection still has to receive: the loop adds to it, the
// poller removes. Bytes that arrive while it is empty belong to no response; without this check a duplicate of one
// response could be taken for the next.
type PendingResponses struct {
	mu    sync.Mutex
	kinds []int
}

// Add records the kind of response that the next written command will get.
func (p *PendingResponses) Add(kind int) {
	p.mu.Lock()
	p.kinds = append(p.kinds, kind)
	p.mu.Unlock()
}

// Next returns the kind of the next response; 0: none is pending.
func (p *PendingResponses) Next() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kinds) == 0 {
		return 0
	}
	return p.kinds[0]
}

// Done removes the next response after it has been received completely.
func (p *PendingResponses) Done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kinds) > 0 {
		p.kinds = p.kinds[1:]
	}
}
