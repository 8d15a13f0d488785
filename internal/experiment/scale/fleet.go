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
	// histogramMaxMicros is the longest time that is recorded, in microseconds: longer than a partition lasts.
	histogramMaxMicros = 5 * 60 * 1000 * 1000
	histogramDigits    = 3
)

// ErrNotConfigured reports a request received before Configure.
var ErrNotConfigured = errors.New("scale: not configured")

// Fleet runs the hollow gateways of one process.
type Fleet struct {
	config  Configure
	net     *netio.Net
	network *EmulatedNetwork
	log     *logrus.Entry
	clock   eventloop.Clock
	rng     *rand.Rand

	gateways           map[int]*hollowGateway // by number; used only by the goroutine that handles requests
	stalledSubscribers []*stalledSubscriber
	stalledOpened      int // stalled subscribers opened
	stalledClosed      int // stalled subscribers that a server has closed

	mu              sync.Mutex // guards the fields below: gateways record from their own goroutines
	applyLatency    *hdrhistogram.Histogram
	snapshotLatency *hdrhistogram.Histogram
	windowStart     time.Time
	submissions     Submissions
}

// NewFleet creates a fleet without gateways.
func NewFleet(c Configure) (*Fleet, error) {
	n, err := netio.New(netio.Config{Name: "hollow", MaxDials: 2 * maxGatewaysPerProcess})
	if err != nil {
		return nil, err
	}
	servers := map[string]int{}
	for i, address := range c.Servers {
		servers[address] = ServerZone(i)
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	f := &Fleet{config: c, net: n, network: NewEmulatedNetwork(stream.NewNetwork(n), servers, c.Delays), log: logrus.NewEntry(discard),
		clock: eventloop.NewClock(), rng: rand.New(rand.NewPCG(c.Seed, 0)), gateways: map[int]*hollowGateway{}}
	f.newWindow()
	return f, nil
}

// Close stops all gateways and the network.
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
	_ = (*h).RecordValue(min(max(took.Microseconds(), 1), histogramMaxMicros)) // no error: clamped to the range
}

// allGateways returns the gateways ordered by number.
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

// forEachConcurrently calls do for all gateways concurrently and waits for all calls to return.
func forEachConcurrently(gateways []*hollowGateway, do func(*hollowGateway)) {
	var wg sync.WaitGroup
	for _, g := range gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(g)
		}()
	}
	wg.Wait()
}

// Start starts gateways, spread evenly over the requested period.
func (f *Fleet) Start(r Start) error {
	if r.From < 0 || r.Until-r.From+len(f.gateways) > maxGatewaysPerProcess {
		return fmt.Errorf("scale: %d gateways in one process exceed the limit of %d", r.Until-r.From+len(f.gateways), maxGatewaysPerProcess)
	}
	interval := spreadInterval(r.Spread, r.Until-r.From)
	for number := r.From; number < r.Until; number++ {
		if f.gateways[number] != nil {
			return fmt.Errorf("scale: gateway %d already exists", number)
		}
		g := &hollowGateway{fleet: f, number: number, zone: GatewayZone(number)}
		f.gateways[number] = g
		g.start()
		time.Sleep(interval)
	}
	return nil
}

func spreadInterval(spread time.Duration, count int) time.Duration {
	return spread / time.Duration(max(count, 1))
}

// Restart restarts the selected gateways, all at once if the request has no spread.
func (f *Fleet) Restart(r Restart) {
	selected := f.selectGateways(func(g *hollowGateway) bool { return r.Zone == nil || g.zone == *r.Zone })
	if r.Count > 0 && r.Count < len(selected) {
		f.rng.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
		selected = selected[:r.Count]
	}
	if r.Spread == 0 {
		forEachConcurrently(selected, restartGateway)
		return
	}
	interval := spreadInterval(r.Spread, len(selected))
	for _, g := range selected {
		restartGateway(g)
		time.Sleep(interval)
	}
}

func restartGateway(g *hollowGateway) {
	g.stop()
	g.start()
}

// Stop stops gateways permanently.
func (f *Fleet) Stop(r Stop) {
	forEachConcurrently(f.selectGateways(func(g *hollowGateway) bool { return g.number >= r.From && g.number < r.Until }), func(g *hollowGateway) { g.stop() })
	for number := r.From; number < r.Until; number++ {
		delete(f.gateways, number)
	}
}

// Partition cuts a region off from the others, or heals the partition.
func (f *Fleet) Partition(r Partition) {
	f.network.SetPartitioned(r.Region, !r.Healed)
	if !r.Healed {
		return
	}
	now := time.Now()
	for _, g := range f.gateways {
		if zones[g.zone].Region == r.Region {
			g.markReachable(now)
		}
	}
}

// Submit submits a batch through a gateway in the background, with retries until it is answered.
func (f *Fleet) Submit(r Submit) error {
	g := f.gateways[r.Gateway]
	batch := &pb.Batch{}
	if err := proto.Unmarshal(r.Batch, batch); err != nil || g == nil {
		return errors.Join(err, fmt.Errorf("scale: gateway %d does not exist or the batch is invalid", r.Gateway))
	}
	f.countSubmission(func(s *Submissions) { s.Pending++ })
	go func() {
		err := g.submit(batch, r.Limit)
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

// Report returns the state of the gateways and the measurements of the current window.
func (f *Fleet) Report(r Report) (*FleetState, error) {
	state := &FleetState{Gateways: len(f.gateways), Digests: map[string]int{}, Stalled: f.stalledOpened, StalledClosed: f.stalledClosed}
	for _, g := range f.gateways {
		f.addGateway(state, g, r.Expected)
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
	applyLatency, err1 := f.applyLatency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	snapshotLatency, err2 := f.snapshotLatency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	f.mu.Unlock()
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	state.ApplyLatencies, state.SnapshotLatencies = bytes.Clone(applyLatency), bytes.Clone(snapshotLatency)
	if r.NewWindow {
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
	if stats.AppliedRevision >= expected {
		state.Applied++
	}
	if state.MinRevision == 0 || stats.Revision < state.MinRevision {
		state.MinRevision = stats.Revision
	}
	state.Digests[FormatDigest(stats.Revision, uint64(stats.Digest))]++
}

// FormatDigest formats the revision of a state and the digest of all its records.
func FormatDigest(rev, digest uint64) string { return fmt.Sprintf("%d/%016x", rev, digest) }
