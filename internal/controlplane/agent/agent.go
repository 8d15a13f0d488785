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
	tickEvery      = 100 * time.Millisecond
	learnEvery     = aspenshed.Nanos(1e9)
	repeatInterval = aspenshed.Nanos(1e9) // between two tellings of the store of a drain that it does not show yet
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
	Store    Store
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Pipeline Pipeline
	Wire     string // of the catalog's members only these are the pipeline's
	Classes  []aspenshed.Class
	Lease    aspenshed.Nanos // 0: no leases are asked for
	// KeepLearned keeps learned rates and times to this instance: a subscriber's are of no use to the others one by one.
	KeepLearned bool
	// InForce hears, on the loop, of each revision that the pipeline has come to go by; nil: nobody does.
	InForce func(rev uint64)
}

// Agent is one pipeline's.
type Agent struct {
	cfg  Config
	wake chan struct{}
	done chan struct{}
	end  chan struct{}

	mu         sync.Mutex
	merger     *roster.Merger
	holder     *lease.Holder
	learned    aspenshed.LearnedState
	ownNew     bool
	had        bool                                // the catalog has named members of this wire
	seen       [3]uint64                           // versions of the catalog that the four below were taken at
	cold       []*pb.Member                        // copies
	starts     map[string]aspenshed.SlowStartShare // of all members that have told a start: whether it is warm
	groups     map[catalog.Group]catalog.GroupSummary
	primary    map[string]bool                     // as told
	shares     map[string]aspenshed.SlowStartShare // as told
	reportedAt map[string]aspenshed.Nanos
	learntAt   aspenshed.Nanos
	revision   uint64 // of the catalog, when it was last looked at
	posted     uint64 // the revision that the loop has last been told of
}

// Start begins; own is the instance's own list, as far as it has one.
func Start(c Config, own []roster.Told) *Agent {
	a := &Agent{cfg: c, wake: make(chan struct{}, 1), done: make(chan struct{}), end: make(chan struct{}), merger: roster.New(),
		shares: map[string]aspenshed.SlowStartShare{}, primary: map[string]bool{}, starts: map[string]aspenshed.SlowStartShare{}, reportedAt: map[string]aspenshed.Nanos{},
		holder: lease.NewHolder(c.Store.ID(), c.Store.Boot(), c.Lease)}
	if own != nil {
		a.Own(own)
	}
	go a.run()
	return a
}

// Poke has the agent look again soon. It does not block.
func (a *Agent) Poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Own takes the instance's own list.
func (a *Agent) Own(list []roster.Told) {
	a.mu.Lock()
	a.merger.Own(list)
	a.ownNew = true
	a.mu.Unlock()
	a.Poke()
}

// Started takes word of a member's start that came with no list.
func (a *Agent) Started(id string, at aspenshed.Nanos) {
	a.mu.Lock()
	a.merger.Started(id, at)
	a.ownNew = true
	a.mu.Unlock()
	a.Poke()
}

// Drain takes the administrator's word. It holds here whether or not there is a majority to agree on it.
func (a *Agent) Drain(id string) {
	a.mu.Lock()
	a.merger.Drain(id)
	a.ownNew = true
	a.mu.Unlock()
	a.Poke()
}

// Stop ends the agent.
func (a *Agent) Stop() {
	close(a.end)
	<-a.done
}

func (a *Agent) run() {
	defer close(a.done)
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		a.Tick(a.cfg.Loop.Now())
		select {
		case <-a.end:
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
	n := a.look()
	if len(n.differs) > 0 {
		a.tellChanged(n.differs)
	}
	if n.whole {
		a.tellMembers()
	}
	if a.cfg.Lease > 0 {
		for _, x := range a.holder.Step(now, a.cold, a.want) {
			a.cfg.Store.Offer("ask "+x.Member, &pb.Command{Body: &pb.Command_Ask{Ask: x}})
		}
	}
	a.tellShares(now, n)
	a.tellInForce(a.revision)
	a.reportDrains(now)
	if now >= a.learntAt+learnEvery {
		a.learntAt = now
		a.learn()
	}
}

// tellInForce follows what was posted to the loop for a revision.
func (a *Agent) tellInForce(rev uint64) {
	if a.cfg.InForce == nil || rev == a.posted {
		return
	}
	a.posted = rev
	a.cfg.Loop.Post(func() { a.cfg.InForce(rev) })
}

// want is the work a second that this instance sees in a group.
func (a *Agent) want(group int32) float64 {
	for _, g := range a.learned.Groups {
		if g.Group == int(group) {
			return g.WorkRate
		}
	}
	return 0
}

// alike tells whether two shares differ in nothing but a rate that has changed by less than a tenth.
func alike(a, b aspenshed.SlowStartShare) bool {
	d := a.WorkRate - b.WorkRate
	a.WorkRate = b.WorkRate
	return a == b && max(d, -d) < b.WorkRate/10
}

func (a *Agent) reportDrains(now aspenshed.Nanos) {
	unsaid := a.merger.Unsaid()
	for _, id := range slices.Sorted(maps.Keys(unsaid)) {
		if at, said := a.reportedAt[id]; said && now < at+repeatInterval {
			continue
		}
		a.reportedAt[id] = now
		a.cfg.Store.Offer("drain "+id, &pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: id, Start: int64(unsaid[id]),
			Reason: "told to " + a.cfg.Store.ID()}}})
	}
	maps.DeleteFunc(a.reportedAt, func(id string, _ aspenshed.Nanos) bool { _, still := unsaid[id]; return !still })
}

// mine are the members that speak the pipeline's wire.
func (a *Agent) mine(all []*pb.Member) []*pb.Member {
	return slices.DeleteFunc(all, func(m *pb.Member) bool { return m.Entry.Wire != a.cfg.Wire })
}
