package sysfault

import (
	"encoding/json"
	"os"
	"time"
)

// statePollInterval is how often a process looks for another state of its machine.
const statePollInterval = 20 * time.Millisecond

// State is the machine of one process as an experiment sets it: a file that the process follows.
type State struct {
	ClockOffset time.Duration // of the wall clock, as the process reads it at its start
	Faults      []Fault       // in effect now; those that are no longer listed have ended
}

// WriteState replaces the state in a file.
func WriteState(path string, state State) error {
	content, err := json.Marshal(state)
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// ReadState reads the state from a file.
func ReadState(path string) (state State, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(content, &state)
}

// Follow keeps the faults of the system as the file has them, until the program ends.
func (s *System) Follow(path string) {
	var last time.Time
	for ; ; time.Sleep(statePollInterval) {
		info, err := os.Stat(path)
		if err != nil || info.ModTime().Equal(last) {
			continue
		}
		last = info.ModTime()
		if state, err := ReadState(path); err == nil {
			s.replace(state.Faults)
		}
	}
}

func (s *System) replace(faults []Fault) {
	s.Clear()
	for _, f := range faults {
		s.Inject(f)
	}
}
