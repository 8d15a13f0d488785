package subscription

import (
	"slices"

	"aspenshed/internal/controlplane/revision"
)

// faults are planted by tests alone, to show that the simulation finds them. The zero value plants none.
type faults struct {
	coalesceBinding  bool // the server drops binding changes that a newer change of the key follows
	ignoreWindow     bool // the server sends whatever there is
	resumeOneTooLate bool // the server leaves out the first commit after what the subscriber has
	applyHalf        bool // the client takes a snapshot's first chunk for the whole
	skipDigest       bool // the client doesn't compare digests
	takeOlder        bool // the client takes a snapshot that is older than what it has
}

// coalesce is revision.Coalesce, or what a planted fault makes of it.
func (f *faults) coalesce(changes []revision.Change) []revision.Change {
	if !f.coalesceBinding {
		return revision.Coalesce(changes)
	}
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Binding = false
	}
	return revision.Coalesce(changes)
}
