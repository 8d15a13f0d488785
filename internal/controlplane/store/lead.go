package store

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/membership"
)

const mostDoors = 8 // services named by hand to join through; the oldest goes

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

func (s *Store) stamp(b *pb.Batch) {
	now := int64(s.cfg.Clock.Now())
	for _, c := range b.Commands {
		c.At = now
	}
}

// askLeader asks this instance if it leads, else the one that does. ErrUnavailable: nothing was sent.
func (s *Store) askLeader(c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	r := s.raft.Load()
	if r == nil {
		return nil, ErrUnavailable
	}
	if c.Cluster = s.cfg.Cluster; r.State() == raft.Leader {
		return s.answer(c), nil
	}
	_, id := r.LeaderWithID()
	service := s.serviceOf(string(id))
	if id == "" || service == "" {
		return nil, ErrUnavailable
	}
	return s.call(service, c, limit)
}

func (s *Store) call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	c.Cluster = s.cfg.Cluster
	return s.caller.Call(service, c, limit)
}

// serviceOf is where an instance takes commands: as it says itself, else as the configuration names it.
func (s *Store) serviceOf(id string) (service string) {
	s.Read(func(c *catalog.Catalog) {
		for _, x := range c.Instances() {
			if x.Id == id {
				service = x.Service
			}
		}
	})
	for _, p := range s.cfg.Peers {
		if p.ID == id && service == "" {
			service = p.Service
		}
	}
	return service
}

// answer serves one call, on the instance that it reached.
func (s *Store) answer(c *pb.Call) *pb.Reply {
	if c.Cluster != s.cfg.Cluster {
		return &pb.Reply{Refused: fmt.Sprintf("this is cluster %q, not %q", s.cfg.Cluster, c.Cluster)}
	}
	r := s.raft.Load()
	if _, hello := c.Body.(*pb.Call_Hello); hello {
		// What was begun and never agreed on anything may be begun again, together with who asks.
		return &pb.Reply{Exists: r != nil && r.LastIndex() > 1}
	}
	if query, ok := c.Body.(*pb.Call_Rollout); ok {
		return s.answerRollout(query.Rollout)
	}
	if r == nil || r.State() != raft.Leader {
		x := &pb.Reply{Refused: "another instance leads", Retry: true}
		if r != nil {
			_, id := r.LeaderWithID()
			x.Leader, x.LeaderService = string(id), s.serviceOf(string(id))
		}
		return x
	}
	switch b := c.Body.(type) {
	case *pb.Call_Submit:
		return s.submitHere(r, b.Submit)
	case *pb.Call_ReadIndex:
		return s.readIndex(r)
	case *pb.Call_Join:
		return s.joinHere(r, b.Join)
	case *pb.Call_Remove:
		v := s.decide(r, func(v membership.View) membership.Verdict { return s.changes.Leave(s.cfg.Clock.Now(), v, b.Remove.Id) })
		return s.change(r, v, b.Remove.Id, "")
	}
	return &pb.Reply{Refused: "a call that this release does not know"}
}

func (s *Store) submitHere(r *raft.Raft, b *pb.Batch) *pb.Reply {
	if len(b.GetCommands()) == 0 || len(b.Commands) > commandqueue.MaxBatch {
		return &pb.Reply{Refused: fmt.Sprintf("a batch has 1 to %d commands", commandqueue.MaxBatch)}
	}
	s.stamp(b)
	data, err := proto.Marshal(b)
	if err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: true}
	}
	f := r.Apply(data, leaderLimit)
	if err := f.Error(); err != nil { // what is in the log may be agreed on later
		return &pb.Reply{Refused: err.Error(), Retry: errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout)}
	}
	results, ok := f.Response().([]*pb.Result)
	if !ok {
		return &pb.Reply{Refused: fmt.Sprint(f.Response())}
	}
	return &pb.Reply{Results: results}
}

// readIndex is an entry after all that was agreed when it was asked for: a leader that has been replaced unknowingly
// cannot agree on one. Its own catalog stands there by then; raft's applied index tells only what is on its way to it.
func (s *Store) readIndex(r *raft.Raft) *pb.Reply {
	if err := r.Barrier(leaderLimit).Error(); err != nil {
		return &pb.Reply{Refused: err.Error(), Retry: true}
	}
	var index uint64
	s.Read(func(c *catalog.Catalog) { index = c.Index() })
	return &pb.Reply{Index: index, Voter: true}
}

// ---- members of the store ----

func (s *Store) decide(r *raft.Raft, f func(membership.View) membership.Verdict) membership.Verdict {
	g := r.GetConfiguration()
	if err := g.Error(); err != nil {
		return membership.Verdict{Later: true, Refused: err.Error()}
	}
	v := membership.View{Commit: r.CommitIndex(), Pending: g.Index() > r.CommitIndex()}
	for _, x := range g.Configuration().Servers {
		v.Servers = append(v.Servers, membership.Server{ID: string(x.ID), Address: string(x.Address), Voter: x.Suffrage == raft.Voter})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(v)
}

// change carries a verdict out. raft turns a second change away while one is not agreed.
func (s *Store) change(r *raft.Raft, v membership.Verdict, id, address string) *pb.Reply {
	var f raft.IndexFuture
	switch v.Do {
	case membership.AddNonvoter:
		f = r.AddNonvoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderLimit)
	case membership.Promote:
		f = r.AddVoter(raft.ServerID(id), raft.ServerAddress(address), 0, leaderLimit)
	case membership.Remove:
		f = r.RemoveServer(raft.ServerID(id), 0, leaderLimit)
	}
	if f != nil {
		if err := f.Error(); err != nil {
			return &pb.Reply{Refused: err.Error(), Retry: true}
		}
		s.log.WithField("instance", id).WithField("change", [...]string{"", "added", "votes", "removed"}[v.Do]).Info("store membership changed")
	}
	return &pb.Reply{Refused: v.Refused, Retry: v.Later, Voter: v.Done, Added: v.Added}
}

func (s *Store) joinHere(r *raft.Raft, j *pb.Join) *pb.Reply {
	v := s.decide(r, func(v membership.View) membership.Verdict {
		return s.changes.Join(s.cfg.Clock.Now(), v, j.Id, j.Address, j.Applied, j.Empty)
	})
	x := s.change(r, v, j.Id, j.Address)
	x.Index = r.CommitIndex()
	return x
}

// Leave takes an instance out: its vote, and its record in the catalog. The operator's word says that it is off.
func (s *Store) Leave(id string, limit time.Duration) error {
	if s.cfg.Address == "" {
		return ErrAlone
	}
	var last error = ErrUnavailable
	for end := time.Now().Add(limit); time.Now().Before(end); {
		r, err := s.askLeader(&pb.Call{Body: &pb.Call_Remove{Remove: &pb.Remove{Id: id}}}, time.Until(end))
		switch {
		case err != nil:
			last = err
		case r.Voter: // done
			x, err := s.Submit(&pb.Command{Body: &pb.Command_Leave{Leave: &pb.Leave{Instance: id}}}, time.Until(end))
			if err == nil && x.Refused != "" {
				err = errors.New(x.Refused)
			}
			return err
		case r.Refused != "" && !r.Retry:
			return errors.New(r.Refused)
		case r.Refused != "":
			last = errors.New(r.Refused)
		}
		if !s.pause(50 * time.Millisecond) {
			return ErrClosed
		}
	}
	return last
}

// enter brings this instance into the cluster: it begins one with its peers if all of them hold nothing, joins one
// that exists, or goes on in the one that it is in. An instance without any state does not vote before that: it cannot
// know whether it did before its disk was lost.
func (s *Store) enter(empty bool) {
	said := ""
	say := func(what string) {
		s.mu.Lock()
		s.why = what
		s.mu.Unlock()
		if what != said {
			s.log.WithField("reason", what).Info("store waits to come in")
			said = what
		}
	}
	for wait := askPeers; ; wait = min(2*wait, 2*time.Second) {
		if r := s.raft.Load(); r != nil {
			empty = false
			if s.votes(r) {
				s.log.Info("store is in")
				return
			}
		} else if s.cfg.named() && s.begin(say) {
			if err := s.bootstrap(); err != nil {
				s.log.WithError(err).Error("store did not start")
				return
			}
			empty, wait = false, askPeers
			s.log.WithField("instances", len(s.cfg.Peers)).Info("store begins a cluster")
			return
		}
		for _, service := range s.doors() {
			added, done := s.askToJoin(service, empty, say)
			if done {
				s.log.Info("store is in")
				return
			}
			if added && s.raft.Load() == nil {
				if err := s.startRaft(); err != nil {
					s.log.WithError(err).Error("store did not start")
					return
				}
			}
			if added {
				empty, wait = false, askPeers
				break
			}
		}
		if !s.pause(wait) {
			return
		}
	}
}

// doors are the services through which this instance may come in.
func (s *Store) doors() (out []string) {
	s.mu.Lock()
	out = append(out, s.through...)
	s.mu.Unlock()
	for _, p := range s.cfg.Peers {
		if p.ID != s.cfg.ID && !slices.Contains(out, p.Service) {
			out = append(out, p.Service)
		}
	}
	return out
}

// Join has this instance come in through that service as well, and waits until it votes or the limit is over.
func (s *Store) Join(service string, limit time.Duration) error {
	if s.cfg.Address == "" {
		return ErrAlone
	}
	s.mu.Lock()
	if s.through = append(s.through, service); len(s.through) > mostDoors {
		s.through = s.through[1:]
	}
	s.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r := s.raft.Load(); r != nil && s.votes(r) {
			return nil
		}
		if !s.pause(50 * time.Millisecond) {
			return ErrClosed
		}
	}
	return fmt.Errorf("store: not in yet: %s", s.waitsFor())
}

func (s *Store) waitsFor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.why
}

// begin tells whether all peers are there and hold nothing: only then is there nothing to be lost.
func (s *Store) begin(say func(string)) bool {
	for _, p := range s.cfg.Peers {
		if p.ID == s.cfg.ID {
			continue
		}
		r, err := s.call(p.Service, &pb.Call{Body: &pb.Call_Hello{Hello: &pb.Hello{Id: s.cfg.ID}}}, time.Second)
		switch {
		case err != nil:
			say("no word from " + p.ID)
			return false
		case r.Refused != "":
			say(p.ID + ": " + r.Refused)
			return false
		case r.Exists:
			return false
		}
	}
	return true
}

func (s *Store) bootstrap() error {
	var servers []raft.Server
	for _, p := range s.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Address)})
	}
	err := raft.BootstrapCluster(s.raftConfig(), s.disk, s.disk, s.snaps, s.trans, raft.Configuration{Servers: servers})
	if err != nil {
		return err
	}
	return s.startRaft()
}

func (s *Store) askToJoin(service string, empty bool, say func(string)) (added, done bool) {
	applied := uint64(0)
	if r := s.raft.Load(); r != nil {
		applied = r.AppliedIndex()
	}
	for range 2 { // whom it asks, and whoever that one takes for the leader
		r, err := s.call(service, &pb.Call{Body: &pb.Call_Join{Join: &pb.Join{Id: s.cfg.ID, Address: s.cfg.Address,
			Applied: applied, Empty: empty}}}, leaderLimit+time.Second)
		switch {
		case err != nil:
			return false, false
		case r.LeaderService != "" && r.LeaderService != service:
			service = r.LeaderService
			continue
		}
		if r.Refused != "" {
			say(r.Refused)
		}
		return r.Added, r.Voter
	}
	return false, false
}

// ---- snapshots by hand ----

// Save writes the catalog as it is here; atomically.
func (s *Store) Save(path string) error {
	var b []byte
	var err error
	s.Read(func(c *catalog.Catalog) { b, err = c.Encode() })
	if err != nil {
		return err
	}
	return writeWhole(path, b)
}

// restoreGap is how far beyond the log's end (entries) a restored state is put: entries that are appended meanwhile must
// not reach it, as a revision belongs to one state only.
const restoreGap = 1 << 10

// Load has all instances hold what a file says. Only the leader takes it, and only a whole file of this cluster. What
// they hold then has a revision above all earlier ones.
func (s *Store) Load(data []byte) error {
	c, err := read(data, s.cfg.Cluster)
	if err != nil {
		return err
	}
	if s.cfg.Address == "" {
		s.m.replaceNext(c)
		return nil
	}
	r := s.raft.Load()
	if r == nil {
		return ErrUnavailable
	}
	if r.State() != raft.Leader {
		_, id := r.LeaderWithID()
		return fmt.Errorf("store: %q leads: restore there", id)
	}
	before := max(c.Index(), r.LastIndex()) + restoreGap
	c.SetIndex(before + 1) // raft puts the restored state one entry after the index that it is told
	if data, err = c.Encode(); err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data)), Index: before, Term: r.CurrentTerm()}
	return r.Restore(meta, bytes.NewReader(data), 10*time.Second)
}
