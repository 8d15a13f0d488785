package subscription

import (
	"fmt"
	"strings"

	"aspenshed"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxCachedUpdates bounds the cached encoded updates, each of a window's bytes at most: 16 MiB. Sessions that keep up
	// are all at one or two cursors; at the limit the whole cache is dropped, and updates are encoded again when they are
	// needed.
	maxCachedUpdates = 64
	// maxCachedScopes bounds the interned scopes and their cached snapshots. At the limit all are dropped; sessions keep
	// the scopes and snapshots that they hold.
	maxCachedScopes = 64
	// maxCachedSnapshotBytes bounds the cached snapshots, in bytes: 25 of the whole state. At the limit all are dropped,
	// except those that are being sent to sessions.
	maxCachedSnapshotBytes = 64 << 20
	// snapshotReuseInterval is how long a snapshot is reused for further sessions although there are newer commits, ns:
	// encoding one of 21,000 members takes some 10 ms, so at one a second it stays at 1% of a core whatever the rate of
	// commits.
	snapshotReuseInterval = second
)

// encoder encodes the frames that are sent to sessions, once for all sessions at the same cursor and scope.
type encoder struct {
	state       *revision.State
	log         *revision.Log
	updateBytes int // limit of one update; a larger commit is an update of its own
	frameBytes  int // maxFrameBytes; smaller in tests
	cacheBytes  int // maxCachedSnapshotBytes; smaller in tests
	updates     map[updateKey]*encodedUpdate
	scopes      map[string]*sharedScope
	snapshots   map[*sharedScope]*cachedSnapshot
	compressor  chunkCompressor
	faults      *faults
}

// sharedScope is a scope that sessions share. It is compared by its address.
type sharedScope struct{ revision.Scope }

type updateKey struct {
	cursor uint64
	scope  *sharedScope
}

// encodedUpdate holds the encoded changes from one revision through another.
type encodedUpdate struct {
	through uint64
	head    uint64 // of the log when it was encoded
	changes int
	frames  []body
	bytes   int
}

func (u *encodedUpdate) empty() bool { return u.changes == 0 }

type cachedSnapshot struct {
	*encodedSnapshot
	encodedAt aspenshed.Nanos
}

func newEncoder(state *revision.State, log *revision.Log, updateBytes int, f *faults) *encoder {
	e := &encoder{state: state, log: log, updateBytes: updateBytes, frameBytes: maxFrameBytes, cacheBytes: maxCachedSnapshotBytes, faults: f,
		scopes: map[string]*sharedScope{}}
	e.reset()
	return e
}

// reset drops everything encoded.
func (e *encoder) reset() {
	e.updates = map[updateKey]*encodedUpdate{}
	e.snapshots = map[*sharedScope]*cachedSnapshot{}
}

// internScope returns the value that all equal scopes share.
func (e *encoder) internScope(s revision.Scope) *sharedScope {
	name := scopeKey(s)
	if known := e.scopes[name]; known != nil {
		return known
	}
	if len(e.scopes) >= maxCachedScopes {
		clear(e.scopes)
		clear(e.snapshots)
	}
	created := &sharedScope{s}
	e.scopes[name] = created
	return created
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

// digestAt returns the scope's digest at a revision that the log still reaches back to: the newest digest without the
// changes since then.
func (e *encoder) digestAt(rev uint64, scope *sharedScope) (revision.Digest, error) {
	changes, err := e.log.Since(rev)
	if err != nil {
		return 0, err
	}
	return e.state.Digest(scope.Scope) - digestDelta(changes, scope.Scope), nil
}

// digestDelta returns the difference that the changes made to the digest of a scope.
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

// update returns the next update of a session from its cursor: through the newest revision, or as many commits as fit
// one update.
func (e *encoder) update(cursor uint64, scope *sharedScope) (*encodedUpdate, error) {
	key := updateKey{cursor, scope}
	if u := e.updates[key]; u != nil && (u.head == e.log.Head() || u.through < u.head) && cursor >= e.log.Oldest() {
		return u, nil
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
	visible, end := e.selectCommits(changes, scope.Scope)
	through := e.log.Head()
	if end < len(changes) {
		through = changes[end-1].Revision
	}
	digest := e.state.Digest(scope.Scope) - digestDelta(changes[end:], scope.Scope)
	u := &encodedUpdate{through: through, head: e.log.Head(), changes: len(visible)}
	u.frames = e.encodeChanges(cursor, through, digest, visible)
	u.bytes = totalSize(u.frames)
	if len(e.updates) >= maxCachedUpdates {
		clear(e.updates)
	}
	e.updates[key] = u
	return u, nil
}

// selectCommits selects whole commits whose changes, projected into the scope and coalesced, fit one update, but at
// least one commit.
func (e *encoder) selectCommits(changes []revision.Change, scope revision.Scope) (visible []revision.Change, end int) {
	bytes := 0
	newest := map[string]int{} // the size of each key's newest change, if it may still be coalesced
	for end < len(changes) {
		next := commitEnd(changes, end)
		first := len(visible)
		for _, c := range changes[end:next] {
			if c, within := scope.Project(c); within {
				visible = append(visible, c)
			}
		}
		for _, c := range visible[first:] {
			size := len(c.Key) + len(c.Value) + recordOverhead
			bytes += size - newest[c.Key]
			if newest[c.Key] = size; c.Binding {
				newest[c.Key] = 0
			}
		}
		if bytes > e.updateBytes && end > 0 {
			visible = visible[:first]
			break
		}
		end = next
	}
	return e.faults.coalesce(visible), end
}

// commitEnd returns the index after the last change of the commit that begins at first.
func commitEnd(changes []revision.Change, first int) int {
	end := first
	for end < len(changes) && changes[end].Revision == changes[first].Revision {
		end++
	}
	return end
}

// snapshot returns the newest snapshot of a scope, or a cached one of the last second that the log reaches back to.
func (e *encoder) snapshot(now aspenshed.Nanos, scope *sharedScope) *encodedSnapshot {
	cached := e.snapshots[scope]
	if cached != nil && cached.revision >= e.log.Oldest() &&
		(cached.revision == e.state.Revision() || now < cached.encodedAt+snapshotReuseInterval) {
		return cached.encodedSnapshot
	}
	cached = &cachedSnapshot{encodedSnapshot: e.encodeSnapshot(scope.Scope), encodedAt: now}
	e.cacheSnapshot(scope, cached)
	return cached.encodedSnapshot
}

// cacheSnapshot caches a scope's snapshot in place of an older one.
func (e *encoder) cacheSnapshot(scope *sharedScope, created *cachedSnapshot) {
	delete(e.snapshots, scope)
	bytes := created.bytes
	for _, other := range e.snapshots {
		bytes += other.bytes
	}
	if bytes > e.cacheBytes {
		clear(e.snapshots)
	}
	e.snapshots[scope] = created
}

// snapshotBytes returns the size of a snapshot of the scope.
func (e *encoder) snapshotBytes(now aspenshed.Nanos, scope *sharedScope) int {
	return e.snapshot(now, scope).bytes
}
