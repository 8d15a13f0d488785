package subscriber

import "sync"

// appliedTracker determines the revision that all pipelines have in force.
type appliedTracker struct {
	mu           sync.Mutex
	pipelines    map[string]uint64 // the revision that each has reported
	lastReported uint64
}

func newAppliedTracker(pipelines []string) *appliedTracker {
	f := &appliedTracker{pipelines: map[string]uint64{}}
	for _, name := range pipelines {
		f.pipelines[name] = 0
	}
	return f
}

// catalogApplied records a revision that the catalog has reached. Without pipelines it is in force.
func (f *appliedTracker) catalogApplied(rev uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pipelines) > 0 {
		return 0, false
	}
	return f.advance(rev)
}

// pipelineApplied records a revision that one pipeline has in force.
func (f *appliedTracker) pipelineApplied(pipeline string, rev uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pipelines[pipeline] = max(f.pipelines[pipeline], rev)
	lowest := rev
	for _, r := range f.pipelines {
		lowest = min(lowest, r)
	}
	return f.advance(lowest)
}

// advance reports whether the revision is new and has to be reported to the server.
func (f *appliedTracker) advance(rev uint64) (uint64, bool) {
	advanced := rev > f.lastReported
	f.lastReported = max(f.lastReported, rev)
	return rev, advanced
}

// PipelineApplied records that a pipeline has a revision in force, and reports it to the server once all pipelines have. It
// does not block.
func (s *Subscriber) PipelineApplied(pipeline string, rev uint64) {
	if rev, advanced := s.applied.pipelineApplied(pipeline, rev); advanced {
		s.client.InForce(rev, nil)
	}
}
