package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, a line each with the milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) since(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

func (r *recorder) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8d "+format+"\n", append([]any{r.since(time.Now())}, a...)...)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, a ...any) {
	r.printf(format, a...)
	fmt.Printf(format+"\n", a...)
}
