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

// Deploy is the content of deploy/aspenshed.yaml: the front ends of our own installations, the store and the daemon's
// own settings. Paths in it are relative to its directory.
type Deploy struct {
	MySQL    MySQL    `yaml:"mysql"`
	Postgres Postgres `yaml:"postgres"`
	Store    Store    `yaml:"store"`
	Admin    struct {
		Socket string `yaml:"socket"` // unix socket for the command line; empty: none
	} `yaml:"admin"`

	Text []byte `yaml:"-"` // the file itself; it holds no passwords, as those are in separate files
}

// Front holds the settings that all front ends of our own installations share.
type Front struct {
	Listen             string        `yaml:"listen"` // empty: off
	Inventory          string        `yaml:"inventory"`
	Clients            int           `yaml:"clients"` // connections from clients
	BackendConnections int           `yaml:"links"`   // connections to members
	Classes            []Class       `yaml:"classes"`
	Tenants            []string      `yaml:"tenants"`
	Attempts           int           `yaml:"attempts"`
	RetryAdvice        bool          `yaml:"retry_advice"`
	ConnectTimeout     time.Duration `yaml:"connect_timeout"`
	IdleTimeout        time.Duration `yaml:"idle_close"`
	ClientIdleTimeout  time.Duration `yaml:"client_idle"`

	Settings aspenshed.Settings `yaml:"-"`
}

// Postgres configures a front end that speaks the platform's protocol to the members of an inventory.
type Postgres struct {
	Front `yaml:",inline"`
}

// MySQL configures the MySQL front end and its pipeline.
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
		Timeout    time.Duration `yaml:"wait"`
	} `yaml:"defaults"`

	AccountPasswords map[string]string `yaml:"-"`
	ServerPassword   string            `yaml:"-"`
}

// Class configures one class of statements.
type Class struct {
	Name          string        `yaml:"name"`
	Consistency   string        `yaml:"read"` // any, bounded, fresh or write
	MaxStaleness  time.Duration `yaml:"bound"`
	LatencyTarget time.Duration `yaml:"aim"`
	ClientTimeout time.Duration `yaml:"give_up"`
	Value         float64       `yaml:"worth"`
	LateValue     float64       `yaml:"late_worth"`
	RetrySafety   string        `yaml:"effect"` // safe or unsafe
}

// ReadDeploy reads the file and the files that it names. A missing file counts as an empty one, which enables nothing.
// The error joins all faults, each with file, line and field.
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

// ParseDeploy parses data as the content of the file path.
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
		d.Postgres.Front.check(c, "postgres", dir, wireFacts{positions: true, responseRoles: true})
	}
	if d.Postgres.Listen != "" && d.Postgres.Listen == d.MySQL.Listen && !strings.HasSuffix(d.MySQL.Listen, ":0") {
		c.addFault("postgres.listen", "is also the address of mysql")
	}
	return d, c.err()
}

func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// InventoryPath returns the path of the inventory, whether the front end is on or off.
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
	c.require("mysql.defaults.wait", m.Defaults.Timeout > 0)
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
	byName := m.Front.check(c, "mysql", dir, wireFacts{positions: m.Probe.Position != ""})
	if k := byName[m.Defaults.ReadClass]; k.Consistency != aspenshed.Eventual || k.RetrySafety != aspenshed.Safe {
		c.addFault("mysql.defaults.read_class", "%q is not a safe class with read: any", m.Defaults.ReadClass)
	}
	if k := byName[m.Defaults.WriteClass]; k.Consistency != aspenshed.Write {
		c.addFault("mysql.defaults.write_class", "%q is not a class with read: write", m.Defaults.WriteClass)
	}
}

// wireFacts is what the members of a front tell of themselves.
type wireFacts struct {
	positions     bool // they report positions, which prove how fresh they are
	responseRoles bool // their responses to statements tell their roles
}

// check validates the fields that all front ends share and builds the settings of the decision module. The slow-start
// values are the platform's.
func (s *Front) check(c *checker, section, dir string, wire wireFacts) map[string]aspenshed.Class {
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
		c.require(section+"."+f.name, f.ok)
	}
	s.Settings = aspenshed.Settings{Routers: 1, MinStepInterval: 1e6, MayProbe: true, MayCancel: true, MaxAttempts: s.Attempts, ResponsesHaveRole: wire.responseRoles,
		SendRetryAfter: s.RetryAdvice, MaxRetryAfter: 1e9, ConnectTimeout: aspenshed.Nanos(s.ConnectTimeout), IdleTimeout: aspenshed.Nanos(s.IdleTimeout),
		ResponseSlack: 20e6, DrainGrace: 2e9, InitialCapacity: 0.15, WarmUpTime: 16e9, OverloadFactor: 2.5, OverloadWindow: 1500e6, ProbeCost: 0.021}
	consistencies := map[string]aspenshed.Consistency{"any": aspenshed.Eventual, "bounded": aspenshed.BoundedStaleness, "fresh": aspenshed.Linearizable, "write": aspenshed.Write}
	retrySafeties := map[string]aspenshed.RetrySafety{"safe": aspenshed.Safe, "unsafe": aspenshed.Unsafe}
	byName := map[string]aspenshed.Class{}
	for i, x := range s.Classes {
		k := aspenshed.Class{Name: x.Name, Consistency: consistencies[x.Consistency], MaxStaleness: aspenshed.Nanos(x.MaxStaleness), LatencyTarget: aspenshed.Nanos(x.LatencyTarget), ClientTimeout: aspenshed.Nanos(x.ClientTimeout),
			Value: x.Value, LateValue: x.LateValue, RetrySafety: retrySafeties[x.RetrySafety]}
		prefix := fmt.Sprintf("%s.classes[%d].", section, i)
		if x.Name == "" || byName[x.Name].Name != "" {
			c.addFault(prefix+"name", "missing or a duplicate")
		}
		if k.Consistency == 0 {
			c.addFault(prefix+"read", "%q is not one of any, bounded, fresh, write", x.Consistency)
		}
		if k.RetrySafety == 0 || k.Consistency == aspenshed.Write && k.RetrySafety != aspenshed.Unsafe {
			c.addFault(prefix+"effect", "%q is not one of safe, unsafe, or a write is not unsafe", x.RetrySafety)
		}
		if k.LatencyTarget <= 0 || k.ClientTimeout < k.LatencyTarget {
			c.addFault(prefix+"give_up", "aim must be positive and at most give_up")
		}
		if k.Consistency == aspenshed.BoundedStaleness && k.MaxStaleness <= 0 {
			c.addFault(prefix+"bound", "missing")
		}
		if k.Consistency == aspenshed.BoundedStaleness && !wire.positions {
			k.Consistency = aspenshed.Linearizable // without positions only the primary is known to be fresh
		}
		byName[x.Name] = k
		s.Settings.Classes = append(s.Settings.Classes, k)
	}
	for _, t := range s.Tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, aspenshed.Tenant{Name: t})
	}
	return byName
}
