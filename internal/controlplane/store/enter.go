package store

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const maxJoinServices = 8 // services named by hand to join through; the oldest goes

// joinCluster brings this instance into the cluster: it begins one with its peers if all of them hold nothing, joins one
// that exists, or goes on in the one that it is in. An instance without any state does not vote before that: it cannot
// know whether it did before its disk was lost.
func (s *Store) joinCluster(empty bool) {
	logged := ""
	waitFor := func(what string) {
		s.mu.Lock()
		s.joinStatus = what
		s.mu.Unlock()
		if what != logged {
			s.log.WithField("reason", what).Info("store waits to come in")
			logged = what
		}
	}
	for wait := minJoinDelay; ; wait = min(2*wait, 2*time.Second) {
		if r := s.raft.Load(); r != nil {
			empty = false
			if s.isVoter(r) {
				s.log.Info("store is in")
				return
			}
		} else if s.cfg.listsSelf() && s.allPeersEmpty(waitFor) {
			if err := s.bootstrap(); err != nil {
				s.log.WithError(err).Error("store did not start")
				return
			}
			empty, wait = false, minJoinDelay
			s.log.WithField("instances", len(s.cfg.Peers)).Info("store begins a cluster")
			return
		}
		for _, service := range s.joinServices() {
			added, done := s.requestJoin(service, empty, waitFor)
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
				empty, wait = false, minJoinDelay
				break
			}
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// joinServices are the services through which this instance may come in.
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

// Join has this instance come in through that service as well, and waits until it votes or the limit is over.
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
	return fmt.Errorf("store: not in yet: %s", s.joinStatusText())
}

func (s *Store) joinStatusText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinStatus
}

// allPeersEmpty tells whether all peers are there and hold nothing: only then is there nothing to be lost.
func (s *Store) allPeersEmpty(waitFor func(string)) bool {
	for _, p := range s.cfg.Peers {
		if p.ID == s.cfg.ID {
			continue
		}
		r, err := s.call(p.Service, &pb.Call{Body: &pb.Call_Hello{Hello: &pb.Hello{Id: s.cfg.ID}}}, time.Second)
		switch {
		case err != nil:
			waitFor("no word from " + p.ID)
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

func (s *Store) requestJoin(service string, empty bool, waitFor func(string)) (added, done bool) {
	applied := uint64(0)
	if r := s.raft.Load(); r != nil {
		applied = r.AppliedIndex()
	}
	for range 2 { // whom it asks, and whoever that one takes for the leader
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
