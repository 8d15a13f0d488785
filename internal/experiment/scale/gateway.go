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

// hollowGateway runs a gateway's control side and nothing else. What it is told is in force at once.
type hollowGateway struct {
	fleet  *Fleet
	number int
	zone   int

	mu                  sync.Mutex
	client              *stream.Client
	boot                int
	startedAt           time.Time
	reachableSince      time.Time // since when it could have heard: its start, or the end of a cut
	snapshotApplied     bool      // it has had the whole state in force since its start
	revision            uint64
	drainedStarts       map[string]int64 // drains in force, by key, with the start of the member that they hold for
	undoneDrains        int
	revisionRegressions int
	previousTraffic     traffic // of earlier boots
	windowStartTraffic  traffic // when the window began
}

// traffic is what went over the sockets of a gateway's control stream.
type traffic struct{ bytes, messages, snapshots, reconnects int64 }

func (t traffic) plus(o traffic) traffic {
	return traffic{t.bytes + o.bytes, t.messages + o.messages, t.snapshots + o.snapshots, t.reconnects + o.reconnects}
}

func (t traffic) minus(o traffic) traffic {
	return traffic{t.bytes - o.bytes, t.messages - o.messages, t.snapshots - o.snapshots, t.reconnects - o.reconnects}
}

// start runs it with no state, as a new process would.
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

// GatewayID names hollow gateway number i.
func GatewayID(i int) string { return fmt.Sprintf("hollow-%04d", i) }

// stop ends it and keeps count of its traffic.
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

// traffic is all of it since the gateway's first start. The caller holds mu.
func (g *hollowGateway) traffic() traffic {
	if g.client == nil {
		return g.previousTraffic
	}
	return g.previousTraffic.plus(trafficOf(g.client.Stats()))
}

// markReachable notes that it can hear again.
func (g *hollowGateway) markReachable(now time.Time) {
	g.mu.Lock()
	g.reachableSince = now
	g.mu.Unlock()
}

// onUpdate takes what the control side has received, on the client's goroutine.
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
	g.client.InForce(u.Revision, nil)
}

// applySnapshot looks whether a new state holds every drain that was in force.
func (g *hollowGateway) applySnapshot(u stream.Update, now time.Time) {
	if !g.snapshotApplied {
		g.snapshotApplied = true
		g.fleet.recordSnapshotLatency(now.Sub(g.startedAt))
	}
	for key, start := range g.drainedStarts {
		record, there := u.State.Get(key)
		if !there || !drainHolds(record.Value, start) {
			g.undoneDrains++
			delete(g.drainedStarts, key)
		}
	}
}

// applyChange counts how long a change took, and watches the drains.
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

// drainOf tells whether a member's record is draining, and for which start.
func drainOf(value []byte) (start int64, drained bool) {
	m := &pb.Member{}
	if proto.Unmarshal(value, m) != nil {
		return 0, false
	}
	return m.Start, m.DrainedAt != 0
}

// drainHolds reports whether the drain of a start still holds, or a newer start has ended it.
func drainHolds(value []byte, start int64) bool {
	now, drained := drainOf(value)
	return drained || now > start
}

const (
	submitRetryDelay     = 500 * time.Millisecond // between two attempts to hand a batch up
	submitAttemptTimeout = 2 * time.Second
)

// submit hands a batch up until it is answered. It carries its own origin and numbers: what was carried out is not again.
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

// retryError says that nothing was done, and that asking again is harmless.
type retryError struct{ reason string }

func (e retryError) Error() string { return "scale: to be asked again: " + e.reason }

// firstRefusal is the first command of a batch that was not carried out.
func firstRefusal(results []*pb.Result) error {
	for _, r := range results {
		if r.Refused != "" {
			return refusedError{r.Refused}
		}
	}
	return nil
}
