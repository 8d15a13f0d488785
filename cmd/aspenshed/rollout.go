package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
)

func newRollout(o *options) *cobra.Command {
	return &cobra.Command{Use: "rollout [REVISION]", Short: "Show how many gateways have applied a revision (by default the newest), and which lag",
		Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			q := daemon.AdminRequest{Command: "rollout"}
			if len(args) > 0 {
				revision, err := strconv.ParseUint(args[0], 10, 64)
				if err != nil || revision == 0 {
					return fmt.Errorf("%q is not a revision: a number from 1", args[0])
				}
				q.Revision = revision
			}
			var r store.RolloutReport
			if err := o.ask(q, &r); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, r)
			}
			return showRollout(c, o, r)
		}}
}

// showRollout prints the counts, then the lagging gateways and the refusals, if any.
func showRollout(c *cobra.Command, o *options, r store.RolloutReport) error {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "revision %d: applied by %d of %d subscribers, reported by the voters %s\n", r.Revision, r.Applied, r.Subscribers, strings.Join(r.Answered, ", "))
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(out, "no response from %s: their subscribers are not counted\n", strings.Join(r.Unreachable, ", "))
	}
	if len(r.Lagging) > 0 {
		fmt.Fprintln(out)
		err := printRows(c, o, r.Lagging, table{"lagging", "in force"}, func(x store.LaggingSubscriber) []any { return []any{x.Subscriber, x.Applied} })
		if err != nil {
			return err
		}
	}
	if len(r.Refusals) == 0 {
		return nil
	}
	fmt.Fprintln(out)
	return printRows(c, o, r.Refusals, table{"refused by", "revision", "key", "reason"}, func(x store.RolloutRefusal) []any {
		return []any{x.Subscriber, x.Revision, x.Key, x.Reason}
	})
}
