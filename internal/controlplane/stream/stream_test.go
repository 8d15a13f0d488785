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

// A client receives the state, then changes, and acknowledges the revision that it has applied.
func TestSnapshotThenChanges(t *testing.T) {
	clock := newManualClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, []revision.Record{pairRecord("a", "1"), pairRecord("b", "1")})
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.waitForRevision(t, clock, 5)
	if u := <-client.updates; !u.Full || u.Revision != 5 {
		t.Errorf("first update %+v", u)
	}
	server.Publish(6, []revision.Change{pairChange(6, "a", "2")})
	client.waitForRevision(t, clock, 6)
	if u := <-client.updates; u.Full || len(u.Changes) != 1 {
		t.Errorf("second update %+v", u)
	}
	if got := client.Stats().Digest; got != pairsDigest("a", "2", "b", "1") {
		t.Errorf("digest %x", got)
	}
	client.ReportApplied(6, nil)
	eventually(t, clock, "the applied revision at the server", func() bool {
		r := server.Rollout(6)
		return r.GetInForce() == 1 && r.GetSubscribers() == 1
	})
}

// A client that has lost its server resumes at another from its revision, without a snapshot.
func TestClientMovesToAnotherServerAndResumes(t *testing.T) {
	clock := newManualClock()
	records := []revision.Record{pairRecord("a", "1"), pairRecord("b", "1")}
	servers := map[string]*testServer{}
	for range 2 {
		s := startServer(t, clock, "127.0.0.1:0", nil)
		s.Reset(5, records)
		servers[s.Addr()] = s
	}
	client := startClient(t, clock, "g1", nil, slices.Collect(maps.Keys(servers))...)
	client.waitForRevision(t, clock, 5)
	first := client.Stats().Server
	servers[first].Stop()
	delete(servers, first)
	for _, s := range servers {
		change := pairChange(7, "a", "2")
		change.Before = &records[0]
		s.Publish(7, []revision.Change{change})
	}
	client.waitForRevision(t, clock, 7)
	stats := client.Stats()
	if stats.Snapshots != 1 || stats.Server == first || stats.Digest != pairsDigest("a", "2", "b", "1") {
		t.Errorf("%+v", stats)
	}
	if lost, established := client.logs.count("control stream lost"), client.logs.count("control stream established"); lost > 1 || established != 1 {
		t.Errorf("logged %d losses, %d recoveries", lost, established)
	}
}

// A server that restarts at the same address serves its subscribers again; a client keeps its state in the meantime.
func TestServerRestart(t *testing.T) {
	clock := newManualClock()
	first := startServer(t, clock, "127.0.0.1:0", nil)
	first.Reset(5, []revision.Record{pairRecord("a", "1")})
	client := startClient(t, clock, "g1", nil, first.Addr())
	client.waitForRevision(t, clock, 5)
	first.Stop()
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	if got := client.Stats().Digest; got != pairsDigest("a", "1") {
		t.Errorf("digest without a server %x", got)
	}
	second := startServer(t, clock, first.Addr(), nil)
	second.Reset(9, []revision.Record{pairRecord("a", "9")})
	client.waitForRevision(t, clock, 9)
	if got := client.Stats(); got.Digest != pairsDigest("a", "9") || got.Snapshots != 2 {
		t.Errorf("%+v", got)
	}
}

// A subscriber that reads nothing is closed with the reason; other subscribers are not delayed.
func TestSlowReaderIsClosed(t *testing.T) {
	clock := newManualClock()
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) { c.Machine.StallTimeout = 4e9 })
	large := make([]revision.Record, 64)
	for i := range large {
		large[i] = pairRecord(fmt.Sprint("k", i), strings.Repeat("x", 32<<10))
	}
	server.Reset(5, large)
	slow := dialRaw(t, server.Addr())
	slow.send(subscribe("slow", "test"))
	eventually(t, clock, "the slow reader's subscription", func() bool { return len(server.Subscribers()) == 1 })
	quick := startClient(t, clock, "quick", nil, server.Addr())
	quick.waitForRevision(t, clock, 5)
	for rev := uint64(6); server.logs.count("subscriber session closed") == 0; rev++ {
		if rev > 10_000 {
			t.Fatal("the slow reader has not been closed")
		}
		change := pairChange(rev, "k0", fmt.Sprint(rev))
		change.Binding = true
		server.Publish(rev, []revision.Change{change})
		quick.waitForRevision(t, clock, rev)
	}
	if got := server.Subscribers(); len(got) != 1 || got[0].Subscriber != "quick" {
		t.Errorf("remaining subscribers: %+v", got)
	}
	eventually(t, clock, "the end of its connection", func() bool { return server.Stats().Connections == 1 })
}

// A subscriber that sends invalid input is told the reason, and neither the state nor others are affected.
func TestInvalidSubscriberInput(t *testing.T) {
	noBody, err := frame.Append(nil, &pb.SubscriberFrame{})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		bytes   []byte
		reason  pb.Closing_Reason
		message string
	}{
		"over the limit":       {[]byte{0, 64, 0, 1}, pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"no length":            {[]byte("GET / HTTP/1.1\r\n\r\n"), pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"no protobuf":          {[]byte{0, 0, 0, 4, 255, 255, 255, 255}, pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"unknown kind":         {noBody, pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"newer kind":           {[]byte{0, 0, 0, 2, 0x7a, 0}, pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"ack before subscribe": {encoded(t, ack(1)), pb.Closing_BAD_FRAME, "rejected invalid input from a subscriber"},
		"ack of unsent frames": {slices.Concat(encoded(t, subscribe("x", "test")), encoded(t, ack(1e9))), pb.Closing_BAD_FRAME,
			"rejected invalid input from a subscriber"},
		"another cluster": {encoded(t, subscribe("x", "other")), pb.Closing_WRONG_CLUSTER, "rejected invalid input from a subscriber"},
		"future revision": {encoded(t, subscribeAhead("x")), pb.Closing_FUTURE_REVISION, "subscriber session closed"},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newManualClock()
			server := startServer(t, clock, "127.0.0.1:0", nil)
			server.Reset(5, []revision.Record{pairRecord("a", "1")})
			raw := dialRaw(t, server.Addr())
			raw.write(c.bytes)
			closing := raw.readClosing()
			if closing.GetReason() != c.reason || closing.GetDetail() == "" {
				t.Errorf("closed with %v", closing)
			}
			if server.logs.count(c.message) != 1 {
				t.Errorf("%q was not logged once: %v", c.message, server.logs.hook.AllEntries())
			}
			client := startClient(t, clock, "g1", nil, server.Addr())
			client.waitForRevision(t, clock, 5)
			if got := client.Stats().Digest; got != pairsDigest("a", "1") {
				t.Errorf("digest %x", got)
			}
		})
	}
}

// A server that sends invalid input is left for another; the client keeps its state.
func TestInvalidServerInput(t *testing.T) {
	clock := newManualClock()
	bad, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	go respondWith(bad, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
	good := startServer(t, clock, "127.0.0.1:0", nil)
	good.Reset(5, []revision.Record{pairRecord("a", "1")})
	client := startClient(t, clock, "g1", nil, bad.Addr().String())
	const invalidInput = "control stream: rejected invalid input from the server"
	eventually(t, clock, "the log line about the invalid input", func() bool { return client.logs.count(invalidInput) > 0 })
	client.SetServers([]string{good.Addr(), bad.Addr().String()})
	client.waitForRevision(t, clock, 5)
}

// A batch is forwarded and its reply is returned to the caller; without a server it is refused at once.
func TestSubmit(t *testing.T) {
	clock := newManualClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.waitForRevision(t, clock, 5)
	batch := &catalogpb.Batch{Commands: []*catalogpb.Command{{Origin: "g1/1", Seq: 1}, {Origin: "g1/1", Seq: 2}}}
	reply, err := client.Submit(batch, testTimeout)
	if err != nil || len(reply.GetResults()) != 2 {
		t.Fatalf("%v, %v", reply, err)
	}
	if got := <-server.batches; !proto.Equal(got, batch) {
		t.Errorf("forwarded %v", got)
	}
	server.Stop()
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	if _, err := client.Submit(batch, testTimeout); !errors.Is(err, subscription.ErrNotConnected) {
		t.Errorf("without a server: %v", err)
	}
	client.Stop()
	if _, err := client.Submit(batch, testTimeout); !errors.Is(err, subscription.ErrStopped) {
		t.Errorf("after Stop: %v", err)
	}
}

// Batches beyond the limit of concurrent ones are queued, and all are answered.
func TestBatchesAreQueued(t *testing.T) {
	clock := newManualClock()
	release := make(chan struct{})
	var peak, now atomic.Int64
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) {
		c.Forward = func(b *catalogpb.Batch) *catalogpb.Reply {
			peak.Store(max(peak.Load(), now.Add(1)))
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
		client.waitForRevision(t, clock, 5)
		for range each {
			go func() {
				_, err := client.Submit(&catalogpb.Batch{Commands: []*catalogpb.Command{{}}}, testTimeout)
				errs <- err
			}()
		}
	}
	eventually(t, clock, "the maximum of concurrent batches", func() bool { return now.Load() == maxConcurrentBatches })
	close(release)
	for range clients * each {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if peak.Load() > maxConcurrentBatches {
		t.Errorf("%d batches were forwarded at once", peak.Load())
	}
}

// If the loop is blocked until the commit queue overflows, the server reloads the state and its subscribers receive all
// of it.
func TestCommitQueueOverflow(t *testing.T) {
	clock := newManualClock()
	const last = 100
	server := startServer(t, clock, "127.0.0.1:0", func(c *ServerConfig) {
		c.Records = func() (uint64, []revision.Record) { return last, []revision.Record{pairRecord("a", "last")} }
	})
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.waitForRevision(t, clock, 5)
	hold, held := make(chan struct{}), make(chan struct{})
	server.loop.Post(func() { close(held); <-hold })
	<-held
	value := strings.Repeat("x", 1<<20)
	for rev := uint64(6); rev <= last; rev++ {
		server.Publish(rev, []revision.Change{pairChange(rev, fmt.Sprint("k", rev), value)})
	}
	close(hold)
	client.waitForRevision(t, clock, last)
	if got := client.Stats().Digest; got != pairsDigest("a", "last") {
		t.Errorf("digest %x", got)
	}
	if server.Stats().Overflows != 1 || server.logs.count(messageQueueOverflow) != 1 {
		t.Errorf("%+v", server.Stats())
	}
	server.Publish(last+1, []revision.Change{pairChange(last+1, "a", "after")})
	client.waitForRevision(t, clock, last+1)
}

// A panic stops that end of the stream only, and is logged once.
func TestPanicStopsServerOnly(t *testing.T) {
	clock := newManualClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, nil)
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.waitForRevision(t, clock, 5)
	server.loop.Post(func() { panic("test panic") })
	eventually(t, clock, "the loss", func() bool { return !client.Stats().Subscribed })
	server.Publish(6, nil) // the replicated log continues
	if server.Rollout(0); server.logs.count(messageServerFailed) != 1 {
		t.Errorf("logged %d times", server.logs.count(messageServerFailed))
	}
}

// Both ends count the same traffic.
func TestTrafficIsCounted(t *testing.T) {
	clock := newManualClock()
	server := startServer(t, clock, "127.0.0.1:0", nil)
	server.Reset(5, []revision.Record{pairRecord("a", "1")})
	client := startClient(t, clock, "g1", nil, server.Addr())
	client.waitForRevision(t, clock, 5)
	eventually(t, clock, "equal counts", func() bool {
		c, s := client.Stats(), server.Stats()
		return c.BytesOut == s.BytesIn && c.BytesIn == s.BytesOut && c.MessagesOut == s.MessagesIn && c.MessagesIn == s.MessagesOut &&
			c.BytesIn > 0 && c.MessagesIn >= 3
	})
}
