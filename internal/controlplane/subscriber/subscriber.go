// Package subscriber is the control plane client of a gateway that does not vote: a copy of the catalog that follows
// the control stream, and a queue of commands that are sent through the same stream. It needs no log and no disk.
// Without a server the copy is kept unchanged.
package subscriber

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/commandqueue"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

// submitTimeout is the time for a batch to be committed: the leader's limit of 2 s, and the round trips between
// regions.
const submitTimeout = 3 * time.Second

// maxDials bounds the open dials: the connection, and cancelled ones that are not closed yet.
const maxDials = 8

// ErrNotVoter is returned for operations that only an instance of the store can perform.
var ErrNotVoter = errors.New("this instance subscribes to the store and has no vote, log or disk; ask a voter")

// Config configures a Subscriber.
type Config struct {
	Cluster, ID, Region, Zone, Release string
	Scope                              revision.Scope
	Servers                            []string
	Seed                               uint64
	// Pipelines names those that report the revision that they have applied. Without any, a revision is applied once the
	// catalog has it.
	Pipelines []string
	// CheckConfig returns an error for an invalid configuration, which is then refused; nil: every one is valid.
	CheckConfig func(*pb.ConfigVersion) error
	// OnChange is called after each change of the catalog. It must not block; nil: not called.
	OnChange func()

	Log     *logrus.Entry   // nil: discarded
	Clock   eventloop.Clock // nil: the system clock
	Network stream.Network  // nil: sockets
}

// Subscriber is one gateway's control plane client. Its methods may be called from any goroutine.
type Subscriber struct {
	config    Config
	boot      string
	client    *stream.Client
	queue     *commandqueue.Queue
	net       *netio.Net // nil: Config.Network is used
	closing   chan struct{}
	workers   sync.WaitGroup
	closeOnce sync.Once

	mu      sync.RWMutex
	catalog *catalog.Catalog

	changed changedMembers
	applied *appliedTracker
}

// Open starts a subscriber. It does not wait for a connection.
func Open(c Config) (*Subscriber, error) {
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	s := &Subscriber{config: c, boot: hex.EncodeToString(boot), closing: make(chan struct{}), catalog: catalog.New(c.Cluster),
		applied: newAppliedTracker(c.Pipelines)}
	if s.config.OnChange == nil {
		s.config.OnChange = func() {}
	}
	if s.config.Network == nil {
		var err error
		if s.net, err = netio.New(netio.Config{Name: "control", MaxDials: maxDials}); err != nil {
			return nil, err
		}
		s.config.Network = stream.NewNetwork(s.net)
	}
	ready := make(chan struct{}) // closed once s is complete: OnUpdate runs on the client's goroutine
	machine := subscription.ClientConfig{Cluster: c.Cluster, Subscriber: c.ID, Boot: s.boot, Region: c.Region, Zone: c.Zone,
		Release: c.Release, Scope: c.Scope, Servers: c.Servers, Seed: c.Seed}
	s.client = stream.NewClient(stream.ClientConfig{Machine: machine, Network: s.config.Network, Log: c.Log, Clock: c.Clock,
		OnUpdate: func(u stream.Update) {
			<-ready
			s.apply(u)
		}})
	s.queue = commandqueue.New(c.ID+"/"+s.boot, s.forward, s.closing)
	close(ready)
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		s.queue.Run()
	}()
	return s, nil
}

// ID returns the id of this gateway.
func (s *Subscriber) ID() string { return s.config.ID }

// Boot returns an id that is new with each start.
func (s *Subscriber) Boot() string { return s.boot }

// Read calls f with the copy of the catalog. f must neither retain nor change it.
func (s *Subscriber) Read(f func(*catalog.Catalog)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.catalog)
}

// ReadLatest is for instances that can ask the leader; a subscriber returns ErrNotVoter.
func (s *Subscriber) ReadLatest(time.Duration, func(*catalog.Catalog)) error { return ErrNotVoter }

// Offer queues a command to be executed later; a newer one with the same key replaces one that is still queued.
func (s *Subscriber) Offer(key string, c *pb.Command) { s.queue.Offer(key, c) }

// Submit queues a command and waits for its result.
func (s *Subscriber) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	return s.queue.Submit(c, limit)
}

// Waiting returns the number of commands that have not been sent.
func (s *Subscriber) Waiting() int { return s.queue.Queued() }

// Stats returns the traffic and the state of the stream.
func (s *Subscriber) Stats() stream.ClientStats { return s.client.Stats() }

// SetServers replaces the servers.
func (s *Subscriber) SetServers(servers []string) { s.client.SetServers(servers) }

// Close ends the stream. Waiting callers get commandqueue.ErrClosed or ErrUnknown.
func (s *Subscriber) Close() {
	s.closeOnce.Do(func() {
		close(s.closing)
		s.client.Stop()
		s.workers.Wait()
		if s.net != nil {
			s.net.Stop()
		}
	})
}

// forward sends a batch to the connected server, which forwards it to the leader.
func (s *Subscriber) forward(b *pb.Batch) (results []*pb.Result, mayHaveRun bool, err error) {
	reply, err := s.client.Submit(b, submitTimeout)
	switch {
	case err != nil:
		return nil, !neverSent(err), err
	case reply.GetRefused() != "":
		return nil, !reply.Retry, errors.New(reply.Refused)
	}
	return reply.GetResults(), true, nil
}

// neverSent reports whether an error means that the batch was not sent.
func neverSent(err error) bool {
	return errors.Is(err, subscription.ErrNotConnected) || errors.Is(err, subscription.ErrTooManySubmissions) || errors.Is(err, subscription.ErrStopped)
}
