package datapath

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// runOnOneThread runs f locked to one thread, so that threadCPUTime counts the processor time of f alone, whatever else
// the machine runs.
func runOnOneThread(f func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	return f()
}

// threadCPUTime returns the processor time used by the calling thread.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
