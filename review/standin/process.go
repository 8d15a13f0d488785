package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one of the project's own programs, started by the command of the deploy file.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// root is the repository's folder, from which the deploy file's commands are run.
var root = "."

// runCommand returns the value of run in the deploy file.
func runCommand() (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if k, v, ok := strings.Cut(line, "="); ok && strings.TrimSpace(k) == "run" {
			return strings.Trim(strings.TrimSpace(v), `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml names no run")
}

var (
	startedMu sync.Mutex
	started   []*process
)

// start runs the deploy file's run command with further arguments; its log goes to a file in dir.
func start(dir, name string, env []string, args ...string) (*process, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	for _, a := range args {
		run += " '" + a + "'"
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name, cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// killAll ends every process that was started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
