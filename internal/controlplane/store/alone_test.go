package store

import (
	"errors"
	"testing"

	"aspenshed/internal/controlplane/mode"
)

// A standalone instance is in memory, serves at once and opens no socket.
func TestStandalone(t *testing.T) {
	s, err := Open(Config{ID: "only"})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := s.Submit(setCommand("k", "v"), waitTimeout); err != nil || r.Version != 1 {
		t.Errorf("%v %v", r, err)
	}
	if s.Mode() != mode.Standalone || getValue(s, "k") != "v" {
		t.Errorf("mode %v", s.Mode())
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := s.Submit(setCommand("k", "v"), waitTimeout); !errors.Is(err, ErrClosed) && !errors.Is(err, ErrUnavailable) {
		t.Errorf("after Close: %v", err)
	}
}
