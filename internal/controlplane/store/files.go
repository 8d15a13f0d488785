package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
)

const (
	logFile           = "raft.db"
	identityFile      = "identity.json"
	diskFormat        = 1
	retainedSnapshots = 2
)

var errChecksum = errors.New("checksum mismatch")

// identity records which cluster and instance a data directory belongs to, so that no other uses it.
type identity struct {
	Format  int    `json:"format"`
	Cluster string `json:"cluster"`
	ID      string `json:"id"`
}

func checkIdentity(c Config) error {
	path := filepath.Join(c.DataDir, identityFile)
	want := identity{diskFormat, c.Cluster, c.ID}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		data, _ = json.Marshal(want)
		return writeFileAtomic(path, data)
	}
	if err != nil {
		return err
	}
	var stored identity
	if err := json.Unmarshal(data, &stored); err != nil {
		return &CorruptionError{path, err}
	}
	if stored.Format > diskFormat {
		return fmt.Errorf("store: %s has format %d, this release reads %d at most", path, stored.Format, diskFormat)
	}
	if stored != want {
		return fmt.Errorf("store: %s belongs to instance %q of cluster %q, this is %q of %q", path, stored.ID, stored.Cluster, c.ID, c.Cluster)
	}
	return nil
}

// writeFileAtomic replaces a file atomically, also across a crash.
func writeFileAtomic(path string, data []byte) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// checksumStore is the log store and stable store with checksums on all entries and values: bolt checks its page
// headers only.
type checksumStore struct {
	raft.LogStore
	stable       raft.StableStore
	file         string
	log          *logrus.Entry
	onCorruption func(error)
	writeFailing atomic.Bool
}

func logChecksum(l *raft.Log) []byte {
	b := make([]byte, 0, 17+len(l.Data))
	b = binary.BigEndian.AppendUint64(b, l.Index)
	b = binary.BigEndian.AppendUint64(b, l.Term)
	b = append(append(b, byte(l.Type)), l.Data...)
	return binary.BigEndian.AppendUint32(nil, catalog.Checksum(b))
}

// GetLog returns an error for a corrupt entry: it must neither be applied nor replicated.
func (d *checksumStore) GetLog(index uint64, l *raft.Log) error {
	if err := d.LogStore.GetLog(index, l); err != nil {
		return err
	}
	if string(l.Extensions) != string(logChecksum(l)) || l.Index != index {
		err := &CorruptionError{d.file, fmt.Errorf("entry %d: %w", index, errChecksum)}
		d.onCorruption(err)
		return err
	}
	l.Extensions = nil
	return nil
}

// StoreLog stores one entry.
func (d *checksumStore) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries with their checksums. A write failure is logged once, and so is its end.
func (d *checksumStore) StoreLogs(logs []*raft.Log) error {
	summed := make([]*raft.Log, len(logs))
	for i, l := range logs {
		x := *l
		x.Extensions = logChecksum(l)
		summed[i] = &x
	}
	err := d.LogStore.StoreLogs(summed)
	d.recordWriteResult(err)
	return err
}

func (d *checksumStore) recordWriteResult(err error) {
	switch {
	case err != nil && !d.writeFailing.Swap(true):
		d.log.WithField("file", d.file).WithError(err).Error("store cannot write to disk; this instance does not vote until it can")
	case err == nil && d.writeFailing.Swap(false):
		d.log.WithField("file", d.file).Info("store can write to disk again")
	}
}

// Set stores a value with its checksum: a lost or altered vote could be cast twice.
func (d *checksumStore) Set(k, v []byte) error {
	err := d.stable.Set(k, binary.BigEndian.AppendUint32(append([]byte(nil), v...), catalog.Checksum(v)))
	d.recordWriteResult(err)
	return err
}

// Get returns a value stored by Set.
func (d *checksumStore) Get(k []byte) ([]byte, error) {
	b, err := d.stable.Get(k)
	if err != nil || len(b) == 0 {
		return b, err
	}
	n := len(b) - 4
	if n < 0 || binary.BigEndian.Uint32(b[n:]) != catalog.Checksum(b[:n]) {
		err := &CorruptionError{d.file, fmt.Errorf("%s: %w", k, errChecksum)}
		d.onCorruption(err)
		return nil, err
	}
	return b[:n], nil
}

// SetUint64 stores a number.
func (d *checksumStore) SetUint64(k []byte, v uint64) error {
	return d.Set(k, binary.BigEndian.AppendUint64(nil, v))
}

// GetUint64 returns a number stored by SetUint64.
func (d *checksumStore) GetUint64(k []byte) (uint64, error) {
	b, err := d.Get(k)
	if err != nil || len(b) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(b), nil
}

// openChecksumStore opens the log and reads all of it, so that corruption stops the instance now rather than as the
// leader.
func openChecksumStore(c Config, damaged func(error)) (d *checksumStore, close func() error, err error) {
	path := filepath.Join(c.DataDir, logFile)
	// On a truncated file, bolt reads beyond its end, which causes a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			d, err = nil, &CorruptionError{path, fmt.Errorf("%v", p)}
		}
	}()
	bolt, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		return nil, nil, &CorruptionError{path, err}
	}
	var logs raft.LogStore = bolt
	if c.WrapLogStore != nil {
		logs = c.WrapLogStore(bolt)
	}
	d = &checksumStore{LogStore: logs, stable: bolt, file: path, log: c.Log, onCorruption: func(error) {}}
	if err := d.verify(); err != nil {
		return nil, nil, errors.Join(err, bolt.Close())
	}
	d.onCorruption = damaged
	return d, bolt.Close, nil
}

func (d *checksumStore) verify() error {
	first, err := d.FirstIndex()
	if err != nil {
		return &CorruptionError{d.file, err}
	}
	last, err := d.LastIndex()
	if err != nil {
		return &CorruptionError{d.file, err}
	}
	for i := first; i <= last && i > 0; i++ {
		var l raft.Log
		if err := d.GetLog(i, &l); err != nil {
			var corrupt *CorruptionError
			if errors.As(err, &corrupt) {
				return err
			}
			return &CorruptionError{d.file, fmt.Errorf("entry %d: %w", i, err)}
		}
	}
	for _, k := range []string{"CurrentTerm", "LastVoteTerm", "LastVoteCand"} {
		if _, err := d.Get([]byte(k)); err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
			return err
		}
	}
	return nil
}

// verifySnapshots reads every snapshot: raft would skip a corrupt one for an older one and lose the entries in between.
func verifySnapshots(c Config, snaps raft.SnapshotStore) error {
	list, err := snaps.List()
	if err != nil {
		return &CorruptionError{filepath.Join(c.DataDir, "snapshots"), err}
	}
	entries, err := os.ReadDir(filepath.Join(c.DataDir, "snapshots"))
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, m := range list {
		known[m.ID] = true
		path := filepath.Join(c.DataDir, "snapshots", m.ID)
		_, r, err := snaps.Open(m.ID)
		if err != nil {
			return &CorruptionError{path, err}
		}
		b, err := io.ReadAll(r)
		if err = errors.Join(err, r.Close()); err != nil {
			return &CorruptionError{path, err}
		}
		if _, err := decodeSnapshot(b, c.Cluster); errors.Is(err, catalog.ErrCorrupt) {
			return &CorruptionError{path, err}
		} else if err != nil {
			return fmt.Errorf("store: %s: %w", path, err)
		}
	}
	for _, e := range entries { // a snapshot with unreadable metadata is not listed; incomplete ones end in .tmp
		if e.IsDir() && !known[e.Name()] && filepath.Ext(e.Name()) != ".tmp" && len(list) < retainedSnapshots {
			return &CorruptionError{filepath.Join(c.DataDir, "snapshots", e.Name()), errors.New("its metadata is unreadable")}
		}
	}
	return nil
}
