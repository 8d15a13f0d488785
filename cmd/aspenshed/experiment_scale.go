package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"aspenshed/internal/experiment/measure"
	"aspenshed/internal/experiment/scale"
)

func newScale(o *options) *cobra.Command {
	x := &scaleCommand{}
	c := &cobra.Command{Use: "scale", Short: "Measure how the control plane scales with gateways, members and changes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return x.run(c, o) }}
	f := c.Flags()
	f.BoolVar(&x.baseline, "baseline", false, "measure the design in which every instance is a raft voter")
	f.BoolVar(&x.full, "full", false, "run all sizes up to 2,400 gateways and 21,000 members, about ten minutes; otherwise a short form")
	f.StringVar(&x.out, "out", "", "file for the result as JSON, in addition to --output; COMMIT in it is replaced")
	f.IntVar(&x.voters, "voters", 5, "voter processes, 1 to 5")
	f.IntVar(&x.gateways, "gateways", 2, "real gateways with clients, 0 to 3")
	f.IntVar(&x.largest, "largest", 0, "omit numbers of hollow gateways above this; 0: omit none")
	f.Uint64Var(&x.seed, "seed", 1, "seed of all random choices")
	return c
}

// newHollow creates the command that the runner of a scale run starts as a worker and controls over standard input.
func newHollow() *cobra.Command {
	return &cobra.Command{Use: "hollow", Short: "Run hollow gateways as a worker of a scale run, until standard input ends",
		Args: cobra.NoArgs, Hidden: true, RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel)
			return new(scale.Worker).Serve(c.Context(), c.InOrStdin(), c.OutOrStdout())
		}}
}

// scaleCommand holds the flags of the command.
type scaleCommand struct {
	baseline, full            bool
	out                       string
	voters, gateways, largest int
	seed                      uint64
}

var errScaleFlags = errors.New("--voters must be 1 to 5, --gateways 0 to 3")

func (x *scaleCommand) run(c *cobra.Command, o *options) error {
	if x.voters < 1 || x.voters > 5 || x.gateways < 0 || x.gateways > 3 {
		return errScaleFlags
	}
	logrus.SetLevel(logrus.ErrorLevel)
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	start := time.Now()
	progress := func(format string, a ...any) {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "%6.1fs  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, a...))
	}
	run, err := x.measure(ctx, progress)
	run.Command = x.commandLine()
	if err != nil {
		run.Notes = append(run.Notes, "the run ended early: "+err.Error())
	}
	err = errors.Join(err, showRun(c, o, run, strings.ReplaceAll(x.out, "COMMIT", run.Commit)))
	if failed := scale.Failed(run); len(failed) > 0 {
		err = errors.Join(err, fmt.Errorf("%d checks failed: %s", len(failed), strings.Join(failed, "; ")))
	}
	return err
}

// commandLine returns a command line that repeats the run, without the output file.
func (x *scaleCommand) commandLine() string {
	if x.baseline {
		return "aspenshed experiment scale --baseline"
	}
	line := fmt.Sprintf("aspenshed experiment scale --voters %d --gateways %d --largest %d --seed %d", x.voters, x.gateways, x.largest, x.seed)
	if x.full {
		line += " --full"
	}
	return line
}

func (x *scaleCommand) measure(ctx context.Context, progress func(string, ...any)) (run measure.Run, err error) {
	if x.baseline {
		b := scale.DefaultBaseline()
		b.Progress = progress
		return scale.Baseline(ctx, b)
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return run, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	program, err := os.Executable()
	if err != nil {
		return run, err
	}
	options := scale.ProcessOptions(scale.Command{Path: program}, dir)
	options.Voters, options.RealGateways, options.Seed, options.Progress = x.voters, x.gateways, x.seed, progress
	plan := scale.ShortPlan()
	if x.full {
		plan = scale.FullPlan()
	} else {
		options.PerWorker = plan.Gateways[0]
	}
	plan.Limit(x.largest)
	return scale.Run(ctx, options, plan)
}

// showRun writes a run to its file and prints it.
func showRun(c *cobra.Command, o *options, run measure.Run, out string) error {
	encoded, err := json.MarshalIndent(run, "", " ")
	if err == nil && out != "" {
		err = os.WriteFile(out, append(encoded, '\n'), 0o644)
	}
	if err != nil {
		return err
	}
	if o.output == "json" {
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", encoded)
		return err
	}
	err = printRows(c, o, run.Series, table{"series", "points", "slope", "intercept", "r2", "unit"}, func(s measure.Series) []any {
		return []any{s.Name, formatPoints(s.Points), fmt.Sprintf("%.3g", s.Fit.Slope), fmt.Sprintf("%.3g", s.Fit.Intercept), fmt.Sprintf("%.3f", s.Fit.R2), s.YUnit}
	})
	if len(run.Checks) > 0 {
		err = errors.Join(err, printRows(c, o, run.Checks, table{"check", "value", "bound", "unit", "passed", "detail"}, func(k measure.Check) []any {
			return []any{k.Name, fmt.Sprintf("%.4g", k.Value), fmt.Sprintf("%.4g", k.Bound), k.Unit, k.Passed, k.Detail}
		}))
	}
	return err
}

func formatPoints(points []measure.Point) string {
	var parts []string
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%g:%.3g", p.X, p.Y))
	}
	return strings.Join(parts, " ")
}
