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
	requestTimeout = 3 * time.Minute // for one request; covers the longest restart of a fleet
	stopTimeout    = 15 * time.Second
)

// Executor executes requests: a Worker in this process, or one in a child process.
type Executor interface {
	Do(ctx context.Context, request Request) (Response, error)
	Close()
}

// ChildError is an error that a child process returned in its response.
type ChildError struct{ Reason string }

func (e *ChildError) Error() string { return "child: " + e.Reason }

// Child is a Worker in a process of its own, which exits when its standard input closes.
type Child struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	mu    sync.Mutex // one request at a time
}

// StartChild starts a child process. The command must run Worker.Serve.
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

// Command is a program with its arguments and additional environment variables.
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

// PID returns the child's process ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Do sends a request to the child and waits for its response. A child that does not respond in time is killed.
func (c *Child) Do(ctx context.Context, request Request) (response Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	encoded, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = c.cmd.Process.Kill() })()
	if _, err := c.in.Write(append(encoded, '\n')); err != nil {
		return response, fmt.Errorf("write to child %d: %w", c.PID(), err)
	}
	if !c.lines.Scan() {
		return response, fmt.Errorf("child %d exited: %w", c.PID(), errors.Join(io.ErrUnexpectedEOF, c.lines.Err(), ctx.Err()))
	}
	if err := json.Unmarshal(c.lines.Bytes(), &response); err != nil {
		return response, err
	}
	if response.Error != "" {
		return response, &ChildError{response.Error}
	}
	return response, nil
}

// Kill kills the child immediately, simulating the loss of its machine.
func (c *Child) Kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// Close stops the child by closing its input, and kills it if it does not exit in time.
func (c *Child) Close() {
	_ = c.in.Close()
	timer := time.AfterFunc(stopTimeout, func() { _ = c.cmd.Process.Kill() })
	defer timer.Stop()
	_ = c.cmd.Wait()
}
