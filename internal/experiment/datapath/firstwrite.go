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
	writers          = 4
	writePause       = 10 * time.Millisecond
	firstWriteLimit  = 30 * time.Second
	beforeLoss       = 500 * time.Millisecond
	redialAfterBreak = 20 * time.Millisecond
)

// measureFirstWrite loses a real group's primary behind a real gateway and takes the time to the first served write, by
// the time that the databases take to make another one primary.
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
		Conditions: fmt.Sprintf("one real gateway on loopback, %d stand-in databases, the primary's process ends, %d clients write; each run a point", databasesOfRealGateway, writers)}
	for i, delay := range delays {
		for run := range runs {
			folder := filepath.Join(dir, fmt.Sprintf("%d-%d", i, run))
			if err := os.Mkdir(folder, 0o700); err != nil {
				return err
			}
			var took time.Duration
			err := startAndRun(program, folder, limits(), func(p *process) (err error) {
				took, err = firstWrite(p, delay)
				return err
			})
			if err != nil {
				return err
			}
			s.Points = append(s.Points, measure.Point{X: delay.Seconds(), Y: took.Seconds()})
		}
		r.progress("first write: hand-over after %s, last run %s", delay, time.Duration(s.Points[len(s.Points)-1].Y*1e9).Round(time.Millisecond))
	}
	return r.series(s)
}

var errNeverServed = errors.New("no write was served after the primary's loss")

// firstWrite ends the primary and waits for a write to be served.
func firstWrite(p *process, delay time.Duration) (time.Duration, error) {
	served := make(chan time.Time, writers)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(quit)
	for n := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			writeOn(p.address, int64(n), served, quit)
		}()
	}
	time.Sleep(beforeLoss)
	lost := time.Now()
	dbs := p.group.DBs()
	dbs[0].Stop()
	hand := time.AfterFunc(delay, func() { p.group.HandOver(dbs[1].ID) })
	defer hand.Stop()
	for limit := time.After(firstWriteLimit); ; {
		select {
		case at := <-served:
			if at.After(lost) {
				return at.Sub(lost), nil
			}
		case <-limit:
			return 0, errNeverServed
		}
	}
}

// writeOn writes, one statement after another, and tells when each served one was asked and answered.
func writeOn(address string, number int64, served chan<- time.Time, quit <-chan struct{}) {
	var x *clientConn
	for id := number; ; id += writers {
		select {
		case <-quit:
			if x != nil {
				_ = x.c.Close()
			}
			return
		case <-time.After(writePause):
		}
		if x == nil {
			var err error
			if x, err = dialClient(address); err != nil {
				time.Sleep(redialAfterBreak)
				continue
			}
		}
		code, err := x.ask(write, id)
		if err != nil {
			_ = x.c.Close()
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
