package main

import (
	"github.com/sirupsen/logrus"

	"aspenshed/internal/daemon"
)

// runDemo runs an installation in one process, which needs no configuration.
func runDemo() error {
	_, terminate := notifySignals()
	if err := daemon.RunDemo(terminate); err != nil {
		return err
	}
	logrus.Info("stopped")
	return nil
}
