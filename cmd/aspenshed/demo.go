package main

import (
	"github.com/sirupsen/logrus"

	"aspenshed/internal/daemon"
)

// runDemo runs an installation in one process: what a newcomer gets without any configuration.
func runDemo() error {
	_, end := notifySignals()
	if err := daemon.RunDemo(end); err != nil {
		return err
	}
	logrus.Info("stopped")
	return nil
}
