// Command aspenshed is a gateway between clients and groups of replicated databases.
//
// Without a command it runs as the platform's gateway, configured by NODE_CONFIG. `aspenshed serve` is the daemon of
// our own installations; `aspenshed --help` lists the other commands.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"aspenshed/internal/config"
	"aspenshed/internal/logwriter"
)

// version is set by the build.
var version = "development"

// logFlushTimeout bounds how long the end of the program waits for a log that nobody reads.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	log := logwriter.New(logwriter.WithoutBlocking(os.Stderr), logDroppedLines)
	logrus.SetOutput(log)
	c := newRoot()
	c.SetArgs(expandShortFlags(os.Args[1:]))
	err := c.Execute()
	if err != nil {
		logFaults(err)
	}
	log.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

func logDroppedLines(count int) {
	logrus.WithField("lines", count).Warn("log lines dropped")
}

// expandShortFlags converts the flags of earlier releases, which had one dash.
func expandShortFlags(args []string) (out []string) {
	for _, a := range args {
		if strings.HasPrefix(a, "-deploy") || a == "-verbose" {
			a = "-" + a
		}
		out = append(out, a)
	}
	return out
}

// logFaults logs the error that ends the program, and a line for each fault of a configuration file.
func logFaults(err error) {
	faults := config.Faults(err)
	for _, f := range faults {
		logrus.WithFields(logrus.Fields{"file": f.File, "line": f.Line, "field": f.Field,
			"problem": f.Problem}).Error("invalid configuration")
	}
	if len(faults) > 0 {
		err = fmt.Errorf("%d faults in the configuration", len(faults))
	}
	logrus.WithError(err).Error("exiting after an error")
}

// options are the flags of all commands.
type options struct {
	deploy, format, level, output, socket string
	verbose                               bool
}

func (o *options) logging() error {
	switch o.format {
	case "text":
		logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	case "json":
		logrus.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	default:
		return fmt.Errorf("--log-format: %q is not one of text, json", o.format)
	}
	level, err := logrus.ParseLevel(o.level)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	if o.verbose {
		level = logrus.DebugLevel
	}
	logrus.SetLevel(level)
	if o.output != "table" && o.output != "json" {
		return fmt.Errorf("--output: %q is not one of table, json", o.output)
	}
	return nil
}

func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{Use: "aspenshed", Short: "A gateway to groups of replicated databases", SilenceUsage: true, SilenceErrors: true,
		Version: version, Args: cobra.NoArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error { return o.logging() },
		RunE:              func(*cobra.Command, []string) error { return run(o.deploy) }}
	f := root.PersistentFlags()
	f.StringVar(&o.deploy, "deploy", "deploy/aspenshed.yaml", "configuration of our own front ends, the store and the daemon")
	f.StringVar(&o.format, "log-format", "text", "text or json")
	f.StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	f.StringVarP(&o.output, "output", "o", "table", "table or json")
	f.StringVar(&o.socket, "socket", "", "the daemon's local socket, if it differs from the configuration")
	f.BoolVar(&o.verbose, "verbose", false, "log at level debug, with every attempt that is not served")
	root.AddCommand(newServe(o), newCheck(o), newInventory(o), newStore(o), newMetrics(o), newExperiment(o), newLogs(o), &cobra.Command{Use: "version", Short: "Print the release",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), version)
			return err
		}})
	return root
}

func newCheck(o *options) *cobra.Command {
	return &cobra.Command{Use: "check", Short: "Check the configuration and the files that it names, and report all faults", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := config.ReadDeploy(o.deploy)
			if err == nil {
				err = checkInventories(d)
			}
			if faults := config.Faults(err); len(faults) > 0 {
				t := table{"file", "line", "field", "problem"}
				return errors.Join(printRows(c, o, faults, t, func(f config.Fault) []any { return []any{f.File, f.Line, f.Field, f.Problem} }),
					fmt.Errorf("%d faults", len(faults)))
			}
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "%s: good\n", o.deploy)
			}
			return err
		}}
}
