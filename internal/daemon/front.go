// Package daemon assembles the gateway of our own installations: front ends with a pipeline each, the store and its
// agents, and administration over a local socket.
package daemon

import (
	"errors"
	"fmt"
	"os"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/agent"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/publication"
	"aspenshed/internal/controlplane/roster"
	"aspenshed/internal/dataplane/accounting"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/pipeline"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/drain"
	"aspenshed/internal/frontend/mysql"
	"aspenshed/internal/frontend/postgres"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/inventory"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
)

const (
	loginTimeout       = aspenshed.Nanos(10e9) // as MySQL's connect_timeout: to log in and send the first command
	startupTimeout     = aspenshed.Nanos(2e9)  // the same for PostgreSQL's protocol, which requires no password here
	maxPendingRequests = 8192
)

// The wire protocols, as members name them in the catalog.
const (
	WireMySQL    = "mysql"
	WirePostgres = "postgres"
)

// Front is one front end: its listener, its pipeline, whose members come from an inventory or the store, and its agent
// of the store.
type Front struct {
	Wire     string
	Net      *netio.Net
	Manager  *session.Manager
	Pipeline *pipeline.Pipeline

	cfg     *config.Front
	log     *logrus.Entry
	budget  *membudget.Budget
	control *Control     // nil: no control plane
	agent   *agent.Agent // nil: no control plane
}

// NewMySQL starts the MySQL front end. Without a control plane its members come only from the inventory.
func NewMySQL(c *config.MySQL, loop *eventloop.Loop, seed uint64, control *Control, budget *membudget.Budget) (*Front, error) {
	var f mysql.Front
	x := &Front{Wire: WireMySQL, cfg: &c.Front, Manager: &f.Manager, control: control, budget: budget}
	backend := &mysql.Backend{Loop: loop, Budget: budget, User: c.Server.User, Password: c.ServerPassword, Database: c.Database,
		Probes: mysql.Probes{Role: c.Probe.Role, Position: c.Probe.Position}}
	f.Accounts, f.Database = c.AccountPasswords, c.Database
	f.Defaults = mysql.Defaults{ReadClass: c.Defaults.ReadClass, WriteClass: c.Defaults.WriteClass, Tenant: c.Defaults.Tenant,
		Group: c.Defaults.Group, TimeoutMs: c.Defaults.Timeout.Milliseconds()}
	err := x.start(loop, seed, loginTimeout, f.Accept, func(n *netio.Net) request.Backend { backend.Net = n; return backend })
	return x, err
}

// NewPostgres starts a front end that speaks the platform's protocol.
func NewPostgres(c *config.Postgres, loop *eventloop.Loop, seed uint64, control *Control, budget *membudget.Budget) (*Front, error) {
	var f postgres.Front
	x := &Front{Wire: WirePostgres, cfg: &c.Front, Manager: &f.Manager, control: control, budget: budget}
	backend := &postgres.Backend{Loop: loop, Budget: budget}
	err := x.start(loop, seed, startupTimeout, f.Accept, func(n *netio.Net) request.Backend { backend.Net = n; return backend })
	return x, err
}

func (f *Front) start(loop *eventloop.Loop, seed uint64, commandTimeout aspenshed.Nanos, accept func(*netio.Conn) netio.Handler,
	backend func(*netio.Net) request.Backend) (err error) {
	c := f.cfg
	f.log = logrus.WithField("front", f.Wire)
	own, err := f.readInventory()
	if err != nil && (f.control == nil || !errors.Is(err, os.ErrNotExist)) {
		return err
	}
	*f.Manager = session.Manager{Loop: loop, Settings: &c.Settings, Budget: f.budget, Limits: session.Limits{CommandTimeout: commandTimeout,
		IdleTimeout: aspenshed.Nanos(c.ClientIdleTimeout), ReclaimAbove: c.Clients * 3 / 4, ReclaimMinIdle: commandTimeout}}
	ready := make(chan struct{})
	f.Net, err = netio.New(netio.Config{Name: f.Wire, Listen: c.Listen, MaxClients: c.Clients, MaxDials: c.BackendConnections,
		ReservedDials: c.BackendConnections / 10, MaxQueued: f.budget.Limit(membudget.Unsent), Budget: f.budget,
		Accept: func(x *netio.Conn) netio.Handler {
			<-ready
			return accept(x)
		}})
	if err != nil {
		return err
	}
	f.Pipeline = pipeline.New(pipeline.Config{Loop: loop, Log: f.log, Settings: c.Settings, Seed: seed, MaxPending: maxPendingRequests,
		Backend: backend(f.Net), Watch: func() {}})
	f.Manager.Submit, f.Manager.Cancel, f.Manager.CountRejected =
		f.Pipeline.Accept.Accept, f.Pipeline.Abandon, f.Pipeline.Accounting.CountRejected
	f.Manager.OnClose, f.Manager.CountShed = f.Pipeline.Accounting.CountClientClose, f.Pipeline.Accounting.CountShed
	f.Pipeline.Accounting.ReadPressure = f.readPressure
	list := aspenshed.MemberList{Complete: true}
	if f.control == nil {
		list = inventory.MemberList(own)
	}
	if err := f.Pipeline.Start(list); err != nil {
		f.Net.Stop()
		return err
	}
	if f.control != nil {
		f.startAgent(loop, own)
	}
	close(ready)
	f.log.WithFields(logrus.Fields{"listen": f.Net.Addr(), "members": len(own)}).Info("ready")
	return nil
}

// startAgent starts the agent that connects the pipeline to the control plane.
func (f *Front) startAgent(loop *eventloop.Loop, own []inventory.Member) {
	c := agent.Config{Store: f.control.Store, Loop: loop, Log: f.log, Pipeline: f.Pipeline, Wire: f.Wire,
		Classes: f.cfg.Settings.Classes, LeaseDuration: aspenshed.Nanos(f.control.Lease), KeepLearnedLocal: f.control.Subscriber}
	if f.control.Applied != nil {
		c.OnApplied = func(rev uint64) { f.control.Applied(f.Wire, rev) }
	}
	f.agent = agent.Start(c, f.rosterMembers(own))
	if len(own) > 0 && !f.control.Subscriber {
		f.agent.PublishInventory(nil, publication.List{Wire: f.Wire, Entries: catalogEntries(f.Wire, own), Initial: true})
	}
}

// readPressure returns what clients have taken of memory and time since its last call.
func (f *Front) readPressure() accounting.Pressure {
	return accounting.Pressure{Memory: f.budget.TakeUsage(), Loop: f.Pipeline.Loop.TakeStats(), Net: f.Net.TakeStats()}
}

func (f *Front) readInventory() ([]inventory.Member, error) {
	if f.cfg.Inventory == "" {
		return nil, nil
	}
	return inventory.Read(f.cfg.Inventory)
}

// rosterMembers converts an inventory for the agent.
func (f *Front) rosterMembers(ms []inventory.Member) (out []roster.Entry) {
	for i, m := range inventory.MemberList(ms).Members {
		out = append(out, roster.Entry{Member: m, Site: ms[i].Site})
	}
	return out
}

func catalogEntries(wire string, ms []inventory.Member) (out []*pb.Entry) {
	for _, m := range ms {
		if m.State == "terminated" {
			continue
		}
		out = append(out, &pb.Entry{Id: m.ID, Address: m.Address, Site: m.Site, Group: int32(m.Group), Kind: m.Kind, State: m.State, Wire: wire})
	}
	return out
}

// Reload rereads the inventory, on the loop. An invalid file changes nothing.
func (f *Front) Reload() {
	members, err := f.readInventory()
	if err != nil {
		f.log.WithError(err).Error("inventory rejected; keeping the running one")
		return
	}
	if f.agent == nil {
		f.Pipeline.UpdateMembers(inventory.MemberList(members))
		f.log.WithField("members", len(members)).Info("inventory in use")
		return
	}
	if f.control.Subscriber { // only voters publish inventories
		f.agent.SetLocalMembers(f.rosterMembers(members))
		return
	}
	f.agent.PublishInventory(f.rosterMembers(members), publication.List{Wire: f.Wire, Entries: catalogEntries(f.Wire, members)})
}

// NotifyStarted reports a member's start to this front end alone, as its own list would. Experiments use it for an
// instance that is partitioned from the store.
func (f *Front) NotifyStarted(id string, start time.Time) {
	f.agent.ObserveStart(id, aspenshed.Nanos(start.UnixNano()))
}

// Served returns what is drained at the end of the program.
func (f *Front) Served() drain.Served {
	return drain.Served{Net: f.Net, Sessions: f.Manager, Pipeline: f.Pipeline}
}

// Stop stops the agent and logs the final counts.
func (f *Front) Stop() {
	if f.agent != nil {
		f.agent.Stop()
	}
	f.Pipeline.Accounting.LogCounts(f.Pipeline.Response.Pending())
}

// String returns the wire protocol and address of the front end.
func (f *Front) String() string { return fmt.Sprintf("%s on %s", f.Wire, f.Net.Addr()) }
