package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// Rates of the target, and what fails at once there.
const (
	OrdinaryRate   = 0.73 // changes a second: 63,000 a day
	BurstChanges   = 1105 // databases of a zone
	RestartsPerDay = 5000 // machines that are restarted or replaced
)

// eventTimes say how long each event is watched.
type eventTimes struct {
	steady      time.Duration
	leaderGone  time.Duration // until the killed leader is started again
	rackGone    time.Duration
	cut         time.Duration
	restarts    time.Duration // that a part of a day's restarts is compressed to
	converge    time.Duration // after a restart of everything
	compressed  int           // restarts within it
	stalledSubs int
	burst       int
}

// events are what is done to a running installation, in order. Subscribers that never read are there
// until the rack is lost.
func (x *installation) events(t eventTimes) []windowPlan {
	return []windowPlan{
		{name: "slow-subscribers", lasts: t.steady, rate: OrdinaryRate, disturb: x.stallAndDrain(t.stalledSubs)},
		{name: "burst", lasts: t.steady, rate: OrdinaryRate, disturb: x.burst(t.burst)},
		{name: "region-cut", lasts: t.cut, rate: OrdinaryRate, disturb: x.cutRegion(cutRegion, t.cut)},
		{name: "region-healed", lasts: t.steady, rate: OrdinaryRate, disturb: x.healRegion(cutRegion), check: x.checkSubmissions},
		{name: "zone-restarted", lasts: t.steady, rate: OrdinaryRate, disturb: x.restartZone(restartedZone), check: x.checkSnapshots(InForceBound)},
		{name: "leader-killed", lasts: t.steady + t.leaderGone, rate: OrdinaryRate, disturb: x.killLeader(t.leaderGone)},
		{name: "rack-lost", lasts: t.steady + t.rackGone, rate: OrdinaryRate, disturb: x.loseRack(t.rackGone), check: x.checkStalled},
		{name: "restarts", lasts: t.restarts, rate: OrdinaryRate, disturb: x.restartSome(t.compressed, t.restarts)},
		{name: "everything-restarted", lasts: t.steady, rate: OrdinaryRate, disturb: x.restartAll, converge: t.converge, check: x.checkSnapshots(t.converge)},
	}
}

// restartedZone is one whose gateways are restarted all at once.
const restartedZone = 3

// cutRegion holds no voter while there are five voters at most.
const cutRegion = 6

// burst changes many members in one rollout.
func (x *installation) burst(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		var changes []change
		x.mu.Lock()
		for i := range min(count, x.changes.count) {
			changes = append(changes, x.changes.rewrite(i))
		}
		x.mu.Unlock()
		return x.submitTogether(ctx, changes)
	}
}

// submitTogether has many changes agreed on in as few batches as the store takes.
func (x *installation) submitTogether(ctx context.Context, changes []change) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	commands := commandsOf(changes)
	if err := x.submitter.Submit(ctx, commands...); err != nil {
		return err
	}
	for _, c := range changes {
		c.agreed()
	}
	return nil
}

// killLeader kills the voter that leads, and starts it again later.
func (x *installation) killLeader(gone time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		leader := leaderOf(x.voters)
		if leader == nil {
			return errors.New("scale: no voter leads")
		}
		x.options.Progress("killing the leader %s", leader.ID)
		if err := leader.Instance.Kill(); err != nil {
			return err
		}
		if err := pause(ctx, gone); err != nil {
			return err
		}
		x.options.Progress("starting %s again", leader.ID)
		return leader.Start()
	}
}

// loseRack kills the last worker with all of its gateways; others take their places later.
func (x *installation) loseRack(gone time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		last := len(x.workers) - 1
		lost := x.workers[last]
		x.workers = x.workers[:last]
		x.options.Kill(lost)
		if err := pause(ctx, gone); err != nil {
			return err
		}
		return x.replaceWorker(ctx, last)
	}
}

// stall opens subscribers that never read.
func (x *installation) stall(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.workers[0].Do(ctx, Order{Stall: &Stall{Count: count}})
		return err
	}
}

// stallAndDrain does so, and drains a database that real gateways use.
func (x *installation) stallAndDrain(count int) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := x.stall(count)(ctx); err != nil {
			return err
		}
		return x.drainDatabase(ctx)
	}
}

// drainDatabase drains a stand-in, which counts requests that come later than the grace. The grace begins when subscribers
// hear of the drain.
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
	if _, err := x.settle(ctx); err != nil {
		return err
	}
	_, err = x.load.Do(ctx, Order{Drain: &Drain{Database: replica}})
	return err
}

// checkStalled looks whether the servers have closed the subscribers that never read.
func (x *installation) checkStalled(ctx context.Context, r *windowResult) {
	_, err := x.workers[0].Do(ctx, Order{Stall: &Stall{Settle: true}})
	total, err2 := x.report(ctx, Report{})
	detail := fmt.Sprintf("of %d", total.Stalled)
	if err := errors.Join(err, err2); err != nil {
		detail = err.Error()
	}
	open := total.Stalled - total.StalledClosed
	if total.Stalled == 0 {
		open = 1 // nothing was tried
	}
	r.checks = append(r.checks, atMost("rack-lost: subscribers that never read and were not closed until then", float64(open), 0, "1", detail))
}

// restartZone restarts all gateways of a zone at once.
func (x *installation) restartZone(zone int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.tellAll(ctx, Order{Restart: &Restart{Zone: &zone}})
		return err
	}
}

// cutRegion cuts a region off, and drains and names a primary on either side: inside, a gateway hands them up once it can.
func (x *installation) cutRegion(region int, lasts time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		if _, err := x.tellAll(ctx, Order{Cut: &Cut{Region: region}}); err != nil {
			return err
		}
		if err := x.submitInside(ctx, region, lasts); err != nil {
			return err
		}
		x.mu.Lock()
		outside := []change{x.changes.drain(MemberID(outsideDrain)), x.changes.primary(outsideDrain/membersOfGroup+1, MemberID(outsideDrain+membersOfGroup+1), time.Now().UnixNano())}
		x.mu.Unlock()
		return x.submit(ctx, outside...)
	}
}

// Members that are drained on either side of a cut. The groups behind theirs get another primary.
const (
	outsideDrain = 0
	insideDrain  = 2 * membersOfGroup
	submitBeyond = 60 * time.Second // after the cut, for the batch from inside to be answered
)

// submitInside has a gateway of the region hand a drain and a primary up, which succeeds once the cut is healed.
func (x *installation) submitInside(ctx context.Context, region int, cut time.Duration) error {
	number := firstGatewayOf(region)
	x.mu.Lock()
	inside := []change{x.changes.drain(MemberID(insideDrain)), x.changes.primary(insideDrain/membersOfGroup+1, MemberID(insideDrain+membersOfGroup+1), time.Now().UnixNano())}
	x.mu.Unlock()
	s := NewSubmitter(clusterName, GatewayID(number)+"/inside", nil)
	batch, err := proto.Marshal(s.number(commandsOf(inside)))
	if err != nil {
		return err
	}
	x.insideAgreed = inside
	order := Submit{Gateway: number, Batch: batch, Limit: cut + submitBeyond}
	_, err = x.workers[number/x.options.PerWorker].Do(ctx, Order{Submit: &order})
	return err
}

// firstGatewayOf is the lowest number of a gateway in a region.
func firstGatewayOf(region int) int {
	for number := 0; ; number++ {
		if zones[ZoneOf(number)].Region == region {
			return number
		}
	}
}

// healRegion heals a cut.
func (x *installation) healRegion(region int) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := x.tellAll(ctx, Order{Cut: &Cut{Region: region, Healed: true}})
		return err
	}
}

// checkSubmissions looks whether what was handed up inside the region has been agreed on since.
func (x *installation) checkSubmissions(ctx context.Context, r *windowResult) {
	s := r.total.Submissions
	for _, c := range x.insideAgreed {
		if s.Done > 0 {
			c.agreed()
		}
	}
	open := s.Pending + len(s.Failed)
	if s.Done == 0 {
		open = max(open, 1)
	}
	r.checks = append(r.checks, atMost("region-healed: batches of the region that were not agreed on", float64(open), 0, "1", fmt.Sprint(s.Failed)))
}

// checkSnapshots holds a bound on the time from a gateway's start to its having the whole state in force.
func (x *installation) checkSnapshots(bound time.Duration) func(context.Context, *windowResult) {
	return func(_ context.Context, r *windowResult) {
		q := quantilesOf(r.total.snapshots)
		r.checks = append(r.checks, atMost(r.event.Name+": slowest from a start to the whole state in force", q.Max, bound.Seconds(), "s",
			fmt.Sprintf("%d snapshots, p50 %.2f s, p99 %.2f s", q.Count, q.P50, q.P99)))
	}
}

// restartSome restarts single gateways, spread over some time.
func (x *installation) restartSome(count int, over time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		each := (count + len(x.workers) - 1) / len(x.workers)
		_, err := x.tellAll(ctx, Order{Restart: &Restart{Count: each, Spread: over}})
		return err
	}
}

func (x *installation) restartAll(ctx context.Context) error {
	_, err := x.tellAll(ctx, Order{Restart: &Restart{}})
	return err
}
