package revision

import (
	"fmt"
	"slices"
	"sort"
)

// CompactedError reports that the log no longer reaches back to a revision.
type CompactedError struct {
	Requested uint64
	Oldest    uint64 // the log has all changes after this revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are no longer kept, only those after %d", e.Requested, e.Oldest)
}

// FutureError reports that a revision is newer than the log's newest one.
type FutureError struct {
	Requested uint64
	Head      uint64
}

func (e *FutureError) Error() string {
	return fmt.Sprintf("revision %d is ahead of the log's %d", e.Requested, e.Head)
}

// Log holds the newest changes, as many as fit its size limit. A reader keeps no state but the revision that it has
// reached.
type Log struct {
	maxBytes int
	bytes    int
	oldest   uint64 // all changes after it are held
	head     uint64
	changes  []Change // in the order of their revisions
}

// changeOverhead is the memory that a change takes in addition to its key and values, in bytes: its own struct (136),
// the previous record (72) and the rounding of four allocations to size classes.
const changeOverhead = 256

// NewLog returns an empty log that holds at most maxBytes, counted by ChangeSize.
func NewLog(maxBytes int) *Log { return &Log{maxBytes: maxBytes} }

// ChangeSize returns the number of bytes that a change counts towards the log's limit.
func ChangeSize(c *Change) int {
	n := changeOverhead + len(c.Key) + len(c.Value)
	if c.Before != nil {
		n += len(c.Before.Value)
	}
	return n
}

// Append adds the changes of one commit, and drops the oldest commits beyond the limit. Commits are dropped as a whole,
// so that a reader never gets a part of one. A commit that is larger than the limit on its own leaves the log empty.
func (l *Log) Append(revision uint64, changes []Change) {
	if revision <= l.head {
		return
	}
	l.head = revision
	for i := range changes {
		l.bytes += ChangeSize(&changes[i])
	}
	l.changes = append(l.changes, changes...)
	l.compact()
}

// compact drops whole commits from the oldest on until the log fits its limit. It reallocates the slice once most of
// its capacity is unused.
func (l *Log) compact() {
	dropped := 0
	for dropped < len(l.changes) && l.bytes > l.maxBytes {
		l.oldest = l.changes[dropped].Revision
		for dropped < len(l.changes) && l.changes[dropped].Revision == l.oldest {
			l.bytes -= ChangeSize(&l.changes[dropped])
			dropped++
		}
	}
	clear(l.changes[:dropped])
	l.changes = l.changes[dropped:]
	if cap(l.changes) > 4*len(l.changes)+1024 {
		l.changes = slices.Clone(l.changes)
	}
}

// Reset empties the log, which then begins after a revision.
func (l *Log) Reset(revision uint64) {
	*l = Log{maxBytes: l.maxBytes, oldest: revision, head: revision}
}

// Head returns the revision of the newest commit.
func (l *Log) Head() uint64 { return l.head }

// Oldest returns the revision after which the log holds all changes.
func (l *Log) Oldest() uint64 { return l.oldest }

// Bytes returns the size of the changes held, counted by ChangeSize; it is at most the limit.
func (l *Log) Bytes() int { return l.bytes }

// LastChange returns the revision of the newest change up to a revision. If the log no longer holds that change, it
// returns the revision that the log begins after, or the requested one if that is older.
func (l *Log) LastChange(revision uint64) uint64 {
	after := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Revision > revision })
	if after == 0 {
		return min(revision, l.oldest)
	}
	return l.changes[after-1].Revision
}

// Since returns all changes after a revision, or a CompactedError or FutureError. The slice belongs to the log: it is
// valid until the next Append or Reset and must not be modified.
func (l *Log) Since(revision uint64) ([]Change, error) {
	if revision < l.oldest {
		return nil, &CompactedError{Requested: revision, Oldest: l.oldest}
	}
	if revision > l.head {
		return nil, &FutureError{Requested: revision, Head: l.head}
	}
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Revision > revision })
	return l.changes[first:len(l.changes):len(l.changes)], nil
}
