package subscriber

import (
	"sort"
	"strings"
	"sync"

	"aspenshed/internal/controlplane/revision"
)

// maxChangedMembers bounds the recorded changes of members; a reader that falls further behind reads all members. It is
// seven times the largest planned rollout, 1,105 members.
const maxChangedMembers = 8192

// changedMembers records which members the newest updates have changed.
type changedMembers struct {
	mu      sync.Mutex
	since   uint64 // all changes after this revision are recorded
	entries []changedMember
}

type changedMember struct {
	revision uint64 // of the update with the change
	id       string
}

// add records the changes of an update that advanced the state to rev.
func (c *changedMembers) add(rev uint64, changes []revision.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range changes {
		if id, isMember := strings.CutPrefix(changes[i].Key, revision.MemberPrefix); isMember {
			c.entries = append(c.entries, changedMember{rev, id})
		}
	}
	if excess := len(c.entries) - maxChangedMembers; excess > 0 {
		c.since = c.entries[excess-1].revision
		c.entries = append(c.entries[:0], c.entries[excess:]...)
	}
}

// reset records that any member may have changed.
func (c *changedMembers) reset(rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.entries = rev, nil
}

// after returns the members that have changed after a revision, without duplicates. It reports false if this is no
// longer known.
func (c *changedMembers) after(rev uint64) (ids []string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev < c.since {
		return nil, false
	}
	first := sort.Search(len(c.entries), func(i int) bool { return c.entries[i].revision > rev })
	seen := map[string]bool{}
	for _, entry := range c.entries[first:] {
		if !seen[entry.id] {
			seen[entry.id] = true
			ids = append(ids, entry.id)
		}
	}
	return ids, true
}

// ChangedMembers returns the members that have changed after a revision, without duplicates. It reports false if any
// member may have changed. It may be called within Read.
func (s *Subscriber) ChangedMembers(rev uint64) (ids []string, known bool) {
	return s.changed.after(rev)
}
