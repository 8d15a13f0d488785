package store

import (
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

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
	r, err := raft.NewRaft(s.raftConfig(), s.machine, s.disk, s.disk, s.snaps, s.trans)
	if err == nil {
		s.raft.Store(r)
	}
	return err
}

// votes tells whether this instance is a voter, as far as it knows.
func (s *Store) votes(r *raft.Raft) bool {
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(v raft.Server) bool {
		return string(v.ID) == s.cfg.ID && v.Suffrage == raft.Voter
	})
}
