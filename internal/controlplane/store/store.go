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
	leaderTimeout     = 2 * time.Second // for the leader to commit a batch
	minJoinDelay      = 200 * time.Millisecond
)

// Store is one replica of the catalog.
type Store struct {
	cfg   Config
	log   *logrus.Entry
	boot  string
	fsm   *catalogFSM
	queue *commandqueue.Queue

	raft      atomic.Pointer[raft.Raft] // nil: standalone, or not yet part of a cluster
	logStore  *checksumStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	caller    Caller

	mu                sync.Mutex // guards the state machines below
	modeMachine       mode.StateMachine
	mode              mode.Mode
	leaseGrantor      *lease.Grantor
	membershipMachine membership.StateMachine
	lastHeartbeatAt   aspenshed.Nanos
	joinAddresses     []string  // services to join through, given by Join
	joinStatus        string    // why this instance is not part of the cluster yet
	warmingVersions   [2]uint64 // catalog versions at which warmingMembers was read
	warmingMembers    []*pb.Member
	lastContactAt     time.Time // last observed contact with a leader

	done      chan struct{} // closed by Close
	wg        sync.WaitGroup
	closeOnce sync.Once
	closers   []func() error
}

// Open starts an instance. It does not wait for other instances: without them it serves its stored state.
func Open(c Config) (s *Store, err error) {
	if problems := c.Validate(); len(problems) > 0 {
		return nil, problems[0]
	}
	c = c.withDefaults()
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	s = &Store{cfg: c, log: c.Log, boot: hex.EncodeToString(boot), done: make(chan struct{}), leaseGrantor: lease.NewGrantor()}
	s.fsm = &catalogFSM{catalog: catalog.New(c.Cluster), cluster: c.Cluster, onChange: c.OnChange, publisher: c.Publisher, onUnknownCommand: func(reason string) {
		s.log.WithField("reason", reason).Warn("store kept a command of a later release without applying it")
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

// withDefaults replaces nil fields.
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

// Submit submits a command, from any instance, and waits for its result.
func (s *Store) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	return s.queue.Submit(c, limit)
}

// Offer queues a command without waiting for it. It replaces a queued command with the same key.
func (s *Store) Offer(key string, c *pb.Command) { s.queue.Offer(key, c) }

// Mode returns the current mode of the instance.
func (s *Store) Mode() mode.Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// ID is the id of this instance.
func (s *Store) ID() string { return s.cfg.ID }

// Boot identifies the current run of this instance; it is new with each start.
func (s *Store) Boot() string { return s.boot }

// Close stops the instance. Its stored state stays on disk.
func (s *Store) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.done)
		if r := s.raft.Load(); r != nil {
			err = r.Shutdown().Error()
		}
		for i := len(s.closers) - 1; i >= 0; i-- {
			if s.closers[i] != nil && i > 0 { // the log store last, once there are no more writers
				err = errors.Join(err, s.closers[i]())
			}
		}
		s.wg.Wait()
		if r := s.raft.Load(); r != nil { // it may have started while the store was closing
			err = errors.Join(err, r.Shutdown().Error())
		}
		if len(s.closers) > 0 {
			err = errors.Join(err, s.closers[0]())
		}
	})
	return err
}
