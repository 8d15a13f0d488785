// Package trial runs an installation of three instances under load, cuts its leader off, kills another, drains a database and
// starts another cold, and counts what clients and databases saw.
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

// Options of a trial.
type Options struct {
	Clients       int           // of each instance
	Pause         time.Duration // of a client between two requests
	PartitionTime time.Duration // how long one instance is cut off
	Leases        bool
	Limits        standin.Limits
	Kill          bool // kill an instance, too, and start it again
	SkewClocks    bool // that run 5% slow, 5% fast and right
}

// skewedClock is a clock that runs at a rate of its own.
type skewedClock struct {
	start time.Time
	rate  float64
}

func (c skewedClock) Now() aspenshed.Nanos {
	return aspenshed.Nanos(c.start.UnixNano() + int64(c.rate*float64(time.Since(c.start))))
}

// Report is what came of it.
type Report struct {
	Served, Refused, Failed int64
	PerSecond               float64
	LongestGap              []time.Duration // of each instance, between two served requests
	LateDrains              int             // requests that a draining database got later than the grace
	HighestCold             float64         // of what topples a cold database
	Fell                    bool
	WarmAfter               time.Duration // from its start until all instances took the cold one for warm
	MostRun                 int           // how often the most repeated order ran
	Equal                   bool          // catalogs, at the end
	Cut                     int           // the instance that was cut off: the leader
	Modes                   []string      // at the end of the cut
}

// partitionedNetwork is the network between the instances.
type partitionedNetwork struct {
	mu         sync.Mutex
	isolated   map[int]bool
	transports []*raft.InmemTransport
}

func (c *partitionedNetwork) separated(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[a] != c.isolated[b]
}

func (c *partitionedNetwork) setIsolated(i int, off bool) {
	c.mu.Lock()
	c.isolated[i] = off
	c.mu.Unlock()
	c.applyPartition()
}

func (c *partitionedNetwork) applyPartition() {
	for i, x := range c.transports {
		for j, y := range c.transports {
			if i == j || x == nil || y == nil {
				continue
			}
			if c.separated(i, j) {
				x.Disconnect(y.LocalAddr())
			} else {
				x.Connect(y.LocalAddr(), y)
			}
		}
	}
}

// attach puts an instance on the network that is cut.
func (c *partitionedNetwork) attach(i int, cfg *store.Config) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(cfg.Address))
	for len(c.transports) <= i {
		c.transports = append(c.transports, nil)
	}
	c.transports[i] = t
	cfg.Transport = t
	peers := cfg.Peers
	cfg.WrapCaller = func(next store.Caller) store.Caller {
		return callerFunc(func(service string, x *pb.Call, limit time.Duration) (*pb.Reply, error) {
			for j, p := range peers {
				if p.Service == service && c.separated(i, j) {
					return nil, store.ErrUnavailable
				}
			}
			return next.Call(service, x, limit)
		})
	}
	c.applyPartition()
}

type callerFunc func(string, *pb.Call, time.Duration) (*pb.Reply, error)

func (f callerFunc) Call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	return f(service, c, limit)
}

// Run runs a trial in a folder of its own.
func Run(o Options) (r Report, err error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	net := &partitionedNetwork{isolated: map[int]bool{}}
	opts := daemon.DemoOptions{Instances: 3, Limits: o.Limits, StoreHook: net.attach}
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
	time.Sleep(2 * time.Second) // what warm members answer has to be learned first
	const drained, cold = 1, 2
	cut := -1 // the old leader, on the small side
	if err := waitUntil("a leader", func() bool {
		for i, x := range d.Instances {
			if x.Store.Mode() == mode.Leading {
				cut = i
			}
		}
		return cut >= 0
	}); err != nil {
		return r, err
	}
	stays, killed := (cut+1)%3, (cut+2)%3
	admin := d.Deploys[stays].Admin.Socket
	began := time.Now()
	net.setIsolated(cut, true)
	// The drain is agreed on while the old leader is cut off; that one hears it from its own list only, and the others'
	// lists still say in_service. It counts as told once it is agreed on: the leader has just been lost.
	if _, err := daemon.CallAdmin(admin, daemon.AdminRequest{Command: "drain", Key: dbs[drained].ID}); err != nil {
		return r, fmt.Errorf("drain: %w", err)
	}
	dbs[drained].Drain()
	if err := d.WriteInventory("postgres", 1, dbs[drained].ID); err != nil {
		return r, err
	}
	d.Instances[cut].Reload()
	// A database starts cold just then. Both sides hear of it; only one side can agree on anything.
	dbs[cold].Restart()
	start := time.Now()
	if _, err := daemon.CallAdmin(admin, daemon.AdminRequest{Command: "restart", Key: dbs[cold].ID}); err != nil {
		return r, fmt.Errorf("restart: %w", err)
	}
	d.Instances[cut].RunOnLoop(func() { d.Instances[cut].Front(daemon.WirePostgres).NotifyStarted(dbs[cold].ID, start) })
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
	time.Sleep(time.Until(began.Add(o.PartitionTime)))
	r.Cut = cut
	for _, x := range d.Instances {
		r.Modes = append(r.Modes, x.Store.Mode().String())
	}
	net.setIsolated(cut, false)
	err = waitUntil("the agreed warmth", func() bool {
		for i := range d.Instances {
			for _, m := range instanceMembers(d, i) {
				if m.ID == dbs[cold].ID && m.Warmth != "warm" {
					return false
				}
			}
		}
		return true
	})
	r.WarmAfter = time.Since(start)
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

func waitUntil(what string, ok func() bool) error {
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("never came: %s", what)
		}
	}
	return nil
}

// loadGenerator is clients that ask one request after another.
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

// updateAddress has an instance's clients use its present address.
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
		time.Sleep(pause) // a pace, not an order
		if c == nil {
			var err error
			if c, err = pgclient.Dial(l.net, *l.addresses[i].Load()); err != nil {
				c = nil
				continue
			}
		}
		class, verb := "point-read", "SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=%s,d=900,cluster=1 */"
		switch (n + k) % 10 {
		case 0, 1:
			class, verb = "order", "INSERT INTO entries (ref, payload) VALUES ('k%d', '\\x00') RETURNING payload /* id=%d,c=%s,d=900,cluster=1 */"
		case 2, 3, 4, 5:
			class = "report"
		}
		id := l.lastID.Add(1)
		code, err := c.Query(fmt.Sprintf(verb, id%100, id, class))
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
