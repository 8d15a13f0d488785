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

// loadGenerator is stand-in databases, and clients that ask real gateways one request after another.
type loadGenerator struct {
	groups []*standin.Group
	net    *netio.Net
	quit   chan struct{}
	wait   sync.WaitGroup

	requestIDs atomic.Int64
	counts     pgclient.Counts
}

// newLoadGenerator starts stand-in databases of both roles, in groups of three.
func newLoadGenerator(databases int) (*loadGenerator, error) {
	if databases > maxDatabases {
		return nil, fmt.Errorf("scale: %d databases, %d at most", databases, maxDatabases)
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
	l.wait.Wait()
	for _, g := range l.groups {
		g.Stop()
	}
	l.net.Stop()
}

// startClients starts clients of the gateways' fronts.
func (l *loadGenerator) startClients(o Load) error {
	if n := o.Clients * len(o.Gateways); n > maxLoadClients {
		return fmt.Errorf("scale: %d clients, %d at most", n, maxLoadClients)
	}
	for _, address := range o.Gateways {
		for i := range o.Clients {
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				l.runClient(address, i, o.Pause)
			}()
		}
	}
	return nil
}

// runClient asks one request after another until the end, with pauses that bound the load.
func (l *loadGenerator) runClient(address string, number int, rest time.Duration) {
	var c *pgclient.Client
	for n := number; ; n++ {
		select {
		case <-l.quit:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(rest):
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

// statement is the n-th of a client: one in five writes.
func (l *loadGenerator) statement(n int) string {
	id := l.requestIDs.Add(1)
	group := FirstLoadGroup + n%len(l.groups)
	if n%5 == 0 {
		return fmt.Sprintf(`INSERT INTO entries (ref, payload) VALUES ('k%d', '\x00') RETURNING payload /* id=%d,c=order,d=900,cluster=%d */`, id%100, id, group)
	}
	return fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'k%d' /* id=%d,c=report,d=900,cluster=%d */", id%100, id, group)
}

// drain has a database note from when on nothing new may come.
func (l *loadGenerator) drain(id string) error {
	for _, g := range l.groups {
		for _, d := range g.DBs() {
			if d.ID == id {
				d.Drain()
				return nil
			}
		}
	}
	return fmt.Errorf("scale: no database %q", id)
}

func (l *loadGenerator) state() (*LoadState, error) {
	s := &LoadState{Served: l.counts.Served.Load(), Refused: l.counts.Refused.Load(), Failed: l.counts.Failed.Load()}
	for i, g := range l.groups {
		for _, d := range g.DBs() {
			s.Databases = append(s.Databases, Database{ID: d.ID, Address: d.Address(), Group: int32(FirstLoadGroup + i)})
			s.LateDrains += d.Report().LateDrain
		}
	}
	var err error
	s.Usage, err = ReadUsage(os.Getpid())
	return s, err
}
