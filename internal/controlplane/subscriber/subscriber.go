// Package subscriber is a gateway's side of the control plane where it does not vote: a copy of the catalog, kept from
// the control stream, and a queue of commands that go up the same way. It needs no log and no disk. Without a server
// it goes on by what it last held.
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

// submitTimeout is for a batch to be agreed on: the leader's limit of 2 s, and the ways between regions.
const submitTimeout = 3 * time.Second

// maxDials are open at once: the connection, and ones that were given up and are not closed yet.
const maxDials = 8

// ErrNotVoter is returned for what only an instance of the store can do.
var ErrNotVoter = errors.New("this instance subscribes to the store and has no vote, log or disk; ask a voter")

// Config sets up a Subscriber.
type Config struct {
	Cluster, ID, Region, Zone, Release string
	Scope                              revision.Scope
	Servers                            []string
	Seed                               uint64
	// Pipelines name those that report what is in force. Without any, what is held is in force.
	Pipelines []string
	// CheckConfig says what is wrong with a configuration; nil: nothing ever is. One that is refused is not taken over.
	CheckConfig func(*pb.ConfigVersion) error
	// OnChange hears that the catalog has changed. It must not block; nil: nobody does.
	OnChange func()

	Log     *logrus.Entry   // nil: nowhere
	Clock   eventloop.Clock // nil: the wall's
	Network stream.Network  // nil: sockets
}

// Subscriber is one gateway's. Its methods may be called from any goroutine.
type Subscriber struct {
	config    Config
	boot      string
	client    *stream.Client
	queue     *commandqueue.Queue
	net       *netio.Net // nil: the network was given
	closing   chan struct{}
	workers   sync.WaitGroup
	closeOnce sync.Once

	mu      sync.RWMutex
	catalog *catalog.Catalog

	changed changedMembers
	inForce *inForceTracker
}

// Open starts a subscriber. It waits for nobody.
func Open(c Config) (*Subscriber, error) {
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	s := &Subscriber{config: c, boot: hex.EncodeToString(boot), closing: make(chan struct{}), catalog: catalog.New(c.Cluster),
		inForce: newInForceTracker(c.Pipelines)}
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
	ready := make(chan struct{}) // the client applies what comes from its own goroutine
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

// ID names this gateway.
func (s *Subscriber) ID() string { return s.config.ID }

// Boot is new with each start.
func (s *Subscriber) Boot() string { return s.boot }

// Read looks at the copy of the catalog. f must not keep what it sees nor change it.
func (s *Subscriber) Read(f func(*catalog.Catalog)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.catalog)
}

// ReadLatest is for instances that can ask the leader; a subscriber returns ErrNoVote.
func (s *Subscriber) ReadLatest(time.Duration, func(*catalog.Catalog)) error { return ErrNotVoter }

// Offer has a command carried out some time; a later one with the same key takes the place of one that still waits.
func (s *Subscriber) Offer(key string, c *pb.Command) { s.queue.Offer(key, c) }

// Submit has a command carried out and waits for its result.
func (s *Subscriber) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	return s.queue.Submit(c, limit)
}

// Waiting is the number of commands that have not gone up.
func (s *Subscriber) Waiting() int { return s.queue.Queued() }

// Stats counts what went over the stream, and tells where it stands.
func (s *Subscriber) Stats() stream.ClientStats { return s.client.Stats() }

// SetServers replaces the servers.
func (s *Subscriber) SetServers(servers []string) { s.client.SetServers(servers) }

// Close ends the stream. Callers that wait get commandqueue.ErrClosed or ErrUnknown.
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

// forward takes a batch up to the server that the stream is with, which takes it to the leader.
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

// neverSent reports whether a batch stayed here.
func neverSent(err error) bool {
	return errors.Is(err, subscription.ErrNotConnected) || errors.Is(err, subscription.ErrTooManySubmissions) || errors.Is(err, subscription.ErrStopped)
}
