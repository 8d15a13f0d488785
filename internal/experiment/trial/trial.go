// Package trial runs an installation of three instances under load, partitions the leader from the others, kills
// another instance, drains a database and restarts another cold, and reports what clients and databases observed. It
// also measures the store alone.
package trial

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"aspenshed"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/experiment/pgclient"
	"aspenshed/internal/experiment/standin"
	"aspenshed/internal/netio"
)

// Options are the options of a trial.
type Options struct {
	Clients       int           // clients of each instance
	Pause         time.Duration // pause of a client between two requests
	PartitionTime time.Duration // how long the leader is partitioned from the other instances
	Leases        bool          // share the capacity of a cold database by leases
	Limits        standin.Limits
	Kill          bool // kill another instance during the partition and start it again
	SkewClocks    bool // run the clocks of the instances 5% slow, right and 5% fast
}

// skewedClock is a clock that runs at a multiple of real time.
type skewedClock struct {
	start time.Time
	rate  float64
}

func (c skewedClock) Now() aspenshed.Nanos {
	return aspenshed.Nanos(c.start.UnixNano() + int64(c.rate*float64(time.Since(c.start))))
}

// Report is the result of a trial. Its field names are part of the JSON output of the experiment command.
type Report struct {
	Served, Refused, Failed int64
	PerSecond               float64
	LongestGap              []time.Duration // longest time between two served requests, by instance
	LateDrains              int             // requests that the drained database received after its grace period
	HighestCold             float64         // largest share of the overload limit that the cold database reached
	Fell                    bool            // the cold database crashed
	WarmAfter               time.Duration   // time from the restart of the cold database until all instances report it warm
	MostRun                 int             // largest number of executions of one order
	Equal                   bool            // the catalogs are equal at the end
	Cut                     int             // index of the instance that was partitioned: the former leader
	Modes                   []string        // store modes of the instances at the end of the partition
}

// partitionedNetwork connects the stores of the instances and isolates some of them from the others.
type partitionedNetwork struct {
	mu         sync.Mutex
	isolated   map[int]bool
	transports []*raft.InmemTransport
}

func (n *partitionedNetwork) separated(a, b int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[a] != n.isolated[b]
}

func (n *partitionedNetwork) setIsolated(i int, isolated bool) {
	n.mu.Lock()
	n.isolated[i] = isolated
	n.mu.Unlock()
	n.applyPartition()
}

func (n *partitionedNetwork) applyPartition() {
	for i, x := range n.transports {
		for j, y := range n.transports {
			if i == j || x == nil || y == nil {
				continue
			}
			if n.separated(i, j) {
				x.Disconnect(y.LocalAddr())
			} else {
				x.Connect(y.LocalAddr(), y)
			}
		}
	}
}

// attach connects an instance to the network: its Raft transport and its calls to other instances.
func (n *partitionedNetwork) attach(i int, config *store.Config) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(config.Address))
	for len(n.transports) <= i {
		n.transports = append(n.transports, nil)
	}
	n.transports[i] = t
	config.Transport = t
	peers := config.Peers
	config.WrapCaller = func(next store.Caller) store.Caller {
		return callerFunc(func(service string, call *pb.Call, timeout time.Duration) (*pb.Reply, error) {
			for j, p := range peers {
				if p.Service == service && n.separated(i, j) {
					return nil, store.ErrUnavailable
				}
			}
			return next.Call(service, call, timeout)
		})
	}
	n.applyPartition()
}

type callerFunc func(string, *pb.Call, time.Duration) (*pb.Reply, error)

func (f callerFunc) Call(service string, call *pb.Call, timeout time.Duration) (*pb.Reply, error) {
	return f(service, call, timeout)
}

// Run runs a trial in a temporary directory.
func Run(o Options) (r Report, err error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	network := &partitionedNetwork{isolated: map[int]bool{}}
	opts := daemon.DemoOptions{Instances: 3, Limits: o.Limits, StoreHook: network.attach}
	if !o.Leases {
		opts.EditConfig = func(text string) string {
			return strings.Replace(text, "  cluster:", "  no_leases: true\n  cluster:", 1)
		}
	}
	if o.SkewClocks {
		opts.Clock = func(i int) eventloop.Clock { return skewedClock{time.Now(), 0.95 + 0.05*float64(i)} }
	}
	d, err := daemon.NewDemo(dir, opts)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	if err := waitUntil("members at all instances", func() bool {
		return len(instanceMembers(d, 0)) == 6 && len(instanceMembers(d, 1)) == 6 && len(instanceMembers(d, 2)) == 6
	}); err != nil {
		return r, err
	}
	group := d.Databases["postgres"]
	dbs := group.DBs()
	l := startLoad(d, o)
	time.Sleep(2 * time.Second) // the gateways must first learn how warm databases respond
	const drained, cold = 1, 2
	isolated := -1 // the former leader, in the minority
	if err := waitUntil("a leader", func() bool {
		for i, x := range d.Instances {
			if x.Store.Mode() == mode.Leading {
				isolated = i
			}
		}
		return isolated >= 0
	}); err != nil {
		return r, err
	}
	remaining, killed := (isolated+1)%3, (isolated+2)%3
	admin := d.Deploys[remaining].Admin.Socket
	partitionStart := time.Now()
	network.setIsolated(isolated, true)
	// The drain is committed while the former leader is partitioned. That instance learns of it only from the inventory
	// that it reloads; the inventories that the others have loaded still say in_service. The grace period of the database
	// starts once the drain is committed, as the commit may take an election: the leader has just been lost.
	if _, err := daemon.CallAdmin(admin, daemon.AdminRequest{Command: "drain", Key: dbs[drained].ID}); err != nil {
		return r, fmt.Errorf("drain: %w", err)
	}
	dbs[drained].Drain()
	if err := d.WriteInventory("postgres", 1, dbs[drained].ID); err != nil {
		return r, err
	}
	d.Instances[isolated].Reload()
	// A database restarts cold at this time. Both sides are notified; only the majority can commit anything.
	dbs[cold].Restart()
	restartedAt := time.Now()
	if _, err := daemon.CallAdmin(admin, daemon.AdminRequest{Command: "restart", Key: dbs[cold].ID}); err != nil {
		return r, fmt.Errorf("restart: %w", err)
	}
	d.Instances[isolated].RunOnLoop(func() {
		d.Instances[isolated].Front(daemon.WirePostgres).NotifyStarted(dbs[cold].ID, restartedAt)
	})
	if o.Kill {
		time.Sleep(o.PartitionTime / 3)
		if err := d.Instances[killed].Kill(); err != nil {
			return r, err
		}
		if err := d.Start(killed); err != nil {
			return r, err
		}
		l.updateAddress(killed, d)
	}
	time.Sleep(time.Until(partitionStart.Add(o.PartitionTime)))
	r.Cut = isolated
	for _, x := range d.Instances {
		r.Modes = append(r.Modes, x.Store.Mode().String())
	}
	network.setIsolated(isolated, false)
	err = waitUntil("all instances to report the cold database as warm", func() bool {
		for i := range d.Instances {
			for _, m := range instanceMembers(d, i) {
				if m.ID == dbs[cold].ID && m.Warmth != "warm" {
					return false
				}
			}
		}
		return true
	})
	r.WarmAfter = time.Since(restartedAt)
	l.stop(&r)
	err = errors.Join(err, waitUntil("equal catalogs", func() bool {
		a, b, c := d.Instances[0].Store.Status().Digest, d.Instances[1].Store.Status().Digest, d.Instances[2].Store.Status().Digest
		r.Equal = a == b && b == c
		return r.Equal
	}))
	r.LateDrains, r.HighestCold, r.Fell = dbs[drained].Report().AfterDrainGrace, dbs[cold].Report().PeakOverload, dbs[cold].Report().Crashed
	r.MostRun = group.MaxExecutions()
	return r, err
}

func instanceMembers(d *daemon.Demo, i int) []daemon.Member { return d.Instances[i].Members() }

// waitUntil polls a condition for up to 60 s.
func waitUntil(what string, ok func() bool) error {
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
	}
	return nil
}

// loadGenerator runs clients that each send one request at a time.
type loadGenerator struct {
	net       *netio.Net
	stopped   atomic.Bool
	wg        sync.WaitGroup
	startedAt time.Time
	lastID    atomic.Int64
	addresses [3]atomic.Pointer[string]

	counts     pgclient.Counts
	mu         sync.Mutex
	lastServed [3]time.Time
	longestGap [3]time.Duration
}

func startLoad(d *daemon.Demo, o Options) *loadGenerator {
	n, _ := netio.New(netio.Config{Name: "load", MaxDials: 4096})
	l := &loadGenerator{net: n, startedAt: time.Now()}
	for i := range d.Instances {
		l.updateAddress(i, d)
		l.lastServed[i] = time.Now()
		for k := range o.Clients {
			l.wg.Add(1)
			go l.runClient(i, k, o.Pause)
		}
	}
	return l
}

// updateAddress makes the clients of an instance connect to its present address.
func (l *loadGenerator) updateAddress(i int, d *daemon.Demo) {
	a := d.Instances[i].Front(daemon.WirePostgres).Net.Addr()
	l.addresses[i].Store(&a)
}

func (l *loadGenerator) stop(r *Report) {
	l.stopped.Store(true)
	l.wg.Wait()
	l.net.Stop()
	r.Served, r.Refused, r.Failed = l.counts.Served.Load(), l.counts.Refused.Load(), l.counts.Failed.Load()
	r.PerSecond = float64(r.Served) / time.Since(l.startedAt).Seconds()
	r.LongestGap = append(r.LongestGap, l.longestGap[:]...)
}

func (l *loadGenerator) runClient(i, k int, pause time.Duration) {
	defer l.wg.Done()
	var c *pgclient.Client
	for n := 0; !l.stopped.Load(); n++ {
		time.Sleep(pause) // paces the load; nothing is synchronized by it
		if c == nil {
			var err error
			if c, err = pgclient.Dial(l.net, *l.addresses[i].Load()); err != nil {
				c = nil
				continue
			}
		}
		class, format := "point-read", "SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=%s,d=900,cluster=1 */"
		switch (n + k) % 10 {
		case 0, 1:
			class, format = "order", "INSERT INTO entries (ref, payload) VALUES ('k%d', '\\x00') RETURNING payload /* id=%d,c=%s,d=900,cluster=1 */"
		case 2, 3, 4, 5:
			class = "report"
		}
		id := l.lastID.Add(1)
		code, err := c.Query(fmt.Sprintf(format, id%100, id, class))
		if l.counts.Add(code, err) {
			l.recordServed(i)
		}
		if err != nil { // the connection ended
			c = nil
		}
	}
}

func (l *loadGenerator) recordServed(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.longestGap[i] = max(l.longestGap[i], now.Sub(l.lastServed[i]))
	l.lastServed[i] = now
}
