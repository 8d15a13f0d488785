package subscription

import (
	"slices"

	"aspenshed/internal/controlplane/revision"
)

// faults are planted by tests alone, to show that the simulation finds them. The zero value plants none.
type faults struct {
	coalesceBinding       bool // the server drops binding changes that a newer change of the key follows
	ignoreWindow          bool // the server sends whatever there is
	coalesceBeforeProject bool // the server coalesces before it projects changes into the scope
	keepStalledSessions   bool // the server doesn't close sessions that acknowledge nothing
	skipFirstCommit       bool // the server leaves out the first commit after what the subscriber has
	applyFirstChunk       bool // the client takes a snapshot's first chunk for the whole
	skipDigestCheck       bool // the client doesn't compare digests
	acceptOlderSnapshot   bool // the client takes a snapshot that is older than what it has
}

// coalesce is revision.Coalesce, or what a planted fault makes of it.
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
