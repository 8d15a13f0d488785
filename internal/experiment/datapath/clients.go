package datapath

import (
	"errors"
	"fmt"
	"os"
	"time"

	"aspenshed/internal/experiment/standin"
)

const (
	realGatewayDatabases = 6
	maxRefusals          = 50 // per statement: late responses of a busy machine make admission refuse more
	refusalRetryDelay    = 20 * time.Millisecond
)

// withRealGateway builds a gateway, starts it in a temporary directory, runs f and stops it.
func withRealGateway(l standin.Limits, f func(*gatewayProcess) error) (err error) {
	dir, err := os.MkdirTemp("", "datapath-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := buildGateway(dir)
	if err != nil {
		return err
	}
	return withStartedGateway(program, dir, l, f)
}

func withStartedGateway(program, dir string, l standin.Limits, f func(*gatewayProcess) error) (err error) {
	p, err := startGateway(program, dir, l, realGatewayDatabases)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, p.stop()) }()
	return f(p)
}

// measureClients measures memory, descriptors and processor time of a real gateway by the number of clients, which are
// idle after one statement each.
func measureClients(r *recorder, o Options) error {
	sizes, idleTime := []int{500, 1000, 2000, 4000, 6700}, 4*time.Second
	if o.Short {
		sizes, idleTime = []int{10, 20}, 200*time.Millisecond
	}
	return withRealGateway(limits(), func(p *gatewayProcess) error {
		c := newSeriesSet("clients", "1", fmt.Sprintf("one real gateway on loopback, %d stand-in databases, every client idle after one statement", realGatewayDatabases))
		var all []*clientConn
		refused, connectTime := 0, 0.0
		last, err := p.usage()
		if err != nil {
			return err
		}
		defer func() {
			for _, x := range all {
				_ = x.conn.Close()
			}
		}()
		for _, n := range sizes {
			for len(all) < n {
				x, err := dialClient(p.address)
				if err != nil {
					return fmt.Errorf("client %d: %w", len(all), err)
				}
				all = append(all, x)
				n, err := x.queryUntilServed(int64(len(all)))
				if err != nil {
					return fmt.Errorf("client %d: %w", len(all), err)
				}
				refused += n
			}
			connected, err := p.usage()
			if err != nil {
				return err
			}
			connectTime += connected.cores - last.cores
			time.Sleep(idleTime / 2) // lets the garbage collector run
			before, err := p.usage()
			if err != nil {
				return err
			}
			time.Sleep(idleTime)
			after, err := p.usage()
			if err != nil {
				return err
			}
			x := float64(n)
			c.add("client", "client.memory-by-clients", "resident memory of a gateway", "B", x, after.resident)
			c.add("client", "client.connect-time-by-clients", "processor time of a gateway to take so many clients and a first statement of each", "s", x, connectTime)
			last = after
			c.add("client", "client.descriptors-by-clients", "descriptors of a gateway", "1", x, after.descriptors)
			c.add("client", "client.idle-cores-by-clients", "processor time of a gateway whose clients are idle", "core", x, (after.cores-before.cores)/idleTime.Seconds())
			r.progress("clients: %d, %.0f MB", n, after.resident/1e6)
		}
		r.note("clients: %d statements refused before each client had one served", refused)
		return c.record(r)
	})
}

// queryUntilServed repeats a read until it is served and returns how many times it was refused.
func (x *clientConn) queryUntilServed(client int64) (refused int, err error) {
	for ; refused < maxRefusals; refused++ {
		code, err := x.query(anyRead, client*maxRefusals+int64(refused))
		if code == "" || err != nil {
			return refused, err
		}
		time.Sleep(refusalRetryDelay)
	}
	return refused, fmt.Errorf("read refused %d times, last error code %s", refused, x.errorCode)
}
