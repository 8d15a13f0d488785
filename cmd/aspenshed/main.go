// Command aspenshed is the gateway: it stands between clients and the databases
// of replicated groups.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
)

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	logrus.SetOutput(os.Stderr)
	if os.Getenv("ASPENSHED_DEBUG") != "" {
		logrus.SetLevel(logrus.DebugLevel)
	}
	if err := run(); err != nil {
		logrus.WithError(err).Error("aspenshed does not start")
		fmt.Fprintln(os.Stderr, "aspenshed:", err)
		os.Exit(1)
	}
}

func run() error {
	node, err := config.ReadNode(os.Getenv)
	if err != nil {
		return err
	}
	// The poller's thread blocks in epoll_wait while it holds a P; with a second one the
	// loop need not wait for the scheduler to take the first back.
	runtime.GOMAXPROCS(2)
	debug.SetMemoryLimit(int64(node.Limits.MemoryMB) << 20 * 6 / 10)
	g, err := newGateway(node)
	if err != nil {
		return err
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-term
		g.loop.Post(g.drain)
	}()
	g.loop.Run()
	g.estate.Book.Write(g.estate.Relay.Live())
	logrus.Info("stopped")
	return nil
}
