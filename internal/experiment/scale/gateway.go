package scale

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/netio"
)

// hollowGateway runs only a gateway's control side. It counts what it receives as applied at once.
type hollowGateway struct {
	fleet  *Fleet
	number int
	zone   int

	mu                  sync.Mutex
	client              *stream.Client
	boot                int
	startedAt           time.Time
	reachableSince      time.Time // its start, or the end of a partition
	snapshotApplied     bool      // the full state has been applied since the start
	revision            uint64
	drainedStarts       map[string]int64 // applied drains by record key, with the member's start that each holds for
	undoneDrains        int
	revisionRegressions int
	previousTraffic     traffic // total of earlier boots
	windowStartTraffic  traffic // total when the window began
}

// traffic counts what was transferred over a gateway's control stream.
type traffic struct{ bytes, messages, snapshots, reconnects int64 }

func (t traffic) plus(o traffic) traffic {
	return traffic{t.bytes + o.bytes, t.messages + o.messages, t.snapshots + o.snapshots, t.reconnects + o.reconnects}
}

func (t traffic) minus(o traffic) traffic {
	return traffic{t.bytes - o.bytes, t.messages - o.messages, t.snapshots - o.snapshots, t.reconnects - o.reconnects}
}

// start starts the gateway without state, as a new process would.
func (g *hollowGateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.boot++
	g.startedAt, g.reachableSince, g.snapshotApplied, g.revision = now, now, false, 0
	g.drainedStarts = map[string]int64{}
	zone := zones[g.zone]
	c := g.fleet.config
	g.client = stream.NewClient(stream.ClientConfig{
		Machine: subscription.ClientConfig{Cluster: c.Cluster, Subscriber: GatewayID(g.number), Boot: fmt.Sprint(g.boot),
			Region: RegionName(zone.Region), Zone: zone.Name, Release: "scale", Servers: c.Servers,
			Seed: c.Seed + uint64(g.number)<<16 + uint64(g.boot)},
		Network: g.fleet.network.ForZone(g.zone), Log: g.fleet.log, Clock: g.fleet.clock, OnUpdate: g.onUpdate,
	})
}

// GatewayID returns the ID of hollow gateway number i.
func GatewayID(i int) string { return fmt.Sprintf("hollow-%04d", i) }

// stop stops the gateway and keeps its traffic counts.
func (g *hollowGateway) stop() {
	g.mu.Lock()
	client := g.client
	g.client = nil
	g.mu.Unlock()
	if client == nil {
		return
	}
	client.Stop()
	g.mu.Lock()
	g.previousTraffic = g.previousTraffic.plus(trafficOf(client.Stats()))
	g.mu.Unlock()
}

func trafficOf(s stream.ClientStats) traffic {
	return traffic{bytes: int64(s.BytesIn + s.BytesOut), messages: int64(s.MessagesIn + s.MessagesOut), snapshots: int64(s.Snapshots),
		reconnects: max(int64(s.Connects)-1, 0)}
}

// traffic returns the total since the gateway's first start. The caller holds mu.
func (g *hollowGateway) traffic() traffic {
	if g.client == nil {
		return g.previousTraffic
	}
	return g.previousTraffic.plus(trafficOf(g.client.Stats()))
}

// markReachable records the end of a partition.
func (g *hollowGateway) markReachable(now time.Time) {
	g.mu.Lock()
	g.reachableSince = now
	g.mu.Unlock()
}

// onUpdate applies an update. It runs on the client's goroutine.
func (g *hollowGateway) onUpdate(u stream.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client == nil {
		return
	}
	now := time.Now()
	if u.Revision < g.revision && !u.Full {
		g.revisionRegressions++
	}
	g.revision = u.Revision
	if u.Full {
		g.applySnapshot(u, now)
	}
	for _, c := range u.Changes {
		g.applyChange(c, now)
	}
	g.client.ReportApplied(u.Revision, nil)
}

// applySnapshot checks that a full state still holds every drain that was applied.
func (g *hollowGateway) applySnapshot(u stream.Update, now time.Time) {
	if !g.snapshotApplied {
		g.snapshotApplied = true
		g.fleet.recordSnapshotLatency(now.Sub(g.startedAt))
	}
	for key, start := range g.drainedStarts {
		record, ok := u.State.Get(key)
		if !ok || !drainHolds(record.Value, start) {
			g.undoneDrains++
			delete(g.drainedStarts, key)
		}
	}
}

// applyChange records how long a change took to be applied, and checks that drains hold.
func (g *hollowGateway) applyChange(c revision.Change, now time.Time) {
	if c.CommittedAt > 0 {
		since := time.Unix(0, c.CommittedAt)
		if since.Before(g.reachableSince) {
			since = g.reachableSince
		}
		g.fleet.recordApplyLatency(now.Sub(since))
	}
	start, wasDrained := g.drainedStarts[c.Key]
	if !revision.IsMember(c.Key) || !c.Binding && !wasDrained {
		return
	}
	if c.Removed {
		delete(g.drainedStarts, c.Key)
		return
	}
	if wasDrained && !drainHolds(c.Value, start) {
		g.undoneDrains++
		delete(g.drainedStarts, c.Key)
	}
	if drainedStart, drained := drainOf(c.Value); drained {
		g.drainedStarts[c.Key] = drainedStart
	}
}

// drainOf returns the start in a member's record, and whether the member is drained.
func drainOf(value []byte) (start int64, drained bool) {
	m := &pb.Member{}
	if proto.Unmarshal(value, m) != nil {
		return 0, false
	}
	return m.Start, m.DrainedAt != 0
}

// drainHolds reports whether the drain of a start still holds or was ended by a newer start.
func drainHolds(value []byte, start int64) bool {
	now, drained := drainOf(value)
	return drained || now > start
}

const (
	submitRetryDelay     = 500 * time.Millisecond // between two attempts to submit a batch
	submitAttemptTimeout = 2 * time.Second
)

// submit submits a batch until it is answered. Its commands carry their own origin and sequence numbers, so that
// a retry does not carry them out twice.
func (g *hollowGateway) submit(batch *pb.Batch, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(submitRetryDelay) {
		err := g.submitOnce(batch)
		var refused refusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if time.Now().After(end) {
			return errors.Join(err, &TimeoutError{"an answer to a batch", limit})
		}
	}
}

func (g *hollowGateway) submitOnce(batch *pb.Batch) error {
	g.mu.Lock()
	client := g.client
	g.mu.Unlock()
	if client == nil {
		return netio.ErrClosed
	}
	reply, err := client.Submit(batch, submitAttemptTimeout)
	switch {
	case err != nil:
		return err
	case reply.Refused != "" && reply.Retry:
		return retryError{reply.Refused}
	case reply.Refused != "":
		return refusedError{reply.Refused}
	}
	return firstRefusal(reply.Results)
}

// retryError reports a batch that was not processed and can be retried safely.
type retryError struct{ reason string }

func (e retryError) Error() string { return "scale: refused, can be retried: " + e.reason }

// firstRefusal returns the first refusal among the results of a batch.
func firstRefusal(results []*pb.Result) error {
	for _, r := range results {
		if r.Refused != "" {
			return refusedError{r.Refused}
		}
	}
	return nil
}
