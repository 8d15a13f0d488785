package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"aspenshed"
)

// Deploy is deploy/aspenshed.yaml: the fronts of our own installations, the store and the daemon's own settings. Paths
// in it are relative to its folder.
type Deploy struct {
	MySQL    MySQL    `yaml:"mysql"`
	Postgres Postgres `yaml:"postgres"`
	Store    Store    `yaml:"store"`
	Admin    struct {
		Socket string `yaml:"socket"` // a unix socket for the command line; empty: none
	} `yaml:"admin"`

	Text []byte `yaml:"-"` // the file itself; passwords stand in files of their own
}

// Front is what all fronts of our own have in common.
type Front struct {
	Listen             string        `yaml:"listen"` // empty: off
	Inventory          string        `yaml:"inventory"`
	Clients            int           `yaml:"clients"` // connections from clients
	BackendConnections int           `yaml:"links"`   // connections to servers
	Classes            []Class       `yaml:"classes"`
	Tenants            []string      `yaml:"tenants"`
	Attempts           int           `yaml:"attempts"`
	RetryAdvice        bool          `yaml:"retry_advice"`
	ConnectTimeout     time.Duration `yaml:"connect_timeout"`
	IdleTimeout        time.Duration `yaml:"idle_close"`
	ClientIdleTimeout  time.Duration `yaml:"client_idle"`

	Settings aspenshed.Settings `yaml:"-"`
}

// Postgres configures a front that speaks the platform's protocol to members that an inventory names.
type Postgres struct {
	Front `yaml:",inline"`
}

// MySQL configures the MySQL front and its pipeline.
type MySQL struct {
	Front    `yaml:",inline"`
	Accounts string `yaml:"accounts"`
	Database string `yaml:"database"`
	Server   struct {
		User         string `yaml:"user"`
		PasswordFile string `yaml:"password_file"`
	} `yaml:"server"`
	Probe struct {
		Role     string `yaml:"role"`
		Position string `yaml:"position"`
	} `yaml:"probe"`
	Defaults struct {
		ReadClass  string        `yaml:"read_class"`
		WriteClass string        `yaml:"write_class"`
		Tenant     string        `yaml:"tenant"`
		Group      int           `yaml:"group"`
		Wait       time.Duration `yaml:"wait"`
	} `yaml:"defaults"`

	AccountPasswords map[string]string `yaml:"-"`
	ServerPassword   string            `yaml:"-"`
}

// Class is one class of statement.
type Class struct {
	Name      string        `yaml:"name"`
	Read      string        `yaml:"read"` // any, bounded, fresh or write
	Bound     time.Duration `yaml:"bound"`
	Aim       time.Duration `yaml:"aim"`
	GiveUp    time.Duration `yaml:"give_up"`
	Worth     float64       `yaml:"worth"`
	LateWorth float64       `yaml:"late_worth"`
	Effect    string        `yaml:"effect"` // safe or unsafe
}

// ReadDeploy reads the file and what it names. A missing file means that nothing in it is on. The error holds every
// fault at once, each with file, line and field.
func ReadDeploy(path string) (*Deploy, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return &Deploy{}, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseDeploy(path, data)
}

// ParseDeploy reads a text as though it stood in that file.
func ParseDeploy(path string, data []byte) (*Deploy, error) {
	d := &Deploy{Text: data}
	c := newChecker(path, data)
	c.decode(d)
	d.Store.check(c)
	dir := filepath.Dir(path)
	if d.Store.DataDir != "" {
		d.Store.DataDir = resolvePath(dir, d.Store.DataDir)
	}
	if d.Admin.Socket != "" {
		d.Admin.Socket = resolvePath(dir, d.Admin.Socket)
	}
	if d.MySQL.Listen != "" {
		d.MySQL.check(c, dir)
	}
	if d.Postgres.Listen != "" {
		d.Postgres.Front.check(c, "postgres", dir, true)
	}
	if d.Postgres.Listen != "" && d.Postgres.Listen == d.MySQL.Listen && !strings.HasSuffix(d.MySQL.Listen, ":0") {
		c.addFault("postgres.listen", "is that of mysql too")
	}
	return d, c.err()
}

func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// InventoryPath is where the inventory lies, whether the front is on or off.
func (s *Front) InventoryPath(deployPath string) string {
	if s.Inventory == "" || filepath.IsAbs(s.Inventory) || s.Listen != "" {
		return s.Inventory
	}
	return filepath.Join(filepath.Dir(deployPath), s.Inventory)
}

func (m *MySQL) check(c *checker, dir string) {
	for _, p := range []*string{&m.Accounts, &m.Server.PasswordFile} {
		if *p != "" {
			*p = resolvePath(dir, *p)
		}
	}
	c.require("mysql.accounts", m.Accounts != "")
	c.require("mysql.server.user", m.Server.User != "")
	c.require("mysql.probe.role", m.Probe.Role != "")
	c.require("mysql.defaults.wait", m.Defaults.Wait > 0)
	if m.Accounts != "" {
		data, err := os.ReadFile(m.Accounts)
		if err == nil {
			err = decodeStrict(data, &m.AccountPasswords)
		}
		if err != nil {
			c.addFault("mysql.accounts", "%v", err)
		}
	}
	if m.Server.PasswordFile != "" {
		data, err := os.ReadFile(m.Server.PasswordFile)
		if err != nil {
			c.addFault("mysql.server.password_file", "%v", err)
		}
		m.ServerPassword = string(bytes.TrimRight(data, "\r\n"))
	}
	byName := m.Front.check(c, "mysql", dir, m.Probe.Position != "")
	if k := byName[m.Defaults.ReadClass]; k.Consistency != aspenshed.Eventual || k.RetrySafety != aspenshed.Safe {
		c.addFault("mysql.defaults.read_class", "%q is no safe class that any member answers", m.Defaults.ReadClass)
	}
	if k := byName[m.Defaults.WriteClass]; k.Consistency != aspenshed.Write {
		c.addFault("mysql.defaults.write_class", "%q is no class of writes", m.Defaults.WriteClass)
	}
}

// check looks at the fields that all fronts have, and makes what the decision module is told. The cold-start figures
// are the platform's. positions: what members say proves how fresh they are.
func (s *Front) check(c *checker, at, dir string, positions bool) map[string]aspenshed.Class {
	if s.Inventory != "" {
		s.Inventory = resolvePath(dir, s.Inventory)
	}
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"listen", isHostPort(s.Listen)}, {"inventory", s.Inventory != ""}, {"classes", len(s.Classes) > 0}, {"clients", s.Clients > 0},
		{"links", s.BackendConnections > 0}, {"connect_timeout", s.ConnectTimeout > 0}, {"attempts", s.Attempts > 0}, {"idle_close", s.IdleTimeout >= 0},
		{"client_idle", s.ClientIdleTimeout > 0},
	} {
		c.require(at+"."+f.name, f.ok)
	}
	s.Settings = aspenshed.Settings{Routers: 1, MinStepInterval: 1e6, MayProbe: true, MayCancel: true, MaxAttempts: s.Attempts,
		SendRetryAfter: s.RetryAdvice, MaxRetryAfter: 1e9, ConnectTimeout: aspenshed.Nanos(s.ConnectTimeout), IdleTimeout: aspenshed.Nanos(s.IdleTimeout),
		ResponseSlack: 20e6, DrainGrace: 2e9, InitialCapacity: 0.15, WarmUpTime: 16e9, OverloadFactor: 2.5, OverloadWindow: 1500e6, ProbeCost: 0.021}
	needs := map[string]aspenshed.Consistency{"any": aspenshed.Eventual, "bounded": aspenshed.BoundedStaleness, "fresh": aspenshed.Linearizable, "write": aspenshed.Write}
	effects := map[string]aspenshed.RetrySafety{"safe": aspenshed.Safe, "unsafe": aspenshed.Unsafe}
	byName := map[string]aspenshed.Class{}
	for i, x := range s.Classes {
		k := aspenshed.Class{Name: x.Name, Consistency: needs[x.Read], MaxStaleness: aspenshed.Nanos(x.Bound), LatencyTarget: aspenshed.Nanos(x.Aim), ClientTimeout: aspenshed.Nanos(x.GiveUp),
			Value: x.Worth, LateValue: x.LateWorth, RetrySafety: effects[x.Effect]}
		where := fmt.Sprintf("%s.classes[%d].", at, i)
		if x.Name == "" || byName[x.Name].Name != "" {
			c.addFault(where+"name", "missing or named twice")
		}
		if k.Consistency == 0 {
			c.addFault(where+"read", "%q is none of any, bounded, fresh, write", x.Read)
		}
		if k.RetrySafety == 0 || k.Consistency == aspenshed.Write && k.RetrySafety != aspenshed.Unsafe {
			c.addFault(where+"effect", "%q is not safe or unsafe, or a write that is not unsafe", x.Effect)
		}
		if k.LatencyTarget <= 0 || k.ClientTimeout < k.LatencyTarget {
			c.addFault(where+"give_up", "aim must be positive and not beyond it")
		}
		if k.Consistency == aspenshed.BoundedStaleness && k.MaxStaleness <= 0 {
			c.addFault(where+"bound", "missing")
		}
		if k.Consistency == aspenshed.BoundedStaleness && !positions {
			k.Consistency = aspenshed.Linearizable // no position can be proved: the primary alone is known to be fresh
		}
		byName[x.Name] = k
		s.Settings.Classes = append(s.Settings.Classes, k)
	}
	for _, t := range s.Tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, aspenshed.Tenant{Name: t})
	}
	return byName
}
