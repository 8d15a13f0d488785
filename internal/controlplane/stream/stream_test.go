package stream

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/protocol/frame"
)

// A client gets the state, then changes, and acknowledges what is in force.
func TestSnapshotThenChanges(t *testing.T) {
	clock := newStepClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, []revision.Record{pair("a", "1"), pair("b", "1")})
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.until(t, clock, 5)
	if u := <-client.updates; !u.Full || u.Revision != 5 {
		t.Errorf("first update %+v", u)
	}
	server.Publish(6, []revision.Change{set(6, "a", "2")})
	client.until(t, clock, 6)
	if u := <-client.updates; u.Full || len(u.Changes) != 1 {
		t.Errorf("second update %+v", u)
	}
	if got := client.Stats().Digest; got != digestOf("a", "2", "b", "1") {
		t.Errorf("digest %x", got)
	}
	client.InForce(6, nil)
	eventually(t, clock, "in force known", func() bool {
		r := server.Rollout(6)
		return r.GetInForce() == 1 && r.GetSubscribers() == 1
	})
}

// A client that has lost its server goes on at another from the revision that it has, without a snapshot.
func TestMovesToAnotherServerAndResumes(t *testing.T) {
	clock := newStepClock()
	records := []revision.Record{pair("a", "1"), pair("b", "1")}
	servers := map[string]*testServer{}
	for range 2 {
		s := startServer(t, clock, "127.0.0.1:0", nil)
		s.Reset(5, records)
		servers[s.Addr()] = s
	}
	client := startClient(t, clock, "g1", nil, slices.Collect(maps.Keys(servers))...)
	client.until(t, clock, 5)
	first := client.Stats().Server
	servers[first].Stop()
	delete(servers, first)
	for _, s := range servers {
		change := set(7, "a", "2")
		change.Before = &records[0]
		s.Publish(7, []revision.Change{change})
	}
	client.until(t, clock, 7)
	stats := client.Stats()
	if stats.Snapshots != 1 || stats.Server == first || stats.Digest != digestOf("a", "2", "b", "1") {
		t.Errorf("%+v", stats)
	}
	if lost, established := client.logs.count("control stream lost"), client.logs.count("control stream established"); lost > 1 || established != 1 {
		t.Errorf("logged %d losses, %d recoveries", lost, established)
	}
}

// A server that comes back at the same address serves its subscribers again, and a client keeps its state meanwhile.
func TestServerRestart(t *testing.T) {
	clock := newStepClock()
	first := startServer(t, clock, "127.0.0.1:0", nil)
	first.Reset(5, []revision.Record{pair("a", "1")})
	client := startClient(t, clock, "g1", nil, first.Addr())
	client.until(t, clock, 5)
	first.Stop()
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	if got := client.Stats().Digest; got != digestOf("a", "1") {
		t.Errorf("without a server the client holds %x", got)
	}
	second := startServer(t, clock, first.Addr(), nil)
	second.Reset(9, []revision.Record{pair("a", "9")})
	client.until(t, clock, 9)
	if got := client.Stats(); got.Digest != digestOf("a", "9") || got.Snapshots != 2 {
		t.Errorf("%+v", got)
	}
}

// A subscriber that reads nothing is closed with the reason; what others get is not delayed meanwhile.
func TestASlowReaderIsClosed(t *testing.T) {
	clock := newStepClock()
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) { c.Machine.StallTimeout = 4e9 })
	large := make([]revision.Record, 64)
	for i := range large {
		large[i] = pair(fmt.Sprint("k", i), strings.Repeat("x", 32<<10))
	}
	server.Reset(5, large)
	slow := dialRaw(t, server.Addr())
	slow.send(subscribe("slow", "test"))
	eventually(t, clock, "the slow one's subscription", func() bool { return len(server.Subscribers()) == 1 })
	quick := startClient(t, clock, "quick", nil, server.Addr())
	quick.until(t, clock, 5)
	for rev := uint64(6); server.logs.count("subscriber closed") == 0; rev++ {
		if rev > 10_000 {
			t.Fatal("the slow reader is still there")
		}
		change := set(rev, "k0", fmt.Sprint(rev))
		change.Binding = true
		server.Publish(rev, []revision.Change{change})
		quick.until(t, clock, rev)
	}
	if got := server.Subscribers(); len(got) != 1 || got[0].Subscriber != "quick" {
		t.Errorf("left: %+v", got)
	}
	eventually(t, clock, "its connection's end", func() bool { return server.Stats().Connections == 1 })
}

// Whatever comes from a subscriber that is no good, it is told the reason, and neither the state nor others suffer.
func TestBadFrames(t *testing.T) {
	noBody, err := frame.Append(nil, &pb.SubscriberFrame{})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		bytes   []byte
		reason  pb.Closing_Reason
		message string
	}{
		"over the limit":           {[]byte{0, 64, 0, 1}, pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"no length":                {[]byte("GET / HTTP/1.1\r\n\r\n"), pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"no protobuf":              {[]byte{0, 0, 0, 4, 255, 255, 255, 255}, pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"of unknown kind":          {noBody, pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"of a newer kind":          {[]byte{0, 0, 0, 2, 0x7a, 0}, pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"before it has subscribed": {encoded(t, ack(1)), pb.Closing_BAD_FRAME, "subscriber sent bad input, nothing changed"},
		"an absurd ack": {slices.Concat(encoded(t, subscribe("x", "test")), encoded(t, ack(1e9))), pb.Closing_BAD_FRAME,
			"subscriber sent bad input, nothing changed"},
		"of another cluster": {encoded(t, subscribe("x", "other")), pb.Closing_WRONG_CLUSTER, "subscriber sent bad input, nothing changed"},
		"from the future":    {encoded(t, future("x")), pb.Closing_FUTURE_REVISION, "subscriber closed"},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newStepClock()
			server := startServer(t, clock, "127.0.0.1:0", nil)
			server.Reset(5, []revision.Record{pair("a", "1")})
			raw := dialRaw(t, server.Addr())
			raw.write(c.bytes)
			closing := raw.closing()
			if closing.GetReason() != c.reason || closing.GetDetail() == "" {
				t.Errorf("closed with %v", closing)
			}
			if server.logs.count(c.message) != 1 {
				t.Errorf("%q was not logged once: %v", c.message, server.logs.hook.AllEntries())
			}
			client := startClient(t, clock, "g1", nil, server.Addr())
			client.until(t, clock, 5)
			if got := client.Stats().Digest; got != digestOf("a", "1") {
				t.Errorf("digest %x", got)
			}
		})
	}
}

// A server that sends what is no good is left for another; what the client holds stays.
func TestBadServer(t *testing.T) {
	clock := newStepClock()
	bad, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	go answerWith(bad, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
	good := startServer(t, clock, "127.0.0.1:0", nil)
	good.Reset(5, []revision.Record{pair("a", "1")})
	client := startClient(t, clock, "g1", nil, bad.Addr().String())
	const badInput = "control stream: bad input from the server, nothing changed"
	eventually(t, clock, "the bad server's line", func() bool { return client.logs.count(badInput) > 0 })
	client.SetServers([]string{good.Addr(), bad.Addr().String()})
	client.until(t, clock, 5)
}

// A batch goes up and its answer comes back to who waits for it; without a server it is refused at once.
func TestSubmit(t *testing.T) {
	clock := newStepClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.until(t, clock, 5)
	batch := &catalogpb.Batch{Commands: []*catalogpb.Command{{Origin: "g1/1", Seq: 1}, {Origin: "g1/1", Seq: 2}}}
	reply, err := client.Submit(batch, testLimit)
	if err != nil || len(reply.GetResults()) != 2 {
		t.Fatalf("%v, %v", reply, err)
	}
	if got := <-server.batches; !proto.Equal(got, batch) {
		t.Errorf("carried %v", got)
	}
	server.Stop()
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	if _, err := client.Submit(batch, testLimit); !errors.Is(err, subscription.ErrNotConnected) {
		t.Errorf("without a server: %v", err)
	}
	client.Stop()
	if _, err := client.Submit(batch, testLimit); !errors.Is(err, subscription.ErrStopped) {
		t.Errorf("after the end: %v", err)
	}
}

// Batches beyond what the leader takes wait, within bounds, and all are answered.
func TestManyBatchesWait(t *testing.T) {
	clock := newStepClock()
	release := make(chan struct{})
	var most, now atomic.Int64
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) {
		c.Forward = func(b *catalogpb.Batch) *catalogpb.Reply {
			most.Store(max(most.Load(), now.Add(1)))
			<-release
			now.Add(-1)
			return &catalogpb.Reply{Results: make([]*catalogpb.Result, len(b.Commands))}
		}
	})
	server.Reset(5, nil)
	const clients, each = 3, 40
	errs := make(chan error, clients*each)
	for i := range clients {
		client := startClient(t, clock, fmt.Sprint("g", i), nil, server.Addr())
		client.until(t, clock, 5)
		for range each {
			go func() {
				_, err := client.Submit(&catalogpb.Batch{Commands: []*catalogpb.Command{{}}}, testLimit)
				errs <- err
			}()
		}
	}
	eventually(t, clock, "as many under way as may be", func() bool { return now.Load() == maxConcurrentBatches })
	close(release)
	for range clients * each {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if most.Load() > maxConcurrentBatches {
		t.Errorf("%d batches were under way at once", most.Load())
	}
}

// A loop that stands still while commits pour in reads the state anew, and its subscribers get all of it.
func TestTheFeedOverflows(t *testing.T) {
	clock := newStepClock()
	const last = 100
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) {
		c.Records = func() (uint64, []revision.Record) { return last, []revision.Record{pair("a", "last")} }
	})
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.until(t, clock, 5)
	hold, held := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() { close(held); <-hold })
	<-held
	value := strings.Repeat("x", 1<<20)
	for rev := uint64(6); rev <= last; rev++ {
		server.Publish(rev, []revision.Change{set(rev, fmt.Sprint("k", rev), value)})
	}
	close(hold)
	client.until(t, clock, last)
	if got := client.Stats().Digest; got != digestOf("a", "last") {
		t.Errorf("digest %x", got)
	}
	if server.Stats().Overflows != 1 || server.logs.count(messageQueueOverflow) != 1 {
		t.Errorf("%+v", server.Stats())
	}
	server.Publish(last+1, []revision.Change{set(last+1, "a", "after")})
	client.until(t, clock, last+1)
}

// A defect ends that end of the stream alone, and is logged once.
func TestADefectEndsTheServerAlone(t *testing.T) {
	clock := newStepClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.until(t, clock, 5)
	server.loop.Post(func() { panic("a defect") })
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	server.Publish(6, nil) // the replicated log goes on
	if server.Rollout(0); server.logs.count(messageServerFailed) != 1 {
		t.Errorf("logged %d times", server.logs.count(messageServerFailed))
	}
}

// What goes over the sockets is counted alike at both ends.
func TestTrafficIsCounted(t *testing.T) {
	clock := newStepClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, []revision.Record{pair("a", "1")})
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.until(t, clock, 5)
	eventually(t, clock, "equal counts", func() bool {
		c, s := client.Stats(), server.Stats()
		return c.BytesOut == s.BytesIn && c.BytesIn == s.BytesOut && c.MessagesOut == s.MessagesIn && c.MessagesIn == s.MessagesOut &&
			c.BytesIn > 0 && c.MessagesIn >= 3
	})
}
