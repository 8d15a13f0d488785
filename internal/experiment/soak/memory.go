package soak

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const memoryInterval = 4 * time.Millisecond

// memoryMonitor records the most anonymous memory that a process had.
type memoryMonitor struct {
	pid  int
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	peakKB int
	peakAt time.Time
}

func startMemoryMonitor(pid int) *memoryMonitor {
	m := &memoryMonitor{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	go sampleUntil(m.stop, m.done, memoryInterval, m.sample)
	return m
}

func (m *memoryMonitor) sample() {
	if kb := anonymousMemory(m.pid); kb > m.peakKB {
		m.mu.Lock()
		m.peakKB, m.peakAt = kb, time.Now()
		m.mu.Unlock()
	}
}

func (m *memoryMonitor) end() {
	close(m.stop)
	<-m.done
}

func (m *memoryMonitor) peak() (kb int, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakKB, m.peakAt
}

// anonymousMemory returns the anonymous memory of a process in KiB; 0 if it has ended.
func anonymousMemory(pid int) (kb int) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if text, ok := strings.CutPrefix(in.Text(), "RssAnon:"); ok {
			if _, err := fmt.Sscan(text, &kb); err != nil {
				return 0
			}
			return kb
		}
	}
	return 0
}
