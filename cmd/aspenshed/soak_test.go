package main

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"aspenshed/internal/experiment/soak"
)

const shortSoak = 24 * time.Second

// Guards warming databases and deadlines under faults, with gateways as processes (report 221955).
func TestShortSoakKeepsEveryRule(t *testing.T) {
	for _, seed := range []uint64{7, 23} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(soak.Options{Plan: soak.NewPlan(seed, shortSoak), Dir: t.TempDir(), Command: gatewayCommand(t)})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Violations) > 0 || report.Starts == 0 || report.ServedCold == 0 {
				t.Errorf("%d rules broken, %d cold starts, %d served while cold", len(report.Violations), report.Starts, report.ServedCold)
			}
		})
	}
}

// gatewayCommand runs the test binary as the platform's gateway. Its standard input ends with the test.
func gatewayCommand(t *testing.T) func() *exec.Cmd {
	return func() *exec.Cmd {
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
		cmd.Env = append(os.Environ(), "ASPENSHED_TEST_RUN= ", "GORACE=atexit_sleep_ms=0 "+os.Getenv("GORACE"))
		cmd.Stdin = input
		return cmd
	}
}
