// Package store replicates the catalog with hashicorp/raft: it forwards commands from any instance to the leader, keeps
// log and snapshots on disk, and adds and removes instances. Decisions are made by the state machines in
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

// The errors that callers distinguish. Only after ErrUnknown may a command have been applied.
var (
	ErrBusy        = commandqueue.ErrBusy
	ErrUnavailable = commandqueue.ErrUnavailable
	ErrUnknown     = commandqueue.ErrUnknown
	ErrClosed      = commandqueue.ErrClosed
	ErrStandalone  = errors.New("store: this instance is standalone and in memory")
)

// CorruptionError reports a corrupt file.
type CorruptionError struct {
	File string
	Err  error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("store: %s is corrupt: %v", e.File, e.Err)
}
func (e *CorruptionError) Unwrap() error { return e.Err }

// Peer is one instance: Address is for replication, Service for calls of other instances.
type Peer struct {
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
}

// Config configures an instance. Without an address it is standalone, in memory, and opens no socket. An instance that
// is not among Peers joins the cluster through them, or through the service given to `store join`.
type Config struct {
	Cluster string `yaml:"cluster"`
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Peers   []Peer `yaml:"peers"`
	DataDir string `yaml:"data_dir"`

	// Duration of slow-start leases, and the slow-start rules at the first start of a cluster.
	LeaseDuration time.Duration `yaml:"lease"`
	NoLeases      bool          `yaml:"no_leases"` // each instance limits warming members by its own measurements only
	ClockBound    float64       `yaml:"clock_bound"`
	MaxInstances  uint32        `yaml:"most_instances"`
	LeasePool     float64       `yaml:"pool"`

	Release string          `yaml:"-"`
	Log     *logrus.Entry   `yaml:"-"` // nil: discard
	Clock   eventloop.Clock `yaml:"-"` // nil: the system clock
	// OnChange is called when the catalog has changed. It must not block.
	OnChange func() `yaml:"-"`
	// Publisher gets the changes of each log entry; nil: none.
	Publisher Publisher `yaml:"-"`
	// RolloutStatus reports how far the subscribers of this instance are with a revision; nil: there are none.
	RolloutStatus func(rev uint64) *pb.RolloutStatus `yaml:"-"`
	// OnCorruption is called on corruption found while the store runs; at the start, Open returns it.
	OnCorruption func(error) `yaml:"-"`
	// ShortTimeouts shortens election timeouts, for tests on loopback.
	ShortTimeouts bool `yaml:"-"`
	// Replaceable for fault injection; nil: TCP, netio and the disk.
	Transport    raft.Transport                    `yaml:"-"`
	Caller       Caller                            `yaml:"-"`
	WrapCaller   func(Caller) Caller               `yaml:"-"` // wraps the Caller
	WrapLogStore func(raft.LogStore) raft.LogStore `yaml:"-"`
}

// FieldError reports a problem of one field.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return fmt.Sprintf("field store.%s: %s", e.Field, e.Problem) }

// Validate returns all problems of the configuration.
func (c Config) Validate() (out []FieldError) {
	add := func(field, format string, a ...any) {
		out = append(out, FieldError{field, fmt.Sprintf(format, a...)})
	}
	if c.Address == "" {
		if len(c.Peers) > 0 || c.DataDir != "" || c.Service != "" {
			add("address", "missing, but peers, service or data_dir are given")
		}
		return out
	}
	for _, f := range []struct{ name, value string }{{"cluster", c.Cluster}, {"id", c.ID}, {"service", c.Service}, {"data_dir", c.DataDir}} {
		if f.value == "" {
			add(f.name, "missing")
		}
	}
	if len(c.Cluster) > maxClusterBytes {
		add("cluster", "%d bytes, %d at most", len(c.Cluster), maxClusterBytes)
	}
	ids, addresses := map[string]bool{}, map[string]bool{}
	for i, p := range c.Peers {
		at := fmt.Sprintf("peers[%d]", i)
		switch {
		case p.ID == "" || p.Address == "" || p.Service == "":
			add(at, "id, address or service missing")
		case ids[p.ID] || addresses[p.Address] || addresses[p.Service] || p.Address == p.Service:
			add(at, "its id or one of its addresses is a duplicate")
		case p.ID == c.ID && (p.Address != c.Address || p.Service != c.Service):
			add(at, "is this instance, with other addresses")
		}
		ids[p.ID], addresses[p.Address], addresses[p.Service] = true, true, true
	}
	if c.LeaseDuration < 0 || c.LeaseDuration > 15*time.Second {
		add("lease", "%v does not lie within 0 and 15s", c.LeaseDuration)
	}
	if c.initialRules() == nil {
		add("pool", "pool, clock_bound or most_instances out of range")
	}
	return out
}

// listsSelf reports whether Peers contains this instance: it may bootstrap a cluster with them.
func (c Config) listsSelf() bool {
	for _, p := range c.Peers {
		if p.ID == c.ID {
			return true
		}
	}
	return false
}

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// initialRules returns the rules for a new cluster; nil: they are invalid.
func (c Config) initialRules() *pb.Rules {
	r := catalog.DefaultRules()
	if c.ClockBound != 0 {
		r.ClockBound = c.ClockBound
	}
	if c.MaxInstances != 0 {
		r.MostInstances = c.MaxInstances
	}
	if c.LeasePool != 0 {
		r.Pool = c.LeasePool
	}
	if catalog.ValidateRules(r) != "" {
		return nil
	}
	return r
}

// InitialRules returns the rules for a new cluster.
func (c Config) InitialRules() *pb.Rules { return c.initialRules() }
