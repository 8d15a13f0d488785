package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"aspenshed/internal/experiment/soak"
)

const soakDuration = 30 * time.Second // of the load, each seed

// newSoak runs gateways of this program as processes, under faults that seeds choose.
func newSoak() *cobra.Command {
	var first uint64
	var seeds, parallel int
	var duration time.Duration
	var logs string
	var memoryMB, clients int
	var only []string
	machine, troubles := true, true
	c := &cobra.Command{Use: "soak", Short: "Run gateways as processes under faults that a seed chooses, and check every rule", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			s := soakRuns{command: func(args ...string) *exec.Cmd {
				cmd := exec.Command(program, args...)
				cmd.Env = os.Environ()
				return cmd
			}, duration: duration, machine: machine, troubles: troubles, memoryMB: memoryMB, clients: clients, logs: logs, print: func(r *soak.Report) { fmt.Fprintln(c.OutOrStdout(), r) }}
			for _, name := range only {
				kind, err := soak.TroubleNamed(name)
				if err != nil {
					return err
				}
				s.only = append(s.only, kind)
			}
			return s.run(first, seeds, parallel)
		}}
	f := c.Flags()
	f.Uint64Var(&first, "first", 1, "first seed")
	f.IntVar(&seeds, "seeds", 50, "number of seeds")
	f.IntVar(&parallel, "parallel", 3, "runs side by side")
	f.DurationVar(&duration, "duration", soakDuration, "duration of the load of one seed")
	f.BoolVar(&machine, "machine", true, "add faults of the gateways' machines: system calls that fail, wrong clocks, unread logs")
	f.BoolVar(&troubles, "troubles", true, "add clients that take memory and time: slow writers, floods, clients that leave")
	f.StringSliceVar(&only, "trouble", nil, "one gateway, these troubles and no other fault; the usual clients' latency is compared")
	f.IntVar(&clients, "clients", 0, "number of clients of each --trouble; 0: as is usual for its kind")
	f.IntVar(&memoryMB, "memory", 0, "limit of a gateway's memory in MB; 0: as the seed chooses")
	f.StringVar(&logs, "logs", "", "folder that keeps the gateways' logs, one folder a seed; empty: a temporary one")
	return c
}

// soakRuns runs one seed after the other.
type soakRuns struct {
	command  func(args ...string) *exec.Cmd
	duration time.Duration
	machine  bool
	troubles bool
	only     []soak.TroubleKind
	clients  int // of each of only; 0: as is usual
	memoryMB int // 0: as the seed chooses
	logs     string
	print    func(*soak.Report)

	mu     sync.Mutex
	broken []uint64 // seeds with violations
	errs   []error
}

func (s *soakRuns) run(first uint64, seeds, parallel int) error {
	if s.logs == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		s.logs = dir
	}
	slots := make(chan struct{}, max(parallel, 1))
	for i := range seeds {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.runSeed(first + uint64(i))
		}()
	}
	for range cap(slots) {
		slots <- struct{}{}
	}
	if len(s.broken) > 0 {
		s.errs = append(s.errs, fmt.Errorf("rules broken with seeds %v", s.broken))
	}
	return errors.Join(s.errs...)
}

func (s *soakRuns) runSeed(seed uint64) {
	dir := filepath.Join(s.logs, fmt.Sprint("seed-", seed))
	err := os.MkdirAll(dir, 0o755)
	var report *soak.Report
	if err == nil {
		report, err = soak.Run(soak.Options{Plan: s.plan(seed), Dir: dir, Command: s.command})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.errs = append(s.errs, fmt.Errorf("seed %d: %w", seed, err))
		return
	}
	s.print(report)
	if len(report.Violations) > 0 {
		s.broken = append(s.broken, seed)
	}
}

func (s *soakRuns) plan(seed uint64) *soak.Plan {
	var plan *soak.Plan
	if len(s.only) > 0 {
		plan = soak.TroublePlan(seed, soak.DefaultMemoryMB, s.clients, s.only...)
	} else {
		plan = soak.NewPlan(seed, s.duration)
		if s.machine {
			plan.AddMachineFaults()
		}
		if s.troubles {
			plan.AddTroubles()
		}
	}
	plan.CheckMemory = true
	if s.memoryMB > 0 {
		plan.MemoryMB = s.memoryMB
	}
	return plan
}
