package scale

import (
	"bytes"
	"io"
	"maps"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscription"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

// Observer is the runner's own subscriber, without delays. It holds the state that the control plane distributes.
type Observer struct {
	net    *netio.Net
	client *stream.Client

	mu       sync.Mutex
	revision uint64
	records  map[string][]byte
}

// NewObserver subscribes to one of the servers.
func NewObserver(c Configure) (*Observer, error) {
	n, err := netio.New(netio.Config{Name: "observer", MaxDials: 2 * len(c.Servers)})
	if err != nil {
		return nil, err
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	o := &Observer{net: n, records: map[string][]byte{}}
	o.mu.Lock() // updates wait until the client is set
	defer o.mu.Unlock()
	o.client = stream.NewClient(stream.ClientConfig{
		Machine: subscription.ClientConfig{Cluster: c.Cluster, Subscriber: "observer", Boot: "1", Region: RegionName(0),
			Zone: zones[0].Name, Release: "scale", Servers: c.Servers, Seed: c.Seed},
		Network: stream.NewNetwork(n), Log: logrus.NewEntry(discard), Clock: eventloop.NewClock(), OnUpdate: o.applied,
	})
	return o, nil
}

// Close stops the observer.
func (o *Observer) Close() {
	o.client.Stop()
	o.net.Stop()
}

func (o *Observer) applied(u stream.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u.Full {
		clear(o.records)
		for r := range u.State.Records(revision.Scope{}) {
			o.records[r.Key] = bytes.Clone(r.Value)
		}
	}
	for _, c := range u.Changes {
		if c.Removed {
			delete(o.records, c.Key)
			continue
		}
		o.records[c.Key] = bytes.Clone(c.Value)
	}
	o.revision = u.Revision
	o.client.ReportApplied(u.Revision, nil)
}

// Revision returns the newest revision received.
func (o *Observer) Revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}

// Digest returns the current state as formatted by FormatDigest.
func (o *Observer) Digest() string {
	s := o.client.Stats()
	return FormatDigest(s.Revision, uint64(s.Digest))
}

// Pair returns the value of a key, or an empty string if the key is not set.
func (o *Observer) Pair(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := &pb.Pair{}
	if proto.Unmarshal(o.records[revision.PairPrefix+key], p) != nil {
		return ""
	}
	return string(p.Value)
}

// Records returns a copy of all records by key.
func (o *Observer) Records() map[string][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.records)
}
