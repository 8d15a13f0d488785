package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/mode"
)

// filled is the folder of one closed instance, with log and snapshots.
func filled(t *testing.T) Config {
	c := newCluster(t, "a")
	for i := range 200 {
		c.put("a", fmt.Sprint("k", i), "value")
	}
	c.until("a snapshot", func() bool {
		l, err := c.nodes["a"].store.snaps.List()
		return err == nil && len(l) > 0
	})
	c.kill("a")
	return c.nodes["a"].cfg
}

func copied(t *testing.T, cfg Config) Config {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(cfg.DataDir)); err != nil {
		t.Fatal(err)
	}
	cfg.DataDir = dir
	return cfg
}

// Damage of whichever file stops the instance, which names it; nothing is served from it.
func TestDamagedFilesStopTheInstance(t *testing.T) {
	cfg := filled(t)
	for _, x := range []struct {
		name, file string
		damage     func(path string) error
	}{
		{"a byte of an entry", logFile, func(path string) error {
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				return err
			}
			defer db.Close()
			return db.Update(func(tx *bbolt.Tx) error {
				b := tx.Bucket([]byte("logs"))
				cur := b.Cursor()
				k, v := cur.Last()
				for !bytes.Contains(v, []byte("value")) { // behind it come the store's own
					k, v = cur.Prev()
				}
				v = bytes.Clone(v)
				v[bytes.Index(v, []byte("value"))] ^= 1
				return b.Put(k, v)
			})
		}},
		{"the log cut short", logFile, func(path string) error { return os.Truncate(path, 9000) }},
		{"a byte of a snapshot", "state.bin", func(path string) error {
			b, err := os.ReadFile(path)
			if err == nil {
				b[len(b)/2] ^= 1
				err = os.WriteFile(path, b, 0o600)
			}
			return err
		}},
		{"a snapshot cut short", "state.bin", func(path string) error { return os.Truncate(path, 40) }},
		{"a snapshot's description", "meta.json", func(path string) error { return os.WriteFile(path, []byte("{"), 0o600) }},
		{"the identity", identityFile, func(path string) error { return os.WriteFile(path, []byte("?"), 0o600) }},
	} {
		bad := copied(t, cfg)
		hit := 0
		err := filepath.WalkDir(bad.DataDir, func(path string, d os.DirEntry, err error) error {
			if err == nil && d.Name() == x.file {
				hit++
				err = x.damage(path)
			}
			return err
		})
		if err != nil || hit == 0 {
			t.Fatalf("%s: %v, %d files", x.name, err, hit)
		}
		s, err := Open(bad)
		var de *DamageError
		if !errors.As(err, &de) || !strings.Contains(de.File, bad.DataDir) {
			t.Errorf("%s: %v", x.name, err)
		}
		if err == nil {
			_ = s.Close()
		}
	}
	other := copied(t, cfg)
	other.Cluster = "another"
	if _, err := Open(other); err == nil || !strings.Contains(err.Error(), `cluster "t"`) {
		t.Errorf("another cluster's folder: %v", err)
	}
	// Killed in the middle of a snapshot: what is half written counts for nothing.
	half := copied(t, cfg)
	if err := os.MkdirAll(filepath.Join(half.DataDir, "snapshots", "9-9-9.tmp"), 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := Open(half)
	if err != nil {
		t.Fatal(err)
	}
	if get(s, "k3") != "value" {
		t.Error("it does not hold what it held")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Counters written by all instances while leaders are killed and cut off: each step that is answered has been done
// once, each that is refused not at all, and one in doubt at most once.
func TestBatchesAreCarriedOutOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b", "c"} {
		for w := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key, sure, doubt := fmt.Sprint(id, w), uint64(0), uint64(0)
				for {
					select {
					case <-stop:
						c.until("the count of "+key, func() (ok bool) {
							s := c.store(id)
							if s == nil {
								return false
							}
							err := s.ReadLatest(patient, func(x *catalog.Catalog) {
								v := x.Pair(key).GetVersion()
								ok = v >= sure && v <= sure+doubt
							})
							return err == nil && ok
						})
						return
					default:
					}
					s := c.store(id)
					if s == nil {
						time.Sleep(time.Millisecond)
						continue
					}
					switch r, err := s.Submit(set(key, "x"), 2*time.Second); {
					case err == nil && r.Refused == "":
						sure++
					case errors.Is(err, ErrUnknown):
						doubt++
					}
				}
			}()
		}
	}
	for range 3 {
		id := c.leader()
		c.kill(id)
		c.leader()
		c.open(id)
		id = c.leader()
		rest := []string{"a", "b", "c"}
		c.split(true, []string{id}, rest)
		c.split(true, rest, []string{id})
		c.until("another leader", func() bool { return c.leader() != id })
		c.split(false, rest, rest)
	}
	close(stop)
	wg.Wait()
	c.equal(nil)
}

// Puts and reads of the latest are linearizable while leaders are killed and cut off.
func TestLinearizable(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	type in struct {
		put   bool
		value string
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for client, id := range []string{"a", "b", "c", "a", "b", "c"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := c.store(id)
				if s == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				op := porcupine.Operation{ClientId: client, Call: int64(time.Since(begin))}
				if rng.IntN(2) == 0 {
					v := fmt.Sprint(client, "-", i)
					r, err := s.Submit(set("k", v), time.Second)
					op.Input, op.Output = in{true, v}, ""
					if op.Return = int64(time.Since(begin)); errors.Is(err, ErrUnknown) {
						op.Return = 1 << 62 // it may be done at any time
					} else if err != nil || r.Refused != "" {
						continue
					}
				} else {
					got := ""
					if s.ReadLatest(time.Second, func(x *catalog.Catalog) { got = string(x.Pair("k").GetValue()) }) != nil {
						continue
					}
					op.Input, op.Output, op.Return = in{}, got, int64(time.Since(begin))
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond) // a pace, not an order
			}
		}()
	}
	rest := []string{"a", "b", "c"}
	more := func() {
		mu.Lock()
		n := len(history) + 25
		mu.Unlock()
		c.until("more operations", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) >= n
		})
	}
	for range 2 {
		more()
		id := c.leader()
		c.split(true, []string{id}, rest)
		c.until("another leader", func() bool { return c.leader() != id })
		more()
		c.split(false, rest, rest)
		id = c.leader()
		c.kill(id)
		c.leader()
		more()
		c.open(id)
	}
	more()
	close(stop)
	wg.Wait()
	model := porcupine.Model{Init: func() any { return "" }, Step: func(state, input, output any) (bool, any) {
		if x := input.(in); x.put {
			return true, x.value
		}
		return output == state, state
	}, Equal: func(a, b any) bool { return a == b }}
	if got := porcupine.CheckOperationsTimeout(model, history, patient); got != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), got)
	}
}

// socketCluster is three instances that speak over loopback, and how to start a further one.
func socketCluster(t *testing.T) (c *cluster, start func(cluster string, p Peer) *Store) {
	t.Helper()
	c = &cluster{t: t, nodes: map[string]*node{}}
	for _, id := range []string{"a", "b", "c"} {
		c.peers = append(c.peers, Peer{id, freeAddress(t), freeAddress(t)})
	}
	start = func(cluster string, p Peer) *Store {
		s, err := Open(Config{Cluster: cluster, ID: p.ID, Address: p.Address, Service: p.Service, Peers: c.peers, DataDir: t.TempDir(), Quick: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	for _, p := range c.peers {
		c.nodes[p.ID] = &node{store: start("t", p)}
	}
	return c, start
}

// freeAddress is an ephemeral port, given back for an instance.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A list of twice the planned fleet goes through a follower as one command: 2.6 MB, more than a connection queues
// unless it is told to.
func TestALongCommandOverSockets(t *testing.T) {
	c, _ := socketCluster(t)
	c.put(c.leader(), "k", "v")
	var fleet []string
	for i := range 42000 {
		fleet = append(fleet, fmt.Sprintf("database-%05d.some-zone", i))
	}
	c.until("the list", func() bool { // a leader that is replaced meanwhile leaves it in doubt: it is sent again
		r, err := c.nodes[c.follower()].store.Submit(upsert(fleet...), patient)
		return err == nil && r.Refused == ""
	})
	c.equal(map[string]string{"k": "v"})
	for _, s := range c.up() {
		s.Read(func(x *catalog.Catalog) {
			if n := len(x.Members()); n != len(fleet) {
				t.Errorf("%s holds %d members", s.ID(), n)
			}
		})
	}
}

// Over real sockets: writes are forwarded, an instance of another cluster is turned away at both doors, a snapshot
// saved by hand is restored, and a bad one changes nothing.
func TestOverSockets(t *testing.T) {
	c, start := socketCluster(t)
	peers := c.peers
	for _, p := range peers {
		c.put(p.ID, "k"+p.ID, "v")
	}
	c.equal(map[string]string{"ka": "v", "kb": "v", "kc": "v"})
	stranger := start("other", Peer{"x", freeAddress(t), freeAddress(t)})
	if r, err := stranger.call(peers[0].Service, &pb.Call{Body: &pb.Call_Join{Join: &pb.Join{Id: "x", Address: "y"}}}, patient); err != nil || !strings.Contains(r.Refused, `cluster "t"`) {
		t.Errorf("the stranger's call: %v %v", r, err)
	}
	l := &layer{cluster: "other"}
	if conn, err := l.Dial(raft.ServerAddress(peers[0].Address), patient); err == nil {
		t.Error("the stranger may replicate")
		conn.Close()
	}
	lead := c.nodes[c.leader()].store
	path := filepath.Join(t.TempDir(), "saved")
	if err := lead.Save(path); err != nil {
		t.Fatal(err)
	}
	c.put("a", "ka", "later")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Clone(good)
	bad[len(bad)-1] ^= 1
	if err := lead.Load(bad); !errors.Is(err, catalog.ErrDamaged) {
		t.Errorf("a damaged snapshot: %v", err)
	}
	if get(lead, "ka") != "later" {
		t.Error("a damaged snapshot changed something")
	}
	if err := lead.Load(good); err != nil {
		t.Fatal(err)
	}
	c.equal(map[string]string{"ka": "v"})
}

// Alone, in memory, it serves at once and opens no socket.
func TestAlone(t *testing.T) {
	s, err := Open(Config{ID: "only"})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := s.Submit(set("k", "v"), patient); err != nil || r.Version != 1 {
		t.Errorf("%v %v", r, err)
	}
	if s.Mode() != mode.Alone || get(s, "k") != "v" {
		t.Errorf("mode %v", s.Mode())
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := s.Submit(set("k", "v"), patient); !errors.Is(err, ErrClosed) && !errors.Is(err, ErrUnavailable) {
		t.Errorf("after its end: %v", err)
	}
}

// store is an instance's, or nil while it is down.
func (c *cluster) store(id string) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id].store
}
