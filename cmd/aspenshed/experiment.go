package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"aspenshed/internal/experiment/standin"
	"aspenshed/internal/experiment/trial"
)

func newExperiment(o *options) *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "Run experiments on loopback with stand-in databases", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing command: cut, store, scale or soak") }}
	c.AddCommand(newCut(o), newStoreBench(o), newScale(o), newSoak(), newHollow(), newFaultyGateway(o))
	return c
}

func newCut(o *options) *cobra.Command {
	t := trial.Options{Limits: standin.DefaultLimits()}
	c := &cobra.Command{Use: "cut", Short: "Run three instances under load: partition the leader, kill an instance, drain and restart databases", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel)
			r, err := trial.Run(t)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, r)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "served %d (%.0f a second), refused %d, failed %d\nlongest gap of each instance %v\n"+
				"sends after drain notices %d\nhighest share of the cold database's overload limit %.2f, overloaded %v, agreed to be warm after %v\n"+
				"most runs of one order %d, catalogs equal %v, modes at the end of the partition %v\n", r.Served, r.PerSecond, r.Refused, r.Failed,
				r.LongestGap, r.LateDrains, r.HighestCold, r.Fell, r.WarmAfter.Round(time.Millisecond), r.MostRun, r.Equal, r.Modes)
			return err
		}}
	f := c.Flags()
	f.IntVar(&t.Clients, "clients", 4, "clients of each instance, 1 to 200")
	f.DurationVar(&t.Pause, "pause", 30*time.Millisecond, "pause of a client between requests")
	f.DurationVar(&t.PartitionTime, "cut", time.Minute, "how long one instance is partitioned")
	f.BoolVar(&t.Leases, "leases", true, "share a cold database's capacity by leases")
	f.BoolVar(&t.SkewClocks, "clocks", false, "run the instances' clocks 5% slow, exact and 5% fast")
	f.BoolVar(&t.Kill, "kill", true, "also kill an instance and restart it")
	return c
}

func newStoreBench(o *options) *cobra.Command {
	b := trial.StoreOptions{}
	c := &cobra.Command{Use: "store", Short: "Measure write latency, time to a new leader, catalog size and restart time", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel)
			rows, err := trial.MeasureStore(b)
			return errors.Join(printRows(c, o, rows, table{"figure", "value", "unit"}, func(r trial.Measurement) []any { return []any{r.Name, fmt.Sprintf("%.3g", r.Value), r.Unit} }), err)
		}}
	f := c.Flags()
	f.IntVar(&b.Writes, "writes", 2000, "writes whose latency is measured")
	f.IntVar(&b.Failovers, "failovers", 5, "leaders to kill")
	f.IntVar(&b.ReplacedMembers, "replaced", 100000, "members to add and remove")
	f.IntVar(&b.RestartMembers, "members", 10000, "members in the catalog at the restart")
	return c
}
