package subscriber

import "sync"

// inForceTracker works out the revision that all pipelines go by.
type inForceTracker struct {
	mu           sync.Mutex
	pipelines    map[string]uint64 // what each has reported
	lastReported uint64
}

func newInForceTracker(pipelines []string) *inForceTracker {
	f := &inForceTracker{pipelines: map[string]uint64{}}
	for _, name := range pipelines {
		f.pipelines[name] = 0
	}
	return f
}

// catalogApplied takes note of a revision that the catalog has come to. Without pipelines it is in force.
func (f *inForceTracker) catalogApplied(rev uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pipelines) > 0 {
		return 0, false
	}
	return f.advance(rev)
}

// pipelineApplied takes note of a revision that one pipeline has come to go by.
func (f *inForceTracker) pipelineApplied(pipeline string, rev uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pipelines[pipeline] = max(f.pipelines[pipeline], rev)
	least := rev
	for _, r := range f.pipelines {
		least = min(least, r)
	}
	return f.advance(least)
}

// advance reports whether the servers have to be told.
func (f *inForceTracker) advance(rev uint64) (uint64, bool) {
	advanced := rev > f.lastReported
	f.lastReported = max(f.lastReported, rev)
	return rev, advanced
}

// InForce takes note that a pipeline goes by a revision, and tells the servers once all do. It does not block.
func (s *Subscriber) InForce(pipeline string, rev uint64) {
	if rev, advanced := s.inForce.pipelineApplied(pipeline, rev); advanced {
		s.client.InForce(rev, nil)
	}
}
