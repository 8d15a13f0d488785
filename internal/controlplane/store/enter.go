package store

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const maxJoinServices = 8 // services given by Join; the oldest is dropped

// joinCluster makes this instance part of the cluster: it bootstraps one with its peers if all of them are empty, joins
// an existing one, or continues in its own. An instance without stored state does not vote before that, as it may have
// voted before it lost its disk.
func (s *Store) joinCluster(empty bool) {
	logged := ""
	waitFor := func(reason string) {
		s.mu.Lock()
		s.joinStatus = reason
		s.mu.Unlock()
		if reason != logged {
			s.log.WithField("reason", reason).Info("store waits to join the cluster")
			logged = reason
		}
	}
	for wait := minJoinDelay; ; wait = min(2*wait, 2*time.Second) {
		if r := s.raft.Load(); r != nil {
			empty = false
			if s.isVoter(r) {
				s.log.Info("store joined the cluster")
				return
			}
		} else if s.cfg.listsSelf() && s.allPeersEmpty(waitFor) {
			if err := s.bootstrap(); err != nil {
				s.log.WithError(err).Error("store replication failed to start")
				return
			}
			empty, wait = false, minJoinDelay
			s.log.WithField("instances", len(s.cfg.Peers)).Info("store bootstrapped a new cluster")
			return
		}
		for _, service := range s.joinServices() {
			added, done := s.requestJoin(service, empty, waitFor)
			if done {
				s.log.Info("store joined the cluster")
				return
			}
			if added && s.raft.Load() == nil {
				if err := s.startRaft(); err != nil {
					s.log.WithError(err).Error("store replication failed to start")
					return
				}
			}
			if added {
				empty, wait = false, minJoinDelay
				break
			}
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// joinServices returns the services through which this instance may join.
func (s *Store) joinServices() (out []string) {
	s.mu.Lock()
	out = append(out, s.joinAddresses...)
	s.mu.Unlock()
	for _, p := range s.cfg.Peers {
		if p.ID != s.cfg.ID && !slices.Contains(out, p.Service) {
			out = append(out, p.Service)
		}
	}
	return out
}

// Join makes this instance also join through the given service, and waits until it is a voter or the limit has passed.
func (s *Store) Join(service string, limit time.Duration) error {
	if s.cfg.Address == "" {
		return ErrStandalone
	}
	s.mu.Lock()
	if s.joinAddresses = append(s.joinAddresses, service); len(s.joinAddresses) > maxJoinServices {
		s.joinAddresses = s.joinAddresses[1:]
	}
	s.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if r := s.raft.Load(); r != nil && s.isVoter(r) {
			return nil
		}
		if !s.sleep(50 * time.Millisecond) {
			return ErrClosed
		}
	}
	return fmt.Errorf("store: not in the cluster yet: %s", s.joinStatusText())
}

func (s *Store) joinStatusText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinStatus
}

// allPeersEmpty reports whether all peers are reachable and empty: only then can bootstrapping lose no data.
func (s *Store) allPeersEmpty(waitFor func(string)) bool {
	for _, p := range s.cfg.Peers {
		if p.ID == s.cfg.ID {
			continue
		}
		r, err := s.call(p.Service, &pb.Call{Body: &pb.Call_Hello{Hello: &pb.Hello{Id: s.cfg.ID}}}, time.Second)
		switch {
		case err != nil:
			waitFor("no response from " + p.ID)
			return false
		case r.Refused != "":
			waitFor(p.ID + ": " + r.Refused)
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
	err := raft.BootstrapCluster(s.raftConfig(), s.logStore, s.logStore, s.snapshots, s.transport, raft.Configuration{Servers: servers})
	if err != nil {
		return err
	}
	return s.startRaft()
}

// requestJoin sends one join request. done: this instance is a voter.
func (s *Store) requestJoin(service string, empty bool, waitFor func(string)) (added, done bool) {
	applied := uint64(0)
	if r := s.raft.Load(); r != nil {
		applied = r.AppliedIndex()
	}
	for range 2 { // the given service, and the leader that it names
		r, err := s.call(service, &pb.Call{Body: &pb.Call_Join{Join: &pb.Join{Id: s.cfg.ID, Address: s.cfg.Address,
			Applied: applied, Empty: empty}}}, leaderTimeout+time.Second)
		switch {
		case err != nil:
			return false, false
		case r.LeaderService != "" && r.LeaderService != service:
			service = r.LeaderService
			continue
		}
		if r.Refused != "" {
			waitFor(r.Refused)
		}
		return r.Added, r.Voter
	}
	return false, false
}
