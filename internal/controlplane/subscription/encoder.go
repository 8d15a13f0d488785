package subscription

import (
	"fmt"
	"strings"

	"aspenshed"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxCachedUpdates are kept encoded, a window's bytes each at most: 16 MiB. Sessions that keep up are all at one or two
	// cursors; beyond the bound all are dropped and made again as they are needed.
	maxCachedUpdates = 64
	// maxCachedScopes are remembered with their snapshots. Beyond it all are dropped, and sessions keep those that they hold.
	maxCachedScopes = 64
	// maxCachedSnapshotBytes bounds the snapshots that are kept for the next who asks, in bytes: 25 of the whole state. Beyond it
	// all are dropped but those that sessions are being sent.
	maxCachedSnapshotBytes = 64 << 20
	// snapshotReuseInterval is how long a snapshot serves those who ask for one though commits have come since, ns: encoding one
	// of 21,000 members takes some 10 ms, so at one a second it stays at 1% of a core however many commits come.
	snapshotReuseInterval = second
)

// encoder makes the frames that sessions are sent, each once for all sessions at the same cursor and scope.
type encoder struct {
	state       *revision.State
	log         *revision.Log
	updateBytes int // how much one step may hold; a commit that alone is larger is a step of its own
	frameBytes  int // maxFrameBytes, less in tests
	cacheBytes  int // maxSnapshotsKept, less in tests
	updates     map[updateKey]*encodedUpdate
	scopes      map[string]*sharedScope
	snapshots   map[*sharedScope]*cachedSnapshot
	compressor  chunkCompressor
	faults      *faults
}

// sharedScope is a scope that sessions share.
type sharedScope struct{ revision.Scope }

type updateKey struct {
	cursor uint64
	scope  *sharedScope
}

// encodedUpdate is encoded changes from one revision through another.
type encodedUpdate struct {
	through uint64
	head    uint64 // of the log when it was made
	changes int
	frames  []body
	bytes   int
}

func (p *encodedUpdate) empty() bool { return p.changes == 0 }

type cachedSnapshot struct {
	*encodedSnapshot
	encodedAt aspenshed.Nanos
}

func newEncoder(state *revision.State, log *revision.Log, stepBytes int, f *faults) *encoder {
	e := &encoder{state: state, log: log, updateBytes: stepBytes, frameBytes: maxFrameBytes, cacheBytes: maxCachedSnapshotBytes, faults: f,
		scopes: map[string]*sharedScope{}}
	e.reset()
	return e
}

// reset forgets everything encoded.
func (e *encoder) reset() {
	e.updates = map[updateKey]*encodedUpdate{}
	e.snapshots = map[*sharedScope]*cachedSnapshot{}
}

// internScope is the one value that stands for equal scopes.
func (e *encoder) internScope(s revision.Scope) *sharedScope {
	name := scopeKey(s)
	if known := e.scopes[name]; known != nil {
		return known
	}
	if len(e.scopes) >= maxCachedScopes {
		clear(e.scopes)
		clear(e.snapshots)
	}
	made := &sharedScope{s}
	e.scopes[name] = made
	return made
}

func scopeKey(s revision.Scope) string {
	var b strings.Builder
	for _, g := range s.Groups {
		fmt.Fprintf(&b, "%q ", g)
	}
	for _, site := range s.Sites {
		fmt.Fprintf(&b, "at %q ", site)
	}
	return b.String()
}

// digestAt is the scope's digest at a revision that the log still reaches back to: the newest without what came since.
func (e *encoder) digestAt(rev uint64, scope *sharedScope) (revision.Digest, error) {
	changes, err := e.log.Since(rev)
	if err != nil {
		return 0, err
	}
	return e.state.Digest(scope.Scope) - digestDelta(changes, scope.Scope), nil
}

// digestDelta is by how much changes moved the digest of a scope.
func digestDelta(changes []revision.Change, scope revision.Scope) (sum revision.Digest) {
	for i := range changes {
		c := &changes[i]
		if !c.Removed && scope.Contains(c.Key, c.Placement) {
			sum += revision.Hash(c.Key, c.Value)
		}
		if c.Before != nil && scope.Contains(c.Key, c.Before.Placement) {
			sum -= revision.Hash(c.Key, c.Before.Value)
		}
	}
	return sum
}

// update is the next update of a session from its cursor: through the newest revision, or as many commits as fit one update.
func (e *encoder) update(cursor uint64, scope *sharedScope) (*encodedUpdate, error) {
	key := updateKey{cursor, scope}
	if p := e.updates[key]; p != nil && (p.head == e.log.Head() || p.through < p.head) && cursor >= e.log.Oldest() {
		return p, nil
	}
	changes, err := e.log.Since(cursor)
	if err != nil {
		return nil, err
	}
	if e.faults.skipFirstCommit && len(changes) > 0 {
		changes = changes[commitEnd(changes, 0):]
	}
	if e.faults.coalesceBeforeProject {
		changes = revision.Coalesce(changes)
	}
	seen, taken := e.selectCommits(changes, scope.Scope)
	through := e.log.Head()
	if taken < len(changes) {
		through = changes[taken-1].Revision
	}
	digest := e.state.Digest(scope.Scope) - digestDelta(changes[taken:], scope.Scope)
	p := &encodedUpdate{through: through, head: e.log.Head(), changes: len(seen)}
	p.frames = e.encodeChanges(cursor, through, digest, seen)
	p.bytes = totalSize(p.frames)
	if len(e.updates) >= maxCachedUpdates {
		clear(e.updates)
	}
	e.updates[key] = p
	return p, nil
}

// selectCommits selects whole commits whose changes, as the scope sees them and coalesced, fit one step, but at least one.
func (e *encoder) selectCommits(changes []revision.Change, scope revision.Scope) (seen []revision.Change, taken int) {
	bytes := 0
	newest := map[string]int{} // what each key's newest change that may yet be dropped counts for
	for taken < len(changes) {
		end := commitEnd(changes, taken)
		visible := len(seen)
		for _, c := range changes[taken:end] {
			if c, within := scope.Project(c); within {
				seen = append(seen, c)
			}
		}
		for _, c := range seen[visible:] {
			size := len(c.Key) + len(c.Value) + recordOverhead
			bytes += size - newest[c.Key]
			if newest[c.Key] = size; c.Binding {
				newest[c.Key] = 0
			}
		}
		if bytes > e.updateBytes && taken > 0 {
			seen = seen[:visible]
			break
		}
		taken = end
	}
	return e.faults.coalesce(seen), taken
}

// commitEnd is the index after the last change of the commit that begins at an index.
func commitEnd(changes []revision.Change, first int) int {
	end := first
	for end < len(changes) && changes[end].Revision == changes[first].Revision {
		end++
	}
	return end
}

// snapshot is the newest of a scope, or one made within the last second from which the log goes on.
func (e *encoder) snapshot(now aspenshed.Nanos, scope *sharedScope) *encodedSnapshot {
	kept := e.snapshots[scope]
	if kept != nil && kept.revision >= e.log.Oldest() &&
		(kept.revision == e.state.Revision() || now < kept.encodedAt+snapshotReuseInterval) {
		return kept.encodedSnapshot
	}
	kept = &cachedSnapshot{encodedSnapshot: e.encodeSnapshot(scope.Scope), encodedAt: now}
	e.cacheSnapshot(scope, kept)
	return kept.encodedSnapshot
}

// cacheSnapshot remembers a scope's snapshot in place of an older one.
func (e *encoder) cacheSnapshot(scope *sharedScope, made *cachedSnapshot) {
	delete(e.snapshots, scope)
	bytes := made.bytes
	for _, other := range e.snapshots {
		bytes += other.bytes
	}
	if bytes > e.cacheBytes {
		clear(e.snapshots)
	}
	e.snapshots[scope] = made
}

// snapshotBytes is how much a snapshot of the scope would be.
func (e *encoder) snapshotBytes(now aspenshed.Nanos, scope *sharedScope) int {
	return e.snapshot(now, scope).bytes
}
