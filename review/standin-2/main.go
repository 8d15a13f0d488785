// Command case runs one case of the second review: it starts the project's programs as processes, plays clients, databases
// and discovery, and judges by what those saw. Usage: case NAME FOLDER.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const longestRun = 110 * time.Second

var cases = map[string]func(*run) error{}

// run is one run of a case.
type run struct {
	root    string // of the repository
	tmp     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*process
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// current is the run of this process, for what stand-ins record.
var current *run

func play(name, folder string) int {
	folder, err := filepath.Abs(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{root: filepath.Dir(filepath.Dir(folder)), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if r.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(r.tmp)
	current = r
	done := make(chan error, 1)
	r.note("case %s, disruption: %v", name, r.trouble)
	go func() { done <- cases[name](r) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-ended:
		r.endProcesses()
		r.note("RESULT: could not run: ended by %v", s)
		return 2
	case err = <-done:
	case <-time.After(longestRun):
		err = fmt.Errorf("not done after %v", longestRun)
	}
	r.endProcesses()
	switch {
	case len(r.broken) > 0:
		r.note("RESULT: broken, %d times: %s", len(r.broken), r.broken[0])
		fmt.Printf("broken: %s\n", r.broken[0])
		return 1
	case err != nil:
		r.note("RESULT: could not run: %v", err)
		fmt.Printf("could not run: %v\n", err)
		return 2
	}
	r.note("RESULT: held")
	fmt.Println("held")
	return 0
}

// note writes a line of the record.
func (r *run) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// short is a text as the record shows it.
func short(s string) string {
	if len(s) <= 120 {
		return strconv.Quote(s)
	}
	return fmt.Sprintf("%q and so on, %d bytes", s[:20], len(s))
}

// breach records that the rule was broken.
func (r *run) breach(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	r.note("BROKEN: %s", s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, s)
}

func (r *run) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// process is a program of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a command line as the platform does: by a shell that it replaces, from the root.
func (r *run) start(name, line string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.tmp, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", line), ended: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, log, log
	p.cmd.Env = append(os.Environ(), append(env, "TMPDIR="+r.tmp)...)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.note("%s started, process %d", name, p.cmd.Process.Pid)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		r.note("%s has ended: %v", name, endOf(err))
		close(p.ended)
	}()
	return p, nil
}

func endOf(err error) string {
	if err == nil {
		return "status 0"
	}
	return err.Error()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process at once.
func (r *run) kill(p *process) {
	r.note("SIGKILL to %s", p.name)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// endProcesses ends what is left and adds the ends of the logs to the record.
func (r *run) endProcesses() {
	r.mu.Lock()
	procs := append([]*process(nil), r.procs...)
	r.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.ended:
		default:
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	logs, _ := filepath.Glob(filepath.Join(r.tmp, "*.log"))
	for _, path := range logs {
		b, _ := os.ReadFile(path)
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		if len(lines) > 40 {
			lines = lines[len(lines)-40:]
		}
		r.note("the last lines of %s:\n\t%s", filepath.Base(path), strings.ReplaceAll(strings.Join(lines, "\n\t"), r.tmp, "TMP"))
	}
}

// command runs a command of the program to its end and returns what it printed.
func (r *run) command(arg ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.root, "bin", "aspenshed"), arg...)
	cmd.Dir = r.root
	b, err := cmd.CombinedOutput()
	out := strings.TrimSpace(string(b))
	if strings.Contains(line(arg), " status ") {
		return out, err
	}
	r.note("command %s: %v; %s", strings.ReplaceAll(line(arg), r.tmp, "TMP"), endOf(err), strings.ReplaceAll(out, r.tmp, "TMP"))
	return out, err
}

func line(arg []string) string { return strings.Join(arg, " ") }

func (r *run) write(name, text string) (string, error) {
	path := filepath.Join(r.tmp, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// host is a loopback address of this run alone: connections of others do not take its ports between their choice and their use.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// until waits until f holds.
func until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
