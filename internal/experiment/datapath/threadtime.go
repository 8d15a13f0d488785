package datapath

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// runOnOneThread runs f on one thread, so that threadTime tells what f alone has used however busy the machine is.
func runOnOneThread(f func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	return f()
}

// threadCPUTime is the processor time that the calling thread has used.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
