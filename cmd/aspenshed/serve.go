package main

import (
	"math/rand/v2"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"aspenshed/internal/config"
	"aspenshed/internal/daemon"
)

func newServe(o *options) *cobra.Command {
	return &cobra.Command{Use: "serve", Short: "Run the daemon of our own installations; a demonstration if nothing is configured", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			d, err := config.ReadDeploy(o.deploy)
			if err != nil {
				return err
			}
			if d.Empty() {
				return runDemo()
			}
			return serve(d, o.deploy)
		}}
}

func serve(d *config.Deploy, path string) error {
	hangup, terminate := notifySignals()
	x, err := daemon.New(daemon.Config{Deploy: d, Path: path, Seed: rand.Uint64(), Release: version})
	if err != nil {
		return err
	}
	go func() {
		for range hangup {
			x.Reload()
		}
	}()
	go func() {
		<-terminate
		x.Drain()
	}()
	if err := x.Wait(); err != nil {
		return err
	}
	logrus.Info("stopped")
	return nil
}
