package subscriber

import (
	"sort"
	"strings"
	"sync"

	"aspenshed/internal/controlplane/revision"
)

// maxChanged bounds the changes of members that are remembered; who has not looked for longer reads all members. It is
// seven times the largest rollout that is planned for, 1,105 members.
const maxChanged = 8192

// changedMembers remembers which members the newest updates have changed.
type changedMembers struct {
	mu    sync.Mutex
	since uint64 // changes after this revision are all there
	list  []changedMember
}

type changedMember struct {
	revision uint64 // of the update that brought it
	id       string
}

// note takes the changes of an update that brought the state to rev.
func (c *changedMembers) note(rev uint64, changes []revision.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range changes {
		if id, isMember := strings.CutPrefix(changes[i].Key, revision.MemberPrefix); isMember {
			c.list = append(c.list, changedMember{rev, id})
		}
	}
	if over := len(c.list) - maxChanged; over > 0 {
		c.since = c.list[over-1].revision
		c.list = append(c.list[:0], c.list[over:]...)
	}
}

// reset takes note that everything may have changed.
func (c *changedMembers) reset(rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.list = rev, nil
}

// after returns each member that has changed after a revision once; false: that is no longer known.
func (c *changedMembers) after(rev uint64) (ids []string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev < c.since {
		return nil, false
	}
	first := sort.Search(len(c.list), func(i int) bool { return c.list[i].revision > rev })
	seen := map[string]bool{}
	for _, x := range c.list[first:] {
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
