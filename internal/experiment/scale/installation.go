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

// Options of a run.
type Options struct {
	Dir               string // for configuration and data; it is there
	Voters            int
	RealGateways      int
	ClientsPerGateway int // of each real gateway
	PerWorker         int // hollow gateways of one worker
	InitialMembers    int // at the start
	Delays            bool
	JoinSpread        time.Duration // over which the gateways of one worker start
	Seed              uint64
	MaxMemory         int64 // bytes of all processes together
	GrowthMemoryLimit int64 // the soft limit of workers' heaps while members come in; 0: as they were started

	NewInstance      func() Instance          // of a daemon
	NewWorker        func() (Executor, error) // of hollow gateways, or of the load
	Progress         func(string, ...any)     // may be called from any goroutine
	EmptyWorkerUsage func() (Usage, error)    // what a worker without gateways uses; nil: not measured
	WorkerPID        func(Executor) (pid int) // the process that a worker runs in
	KillWorker       func(Executor)           // ends a worker at once, as its machine's loss would
}

const (
	loadDatabases = 6
	loadPause     = 50 * time.Millisecond
)

// installation is all that runs: voters, real gateways, workers with hollow gateways, and one with the load.
type installation struct {
	options  Options
	voters   []*Node
	gateways []*Node
	load     Executor
	workers  []Executor // the i-th runs the hollow gateways from i*PerWorker on
	observer *Observer

	mu               sync.Mutex // one batch at a time
	submitter        *Submitter
	expected         *ExpectedState
	changes          *ChangeGenerator
	partitionChanges []change // handed up by a gateway that was cut off
}

// newInstallation starts voters, real gateways and their load.
func newInstallation(ctx context.Context, o Options, next func(int) int) (x *installation, err error) {
	x = &installation{options: o, expected: NewExpectedState()}
	x.changes = &ChangeGenerator{expected: x.expected, randomIndex: next}
	for _, step := range []func(context.Context) error{x.startLoad, x.startVoters, x.startObserver, x.addInitialMembers, x.startGateways} {
		if err := step(ctx); err != nil {
			return x, err
		}
	}
	return x, nil
}

// startLoad starts the stand-in databases; their clients come once there are gateways.
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
	answer, err := x.load.Do(ctx, Request{Report: &Report{}})
	if err != nil {
		return nil, err
	}
	return answer.Load.Databases, nil
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

// servers are the addresses of the control streams.
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
	entriesPerCommand = 500                    // members that one command brings in
	growthPause       = 500 * time.Millisecond // between two of them: members come in by the rack, not all at once
)

// addInitialMembers brings in the stand-in databases, and members until there are so many as the options name.
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

// submit has changes agreed on and enters them into the ledger.
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

// commitMarker marks the state and returns the revision at which the control plane distributes the mark: whoever has it in force
// has all that was agreed on before.
func (x *installation) commitMarker(ctx context.Context) (uint64, error) {
	x.mu.Lock()
	mark := x.changes.setMarker()
	value := fmt.Sprint(x.changes.markerValue)
	x.mu.Unlock()
	if err := x.submit(ctx, mark); err != nil {
		return 0, err
	}
	err := waitUntil(ctx, "a mark at the observer", writeTimeout, func() bool { return x.observer.Pair(markerKey) == value })
	return x.observer.Revision(), err
}

// addGateways starts workers until there are so many hollow gateways. Those of all new workers start at the same time.
func (x *installation) addGateways(ctx context.Context, gateways int) error {
	var added sync.WaitGroup
	failures := make(chan error, gateways) // of the starts
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

// replaceWorker starts the gateways of a worker that was lost, anew.
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

// setMemoryLimit sets the soft limit of all workers' heaps; 0: it stays.
func (x *installation) setMemoryLimit(ctx context.Context, limit int64) error {
	if limit == 0 {
		return nil
	}
	_, err := x.broadcast(ctx, Request{Memory: &Memory{Limit: limit}})
	return err
}

// broadcast hands an order to all workers side by side.
func (x *installation) broadcast(ctx context.Context, o Request) ([]Response, error) {
	answers, errs := make([]Response, len(x.workers)), make([]error, len(x.workers))
	var wait sync.WaitGroup
	for i, w := range x.workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i], errs[i] = w.Do(ctx, o)
		}()
	}
	wait.Wait()
	return answers, errors.Join(errs...)
}

// report is how all hollow gateways stand, added up.
func (x *installation) report(ctx context.Context, o Report) (fleetTotal, error) {
	answers, err := x.broadcast(ctx, Request{Report: &o})
	if err != nil {
		return fleetTotal{}, err
	}
	total := newFleetTotal()
	for i, a := range answers {
		if err := total.add(a.Fleet, x.options.WorkerPID(x.workers[i])); err != nil {
			return total, err
		}
	}
	return total, nil
}

// closeWorkers ends all hollow gateways.
func (x *installation) closeWorkers() {
	var wait sync.WaitGroup
	for _, w := range x.workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			w.Close()
		}()
	}
	wait.Wait()
	x.workers = nil
}

// close ends all that was started.
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

// memory is what all processes hold that this run has started, and this one.
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
