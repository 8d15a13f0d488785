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

// maxLineBytes bounds one request or response. The longest response holds two histograms of some 10 kB.
const maxLineBytes = 8 << 20

// Worker executes requests in one process: for hollow gateways, stand-in databases and their clients.
type Worker struct {
	fleet *Fleet
	load  *loadGenerator
}

// Close stops everything that the worker has started.
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

// Do executes one request.
func (w *Worker) Do(_ context.Context, r Request) (Response, error) {
	switch {
	case r.Configure != nil:
		return Response{}, w.configure(*r.Configure)
	case r.Load != nil:
		return w.handleLoad(*r.Load)
	case r.Memory != nil:
		debug.SetMemoryLimit(r.Memory.Limit)
		return Response{}, nil
	case r.Drain != nil && w.load != nil:
		return Response{}, w.load.drain(r.Drain.Database)
	case r.Report != nil:
		return w.report(*r.Report)
	case w.fleet == nil:
		return Response{}, ErrNotConfigured
	}
	return Response{}, w.handleFleet(r)
}

func (w *Worker) configure(c Configure) (err error) {
	if w.fleet != nil {
		return errors.New("scale: already configured")
	}
	w.fleet, err = NewFleet(c)
	return err
}

func (w *Worker) handleFleet(r Request) error {
	switch {
	case r.Start != nil:
		return w.fleet.Start(*r.Start)
	case r.Restart != nil:
		w.fleet.Restart(*r.Restart)
	case r.Stop != nil:
		w.fleet.Stop(*r.Stop)
	case r.Partition != nil:
		w.fleet.Partition(*r.Partition)
	case r.Stall != nil:
		return w.fleet.Stall(*r.Stall)
	case r.Submit != nil:
		return w.fleet.Submit(*r.Submit)
	default:
		return errors.New("scale: request without a body")
	}
	return nil
}

func (w *Worker) handleLoad(r Load) (response Response, err error) {
	if w.load == nil {
		if w.load, err = newLoadGenerator(r.Databases); err != nil {
			return response, err
		}
	}
	if err := w.load.startClients(r); err != nil {
		return response, err
	}
	response.Load, err = w.load.state()
	return response, err
}

func (w *Worker) report(r Report) (response Response, err error) {
	if w.fleet != nil {
		if response.Fleet, err = w.fleet.Report(r); err != nil {
			return response, err
		}
	}
	if w.load != nil {
		response.Load, err = w.load.state()
	}
	return response, err
}

// Serve reads requests from in until it ends, and writes a response to out for each.
func (w *Worker) Serve(ctx context.Context, in io.Reader, out io.Writer) error {
	defer w.Close()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		response := w.handleLine(ctx, lines.Bytes())
		encoded, err := json.Marshal(response)
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
	var r Request
	err := json.Unmarshal(line, &r)
	var response Response
	if err == nil {
		response, err = w.Do(ctx, r)
	}
	if err != nil {
		return Response{Error: err.Error()}
	}
	return response
}
