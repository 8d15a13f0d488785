package revision

import (
	"fmt"
	"slices"
	"sort"
)

// CompactedError says that the log no longer reaches back to a revision.
type CompactedError struct {
	Requested uint64
	Oldest    uint64 // the log has all changes after this revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are no longer kept, only those after %d", e.Requested, e.Oldest)
}

// FutureError says that the log has not come as far as a revision.
type FutureError struct {
	Requested uint64
	Head      uint64
}

func (e *FutureError) Error() string {
	return fmt.Sprintf("revision %d is ahead of the log's %d", e.Requested, e.Head)
}

// Log holds the newest changes, as many as fit its bytes. Whoever reads from it only needs to know how far it is.
type Log struct {
	maxBytes int
	bytes    int
	oldest   uint64 // all changes after it are held
	head     uint64
	changes  []Change // in the order of their revisions
}

// changeOverhead is what a change takes in memory beside its key and values: its own struct of 136 bytes, the record
// before it (72) and the rounding up of four pieces of memory.
const changeOverhead = 256

// NewLog holds at most so many bytes, counted by Size.
func NewLog(maxBytes int) *Log { return &Log{maxBytes: maxBytes} }

// ChangeSize is what a change counts for against the log's bound.
func ChangeSize(c *Change) int {
	n := changeOverhead + len(c.Key) + len(c.Value)
	if c.Before != nil {
		n += len(c.Before.Value)
	}
	return n
}

// Append takes the changes of one commit, and drops the oldest commits beyond the bound: a reader gets a commit whole
// or not at all. A commit that alone is larger than the bound leaves the log empty.
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

// compact drops whole commits from the oldest on. What is left moves to memory of its own once half of it is unused.
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

// Reset empties the log; it begins after a revision then.
func (l *Log) Reset(revision uint64) {
	*l = Log{maxBytes: l.maxBytes, oldest: revision, head: revision}
}

// Head is the revision of the newest commit.
func (l *Log) Head() uint64 { return l.head }

// Oldest is the revision after which all changes are held.
func (l *Log) Oldest() uint64 { return l.oldest }

// Bytes is what the changes held count for, at most the bound.
func (l *Log) Bytes() int { return l.bytes }

// LastChange is the revision of the newest change up to a revision. Where the log doesn't hold it any more, it is the
// revision that the log begins after, or the one asked for if that is older still.
func (l *Log) LastChange(revision uint64) uint64 {
	after := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Revision > revision })
	if after == 0 {
		return min(revision, l.oldest)
	}
	return l.changes[after-1].Revision
}

// Since is all changes after a revision, or a CompactedError or FutureError. They belong to the log: they are valid
// until its next Append or Reset and must not be changed.
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
