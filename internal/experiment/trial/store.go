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
	"aspenshed/internal/daemon"
)

// StoreOptions say how much is measured.
type StoreOptions struct{ Writes, Failovers, ReplacedMembers, RestartMembers int }

// Measurement is one result.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// storeCluster is three instances of the store with real disks, in one process.
type storeCluster struct {
	configs    []store.Config
	instances  []*store.Store
	transports []*raft.InmemTransport
}

func (x *storeCluster) open(i int) (err error) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(x.configs[i].Address))
	x.transports[i], x.configs[i].Transport = t, t
	for j, o := range x.transports {
		if o != nil && j != i {
			o.Connect(t.LocalAddr(), t)
			t.Connect(o.LocalAddr(), o)
		}
	}
	x.instances[i], err = store.Open(x.configs[i])
	return err
}

func (x *storeCluster) leader() (at int, err error) {
	at = -1
	err = waitUntil("a leader", func() bool {
		for i, s := range x.instances {
			if s != nil && s.Mode() == mode.Leading {
				at = i
			}
		}
		return at >= 0
	})
	return at, err
}

func (x *storeCluster) stop() (err error) {
	for _, s := range x.instances {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// MeasureStore measures the store by itself: with the default time-outs, on this machine's disk.
func MeasureStore(o StoreOptions) (out []Measurement, err error) {
	dir, err := os.MkdirTemp("", "store-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	x := &storeCluster{instances: make([]*store.Store, 3), transports: make([]*raft.InmemTransport, 3)}
	var peers []store.Peer
	for i := range 3 {
		service, err := daemon.FreeAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, store.Peer{ID: fmt.Sprint(i), Address: fmt.Sprint("r", i), Service: service})
	}
	for i, p := range peers {
		x.configs = append(x.configs, store.Config{Cluster: "measured", ID: p.ID, Address: p.Address, Service: p.Service, Peers: peers,
			DataDir: filepath.Join(dir, p.ID)})
		if err := x.open(i); err != nil {
			return nil, err
		}
	}
	defer func() { err = errors.Join(err, x.stop()) }()
	add := func(name string, v float64, unit string) { out = append(out, Measurement{name, v, unit}) }
	lead, err := x.leader()
	if err != nil {
		return out, err
	}
	for what, i := range map[string]int{"leader": lead, "follower": (lead + 1) % 3} {
		h := hdrhistogram.New(1, 60e6, 3)
		for n := range o.Writes {
			begin := time.Now()
			if _, err := x.instances[i].Submit(setCommand(fmt.Sprint(n%100)), 10*time.Second); err != nil {
				return out, err
			}
			_ = h.RecordValue(time.Since(begin).Microseconds())
		}
		add("write at the "+what+", p50", float64(h.ValueAtQuantile(50))/1e3, "ms")
		add("write at the "+what+", p99", float64(h.ValueAtQuantile(99))/1e3, "ms")
	}
	h := hdrhistogram.New(1, 60e6, 3)
	for range o.Failovers {
		if lead, err = x.leader(); err != nil {
			return out, err
		}
		other := x.instances[(lead+1)%3]
		for j, t := range x.transports {
			if j != lead {
				t.Disconnect(x.transports[lead].LocalAddr())
			}
		}
		begin := time.Now()
		if err := x.instances[lead].Close(); err != nil {
			return out, err
		}
		x.instances[lead] = nil
		for done := false; !done; {
			_, err := other.Submit(setCommand("after"), 20*time.Second)
			done = err == nil
		}
		_ = h.RecordValue(time.Since(begin).Microseconds())
		if err := x.open(lead); err != nil {
			return out, err
		}
		if err := waitUntil("its coming back", func() bool { return x.instances[lead].Mode() == mode.Following }); err != nil {
			return out, err
		}
	}
	add("from a leader's end to the next write, median", float64(h.ValueAtQuantile(50))/1e6, "s")
	add("from a leader's end to the next write, longest", float64(h.Max())/1e6, "s")
	add("catalog after 1,000 replaced members", float64(catalogSizeAfter(1000)), "bytes")
	add(fmt.Sprintf("catalog after %d replaced members", o.ReplacedMembers), float64(catalogSizeAfter(o.ReplacedMembers)), "bytes")
	big := &pb.PutInventory{}
	if lead, err = x.leader(); err != nil {
		return out, err
	}
	x.instances[lead].Read(func(c *catalog.Catalog) { big.Base = c.InventoryVersion() })
	for i := range o.RestartMembers {
		big.Members = append(big.Members, inventoryEntry(i))
	}
	r, err := x.instances[lead].Submit(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: big}}, 30*time.Second)
	if err != nil || r.Refused != "" {
		return out, fmt.Errorf("inventory: %v %v", r, err)
	}
	i := (lead + 1) % 3
	if err := waitUntil("the inventory everywhere", func() bool { return x.instances[i].Status().Inventory == big.Base+1 }); err != nil {
		return out, err
	}
	if err := x.instances[i].Close(); err != nil {
		return out, err
	}
	x.instances[i] = nil
	begin := time.Now()
	if err := x.open(i); err != nil {
		return out, err
	}
	opened := time.Since(begin)
	err = waitUntil("the members", func() bool { return x.instances[i].Status().Counts["members"] == o.RestartMembers })
	add(fmt.Sprintf("restart from disk with %d members: open", o.RestartMembers), opened.Seconds(), "s")
	add(fmt.Sprintf("restart from disk with %d members: all there", o.RestartMembers), time.Since(begin).Seconds(), "s")
	return out, err
}

func setCommand(key string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte("a value of some length, as an operator writes")}}}
}

func inventoryEntry(i int) *pb.Entry {
	return &pb.Entry{Id: fmt.Sprintf("db-%07d", i), Address: "10.1.2.3:6432", Site: "site-1", Group: int32(i / 6), Kind: "std-4core", State: "in_service"}
}

// catalogSizeAfter is the size of a catalog of 20 members after so many have come and gone, one in each inventory.
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
		c.TakeChanges() // as the store does after each entry
	}
	b, _ := c.Encode()
	return len(b)
}
