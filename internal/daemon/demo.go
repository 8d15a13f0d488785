package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/experiment/loopback"
	"aspenshed/internal/experiment/standin"
)

// demoConfig is the configuration of the demonstration, which runs where nothing is configured: three classes, on
// loopback only.
const demoConfig = `
postgres:
  listen: 127.0.0.1:0
  inventory: postgres.csv
  clients: 200
  links: 100
  classes: &classes
    - {name: point-read, read: bounded, bound: 300ms, aim: 400ms, give_up: 1s, worth: 1, late_worth: 0.2, effect: safe}
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
mysql:
  listen: 127.0.0.1:0
  inventory: mysql.csv
  clients: 200
  links: 100
  accounts: accounts.yaml
  database: app
  server: {user: gateway, password_file: password}
  probe: {role: "SELECT @@global.read_only", position: "SELECT applied_ms FROM heartbeat"}
  defaults: {read_class: report, write_class: order, group: 2, wait: 2s}
  classes: *classes
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
store:
  cluster: demonstration
  id: ID
  address: ADDRESS
  service: SERVICE
  data_dir: data
  peers: [PEERS]
admin:
  socket: admin.sock
`

// Demo is an installation in one process, on loopback: several instances and two small groups of stand-in databases.
type Demo struct {
	Dir       string
	Instances []*Daemon
	Databases map[string]*standin.Group // by wire protocol
	Deploys   []*config.Deploy

	storeHook func(int, *store.Config)
	clock     func(int) eventloop.Clock
}

// DemoOptions configures a demonstration.
type DemoOptions struct {
	Instances  int
	Limits     standin.Limits
	EditConfig func(text string) string
	StoreHook  func(i int, c *store.Config)
	Clock      func(i int) eventloop.Clock // nil: the wall clock
}

// NewDemo starts a demonstration in a directory.
func NewDemo(dir string, o DemoOptions) (*Demo, error) {
	d := &Demo{Dir: dir, Databases: map[string]*standin.Group{}, storeHook: o.StoreHook, clock: o.Clock}
	if err := d.startAll(o); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

func (d *Demo) startAll(o DemoOptions) (err error) {
	for n, wire := range []standin.Protocol{standin.Postgres, standin.MySQL} {
		var ids []string
		for _, x := range []string{"a", "b", "c"} {
			ids = append(ids, string(wire[:2])+"-"+x)
		}
		if d.Databases[string(wire)], err = standin.NewGroup(wire, o.Limits, ids...); err != nil {
			return err
		}
		if err := d.WriteInventory(string(wire), n+1, ""); err != nil {
			return err
		}
	}
	var peers []string
	var addresses [][2]string
	for i := range o.Instances {
		a := [2]string{}
		for k := range a {
			if a[k], err = loopback.HoldAddress(); err != nil {
				return err
			}
		}
		addresses = append(addresses, a)
		peers = append(peers, fmt.Sprintf("{id: %s, address: %s, service: %s}", instanceName(i), a[0], a[1]))
	}
	for i, a := range addresses {
		text := strings.NewReplacer("ID", instanceName(i), "ADDRESS", a[0], "SERVICE", a[1], "PEERS", strings.Join(peers, ", "),
			"inventory: ", "inventory: ../").Replace(demoConfig)
		if o.EditConfig != nil {
			text = o.EditConfig(text)
		}
		instanceDir := filepath.Join(d.Dir, instanceName(i))
		if err := os.MkdirAll(instanceDir, 0o700); err != nil {
			return err
		}
		for name, content := range map[string]string{"aspenshed.yaml": text, "accounts.yaml": "web: pass\n", "password": standin.Password} {
			if err := os.WriteFile(filepath.Join(instanceDir, name), []byte(content), 0o600); err != nil {
				return err
			}
		}
		if err := d.Start(i); err != nil {
			return err
		}
	}
	return nil
}

func instanceName(i int) string { return string(rune('a' + i)) }

// Start starts an instance, or restarts it from its directory.
func (d *Demo) Start(i int) error {
	path := filepath.Join(d.Dir, instanceName(i), "aspenshed.yaml")
	c, err := config.ReadDeploy(path)
	if err != nil {
		return err
	}
	var hook func(*store.Config)
	if d.storeHook != nil {
		hook = func(c *store.Config) { d.storeHook(i, c) }
	}
	cfg := Config{Deploy: c, Path: path, Seed: uint64(i) + 1, Release: "demonstration", StoreHook: hook}
	if d.clock != nil {
		cfg.Clock = d.clock(i)
	}
	x, err := New(cfg)
	if err != nil {
		return err
	}
	for len(d.Instances) <= i {
		d.Instances = append(d.Instances, nil)
		d.Deploys = append(d.Deploys, nil)
	}
	d.Instances[i], d.Deploys[i] = x, c
	return nil
}

// WriteInventory writes the inventory of a wire protocol, with the member draining as terminating.
func (d *Demo) WriteInventory(wire string, group int, draining string) error {
	b := []byte("id,address,site,group,kind,state\n")
	for _, x := range d.Databases[wire].DBs() {
		state := "in_service"
		if x.ID == draining {
			state = "terminating"
		}
		b = fmt.Appendf(b, "%s,%s,site-1,%d,std-4core,%s\n", x.ID, x.Address(), group, state)
	}
	return os.WriteFile(filepath.Join(d.Dir, wire+".csv"), b, 0o600)
}

// Drain shuts all instances down gracefully.
func (d *Demo) Drain() {
	for _, x := range d.Instances {
		x.Drain()
	}
}

// Wait waits until all instances have stopped, then stops the databases.
func (d *Demo) Wait() (err error) {
	for _, x := range d.Instances {
		err = errors.Join(err, x.Wait())
	}
	for _, g := range d.Databases {
		g.Stop()
	}
	return err
}

// Stop stops all instances and databases immediately.
func (d *Demo) Stop() (err error) {
	for _, x := range d.Instances {
		if x != nil {
			err = errors.Join(err, x.Kill())
		}
	}
	for _, g := range d.Databases {
		g.Stop()
	}
	return err
}

// RunDemo runs the demonstration, as the daemon does where nothing is configured.
func RunDemo(end <-chan os.Signal) error {
	dir, err := os.MkdirTemp("", "aspenshed-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	start := time.Now()
	d, err := NewDemo(dir, DemoOptions{Instances: 3, Limits: standin.DefaultLimits()})
	if err != nil {
		return err
	}
	for i, x := range d.Instances {
		logrus.WithFields(logrus.Fields{"instance": instanceName(i), "postgres": x.Front(WirePostgres).Net.Addr(),
			"mysql": x.Front(WireMySQL).Net.Addr(), "admin": d.Deploys[i].Admin.Socket}).Info("demonstration instance is ready")
	}
	row, err := QueryUntilServed(d.Instances[0].Front(WirePostgres).Net.Addr(), "sample", 5*time.Second)
	if err != nil {
		return errors.Join(fmt.Errorf("the sample query was not served: %w", err), d.Stop())
	}
	fmt.Printf("SELECT payload ... /* c=point-read */ -> %s\n", row)
	logrus.WithFields(logrus.Fields{"took_ms": time.Since(start).Milliseconds(), "row": row}).Info("sample query served")
	go func() {
		<-end
		d.Drain()
	}()
	return d.Wait()
}
