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
	"aspenshed/internal/netio"
)

// machine is what a gateway uses of the machine that it runs on.
type machine struct {
	clock  eventloop.Clock
	system netio.System
}

// run runs the platform's gateway.
func run(deployPath string) error {
	return runOn(machine{eventloop.NewClock(), netio.Kernel{}}, deployPath)
}

// runOn runs the platform's gateway on a machine.
func runOn(m machine, deployPath string) error {
	hangup, terminate := notifySignals() // before anything else: both may come at once
	node, err := config.ReadNode(os.Getenv)
	if err != nil {
		return err
	}
	deploy, err := config.ReadDeploy(deployPath)
	if err != nil {
		return err
	}
	// The poller's thread blocks in epoll_wait while it holds a P. With a second P the loop does not have to wait for
	// the scheduler to retake the first.
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(node.Limits.MemoryMB) << 20 * 6 / 10)
	g, err := newGateway(node, deploy, m)
	if err != nil {
		return err
	}
	go func() {
		<-terminate
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

// notifySignals installs the signal handlers; from here on these signals no longer terminate the program by themselves.
// A SIGHUP is dropped while another is pending, as it would add nothing. SIGTERM has its own channel, which other
// signals cannot fill. SIGPIPE is ignored, as it would end the program when the reader of its log goes away.
func notifySignals() (hangup, terminate chan os.Signal) {
	hangup, terminate = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	return hangup, terminate
}
