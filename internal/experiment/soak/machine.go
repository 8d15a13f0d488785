package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"aspenshed/internal/experiment/sysfault"
)

// MachineFault is a fault of the machine of one gateway, for a while.
type MachineFault struct {
	At, For   time.Duration
	Gateway   int
	Calls     []sysfault.Fault // system calls that fail
	LogUnread bool             // nobody reads the log
}

func (f MachineFault) String() string {
	text := fmt.Sprintf("%.1fs gateway %d for %.1fs:", f.At.Seconds(), f.Gateway, f.For.Seconds())
	for _, call := range f.Calls {
		text += " " + call.String()
	}
	if f.LogUnread {
		text += " log unread"
	}
	return text
}

// clockOffsets are how wrong a gateway's wall clock may be at its start.
var clockOffsets = []time.Duration{0, -3 * time.Second, 3 * time.Second, -time.Hour, time.Hour, -800 * time.Millisecond}

// AddMachineFaults adds faults of the gateways' machines to the plan: system calls that fail, wrong clocks, unread logs. What
// the seed has chosen before stays.
func (p *Plan) AddMachineFaults() {
	rng := rand.New(rand.NewPCG(p.Seed, 0xfa17))
	seconds := func(a, b float64) time.Duration {
		return time.Duration((a + (b-a)*rng.Float64()) * float64(time.Second))
	}
	for range p.Gateways {
		p.ClockOffsets = append(p.ClockOffsets, clockOffsets[rng.IntN(len(clockOffsets))])
	}
	for range 2 + rng.IntN(4) {
		f := MachineFault{At: seconds(1, (p.Duration - tailTime).Seconds()), Gateway: rng.IntN(p.Gateways)}
		switch rng.IntN(5) {
		case 0:
			f.For = seconds(0.1, 1)
			f.Calls = append(f.Calls, sysfault.Fault{Call: sysfault.Accept, Errno: pick(rng, sysfault.AcceptErrors), Probability: 0.2 + 0.6*rng.Float64()})
		case 1:
			f.For = seconds(0.1, 4)
			f.Calls = append(f.Calls, sysfault.Fault{Call: sysfault.Connect, Errno: pick(rng, sysfault.ResourceErrors), Probability: 0.2 + 0.8*rng.Float64()})
		case 2:
			f.For = seconds(0.1, 4)
			f.Calls = append(f.Calls, sysfault.Fault{Call: sysfault.Connect, Errno: pick(rng, sysfault.RouteErrors), Probability: 0.2 + 0.8*rng.Float64()})
		case 3:
			f.For = seconds(0.5, 4)
			f.Calls = append(f.Calls, sysfault.Fault{Call: sysfault.Read, MaxBytes: 1 + rng.IntN(20), Probability: 0.5},
				sysfault.Fault{Call: sysfault.Write, MaxBytes: 1 + rng.IntN(20), Probability: 0.5})
		case 4:
			f.For = seconds(3, 15)
			f.LogUnread = true
		}
		p.MachineFaults = append(p.MachineFaults, f)
	}
}

func pick(rng *rand.Rand, errors []syscall.Errno) syscall.Errno { return errors[rng.IntN(len(errors))] }

// applyMachineFault has a fault in effect for its time.
func (r *run) applyMachineFault(f MachineFault) {
	g := r.gateways[f.Gateway]
	g.log.pause(f.LogUnread)
	g.setCallFaults(r, f.Calls)
	time.Sleep(f.For)
	g.setCallFaults(r, nil)
	g.log.pause(false)
}

// setCallFaults makes system calls of the gateway fail, or none.
func (g *gateway) setCallFaults(r *run, faults []sysfault.Fault) {
	state := sysfault.State{ClockOffset: g.clockOffset(), Faults: faults}
	if err := sysfault.WriteState(g.machinePath(), state); err != nil {
		r.problem(err)
	}
}

// clockOffset is how wrong the wall clock of the gateway's machine is.
func (g *gateway) clockOffset() time.Duration {
	if len(g.plan.ClockOffsets) == 0 {
		return 0
	}
	return g.plan.ClockOffsets[g.index]
}

func (g *gateway) hasMachineFaults() bool { return len(g.plan.MachineFaults) > 0 }

// logPipe copies what a process writes into a file, through a pipe that may stay unread for a while.
type logPipe struct {
	file   *os.File
	mu     sync.Mutex
	change *sync.Cond
	paused bool
}

// pipeSize is the size of the pipe, the smallest that there is: it is soon full.
const pipeSize = 4096

// fcntlSetPipeSize is F_SETPIPE_SZ of Linux, which package syscall doesn't name.
const fcntlSetPipeSize = 1031

func newLogPipe(path string) (*logPipe, error) {
	file, err := os.Create(path)
	l := &logPipe{file: file}
	l.change = sync.NewCond(&l.mu)
	return l, err
}

// open returns the end of a new pipe for a process, which the caller closes once the process has it.
func (l *logPipe) open() (*os.File, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), fcntlSetPipeSize, pipeSize); errno != 0 {
		return nil, os.NewSyscallError("fcntl", errno)
	}
	go l.copyFrom(reader)
	return writer, nil
}

func (l *logPipe) copyFrom(reader *os.File) {
	defer reader.Close()
	buffer := make([]byte, pipeSize)
	for {
		l.waitUntilRead()
		n, err := reader.Read(buffer)
		if _, writeErr := l.file.Write(buffer[:n]); err == io.EOF || writeErr != nil {
			return
		}
	}
}

func (l *logPipe) waitUntilRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.paused {
		l.change.Wait()
	}
}

func (l *logPipe) pause(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	l.change.Broadcast()
}
