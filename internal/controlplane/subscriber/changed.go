package subscriber

import (
	"sort"
	"strings"
	"sync"

	"aspenshed/internal/controlplane/revision"
)

// maxChangedMembers bounds the changes of members that are remembered; who has not looked for longer reads all members. It is
// seven times the largest rollout that is planned for, 1,105 members.
const maxChangedMembers = 8192

// changedMembers remembers which members the newest updates have changed.
type changedMembers struct {
	mu      sync.Mutex
	since   uint64 // changes after this revision are all there
	entries []changedMember
}

type changedMember struct {
	revision uint64 // of the update that brought it
	id       string
}

// add takes the changes of an update that brought the state to rev.
func (c *changedMembers) add(rev uint64, changes []revision.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range changes {
		if id, isMember := strings.CutPrefix(changes[i].Key, revision.MemberPrefix); isMember {
			c.entries = append(c.entries, changedMember{rev, id})
		}
	}
	if over := len(c.entries) - maxChangedMembers; over > 0 {
		c.since = c.entries[over-1].revision
		c.entries = append(c.entries[:0], c.entries[over:]...)
	}
}

// reset takes note that everything may have changed.
func (c *changedMembers) reset(rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.entries = rev, nil
}

// after returns each member that has changed after a revision once; false: that is no longer known.
func (c *changedMembers) after(rev uint64) (ids []string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev < c.since {
		return nil, false
	}
	first := sort.Search(len(c.entries), func(i int) bool { return c.entries[i].revision > rev })
	seen := map[string]bool{}
	for _, x := range c.entries[first:] {
		if !seen[x.id] {
			seen[x.id] = true
			ids = append(ids, x.id)
		}
	}
	return ids, true
}

// ChangedMembers returns the members that have changed after a revision, each once; false: all may have. It may be
// called within Read.
func (s *Subscriber) ChangedMembers(rev uint64) (ids []string, known bool) {
	return s.changed.after(rev)
}
