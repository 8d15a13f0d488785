// Command adapter hosts many routers on standard input and output: a batch of
// events a line in, a line of actions out. It translates and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"aspenshed"
	"aspenshed/internal/protocol/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves until the end of input. An error names the line that caused it;
// nothing is written for that line.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := host{dec: simwire.NewDecoder(), routers: map[int64]*aspenshed.Router{}}
	var reply []byte
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		b, err := h.dec.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		acts, faults, err := h.step(b)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		reply = simwire.AppendReply(reply[:0], acts, faults)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type host struct {
	dec     *simwire.Decoder
	routers map[int64]*aspenshed.Router
}

// step gives each instance its events of the batch, in order. An instance
// that stops and starts within the batch is stepped before and after.
func (h *host) step(b simwire.Batch) (acts []simwire.InstanceAction, faults []simwire.Fault, err error) {
	var order []int64
	pending := map[int64][]aspenshed.Event{}
	flush := func(id int64) {
		events, ok := pending[id]
		if !ok {
			return
		}
		delete(pending, id)
		out, text := stepRecovering(h.routers[id], b.Now, events)
		for _, a := range out {
			acts = append(acts, simwire.InstanceAction{Instance: id, Action: a})
		}
		if text != "" {
			faults = append(faults, simwire.Fault{Instance: id, Text: text})
		}
	}
	for i, it := range b.Items {
		_, running := h.routers[it.Instance]
		switch {
		case it.Start == nil && !running:
			return nil, nil, fmt.Errorf("field items[%d].driver: no instance %d is running", i, it.Instance)
		case it.Start != nil:
			delete(pending, it.Instance)
			r, newErr := aspenshed.New(it.Start.Settings, it.Start.Seed)
			if newErr != nil {
				faults = append(faults, simwire.Fault{Instance: it.Instance, Text: newErr.Error()})
			}
			h.routers[it.Instance] = r
			order, pending[it.Instance] = append(order, it.Instance), []aspenshed.Event{}
		case it.Stop:
			delete(pending, it.Instance)
			delete(h.routers, it.Instance)
		default:
			if _, ok := pending[it.Instance]; !ok {
				order = append(order, it.Instance)
			}
			pending[it.Instance] = append(pending[it.Instance], it.Event)
		}
	}
	for _, id := range order {
		flush(id)
	}
	return acts, faults, nil
}

// stepRecovering steps a router and turns a panic into text.
func stepRecovering(r *aspenshed.Router, now aspenshed.Nanos, events []aspenshed.Event) (out []aspenshed.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			out, fault = nil, fmt.Sprint(p)
		}
	}()
	if r == nil {
		return nil, ""
	}
	return r.Step(now, events), ""
}
