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
type StoreOptions struct{ Writes, Failovers, Replaced, Members int }

// Figure is one result.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// stores is three instances of the store with real disks, in one process.
type stores struct {
	cfg   []store.Config
	s     []*store.Store
	trans []*raft.InmemTransport
}

func (x *stores) open(i int) (err error) {
	_, t := raft.NewInmemTransport(raft.ServerAddress(x.cfg[i].Address))
	x.trans[i], x.cfg[i].Transport = t, t
	for j, o := range x.trans {
		if o != nil && j != i {
			o.Connect(t.LocalAddr(), t)
			t.Connect(o.LocalAddr(), o)
		}
	}
	x.s[i], err = store.Open(x.cfg[i])
	return err
}

func (x *stores) leader() (at int, err error) {
	at = -1
	err = until("a leader", func() bool {
		for i, s := range x.s {
			if s != nil && s.Mode() == mode.Leading {
				at = i
			}
		}
		return at >= 0
	})
	return at, err
}

func (x *stores) stop() (err error) {
	for _, s := range x.s {
		if s != nil {
			err = errors.Join(err, s.Close())
		}
	}
	return err
}

// MeasureStore measures the store by itself: with the default time-outs, on this machine's disk.
func MeasureStore(o StoreOptions) (out []Figure, err error) {
	dir, err := os.MkdirTemp("", "store-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	x := &stores{s: make([]*store.Store, 3), trans: make([]*raft.InmemTransport, 3)}
	var peers []store.Peer
	for i := range 3 {
		service, err := daemon.FreeAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, store.Peer{ID: fmt.Sprint(i), Address: fmt.Sprint("r", i), Service: service})
	}
	for i, p := range peers {
		x.cfg = append(x.cfg, store.Config{Cluster: "measured", ID: p.ID, Address: p.Address, Service: p.Service, Peers: peers,
			DataDir: filepath.Join(dir, p.ID)})
		if err := x.open(i); err != nil {
			return nil, err
		}
	}
	defer func() { err = errors.Join(err, x.stop()) }()
	add := func(name string, v float64, unit string) { out = append(out, Figure{name, v, unit}) }
	lead, err := x.leader()
	if err != nil {
		return out, err
	}
	for what, i := range map[string]int{"leader": lead, "follower": (lead + 1) % 3} {
		h := hdrhistogram.New(1, 60e6, 3)
		for n := range o.Writes {
			begin := time.Now()
			if _, err := x.s[i].Submit(put(fmt.Sprint(n%100)), 10*time.Second); err != nil {
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
		other := x.s[(lead+1)%3]
		for j, t := range x.trans {
			if j != lead {
				t.Disconnect(x.trans[lead].LocalAddr())
			}
		}
		begin := time.Now()
		if err := x.s[lead].Close(); err != nil {
			return out, err
		}
		x.s[lead] = nil
		for done := false; !done; {
			_, err := other.Submit(put("after"), 20*time.Second)
			done = err == nil
		}
		_ = h.RecordValue(time.Since(begin).Microseconds())
		if err := x.open(lead); err != nil {
			return out, err
		}
		if err := until("its coming back", func() bool { return x.s[lead].Mode() == mode.Following }); err != nil {
			return out, err
		}
	}
	add("from a leader's end to the next write, median", float64(h.ValueAtQuantile(50))/1e6, "s")
	add("from a leader's end to the next write, longest", float64(h.Max())/1e6, "s")
	add("catalog after 1,000 replaced members", float64(sizeAfter(1000)), "bytes")
	add(fmt.Sprintf("catalog after %d replaced members", o.Replaced), float64(sizeAfter(o.Replaced)), "bytes")
	big := &pb.PutInventory{}
	if lead, err = x.leader(); err != nil {
		return out, err
	}
	x.s[lead].Read(func(c *catalog.Catalog) { big.Base = c.InventoryVersion() })
	for i := range o.Members {
		big.Members = append(big.Members, entry(i))
	}
	r, err := x.s[lead].Submit(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: big}}, 30*time.Second)
	if err != nil || r.Refused != "" {
		return out, fmt.Errorf("inventory: %v %v", r, err)
	}
	i := (lead + 1) % 3
	if err := until("the inventory everywhere", func() bool { return x.s[i].Status().Inventory == big.Base+1 }); err != nil {
		return out, err
	}
	if err := x.s[i].Close(); err != nil {
		return out, err
	}
	x.s[i] = nil
	begin := time.Now()
	if err := x.open(i); err != nil {
		return out, err
	}
	opened := time.Since(begin)
	err = until("the members", func() bool { return x.s[i].Status().Counts["members"] == o.Members })
	add(fmt.Sprintf("restart from disk with %d members: open", o.Members), opened.Seconds(), "s")
	add(fmt.Sprintf("restart from disk with %d members: all there", o.Members), time.Since(begin).Seconds(), "s")
	return out, err
}

func put(key string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte("a value of some length, as an operator writes")}}}
}

func entry(i int) *pb.Entry {
	return &pb.Entry{Id: fmt.Sprintf("db-%07d", i), Address: "10.1.2.3:6432", Site: "site-1", Group: int32(i / 6), Kind: "std-4core", State: "in_service"}
}

// sizeAfter is the size of a catalog of 20 members after so many have come and gone, one in each inventory.
func sizeAfter(replaced int) int {
	c := catalog.New("measured")
	p := &pb.PutInventory{}
	for i := range 20 {
		p.Members = append(p.Members, entry(i))
	}
	for n := range replaced {
		p.Base = c.InventoryVersion()
		p.Members = append(p.Members[1:], entry(20+n))
		c.Apply(uint64(n+1), &pb.Batch{Commands: []*pb.Command{{Origin: "w", Seq: uint64(n + 1), At: int64(1e18 + n*1e6), Body: &pb.Command_PutInventory{PutInventory: p}}}})
		c.TakeChanges() // as the store does after each entry
	}
	b, _ := c.Encode()
	return len(b)
}
