package soak

import (
	"sync"
	"time"
)

const (
	stallTick  = 5 * time.Millisecond
	stallReach = 300 * time.Millisecond // a stall this close to an event may have delayed it
)

// stallMonitor records when this machine did not run a goroutine that was due, so that the oracle does not blame a gateway for a
// delay of the machine.
type stallMonitor struct {
	mu     sync.Mutex
	stalls []stall
	stop   chan struct{}
	done   chan struct{}
}

type stall struct {
	at    time.Time
	delay time.Duration
}

func startStallMonitor() *stallMonitor {
	m := &stallMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *stallMonitor) run() {
	defer close(m.done)
	for due := time.Now().Add(stallTick); ; due = time.Now().Add(stallTick) {
		select {
		case <-m.stop:
			return
		case <-time.After(time.Until(due)):
		}
		if delay := time.Since(due); delay > stallTick {
			m.mu.Lock()
			m.stalls = append(m.stalls, stall{time.Now(), delay})
			m.mu.Unlock()
		}
	}
}

func (m *stallMonitor) end() {
	close(m.stop)
	<-m.done
}

// around returns the sum of the stalls close to a time.
func (m *stallMonitor) around(t time.Time) (sum time.Duration) {
	for _, s := range m.stalls {
		if d := s.at.Sub(t); d > -stallReach && d < stallReach+s.delay {
			sum += s.delay
		}
	}
	return sum
}

// longest returns the longest stall.
func (m *stallMonitor) longest() (longest time.Duration) {
	for _, s := range m.stalls {
		longest = max(longest, s.delay)
	}
	return longest
}
