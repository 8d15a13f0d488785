package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/experiment/measure"
)

// BaselineOptions configures the measurement of the design in which every instance votes.
type BaselineOptions struct {
	Instances      []int         // instance counts, measured one after the other in one process
	IdleDuration   time.Duration // measured time without commands, for each instance count
	SettleDuration time.Duration // wait before measuring, which excludes startup work (configuration, snapshots)
	Writes         int           // number of writes at a follower whose latency is measured
	Members        []int         // inventory sizes at which one member is changed
	Groups         []int         // group counts in one instance's learned state
	ShortTimeouts  bool          // short election timeouts, for tests
	Progress       func(format string, a ...any)
}

// DefaultBaseline returns the options of the committed baseline run.
func DefaultBaseline() BaselineOptions {
	return BaselineOptions{Instances: []int{3, 9, 27, 54}, IdleDuration: 20 * time.Second, SettleDuration: 5 * time.Second, Writes: 200,
		Members: []int{2100, 10500, 20000}, Groups: []int{35, 350, 3500}, Progress: func(string, ...any) {}}
}

const (
	leaderTimeout = 4 * time.Minute // for all instances to follow one leader
	submitTimeout = 30 * time.Second
)

// Baseline measures the design in which every instance is a Raft voter and an inventory is replicated whole.
func Baseline(ctx context.Context, o BaselineOptions) (run measure.Run, err error) {
	run = measure.Run{Experiment: "scale-baseline", Commit: commitName(), Started: time.Now(), Machine: machineDescription()}
	idle, failures := idleSeries(ctx, o)
	changed, err := changedMemberSeries(ctx, o)
	if err != nil {
		return run, err
	}
	run.Series = append(append(idle, changed), learnedStateSeries(o.Groups)...)
	run.Seconds = time.Since(run.Started).Seconds()
	run.Notes = append(failures,
		"All instances run in one process over loopback TCP, each with a log of its own on one disk; cores and memory are of all of them together.",
		"Heartbeats of the catalog go through the replicated log: idle instances write.",
	)
	return run, nil
}

// countingLogStore counts the entries and bytes that one instance appends to its log.
type countingLogStore struct {
	raft.LogStore
	entries, bytes *atomic.Int64
}

// StoreLog counts one entry and appends it.
func (m countingLogStore) StoreLog(l *raft.Log) error { return m.StoreLogs([]*raft.Log{l}) }

// StoreLogs counts entries and appends them.
func (m countingLogStore) StoreLogs(logs []*raft.Log) error {
	for _, l := range logs {
		m.entries.Add(1)
		m.bytes.Add(int64(len(l.Data)))
	}
	return m.LogStore.StoreLogs(logs)
}

// votingInstances are store instances in this process, all of them voters.
type votingInstances struct {
	stores         []*store.Store
	entries, bytes atomic.Int64 // appended to the first instance's log
}

func startVoting(dir string, n int, quick bool) (v *votingInstances, err error) {
	v = &votingInstances{}
	addresses, err := freeAddresses(2 * n)
	if err != nil {
		return v, err
	}
	var peers []store.Peer
	for i := range n {
		peers = append(peers, store.Peer{ID: fmt.Sprint("i", i), Address: addresses[2*i], Service: addresses[2*i+1]})
	}
	for i, p := range peers {
		c := store.Config{Cluster: "baseline", ID: p.ID, Address: p.Address, Service: p.Service, Peers: peers, DataDir: filepath.Join(dir, p.ID), ShortTimeouts: quick}
		if i == 0 {
			c.WrapLogStore = func(next raft.LogStore) raft.LogStore { return countingLogStore{next, &v.entries, &v.bytes} }
		}
		s, err := store.Open(c)
		if err != nil {
			return v, err
		}
		v.stores = append(v.stores, s)
	}
	return v, nil
}

func (v *votingInstances) stop() (err error) {
	for _, s := range v.stores {
		err = errors.Join(err, s.Close())
	}
	return err
}

// waitForLeader waits until one instance leads and all others follow it, and returns the leader's index.
func (v *votingInstances) waitForLeader(ctx context.Context) (lead int, err error) {
	err = waitUntil(ctx, "a leader followed by all instances", leaderTimeout, func() bool {
		leads, follows := 0, 0
		for i, s := range v.stores {
			switch s.Mode() {
			case mode.Leading:
				lead = i
				leads++
			case mode.Following:
				follows++
			}
		}
		return leads == 1 && follows == len(v.stores)-1
	})
	return lead, err
}

// follower returns an instance that is not the leader.
func (v *votingInstances) follower(ctx context.Context) (*store.Store, error) {
	lead, err := v.waitForLeader(ctx)
	if err != nil {
		return nil, err
	}
	return v.stores[(lead+1)%len(v.stores)], nil
}

// idlePoint holds the measurements for one instance count.
type idlePoint struct {
	instances                        int
	entries, logBytes, cores, heap   float64
	writeMedian, writeP99, diskBytes float64
}

// idleSeries measures each instance count. A count that fails is reported in failures and left out of the series.
func idleSeries(ctx context.Context, o BaselineOptions) (all []measure.Series, failures []string) {
	var points []idlePoint
	for _, n := range o.Instances {
		p, err := measureIdle(ctx, n, o)
		if err != nil {
			failures = append(failures, fmt.Sprintf("not measured: %d instances: %v", n, err))
			o.Progress("%s", failures[len(failures)-1])
			continue
		}
		o.Progress("%d instances: %.1f log entries/s, %.3f cores, write at a follower %.1f ms", n, p.entries, p.cores, p.writeMedian*1e3)
		points = append(points, p)
	}
	series := func(name, y, unit string, value func(idlePoint) float64) measure.Series {
		var at []measure.Point
		for _, p := range points {
			at = append(at, measure.Point{X: float64(p.instances), Y: value(p)})
		}
		return newSeries(measure.Series{Name: name, Role: RoleVoter, X: "instances, all of them voters", XUnit: "1", Y: y, YUnit: unit,
			Conditions: "no members, no commands, all instances in one process"}, at)
	}
	return []measure.Series{
		series("voter.log-entries-by-instances", "log entries a second, idle", "1/s", func(p idlePoint) float64 { return p.entries }),
		series("voter.log-bytes-by-instances", "bytes of log entries a second, idle", "B/s", func(p idlePoint) float64 { return p.logBytes }),
		series("voter.cpu-by-instances", "processor time of all instances together, idle", "core", func(p idlePoint) float64 { return p.cores }),
		series("voter.disk-bytes-by-instances", "bytes to disk of all instances together, idle", "B/s", func(p idlePoint) float64 { return p.diskBytes }),
		series("voter.memory-by-instances", "heap in use of all instances together", "B", func(p idlePoint) float64 { return p.heap }),
		series("voter.write-latency-by-instances", "write at a follower, median", "s", func(p idlePoint) float64 { return p.writeMedian }),
		series("voter.write-latency-p99-by-instances", "write at a follower, 99th percentile", "s", func(p idlePoint) float64 { return p.writeP99 }),
	}, failures
}

func measureIdle(ctx context.Context, n int, o BaselineOptions) (p idlePoint, err error) {
	dir, err := os.MkdirTemp("", "scale-baseline-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	heapBefore := heapInUse()
	v, err := startVoting(dir, n, o.ShortTimeouts)
	defer func() { err = errors.Join(err, v.stop()) }()
	if err != nil {
		return p, err
	}
	if _, err := v.waitForLeader(ctx); err != nil {
		return p, err
	}
	if err := sleepContext(ctx, o.SettleDuration); err != nil {
		return p, err
	}
	before, err := ReadUsage(os.Getpid())
	if err != nil {
		return p, err
	}
	entries, bytes := v.entries.Load(), v.bytes.Load()
	if err := sleepContext(ctx, o.IdleDuration); err != nil {
		return p, err
	}
	after, err := ReadUsage(os.Getpid())
	if err != nil {
		return p, err
	}
	used := after.Since(before)
	seconds := used.Elapsed.Seconds()
	p = idlePoint{instances: n, cores: used.Cores, diskBytes: used.ToDisk, heap: heapInUse() - heapBefore,
		entries: float64(v.entries.Load()-entries) / seconds, logBytes: float64(v.bytes.Load()-bytes) / seconds}
	p.writeMedian, p.writeP99, err = v.writeLatency(ctx, o.Writes)
	return p, err
}

// writeLatency returns the median and 99th percentile latency of writes at a follower, in seconds.
func (v *votingInstances) writeLatency(ctx context.Context, writes int) (median, p99 float64, err error) {
	s, err := v.follower(ctx)
	if err != nil {
		return 0, 0, err
	}
	h := hdrhistogram.New(1, submitTimeout.Microseconds(), 3)
	for i := range writes {
		begin := time.Now()
		set := &pb.Set{Key: fmt.Sprint("key-", i%100), Value: []byte("a value of some length, as an operator writes")}
		if err := submitCommand(s, &pb.Command{Body: &pb.Command_Set{Set: set}}); err != nil {
			return 0, 0, err
		}
		if err := h.RecordValue(time.Since(begin).Microseconds()); err != nil {
			return 0, 0, err
		}
	}
	const microsecond = 1e-6
	return float64(h.ValueAtQuantile(50)) * microsecond, float64(h.ValueAtQuantile(99)) * microsecond, nil
}

// refusedError reports a command that the catalog refused.
type refusedError struct{ reason string }

func (e refusedError) Error() string { return "scale: command refused: " + e.reason }

func submitCommand(s *store.Store, c *pb.Command) error {
	result, err := s.Submit(c, submitTimeout)
	if err != nil {
		return err
	}
	if result.Refused != "" {
		return refusedError{result.Refused}
	}
	return nil
}

// changedMemberSeries measures how much the log grows when one member of an inventory changes.
func changedMemberSeries(ctx context.Context, o BaselineOptions) (s measure.Series, err error) {
	dir, err := os.MkdirTemp("", "scale-baseline-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	v, err := startVoting(dir, 3, o.ShortTimeouts)
	defer func() { err = errors.Join(err, v.stop()) }()
	if err != nil {
		return s, err
	}
	var points []measure.Point
	for _, n := range o.Members {
		grown, err := v.changeOneMember(ctx, n)
		if err != nil {
			return s, fmt.Errorf("%d members: %w", n, err)
		}
		o.Progress("%d members: %.0f log bytes for one changed member", n, grown)
		points = append(points, measure.Point{X: float64(n), Y: grown})
	}
	return newSeries(measure.Series{Name: "voter.log-bytes-by-members", Role: RoleVoter, X: "members of the inventory", XUnit: "1",
		Y: "bytes of the log for one changed member", YUnit: "B", Conditions: "3 instances"}, points), nil
}

func (v *votingInstances) changeOneMember(ctx context.Context, members int) (float64, error) {
	if _, err := v.waitForLeader(ctx); err != nil {
		return 0, err
	}
	inventory := &pb.PutInventory{Author: "scale"}
	for i := range members {
		inventory.Members = append(inventory.Members, MemberEntry(i, 0))
	}
	if err := v.putInventory(inventory); err != nil {
		return 0, err
	}
	inventory.Members[members/2] = MemberEntry(members/2, 1)
	entries := v.entries.Load()
	bytes := v.bytes.Load()
	if err := v.putInventory(inventory); err != nil {
		return 0, err
	}
	// Heartbeats appended meanwhile are included: about a hundred bytes each.
	err := waitUntil(ctx, "the entry in the first instance's log", submitTimeout, func() bool {
		return v.entries.Load() > entries && v.bytes.Load()-bytes >= int64(proto.Size(inventory))
	})
	return float64(v.bytes.Load() - bytes), err
}

// putInventory publishes an inventory based on the latest version and waits until the first instance has it.
func (v *votingInstances) putInventory(p *pb.PutInventory) error {
	err := v.stores[0].ReadLatest(submitTimeout, func(c *catalog.Catalog) { p.Base = c.InventoryVersion() })
	if err != nil {
		return err
	}
	return submitCommand(v.stores[0], &pb.Command{Body: &pb.Command_PutInventory{PutInventory: p}})
}

// learnedStateSeries measures the size of one instance's learned state by number of groups.
func learnedStateSeries(groups []int) []measure.Series {
	var learnSizes, catalogSizes []measure.Point
	for _, n := range groups {
		learn := &pb.Learn{Instance: "i0", Wire: memberWire}
		inventory := &pb.PutInventory{Author: "scale"}
		for i := range n { // the primary stands in for all members of its group
			primary := MemberEntry(i*membersPerGroup, 0)
			inventory.Members = append(inventory.Members, primary)
			learn.Groups = append(learn.Groups, &pb.GroupWord{Group: primary.Group, Primary: primary.Id, PrimaryAt: time.Now().UnixNano(), WarmRate: 812.5})
		}
		c := catalog.New("baseline")
		apply(c, 1, &pb.Command{Body: &pb.Command_PutInventory{PutInventory: inventory}})
		apply(c, 2, &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: "i0", Boot: "b"}}})
		before := encodedSize(c)
		apply(c, 3, &pb.Command{Body: &pb.Command_Learn{Learn: learn}})
		learnSizes = append(learnSizes, measure.Point{X: float64(n), Y: float64(proto.Size(learn))})
		catalogSizes = append(catalogSizes, measure.Point{X: float64(n), Y: float64(encodedSize(c) - before)})
	}
	series := func(name, y string, points []measure.Point) measure.Series {
		return newSeries(measure.Series{Name: name, Role: RoleVoter, X: "groups", XUnit: "1", Y: y, YUnit: "B", Conditions: "1 instance"}, points)
	}
	return []measure.Series{
		series("voter.learned-bytes-by-groups", "bytes of the log each time that one instance tells what it has learned", learnSizes),
		series("voter.catalog-bytes-by-groups", "bytes that the catalog keeps of one instance's learned state", catalogSizes),
	}
}

// apply applies one command to a catalog.
func apply(c *catalog.Catalog, index uint64, command *pb.Command) {
	command.Origin, command.Seq, command.At = "i0/b", index, time.Now().UnixNano()
	c.Apply(index, &pb.Batch{Commands: []*pb.Command{command}})
}

func encodedSize(c *catalog.Catalog) int {
	encoded, err := c.Encode()
	if err != nil {
		panic(err) // cannot fail for a catalog built here
	}
	return len(encoded)
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
