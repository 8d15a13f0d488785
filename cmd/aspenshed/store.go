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

// ask sends a request to the daemon and decodes the response.
func (o *options) ask(q daemon.AdminRequest, into any) error {
	socket := o.socket
	if socket == "" {
		d, err := config.ReadDeploy(o.deploy)
		if err != nil {
			return err
		}
		if socket = d.Admin.Socket; socket == "" {
			return errors.New("field admin.socket: missing; set it or use --socket")
		}
	}
	data, err := daemon.CallAdmin(socket, q)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// table is the header of a table.
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
	var header []any
	for _, h := range head {
		header = append(header, h)
	}
	line(header)
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
	c := &cobra.Command{Use: "store", Short: "Inspect and manage the daemon's replicated store", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing command: see --help") }}
	// newCommand creates a command with one argument that only reports success.
	newCommand := func(use, short, do, done string, path bool) *cobra.Command {
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
	snapshot := &cobra.Command{Use: "snapshot", Short: "Save the catalog to a file, or restore it on all instances", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing command: save or restore") }}
	snapshot.AddCommand(newCommand("save FILE", "Write the daemon's copy of the catalog to a file", "save", "saved", true),
		newCommand("restore FILE", "Restore the catalog on all instances from a file; only the leader accepts it", "restore", "restored", true))
	c.AddCommand(newStatus(o), newMembers(o), newRollout(o), newGet(o), newPut(o), snapshot,
		newCommand("drain MEMBER", "Send nothing new to a member until it starts again", "drain", "draining", false),
		newCommand("restart MEMBER", "Report that a member has restarted: it is cold, and no longer draining", "restart", "marked as started now", false),
		newCommand("join SERVICE", "Add this daemon to the cluster through the service address of an instance", "join", "joined through it", false),
		newCommand("leave INSTANCE", "Remove an instance that is shut down", "leave", "out", false))
	return c
}

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the state of the daemon's store", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var s store.Status
		if err := o.ask(daemon.AdminRequest{Command: "status"}, &s); err != nil {
			return err
		}
		if o.output == "json" {
			return printJSON(c, s)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s of %s: %s, leader %s, term %d, %d of %d applied, configuration %d, inventory %d, digest %s, %d waiting\n\n",
			s.ID, s.Cluster, s.Mode, s.Leader, s.Term, s.Applied, s.Commit, s.Config, s.Inventory, s.Digest, s.Queued)
		return printRows(c, o, s.Servers, table{"instance", "address", "service", "votes", "mode", "release", "last heartbeat"}, func(x store.StatusInstance) []any {
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
	return &cobra.Command{Use: "members", Short: "List the databases that the store knows", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
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
	c.Flags().BoolVar(&latest, "latest", false, "read from the leader instead of this instance's copy")
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
	c.Flags().Int64Var(&base, "base", -1, "only if this is the current version; 0: only if the key does not exist")
	return c
}
