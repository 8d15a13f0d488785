package datapath

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"aspenshed/internal/experiment/measure"
)

const (
	writeClients      = 4
	writeInterval     = 10 * time.Millisecond
	firstWriteTimeout = 30 * time.Second
	delayBeforeLoss   = 500 * time.Millisecond
	redialDelay       = 20 * time.Millisecond
)

// measureFirstWrite stops the primary of a group of stand-in databases behind a real gateway and measures the time to
// the first served write, by the time until another database is promoted.
func measureFirstWrite(r *recorder, o Options) error {
	delays, runs := []time.Duration{0, time.Second, 3 * time.Second}, 8
	if o.Short {
		delays, runs = []time.Duration{0, 100 * time.Millisecond}, 1
	}
	dir, err := os.MkdirTemp("", "datapath-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := buildGateway(dir)
	if err != nil {
		return err
	}
	s := measure.Series{Name: "datapath.first-write-by-hand-over", Role: "data path", X: "from a primary's loss until another is primary", XUnit: "s",
		Y: "from a primary's loss to the first served write", YUnit: "s",
		Conditions: fmt.Sprintf("one real gateway on loopback, %d stand-in databases, the primary's process ends, %d clients write; each run a point", realGatewayDatabases, writeClients)}
	for i, delay := range delays {
		for run := range runs {
			runDir := filepath.Join(dir, fmt.Sprintf("%d-%d", i, run))
			if err := os.Mkdir(runDir, 0o700); err != nil {
				return err
			}
			var took time.Duration
			err := withStartedGateway(program, runDir, limits(), func(p *gatewayProcess) (err error) {
				took, err = timeToFirstWrite(p, delay)
				return err
			})
			if err != nil {
				return err
			}
			s.Points = append(s.Points, measure.Point{X: delay.Seconds(), Y: took.Seconds()})
		}
		r.progress("first write: hand-over after %s, last run %s", delay, time.Duration(s.Points[len(s.Points)-1].Y*1e9).Round(time.Millisecond))
	}
	return r.addSeries(s)
}

var errNoWriteServed = errors.New("no write was served after the loss of the primary")

// timeToFirstWrite stops the primary and returns the time until a write is served.
func timeToFirstWrite(p *gatewayProcess, delay time.Duration) (time.Duration, error) {
	served := make(chan time.Time, writeClients)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(quit)
	for n := range writeClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			writeContinuously(p.address, int64(n), served, quit)
		}()
	}
	time.Sleep(delayBeforeLoss)
	lost := time.Now()
	dbs := p.group.DBs()
	dbs[0].Stop()
	promotion := time.AfterFunc(delay, func() { p.group.Promote(dbs[1].ID) })
	defer promotion.Stop()
	for timeout := time.After(firstWriteTimeout); ; {
		select {
		case at := <-served:
			if at.After(lost) {
				return at.Sub(lost), nil
			}
		case <-timeout:
			return 0, errNoWriteServed
		}
	}
}

// writeContinuously sends one write after another and reports when each served write was completed.
func writeContinuously(address string, number int64, served chan<- time.Time, quit <-chan struct{}) {
	var x *clientConn
	for id := number; ; id += writeClients {
		select {
		case <-quit:
			if x != nil {
				_ = x.conn.Close()
			}
			return
		case <-time.After(writeInterval):
		}
		if x == nil {
			var err error
			if x, err = dialClient(address); err != nil {
				time.Sleep(redialDelay)
				continue
			}
		}
		code, err := x.query(write, id)
		if err != nil {
			_ = x.conn.Close()
			x = nil
			continue
		}
		if code == "" {
			select {
			case served <- time.Now():
			case <-quit:
			}
		}
	}
}
