package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"aspenshed/internal/experiment/sysfault"
)

const (
	readyTimeout  = 20 * time.Second
	readyPoll     = 20 * time.Millisecond
	newConnsAfter = 300 * time.Millisecond // after SIGTERM, new connections still come
)

// gatewayEnd is how a process of a gateway ended.
type gatewayEnd struct {
	process  int
	signalAt time.Time // of SIGTERM; zero: killed without one, or it ended by itself
	endedAt  time.Time
	killed   bool // by SIGKILL
	exitCode int
}

// gateway is one gateway and its processes, one after the other.
type gateway struct {
	index     int
	dir       string
	address   string
	discovery *discovery
	plan      *Plan
	command   func(args ...string) *exec.Cmd
	pool      connPool

	restarting sync.Mutex // held until the next process is ready

	mu      sync.Mutex
	cmd     *exec.Cmd
	process int
	open    bool // clients may connect
	ended   chan struct{}
	ends    []gatewayEnd
	log     *logPipe

	runDelays          []*runDelayMonitor // of each process
	memory             []*memoryMonitor   // of each process
	descriptorsAtStart int                // when it was ready
	leaked             int                // descriptors at rest beyond those and its connections to databases
}

func newGateway(index int, dir string, d *discovery, p *Plan, command func(args ...string) *exec.Cmd) (*gateway, error) {
	l, err := net.Listen("tcp", p.listenAddress()) // a free port, released for the processes
	if err != nil {
		return nil, err
	}
	defer l.Close()
	g := &gateway{index: index, dir: filepath.Join(dir, fmt.Sprint("n", index)), address: l.Addr().String(), discovery: d, plan: p, command: command}
	if err := os.MkdirAll(g.dir, 0o755); err != nil {
		return nil, err
	}
	g.log, err = newLogPipe(filepath.Join(dir, fmt.Sprintf("n%d.log", index)))
	return g, err
}

func (g *gateway) configPath() string { return filepath.Join(g.dir, "config.json") }

func (g *gateway) machinePath() string { return filepath.Join(g.dir, "machine.json") }

// newCommand returns the command of a process. Without faults of its machine it is the gateway as the platform runs it.
func (g *gateway) newCommand() (*exec.Cmd, error) {
	if !g.hasMachineFaults() {
		return g.command(), nil
	}
	if err := sysfault.WriteState(g.machinePath(), sysfault.State{ClockOffset: g.clockOffset()}); err != nil {
		return nil, err
	}
	return g.command("experiment", "gateway", "--machine", g.machinePath(), "--seed", fmt.Sprint(g.plan.Seed)), nil
}

// writeConfig writes the configuration with the list that the gateway has now.
func (g *gateway) writeConfig(known listMessage) error {
	b, err := json.Marshal(object{"name": fmt.Sprint("n", g.index), "listen": g.address, "discovery": g.discovery.addresses[g.index],
		"seed": fmt.Sprintf("%x", g.plan.Seed*1000+uint64(g.process)), "limits": object{"cores": 1.0, "memory_mb": g.plan.MemoryMB, "sockets": g.plan.Sockets},
		"known": known, "settings": g.plan.settingsJSON(g.index)})
	if err != nil {
		return err
	}
	return os.WriteFile(g.configPath(), b, 0o600)
}

// start starts a process and waits until it answers an empty query.
func (g *gateway) start() error {
	g.mu.Lock()
	g.process++
	g.mu.Unlock()
	known := g.discovery.whole(g.index)
	if err := g.writeConfig(known); err != nil {
		return err
	}
	g.discovery.noteTold(g.index, g.discovery.after(g.index, 0))
	cmd, err := g.newCommand()
	if err != nil {
		return err
	}
	log, err := g.log.open()
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Env = append(cmd.Env, "NODE_NAME=n"+fmt.Sprint(g.index), "NODE_LISTEN="+g.address, "NODE_DISCOVERY="+g.discovery.addresses[g.index],
		"NODE_CONFIG="+g.configPath(), "TMPDIR="+g.dir)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.runDelays = append(g.runDelays, startRunDelayMonitor(cmd.Process.Pid))
	g.memory = append(g.memory, startMemoryMonitor(cmd.Process.Pid))
	g.mu.Unlock()
	go g.wait(cmd, g.process, ended)
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPoll) {
		if c, err := dialClient(g.address); err == nil {
			c.conn.Close()
			g.setOpen(true)
			g.descriptorsAtStart = g.descriptors()
			return nil
		}
	}
	return fmt.Errorf("gateway %d was not ready in %v", g.index, readyTimeout)
}

func (g *gateway) wait(cmd *exec.Cmd, process int, ended chan struct{}) {
	_ = cmd.Wait() // the state says how it ended
	g.mu.Lock()
	defer g.mu.Unlock()
	end := gatewayEnd{process: process, endedAt: time.Now(), exitCode: cmd.ProcessState.ExitCode()}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok {
		end.killed = status.Signaled() && status.Signal() == syscall.SIGKILL
	}
	g.ends = append(g.ends, end)
	g.runDelays[len(g.runDelays)-1].end()
	g.memory[len(g.memory)-1].end()
	close(ended)
}

func (g *gateway) setOpen(open bool) {
	g.mu.Lock()
	g.open = open
	g.mu.Unlock()
}

func (g *gateway) isOpen() (open bool, process int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.process
}

func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// terminate sends SIGTERM, and SIGKILL at the earliest time that the platform allows. Clients use open connections until the end.
func (g *gateway) terminate() {
	at := time.Now()
	g.signal(syscall.SIGTERM)
	time.AfterFunc(newConnsAfter, func() { g.setOpen(false) })
	select {
	case <-g.ended:
	case <-time.After(min(longestDeadline(), maxKillDeadline) + killMargin):
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
	g.setOpen(false)
	g.mu.Lock()
	g.ends[len(g.ends)-1].signalAt = at
	g.mu.Unlock()
	g.pool.closeAll()
}

// kill sends SIGKILL.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
	g.setOpen(false)
	g.pool.closeAll()
}

// descriptors returns the number of open descriptors of the process.
func (g *gateway) descriptors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// delaysAround returns how long the gateway's processes waited for a processor close to a time.
func (g *gateway) delaysAround(t time.Time) (sum time.Duration) {
	for _, m := range g.runDelays {
		sum += m.around(t)
	}
	return sum
}
