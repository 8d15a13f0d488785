package store

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// rolloutStatusOf returns a voter's status: ten subscribers, one of them lagging after it refused a change.
func rolloutStatusOf(id string) func(uint64) *pb.RolloutStatus {
	return func(rev uint64) *pb.RolloutStatus {
		return &pb.RolloutStatus{Revision: rev, Subscribers: 10, InForce: 9,
			Lagging:  []*pb.Lagging{{Subscriber: "late-" + id, InForce: rev - 1}},
			Refusals: []*pb.Refusal{{Subscriber: "late-" + id, Revision: rev, Key: "config", Reason: "unreadable"}}}
	}
}

// Any voter reports the rollout at the subscribers of all voters, and names voters that do not answer.
func TestAnyVoterReportsRollout(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		c.kill(id)
		c.nodes[id].cfg.RolloutStatus = rolloutStatusOf(id)
		c.open(id)
	}
	c.put(c.leader(), "k", "v")
	c.waitForEqual(nil)
	for id, n := range c.nodes {
		c.waitFor("the configuration with its vote", func() bool { return c.isVoter(id) })
		r, err := n.store.Rollout(7, waitTimeout)
		if err != nil || r.Revision != 7 || r.Subscribers != 30 || r.Applied != 27 || len(r.Unreachable) != 0 ||
			!reflect.DeepEqual(r.Answered, []string{"a", "b", "c"}) || r.Lagging[0] != (LaggingSubscriber{"late-a", 6}) ||
			r.Refusals[2] != (RolloutRefusal{"late-c", 7, "config", "unreadable"}) {
			t.Errorf("%s reports %+v, %v", id, r, err)
		}
	}
	down := c.follower()
	c.kill(down)
	up := c.follower()
	r, err := c.nodes[up].store.Rollout(0, time.Second)
	if err != nil || r.Subscribers != 20 || !reflect.DeepEqual(r.Unreachable, []string{down}) || r.Revision == 0 {
		t.Errorf("with %s down: %+v, %v", down, r, err)
	}
}

// A report is bounded, whatever the voters return, and begins with the subscribers that are furthest behind.
func TestRolloutReportIsBounded(t *testing.T) {
	var r RolloutReport
	for voter := range 5 {
		status := &pb.RolloutStatus{Subscribers: 100}
		for i := range 20 {
			status.Lagging = append(status.Lagging, &pb.Lagging{Subscriber: fmt.Sprint(voter, "-", i), InForce: uint64(20*voter + i)})
			status.Refusals = append(status.Refusals, &pb.Refusal{Subscriber: fmt.Sprint(voter, "-", i), Revision: 3})
		}
		r.add(fmt.Sprint(voter), status)
	}
	r.sortAndTruncate()
	if len(r.Lagging) != maxRolloutRows || len(r.Refusals) != maxRolloutRows || r.Lagging[0].Applied != 0 || r.Subscribers != 500 {
		t.Errorf("%+v", r)
	}
}

func TestRolloutStandalone(t *testing.T) {
	s, err := Open(Config{ID: "only", RolloutStatus: rolloutStatusOf("only")})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if r, err := s.Rollout(3, time.Second); err != nil || r.Subscribers != 10 || !reflect.DeepEqual(r.Answered, []string{"only"}) {
		t.Errorf("%+v, %v", r, err)
	}
}
