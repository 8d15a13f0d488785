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
	ErrStandalone  = errors.New("store: this instance is the only one, in memory")
)

// CorruptionError says which file is not what was written.
type CorruptionError struct {
	File string
	Err  error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("store: %s is damaged: %v", e.File, e.Err)
}
func (e *CorruptionError) Unwrap() error { return e.Err }

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
	LeaseDuration time.Duration `yaml:"lease"`
	NoLeases      bool          `yaml:"no_leases"` // each instance holds cold members by what it alone has measured
	ClockBound    float64       `yaml:"clock_bound"`
	MaxInstances  uint32        `yaml:"most_instances"`
	LeasePool     float64       `yaml:"pool"`

	Release string          `yaml:"-"`
	Log     *logrus.Entry   `yaml:"-"` // nil: nowhere
	Clock   eventloop.Clock `yaml:"-"` // nil: the wall's
	// OnChange hears that the catalog has changed. It must not block.
	OnChange func() `yaml:"-"`
	// Publisher hears what each entry of the log changes; nil: nobody does.
	Publisher Publisher `yaml:"-"`
	// RolloutStatus counts the subscribers of this instance alone by a revision; nil: it has none.
	RolloutStatus func(rev uint64) *pb.RolloutStatus `yaml:"-"`
	// OnCorruption hears of damage found while the store runs; at the start it is Open's error.
	OnCorruption func(error) `yaml:"-"`
	// ShortTimeouts shortens the time-outs of elections, for tests on loopback.
	ShortTimeouts bool `yaml:"-"`
	// Seams for faults: nil means TCP, netio and the disk.
	Transport    raft.Transport                    `yaml:"-"`
	Caller       Caller                            `yaml:"-"`
	WrapCaller   func(Caller) Caller               `yaml:"-"` // stands before whichever Caller there is
	WrapLogStore func(raft.LogStore) raft.LogStore `yaml:"-"`
}

// FieldError says what is wrong with one field.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return fmt.Sprintf("field store.%s: %s", e.Field, e.Problem) }

// Validate names every field that is wrong.
func (c Config) Validate() (out []FieldError) {
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
	if c.LeaseDuration < 0 || c.LeaseDuration > 15*time.Second {
		bad("lease", "%v does not lie within 0 and 15s", c.LeaseDuration)
	}
	if c.initialRules() == nil {
		bad("pool", "pool, clock_bound or most_instances out of range")
	}
	return out
}

// listsSelf tells whether the peers name this instance: then it may begin a cluster with them.
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

// initialRules are those that a new cluster begins with; nil: they are none.
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

// InitialRules are those that a new cluster begins with, by this configuration.
func (c Config) InitialRules() *pb.Rules { return c.initialRules() }
