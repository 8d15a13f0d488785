package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
)

// newFilledConfig returns the configuration of a closed instance whose data directory has a log and snapshots.
func newFilledConfig(t *testing.T) Config {
	c := newCluster(t, "a")
	for i := range 200 {
		c.put("a", fmt.Sprint("k", i), "value")
	}
	c.waitFor("a snapshot", func() bool {
		l, err := c.nodes["a"].store.snapshots.List()
		return err == nil && len(l) > 0
	})
	c.kill("a")
	return c.nodes["a"].cfg
}

func copyDataDir(t *testing.T, cfg Config) Config {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(cfg.DataDir)); err != nil {
		t.Fatal(err)
	}
	cfg.DataDir = dir
	return cfg
}

// Corruption of any file is an error of Open that names the file.
func TestCorruptFilesStopInstance(t *testing.T) {
	cfg := newFilledConfig(t)
	for _, x := range []struct {
		name, file string
		damage     func(path string) error
	}{
		{"one byte of a log entry", logFile, func(path string) error {
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				return err
			}
			defer db.Close()
			return db.Update(func(tx *bbolt.Tx) error {
				b := tx.Bucket([]byte("logs"))
				cur := b.Cursor()
				k, v := cur.Last()
				for !bytes.Contains(v, []byte("value")) { // the entries after it are commands of the store itself
					k, v = cur.Prev()
				}
				v = bytes.Clone(v)
				v[bytes.Index(v, []byte("value"))] ^= 1
				return b.Put(k, v)
			})
		}},
		{"truncated log", logFile, func(path string) error { return os.Truncate(path, 9000) }},
		{"one byte of a snapshot", "state.bin", func(path string) error {
			b, err := os.ReadFile(path)
			if err == nil {
				b[len(b)/2] ^= 1
				err = os.WriteFile(path, b, 0o600)
			}
			return err
		}},
		{"truncated snapshot", "state.bin", func(path string) error { return os.Truncate(path, 40) }},
		{"metadata of a snapshot", "meta.json", func(path string) error { return os.WriteFile(path, []byte("{"), 0o600) }},
		{"identity file", identityFile, func(path string) error { return os.WriteFile(path, []byte("?"), 0o600) }},
	} {
		bad := copyDataDir(t, cfg)
		hit := 0
		err := filepath.WalkDir(bad.DataDir, func(path string, d os.DirEntry, err error) error {
			if err == nil && d.Name() == x.file {
				hit++
				err = x.damage(path)
			}
			return err
		})
		if err != nil || hit == 0 {
			t.Fatalf("%s: %v, %d files", x.name, err, hit)
		}
		s, err := Open(bad)
		var de *CorruptionError
		if !errors.As(err, &de) || !strings.Contains(de.File, bad.DataDir) {
			t.Errorf("%s: %v", x.name, err)
		}
		if err == nil {
			_ = s.Close()
		}
	}
	other := copyDataDir(t, cfg)
	other.Cluster = "another"
	if _, err := Open(other); err == nil || !strings.Contains(err.Error(), `cluster "t"`) {
		t.Errorf("data directory of another cluster: %v", err)
	}
	// Killed during a snapshot: the incomplete snapshot is ignored.
	incomplete := copyDataDir(t, cfg)
	if err := os.MkdirAll(filepath.Join(incomplete.DataDir, "snapshots", "9-9-9.tmp"), 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := Open(incomplete)
	if err != nil {
		t.Fatal(err)
	}
	if getValue(s, "k3") != "value" {
		t.Error("the stored value is missing")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
