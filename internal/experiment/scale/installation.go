package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Options configures a run.
type Options struct {
	Dir               string // existing directory for configuration and data
	Voters            int
	RealGateways      int
	ClientsPerGateway int // of each real gateway
	PerWorker         int // hollow gateways of one worker
	InitialMembers    int // members at the start
	Delays            bool
	JoinSpread        time.Duration // period over which the gateways of one worker start
	Seed              uint64
	MaxMemory         int64 // limit for all processes together, bytes
	GrowthMemoryLimit int64 // soft heap limit of workers while members are added, bytes; 0: unchanged

	NewInstance      func() Instance          // runs a daemon
	NewWorker        func() (Executor, error) // runs hollow gateways or the load
	Progress         func(string, ...any)     // may be called from any goroutine
	EmptyWorkerUsage func() (Usage, error)    // usage of a worker without gateways; nil: not measured
	WorkerPID        func(Executor) (pid int) // process of a worker
	KillWorker       func(Executor)           // kills a worker at once, simulating the loss of its machine
}

const (
	loadDatabases = 6
	loadPause     = 50 * time.Millisecond
)

// installation is everything that runs: voters, real gateways, workers with hollow gateways, and one worker with
// the load.
type installation struct {
	options  Options
	voters   []*Node
	gateways []*Node
	load     Executor
	workers  []Executor // worker i runs the hollow gateways from i*PerWorker on
	observer *Observer

	mu               sync.Mutex // one batch at a time
	submitter        *Submitter
	expected         *ExpectedState
	changes          *ChangeGenerator
	partitionChanges []change  // submitted by a gateway inside the partition
	healedAt         time.Time // end of the last partition
}

// newInstallation starts voters, real gateways and their load.
func newInstallation(ctx context.Context, o Options, randomIndex func(int) int) (x *installation, err error) {
	x = &installation{options: o, expected: NewExpectedState()}
	x.changes = &ChangeGenerator{expected: x.expected, randomIndex: randomIndex}
	for _, step := range []func(context.Context) error{x.startLoad, x.startVoters, x.startObserver, x.addInitialMembers, x.startGateways} {
		if err := step(ctx); err != nil {
			return x, err
		}
	}
	return x, nil
}

// startLoad starts the stand-in databases. Their clients are started with the real gateways.
func (x *installation) startLoad(ctx context.Context) (err error) {
	if x.options.RealGateways == 0 {
		return nil
	}
	if x.load, err = x.options.NewWorker(); err != nil {
		return err
	}
	_, err = x.load.Do(ctx, Request{Load: &Load{Databases: loadDatabases}})
	return err
}

func (x *installation) databases(ctx context.Context) ([]Database, error) {
	if x.load == nil {
		return nil, nil
	}
	response, err := x.load.Do(ctx, Request{Report: &Report{}})
	if err != nil {
		return nil, err
	}
	return response.Load.Databases, nil
}

func (x *installation) startVoters(ctx context.Context) error {
	for i := range x.options.Voters {
		n, err := newNode(x.options.Dir, fmt.Sprint("voter-", i), x.options.NewInstance())
		if err != nil {
			return err
		}
		x.voters = append(x.voters, n)
	}
	for _, v := range x.voters {
		if err := v.writeVoterConfig(x.voters); err != nil {
			return err
		}
		if err := v.Start(); err != nil {
			return err
		}
	}
	return waitUntil(ctx, "a leader of the voters", voterStartTimeout, func() bool { return leaderOf(x.voters) != nil })
}

func (x *installation) startGateways(ctx context.Context) error {
	databases, err := x.databases(ctx)
	if err != nil {
		return err
	}
	var fronts []string
	for i := range x.options.RealGateways {
		n, err := newNode(x.options.Dir, fmt.Sprint("gateway-", i), x.options.NewInstance())
		if err != nil {
			return err
		}
		x.gateways = append(x.gateways, n)
		if err := n.writeGatewayConfig(x.servers(), zones[GatewayZone(i)], databases); err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
		fronts = append(fronts, n.Front)
	}
	if len(fronts) == 0 {
		return nil
	}
	_, err = x.load.Do(ctx, Request{Load: &Load{Gateways: fronts, Clients: x.options.ClientsPerGateway, Pause: loadPause}})
	return err
}

// servers returns the addresses of the voters' control streams.
func (x *installation) servers() (out []string) {
	for _, v := range x.voters {
		out = append(out, v.Subscribers)
	}
	return out
}

func (x *installation) configuration() Configure {
	return Configure{Cluster: clusterName, Servers: x.servers(), Delays: x.options.Delays, Seed: x.options.Seed}
}

func (x *installation) startObserver(ctx context.Context) (err error) {
	var services []string
	for _, v := range x.voters {
		services = append(services, v.Service)
	}
	x.submitter = NewSubmitter(clusterName, fmt.Sprint("runner/", x.options.Seed), services)
	x.observer, err = NewObserver(x.configuration())
	return err
}

const (
	entriesPerCommand = 500                    // members added by one command
	growthPause       = 500 * time.Millisecond // between two commands: members are added rack by rack, not all at once
)

// addInitialMembers adds the stand-in databases, then members up to the number in the options.
func (x *installation) addInitialMembers(ctx context.Context) error {
	databases, err := x.databases(ctx)
	if err != nil {
		return err
	}
	var entries []*pb.Entry
	for _, d := range databases {
		entries = append(entries, standinEntry(d))
	}
	if len(entries) > 0 {
		if err := x.submit(ctx, change{upsert(entries...), func() {}}); err != nil {
			return err
		}
	}
	return x.addMembersUpTo(ctx, x.options.InitialMembers)
}

func (x *installation) addMembersUpTo(ctx context.Context, members int) error {
	for from := x.changes.memberCount; from < members; from += entriesPerCommand {
		if err := x.submit(ctx, x.changes.addMembers(from, min(from+entriesPerCommand, members))); err != nil {
			return err
		}
		if err := sleepContext(ctx, growthPause); err != nil {
			return err
		}
	}
	return nil
}

// submit submits changes and records each in the expected state once committed.
func (x *installation) submit(ctx context.Context, changes ...change) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		if err := x.submitter.Submit(ctx, c.command); err != nil {
			return err
		}
		c.onCommitted()
	}
	return nil
}

// commitMarker commits a marker and returns the revision at which the observer receives it. A subscriber that has
// applied this revision has applied every change that was committed before.
func (x *installation) commitMarker(ctx context.Context) (uint64, error) {
	x.mu.Lock()
	marker := x.changes.setMarker()
	value := fmt.Sprint(x.changes.markerValue)
	x.mu.Unlock()
	if err := x.submit(ctx, marker); err != nil {
		return 0, err
	}
	err := waitUntil(ctx, "the marker at the observer", writeTimeout, func() bool { return x.observer.Pair(markerKey) == value })
	return x.observer.Revision(), err
}

// addGateways starts workers until the given number of hollow gateways run. All new workers start theirs
// concurrently.
func (x *installation) addGateways(ctx context.Context, gateways int) error {
	var added sync.WaitGroup
	failures := make(chan error, gateways) // errors of the starts
	for first := len(x.workers) * x.options.PerWorker; first < gateways; first += x.options.PerWorker {
		w, err := x.startWorker(ctx)
		if err != nil {
			failures <- err
			break
		}
		x.workers = append(x.workers, w)
		start := Start{From: first, Until: min(first+x.options.PerWorker, gateways), Spread: x.options.JoinSpread}
		added.Add(1)
		go func() {
			defer added.Done()
			if _, err := w.Do(ctx, Request{Start: &start}); err != nil {
				failures <- err
			}
		}()
	}
	added.Wait()
	close(failures)
	return <-failures
}

func (x *installation) startWorker(ctx context.Context) (Executor, error) {
	w, err := x.options.NewWorker()
	if err != nil {
		return nil, err
	}
	configuration := x.configuration()
	if _, err := w.Do(ctx, Request{Configure: &configuration}); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// replaceWorker starts a new worker with the gateways of a lost one.
func (x *installation) replaceWorker(ctx context.Context, i int) error {
	w, err := x.startWorker(ctx)
	if err != nil {
		return err
	}
	start := Start{From: i * x.options.PerWorker, Until: (i + 1) * x.options.PerWorker, Spread: x.options.JoinSpread}
	if _, err = w.Do(ctx, Request{Start: &start}); err != nil {
		w.Close()
		return err
	}
	x.workers = append(x.workers, w)
	return nil
}

// setMemoryLimit sets the soft heap limit of all workers. A limit of 0 leaves it unchanged.
func (x *installation) setMemoryLimit(ctx context.Context, limit int64) error {
	if limit == 0 {
		return nil
	}
	_, err := x.broadcast(ctx, Request{Memory: &Memory{Limit: limit}})
	return err
}

// broadcast sends a request to all workers concurrently.
func (x *installation) broadcast(ctx context.Context, r Request) ([]Response, error) {
	responses, errs := make([]Response, len(x.workers)), make([]error, len(x.workers))
	var wg sync.WaitGroup
	for i, w := range x.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i], errs[i] = w.Do(ctx, r)
		}()
	}
	wg.Wait()
	return responses, errors.Join(errs...)
}

// report returns the combined state of all hollow gateways.
func (x *installation) report(ctx context.Context, r Report) (fleetTotal, error) {
	responses, err := x.broadcast(ctx, Request{Report: &r})
	if err != nil {
		return fleetTotal{}, err
	}
	total := newFleetTotal()
	for i, response := range responses {
		if err := total.add(response.Fleet, x.options.WorkerPID(x.workers[i])); err != nil {
			return total, err
		}
	}
	return total, nil
}

// closeWorkers stops all workers and their hollow gateways.
func (x *installation) closeWorkers() {
	var wg sync.WaitGroup
	for _, w := range x.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.Close()
		}()
	}
	wg.Wait()
	x.workers = nil
}

// close stops everything that was started.
func (x *installation) close() (err error) {
	if x.submitter != nil {
		x.submitter.Close()
	}
	if x.observer != nil {
		x.observer.Close()
	}
	x.closeWorkers()
	if x.load != nil {
		x.load.Close()
	}
	for _, n := range append(x.gateways, x.voters...) {
		err = errors.Join(err, n.Instance.Kill())
	}
	return err
}

// memory returns the resident memory of all processes of this run, including this one.
func (x *installation) memory() (bytes int64, err error) {
	pids := map[int]bool{os.Getpid(): true}
	for _, w := range append(x.workers, x.load) {
		if w != nil {
			pids[x.options.WorkerPID(w)] = true
		}
	}
	for _, n := range append(x.gateways, x.voters...) {
		pids[n.Instance.PID()] = true
	}
	delete(pids, 0)
	for pid := range pids {
		u, err := ReadUsage(pid)
		if err != nil {
			return 0, err
		}
		bytes += u.Memory
	}
	return bytes, nil
}
