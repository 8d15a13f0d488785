package stream

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// manualClock is a clock that a test advances.
type manualClock struct {
	mu    sync.Mutex
	now   aspenshed.Nanos
	loops []*eventloop.Loop
}

func newManualClock() *manualClock { return &manualClock{now: 1e18} }

func (c *manualClock) Now() aspenshed.Nanos {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// advance advances the clock and wakes all loops, so that they check their timers.
func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now += aspenshed.Nanos(d)
	loops := slices.Clone(c.loops)
	c.mu.Unlock()
	for _, l := range loops {
		l.Post(func() {})
	}
}

func (c *manualClock) attach(l *eventloop.Loop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loops = append(c.loops, l)
}

// logRecorder records log lines.
type logRecorder struct{ hook *logtest.Hook }

func newLogRecorder() (*logrus.Entry, *logRecorder) {
	log, hook := logtest.NewNullLogger()
	return logrus.NewEntry(log), &logRecorder{hook}
}

// count returns how often a message was logged.
func (l *logRecorder) count(message string) (n int) {
	for _, e := range l.hook.AllEntries() {
		if e.Message == message {
			n++
		}
	}
	return n
}

// testServer is a server that records the batches it receives.
type testServer struct {
	*Server
	logs    *logRecorder
	batches chan *catalogpb.Batch
}

func startServer(t *testing.T, clock *manualClock, listen string, change func(*ServerConfig)) *testServer {
	t.Helper()
	log, lines := newLogRecorder()
	x := &testServer{logs: lines, batches: make(chan *catalogpb.Batch, 1024)}
	c := ServerConfig{Listen: listen, Cluster: "test", Log: log, Clock: clock, Forward: func(b *catalogpb.Batch) *catalogpb.Reply {
		x.batches <- b
		return &catalogpb.Reply{Results: make([]*catalogpb.Result, len(b.Commands))}
	}}
	if change != nil {
		change(&c)
	}
	var err error
	if x.Server, err = NewServer(c); err != nil {
		t.Fatal(err)
	}
	clock.attach(x.loop)
	t.Cleanup(x.Stop)
	return x
}

// testClient is a client that records its updates.
type testClient struct {
	*Client
	logs    *logRecorder
	updates chan Update
}

var sharedNet = sync.OnceValues(func() (*netio.Net, error) { return netio.New(netio.Config{Name: "test", MaxDials: 1024}) })

func startClient(t *testing.T, clock *manualClock, name string, change func(*ClientConfig), servers ...string) *testClient {
	t.Helper()
	n, err := sharedNet()
	if err != nil {
		t.Fatal(err)
	}
	log, lines := newLogRecorder()
	x := &testClient{logs: lines, updates: make(chan Update, 1024)}
	c := ClientConfig{Network: NewNetwork(n), Log: log, Clock: clock, OnUpdate: func(u Update) { x.updates <- u },
		Machine: subscription.ClientConfig{Cluster: "test", Subscriber: name, Boot: "1", Servers: servers, Seed: 7}}
	if change != nil {
		change(&c)
	}
	x.Client = NewClient(c)
	clock.attach(x.loop)
	t.Cleanup(x.Stop)
	return x
}

// waitForRevision waits for a revision and advances the clock, as heartbeats, flushes and backoffs need it.
func (c *testClient) waitForRevision(t *testing.T, clock *manualClock, rev uint64) {
	t.Helper()
	eventually(t, clock, fmt.Sprint("revision ", rev), func() bool { return c.Stats().Revision >= rev })
}

// eventually advances the clock in steps until a condition holds.
func eventually(t *testing.T, clock *manualClock, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
		clock.advance(time.Millisecond)
		time.Sleep(200 * time.Microsecond) // sockets need real time: at least a fifth of the simulated time
	}
}

// pairRecord returns the record of a pair.
func pairRecord(key, value string) revision.Record {
	return revision.Record{Key: revision.PairPrefix + key, Value: []byte(value)}
}

func pairChange(rev uint64, key, value string) revision.Change {
	return revision.Change{Revision: rev, Record: pairRecord(key, value)}
}

// pairsDigest returns the digest of pairs, given as keys and values.
func pairsDigest(pairs ...string) (sum revision.Digest) {
	for i := 0; i < len(pairs); i += 2 {
		sum += revision.Hash(revision.PairPrefix+pairs[i], []byte(pairs[i+1]))
	}
	return sum
}
