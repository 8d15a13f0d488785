package subscription

import (
	"slices"

	"aspenshed/internal/controlplane/revision"
)

// faults are injected by tests only, to show that the simulation detects them. The zero value injects none.
type faults struct {
	coalesceBinding       bool // the server coalesces binding changes too
	ignoreWindow          bool // the server sends regardless of the window
	coalesceBeforeProject bool // the server coalesces before it projects into the scope
	keepStalledSessions   bool // the server doesn't close sessions that acknowledge nothing
	skipFirstCommit       bool // the server omits the first commit after the cursor
	applyFirstChunk       bool // the client applies the first chunk of a snapshot alone
	skipDigestCheck       bool // the client doesn't compare digests
	acceptOlderSnapshot   bool // the client accepts a snapshot older than its state
}

// coalesce is revision.Coalesce, or a faulty version of it.
func (f *faults) coalesce(changes []revision.Change) []revision.Change {
	if !f.coalesceBinding {
		return revision.Coalesce(changes)
	}
	newest := map[string]uint64{}
	for _, c := range changes {
		newest[c.Key] = c.Revision
	}
	return slices.DeleteFunc(slices.Clone(changes), func(c revision.Change) bool { return c.Revision < newest[c.Key] })
}
