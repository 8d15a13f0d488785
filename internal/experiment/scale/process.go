package scale

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

const (
	// memoryDivisor is the part of the machine's memory that a run may take at most, all of its processes together.
	memoryDivisor = 2
	// workerMemoryLimit is the Go runtime's soft limit for a worker, bytes: 150 gateways hold some 2.6 MB each at 21,000 members,
	// and 16 workers stay below memoryShare of 24 GB.
	workerMemoryLimit = 600 << 20
	// growthMemoryLimit is the same while members come in: states that grew by changes take up to twice as much as those of a
	// snapshot, and a heap at its limit would measure the collector.
	growthMemoryLimit     = 1800 << 20
	gatewaysPerWorker     = 150
	emptyWorkerSettleTime = 2 * time.Second // for an empty worker's start
	loadClients           = 8
)

// ProcessOptions run daemons and workers as processes of a program, which has the commands serve and experiment hollow.
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

// measureEmptyWorkerUsage is what a worker uses that has its engine and no gateway.
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

// machineMemory is that of the machine, bytes.
func machineMemory() int64 {
	const unknown = 8 << 30
	kilobytes, err := strconv.ParseInt(firstField("/proc/meminfo", "MemTotal:"), 10, 64)
	if err != nil {
		return unknown
	}
	return kilobytes << 10
}
