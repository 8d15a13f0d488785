// Package agent connects the store with one pipeline. It passes members, drains and slow-start shares to the pipeline,
// and reports what the pipeline has learned to the store. All decisions are made by the packages roster, lease and
// catalog. An agent runs on its own goroutine and only posts to the event loop.
package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/lease"
	"aspenshed/internal/controlplane/publication"
	"aspenshed/internal/controlplane/roster"
	"aspenshed/internal/dataplane/eventloop"
)

const (
	tickInterval        = 100 * time.Millisecond
	learnInterval       = aspenshed.Nanos(1e9)
	drainReportInterval = aspenshed.Nanos(1e9) // between two reports of a drain that the store does not have yet
)

// Pipeline receives the updates of an agent; its methods are called on the loop.
type Pipeline interface {
	UpdateMembers(aspenshed.MemberList)
	AddEvent(aspenshed.Event)
	Learned() (aspenshed.LearnedState, bool)
}

// Store is the agent's access to the control plane: a voter's own replica, or a subscriber's copy.
type Store interface {
	ID() string
	Boot() string
	Read(func(*catalog.Catalog))
	ReadLatest(limit time.Duration, f func(*catalog.Catalog)) error
	Offer(key string, c *pb.Command)
	Submit(c *pb.Command, limit time.Duration) (*pb.Result, error)
}

// Config configures an agent.
type Config struct {
	Store         Store
	Loop          *eventloop.Loop
	Log           *logrus.Entry
	Pipeline      Pipeline
	Wire          string // the pipeline's wire: members of other wires are ignored
	Classes       []aspenshed.Class
	LeaseDuration aspenshed.Nanos // 0: no leases are requested
	// KeepLearnedLocal keeps learned rates and times in this instance: those of a single subscriber are of no use to
	// other instances.
	KeepLearnedLocal bool
	// OnApplied is called on the loop with each revision that the pipeline has applied; nil: no callback.
	OnApplied func(rev uint64)
}

// Agent connects one pipeline with the store.
type Agent struct {
	cfg       Config
	publisher *publisher
	wake      chan struct{}
	done      chan struct{}
	stop      chan struct{}

	mu              sync.Mutex
	merger          *roster.Merger
	holder          *lease.Holder
	learned         aspenshed.LearnedState
	newestList      *publication.Publication // of this instance; nil: it has published none
	localChanged    bool
	hasWireMembers  bool                                // the catalog has had members of this wire
	seenVersions    [3]uint64                           // catalog versions at which the next four fields were read
	warmingMembers  []*pb.Member                        // copies
	starts          map[string]aspenshed.SlowStartShare // of all members with a known start: whether it is warmed up
	groupSummaries  map[catalog.Group]catalog.GroupSummary
	postedPrimaries map[string]bool                     // as last posted
	postedShares    map[string]aspenshed.SlowStartShare // as last posted
	drainReportedAt map[string]aspenshed.Nanos
	lastLearnAt     aspenshed.Nanos
	revision        uint64 // of the catalog when it was last read
	postedRevision  uint64 // the last revision posted to the loop
}

// Start starts an agent. local is the local member list; nil: there is none yet.
func Start(c Config, local []roster.Entry) *Agent {
	a := &Agent{cfg: c, publisher: newPublisher(), wake: make(chan struct{}, 1), done: make(chan struct{}), stop: make(chan struct{}), merger: roster.New(),
		postedShares: map[string]aspenshed.SlowStartShare{}, postedPrimaries: map[string]bool{}, starts: map[string]aspenshed.SlowStartShare{}, drainReportedAt: map[string]aspenshed.Nanos{},
		holder: lease.NewHolder(c.Store.ID(), c.Store.Boot(), c.LeaseDuration)}
	if local != nil {
		a.SetLocalMembers(local)
	}
	go a.run()
	go a.publishLists()
	return a
}

// Wake makes the agent tick soon. It does not block.
func (a *Agent) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetLocalMembers replaces the local member list, which is in use while the catalog has none of this wire.
func (a *Agent) SetLocalMembers(list []roster.Entry) {
	a.mu.Lock()
	a.merger.SetLocal(list)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
}

// ObserveStart records a member's start that came without a list.
func (a *Agent) ObserveStart(id string, at aspenshed.Nanos) {
	a.mu.Lock()
	a.merger.ObserveStart(id, at)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
}

// Drain records a drain by the administrator. It holds here whether or not a majority of the store is available. It returns
// false if this instance knows no such member.
func (a *Agent) Drain(id string) (known bool) {
	a.mu.Lock()
	known = a.merger.Drain(id)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
	return known
}

// Stop ends the agent.
func (a *Agent) Stop() {
	close(a.stop)
	<-a.done
}

func (a *Agent) run() {
	defer close(a.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		a.Tick(a.cfg.Loop.Now())
		select {
		case <-a.stop:
			return
		case <-a.wake:
		case <-t.C:
		}
	}
}

// Tick reads the catalog, requests leases and posts updates to the pipeline and the store.
func (a *Agent) Tick(now aspenshed.Nanos) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := a.readCatalog()
	if len(changes.differs) > 0 {
		a.postChangedMembers(changes.differs)
	}
	if changes.whole {
		a.postMembers()
	}
	if a.cfg.LeaseDuration > 0 {
		for _, x := range a.holder.Step(now, a.warmingMembers, a.demand) {
			a.cfg.Store.Offer("ask "+x.Member, &pb.Command{Body: &pb.Command_Ask{Ask: x}})
		}
	}
	a.postShares(now, changes)
	a.postApplied(a.revision)
	a.reportDrains(now)
	if now >= a.lastLearnAt+learnInterval {
		a.lastLearnAt = now
		a.collectLearned()
	}
}

// postApplied reports a revision after everything that was posted to the loop for it.
func (a *Agent) postApplied(rev uint64) {
	if a.cfg.OnApplied == nil || rev == a.postedRevision {
		return
	}
	a.postedRevision = rev
	a.cfg.Loop.Post(func() { a.cfg.OnApplied(rev) })
}

// demand returns the work per second that this instance has for a group.
func (a *Agent) demand(group int32) float64 {
	for _, g := range a.learned.Groups {
		if g.Group == int(group) {
			return g.WorkRate
		}
	}
	return 0
}

// nearlyEqual reports whether two shares differ at most in their rate, by less than a tenth.
func nearlyEqual(a, b aspenshed.SlowStartShare) bool {
	d := a.WorkRate - b.WorkRate
	a.WorkRate = b.WorkRate
	return a == b && max(d, -d) < b.WorkRate/10
}

func (a *Agent) reportDrains(now aspenshed.Nanos) {
	unreported := a.merger.UnreportedDrains()
	for _, id := range slices.Sorted(maps.Keys(unreported)) {
		if at, reported := a.drainReportedAt[id]; reported && now < at+drainReportInterval {
			continue
		}
		a.drainReportedAt[id] = now
		a.cfg.Store.Offer("drain "+id, &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: int64(unreported[id]),
			Reason: "told to " + a.cfg.Store.ID()}}})
	}
	maps.DeleteFunc(a.drainReportedAt, func(id string, _ aspenshed.Nanos) bool { _, pending := unreported[id]; return !pending })
}

// filterWire returns the members of the pipeline's wire. It reuses the slice.
func (a *Agent) filterWire(all []*pb.Member) []*pb.Member {
	return slices.DeleteFunc(all, func(m *pb.Member) bool { return m.Entry.Wire != a.cfg.Wire })
}
