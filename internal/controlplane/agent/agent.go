// Package agent stands between the store and one pipeline: it tells the pipeline which members there are, what drains and
// what share of a cold one is its own, and tells the store what the pipeline has learned. It decides nothing; roster,
// lease and catalog do. It runs on a goroutine of its own and only posts to the loop.
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
	"aspenshed/internal/controlplane/roster"
	"aspenshed/internal/dataplane/eventloop"
)

const (
	tickInterval        = 100 * time.Millisecond
	learnInterval       = aspenshed.Nanos(1e9)
	drainReportInterval = aspenshed.Nanos(1e9) // between two tellings of the store of a drain that it does not show yet
)

// Pipeline is what an agent tells; its methods are called on the loop.
type Pipeline interface {
	Members(aspenshed.MemberList, map[string]string)
	Tell(aspenshed.Event)
	Learned() (aspenshed.LearnedState, bool)
}

// Store is what an agent needs of the control plane: an instance's own replica, or a subscriber's copy.
type Store interface {
	ID() string
	Boot() string
	Read(func(*catalog.Catalog))
	ReadLatest(limit time.Duration, f func(*catalog.Catalog)) error
	Offer(key string, c *pb.Command)
	Submit(c *pb.Command, limit time.Duration) (*pb.Result, error)
}

// Config is what an agent is made of.
type Config struct {
	Store         Store
	Loop          *eventloop.Loop
	Log           *logrus.Entry
	Pipeline      Pipeline
	Wire          string // of the catalog's members only these are the pipeline's
	Classes       []aspenshed.Class
	LeaseDuration aspenshed.Nanos // 0: no leases are asked for
	// KeepLearnedLocal keeps learned rates and times to this instance: a subscriber's are of no use to the others one by one.
	KeepLearnedLocal bool
	// OnApplied hears, on the loop, of each revision that the pipeline has come to go by; nil: nobody does.
	OnApplied func(rev uint64)
}

// Agent is one pipeline's.
type Agent struct {
	cfg  Config
	wake chan struct{}
	done chan struct{}
	stop chan struct{}

	mu              sync.Mutex
	merger          *roster.Merger
	holder          *lease.Holder
	learned         aspenshed.LearnedState
	localChanged    bool
	hasWireMembers  bool                                // the catalog has named members of this wire
	seenVersions    [3]uint64                           // versions of the catalog that the four below were taken at
	warmingMembers  []*pb.Member                        // copies
	starts          map[string]aspenshed.SlowStartShare // of all members that have told a start: whether it is warm
	groupSummaries  map[catalog.Group]catalog.GroupSummary
	postedPrimaries map[string]bool                     // as told
	postedShares    map[string]aspenshed.SlowStartShare // as told
	drainReportedAt map[string]aspenshed.Nanos
	lastLearnAt     aspenshed.Nanos
	revision        uint64 // of the catalog, when it was last looked at
	postedRevision  uint64 // the revision that the loop has last been told of
}

// Start begins; own is the instance's own list, as far as it has one.
func Start(c Config, own []roster.Entry) *Agent {
	a := &Agent{cfg: c, wake: make(chan struct{}, 1), done: make(chan struct{}), stop: make(chan struct{}), merger: roster.New(),
		postedShares: map[string]aspenshed.SlowStartShare{}, postedPrimaries: map[string]bool{}, starts: map[string]aspenshed.SlowStartShare{}, drainReportedAt: map[string]aspenshed.Nanos{},
		holder: lease.NewHolder(c.Store.ID(), c.Store.Boot(), c.LeaseDuration)}
	if own != nil {
		a.SetLocalMembers(own)
	}
	go a.run()
	return a
}

// Wake has the agent look again soon. It does not block.
func (a *Agent) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetLocalMembers takes the instance's own list.
func (a *Agent) SetLocalMembers(list []roster.Entry) {
	a.mu.Lock()
	a.merger.SetLocal(list)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
}

// ObserveStart takes word of a member's start that came with no list.
func (a *Agent) ObserveStart(id string, at aspenshed.Nanos) {
	a.mu.Lock()
	a.merger.ObserveStart(id, at)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
}

// Drain takes the administrator's word. It holds here whether or not there is a majority to agree on it.
func (a *Agent) Drain(id string) {
	a.mu.Lock()
	a.merger.Drain(id)
	a.localChanged = true
	a.mu.Unlock()
	a.Wake()
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

// Tick looks at the catalog, asks for leases and says what has to be said.
func (a *Agent) Tick(now aspenshed.Nanos) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.readCatalog()
	if len(n.differs) > 0 {
		a.postChangedMembers(n.differs)
	}
	if n.whole {
		a.postMembers()
	}
	if a.cfg.LeaseDuration > 0 {
		for _, x := range a.holder.Step(now, a.warmingMembers, a.demand) {
			a.cfg.Store.Offer("ask "+x.Member, &pb.Command{Body: &pb.Command_Ask{Ask: x}})
		}
	}
	a.postShares(now, n)
	a.postApplied(a.revision)
	a.reportDrains(now)
	if now >= a.lastLearnAt+learnInterval {
		a.lastLearnAt = now
		a.collectLearned()
	}
}

// postApplied follows what was posted to the loop for a revision.
func (a *Agent) postApplied(rev uint64) {
	if a.cfg.OnApplied == nil || rev == a.postedRevision {
		return
	}
	a.postedRevision = rev
	a.cfg.Loop.Post(func() { a.cfg.OnApplied(rev) })
}

// demand is the work a second that this instance sees in a group.
func (a *Agent) demand(group int32) float64 {
	for _, g := range a.learned.Groups {
		if g.Group == int(group) {
			return g.WorkRate
		}
	}
	return 0
}

// nearlyEqual tells whether two shares differ in nothing but a rate that has changed by less than a tenth.
func nearlyEqual(a, b aspenshed.SlowStartShare) bool {
	d := a.WorkRate - b.WorkRate
	a.WorkRate = b.WorkRate
	return a == b && max(d, -d) < b.WorkRate/10
}

func (a *Agent) reportDrains(now aspenshed.Nanos) {
	unsaid := a.merger.UnreportedDrains()
	for _, id := range slices.Sorted(maps.Keys(unsaid)) {
		if at, said := a.drainReportedAt[id]; said && now < at+drainReportInterval {
			continue
		}
		a.drainReportedAt[id] = now
		a.cfg.Store.Offer("drain "+id, &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: int64(unsaid[id]),
			Reason: "told to " + a.cfg.Store.ID()}}})
	}
	maps.DeleteFunc(a.drainReportedAt, func(id string, _ aspenshed.Nanos) bool { _, still := unsaid[id]; return !still })
}

// filterWire are the members that speak the pipeline's wire.
func (a *Agent) filterWire(all []*pb.Member) []*pb.Member {
	return slices.DeleteFunc(all, func(m *pb.Member) bool { return m.Entry.Wire != a.cfg.Wire })
}
