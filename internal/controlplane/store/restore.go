package store

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
)

// restoreIndexGap is the distance (entries) between the log's end and the index of a restored state: entries appended
// meanwhile must not reach that index, as a revision identifies one state only.
const restoreIndexGap = 1 << 10

// Save writes the catalog of this instance to a file, atomically.
func (s *Store) Save(path string) error {
	var b []byte
	var err error
	s.Read(func(c *catalog.Catalog) { b, err = c.Encode() })
	if err != nil {
		return err
	}
	return writeFileAtomic(path, b)
}

// Restore replaces the catalog of all instances with a saved snapshot of this cluster. It has to be called on the
// leader. The restored state has a revision above all earlier ones.
func (s *Store) Restore(data []byte) error {
	c, err := decodeSnapshot(data, s.cfg.Cluster)
	if err != nil {
		return err
	}
	if s.cfg.Address == "" {
		s.fsm.replaceNext(c)
		return nil
	}
	r := s.raft.Load()
	if r == nil {
		return ErrUnavailable
	}
	if r.State() != raft.Leader {
		_, id := r.LeaderWithID()
		return fmt.Errorf("store: instance %q is the leader: restore there", id)
	}
	before := max(c.Index(), r.LastIndex()) + restoreIndexGap
	c.SetIndex(before + 1) // raft restores the state at one entry after the index in its metadata
	if data, err = c.Encode(); err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data)), Index: before, Term: r.CurrentTerm()}
	return r.Restore(meta, bytes.NewReader(data), 10*time.Second)
}
