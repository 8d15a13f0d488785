package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
)

// maxLineBytes bounds one order or answer. The longest answer holds two histograms of some 10 kB.
const maxLineBytes = 8 << 20

// Worker carries orders out: hollow gateways, stand-in databases and their clients, of one process.
type Worker struct {
	fleet *Fleet
	load  *loadGenerator
}

// Close ends all that the worker has started.
func (w *Worker) Close() {
	if w.load != nil {
		w.load.close()
		w.load = nil
	}
	if w.fleet != nil {
		w.fleet.Close()
		w.fleet = nil
	}
}

// Do carries one order out.
func (w *Worker) Do(_ context.Context, o Request) (Response, error) {
	switch {
	case o.Configure != nil:
		return Response{}, w.configure(*o.Configure)
	case o.Load != nil:
		return w.handleLoad(*o.Load)
	case o.Memory != nil:
		debug.SetMemoryLimit(o.Memory.Limit)
		return Response{}, nil
	case o.Drain != nil && w.load != nil:
		return Response{}, w.load.drain(o.Drain.Database)
	case o.Report != nil:
		return w.report(*o.Report)
	case w.fleet == nil:
		return Response{}, ErrNotConfigured
	}
	return Response{}, w.handleFleet(o)
}

func (w *Worker) configure(c Configure) (err error) {
	if w.fleet != nil {
		return errors.New("scale: configured already")
	}
	w.fleet, err = NewFleet(c)
	return err
}

func (w *Worker) handleFleet(o Request) error {
	switch {
	case o.Start != nil:
		return w.fleet.Start(*o.Start)
	case o.Restart != nil:
		w.fleet.Restart(*o.Restart)
	case o.Stop != nil:
		w.fleet.Stop(*o.Stop)
	case o.Partition != nil:
		w.fleet.Partition(*o.Partition)
	case o.Stall != nil:
		return w.fleet.Stall(*o.Stall)
	case o.Submit != nil:
		return w.fleet.Submit(*o.Submit)
	default:
		return errors.New("scale: an order without a body")
	}
	return nil
}

func (w *Worker) handleLoad(o Load) (a Response, err error) {
	if w.load == nil {
		if w.load, err = newLoadGenerator(o.Databases); err != nil {
			return a, err
		}
	}
	if err := w.load.startClients(o); err != nil {
		return a, err
	}
	a.Load, err = w.load.state()
	return a, err
}

func (w *Worker) report(o Report) (a Response, err error) {
	if w.fleet != nil {
		if a.Fleet, err = w.fleet.Report(o); err != nil {
			return a, err
		}
	}
	if w.load != nil {
		a.Load, err = w.load.state()
	}
	return a, err
}

// Serve takes orders from in until it ends, and writes an answer to out for each.
func (w *Worker) Serve(ctx context.Context, in io.Reader, out io.Writer) error {
	defer w.Close()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		answer := w.handleLine(ctx, lines.Bytes())
		encoded, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s\n", encoded); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (w *Worker) handleLine(ctx context.Context, line []byte) Response {
	var o Request
	err := json.Unmarshal(line, &o)
	var a Response
	if err == nil {
		a, err = w.Do(ctx, o)
	}
	if err != nil {
		return Response{Error: err.Error()}
	}
	return a
}
