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

// BaselineOptions say what of the design in which every instance votes is measured.
type BaselineOptions struct {
	Instances []int         // in one process, one after the other
	Idle      time.Duration // how long each number of them is watched without any command
	Settle    time.Duration // before that: what a start leaves behind (configuration, snapshots) is not measured
	Writes    int           // whose latency at a follower is measured
	Members   []int         // of the inventories of which one member is changed
	Groups    []int         // that one instance tells what it has learned of
	Quick     bool          // short time-outs of elections, for tests
	Progress  func(format string, a ...any)
}

// DefaultBaseline is what is committed.
func DefaultBaseline() BaselineOptions {
	return BaselineOptions{Instances: []int{3, 9, 27, 54}, Idle: 20 * time.Second, Settle: 5 * time.Second, Writes: 200,
		Members: []int{2100, 10500, 20000}, Groups: []int{35, 350, 3500}, Progress: func(string, ...any) {}}
}

const (
	readyLimit  = 4 * time.Minute // for a number of instances to agree on a leader
	submitLimit = 30 * time.Second
)

// Baseline measures the design in which every instance is a raft voter and an inventory is replicated whole.
func Baseline(ctx context.Context, o BaselineOptions) (run measure.Run, err error) {
	run = measure.Run{Experiment: "scale-baseline", Commit: commit(), Started: time.Now(), Machine: machine()}
	idle, failures := idleSeries(ctx, o)
	changed, err := changedMemberSeries(ctx, o)
	if err != nil {
		return run, err
	}
	run.Series = append(append(idle, changed), learnedSeries(o.Groups)...)
	run.Seconds = time.Since(run.Started).Seconds()
	run.Notes = append(failures,
		"All instances run in one process over loopback TCP, each with a log of its own on one disk; cores and memory are of all of them together.",
		"Heartbeats of the catalog go through the replicated log: idle instances write.",
	)
	return run, nil
}

// logMeter counts what one instance appends to its log.
type logMeter struct {
	raft.LogStore
	entries, bytes *atomic.Int64
}

// StoreLog counts one entry.
func (m logMeter) StoreLog(l *raft.Log) error { return m.StoreLogs([]*raft.Log{l}) }

// StoreLogs counts entries and passes them on.
func (m logMeter) StoreLogs(logs []*raft.Log) error {
	for _, l := range logs {
		m.entries.Add(1)
		m.bytes.Add(int64(len(l.Data)))
	}
	return m.LogStore.StoreLogs(logs)
}

// votingInstances are instances of the store that all vote, in this process.
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
			c.WrapLogStore = func(next raft.LogStore) raft.LogStore { return logMeter{next, &v.entries, &v.bytes} }
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

// leader waits until one instance leads and all others follow it.
func (v *votingInstances) leader(ctx context.Context) (lead int, err error) {
	err = waitUntil(ctx, "a leader that all follow", readyLimit, func() bool {
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

// follower is an instance that does not lead.
func (v *votingInstances) follower(ctx context.Context) (*store.Store, error) {
	lead, err := v.leader(ctx)
	if err != nil {
		return nil, err
	}
	return v.stores[(lead+1)%len(v.stores)], nil
}

// idlePoint is what was measured of one number of instances.
type idlePoint struct {
	instances                       int
	entries, logBytes, cores, heap  float64
	writeMedian, write99, diskBytes float64
}

// idleSeries measures each number of instances. One that fails is told of and left out.
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
		return seriesOf(measure.Series{Name: name, Role: RoleVoter, X: "instances, all of them voters", XUnit: "1", Y: y, YUnit: unit,
			Conditions: "no members, no commands, all instances in one process"}, at)
	}
	return []measure.Series{
		series("voter.log-entries-by-instances", "log entries a second, idle", "1/s", func(p idlePoint) float64 { return p.entries }),
		series("voter.log-bytes-by-instances", "bytes of log entries a second, idle", "B/s", func(p idlePoint) float64 { return p.logBytes }),
		series("voter.cpu-by-instances", "processor time of all instances together, idle", "core", func(p idlePoint) float64 { return p.cores }),
		series("voter.disk-bytes-by-instances", "bytes to disk of all instances together, idle", "B/s", func(p idlePoint) float64 { return p.diskBytes }),
		series("voter.memory-by-instances", "heap in use of all instances together", "B", func(p idlePoint) float64 { return p.heap }),
		series("voter.write-latency-by-instances", "write at a follower, median", "s", func(p idlePoint) float64 { return p.writeMedian }),
		series("voter.write-latency-p99-by-instances", "write at a follower, 99th percentile", "s", func(p idlePoint) float64 { return p.write99 }),
	}, failures
}

func measureIdle(ctx context.Context, n int, o BaselineOptions) (p idlePoint, err error) {
	dir, err := os.MkdirTemp("", "scale-baseline-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	heapBefore := heapInUse()
	v, err := startVoting(dir, n, o.Quick)
	defer func() { err = errors.Join(err, v.stop()) }()
	if err != nil {
		return p, err
	}
	if _, err := v.leader(ctx); err != nil {
		return p, err
	}
	if err := pause(ctx, o.Settle); err != nil {
		return p, err
	}
	before, err := ReadUsage(os.Getpid())
	if err != nil {
		return p, err
	}
	entries, bytes := v.entries.Load(), v.bytes.Load()
	if err := pause(ctx, o.Idle); err != nil {
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
	p.writeMedian, p.write99, err = v.writeLatency(ctx, o.Writes)
	return p, err
}

// writeLatency is the median and the 99th percentile of writes at a follower, in seconds.
func (v *votingInstances) writeLatency(ctx context.Context, writes int) (median, p99 float64, err error) {
	s, err := v.follower(ctx)
	if err != nil {
		return 0, 0, err
	}
	h := hdrhistogram.New(1, submitLimit.Microseconds(), 3)
	for i := range writes {
		begin := time.Now()
		set := &pb.Set{Key: fmt.Sprint("key-", i%100), Value: []byte("a value of some length, as an operator writes")}
		if err := submitOne(s, &pb.Command{Body: &pb.Command_Set{Set: set}}); err != nil {
			return 0, 0, err
		}
		if err := h.RecordValue(time.Since(begin).Microseconds()); err != nil {
			return 0, 0, err
		}
	}
	const microsecond = 1e-6
	return float64(h.ValueAtQuantile(50)) * microsecond, float64(h.ValueAtQuantile(99)) * microsecond, nil
}

// refusedError is a command that the catalog did not carry out.
type refusedError struct{ reason string }

func (e refusedError) Error() string { return "scale: command refused: " + e.reason }

func submitOne(s *store.Store, c *pb.Command) error {
	result, err := s.Submit(c, submitLimit)
	if err != nil {
		return err
	}
	if result.Refused != "" {
		return refusedError{result.Refused}
	}
	return nil
}

// changedMemberSeries is what the log grows by when one member of an inventory changes.
func changedMemberSeries(ctx context.Context, o BaselineOptions) (s measure.Series, err error) {
	dir, err := os.MkdirTemp("", "scale-baseline-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	v, err := startVoting(dir, 3, o.Quick)
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
		o.Progress("%d members: one of them changed, %.0f bytes of log", n, grown)
		points = append(points, measure.Point{X: float64(n), Y: grown})
	}
	return seriesOf(measure.Series{Name: "voter.log-bytes-by-members", Role: RoleVoter, X: "members of the inventory", XUnit: "1",
		Y: "bytes of the log for one changed member", YUnit: "B", Conditions: "3 instances"}, points), nil
}

func (v *votingInstances) changeOneMember(ctx context.Context, members int) (float64, error) {
	if _, err := v.leader(ctx); err != nil {
		return 0, err
	}
	inventory := &pb.PutInventory{Author: "scale"}
	for i := range members {
		inventory.Members = append(inventory.Members, Member(i, 0))
	}
	if err := v.putInventory(inventory); err != nil {
		return 0, err
	}
	inventory.Members[members/2] = Member(members/2, 1)
	entries := v.entries.Load()
	bytes := v.bytes.Load()
	if err := v.putInventory(inventory); err != nil {
		return 0, err
	}
	// Heartbeats that were appended meanwhile are a hundred bytes or so each: they are left in.
	err := waitUntil(ctx, "the entry in the first instance's log", submitLimit, func() bool {
		return v.entries.Load() > entries && v.bytes.Load()-bytes >= int64(proto.Size(inventory))
	})
	return float64(v.bytes.Load() - bytes), err
}

// putInventory publishes an inventory on top of whatever there is, and waits until the first instance has it.
func (v *votingInstances) putInventory(p *pb.PutInventory) error {
	err := v.stores[0].ReadLatest(submitLimit, func(c *catalog.Catalog) { p.Base = c.InventoryVersion() })
	if err != nil {
		return err
	}
	return submitOne(v.stores[0], &pb.Command{Body: &pb.Command_PutInventory{PutInventory: p}})
}

// learnedSeries is what one instance's learned state costs, by groups.
func learnedSeries(groups []int) []measure.Series {
	var told, kept []measure.Point
	for _, n := range groups {
		learn := &pb.Learn{Instance: "i0", Wire: memberWire}
		inventory := &pb.PutInventory{Author: "scale"}
		for i := range n { // a group's primary stands for all of its members
			primary := Member(i*membersOfGroup, 0)
			inventory.Members = append(inventory.Members, primary)
			learn.Groups = append(learn.Groups, &pb.GroupWord{Group: primary.Group, Primary: primary.Id, PrimaryAt: time.Now().UnixNano(), WarmRate: 812.5})
		}
		c := catalog.New("baseline")
		apply(c, 1, &pb.Command{Body: &pb.Command_PutInventory{PutInventory: inventory}})
		apply(c, 2, &pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: "i0", Boot: "b"}}})
		before := encodedSize(c)
		apply(c, 3, &pb.Command{Body: &pb.Command_Learn{Learn: learn}})
		told = append(told, measure.Point{X: float64(n), Y: float64(proto.Size(learn))})
		kept = append(kept, measure.Point{X: float64(n), Y: float64(encodedSize(c) - before)})
	}
	series := func(name, y string, points []measure.Point) measure.Series {
		return seriesOf(measure.Series{Name: name, Role: RoleVoter, X: "groups", XUnit: "1", Y: y, YUnit: "B", Conditions: "1 instance"}, points)
	}
	return []measure.Series{
		series("voter.learned-bytes-by-groups", "bytes of the log each time that one instance tells what it has learned", told),
		series("voter.catalog-bytes-by-groups", "bytes that the catalog keeps of one instance's learned state", kept),
	}
}

// apply has a catalog carry out one command.
func apply(c *catalog.Catalog, index uint64, command *pb.Command) {
	command.Origin, command.Seq, command.At = "i0/b", index, time.Now().UnixNano()
	c.Apply(index, &pb.Batch{Commands: []*pb.Command{command}})
}

func encodedSize(c *catalog.Catalog) int {
	encoded, err := c.Encode()
	if err != nil {
		panic(err) // a catalog of our own making
	}
	return len(encoded)
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
