package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"aspenshed"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/lease"
	"aspenshed/internal/controlplane/membership"
	"aspenshed/internal/controlplane/mode"
	"aspenshed/internal/dataplane/eventloop"
)

const (
	tickEvery   = 100 * time.Millisecond
	beatEvery   = aspenshed.Nanos(2e9)
	leaderLimit = 2 * time.Second // for the leader to carry a batch out
	askPeers    = 200 * time.Millisecond
)

// Store is one instance of the replicated catalog.
type Store struct {
	cfg  Config
	log  *logrus.Entry
	boot string
	m    *machine
	q    *commandqueue.Queue

	raft   atomic.Pointer[raft.Raft] // nil: alone, or not yet part of a cluster
	disk   *disk
	snaps  raft.SnapshotStore
	trans  raft.Transport
	caller Caller

	mu       sync.Mutex // guards the deciders below
	modes    mode.Machine
	mode     mode.Mode
	grants   *lease.Grantor
	changes  membership.Machine
	lastBeat aspenshed.Nanos
	through  []string  // services to join through, named by hand
	why      string    // this instance is not in yet
	coldAt   [2]uint64 // the catalog's versions that cold was taken at
	cold     []*pb.Member
	seen     time.Time // last contact with a leader that was taken note of

	ctx   chan struct{} // closed at the end
	wg    sync.WaitGroup
	once  sync.Once
	close []func() error
}

// Open starts an instance. It waits for nobody: until others are there it serves what it has.
func Open(c Config) (s *Store, err error) {
	if faults := c.Faults(); len(faults) > 0 {
		return nil, faults[0]
	}
	if c.Log == nil {
		c.Log = discard()
	}
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	if c.Publisher == nil {
		c.Publisher = nobody{}
	}
	if c.Damaged == nil {
		c.Damaged = func(error) {}
	}
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	s = &Store{cfg: c, log: c.Log, boot: hex.EncodeToString(boot), ctx: make(chan struct{}), grants: lease.NewGrantor()}
	s.m = &machine{cat: catalog.New(c.Cluster), cluster: c.Cluster, changed: c.Changed, publisher: c.Publisher, later: func(what string) {
		s.log.WithField("reason", what).Warn("store keeps a command of a later release")
	}}
	s.q = commandqueue.New(s.origin(), s.carry, s.ctx)
	if c.Address != "" {
		if err := s.openReplica(); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	} else {
		s.mode = mode.Alone
	}
	s.spawn(s.q.Run)
	s.spawn(s.ticks)
	return s, nil
}

func (s *Store) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Store) origin() string { return s.cfg.ID + "/" + s.boot }

func (s *Store) openReplica() (err error) {
	if err := os.MkdirAll(s.cfg.DataDir, 0o700); err != nil {
		return err
	}
	if err := checkIdentity(s.cfg); err != nil {
		return err
	}
	disk, closeDisk, err := openDisk(s.cfg, func(err error) {
		s.log.WithError(err).Error("store stops: what it holds is damaged")
		s.cfg.Damaged(err)
	})
	if err != nil {
		return err
	}
	s.disk = disk
	s.close = append(s.close, closeDisk)
	files, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.DataDir, keepSnaps, s.hclog())
	if err != nil {
		return err
	}
	s.snaps = files
	if err := checkSnapshots(s.cfg, files); err != nil {
		return err
	}
	if s.trans = s.cfg.Transport; s.trans == nil {
		t, err := newTransport(s.cfg, s.hclog())
		if err != nil {
			return err
		}
		s.trans = t
		s.close = append(s.close, t.Close)
	}
	if s.caller = s.cfg.Caller; s.caller == nil {
		v, err := newService(s)
		if err != nil {
			return err
		}
		s.caller = v
		s.close = append(s.close, v.stop)
	}
	if s.cfg.Calls != nil {
		s.caller = s.cfg.Calls(s.caller)
	}
	has, err := raft.HasExistingState(disk, disk, s.snaps)
	if err != nil {
		return err
	}
	if has {
		if err := s.startRaft(); err != nil {
			return err
		}
	}
	s.spawn(func() { s.enter(!has) })
	return nil
}

func (s *Store) hclog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines{s.log}, DisableTime: true})
}

// lines hands the library's lines to our log; what it calls an error is nothing that staff can act on by itself.
type lines struct{ log *logrus.Entry }

func (l lines) Write(b []byte) (int, error) {
	l.log.WithField("raft", string(b[:max(len(b)-1, 0)])).Debug("store library")
	return len(b), nil
}

func (s *Store) raftConfig() *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger, rc.ShutdownOnRemove = raft.ServerID(s.cfg.ID), s.hclog(), false
	// Heartbeats and beats write all day: snapshots keep log and restart short.
	rc.SnapshotThreshold, rc.TrailingLogs, rc.SnapshotInterval = 1024, 1024, 10*time.Second
	if s.cfg.Quick {
		rc.SnapshotThreshold, rc.TrailingLogs, rc.SnapshotInterval = 64, 64, 50*time.Millisecond
		rc.HeartbeatTimeout, rc.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		rc.LeaderLeaseTimeout, rc.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
	}
	return rc
}

func (s *Store) startRaft() error {
	r, err := raft.NewRaft(s.raftConfig(), s.m, s.disk, s.disk, s.snaps, s.trans)
	if err == nil {
		s.raft.Store(r)
	}
	return err
}

// ticks drive the deciders until the end.
func (s *Store) ticks() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-s.ctx:
			return
		case <-t.C:
			s.tick(s.cfg.Clock.Now())
		}
	}
}

// tick looks at the mode, at leases that have run out, and tells the others that this instance is there.
func (s *Store) tick(now aspenshed.Nanos) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.look()
	m, changed := s.modes.Step(now, seen)
	s.mode = m
	if changed {
		s.log.WithField("mode", m.String()).Info("store mode")
		s.cfg.Changed()
	}
	var fresh bool
	var rules *pb.Rules
	s.Read(func(c *catalog.Catalog) {
		members, _, leases := c.Versions()
		if v := [2]uint64{members, leases}; v != s.coldAt { // thousands of members are not looked at at each tick
			s.coldAt, s.cold = v, c.ColdMembers()
		}
		fresh, rules = c.Index() > 0 && !c.RulesSet(), c.Rules()
	})
	for _, c := range s.grants.Step(now, seen.Leads || seen.Alone, s.cold, rules) {
		s.q.Offer(fmt.Sprint("grant ", c), c)
	}
	if r := s.cfg.rules(); fresh && seen.Leads && r != nil {
		s.q.Offer("rules", &pb.Command{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{Rules: r}}})
	}
	if m != mode.Alone && m != mode.CutOff && (now >= s.lastBeat+beatEvery || changed) {
		s.lastBeat = now
		s.q.Offer("beat", &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: s.cfg.ID, Boot: s.boot,
			Service: s.cfg.Service, Release: s.cfg.Release, Mode: m.String()}}})
	}
}

// look is what there is to see of the others. Only tick calls it.
func (s *Store) look() (x mode.Seen) {
	r := s.raft.Load()
	if s.cfg.Address == "" {
		return mode.Seen{Alone: true}
	}
	if r == nil {
		return x
	}
	x.Leads, x.Applied, x.Commit = r.State() == raft.Leader, r.AppliedIndex(), r.CommitIndex()
	last := r.LastContact()
	x.Contact = x.Leads || last.After(s.seen) // raft stamps it at each message of a leader
	s.seen = last
	x.Voter = s.votes(r)
	return x
}

// votes tells whether this instance is a voter, as far as it knows.
func (s *Store) votes(r *raft.Raft) bool {
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(v raft.Server) bool {
		return string(v.ID) == s.cfg.ID && v.Suffrage == raft.Voter
	})
}

// Read looks at what this instance has applied. f must not keep what it sees nor change it.
func (s *Store) Read(f func(*catalog.Catalog)) {
	s.m.mu.RLock()
	defer s.m.mu.RUnlock()
	f(s.m.cat)
}

// ReadLatest looks at a state that holds all that had been agreed when it was called.
func (s *Store) ReadLatest(limit time.Duration, f func(*catalog.Catalog)) error {
	if s.cfg.Address == "" {
		s.Read(f)
		return nil
	}
	end := time.Now().Add(limit)
	index := uint64(0)
	for wait := commandqueue.MinRetryDelay; ; wait = min(2*wait, commandqueue.MaxRetryDelay) {
		r, err := s.askLeader(&pb.Call{Body: &pb.Call_ReadIndex{ReadIndex: &pb.ReadIndex{}}}, time.Until(end))
		if err == nil && r.Refused == "" {
			index = r.Index
			break
		}
		if !s.pause(wait) {
			return ErrClosed
		}
		if time.Now().After(end) {
			return ErrUnavailable
		}
	}
	for { // it is here within a round of heartbeats
		there := false
		s.Read(func(c *catalog.Catalog) {
			if there = c.Index() >= index; there {
				f(c)
			}
		})
		if there {
			return nil
		}
		if time.Now().After(end) {
			return ErrUnavailable
		}
		if !s.pause(time.Millisecond) {
			return ErrClosed
		}
	}
}

func (s *Store) pause(d time.Duration) bool {
	select {
	case <-s.ctx:
		return false
	case <-time.After(d):
		return true
	}
}

// Submit has a command carried out, from whichever instance, and waits for its result.
func (s *Store) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	return s.q.Submit(c, limit)
}

// Offer has a command carried out some time; a later one with the same key takes the place of one that still waits.
func (s *Store) Offer(key string, c *pb.Command) { s.q.Offer(key, c) }

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

// Status is what there is to tell of an instance.
type Status struct {
	Cluster   string           `json:"cluster"`
	ID        string           `json:"id"`
	Mode      string           `json:"mode"`
	Leader    string           `json:"leader"`
	Term      uint64           `json:"term"`
	Applied   uint64           `json:"applied"`
	Commit    uint64           `json:"commit"`
	Inventory uint64           `json:"inventory"`
	Config    uint64           `json:"configuration"`
	Waiting   int              `json:"waiting"`
	Digest    string           `json:"digest"`
	Counts    map[string]int   `json:"counts"`
	Servers   []StatusInstance `json:"servers"`
	Later     int              `json:"later"`
}

// StatusInstance is one instance of the configuration.
type StatusInstance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Voter   bool   `json:"voter"`
	Mode    string `json:"mode"`
	Release string `json:"release"`
	Beat    int64  `json:"beat_unix_ms"`
}

// Status tells how this instance stands.
func (s *Store) Status() Status {
	out := Status{Cluster: s.cfg.Cluster, ID: s.cfg.ID, Mode: s.Mode().String(), Waiting: s.q.Waiting()}
	known := map[string]*pb.Instance{}
	s.Read(func(c *catalog.Catalog) {
		d, _ := c.Digest()
		later, _ := c.Later()
		out.Config = c.Config().GetVersion()
		out.Inventory, out.Digest, out.Counts, out.Later = c.Inventory(), fmt.Sprintf("%016x", d), c.Counts(), len(later)
		for _, x := range c.Instances() {
			known[x.Id] = proto.Clone(x).(*pb.Instance) // the next beat changes the record
		}
	})
	r := s.raft.Load()
	if r == nil {
		return out
	}
	_, id := r.LeaderWithID()
	out.Leader, out.Term, out.Applied, out.Commit = string(id), r.CurrentTerm(), r.AppliedIndex(), r.CommitIndex()
	if f := r.GetConfiguration(); f.Error() == nil {
		for _, v := range f.Configuration().Servers {
			x := known[string(v.ID)]
			out.Servers = append(out.Servers, StatusInstance{ID: string(v.ID), Address: string(v.Address), Service: s.serviceOf(string(v.ID)),
				Voter: v.Suffrage == raft.Voter, Mode: x.GetMode(), Release: x.GetRelease(), Beat: x.GetBeat() / 1e6})
		}
	}
	return out
}

// Close stops the instance. What it has written stays on disk.
func (s *Store) Close() (err error) {
	s.once.Do(func() {
		close(s.ctx)
		if r := s.raft.Load(); r != nil {
			err = r.Shutdown().Error()
		}
		for i := len(s.close) - 1; i >= 0; i-- {
			if s.close[i] != nil && i > 0 { // the disk last, once nobody writes any more
				err = errors.Join(err, s.close[i]())
			}
		}
		s.wg.Wait()
		if r := s.raft.Load(); r != nil { // one that started while this was closing
			err = errors.Join(err, r.Shutdown().Error())
		}
		if len(s.close) > 0 {
			err = errors.Join(err, s.close[0]())
		}
	})
	return err
}
