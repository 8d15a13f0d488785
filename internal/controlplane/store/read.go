package store

import (
	"time"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
)

// Read calls f with the state that this instance has applied. f must neither retain nor modify it.
func (s *Store) Read(f func(*catalog.Catalog)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	f(s.fsm.catalog)
}

// ReadLatest calls f with a state that contains everything that was committed before the call.
func (s *Store) ReadLatest(limit time.Duration, f func(*catalog.Catalog)) error {
	if s.cfg.Address == "" {
		s.Read(f)
		return nil
	}
	end := time.Now().Add(limit)
	index := uint64(0)
	for wait := commandqueue.MinRetryDelay; ; wait = min(2*wait, commandqueue.MaxRetryDelay) {
		r, err := s.callLeader(&pb.Call{Body: &pb.Call_ReadIndex{ReadIndex: &pb.ReadIndex{}}}, time.Until(end))
		if err == nil && r.Refused == "" {
			index = r.Index
			break
		}
		if !s.sleep(wait) {
			return ErrClosed
		}
		if time.Now().After(end) {
			return ErrUnavailable
		}
	}
	for { // it is applied here within a heartbeat interval
		applied := false
		s.Read(func(c *catalog.Catalog) {
			if applied = c.Index() >= index; applied {
				f(c)
			}
		})
		if applied {
			return nil
		}
		if time.Now().After(end) {
			return ErrUnavailable
		}
		if !s.sleep(time.Millisecond) {
			return ErrClosed
		}
	}
}

// sleep waits for d and reports false if the store is closed before.
func (s *Store) sleep(d time.Duration) bool {
	select {
	case <-s.done:
		return false
	case <-time.After(d):
		return true
	}
}
