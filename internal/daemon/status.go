package daemon

import (
	"fmt"

	"aspenshed/internal/controlplane/catalog"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/controlplane/stream"
)

// Status is the state of an instance in the control plane. A subscriber has no term, no commit index and no instances.
type Status struct {
	store.Status
	Server *stream.ServerStats `json:"server,omitempty"` // of a voter that serves subscribers
	Client *stream.ClientStats `json:"client,omitempty"` // of a subscriber
}

// The modes of a subscriber, in addition to those of a store.
const (
	modeSubscribed   = "subscribed"
	modeDisconnected = "cut_off"
)

// Status returns the instance's state in the control plane.
func (d *Daemon) Status() Status {
	if d.Subscriber != nil {
		return d.subscriberStatus()
	}
	out := Status{Status: d.Store.Status()}
	if d.Server != nil {
		stats := d.Server.Stats()
		out.Server = &stats
	}
	return out
}

func (d *Daemon) subscriberStatus() Status {
	stats := d.Subscriber.Stats()
	out := Status{Client: &stats}
	out.Cluster, out.ID, out.Queued = d.cfg.Deploy.Store.Cluster, d.Subscriber.ID(), d.Subscriber.Waiting()
	out.Leader, out.Commit, out.Digest = stats.Server, stats.Revision, fmt.Sprintf("%016x", uint64(stats.Digest))
	if out.Mode = modeDisconnected; stats.Subscribed {
		out.Mode = modeSubscribed
	}
	d.Subscriber.Read(func(c *catalog.Catalog) {
		out.Applied, out.Config, out.Inventory, out.Counts = c.Index(), c.Config().GetVersion(), c.InventoryVersion(), c.Counts()
	})
	return out
}
