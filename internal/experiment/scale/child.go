package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

const (
	requestTimeout = 3 * time.Minute // for one order, the longest restart of a fleet included
	stopTimeout    = 15 * time.Second
)

// Executor carries orders out: a Worker in this process, or one in a child.
type Executor interface {
	Do(ctx context.Context, o Request) (Response, error)
	Close()
}

// ChildError is what a child answered that it could not do.
type ChildError struct{ Reason string }

func (e *ChildError) Error() string { return "child: " + e.Reason }

// Child is a Worker in a process of its own, which ends with its standard input.
type Child struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	mu    sync.Mutex // one order at a time
}

// StartChild starts one. The command is that of this program which serves a Worker.
func StartChild(command Command) (*Child, error) {
	c := &Child{cmd: command.exec()}
	c.cmd.Stderr = os.Stderr
	in, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.in, c.lines = in, bufio.NewScanner(out)
	c.lines.Buffer(nil, maxLineBytes)
	return c, c.cmd.Start()
}

// Command is a program with its arguments and what it gets beside this process's environment.
type Command struct {
	Path string
	Args []string
	Env  []string
}

func (c Command) exec() *exec.Cmd {
	cmd := exec.Command(c.Path, c.Args...)
	cmd.Env = append(os.Environ(), c.Env...)
	return cmd
}

// PID is the child's process.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Do hands an order to the child and waits for its answer. A child that does not answer in time is ended.
func (c *Child) Do(ctx context.Context, o Request) (a Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	encoded, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = c.cmd.Process.Kill() })()
	if _, err := c.in.Write(append(encoded, '\n')); err != nil {
		return a, fmt.Errorf("child %d: %w", c.PID(), err)
	}
	if !c.lines.Scan() {
		return a, fmt.Errorf("child %d has ended: %w", c.PID(), errors.Join(io.ErrUnexpectedEOF, c.lines.Err(), ctx.Err()))
	}
	if err := json.Unmarshal(c.lines.Bytes(), &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, &ChildError{a.Error}
	}
	return a, nil
}

// Kill ends the child at once, as the loss of its machine would.
func (c *Child) Kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// Close ends the child in order, and at once if it does not follow.
func (c *Child) Close() {
	_ = c.in.Close()
	timer := time.AfterFunc(stopTimeout, func() { _ = c.cmd.Process.Kill() })
	defer timer.Stop()
	_ = c.cmd.Wait()
}
