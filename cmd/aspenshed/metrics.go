package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"aspenshed/internal/daemon"
)

// newMetrics prints the daemon's counters in the Prometheus text format, for a collector of text files.
func newMetrics(o *options) *cobra.Command {
	return &cobra.Command{Use: "metrics", Short: "Print the daemon's counters in the Prometheus text format", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var text string
			if err := o.ask(daemon.AdminRequest{Command: "metrics"}, &text); err != nil {
				return err
			}
			_, err := fmt.Fprint(c.OutOrStdout(), text)
			return err
		}}
}
