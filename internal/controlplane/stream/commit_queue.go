package stream

import (
	"sync"

	"aspenshed/internal/controlplane/revision"
)

// maxQueuedBytes bounds the commits that wait for the server's loop. On overflow they are dropped and the state is
// reloaded. 21,000 members take some 5 MB, so it overflows only if the loop is blocked while all of them are replaced
// several times.
const maxQueuedBytes = 64 << 20

// commitQueue is the queue between the replicated log's goroutine and the server's loop.
type commitQueue struct {
	mu            sync.Mutex
	items         []queuedCommit
	bytes         int
	overflowed    bool
	overflowCount uint64
}

// queuedCommit is a commit, or a state that replaces everything before.
type queuedCommit struct {
	revision uint64
	changes  []revision.Change
	reset    bool
	records  []revision.Record
}

// push adds a commit. It reports whether the loop has to be notified because the queue was empty.
func (f *commitQueue) push(rev uint64, changes []revision.Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overflowed {
		return false // the commit is part of the state that will be reloaded
	}
	idle := len(f.items) == 0
	for i := range changes {
		f.bytes += len(changes[i].Key) + len(changes[i].Value)
	}
	f.bytes += decodedFrameOverhead
	f.items = append(f.items, queuedCommit{revision: rev, changes: changes})
	if f.bytes > maxQueuedBytes {
		f.items, f.bytes, f.overflowed = nil, 0, true
		f.overflowCount++
	}
	return idle
}

// reset replaces the queued commits by a state. It reports whether the loop has to be notified.
func (f *commitQueue) reset(rev uint64, records []revision.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := len(f.items) == 0 && !f.overflowed
	f.items, f.bytes, f.overflowed = []queuedCommit{{revision: rev, reset: true, records: records}}, 0, false
	return idle
}

func (f *commitQueue) popAll() (items []queuedCommit, overflowed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, overflowed = f.items, f.overflowed
	f.items, f.bytes, f.overflowed = nil, 0, false
	return items, overflowed
}

func (f *commitQueue) overflows() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overflowCount
}
