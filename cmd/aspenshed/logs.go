package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"aspenshed/internal/experiment/loganalysis"
)

// newLogs reads what gateways logged at the level debug, a file NAME.log for each.
func newLogs(o *options) *cobra.Command {
	c := &cobra.Command{Use: "logs", Short: "Follow and count requests over the debug logs of many gateways"}
	follow := &cobra.Command{Use: "follow DIR ID", Short: "All that the gateways say of one request", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := loganalysis.Follow(args[0], args[1])
			if err != nil {
				return err
			}
			return printRows(c, o, path, table{"at", "gateway", "line", "member", "outcome", "verdict", "took ms", "detail"}, func(l loganalysis.Line) []any {
				f := l.Fields
				return []any{l.At, l.Gateway, l.Msg, f["member"], f["outcome"], f["verdict"], f["took_ms"], f["detail"] + f["reason"]}
			})
		}}
	ends := &cobra.Command{Use: "ends DIR", Short: "How requests ended, by class and cause", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.Ends(args[0])
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"class", "cause", "requests", "share"}, func(e loganalysis.End) []any {
				return []any{e.Class, e.Cause, e.Count, fmt.Sprintf("%.4f", e.Share)}
			})
		}}
	var every time.Duration
	members := &cobra.Command{Use: "members DIR", Short: "What came of attempts, by member and time", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.Members(args[0], every)
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"member", "from", "served", "median ms", "full", "silent", "others"}, func(s loganalysis.Span) []any {
				return []any{s.Member, s.From, s.Served, s.Median, s.Full, s.Silent, s.Others}
			})
		}}
	members.Flags().DurationVar(&every, "every", 2*time.Second, "the stretch of time of a row")
	var after time.Duration
	leaving := &cobra.Command{Use: "leaving DIR", Short: "Attempts that began after their member was told to leave", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.Leaving(args[0], after)
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"gateway", "id", "member", "begun", "after the first word", "not told till then"}, func(l loganalysis.Late) []any {
				return []any{l.Gateway, l.ID, l.Member, l.Begun, l.Fleet, l.Untold}
			})
		}}
	leaving.Flags().DurationVar(&after, "after", 2*time.Second, "how long after the first word of any gateway")
	c.AddCommand(follow, ends, members, leaving)
	return c
}
