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
	disk, closeDisk, err := openChecksumStore(s.cfg, func(err error) {
		s.log.WithError(err).Error("store stops: stored data is corrupt")
		s.cfg.OnCorruption(err)
	})
	if err != nil {
		return err
	}
	s.logStore = disk
	s.closers = append(s.closers, closeDisk)
	files, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.DataDir, retainedSnapshots, s.raftLogger())
	if err != nil {
		return err
	}
	s.snapshots = files
	if err := verifySnapshots(s.cfg, files); err != nil {
		return err
	}
	if s.transport = s.cfg.Transport; s.transport == nil {
		t, err := newTransport(s.cfg, s.raftLogger())
		if err != nil {
			return err
		}
		s.transport = t
		s.closers = append(s.closers, t.Close)
	}
	if s.caller = s.cfg.Caller; s.caller == nil {
		v, err := newService(s)
		if err != nil {
			return err
		}
		s.caller = v
		s.closers = append(s.closers, v.stop)
	}
	if s.cfg.WrapCaller != nil {
		s.caller = s.cfg.WrapCaller(s.caller)
	}
	has, err := raft.HasExistingState(disk, disk, s.snapshots)
	if err != nil {
		return err
	}
	if has {
		if err := s.startRaft(); err != nil {
			return err
		}
	}
	s.spawn(func() { s.joinCluster(!has) })
	return nil
}

func (s *Store) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: raftLogWriter{s.log}, DisableTime: true})
}

// raftLogWriter writes raft's log lines to the log at debug level: what raft logs as an error is not actionable for
// operators.
type raftLogWriter struct{ log *logrus.Entry }

func (l raftLogWriter) Write(b []byte) (int, error) {
	l.log.WithField("raft", string(b[:max(len(b)-1, 0)])).Debug("raft log line")
	return len(b), nil
}

func (s *Store) raftConfig() *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger, rc.ShutdownOnRemove = raft.ServerID(s.cfg.ID), s.raftLogger(), false
	// Instance heartbeats are written continuously: frequent snapshots keep the log and restarts short.
	rc.SnapshotThreshold, rc.TrailingLogs, rc.SnapshotInterval = 1024, 1024, 10*time.Second
	if s.cfg.ShortTimeouts {
		rc.SnapshotThreshold, rc.TrailingLogs, rc.SnapshotInterval = 64, 64, 50*time.Millisecond
		rc.HeartbeatTimeout, rc.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		rc.LeaderLeaseTimeout, rc.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
	}
	return rc
}

func (s *Store) startRaft() error {
	r, err := raft.NewRaft(s.raftConfig(), s.fsm, s.logStore, s.logStore, s.snapshots, s.transport)
	if err == nil {
		s.raft.Store(r)
	}
	return err
}

// isVoter reports whether this instance is a voter in the latest configuration that it knows.
func (s *Store) isVoter(r *raft.Raft) bool {
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(v raft.Server) bool {
		return string(v.ID) == s.cfg.ID && v.Suffrage == raft.Voter
	})
}
