package datapath

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"aspenshed/internal/experiment/target"
)

const loadClients = 48

// measureStatements measures processor time, bytes and system calls of a real gateway by statements per second.
func measureStatements(r *recorder, o Options) error {
	rates, settle, measured := []float64{150, 300, 600, target.StatementsPerGateway()}, time.Second, 6*time.Second
	if o.Short {
		rates, settle, measured = []float64{20, 40}, 100*time.Millisecond, 500*time.Millisecond
	}
	return withRealGateway(limits(), func(p *gatewayProcess) error {
		c := newSeriesSet("statements a second", "1/s", fmt.Sprintf("one real gateway on loopback, %d stand-in databases, %d clients (40%% bounded, 40%% any, 20%% writes)",
			realGatewayDatabases, loadClients))
		for _, rate := range rates {
			l, err := startLoad(p.address, rate)
			if err != nil {
				return err
			}
			time.Sleep(settle)
			before, err := p.usage()
			if err != nil {
				return err
			}
			served, bytes, startedAt := l.served.Load(), l.bytes.Load(), time.Now()
			time.Sleep(measured)
			after, err := p.usage()
			seconds := time.Since(startedAt).Seconds()
			done, clientBytes := float64(l.served.Load()-served)/seconds, float64(l.bytes.Load()-bytes)/seconds
			unserved := l.stop()
			if err != nil {
				return err
			}
			c.add("data path", "datapath.cores-by-statements", "processor time of a real gateway", "core", done, (after.cores-before.cores)/seconds)
			c.add("data path", "datapath.bytes-by-statements", "bytes at a real gateway's sockets, all directions", "B/s", done, (after.bytes-before.bytes)/seconds)
			c.add("client", "client.bytes-by-statements", "bytes at all clients' sockets, both directions", "B/s", done, clientBytes)
			c.add("data path", "datapath.calls-by-statements", "reads and writes of a real gateway", "1/s", done, (after.calls-before.calls)/seconds)
			r.progress("statements: %.0f/s served of %.0f requested, %d not served", done, rate, unserved)
		}
		return c.record(r)
	})
}

// loadGenerator is a set of clients that together send statements at a constant rate.
type loadGenerator struct {
	served, unserved atomic.Int64
	bytes            atomic.Int64 // at the clients' sockets, both directions
	quit             atomic.Bool
	wg               sync.WaitGroup
}

func startLoad(address string, rate float64) (*loadGenerator, error) {
	l := &loadGenerator{}
	pause := time.Duration(loadClients / rate * float64(time.Second))
	for i := range loadClients {
		x, err := dialClient(address)
		if err != nil {
			l.stop()
			return nil, err
		}
		l.wg.Add(1)
		go l.runClient(x, i, pause)
	}
	return l, nil
}

// runClient sends statements at scheduled times, so that a slow response does not lower the rate.
func (l *loadGenerator) runClient(x *clientConn, number int, pause time.Duration) {
	defer l.wg.Done()
	defer func() { _ = x.conn.Close() }()
	next := time.Now().Add(pause * time.Duration(number) / loadClients)
	for n := number; !l.quit.Load(); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(pause)
		before := x.socketBytes
		code, err := x.query(classMix[n%len(classMix)], time.Now().UnixNano())
		l.bytes.Add(int64(x.socketBytes - before))
		if err != nil {
			l.unserved.Add(1)
			return
		}
		if code == "" {
			l.served.Add(1)
		} else {
			l.unserved.Add(1)
		}
	}
}

func (l *loadGenerator) stop() (unserved int64) {
	l.quit.Store(true)
	l.wg.Wait()
	return l.unserved.Load()
}
