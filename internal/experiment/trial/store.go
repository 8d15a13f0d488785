package trial

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/raft"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/experiment/loopback"
)

// StoreOptions are the numbers of operations and members that MeasureStore measures with.
type StoreOptions struct{ Writes, Failovers, ReplacedMembers, RestartMembers int }

// Measurement is one measured value.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// storeCluster is three instances of the store in one process, with their data on disk.
type storeCluster struct {
	configs    []store.Config
	instances  []*store.Store
	transports []*raft.InmemTransport
}

func (cluster *storeCluster) open(i int) (err error) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(cluster.configs[i].Address))
	cluster.transports[i], cluster.configs[i].Transport = t, t
	for j, o := range cluster.transports {
		if o != nil && j != i {
			o.Connect(t.LocalAddr(), t)
			t.Connect(o.LocalAddr(), o)
		}
	}
	cluster.instances[i], err = store.Open(cluster.configs[i])
	return err
}

func (cluster *storeCluster) leader() (at int, err error) {
	at = -1
	err = waitUntil("a leader", func() bool {
		for i, s := range cluster.instances {
			if s != nil && s.Mode() == mode.Leading {
				at = i
			}
		}
		return at >= 0
	})
	return at, err
}

func (cluster *storeCluster) stop() (err error) {
	for _, s := range cluster.instances {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// MeasureStore measures the store without gateways, with the default timeouts, on this machine's disk.
func MeasureStore(o StoreOptions) (results []Measurement, err error) {
	dir, err := os.MkdirTemp("", "store-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cluster := &storeCluster{instances: make([]*store.Store, 3), transports: make([]*raft.InmemTransport, 3)}
	var peers []store.Peer
	for i := range 3 {
		service, err := loopback.HoldAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, store.Peer{ID: fmt.Sprint(i), Address: fmt.Sprint("r", i), Service: service})
	}
	for i, p := range peers {
		cluster.configs = append(cluster.configs, store.Config{Cluster: "measured", ID: p.ID, Address: p.Address, Service: p.Service, Peers: peers,
			DataDir: filepath.Join(dir, p.ID)})
		if err := cluster.open(i); err != nil {
			return nil, err
		}
	}
	defer func() { err = errors.Join(err, cluster.stop()) }()
	add := func(name string, v float64, unit string) { results = append(results, Measurement{name, v, unit}) }
	lead, err := cluster.leader()
	if err != nil {
		return results, err
	}
	for what, i := range map[string]int{"leader": lead, "follower": (lead + 1) % 3} {
		h := hdrhistogram.New(1, 60e6, 3)
		for n := range o.Writes {
			start := time.Now()
			if _, err := cluster.instances[i].Submit(setCommand(fmt.Sprint(n%100)), 10*time.Second); err != nil {
				return results, err
			}
			_ = h.RecordValue(time.Since(start).Microseconds())
		}
		add("write at the "+what+", p50", float64(h.ValueAtQuantile(50))/1e3, "ms")
		add("write at the "+what+", p99", float64(h.ValueAtQuantile(99))/1e3, "ms")
	}
	h := hdrhistogram.New(1, 60e6, 3)
	for range o.Failovers {
		if lead, err = cluster.leader(); err != nil {
			return results, err
		}
		other := cluster.instances[(lead+1)%3]
		for j, t := range cluster.transports {
			if j != lead {
				t.Disconnect(cluster.transports[lead].LocalAddr())
			}
		}
		start := time.Now()
		if err := cluster.instances[lead].Close(); err != nil {
			return results, err
		}
		cluster.instances[lead] = nil
		for done := false; !done; {
			_, err := other.Submit(setCommand("after"), 20*time.Second)
			done = err == nil
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
		if err := cluster.open(lead); err != nil {
			return results, err
		}
		if err := waitUntil("the restarted instance to follow", func() bool {
			return cluster.instances[lead].Mode() == mode.Following
		}); err != nil {
			return results, err
		}
	}
	add("from a leader's end to the next write, median", float64(h.ValueAtQuantile(50))/1e6, "s")
	add("from a leader's end to the next write, longest", float64(h.Max())/1e6, "s")
	add("catalog after 1,000 replaced members", float64(catalogSizeAfter(1000)), "bytes")
	add(fmt.Sprintf("catalog after %d replaced members", o.ReplacedMembers), float64(catalogSizeAfter(o.ReplacedMembers)), "bytes")
	inventory := &pb.PutInventory{}
	if lead, err = cluster.leader(); err != nil {
		return results, err
	}
	cluster.instances[lead].Read(func(c *catalog.Catalog) { inventory.Base = c.InventoryVersion() })
	for i := range o.RestartMembers {
		inventory.Members = append(inventory.Members, inventoryEntry(i))
	}
	r, err := cluster.instances[lead].Submit(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: inventory}}, 30*time.Second)
	if err != nil || r.Refused != "" {
		return results, fmt.Errorf("inventory: %v %v", r, err)
	}
	i := (lead + 1) % 3
	if err := waitUntil("the inventory at the instance to be restarted", func() bool {
		return cluster.instances[i].Status().Inventory == inventory.Base+1
	}); err != nil {
		return results, err
	}
	if err := cluster.instances[i].Close(); err != nil {
		return results, err
	}
	cluster.instances[i] = nil
	start := time.Now()
	if err := cluster.open(i); err != nil {
		return results, err
	}
	opened := time.Since(start)
	err = waitUntil("the members", func() bool { return cluster.instances[i].Status().Counts["members"] == o.RestartMembers })
	add(fmt.Sprintf("restart from disk with %d members: open", o.RestartMembers), opened.Seconds(), "s")
	add(fmt.Sprintf("restart from disk with %d members: all there", o.RestartMembers), time.Since(start).Seconds(), "s")
	return results, err
}

func setCommand(key string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte("a value of some length, as an operator writes")}}}
}

func inventoryEntry(i int) *pb.Entry {
	return &pb.Entry{Id: fmt.Sprintf("db-%07d", i), Address: "10.1.2.3:6432", Site: "site-1", Group: int32(i / 6), Kind: "std-4core", State: "in_service"}
}

// catalogSizeAfter returns the encoded size of a catalog of 20 members after the given number of members was replaced,
// one in each inventory.
func catalogSizeAfter(replaced int) int {
	c := catalog.New("measured")
	p := &pb.PutInventory{}
	for i := range 20 {
		p.Members = append(p.Members, inventoryEntry(i))
	}
	for n := range replaced {
		p.Base = c.InventoryVersion()
		p.Members = append(p.Members[1:], inventoryEntry(20+n))
		c.Apply(uint64(n+1), &pb.Batch{Commands: []*pb.Command{{Origin: "w", Seq: uint64(n + 1), At: int64(1e18 + n*1e6), Body: &pb.Command_PutInventory{PutInventory: p}}}})
		c.TakeChanges() // as the store does after each log entry
	}
	b, _ := c.Encode()
	return len(b)
}
