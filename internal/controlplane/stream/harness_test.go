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

// testLimit ends a test that waits in vain.
const testLimit = 20 * time.Second

// stepClock stands still until a test advances it.
type stepClock struct {
	mu    sync.Mutex
	now   aspenshed.Nanos
	loops []*eventloop.Loop
}

func newStepClock() *stepClock { return &stepClock{now: 1e18} }

func (c *stepClock) Now() aspenshed.Nanos {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// advance moves the clock and has all loops look at their timers.
func (c *stepClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now += aspenshed.Nanos(d)
	loops := slices.Clone(c.loops)
	c.mu.Unlock()
	for _, l := range loops {
		l.Post(func() {})
	}
}

func (c *stepClock) drives(l *eventloop.Loop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loops = append(c.loops, l)
}

// logs collects lines.
type logs struct{ hook *logtest.Hook }

func newLogs() (*logrus.Entry, *logs) {
	log, hook := logtest.NewNullLogger()
	return logrus.NewEntry(log), &logs{hook}
}

// count is how often a message was logged.
func (l *logs) count(message string) (n int) {
	for _, e := range l.hook.AllEntries() {
		if e.Message == message {
			n++
		}
	}
	return n
}

// testServer is a server with what it was given.
type testServer struct {
	*Server
	logs    *logs
	batches chan *catalogpb.Batch
}

func startServer(t *testing.T, clock *stepClock, listen string, change func(*ServerConfig)) *testServer {
	t.Helper()
	log, lines := newLogs()
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
	clock.drives(x.loop)
	t.Cleanup(x.Stop)
	return x
}

// testClient is a client and what it has applied.
type testClient struct {
	*Client
	logs    *logs
	updates chan Update
}

var sharedNet = sync.OnceValues(func() (*netio.Net, error) { return netio.New(netio.Config{Name: "test", MaxDials: 1024}) })

func startClient(t *testing.T, clock *stepClock, name string, change func(*ClientConfig), servers ...string) *testClient {
	t.Helper()
	n, err := sharedNet()
	if err != nil {
		t.Fatal(err)
	}
	log, lines := newLogs()
	x := &testClient{logs: lines, updates: make(chan Update, 1024)}
	c := ClientConfig{Network: NewNetwork(n), Log: log, Clock: clock, OnUpdate: func(u Update) { x.updates <- u },
		Machine: subscription.ClientConfig{Cluster: "test", Subscriber: name, Boot: "1", Servers: servers, Seed: 7}}
	if change != nil {
		change(&c)
	}
	x.Client = NewClient(c)
	clock.drives(x.loop)
	t.Cleanup(x.Stop)
	return x
}

// until waits for a revision; the clock goes on meanwhile as heartbeats, flushes and backoffs need it.
func (c *testClient) until(t *testing.T, clock *stepClock, rev uint64) {
	t.Helper()
	eventually(t, clock, fmt.Sprint("revision ", rev), func() bool { return c.Stats().Revision >= rev })
}

// eventually advances the clock step by step until something holds.
func eventually(t *testing.T, clock *stepClock, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testLimit, what)
		}
		clock.advance(time.Millisecond)
		time.Sleep(200 * time.Microsecond) // the sockets need real time: a fifth of what the clock shows, or more
	}
}

// pair is a record of a key.
func pair(key, value string) revision.Record {
	return revision.Record{Key: revision.PairPrefix + key, Value: []byte(value)}
}

func set(rev uint64, key, value string) revision.Change {
	return revision.Change{Revision: rev, Record: pair(key, value)}
}

// digestOf is that of pairs of keys and values.
func digestOf(pairs ...string) (sum revision.Digest) {
	for i := 0; i < len(pairs); i += 2 {
		sum += revision.Hash(revision.PairPrefix+pairs[i], []byte(pairs[i+1]))
	}
	return sum
}
