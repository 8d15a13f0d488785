package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// machine lets raft drive the catalog.
type machine struct {
	mu      sync.RWMutex
	cat     *catalog.Catalog
	cluster string
	changed func()
	later   func(string) // hears of commands of a later release
}

// Apply carries out one agreed entry. What cannot be read as a batch changes nothing on any replica.
func (m *machine) Apply(l *raft.Log) any {
	b := &pb.Batch{}
	if err := proto.Unmarshal(l.Data, b); err != nil {
		return fmt.Errorf("entry %d is no batch: %w", l.Index, err)
	}
	m.mu.Lock()
	was, _ := m.cat.Later()
	n := len(was)
	results := m.cat.Apply(l.Index, b)
	kept, _ := m.cat.Later()
	m.mu.Unlock()
	if len(kept) > n {
		m.later(results[len(results)-1].Refused)
	}
	m.changed()
	return results
}

// Snapshot freezes the catalog.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, err := m.cat.Encode()
	return frozen(b), err
}

// Restore replaces the catalog, or leaves it as it is where the snapshot is damaged or another cluster's.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	c, err := read(b, m.cluster)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.cat.Adopt(c)
	m.mu.Unlock()
	m.changed()
	return nil
}

// read decodes a snapshot of this cluster.
func read(b []byte, cluster string) (*catalog.Catalog, error) {
	c, err := catalog.Decode(b)
	if err == nil && c.Cluster() != cluster {
		err = fmt.Errorf("snapshot is of cluster %q, this is %q", c.Cluster(), cluster)
	}
	return c, err
}

type frozen []byte

func (f frozen) Persist(sink raft.SnapshotSink) error {
	if _, err := io.Copy(sink, bytes.NewReader(f)); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (frozen) Release() {}
