package main

import (
	"time"

	"github.com/spf13/cobra"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/experiment/sysfault"
)

// offsetClock is a clock that was read while the wall clock was wrong.
type offsetClock struct {
	eventloop.Clock
	offset time.Duration
}

// Now returns the time by the wrong clock.
func (c offsetClock) Now() aspenshed.Nanos { return c.Clock.Now() + aspenshed.Nanos(c.offset) }

// newFaultyGateway runs the platform's gateway on a machine whose faults a file gives. The soak starts it.
func newFaultyGateway(o *options) *cobra.Command {
	var path string
	var seed uint64
	c := &cobra.Command{Use: "gateway", Short: "Run the platform's gateway on a machine with faults", Args: cobra.NoArgs, Hidden: true,
		RunE: func(*cobra.Command, []string) error {
			state, err := sysfault.ReadState(path)
			if err != nil {
				return err
			}
			system := sysfault.New(seed)
			go system.Follow(path)
			return runOn(machine{clock: offsetClock{eventloop.NewClock(), state.ClockOffset}, system: system}, o.deploy)
		}}
	c.Flags().StringVar(&path, "machine", "", "file with the state of the machine")
	c.Flags().Uint64Var(&seed, "seed", 1, "decides which calls fail")
	return c
}
