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

// Observer is a subscriber of the runner's own, without delays: it knows what the control plane distributes.
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
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	o := &Observer{net: n, records: map[string][]byte{}}
	o.mu.Lock() // what is applied waits until the client is known
	defer o.mu.Unlock()
	o.client = stream.NewClient(stream.ClientConfig{
		Machine: subscription.ClientConfig{Cluster: c.Cluster, Subscriber: "observer", Boot: "1", Region: RegionName(0),
			Zone: zones[0].Name, Release: "scale", Servers: c.Servers, Seed: c.Seed},
		Network: stream.NewNetwork(n), Log: logrus.NewEntry(silent), Clock: eventloop.NewClock(), OnUpdate: o.applied,
	})
	return o, nil
}

// Close ends it.
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
	o.client.InForce(u.Revision, nil)
}

// Revision is the newest that it has.
func (o *Observer) Revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}

// Digest names the state that it has.
func (o *Observer) Digest() string {
	s := o.client.Stats()
	return FormatDigest(s.Revision, uint64(s.Digest))
}

// Pair is a key's value; empty: there is none.
func (o *Observer) Pair(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := &pb.Pair{}
	if proto.Unmarshal(o.records[revision.PairPrefix+key], p) != nil {
		return ""
	}
	return string(p.Value)
}

// Records are all that it has, by key.
func (o *Observer) Records() map[string][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.records)
}
