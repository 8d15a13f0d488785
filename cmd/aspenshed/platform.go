package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/dataplane/eventloop"
)

// run is the platform's gateway.
func run(deployPath string) error {
	node, err := config.ReadNode(os.Getenv)
	if err != nil {
		return err
	}
	deploy, err := config.ReadDeploy(deployPath)
	if err != nil {
		return err
	}
	// The poller's thread blocks in epoll_wait while it holds a P; with a second one the
	// loop need not wait for the scheduler to take the first back.
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(node.Limits.MemoryMB) << 20 * 6 / 10)
	hangup, end := notifySignals()
	g, err := newGateway(node, deploy, eventloop.NewClock())
	if err != nil {
		return err
	}
	go func() {
		<-end
		g.loop.Post(g.drain)
	}()
	go func() {
		for range hangup {
			next, err := config.ReadNode(os.Getenv)
			g.loop.Post(func() { g.reload(next, err) })
		}
	}()
	g.loop.Run()
	g.stop()
	logrus.Info("stopped")
	return nil
}

// notifySignals takes over those that the program hears; from here on none ends it unasked. A second SIGHUP on top of one
// that waits adds nothing, and SIGTERM has a channel of its own, which no number of others can fill.
func notifySignals() (hangup, end chan os.Signal) {
	hangup, end = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	return hangup, end
}
