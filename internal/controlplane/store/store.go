package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"aspenshed"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/lease"
	"aspenshed/internal/controlplane/membership"
	"aspenshed/internal/controlplane/mode"
	"aspenshed/internal/dataplane/eventloop"
)

const (
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = aspenshed.Nanos(2e9)
	leaderTimeout     = 2 * time.Second // for the leader to carry a batch out
	minJoinDelay      = 200 * time.Millisecond
)

// Store is one instance of the replicated catalog.
type Store struct {
	cfg   Config
	log   *logrus.Entry
	boot  string
	fsm   *catalogFSM
	queue *commandqueue.Queue

	raft      atomic.Pointer[raft.Raft] // nil: alone, or not yet part of a cluster
	logStore  *checksumStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	caller    Caller

	mu                sync.Mutex // guards the deciders below
	modeMachine       mode.StateMachine
	mode              mode.Mode
	leaseGrantor      *lease.Grantor
	membershipMachine membership.StateMachine
	lastHeartbeatAt   aspenshed.Nanos
	joinAddresses     []string  // services to join through, named by hand
	joinStatus        string    // this instance is not in yet
	warmingVersions   [2]uint64 // the catalog's versions that cold was taken at
	warmingMembers    []*pb.Member
	lastContactAt     time.Time // last contact with a leader that was taken note of

	done      chan struct{} // closed at the end
	wg        sync.WaitGroup
	closeOnce sync.Once
	closers   []func() error
}

// Open starts an instance. It waits for nobody: until others are there it serves what it has.
func Open(c Config) (s *Store, err error) {
	if faults := c.Validate(); len(faults) > 0 {
		return nil, faults[0]
	}
	c = c.withDefaults()
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	s = &Store{cfg: c, log: c.Log, boot: hex.EncodeToString(boot), done: make(chan struct{}), leaseGrantor: lease.NewGrantor()}
	s.fsm = &catalogFSM{catalog: catalog.New(c.Cluster), cluster: c.Cluster, onChange: c.OnChange, publisher: c.Publisher, onUnknownCommand: func(what string) {
		s.log.WithField("reason", what).Warn("store keeps a command of a later release")
	}}
	s.queue = commandqueue.New(s.origin(), s.submitToLeader, s.done)
	if c.Address != "" {
		if err := s.openReplica(); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	} else {
		s.mode = mode.Standalone
	}
	s.spawn(s.queue.Run)
	s.spawn(s.runTicks)
	return s, nil
}

// withDefaults fills in what is nil.
func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = discardLogger()
	}
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	if c.Publisher == nil {
		c.Publisher = noPublisher{}
	}
	if c.OnCorruption == nil {
		c.OnCorruption = func(error) {}
	}
	return c
}

func (s *Store) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Store) origin() string { return s.cfg.ID + "/" + s.boot }

// Submit has a command carried out, from whichever instance, and waits for its result.
func (s *Store) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	return s.queue.Submit(c, limit)
}

// Offer has a command carried out some time; a later one with the same key takes the place of one that still waits.
func (s *Store) Offer(key string, c *pb.Command) { s.queue.Offer(key, c) }

// Mode is the instance's mode as last decided.
func (s *Store) Mode() mode.Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// ID and Boot name this instance and its present run.
func (s *Store) ID() string { return s.cfg.ID }

// Boot is new with each start.
func (s *Store) Boot() string { return s.boot }

// Close stops the instance. What it has written stays on disk.
func (s *Store) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.done)
		if r := s.raft.Load(); r != nil {
			err = r.Shutdown().Error()
		}
		for i := len(s.closers) - 1; i >= 0; i-- {
			if s.closers[i] != nil && i > 0 { // the disk last, once nobody writes any more
				err = errors.Join(err, s.closers[i]())
			}
		}
		s.wg.Wait()
		if r := s.raft.Load(); r != nil { // one that started while this was closing
			err = errors.Join(err, r.Shutdown().Error())
		}
		if len(s.closers) > 0 {
			err = errors.Join(err, s.closers[0]())
		}
	})
	return err
}
