package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// Change rates and simultaneous failures of the target installation.
const (
	TypicalChangeRate = 0.73 // changes per second: 63,000 per day
	BurstChanges      = 1105 // databases of one zone
	RestartsPerDay    = 5000 // machines restarted or replaced
)

// eventSettings holds the durations and sizes of the events.
type eventSettings struct {
	steady             time.Duration
	leaderDowntime     time.Duration // until the killed leader is restarted
	rackDowntime       time.Duration
	partition          time.Duration
	restartPeriod      time.Duration // period into which part of a day's restarts is compressed
	convergeTimeout    time.Duration // allowed after all gateways restart
	restartCount       int           // restarts within restartPeriod
	stalledSubscribers int
	burstSize          int
}

// events lists the events applied to a running installation, in order. Subscribers that never read stay open
// until rack-lost checks that the servers have closed them.
func (x *installation) events(t eventSettings) []windowPlan {
	return []windowPlan{
		{name: "slow-subscribers", duration: t.steady, rate: TypicalChangeRate, action: x.stallAndDrain(t.stalledSubscribers)},
		{name: "burst", duration: t.steady, rate: TypicalChangeRate, action: x.burst(t.burstSize)},
		{name: "region-cut", duration: t.partition, rate: TypicalChangeRate, action: x.partitionRegion(partitionedRegion, t.partition)},
		{name: "region-healed", duration: t.steady, rate: TypicalChangeRate, action: x.healRegion(partitionedRegion), check: x.checkSubmissions},
		{name: "zone-restarted", duration: t.steady, rate: TypicalChangeRate, action: x.restartZone(restartedZone), check: x.checkSnapshots(MaxApplyDelay)},
		{name: "leader-killed", duration: t.steady + t.leaderDowntime, rate: TypicalChangeRate, action: x.killLeader(t.leaderDowntime)},
		{name: "rack-lost", duration: t.steady + t.rackDowntime, rate: TypicalChangeRate, action: x.loseRack(t.rackDowntime), check: x.checkStalled},
		{name: "restarts", duration: t.restartPeriod, rate: TypicalChangeRate, action: x.restartSome(t.restartCount, t.restartPeriod)},
		{name: "everything-restarted", duration: t.steady, rate: TypicalChangeRate, action: x.restartAll, convergeTimeout: t.convergeTimeout, check: x.checkSnapshots(t.convergeTimeout)},
	}
}

// restartedZone is the zone whose gateways all restart at once.
const restartedZone = 3

// partitionedRegion holds no voter as long as there are at most five voters.
const partitionedRegion = 6

// burst changes many members in one rollout.
func (x *installation) burst(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		var changes []change
		x.mu.Lock()
		for i := range min(count, x.changes.memberCount) {
			changes = append(changes, x.changes.changeAddress(i))
		}
		x.mu.Unlock()
		return x.submitBatched(ctx, changes)
	}
}

// submitBatched submits changes in as few batches as the store accepts.
func (x *installation) submitBatched(ctx context.Context, changes []change) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	commands := commandsOf(changes)
	if err := x.submitter.Submit(ctx, commands...); err != nil {
		return err
	}
	for _, c := range changes {
		c.onCommitted()
	}
	return nil
}

// killLeader kills the leading voter and restarts it after the downtime.
func (x *installation) killLeader(downtime time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		leader := leaderOf(x.voters)
		if leader == nil {
			return errors.New("scale: no voter is the leader")
		}
		x.options.Progress("killing the leader %s", leader.ID)
		if err := leader.Instance.Kill(); err != nil {
			return err
		}
		if err := sleepContext(ctx, downtime); err != nil {
			return err
		}
		x.options.Progress("restarting %s", leader.ID)
		return leader.Start()
	}
}

// loseRack kills the last worker with all of its gateways, and starts replacements after the downtime.
func (x *installation) loseRack(downtime time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		last := len(x.workers) - 1
		lost := x.workers[last]
		x.workers = x.workers[:last]
		x.options.KillWorker(lost)
		if err := sleepContext(ctx, downtime); err != nil {
			return err
		}
		return x.replaceWorker(ctx, last)
	}
}

// openStalledSubscribers opens subscribers that never read.
func (x *installation) openStalledSubscribers(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.workers[0].Do(ctx, Request{Stall: &Stall{Count: count}})
		return err
	}
}

// stallAndDrain opens subscribers that never read, and drains a database that real gateways use.
func (x *installation) stallAndDrain(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := x.openStalledSubscribers(count)(ctx); err != nil {
			return err
		}
		return x.drainDatabase(ctx)
	}
}

// drainDatabase drains a stand-in database, which counts requests that arrive after the grace period. The grace
// period begins when subscribers are notified of the drain.
func (x *installation) drainDatabase(ctx context.Context) error {
	databases, err := x.databases(ctx)
	if err != nil || len(databases) == 0 {
		return err
	}
	replica := databases[1].ID // the first of each group is its primary
	x.mu.Lock()
	drain := x.changes.drain(replica)
	x.mu.Unlock()
	if err := x.submit(ctx, drain); err != nil {
		return err
	}
	if _, err := x.commitMarker(ctx); err != nil {
		return err
	}
	_, err = x.load.Do(ctx, Request{Drain: &Drain{Database: replica}})
	return err
}

// checkStalled checks that the servers have closed the subscribers that never read.
func (x *installation) checkStalled(ctx context.Context, r *windowResult) {
	_, err := x.workers[0].Do(ctx, Request{Stall: &Stall{CheckClosed: true}})
	total, err2 := x.report(ctx, Report{})
	detail := fmt.Sprintf("of %d", total.Stalled)
	if err := errors.Join(err, err2); err != nil {
		detail = err.Error()
	}
	open := total.Stalled - total.StalledClosed
	if total.Stalled == 0 {
		open = 1 // no stalled subscriber was opened: the check must fail
	}
	r.checks = append(r.checks, atMost("rack-lost: subscribers that never read and were not closed until then", float64(open), 0, "1", detail))
}

// restartZone restarts all gateways of a zone at once.
func (x *installation) restartZone(zone int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.broadcast(ctx, Request{Restart: &Restart{Zone: &zone}})
		return err
	}
}

// partitionRegion cuts a region off from the others, and submits a drain and a new primary on each side. The
// batch submitted inside the region is committed only after the partition heals.
func (x *installation) partitionRegion(region int, duration time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		if _, err := x.broadcast(ctx, Request{Partition: &Partition{Region: region}}); err != nil {
			return err
		}
		if err := x.submitInside(ctx, region, duration); err != nil {
			return err
		}
		x.mu.Lock()
		outside := []change{x.changes.drain(MemberID(outsideDrain)), x.changes.primary(outsideDrain/membersPerGroup+1, MemberID(outsideDrain+membersPerGroup+1), time.Now().UnixNano())}
		x.mu.Unlock()
		return x.submit(ctx, outside...)
	}
}

// Members drained on each side of a partition. The group after each member's group gets a new primary.
const (
	outsideDrain                = 0
	insideDrain                 = 2 * membersPerGroup
	submitTimeoutAfterPartition = 60 * time.Second // after the partition, for the batch from inside it
)

// submitInside has a gateway of the region submit a drain and a new primary, which succeeds once the partition is
// healed.
func (x *installation) submitInside(ctx context.Context, region int, partition time.Duration) error {
	number := firstGatewayOf(region)
	x.mu.Lock()
	inside := []change{x.changes.drain(MemberID(insideDrain)), x.changes.primary(insideDrain/membersPerGroup+1, MemberID(insideDrain+membersPerGroup+1), time.Now().UnixNano())}
	x.mu.Unlock()
	s := NewSubmitter(clusterName, GatewayID(number)+"/inside", nil)
	batch, err := proto.Marshal(s.assignSequence(commandsOf(inside)))
	if err != nil {
		return err
	}
	x.partitionChanges = inside
	submit := Submit{Gateway: number, Batch: batch, Limit: partition + submitTimeoutAfterPartition}
	_, err = x.workers[number/x.options.PerWorker].Do(ctx, Request{Submit: &submit})
	return err
}

// firstGatewayOf returns the lowest gateway number in a region.
func firstGatewayOf(region int) int {
	for number := 0; ; number++ {
		if zones[GatewayZone(number)].Region == region {
			return number
		}
	}
}

// healRegion ends the partition of a region.
func (x *installation) healRegion(region int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.broadcast(ctx, Request{Partition: &Partition{Region: region, Healed: true}})
		x.healedAt = time.Now()
		return err
	}
}

// checkSubmissions checks that the batch submitted inside the partition has been committed within MaxApplyDelay of
// the partition's end.
func (x *installation) checkSubmissions(ctx context.Context, r *windowResult) {
	s, err := x.waitForSubmissions(ctx, time.Until(x.healedAt.Add(MaxApplyDelay)))
	for _, c := range x.partitionChanges {
		if s.Done > 0 {
			c.onCommitted()
		}
	}
	open := s.Pending + len(s.Failed)
	if s.Done == 0 || err != nil {
		open = max(open, 1)
	}
	r.checks = append(r.checks, atMost("region-healed: batches of the region that were not agreed on", float64(open), 0, "1", fmt.Sprint(s.Failed, err)))
}

// waitForSubmissions waits until the hollow gateways' submissions are answered, at most for limit. It reads their
// state at least once.
func (x *installation) waitForSubmissions(ctx context.Context, limit time.Duration) (Submissions, error) {
	var total fleetTotal
	var failure error
	err := waitUntilOrTimeout(ctx, "the answer to a batch", limit, func() bool {
		total, failure = x.report(ctx, Report{})
		return failure != nil || total.Submissions.Pending == 0
	})
	return total.Submissions, errors.Join(err, failure)
}

// checkSnapshots bounds the time from a gateway's start until it has applied the full state.
func (x *installation) checkSnapshots(bound time.Duration) func(context.Context, *windowResult) {
	return func(_ context.Context, r *windowResult) {
		q := quantilesOf(r.total.snapshotLatency)
		r.checks = append(r.checks, atMost(r.event.Name+": slowest from a start to the whole state in force", q.Max, bound.Seconds(), "s",
			fmt.Sprintf("%d snapshots, p50 %.2f s, p99 %.2f s", q.Count, q.P50, q.P99)))
	}
}

// restartSome restarts randomly selected gateways, spread over a period.
func (x *installation) restartSome(count int, period time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		each := (count + len(x.workers) - 1) / len(x.workers)
		_, err := x.broadcast(ctx, Request{Restart: &Restart{Count: each, Spread: period}})
		return err
	}
}

func (x *installation) restartAll(ctx context.Context) error {
	_, err := x.broadcast(ctx, Request{Restart: &Restart{}})
	return err
}
