package daemon

import (
	"fmt"
	"time"

	"aspenshed"

	"go.yaml.in/yaml/v3"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/agent"
	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscriber"
	"aspenshed/internal/controlplane/subscription"
)

// Control connects a front end to the control plane.
type Control struct {
	Store agent.Store
	Lease time.Duration // duration of a lease on the capacity of warming members; 0: no leases
	// Subscriber is set where the instance has no vote: it publishes no inventory and no learned rates.
	Subscriber bool
	// Applied is called on the loop with each revision that the pipeline of a wire protocol has applied; nil: not
	// called.
	Applied func(wire string, rev uint64)
}

// openControl opens the store or the subscription to one.
func (d *Daemon) openControl() error {
	if d.cfg.Deploy.Store.IsSubscriber() {
		return d.openSubscriber()
	}
	return d.openStore()
}

func (d *Daemon) openStore() (err error) {
	sc := d.cfg.Deploy.Store.Config
	sc.Release, sc.Log, sc.Clock, sc.OnChange = d.cfg.Release, d.log, d.cfg.Clock, d.wakeAgents
	sc.OnCorruption = func(err error) {
		select {
		case d.storeCorrupted <- err:
		default:
		}
	}
	if d.cfg.StoreHook != nil {
		d.cfg.StoreHook(&sc)
	}
	if listen := d.cfg.Deploy.Store.Subscribers; listen != "" {
		if d.Server, err = d.newServer(listen, sc.Cluster); err != nil {
			return fmt.Errorf("field store.subscribers: %w", err)
		}
		sc.Publisher, sc.RolloutStatus = d.Server, d.Server.Rollout
	}
	d.Store, err = store.Open(sc)
	close(d.storeOpened)
	if err != nil {
		return err
	}
	d.control = &Control{Store: d.Store, Lease: leaseDuration(sc)}
	return nil
}

// leaseDuration returns the duration of a lease on the capacity of warming members; 0 for a single instance, which has
// no others to share with.
func leaseDuration(sc store.Config) time.Duration {
	switch {
	case sc.Address == "" || sc.NoLeases:
		return 0
	case sc.LeaseDuration == 0:
		return defaultLease
	}
	return sc.LeaseDuration
}

// newServer starts the server of the control stream. The store is opened after it, as it publishes to the server.
func (d *Daemon) newServer(listen, cluster string) (*stream.Server, error) {
	return stream.NewServer(stream.ServerConfig{Listen: listen, Cluster: cluster, Log: d.log, Clock: d.cfg.Clock,
		Machine: subscription.ServerConfig{Seed: d.cfg.Seed},
		Forward: func(b *pb.Batch) *pb.Reply {
			if <-d.storeOpened; d.Store == nil {
				return &pb.Reply{Refused: "the store did not open", Retry: true}
			}
			return d.Store.ForwardBatch(b)
		},
		Records: func() (rev uint64, records []revision.Record) {
			if <-d.storeOpened; d.Store == nil {
				return 0, nil
			}
			d.Store.Read(func(c *catalog.Catalog) { rev, records = c.Index(), c.Records() })
			return rev, records
		}})
}

func (d *Daemon) openSubscriber() (err error) {
	section := &d.cfg.Deploy.Store
	d.Subscriber, err = subscriber.Open(subscriber.Config{Cluster: section.Cluster, ID: section.ID, Region: section.Region,
		Zone: section.Zone, Release: d.cfg.Release, Scope: section.Scope.RevisionScope(), Servers: section.Subscribe,
		Seed: d.cfg.Seed, Pipelines: enabledWires(d.cfg.Deploy), CheckConfig: validateAgreed, OnChange: d.wakeAgents,
		Log: d.log, Clock: d.cfg.Clock, Network: d.cfg.Network})
	if err != nil {
		return err
	}
	d.control = &Control{Store: d.Subscriber, Subscriber: true, Applied: d.Subscriber.PipelineApplied}
	return nil
}

// enabledWires returns the wire protocols of the enabled front ends.
func enabledWires(c *config.Deploy) (wires []string) {
	if c.MySQL.Listen != "" {
		wires = append(wires, WireMySQL)
	}
	if c.Postgres.Listen != "" {
		wires = append(wires, WirePostgres)
	}
	return wires
}

// validateAgreed validates a configuration that the voters have agreed on.
func validateAgreed(v *pb.ConfigVersion) error {
	var parts map[string]*agreedSettings
	return yaml.Unmarshal([]byte(v.Text), &parts)
}

// applyRules sets how a Router limits warming members by the agreed rules: by its leases and the safe share, or by the
// safe share alone where it gets no leases.
func (c *Control) applyRules(s *aspenshed.Settings, rules *pb.Rules) {
	s.ListHasRoles = true
	if c.Lease == 0 && !c.Subscriber {
		return
	}
	s.UnleasedShare, s.WarmUpTime, s.MaxWarmUpTime = catalog.SafeShare(rules), aspenshed.Nanos(rules.ColdFor), aspenshed.Nanos(rules.ColdLongest)
}
