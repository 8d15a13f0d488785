package scale

import "time"

// The runner and its children talk in lines of JSON over the child's standard input and output: one Order, one Answer. A
// child ends when its input does, so that none outlives its runner.

// Request is what the runner wants of a child: exactly one of the bodies is set.
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

// Configure comes first: where the voters are.
type Configure struct {
	Cluster string   `json:"cluster"`
	Servers []string `json:"servers"` // addresses of the control streams; the i-th stands in ServerZone(i)
	Delays  bool     `json:"delays"`  // between zones, as Delay tells
	Seed    uint64   `json:"seed"`
}

// Start starts hollow gateways with numbers From to Until-1, spread over some time.
type Start struct {
	From   int           `json:"from"`
	Until  int           `json:"until"`
	Spread time.Duration `json:"spread_ns"`
}

// Restart ends the chosen gateways and starts them with no state, as new processes would be.
type Restart struct {
	Zone   *int          `json:"zone,omitempty"`  // all of this zone
	Count  int           `json:"count,omitempty"` // else so many, at random; 0: all
	Spread time.Duration `json:"spread_ns"`
}

// Stop ends gateways From to Until-1 for good.
type Stop struct {
	From  int `json:"from"`
	Until int `json:"until"`
}

// Partition cuts the gateways of a region off from all servers that stand elsewhere, or heals that.
type Partition struct {
	Region int  `json:"region"`
	Healed bool `json:"healed"`
}

// Stall opens connections that subscribe and never read; Settle then reads them to see which the servers have closed.
type Stall struct {
	Count       int  `json:"count,omitempty"`
	CheckClosed bool `json:"settle,omitempty"`
}

// Submit has a gateway hand a batch (catalog.Batch, encoded) up, again and again until it is answered or the limit is over.
type Submit struct {
	Gateway int           `json:"gateway"`
	Batch   []byte        `json:"batch"`
	Limit   time.Duration `json:"limit_ns"`
}

// Report asks for what has come about since the last report that began a window.
type Report struct {
	NewWindow bool   `json:"new_window"` // count anew from here on
	Expected  uint64 `json:"expected"`   // revision whose being in force is counted
}

// Load starts stand-in databases, and a bounded client load once gateways are named.
type Load struct {
	Databases int           `json:"databases,omitempty"`
	Gateways  []string      `json:"gateways,omitempty"` // addresses of fronts
	Clients   int           `json:"clients,omitempty"`  // of each gateway
	Pause     time.Duration `json:"pause_ns,omitempty"` // of a client between two requests
}

// Drain has a stand-in database note from when on nothing new may come.
type Drain struct {
	Database string `json:"database"`
}

// Memory sets the Go runtime's soft limit in a worker.
type Memory struct {
	Limit int64 `json:"limit_bytes"`
}

// Response is what a child answers to an Order.
type Response struct {
	Error string      `json:"error,omitempty"`
	Fleet *FleetState `json:"fleet,omitempty"`
	Load  *LoadState  `json:"load,omitempty"`
}

// Submissions counts the batches that were to be handed up.
type Submissions struct {
	Pending int      `json:"pending"`
	Done    int      `json:"done"`
	Failed  []string `json:"failed,omitempty"` // why
}

// FleetState is how the hollow gateways of one child stand.
type FleetState struct {
	Gateways            int            `json:"gateways"`
	Partitioned         int            `json:"cut"`          // of them, those in a region that is cut off
	Connected           int            `json:"connected"`    // of them, those that a server serves
	Applied             int            `json:"in_force"`     // of those that are not cut off: the expected revision is in force
	MinRevision         uint64         `json:"min_revision"` // of those that are not cut off
	Digests             map[string]int `json:"digests"`      // gateways by revision and digest, as FormatDigest tells
	UndoneDrains        int            `json:"undone"`       // drains that a gateway had in force and has lost without a newer start
	RevisionRegressions int            `json:"backward"`     // updates that led to an older revision

	// Since the window's begin.
	Window            time.Duration `json:"window_ns"`
	ApplyLatencies    []byte        `json:"in_force_times"` // HDR histogram, us, from commit to in force
	SnapshotLatencies []byte        `json:"snapshot_times"` // HDR histogram, us, from a start to the whole state in force
	Bytes             int64         `json:"bytes"`          // at the sockets, both directions, all gateways
	Messages          int64         `json:"messages"`       // both directions, all gateways
	MaxGatewayBytes   int64         `json:"max_bytes"`      // of the gateway with most
	Snapshots         int64         `json:"snapshots"`      // that were taken whole
	Reconnects        int64         `json:"reconnects"`     // connections after a gateway's first

	Submissions   Submissions `json:"submissions"`
	Stalled       int         `json:"stalled"`        // connections that never read
	StalledClosed int         `json:"stalled_closed"` // of them, those that the server has closed
	Usage         Usage       `json:"usage"`
}

// LoadState is how the stand-in databases and their clients stand.
type LoadState struct {
	Databases  []Database `json:"databases"`
	Served     int64      `json:"served"`
	Refused    int64      `json:"refused"`
	Failed     int64      `json:"failed"`
	LateDrains int        `json:"late_drains"` // requests that a draining database got later than the grace
	Usage      Usage      `json:"usage"`
}

// Database is one stand-in.
type Database struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Group   int32  `json:"group"`
}
