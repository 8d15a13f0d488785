package scale

import "time"

// The runner and its children exchange lines of JSON over the child's standard input and output: one Request, one
// Response. A child exits at the end of its input, so that none outlives its runner.

// Request is sent by the runner to a child: exactly one of the fields is set.
type Request struct {
	Configure *Configure `json:"configure,omitempty"`
	Start     *Start     `json:"start,omitempty"`
	Restart   *Restart   `json:"restart,omitempty"`
	Stop      *Stop      `json:"stop,omitempty"`
	Partition *Partition `json:"cut,omitempty"`
	Stall     *Stall     `json:"stall,omitempty"`
	Submit    *Submit    `json:"submit,omitempty"`
	Report    *Report    `json:"report,omitempty"`
	Load      *Load      `json:"load,omitempty"`
	Drain     *Drain     `json:"drain,omitempty"`
	Memory    *Memory    `json:"memory,omitempty"`
}

// Configure must be the first request of a fleet. It names the voters.
type Configure struct {
	Cluster string   `json:"cluster"`
	Servers []string `json:"servers"` // addresses of the control streams; the i-th is in ServerZone(i)
	Delays  bool     `json:"delays"`  // emulate the delays between zones, as given by Delay
	Seed    uint64   `json:"seed"`
}

// Start starts hollow gateways with numbers From to Until-1, spread over a period.
type Start struct {
	From   int           `json:"from"`
	Until  int           `json:"until"`
	Spread time.Duration `json:"spread_ns"`
}

// Restart stops the selected gateways and starts them without state, as new processes would be.
type Restart struct {
	Zone   *int          `json:"zone,omitempty"`  // all gateways of this zone
	Count  int           `json:"count,omitempty"` // else this many, selected at random; 0: all
	Spread time.Duration `json:"spread_ns"`
}

// Stop stops gateways From to Until-1 permanently.
type Stop struct {
	From  int `json:"from"`
	Until int `json:"until"`
}

// Partition cuts the gateways of a region off from all servers in other regions, or heals the partition.
type Partition struct {
	Region int  `json:"region"`
	Healed bool `json:"healed"`
}

// Stall opens connections that subscribe and never read. CheckClosed then reads them to find which the servers
// have closed.
type Stall struct {
	Count       int  `json:"count,omitempty"`
	CheckClosed bool `json:"settle,omitempty"`
}

// Submit has a gateway submit a batch (catalog.Batch, encoded), with retries until it is answered or the limit
// has passed.
type Submit struct {
	Gateway int           `json:"gateway"`
	Batch   []byte        `json:"batch"`
	Limit   time.Duration `json:"limit_ns"`
}

// Report requests the measurements since the last report that began a window.
type Report struct {
	NewWindow bool   `json:"new_window"` // begin a new window after this report
	Expected  uint64 `json:"expected"`   // revision that FleetState.Applied counts
}

// Load starts stand-in databases, and a bounded client load once gateways are given.
type Load struct {
	Databases int           `json:"databases,omitempty"`
	Gateways  []string      `json:"gateways,omitempty"` // addresses of fronts
	Clients   int           `json:"clients,omitempty"`  // of each gateway
	Pause     time.Duration `json:"pause_ns,omitempty"` // of a client between requests
}

// Drain notifies a stand-in database that it is draining.
type Drain struct {
	Database string `json:"database"`
}

// Memory sets the soft memory limit of a worker's Go runtime.
type Memory struct {
	Limit int64 `json:"limit_bytes"`
}

// Response is a child's response to a Request.
type Response struct {
	Error string      `json:"error,omitempty"`
	Fleet *FleetState `json:"fleet,omitempty"`
	Load  *LoadState  `json:"load,omitempty"`
}

// Submissions counts the batches that gateways submit.
type Submissions struct {
	Pending int      `json:"pending"`
	Done    int      `json:"done"`
	Failed  []string `json:"failed,omitempty"` // reasons
}

// FleetState is the state of the hollow gateways of one child.
type FleetState struct {
	Gateways            int            `json:"gateways"`
	Partitioned         int            `json:"cut"`          // gateways in a partitioned region
	Connected           int            `json:"connected"`    // gateways subscribed to a server
	Applied             int            `json:"in_force"`     // reachable gateways at the expected revision or later
	MinRevision         uint64         `json:"min_revision"` // lowest revision of the reachable gateways
	Digests             map[string]int `json:"digests"`      // gateways by state, as formatted by FormatDigest
	UndoneDrains        int            `json:"undone"`       // applied drains that a gateway lost without a newer start
	RevisionRegressions int            `json:"backward"`     // updates to an older revision

	// Since the beginning of the window.
	Window            time.Duration `json:"window_ns"`
	ApplyLatencies    []byte        `json:"in_force_times"` // HDR histogram, us, from commit to applied
	SnapshotLatencies []byte        `json:"snapshot_times"` // HDR histogram, us, from a start to the full state applied
	Bytes             int64         `json:"bytes"`          // at the sockets, both directions, all gateways
	Messages          int64         `json:"messages"`       // both directions, all gateways
	MaxGatewayBytes   int64         `json:"max_bytes"`      // of the gateway with the most
	Snapshots         int64         `json:"snapshots"`      // full states received
	Reconnects        int64         `json:"reconnects"`     // connections after a gateway's first

	Submissions   Submissions `json:"submissions"`
	Stalled       int         `json:"stalled"`        // connections that never read
	StalledClosed int         `json:"stalled_closed"` // of them, those that a server has closed
	Usage         Usage       `json:"usage"`
}

// LoadState is the state of the stand-in databases and their clients.
type LoadState struct {
	Databases  []Database `json:"databases"`
	Served     int64      `json:"served"`
	Refused    int64      `json:"refused"`
	Failed     int64      `json:"failed"`
	LateDrains int        `json:"late_drains"` // requests that a draining database received after the grace period
	Usage      Usage      `json:"usage"`
}

// Database is one stand-in database.
type Database struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Group   int32  `json:"group"`
}
