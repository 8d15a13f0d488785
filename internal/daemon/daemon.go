package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscriber"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/frontend/drain"
	"aspenshed/internal/membudget"
)

const (
	defaultLease        = 4 * time.Second
	acceptAfterTerm     = aspenshed.Nanos(400e6) // clients may still connect this long after SIGTERM
	idleCloseWindow     = aspenshed.Nanos(1e9)   // at the end of a drain, in which connections between requests are closed
	finalResponseWindow = aspenshed.Nanos(300e6) // at the very end, for sending the responses to pending requests
	minDrainTime        = aspenshed.Nanos(3e9)
	memoryBudget        = 256 << 20 // bytes that clients and databases of all front ends may occupy
)

// Config configures a daemon.
type Config struct {
	Deploy  *config.Deploy
	Path    string // of the deploy file, for Reload
	Seed    uint64
	Release string
	Clock   eventloop.Clock // nil: the wall clock
	// StoreHook, if set, changes the store's configuration, for fault injection.
	StoreHook func(*store.Config)
	// Network carries a subscriber's stream; nil: sockets. Tests and experiments inject delays and partitions through
	// it.
	Network stream.Network
}

// Daemon is one instance of the gateway of our own installations.
type Daemon struct {
	Store      *store.Store           // nil: the instance subscribes
	Server     *stream.Server         // nil: the instance serves no subscribers
	Subscriber *subscriber.Subscriber // nil: the instance has its own store
	Fronts     []*Front

	cfg            Config
	control        *Control
	loop           *eventloop.Loop
	log            *logrus.Entry
	admin          *admin
	budget         *membudget.Budget
	once           sync.Once
	storeOpened    chan struct{} // closed after the attempt to open the store
	stopped        chan struct{}
	storeCorrupted chan error
}

// New starts an instance. It serves as soon as it knows members: immediately those of its own files, and those of the
// store once they are received.
func New(c Config) (*Daemon, error) {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	d := &Daemon{cfg: c, loop: eventloop.NewLoop(c.Clock), storeOpened: make(chan struct{}), stopped: make(chan struct{}),
		storeCorrupted: make(chan error, 1), budget: membudget.New(memoryBudget), log: logrus.WithField("instance", c.Deploy.Store.ID)}
	d.loop.OnPanic = func(p any) {
		d.log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("panic in the event loop; continuing")
	}
	if err := d.open(); err != nil {
		return nil, errors.Join(err, d.close())
	}
	d.loop.Post(func() {})
	go func() {
		d.loop.Run()
		close(d.stopped)
	}()
	go d.agreeOnConfig(c.Deploy, false)
	return d, nil
}

// open starts, in order, what the deploy file enables. After an error, close stops what has been started.
func (d *Daemon) open() (err error) {
	if err := d.openControl(); err != nil {
		return err
	}
	if err := d.openFronts(); err != nil {
		return err
	}
	if socket := d.cfg.Deploy.Admin.Socket; socket != "" {
		d.admin, err = newAdmin(d, socket)
	}
	return err
}

// openFronts starts the enabled front ends.
func (d *Daemon) openFronts() error {
	deploy, rules := d.cfg.Deploy, d.cfg.Deploy.Store.InitialRules()
	if deploy.MySQL.Listen != "" {
		d.control.applyRules(&deploy.MySQL.Settings, rules)
		front, err := NewMySQL(&deploy.MySQL, d.loop, d.cfg.Seed, d.control, d.budget)
		if err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, front)
	}
	if deploy.Postgres.Listen != "" {
		d.control.applyRules(&deploy.Postgres.Settings, rules)
		front, err := NewPostgres(&deploy.Postgres, d.loop, d.cfg.Seed+1, d.control, d.budget)
		if err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, front)
	}
	return nil
}

// wakeAgents makes the agents read the store immediately.
func (d *Daemon) wakeAgents() {
	d.loop.Post(func() {
		for _, f := range d.Fronts {
			f.agent.Wake()
		}
	})
}

// Front returns the front end of a wire protocol, or nil if it is off.
func (d *Daemon) Front(wire string) *Front {
	for _, f := range d.Fronts {
		if f.Wire == wire {
			return f
		}
	}
	return nil
}

// RunOnLoop runs f on the loop and waits for it.
func (d *Daemon) RunOnLoop(f func()) {
	done := make(chan struct{})
	d.loop.Post(func() { defer close(done); f() })
	select {
	case <-done:
	case <-d.stopped:
	}
}

// Reload rereads the inventories and the servers to subscribe to, and logs whether the rest of the configuration has
// changed, which takes effect only after a restart. An invalid file changes nothing.
func (d *Daemon) Reload() {
	next, err := config.ReadDeploy(d.cfg.Path)
	d.loop.Post(func() {
		if err != nil {
			d.log.WithError(err).Error("configuration rejected; keeping the running one")
			return
		}
		for _, f := range d.Fronts {
			f.Reload()
		}
		if d.Subscriber != nil && next.Store.IsSubscriber() {
			d.Subscriber.SetServers(next.Store.Subscribe)
		}
		if old, _ := sharedConfig(d.cfg.Deploy); old != "" {
			if current, err := sharedConfig(next); err == nil && current != old {
				go d.agreeOnConfig(next, true) // the loop must not wait for a majority
			}
		}
		d.log.WithField("needs_restart", string(next.Text) != string(d.cfg.Deploy.Text)).Info("configuration reloaded")
	})
}

// Drain shuts the instance down gracefully: it accepts connections for a while, serves open ones for longer, and stops
// once all accepted requests have responses.
func (d *Daemon) Drain() {
	d.loop.Post(func() {
		d.once.Do(d.drain)
	})
}

func (d *Daemon) drain() {
	grace := minDrainTime
	var fronts []drain.Front
	for _, f := range d.Fronts {
		fronts = append(fronts, f.Served())
		for _, c := range f.cfg.Settings.Classes {
			grace = max(grace, c.ClientTimeout)
		}
	}
	respondAll := grace + finalResponseWindow
	x := drain.Drain{Loop: d.loop, Fronts: fronts, Done: d.loop.Quit, Schedule: drain.Schedule{StopListening: acceptAfterTerm,
		CloseIdle: max(acceptAfterTerm, respondAll-max(grace, idleCloseWindow)), RespondAll: respondAll, End: respondAll + finalResponseWindow}}
	d.log.WithField("live", x.Pending()).Info("draining")
	x.Start()
}

// Wait returns once the instance has drained, or its store was found to be corrupted.
func (d *Daemon) Wait() error {
	select {
	case <-d.stopped:
		return d.close()
	case err := <-d.storeCorrupted: // its data cannot be trusted; the other instances continue
		return errors.Join(err, d.Kill())
	}
}

// Kill stops the instance immediately, like a crash.
func (d *Daemon) Kill() error {
	d.loop.Post(d.loop.Quit)
	<-d.stopped
	return d.close()
}

func (d *Daemon) close() (err error) {
	if d.admin != nil {
		d.admin.stop()
	}
	for _, f := range d.Fronts {
		f.Stop()
	}
	if d.Server != nil { // subscribers see the connection end and connect to another voter
		d.Server.Stop()
	}
	if d.Subscriber != nil {
		d.Subscriber.Close()
	}
	if d.Store != nil {
		err = d.Store.Close()
	}
	for _, f := range d.Fronts {
		f.Net.Stop()
	}
	return err
}

// absolutePath validates a path from an administrator, which must be absolute.
func absolutePath(p string) (string, error) {
	if p == "" {
		return "", errors.New("the path is missing")
	}
	if !filepath.IsAbs(p) {
		return "", errors.New("the path must be absolute: the daemon runs in another directory")
	}
	if _, err := os.Stat(filepath.Dir(p)); err != nil {
		return "", err
	}
	return filepath.Clean(p), nil
}
