package store

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
)

// restoreIndexGap is how far beyond the log's end (entries) a restored state is put: entries that are appended meanwhile must
// not reach it, as a revision belongs to one state only.
const restoreIndexGap = 1 << 10

// Save writes the catalog as it is here; atomically.
func (s *Store) Save(path string) error {
	var b []byte
	var err error
	s.Read(func(c *catalog.Catalog) { b, err = c.Encode() })
	if err != nil {
		return err
	}
	return writeFileAtomic(path, b)
}

// Restore has all instances hold what a file says. Only the leader takes it, and only a whole file of this cluster. What
// they hold then has a revision above all earlier ones.
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
		return fmt.Errorf("store: %q leads: restore there", id)
	}
	before := max(c.Index(), r.LastIndex()) + restoreIndexGap
	c.SetIndex(before + 1) // raft puts the restored state one entry after the index that it is told
	if data, err = c.Encode(); err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data)), Index: before, Term: r.CurrentTerm()}
	return r.Restore(meta, bytes.NewReader(data), 10*time.Second)
}
