package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"aspenshed/internal/experiment/loganalysis"
)

// newLogs creates the commands that analyze debug logs, with a file NAME.log of each gateway.
func newLogs(o *options) *cobra.Command {
	c := &cobra.Command{Use: "logs", Short: "Trace and count requests in the debug logs of many gateways"}
	follow := &cobra.Command{Use: "follow DIR ID", Short: "Show all log lines of one request", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := loganalysis.TraceRequest(args[0], args[1])
			if err != nil {
				return err
			}
			return printRows(c, o, path, table{"at", "gateway", "line", "member", "outcome", "verdict", "took ms", "detail"}, func(l loganalysis.Line) []any {
				f := l.Fields
				return []any{l.TimeOfDay, l.Gateway, l.Msg, f["member"], f["outcome"], f["verdict"], f["took_ms"], f["detail"] + f["reason"]}
			})
		}}
	ends := &cobra.Command{Use: "ends DIR", Short: "Count how requests ended, by class and cause", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.CountResults(args[0])
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"class", "cause", "requests", "share"}, func(e loganalysis.ResultCount) []any {
				return []any{e.Class, e.Cause, e.Count, fmt.Sprintf("%.4f", e.Share)}
			})
		}}
	var every time.Duration
	members := &cobra.Command{Use: "members DIR", Short: "Summarize the outcomes of attempts, by member and time", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.CountByMember(args[0], every)
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"member", "from", "served", "median ms", "full", "silent", "others"}, func(s loganalysis.MemberInterval) []any {
				return []any{s.Member, s.From, s.Served, s.MedianMs, s.Full, s.Silent, s.Others}
			})
		}}
	members.Flags().DurationVar(&every, "every", 2*time.Second, "the time span of a row")
	var after time.Duration
	leaving := &cobra.Command{Use: "leaving DIR", Short: "List attempts that began after the drain notice of their member", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := loganalysis.LateAttempts(args[0], after)
			if err != nil {
				return err
			}
			return printRows(c, o, rows, table{"gateway", "id", "member", "begun", "after the first notice", "not notified before"}, func(l loganalysis.LateAttempt) []any {
				return []any{l.Gateway, l.ID, l.Member, l.StartedAt, l.SinceFirstNotice, l.NotNotified}
			})
		}}
	leaving.Flags().DurationVar(&after, "after", 2*time.Second, "how long after the first notice to any gateway")
	c.AddCommand(follow, ends, members, leaving)
	return c
}
