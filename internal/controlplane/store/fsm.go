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
	"aspenshed/internal/controlplane/revision"
)

// Publisher gets the changes of the log, in log order. Its methods must not block.
type Publisher interface {
	// Publish passes the changes of the entry with index rev; often there are none.
	Publish(rev uint64, changes []revision.Change)
	// Reset passes all distributed records after the whole catalog was replaced.
	Reset(rev uint64, records []revision.Record)
}

// noPublisher is used if no Publisher is configured.
type noPublisher struct{}

func (noPublisher) Publish(uint64, []revision.Change) {}
func (noPublisher) Reset(uint64, []revision.Record)   {}

// catalogFSM is the raft.FSM of the catalog.
type catalogFSM struct {
	applyMu          sync.Mutex // held while applying and publishing, which keeps their order the same
	mu               sync.RWMutex
	catalog          *catalog.Catalog
	cluster          string
	onChange         func()
	onUnknownCommand func(string) // called with a command of a later release
	publisher        Publisher
}

// Apply applies one committed entry. An entry that is no valid batch changes nothing on any replica.
func (m *catalogFSM) Apply(l *raft.Log) any {
	b := &pb.Batch{}
	if err := proto.Unmarshal(l.Data, b); err != nil {
		return fmt.Errorf("entry %d is no batch: %w", l.Index, err)
	}
	return m.apply(b, func() uint64 { return l.Index })
}

// applyNext applies a batch at the next index, for an instance without a log.
func (m *catalogFSM) applyNext(b *pb.Batch) []*pb.Result {
	return m.apply(b, func() uint64 { return m.catalog.Index() + 1 })
}

func (m *catalogFSM) apply(b *pb.Batch, index func() uint64) []*pb.Result {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	at := index()
	was, _ := m.catalog.UnknownCommands()
	n := len(was)
	results := m.catalog.Apply(at, b)
	kept, _ := m.catalog.UnknownCommands()
	changes := m.catalog.TakeChanges()
	m.mu.Unlock()
	if len(kept) > n {
		m.onUnknownCommand(results[len(results)-1].Refused)
	}
	m.publisher.Publish(at, changes)
	m.onChange()
	return results
}

// replace replaces the content with that of another catalog.
func (m *catalogFSM) replace(c *catalog.Catalog) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.install(c)
}

// replaceNext is replace at the next index, for an instance without a log.
func (m *catalogFSM) replaceNext(c *catalog.Catalog) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	c.SetIndex(max(c.Index(), m.catalog.Index()) + 1)
	m.install(c)
}

func (m *catalogFSM) install(c *catalog.Catalog) {
	rev, records := c.Index(), c.Records()
	m.mu.Lock()
	m.catalog.ReplaceWith(c)
	m.mu.Unlock()
	m.publisher.Reset(rev, records)
	m.onChange()
}

// Snapshot encodes the current catalog.
func (m *catalogFSM) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, err := m.catalog.Encode()
	return fsmSnapshot(b), err
}

// Restore replaces the catalog with a snapshot. It changes nothing if the snapshot is corrupt or of another cluster.
func (m *catalogFSM) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	c, err := decodeSnapshot(b, m.cluster)
	if err != nil {
		return err
	}
	m.replace(c)
	return nil
}

// decodeSnapshot decodes a snapshot and checks its cluster.
func decodeSnapshot(b []byte, cluster string) (*catalog.Catalog, error) {
	c, err := catalog.Decode(b)
	if err == nil && c.Cluster() != cluster {
		err = fmt.Errorf("snapshot belongs to cluster %q, this is %q", c.Cluster(), cluster)
	}
	return c, err
}

// fsmSnapshot is an encoded catalog.
type fsmSnapshot []byte

func (f fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := io.Copy(sink, bytes.NewReader(f)); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (fsmSnapshot) Release() {}
