package subscriber

import "sync"

// appliedTracker determines the revision that all pipelines have applied.
type appliedTracker struct {
	mu           sync.Mutex
	pipelines    map[string]uint64 // the revision that each has reported
	lastReported uint64
}

func newAppliedTracker(pipelines []string) *appliedTracker {
	t := &appliedTracker{pipelines: map[string]uint64{}}
	for _, name := range pipelines {
		t.pipelines[name] = 0
	}
	return t
}

// catalogApplied records a revision that the catalog has reached. Without pipelines it is then applied.
func (t *appliedTracker) catalogApplied(rev uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pipelines) > 0 {
		return 0, false
	}
	return t.advance(rev)
}

// pipelineApplied records a revision that one pipeline has applied.
func (t *appliedTracker) pipelineApplied(pipeline string, rev uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pipelines[pipeline] = max(t.pipelines[pipeline], rev)
	lowest := rev
	for _, r := range t.pipelines {
		lowest = min(lowest, r)
	}
	return t.advance(lowest)
}

// advance reports whether the revision is new and has to be reported to the server.
func (t *appliedTracker) advance(rev uint64) (uint64, bool) {
	advanced := rev > t.lastReported
	t.lastReported = max(t.lastReported, rev)
	return rev, advanced
}

// PipelineApplied records that a pipeline has applied a revision, and reports it to the server once all pipelines have.
// It does not block.
func (s *Subscriber) PipelineApplied(pipeline string, rev uint64) {
	if rev, advanced := s.applied.pipelineApplied(pipeline, rev); advanced {
		s.client.ReportApplied(rev, nil)
	}
}
