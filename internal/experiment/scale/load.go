package scale

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"aspenshed/internal/experiment/pgclient"
	"aspenshed/internal/experiment/standin"
	"aspenshed/internal/netio"
)

const (
	databasesPerGroup = 3
	maxDatabases      = 12
	maxLoadClients    = 200
	// FirstLoadGroup is the first group of stand-in databases.
	FirstLoadGroup = 1
)

// loadGenerator runs stand-in databases, and clients that send requests to real gateways one after another.
type loadGenerator struct {
	groups []*standin.Group
	net    *netio.Net
	quit   chan struct{}
	wg     sync.WaitGroup

	requestIDs atomic.Int64
	counts     pgclient.Counts
}

// newLoadGenerator starts stand-in databases of both roles, in groups of three.
func newLoadGenerator(databases int) (*loadGenerator, error) {
	if databases > maxDatabases {
		return nil, fmt.Errorf("scale: %d databases exceed the limit of %d", databases, maxDatabases)
	}
	n, err := netio.New(netio.Config{Name: "load", MaxDials: maxLoadClients})
	if err != nil {
		return nil, err
	}
	l := &loadGenerator{net: n, quit: make(chan struct{})}
	for first := 0; first < databases; first += databasesPerGroup {
		var ids []string
		for i := first; i < min(first+databasesPerGroup, databases); i++ {
			ids = append(ids, fmt.Sprintf("standin-%02d", i))
		}
		group, err := standin.NewGroup(standin.Postgres, standin.DefaultLimits(), ids...)
		if err != nil {
			l.close()
			return nil, err
		}
		l.groups = append(l.groups, group)
	}
	return l, nil
}

func (l *loadGenerator) close() {
	close(l.quit)
	l.wg.Wait()
	for _, g := range l.groups {
		g.Stop()
	}
	l.net.Stop()
}

// startClients starts clients that connect to the gateways' fronts.
func (l *loadGenerator) startClients(r Load) error {
	if n := r.Clients * len(r.Gateways); n > maxLoadClients {
		return fmt.Errorf("scale: %d clients exceed the limit of %d", n, maxLoadClients)
	}
	for _, address := range r.Gateways {
		for i := range r.Clients {
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.runClient(address, i, r.Pause)
			}()
		}
	}
	return nil
}

// runClient sends one request after another until the generator closes, with pauses that bound the load.
func (l *loadGenerator) runClient(address string, number int, interval time.Duration) {
	var c *pgclient.Client
	for n := number; ; n++ {
		select {
		case <-l.quit:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(interval):
		}
		if c == nil {
			var err error
			if c, err = pgclient.Dial(l.net, address); err != nil {
				c = nil
				continue
			}
		}
		code, err := c.Query(l.statement(n))
		l.counts.Add(code, err)
		if err != nil {
			c = nil
		}
	}
}

// statement returns the n-th statement of a client: one in five writes.
func (l *loadGenerator) statement(n int) string {
	id := l.requestIDs.Add(1)
	group := FirstLoadGroup + n%len(l.groups)
	if n%5 == 0 {
		return fmt.Sprintf(`INSERT INTO entries (ref, payload) VALUES ('k%d', '\x00') RETURNING payload /* id=%d,c=order,d=900,cluster=%d */`, id%100, id, group)
	}
	return fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=report,d=900,cluster=%d */", id%100, id, group)
}

// drain notifies a stand-in database that it is draining.
func (l *loadGenerator) drain(id string) error {
	for _, g := range l.groups {
		for _, d := range g.DBs() {
			if d.ID == id {
				d.Drain()
				return nil
			}
		}
	}
	return fmt.Errorf("scale: unknown database %q", id)
}

func (l *loadGenerator) state() (*LoadState, error) {
	s := &LoadState{Served: l.counts.Served.Load(), Refused: l.counts.Refused.Load(), Failed: l.counts.Failed.Load()}
	for i, g := range l.groups {
		for _, d := range g.DBs() {
			s.Databases = append(s.Databases, Database{ID: d.ID, Address: d.Address(), Group: int32(FirstLoadGroup + i)})
			s.LateDrains += d.Report().AfterDrainGrace
		}
	}
	var err error
	s.Usage, err = ReadUsage(os.Getpid())
	return s, err
}
