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
)

const (
	defaultLease        = 4 * time.Second
	acceptAfterTerm     = aspenshed.Nanos(400e6) // new connections still come this long after SIGTERM
	idleCloseWindow     = aspenshed.Nanos(1e9)   // before the end connections are closed between requests
	finalResponseWindow = aspenshed.Nanos(300e6) // what is still held then gets its answer
	drainInterval       = aspenshed.Nanos(10e6)
	minDrainTime        = aspenshed.Nanos(3e9)
)

// Config is what a daemon is made of.
type Config struct {
	Deploy  *config.Deploy
	Path    string // of the deploy file, for reload
	Seed    uint64
	Release string
	Clock   eventloop.Clock // nil: the wall's
	// StoreHook, where it is set, changes the store's configuration: seams for faults.
	StoreHook func(*store.Config)
	// Network carries a subscriber's stream; nil: sockets. It is the seam for delays and cuts.
	Network stream.Network
}

// Daemon is one instance.
type Daemon struct {
	Store      *store.Store           // nil: it subscribes
	Server     *stream.Server         // nil: it serves no subscribers
	Subscriber *subscriber.Subscriber // nil: it has a store of its own
	Fronts     []*Front

	cfg          Config
	control      *Control
	loop         *eventloop.Loop
	log          *logrus.Entry
	admin        *admin
	once         sync.Once
	storeOpened  chan struct{} // closed once there is a store
	stopped      chan struct{}
	storeDamaged chan error
}

// New starts an instance. It serves as soon as it knows members: from its own files at once, from the store once that
// tells them.
func New(c Config) (*Daemon, error) {
	if c.Clock == nil {
		c.Clock = eventloop.NewClock()
	}
	d := &Daemon{cfg: c, loop: eventloop.NewLoop(c.Clock), storeOpened: make(chan struct{}), stopped: make(chan struct{}), storeDamaged: make(chan error, 1),
		log: logrus.WithField("instance", c.Deploy.Store.ID)}
	d.loop.OnPanic = func(p any) {
		d.log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("panic on the loop: it goes on")
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

// open starts what the deploy file turns on, in order. After an error close ends what was started before it.
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

// openFronts starts the fronts that are on.
func (d *Daemon) openFronts() error {
	deploy, rules := d.cfg.Deploy, d.cfg.Deploy.Store.InitialRules()
	if deploy.MySQL.Listen != "" {
		d.control.applyRules(&deploy.MySQL.Settings, rules)
		front, err := NewMySQL(&deploy.MySQL, d.loop, d.cfg.Seed, d.control)
		if err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, front)
	}
	if deploy.Postgres.Listen != "" {
		d.control.applyRules(&deploy.Postgres.Settings, rules)
		front, err := NewPostgres(&deploy.Postgres, d.loop, d.cfg.Seed+1, d.control)
		if err != nil {
			return err
		}
		d.Fronts = append(d.Fronts, front)
	}
	return nil
}

// pollAgents has the agents look at once.
func (d *Daemon) pollAgents() {
	d.loop.Post(func() {
		for _, f := range d.Fronts {
			f.agent.Wake()
		}
	})
}

// Front is the front of that wire, nil if it is off.
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

// Reload reads inventories and the servers to subscribe to again, and says what else of the configuration has changed
// and waits for a restart. A bad file changes nothing.
func (d *Daemon) Reload() {
	next, err := config.ReadDeploy(d.cfg.Path)
	d.loop.Post(func() {
		if err != nil {
			d.log.WithError(err).Error("configuration refused: the running one stays")
			return
		}
		for _, f := range d.Fronts {
			f.Reload()
		}
		if d.Subscriber != nil && next.Store.IsSubscriber() {
			d.Subscriber.SetServers(next.Store.Subscribe)
		}
		if was, _ := sharedConfig(d.cfg.Deploy); was != "" {
			if now, err := sharedConfig(next); err == nil && now != was {
				go d.agreeOnConfig(next, true) // the loop must not wait for a majority
			}
		}
		d.log.WithField("needs_restart", string(next.Text) != string(d.cfg.Deploy.Text)).Info("configuration read again")
	})
}

// Drain ends the instance in good order: it accepts for a while, serves open connections for longer, and ends once
// all that was taken has its answer.
func (d *Daemon) Drain() {
	d.loop.Post(func() {
		d.once.Do(d.drain)
	})
}

func (d *Daemon) drain() {
	start, grace := d.loop.Now(), minDrainTime
	live := 0
	for _, f := range d.Fronts {
		live += f.Pipeline.Response.Pending()
		for _, c := range f.cfg.Settings.Classes {
			grace = max(grace, c.ClientTimeout)
		}
	}
	d.log.WithField("live", live).Info("draining")
	answerAll := start + grace + finalResponseWindow
	closeFrom := answerAll - max(grace, idleCloseWindow)
	var tick func()
	tick = func() {
		now, left := d.loop.Now(), 0
		for _, f := range d.Fronts {
			if now >= answerAll {
				f.Pipeline.FailAll("the gateway ends")
			}
			left += f.Remaining(now >= max(closeFrom, start+acceptAfterTerm))
		}
		if left == 0 || now >= answerAll+finalResponseWindow {
			d.loop.Quit()
			return
		}
		d.loop.At(now+drainInterval, tick)
	}
	d.loop.At(start+acceptAfterTerm, func() {
		for _, f := range d.Fronts {
			f.Net.StopListening()
		}
		tick()
	})
}

// Wait returns once the instance has drained, or the store was found damaged.
func (d *Daemon) Wait() error {
	select {
	case <-d.stopped:
		return d.close()
	case err := <-d.storeDamaged: // what it holds is not to be trusted: others go on
		return errors.Join(err, d.Kill())
	}
}

// Kill ends the instance at once, as a crash would.
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
	if d.Server != nil { // subscribers hear of the end, and go to another voter
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

// absolutePath is a path that the administrator named, absolute.
func absolutePath(p string) (string, error) {
	if p == "" {
		return "", errors.New("a path is missing")
	}
	if !filepath.IsAbs(p) {
		return "", errors.New("the path must be absolute: the daemon runs in another folder")
	}
	if _, err := os.Stat(filepath.Dir(p)); err != nil {
		return "", err
	}
	return filepath.Clean(p), nil
}
