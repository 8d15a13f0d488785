// Command review runs the cases of the review: it hosts stand-in databases and clients, starts the project's programs
// as processes, disturbs them as the case says, and checks one rule.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// env is what a case gets.
type env struct {
	rec     *recorder
	dir     string // temporary
	trouble bool
}

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(*env) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review CASE REPOSITORY RECORD")
		os.Exit(int(notRun))
	}
	root = os.Args[2]
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(int(notRun))
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(int(notRun))
	}
	finish := func(v verdict) {
		killAll()
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, l := range logs {
			if b, err := os.ReadFile(l); err == nil {
				rec.printf("log of %s:\n%s", filepath.Base(l), b[:min(len(b), 32<<10)])
			}
		}
		_ = os.RemoveAll(dir)
		os.Exit(int(v))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			rec.say("stopped by a signal")
		case <-time.After(115 * time.Second):
			rec.say("took too long")
		}
		finish(notRun)
	}()
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	v, err := cases[os.Args[1]](e)
	if err != nil {
		rec.say("could not run: %v", err)
		v = notRun
	}
	rec.say("result: %s", []string{"the rule held", "the rule was broken", "not run"}[v])
	finish(v)
}
