package main

import (
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
	baseline, out := false, ""
	c := &cobra.Command{Use: "scale", Short: "Measure how the control plane grows with gateways, members and changes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel)
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			begin := time.Now()
			progress := func(format string, a ...any) {
				_, _ = fmt.Fprintf(c.ErrOrStderr(), "%6.1fs  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, a...))
			}
			if !baseline {
				return errors.New("--baseline is expected")
			}
			b := scale.DefaultBaseline()
			b.Progress = progress
			run, err := scale.Baseline(ctx, b)
			run.Command = "aspenshed " + strings.Join(os.Args[1:], " ")
			return errors.Join(err, showRun(c, o, run, out))
		}}
	f := c.Flags()
	f.BoolVar(&baseline, "baseline", false, "measure the design in which every instance is a raft voter")
	f.StringVar(&out, "out", "", "file that the result is written to as JSON, beside what --output shows")
	return c
}

// showRun writes a run to its file and shows it.
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
	err = show(c, o, run.Series, table{"series", "points", "slope", "intercept", "r2", "unit"}, func(s measure.Series) []any {
		return []any{s.Name, formatPoints(s.Points), fmt.Sprintf("%.3g", s.Fit.Slope), fmt.Sprintf("%.3g", s.Fit.Intercept), fmt.Sprintf("%.3f", s.Fit.R2), s.YUnit}
	})
	if len(run.Checks) > 0 {
		err = errors.Join(err, show(c, o, run.Checks, table{"check", "value", "bound", "unit", "passed", "detail"}, func(k measure.Check) []any {
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
