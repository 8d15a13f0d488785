package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"aspenshed/internal/experiment/soak"
)

const (
	shortSoak         = 24 * time.Second
	faultyMachineSeed = 19
)

// Guards warming databases and deadlines under faults, with gateways as processes (report 221955).
func TestShortSoakKeepsEveryRule(t *testing.T) {
	for _, seed := range []uint64{7, 23} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, soak.NewPlan(seed, shortSoak))
		})
	}
}

// Guards every rule under faults of the gateways' machines: wrong clocks, system calls that fail, logs that nobody reads.
func TestShortSoakOnFaultyMachinesKeepsEveryRule(t *testing.T) {
	plan := soak.NewPlan(faultyMachineSeed, shortSoak)
	plan.AddMachineFaults()
	runSoak(t, plan)
}

// runSoak runs a plan, which makes databases cold.
func runSoak(t *testing.T, plan *soak.Plan) {
	report, err := soak.Run(soak.Options{Plan: plan, Dir: t.TempDir(), Command: gatewayCommand(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 || report.Starts == 0 || report.ServedCold == 0 {
		t.Errorf("%d rules broken, %d cold starts, %d served while cold", len(report.Violations), report.Starts, report.ServedCold)
	}
}

// gatewayCommand runs the test binary as the platform's gateway. Its standard input ends with the test.
func gatewayCommand(t *testing.T) func(...string) *exec.Cmd {
	return func(args ...string) *exec.Cmd {
		input, keep, err := os.Pipe()
		if err != nil {
			t.Error(err)
		}
		t.Cleanup(func() {
			input.Close()
			keep.Close()
		})
		cmd := exec.Command(os.Args[0])
		// At its end the race detector waits for a second, which the platform's time to end does not hold.
		cmd.Env = append(os.Environ(), "ASPENSHED_TEST_RUN= "+strings.Join(args, " "), "GORACE=atexit_sleep_ms=0 "+os.Getenv("GORACE"))
		cmd.Stdin = input
		return cmd
	}
}
