package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
)

// ask puts a question to the daemon and reads its answer.
func (o *options) ask(q daemon.AdminRequest, into any) error {
	socket := o.socket
	if socket == "" {
		d, err := config.ReadDeploy(o.deploy)
		if err != nil {
			return err
		}
		if socket = d.Admin.Socket; socket == "" {
			return errors.New("field admin.socket: missing; name the daemon's socket there or with --socket")
		}
	}
	data, err := daemon.CallAdmin(socket, q)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

type table []string

// printRows prints rows as a table or as JSON.
func printRows[T any](c *cobra.Command, o *options, rows []T, head table, cells func(T) []any) error {
	if o.output == "json" {
		return printJSON(c, rows)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	line := func(cells []any) {
		for _, x := range cells {
			fmt.Fprintf(w, "%v\t", x)
		}
		fmt.Fprintln(w)
	}
	var first []any
	for _, h := range head {
		first = append(first, h)
	}
	line(first)
	for _, r := range rows {
		line(cells(r))
	}
	return w.Flush()
}

func printJSON(c *cobra.Command, x any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(x)
}

func newStore(o *options) *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Look at the daemon's replicated store, and steer it", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("a command is expected: see --help") }}
	// one asks about one thing, and says that it is done.
	one := func(use, short, do, done string, path bool) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) (err error) {
			if key := args[0]; path {
				if args[0], err = filepath.Abs(key); err != nil {
					return err
				}
			}
			var x struct {
				Done bool `json:"done"`
			}
			if err := o.ask(daemon.AdminRequest{Command: do, Key: args[0]}, &x); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, x)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", args[0], done)
			return err
		}}
	}
	snapshot := &cobra.Command{Use: "snapshot", Short: "Save the catalog to a file, or have all instances hold a file's", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("save or restore is expected") }}
	snapshot.AddCommand(one("save FILE", "Write the catalog as the daemon holds it", "save", "saved", true),
		one("restore FILE", "Have all instances hold what a file says; only the leader takes it", "restore", "restored", true))
	c.AddCommand(newStatus(o), newMembers(o), newRollout(o), newGet(o), newPut(o), snapshot,
		one("drain MEMBER", "Send nothing new to a member until it starts again", "drain", "draining", false),
		one("restart MEMBER", "Say that a member has started anew: it is cold, and no longer draining", "restart", "taken as started now", false),
		one("join SERVICE", "Have this daemon come in through the service of one that is in", "join", "joined through it", false),
		one("leave INSTANCE", "Take an instance out that is off", "leave", "out", false))
	return c
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "How the daemon's instance of the store stands", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var s store.Status
		if err := o.ask(daemon.AdminRequest{Command: "status"}, &s); err != nil {
			return err
		}
		if o.output == "json" {
			return printJSON(c, s)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s of %s: %s, leader %s, term %d, %d of %d applied, configuration %d, inventory %d, digest %s, %d waiting\n\n",
			s.ID, s.Cluster, s.Mode, s.Leader, s.Term, s.Applied, s.Commit, s.Config, s.Inventory, s.Digest, s.Queued)
		return printRows(c, o, s.Servers, table{"instance", "address", "service", "votes", "mode", "release", "last beat"}, func(x store.StatusInstance) []any {
			return []any{x.ID, x.Address, x.Service, x.Voter, x.Mode, x.Release, ago(x.LastHeartbeat)}
		})
	}}
}

func ago(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.Since(time.UnixMilli(ms)).Round(100*time.Millisecond).String() + " ago"
}

func newMembers(o *options) *cobra.Command {
	return &cobra.Command{Use: "members", Short: "The databases that the store knows", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var ms []daemon.Member
		if err := o.ask(daemon.AdminRequest{Command: "members"}, &ms); err != nil {
			return err
		}
		return printRows(c, o, ms, table{"member", "address", "wire", "group", "state", "warmth", "leased", "primary", "reason"}, func(m daemon.Member) []any {
			return []any{m.ID, m.Address, m.Wire, m.Group, m.State, m.Warmth, fmt.Sprintf("%.2f", m.Leased), m.Primary, m.Reason}
		})
	}}
}

func newGet(o *options) *cobra.Command {
	latest := false
	c := &cobra.Command{Use: "get KEY", Short: "Read a value", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var p daemon.Pair
		if err := o.ask(daemon.AdminRequest{Command: "get", Key: args[0], Latest: latest}, &p); err != nil {
			return err
		}
		return printRows(c, o, []daemon.Pair{p}, table{"key", "version", "value"}, func(p daemon.Pair) []any { return []any{p.Key, p.Version, p.Value} })
	}}
	c.Flags().BoolVar(&latest, "latest", false, "ask the leader: what all have agreed on, not what is held here")
	return c
}

func newPut(o *options) *cobra.Command {
	base := int64(-1)
	c := &cobra.Command{Use: "put KEY VALUE", Short: "Write a value", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		var x struct {
			Version uint64 `json:"version"`
		}
		if err := o.ask(daemon.AdminRequest{Command: "put", Key: args[0], Value: args[1], Base: uint64(max(base, 0)), CheckBase: base >= 0}, &x); err != nil {
			return err
		}
		if o.output == "json" {
			return printJSON(c, x)
		}
		_, err := fmt.Fprintf(c.OutOrStdout(), "%s: version %d\n", args[0], x.Version)
		return err
	}}
	c.Flags().Int64Var(&base, "base", -1, "only on top of that version; 0: only if there is none")
	return c
}
