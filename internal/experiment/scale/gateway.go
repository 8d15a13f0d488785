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

	mu        sync.Mutex
	client    *stream.Client
	boot      int
	startedAt time.Time
	reachable time.Time // since when it could have heard: its start, or the end of a cut
	whole     bool      // it has had the whole state in force since its start
	revision  uint64
	drained   map[string]int64 // drains in force, by key, with the start of the member that they hold for
	undone    int
	backward  int
	ended     traffic // of earlier boots
	mark      traffic // when the window began
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
	g.startedAt, g.reachable, g.whole, g.revision = now, now, false, 0
	g.drained = map[string]int64{}
	zone := zones[g.zone]
	c := g.fleet.config
	g.client = stream.NewClient(stream.ClientConfig{
		Machine: subscription.ClientConfig{Cluster: c.Cluster, Subscriber: GatewayID(g.number), Boot: fmt.Sprint(g.boot),
			Region: RegionName(zone.Region), Zone: zone.Name, Release: "scale", Servers: c.Servers,
			Seed: c.Seed + uint64(g.number)<<16 + uint64(g.boot)},
		Network: g.fleet.links.From(g.zone), Log: g.fleet.log, Clock: g.fleet.clock, OnUpdate: g.applied,
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
	g.ended = g.ended.plus(trafficOf(client.Stats()))
	g.mu.Unlock()
}

func trafficOf(s stream.ClientStats) traffic {
	return traffic{bytes: int64(s.BytesIn + s.BytesOut), messages: int64(s.MessagesIn + s.MessagesOut), snapshots: int64(s.Snapshots),
		reconnects: max(int64(s.Connects)-1, 0)}
}

// traffic is all of it since the gateway's first start. The caller holds mu.
func (g *hollowGateway) traffic() traffic {
	if g.client == nil {
		return g.ended
	}
	return g.ended.plus(trafficOf(g.client.Stats()))
}

// heal notes that it can hear again.
func (g *hollowGateway) heal(now time.Time) {
	g.mu.Lock()
	g.reachable = now
	g.mu.Unlock()
}

// applied takes what the control side has received, on the client's goroutine.
func (g *hollowGateway) applied(u stream.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client == nil {
		return
	}
	now := time.Now()
	if u.Revision < g.revision && !u.Full {
		g.backward++
	}
	g.revision = u.Revision
	if u.Full {
		g.tookWhole(u, now)
	}
	for _, c := range u.Changes {
		g.tookChange(c, now)
	}
	g.client.InForce(u.Revision, nil)
}

// tookWhole looks whether a new state holds every drain that was in force.
func (g *hollowGateway) tookWhole(u stream.Update, now time.Time) {
	if !g.whole {
		g.whole = true
		g.fleet.recordSnapshot(now.Sub(g.startedAt))
	}
	for key, start := range g.drained {
		record, there := u.State.Get(key)
		if !there || !isDrained(record.Value, start) {
			g.undone++
			delete(g.drained, key)
		}
	}
}

// tookChange counts how long a change took, and watches the drains.
func (g *hollowGateway) tookChange(c revision.Change, now time.Time) {
	if c.CommittedAt > 0 {
		since := time.Unix(0, c.CommittedAt)
		if since.Before(g.reachable) {
			since = g.reachable
		}
		g.fleet.recordInForce(now.Sub(since))
	}
	start, wasDrained := g.drained[c.Key]
	if !revision.IsMember(c.Key) || !c.Binding && !wasDrained {
		return
	}
	if c.Removed {
		delete(g.drained, c.Key)
		return
	}
	if wasDrained && !isDrained(c.Value, start) {
		g.undone++
		delete(g.drained, c.Key)
	}
	if drainedStart, drained := drainOf(c.Value); drained {
		g.drained[c.Key] = drainedStart
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

// isDrained reports whether the drain of a start still holds, or a newer start has ended it.
func isDrained(value []byte, start int64) bool {
	now, drained := drainOf(value)
	return drained || now > start
}

const (
	submitRetry   = 500 * time.Millisecond // between two attempts to hand a batch up
	submitAttempt = 2 * time.Second
)

// submit hands a batch up until it is answered. It carries its own origin and numbers: what was carried out is not again.
func (g *hollowGateway) submit(batch *pb.Batch, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(submitRetry) {
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
	reply, err := client.Submit(batch, submitAttempt)
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
