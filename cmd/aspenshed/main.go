// Command aspenshed is the gateway: it stands between clients and the databases
// of replicated groups.
//
//	aspenshed [-deploy FILE]
//	aspenshed inventory check FILE
//	aspenshed [-deploy FILE] inventory import|export FILE
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/core"
)

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	logrus.SetOutput(os.Stderr)
	flags := flag.NewFlagSet("aspenshed", flag.ExitOnError)
	deploy := flags.String("deploy", "deploy/aspenshed.yaml", "configuration of the MySQL front and the store")
	verbose := flags.Bool("verbose", false, "log every attempt that is not served")
	_ = flags.Parse(os.Args[1:]) // exits by itself
	if *verbose {
		logrus.SetLevel(logrus.DebugLevel)
	}
	var err error
	if flags.Arg(0) == "inventory" {
		err = manageInventory(flags.Args()[1:], *deploy)
	} else if flags.NArg() > 0 {
		err = fmt.Errorf("unknown command %q", flags.Arg(0))
	} else {
		err = run(*deploy)
	}
	if err != nil {
		logrus.WithError(err).Error("aspenshed ends")
		os.Exit(1)
	}
}

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
	g, err := newGateway(node, deploy, core.NewClock())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				g.loop.Post(g.reload)
			} else {
				g.loop.Post(g.drain)
			}
		}
	}()
	g.loop.Run()
	g.stop()
	logrus.Info("stopped")
	return nil
}
