package scale

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

const (
	// maxGatewaysPerProcess bounds the gateways of one process: each holds a socket and a copy of the state.
	maxGatewaysPerProcess = 600
	// histogramMaxMicros is the longest time that is told apart, us: a region's cut and more.
	histogramMaxMicros = 5 * 60 * 1000 * 1000
	histogramDigits    = 3
)

// ErrNotConfigured says that an order came before its configuration.
var ErrNotConfigured = errors.New("scale: not configured")

// Fleet is the hollow gateways of one process.
type Fleet struct {
	config  Configure
	net     *netio.Net
	network *EmulatedNetwork
	log     *logrus.Entry
	clock   eventloop.Clock
	rng     *rand.Rand

	gateways           map[int]*hollowGateway // only the goroutine that takes orders looks at it
	stalledSubscribers []*stalledSubscriber
	stalledOpened      int // slow subscribers that were opened
	stalledClosed      int // of them, those that a server has closed

	mu              sync.Mutex // guards the rest: gateways record from goroutines of their own
	applyLatency    *hdrhistogram.Histogram
	snapshotLatency *hdrhistogram.Histogram
	windowStart     time.Time
	submissions     Submissions
}

// NewFleet has no gateways yet.
func NewFleet(c Configure) (*Fleet, error) {
	n, err := netio.New(netio.Config{Name: "hollow", MaxDials: 2 * maxGatewaysPerProcess})
	if err != nil {
		return nil, err
	}
	servers := map[string]int{}
	for i, address := range c.Servers {
		servers[address] = ServerZone(i)
	}
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	f := &Fleet{config: c, net: n, network: NewEmulatedNetwork(stream.NewNetwork(n), servers, c.Delays), log: logrus.NewEntry(silent),
		clock: eventloop.NewClock(), rng: rand.New(rand.NewPCG(c.Seed, 0)), gateways: map[int]*hollowGateway{}}
	f.newWindow()
	return f, nil
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, s := range f.stalledSubscribers {
		s.close()
	}
	forEachConcurrently(f.allGateways(), func(g *hollowGateway) { g.stop() })
	f.net.Stop()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

func (f *Fleet) newWindow() {
	f.mu.Lock()
	f.applyLatency, f.snapshotLatency, f.windowStart = newHistogram(), newHistogram(), time.Now()
	f.mu.Unlock()
	for _, g := range f.gateways {
		g.mu.Lock()
		g.windowStartTraffic = g.traffic()
		g.mu.Unlock()
	}
}

func (f *Fleet) recordApplyLatency(took time.Duration) { f.record(&f.applyLatency, took) }

func (f *Fleet) recordSnapshotLatency(took time.Duration) { f.record(&f.snapshotLatency, took) }

func (f *Fleet) record(h **hdrhistogram.Histogram, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = (*h).RecordValue(min(max(took.Microseconds(), 1), histogramMaxMicros)) // it lies within the bounds
}

// allGateways are the gateways in order of their numbers.
func (f *Fleet) allGateways() []*hollowGateway {
	return f.selectGateways(func(*hollowGateway) bool { return true })
}

func (f *Fleet) selectGateways(want func(*hollowGateway) bool) (out []*hollowGateway) {
	last := -1
	for number := range f.gateways {
		last = max(last, number)
	}
	for number := range last + 1 {
		if g := f.gateways[number]; g != nil && want(g) {
			out = append(out, g)
		}
	}
	return out
}

// forEachConcurrently does something with all gateways side by side.
func forEachConcurrently(gateways []*hollowGateway, do func(*hollowGateway)) {
	var wait sync.WaitGroup
	for _, g := range gateways {
		wait.Add(1)
		go func() {
			defer wait.Done()
			do(g)
		}()
	}
	wait.Wait()
}

// Start starts gateways.
func (f *Fleet) Start(o Start) error {
	if o.From < 0 || o.Until-o.From+len(f.gateways) > maxGatewaysPerProcess {
		return fmt.Errorf("scale: %d gateways in one process, %d at most", o.Until-o.From+len(f.gateways), maxGatewaysPerProcess)
	}
	gap := spreadInterval(o.Spread, o.Until-o.From)
	for number := o.From; number < o.Until; number++ {
		if f.gateways[number] != nil {
			return fmt.Errorf("scale: gateway %d is there already", number)
		}
		g := &hollowGateway{fleet: f, number: number, zone: GatewayZone(number)}
		f.gateways[number] = g
		g.start()
		time.Sleep(gap)
	}
	return nil
}

func spreadInterval(spread time.Duration, count int) time.Duration {
	return spread / time.Duration(max(count, 1))
}

// Restart restarts gateways, all at once where the order has no spread.
func (f *Fleet) Restart(o Restart) {
	chosen := f.selectGateways(func(g *hollowGateway) bool { return o.Zone == nil || g.zone == *o.Zone })
	if o.Count > 0 && o.Count < len(chosen) {
		f.rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:o.Count]
	}
	if o.Spread == 0 {
		forEachConcurrently(chosen, restartGateway)
		return
	}
	gap := spreadInterval(o.Spread, len(chosen))
	for _, g := range chosen {
		restartGateway(g)
		time.Sleep(gap)
	}
}

func restartGateway(g *hollowGateway) {
	g.stop()
	g.start()
}

// Stop ends gateways for good.
func (f *Fleet) Stop(o Stop) {
	forEachConcurrently(f.selectGateways(func(g *hollowGateway) bool { return g.number >= o.From && g.number < o.Until }), func(g *hollowGateway) { g.stop() })
	for number := o.From; number < o.Until; number++ {
		delete(f.gateways, number)
	}
}

// Partition cuts a region off, or heals that.
func (f *Fleet) Partition(o Partition) {
	f.network.SetPartitioned(o.Region, !o.Healed)
	if !o.Healed {
		return
	}
	now := time.Now()
	for _, g := range f.gateways {
		if zones[g.zone].Region == o.Region {
			g.markReachable(now)
		}
	}
}

// Submit begins to hand a batch up through a gateway, until it is answered.
func (f *Fleet) Submit(o Submit) error {
	g := f.gateways[o.Gateway]
	batch := &pb.Batch{}
	if err := proto.Unmarshal(o.Batch, batch); err != nil || g == nil {
		return errors.Join(err, fmt.Errorf("scale: no gateway %d, or no batch", o.Gateway))
	}
	f.countSubmission(func(s *Submissions) { s.Pending++ })
	go func() {
		err := g.submit(batch, o.Limit)
		f.countSubmission(func(s *Submissions) {
			s.Pending--
			if err != nil {
				s.Failed = append(s.Failed, err.Error())
				return
			}
			s.Done++
		})
	}()
	return nil
}

func (f *Fleet) countSubmission(change func(*Submissions)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.submissions)
}

// Report tells how the gateways stand.
func (f *Fleet) Report(o Report) (*FleetState, error) {
	state := &FleetState{Gateways: len(f.gateways), Digests: map[string]int{}, Stalled: f.stalledOpened, StalledClosed: f.stalledClosed}
	for _, g := range f.gateways {
		f.addGateway(state, g, o.Expected)
	}
	usage, err := ReadUsage(os.Getpid())
	if err != nil {
		return nil, err
	}
	state.Usage = usage
	f.mu.Lock()
	state.Window = time.Since(f.windowStart)
	state.Submissions = f.submissions
	state.Submissions.Failed = slices.Clone(f.submissions.Failed)
	inForce, err1 := f.applyLatency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	snapshots, err2 := f.snapshotLatency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	f.mu.Unlock()
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	state.ApplyLatencies, state.SnapshotLatencies = bytes.Clone(inForce), bytes.Clone(snapshots)
	if o.NewWindow {
		f.newWindow()
	}
	return state, nil
}

func (f *Fleet) addGateway(state *FleetState, g *hollowGateway, expected uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := g.traffic().minus(g.windowStartTraffic)
	state.Bytes += used.bytes
	state.Messages += used.messages
	state.Snapshots += used.snapshots
	state.Reconnects += used.reconnects
	state.MaxGatewayBytes = max(state.MaxGatewayBytes, used.bytes)
	state.UndoneDrains += g.undoneDrains
	state.RevisionRegressions += g.revisionRegressions
	if f.network.IsPartitioned(zones[g.zone].Region) {
		state.Partitioned++
		return
	}
	if g.client == nil {
		return
	}
	stats := g.client.Stats()
	if stats.Subscribed {
		state.Connected++
	}
	if stats.InForce >= expected {
		state.Applied++
	}
	if state.MinRevision == 0 || stats.Revision < state.MinRevision {
		state.MinRevision = stats.Revision
	}
	state.Digests[FormatDigest(stats.Revision, uint64(stats.Digest))]++
}

// FormatDigest names a state: its revision and the digest of all its records.
func FormatDigest(rev, digest uint64) string { return fmt.Sprintf("%d/%016x", rev, digest) }
