// Package store replicates the catalog over hashicorp/raft: it carries commands from any instance to the leader,
// keeps log and snapshots on disk, and takes instances in and out. It decides nothing: that is done in
// internal/controlplane (catalog, membership, mode, lease).
package store

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/dataplane/eventloop"
)

// The errors that callers tell apart. Only after ErrUnknown may a command have been carried out.
var (
	ErrBusy        = commandqueue.ErrBusy
	ErrUnavailable = commandqueue.ErrUnavailable
	ErrUnknown     = commandqueue.ErrUnknown
	ErrClosed      = commandqueue.ErrClosed
	ErrAlone       = errors.New("store: this instance is the only one, in memory")
)

// DamageError says which file is not what was written.
type DamageError struct {
	File   string
	Reason error
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("store: %s is damaged: %v", e.File, e.Reason)
}
func (e *DamageError) Unwrap() error { return e.Reason }

// Peer is one instance: Address takes the replication, Service the commands of the others.
type Peer struct {
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
}

// Config names this instance. Without an address it is the only one, in memory, and opens no socket. An instance that
// Peers does not name joins the others through them, or through what `store join` names.
type Config struct {
	Cluster string `yaml:"cluster"`
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Peers   []Peer `yaml:"peers"`
	DataDir string `yaml:"data_dir"`

	// What a lease of cold capacity lasts, and what cold members are held by, at the first start of a cluster.
	Lease         time.Duration `yaml:"lease"`
	NoLeases      bool          `yaml:"no_leases"` // each instance holds cold members by what it alone has measured
	ClockBound    float64       `yaml:"clock_bound"`
	MostInstances uint32        `yaml:"most_instances"`
	Pool          float64       `yaml:"pool"`

	Release string          `yaml:"-"`
	Log     *logrus.Entry   `yaml:"-"` // nil: nowhere
	Clock   eventloop.Clock `yaml:"-"` // nil: the wall's
	// Changed hears that the catalog has changed. It must not block.
	Changed func() `yaml:"-"`
	// Publisher hears what each entry of the log changes; nil: nobody does.
	Publisher Publisher `yaml:"-"`
	// Rollout counts the subscribers of this instance alone by a revision; nil: it has none.
	Rollout func(rev uint64) *pb.RolloutStatus `yaml:"-"`
	// Damaged hears of damage found while the store runs; at the start it is Open's error.
	Damaged func(error) `yaml:"-"`
	// Quick shortens the time-outs of elections, for tests on loopback.
	Quick bool `yaml:"-"`
	// Seams for faults: nil means TCP, netio and the disk.
	Transport raft.Transport                    `yaml:"-"`
	Caller    Caller                            `yaml:"-"`
	Calls     func(Caller) Caller               `yaml:"-"` // stands before whichever Caller there is
	Logs      func(raft.LogStore) raft.LogStore `yaml:"-"`
}

// FieldError says what is wrong with one field.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return fmt.Sprintf("field store.%s: %s", e.Field, e.Problem) }

// Faults names every field that is wrong.
func (c Config) Faults() (out []FieldError) {
	bad := func(field, format string, a ...any) {
		out = append(out, FieldError{field, fmt.Sprintf(format, a...)})
	}
	if c.Address == "" {
		if len(c.Peers) > 0 || c.DataDir != "" || c.Service != "" {
			bad("address", "missing, but peers, service or data_dir are given")
		}
		return out
	}
	for _, f := range []struct{ name, value string }{{"cluster", c.Cluster}, {"id", c.ID}, {"service", c.Service}, {"data_dir", c.DataDir}} {
		if f.value == "" {
			bad(f.name, "missing")
		}
	}
	if len(c.Cluster) > maxClusterBytes {
		bad("cluster", "%d bytes, %d at most", len(c.Cluster), maxClusterBytes)
	}
	ids, addresses := map[string]bool{}, map[string]bool{}
	for i, p := range c.Peers {
		at := fmt.Sprintf("peers[%d]", i)
		switch {
		case p.ID == "" || p.Address == "" || p.Service == "":
			bad(at, "id, address or service missing")
		case ids[p.ID] || addresses[p.Address] || addresses[p.Service] || p.Address == p.Service:
			bad(at, "its id or one of its addresses is named twice")
		case p.ID == c.ID && (p.Address != c.Address || p.Service != c.Service):
			bad(at, "is this instance, with other addresses")
		}
		ids[p.ID], addresses[p.Address], addresses[p.Service] = true, true, true
	}
	if c.Lease < 0 || c.Lease > 15*time.Second {
		bad("lease", "%v does not lie within 0 and 15s", c.Lease)
	}
	if c.rules() == nil {
		bad("pool", "pool, clock_bound or most_instances out of range")
	}
	return out
}

// named tells whether the peers name this instance: then it may begin a cluster with them.
func (c Config) named() bool {
	for _, p := range c.Peers {
		if p.ID == c.ID {
			return true
		}
	}
	return false
}

func discard() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// rules are those that a new cluster begins with; nil: they are none.
func (c Config) rules() *pb.Rules {
	r := catalog.DefaultRules()
	if c.ClockBound != 0 {
		r.ClockBound = c.ClockBound
	}
	if c.MostInstances != 0 {
		r.MostInstances = c.MostInstances
	}
	if c.Pool != 0 {
		r.Pool = c.Pool
	}
	if catalog.CheckRules(r) != "" {
		return nil
	}
	return r
}

// Rules are those that a new cluster begins with, by this configuration.
func (c Config) Rules() *pb.Rules { return c.rules() }
