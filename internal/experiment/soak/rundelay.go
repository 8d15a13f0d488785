package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	runDelayInterval = 20 * time.Millisecond
	minRunDelay      = 5 * time.Millisecond // shorter delays of a thread are usual
)

// runDelayMonitor records when the kernel let a process wait for a processor although it had something to run.
type runDelayMonitor struct {
	stallMonitor
	pid  int
	last map[string]time.Duration // run delay by thread
}

func startRunDelayMonitor(pid int) *runDelayMonitor {
	m := &runDelayMonitor{stallMonitor: stallMonitor{stop: make(chan struct{}), done: make(chan struct{})}, pid: pid, last: map[string]time.Duration{}}
	go sampleUntil(m.stop, m.done, runDelayInterval, m.sample)
	return m
}

func (m *runDelayMonitor) sample() {
	if delay := m.newDelay(); delay >= minRunDelay {
		m.mu.Lock()
		m.stalls = append(m.stalls, stall{time.Now(), delay})
		m.mu.Unlock()
	}
}

// newDelay returns the longest delay of a thread since the last call.
func (m *runDelayMonitor) newDelay() (longest time.Duration) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", m.pid))
	if err != nil {
		return 0
	}
	for _, f := range files {
		delay, ok := readRunDelay(f)
		if !ok {
			continue
		}
		if before, known := m.last[f]; known {
			longest = max(longest, delay-before)
		}
		m.last[f] = delay
	}
	return longest
}

// readRunDelay reads how long a thread has waited on run queues, the second figure of schedstat.
func readRunDelay(file string) (time.Duration, bool) {
	b, err := os.ReadFile(file)
	if err != nil { // the thread has ended
		return 0, false
	}
	var running, waiting int64
	if _, err := fmt.Fscan(strings.NewReader(string(b)), &running, &waiting); err != nil {
		return 0, false
	}
	return time.Duration(waiting), true
}
