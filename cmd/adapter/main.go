// Command adapter runs many routers for a simulator: each line of standard input is a batch of events, and each line of
// standard output the resulting actions. It only translates.
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

// run processes the input until its end. An error names the line that caused it; nothing is written for that line.
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
		actions, faults, err := h.step(b)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		reply = simwire.AppendReply(reply[:0], actions, faults)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the running routers by instance ID.
type host struct {
	dec     *simwire.Decoder
	routers map[int64]*aspenshed.Router
}

// step passes each instance its events of the batch, in order. Events that precede a stop or start of their instance in
// the batch are dropped.
func (h *host) step(b simwire.Batch) (actions []simwire.InstanceAction, faults []simwire.Fault, err error) {
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
			actions = append(actions, simwire.InstanceAction{Instance: id, Action: a})
		}
		if text != "" {
			faults = append(faults, simwire.Fault{Instance: id, Text: text})
		}
	}
	for i, item := range b.Items {
		_, running := h.routers[item.Instance]
		switch {
		case item.Start == nil && !running:
			return nil, nil, fmt.Errorf("field items[%d].driver: no instance %d is running", i, item.Instance)
		case item.Start != nil:
			delete(pending, item.Instance)
			r, newErr := aspenshed.New(item.Start.Settings, item.Start.Seed)
			if newErr != nil {
				faults = append(faults, simwire.Fault{Instance: item.Instance, Text: newErr.Error()})
			}
			h.routers[item.Instance] = r
			order, pending[item.Instance] = append(order, item.Instance), []aspenshed.Event{}
		case item.Stop:
			delete(pending, item.Instance)
			delete(h.routers, item.Instance)
		default:
			if _, ok := pending[item.Instance]; !ok {
				order = append(order, item.Instance)
			}
			pending[item.Instance] = append(pending[item.Instance], item.Event)
		}
	}
	for _, id := range order {
		flush(id)
	}
	return actions, faults, nil
}

// stepRecovering steps a router and returns a panic as a fault text.
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
