package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"aspenshed"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// sim is a cluster of catalog replicas in simulated time. The log holds the committed entries; replicas apply it late,
// are partitioned, crash and replay it from the beginning. Each has its own clock, with a random offset and a rate
// within the bound.
type sim struct {
	rng      *rand.Rand
	now      int64 // real time, ns
	log      []*pb.Batch
	nodes    []*node
	leader   int // -1: none
	inFlight []inFlightCommand
}

type node struct {
	id          string
	boot        int
	rate        float64
	clockOffset int64
	up          bool
	partition   int // nodes reach only those in the same partition
	applied     int
	catalog     *catalog.Catalog
	holder      *Holder
	grantor     *Grantor
	seq         uint64
	firstSeen   map[string]int64 // by member and start: when this instance first saw it, by its own clock
}

type inFlightCommand struct {
	deliverAt int64
	command   *pb.Command
	sender    int
}

func (n *node) clock(real int64) aspenshed.Nanos {
	return aspenshed.Nanos(n.clockOffset + int64(float64(real)*n.rate))
}

func newSim(seed uint64, n int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), leader: -1}
	for i := range n {
		x := &node{id: fmt.Sprint("i", i), rate: 0.95 + 0.1*s.rng.Float64(), clockOffset: s.rng.Int64N(1e15)}
		if i < 2 {
			x.rate = []float64{0.95, 1.05}[i] // both limits of the bound
		}
		s.nodes = append(s.nodes, x)
		s.restart(x)
	}
	return s
}

func (s *sim) restart(n *node) {
	n.up, n.applied, n.seq, n.boot = true, 0, 0, n.boot+1
	n.catalog, n.firstSeen = catalog.New("t"), map[string]int64{}
	n.holder, n.grantor = NewHolder(n.id, fmt.Sprint(n.boot), 4e9), NewGrantor()
}

// majority reports whether n reaches more than half of the nodes.
func (s *sim) majority(n *node) bool {
	k := 0
	for _, x := range s.nodes {
		if x.up && x.partition == n.partition {
			k++
		}
	}
	return n.up && 2*k > len(s.nodes)
}

func (s *sim) propose(by int, body *pb.Command) {
	n := s.nodes[by]
	n.seq++
	body.Origin, body.Seq = fmt.Sprint(n.id, "/", n.boot), n.seq
	for range 1 + s.rng.IntN(2) { // sometimes duplicated
		s.inFlight = append(s.inFlight, inFlightCommand{s.now + s.rng.Int64N(800e6), body, by})
	}
}

func (s *sim) step(dt int64) {
	s.now += dt
	if s.leader < 0 || !s.majority(s.nodes[s.leader]) { // an election takes several steps
		if s.leader = -1; s.rng.IntN(8) == 0 {
			if i := s.rng.IntN(len(s.nodes)); s.majority(s.nodes[i]) {
				s.leader = i
				s.apply(s.nodes[i], len(s.log))
			}
		}
	}
	keep := s.inFlight[:0]
	for _, w := range s.inFlight {
		n := s.nodes[w.sender]
		switch {
		case w.deliverAt > s.now:
			keep = append(keep, w)
		// A command that does not reach the leader is lost.
		case s.leader >= 0 && n.up && n.partition == s.nodes[s.leader].partition && s.rng.IntN(6) > 0:
			c := proto.Clone(w.command).(*pb.Command)
			c.At = int64(s.nodes[s.leader].clock(s.now))
			s.log = append(s.log, &pb.Batch{Commands: []*pb.Command{c}})
		}
	}
	s.inFlight = keep
	for i, n := range s.nodes {
		if !n.up {
			continue
		}
		if s.leader >= 0 && n.partition == s.nodes[s.leader].partition && (i == s.leader || s.rng.IntN(3) == 0) {
			s.apply(n, n.applied+s.rng.IntN(len(s.log)-n.applied+1))
		}
		now := n.clock(s.now)
		for _, m := range n.catalog.Members() {
			if k := fmt.Sprint(m.Entry.Id, m.Start); n.firstSeen[k] == 0 {
				n.firstSeen[k] = int64(now)
			}
		}
		for _, a := range n.holder.Step(now, n.catalog.Members(), func(int32) float64 { return float64(i + 1) }) {
			s.propose(i, &pb.Command{Body: &pb.Command_Ask{Ask: a}})
		}
		for _, c := range n.grantor.Step(now, i == s.leader, n.catalog.Members(), n.catalog.Rules()) {
			s.propose(i, c)
		}
	}
}

func (s *sim) apply(n *node, upTo int) {
	for ; n.applied < upTo; n.applied++ {
		n.catalog.Apply(uint64(n.applied+1), proto.Clone(s.log[n.applied]).(*pb.Batch))
	}
}

// commit appends a command to the log, regardless of the leader.
func (s *sim) commit(c *pb.Command) {
	c.At = 1e18 + s.now
	s.log = append(s.log, &pb.Batch{Commands: []*pb.Command{c}})
}

// usableShare returns the part of a warming member's budget that all instances together may use now, by what each of
// them knows, and the number of instances that consider the start warmed up.
func (s *sim) usableShare(member string, start int64, rules *pb.Rules) (sum float64, warm int) {
	for _, n := range s.nodes {
		now := n.clock(s.now)
		m := n.catalog.Member(member)
		if !n.up || m == nil || m.Start != start {
			continue
		}
		if !catalog.IsWarming(m) || int64(now) >= n.firstSeen[fmt.Sprint(member, start)]+rules.ColdLongest {
			warm++
			continue
		}
		share, _ := n.holder.Share(now, member, start)
		sum += share + catalog.SafeShare(rules)
	}
	return sum, warm
}

// Guards warming members against overload: under partitions, clock drift, crashes and lost responses, all instances
// together may never use more than the member's budget, and no instance may consider a start warmed up before its
// slow-start time has passed in real time. Also checks that leases are granted while there are no faults.
func TestSharesStayWithinBudgetUnderFaults(t *testing.T) {
	highUse := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "instances"))
		rules := catalog.DefaultRules()
		rules.MostInstances = uint32(len(s.nodes))
		s.commit(&pb.Command{Body: &pb.Command_SetRules{SetRules: &pb.SetRules{Rules: rules}}})
		for _, n := range s.nodes {
			s.commit(&pb.Command{Body: &pb.Command_Beat{Beat: &pb.Beat{Instance: n.id}}})
		}
		s.commit(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: &pb.PutInventory{Members: []*pb.Entry{{Id: "a", Address: "a:1"}}}}})
		for range 20 {
			s.step(100e6)
		}
		start := int64(1e18) + s.now
		began := s.now
		s.commit(&pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: "a", Start: start}}})
		fault := rapid.IntRange(0, 40).Draw(t, "fault interval")
		for range 400 {
			if s.rng.IntN(fault+4) == 0 {
				x := s.nodes[s.rng.IntN(len(s.nodes))]
				switch s.rng.IntN(4) {
				case 0:
					x.partition = s.rng.IntN(2)
				case 1: // the leader alone in the smaller partition
					if s.leader >= 0 {
						s.nodes[s.leader].partition = 1 - s.nodes[s.leader].partition
					}
				case 2:
					if x.up = !x.up; x.up {
						s.restart(x)
					}
				case 3:
					for _, n := range s.nodes {
						n.partition = 0
					}
				}
			}
			s.step(20e6 + s.rng.Int64N(100e6))
			sum, warm := s.usableShare("a", start, rules)
			if sum > 1+1e-9 {
				t.Fatalf("%.3f of the budget may be used %.2f s after the start, 1 at most", sum, float64(s.now-began)/1e9)
			}
			if warm > 0 && s.now-began < rules.ColdFor {
				t.Fatalf("considered warmed up %.2f s after the start", float64(s.now-began)/1e9)
			}
			if sum > 0.9 {
				highUse++
			}
		}
	})
	if highUse == 0 {
		t.Error("the leases never allowed more than 0.9 of the budget")
	}
}

// A lease is valid from the time of its request. A grant from before a restart is not used, as that time is unknown.
func TestLeaseIsTimedFromItsRequest(t *testing.T) {
	m := &pb.Member{Entry: &pb.Entry{Id: "a"}, Start: 5, ColdSince: 1}
	want := func(int32) float64 { return 1 }
	h := NewHolder("x", "1", 4e9)
	requests := h.Step(100e9, []*pb.Member{m}, want)
	if len(requests) != 1 || len(h.Step(100e9+1, []*pb.Member{m}, want)) != 0 {
		t.Fatalf("lease requests: %v", requests)
	}
	m.Leases = []*pb.Lease{{Instance: "x", Serial: 1, Share: 0.4, Duration: 4e9, Nonce: requests[0].Nonce}}
	h.Step(103e9, []*pb.Member{m}, want)
	if share, until := h.Share(103e9, "a", 5); share != 0.4 || until != 104e9 {
		t.Errorf("share %v until %v", share, until)
	}
	if share, _ := h.Share(104e9, "a", 5); share != 0 {
		t.Error("the lease is used after its expiry")
	}
	restarted := NewHolder("x", "2", 4e9)
	restarted.Step(103e9, []*pb.Member{m}, want)
	if share, _ := restarted.Share(103e9, "a", 5); share != 0 {
		t.Error("a lease granted before the restart is used")
	}
}
