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
	Clients int           // of each instance
	Pause   time.Duration // of a client between two requests
	Cut     time.Duration // how long one instance is cut off
	Leases  bool
	Limits  standin.Limits
	Kill    bool // kill an instance, too, and start it again
	Clocks  bool // that run 5% slow, 5% fast and right
}

// skewed is a clock that runs at a rate of its own.
type skewed struct {
	zero time.Time
	rate float64
}

func (c skewed) Now() aspenshed.Nanos {
	return aspenshed.Nanos(c.zero.UnixNano() + int64(c.rate*float64(time.Since(c.zero))))
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

// cuts is the network between the instances.
type cuts struct {
	mu    sync.Mutex
	off   map[int]bool
	trans []*raft.InmemTransport
}

func (c *cuts) between(a, b int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off[a] != c.off[b]
}

func (c *cuts) set(i int, off bool) {
	c.mu.Lock()
	c.off[i] = off
	c.mu.Unlock()
	c.wire()
}

func (c *cuts) wire() {
	for i, x := range c.trans {
		for j, y := range c.trans {
			if i == j || x == nil || y == nil {
				continue
			}
			if c.between(i, j) {
				x.Disconnect(y.LocalAddr())
			} else {
				x.Connect(y.LocalAddr(), y)
			}
		}
	}
}

// seam puts an instance on the network that is cut.
func (c *cuts) seam(i int, cfg *store.Config) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(cfg.Address))
	for len(c.trans) <= i {
		c.trans = append(c.trans, nil)
	}
	c.trans[i] = t
	cfg.Transport = t
	peers := cfg.Peers
	cfg.WrapCaller = func(next store.Caller) store.Caller {
		return caller(func(service string, x *pb.Call, limit time.Duration) (*pb.Reply, error) {
			for j, p := range peers {
				if p.Service == service && c.between(i, j) {
					return nil, store.ErrUnavailable
				}
			}
			return next.Call(service, x, limit)
		})
	}
	c.wire()
}

type caller func(string, *pb.Call, time.Duration) (*pb.Reply, error)

func (f caller) Call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	return f(service, c, limit)
}

// Run runs a trial in a folder of its own.
func Run(o Options) (r Report, err error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	net := &cuts{off: map[int]bool{}}
	opts := daemon.DemoOptions{Instances: 3, Limits: o.Limits, StoreHook: net.seam}
	if !o.Leases {
		opts.EditConfig = func(text string) string {
			return strings.Replace(text, "  cluster:", "  no_leases: true\n  cluster:", 1)
		}
	}
	if o.Clocks {
		opts.Clock = func(i int) eventloop.Clock { return skewed{time.Now(), 0.95 + 0.05*float64(i)} }
	}
	d, err := daemon.NewDemo(dir, opts)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	if err := until("members at all instances", func() bool { return len(members(d, 0)) == 6 && len(members(d, 1)) == 6 && len(members(d, 2)) == 6 }); err != nil {
		return r, err
	}
	group := d.Databases["postgres"]
	dbs := group.DBs()
	l := startLoad(d, o)
	time.Sleep(2 * time.Second) // what warm members answer has to be learned first
	const drained, cold = 1, 2
	cut := -1 // the old leader, on the small side
	if err := until("a leader", func() bool {
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
	net.set(cut, true)
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
		time.Sleep(o.Cut / 3)
		if err := d.Instances[killed].Kill(); err != nil {
			return r, err
		}
		if err := d.Start(killed); err != nil {
			return r, err
		}
		l.moved(killed, d)
	}
	time.Sleep(time.Until(began.Add(o.Cut)))
	r.Cut = cut
	for _, x := range d.Instances {
		r.Modes = append(r.Modes, x.Store.Mode().String())
	}
	net.set(cut, false)
	err = until("the agreed warmth", func() bool {
		for i := range d.Instances {
			for _, m := range members(d, i) {
				if m.ID == dbs[cold].ID && m.Warmth != "warm" {
					return false
				}
			}
		}
		return true
	})
	r.WarmAfter = time.Since(start)
	l.stop(&r)
	err = errors.Join(err, until("equal catalogs", func() bool {
		a, b, c := d.Instances[0].Store.Status().Digest, d.Instances[1].Store.Status().Digest, d.Instances[2].Store.Status().Digest
		r.Equal = a == b && b == c
		return r.Equal
	}))
	r.LateDrains, r.HighestCold, r.Fell = dbs[drained].Report().AfterDrainGrace, dbs[cold].Report().PeakOverload, dbs[cold].Report().Crashed
	r.MostRun = group.MaxExecutions()
	return r, err
}

func members(d *daemon.Demo, i int) []daemon.Member { return d.Instances[i].Members() }

func until(what string, ok func() bool) error {
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("never came: %s", what)
		}
	}
	return nil
}

// load is clients that ask one request after another.
type load struct {
	net     *netio.Net
	quit    atomic.Bool
	wg      sync.WaitGroup
	began   time.Time
	ids     atomic.Int64
	address [3]atomic.Pointer[string]

	counts pgclient.Counts
	mu     sync.Mutex
	last   [3]time.Time
	gap    [3]time.Duration
}

func startLoad(d *daemon.Demo, o Options) *load {
	n, _ := netio.New(netio.Config{Name: "load", MaxDials: 4096})
	l := &load{net: n, began: time.Now()}
	for i := range d.Instances {
		l.moved(i, d)
		l.last[i] = time.Now()
		for k := range o.Clients {
			l.wg.Add(1)
			go l.client(i, k, o.Pause)
		}
	}
	return l
}

// moved has an instance's clients use its present address.
func (l *load) moved(i int, d *daemon.Demo) {
	a := d.Instances[i].Front(daemon.WirePostgres).Net.Addr()
	l.address[i].Store(&a)
}

func (l *load) stop(r *Report) {
	l.quit.Store(true)
	l.wg.Wait()
	l.net.Stop()
	r.Served, r.Refused, r.Failed = l.counts.Served.Load(), l.counts.Refused.Load(), l.counts.Failed.Load()
	r.PerSecond = float64(r.Served) / time.Since(l.began).Seconds()
	r.LongestGap = append(r.LongestGap, l.gap[:]...)
}

func (l *load) client(i, k int, pause time.Duration) {
	defer l.wg.Done()
	var c *pgclient.Client
	for n := 0; !l.quit.Load(); n++ {
		time.Sleep(pause) // a pace, not an order
		if c == nil {
			var err error
			if c, err = pgclient.Dial(l.net, *l.address[i].Load()); err != nil {
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
		id := l.ids.Add(1)
		code, err := c.Query(fmt.Sprintf(verb, id%100, id, class))
		if l.counts.Add(code, err) {
			l.mark(i)
		}
		if err != nil { // the connection ended
			c = nil
		}
	}
}

func (l *load) mark(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.gap[i] = max(l.gap[i], now.Sub(l.last[i]))
	l.last[i] = now
}
