package scale

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

const (
	// memoryDivisor bounds a run's memory: all of its processes together may take the machine's memory divided by it.
	memoryDivisor = 2
	// workerMemoryLimit is the Go runtime's soft limit for a worker, bytes: 150 gateways hold some 2.6 MB each at
	// 21,000 members, and 16 workers stay below the bound of memoryDivisor on a machine with 24 GB.
	workerMemoryLimit = 600 << 20
	// growthMemoryLimit is the same while members are added: states that grew by changes take up to twice as much as
	// those of a snapshot, and with a heap at its limit the garbage collector would be measured.
	growthMemoryLimit     = 1800 << 20
	gatewaysPerWorker     = 150
	emptyWorkerSettleTime = 2 * time.Second // lets an empty worker finish its start
	loadClients           = 8
)

// ProcessOptions returns options that run daemons and workers as processes of a program, which has the commands
// serve and experiment hollow.
func ProcessOptions(program Command, dir string) Options {
	return Options{
		Dir: dir, Voters: 5, RealGateways: 2, ClientsPerGateway: loadClients, PerWorker: gatewaysPerWorker, Delays: true, MaxMemory: machineMemory() / memoryDivisor,
		GrowthMemoryLimit: growthMemoryLimit,
		NewInstance:       func() Instance { return &ProcessInstance{Command: program} },
		NewWorker:         func() (Executor, error) { return startWorkerProcess(program) },
		Progress:          func(string, ...any) {},
		EmptyWorkerUsage:  func() (Usage, error) { return measureEmptyWorkerUsage(program) },
		WorkerPID:         func(d Executor) int { return d.(*Child).PID() },
		KillWorker:        func(d Executor) { d.(*Child).Kill() },
	}
}

func startWorkerProcess(program Command) (Executor, error) {
	program.Args = append(append([]string(nil), program.Args...), "experiment", "hollow")
	program.Env = append(append([]string(nil), program.Env...), fmt.Sprint("GOMEMLIMIT=", workerMemoryLimit))
	return StartChild(program)
}

// measureEmptyWorkerUsage returns the usage of a configured worker without gateways.
func measureEmptyWorkerUsage(program Command) (Usage, error) {
	w, err := startWorkerProcess(program)
	if err != nil {
		return Usage{}, err
	}
	defer w.Close()
	if _, err := w.Do(context.Background(), Request{Configure: &Configure{Cluster: clusterName}}); err != nil {
		return Usage{}, err
	}
	time.Sleep(emptyWorkerSettleTime)
	return ReadUsage(w.(*Child).PID())
}

// machineMemory returns the machine's memory in bytes.
func machineMemory() int64 {
	const unknown = 8 << 30
	kilobytes, err := strconv.ParseInt(firstField("/proc/meminfo", "MemTotal:"), 10, 64)
	if err != nil {
		return unknown
	}
	return kilobytes << 10
}
