package scale

import (
	"errors"
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
)

// testInstance is a daemon in the test's own process.
type testInstance struct{ daemon *daemon.Daemon }

func (i *testInstance) Start(deployPath string) error {
	deploy, err := config.ReadDeploy(deployPath)
	if err != nil {
		return err
	}
	i.daemon, err = daemon.New(daemon.Config{Deploy: deploy, Path: deployPath, Seed: 1, Release: "scale", StoreHook: func(c *store.Config) { c.ShortTimeouts = true }})
	return err
}

func (i *testInstance) Kill() error {
	if i.daemon == nil {
		return nil
	}
	err := i.daemon.Kill()
	i.daemon = nil
	return err
}

func (i *testInstance) PID() int {
	if i.daemon == nil {
		return 0
	}
	return os.Getpid()
}

// testOptions run everything in the test's process.
func testOptions(t *testing.T) Options {
	p := ShortPlan()
	return Options{Dir: t.TempDir(), Voters: 3, RealGateways: 1, ClientsPerGateway: 2, PerWorker: p.Gateways[0], Delays: true, Seed: 1, MaxMemory: machineMemory() / memoryDivisor,
		NewInstance: func() Instance { return &testInstance{} },
		NewWorker:   func() (Executor, error) { return &Worker{}, nil },
		Progress:    t.Logf,
		WorkerPID:   func(Executor) int { return os.Getpid() },
		KillWorker:  func(d Executor) { d.Close() }}
}

// Runs all events on a small installation in this process. The checks do not depend on the machine's speed.
func TestShortPlan(t *testing.T) {
	logrus.SetOutput(io.Discard)
	run, err := Run(t.Context(), testOptions(t), ShortPlan())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range run.Checks {
		if !c.Passed {
			t.Errorf("%s: %v %s, bound %v (%s)", c.Name, c.Value, c.Unit, c.Bound, c.Detail)
		}
	}
	if len(run.Events) < 10 {
		t.Errorf("%d events", len(run.Events))
	}
}

func TestRunRejectsEmptyPlan(t *testing.T) {
	if _, err := Run(t.Context(), Options{}, Plan{}); !errors.Is(err, ErrEmptyPlan) {
		t.Error(err)
	}
}
