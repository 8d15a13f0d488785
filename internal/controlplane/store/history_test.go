package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"aspenshed/internal/controlplane/catalog"
)

// All instances increment counters while leaders are killed and partitioned: an acknowledged increment is applied once,
// a refused one never, and one with an unknown result at most once.
func TestBatchesAreAppliedOnce(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
	c.leader()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b", "c"} {
		for w := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key, acknowledged, unknown := fmt.Sprint(id, w), uint64(0), uint64(0)
				for {
					select {
					case <-stop:
						c.waitFor("the count of "+key, func() (ok bool) {
							s := c.store(id)
							if s == nil {
								return false
							}
							err := s.ReadLatest(waitTimeout, func(x *catalog.Catalog) {
								v := x.Pair(key).GetVersion()
								ok = v >= acknowledged && v <= acknowledged+unknown
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
					switch r, err := s.Submit(setCommand(key, "x"), 2*time.Second); {
					case err == nil && r.Refused == "":
						acknowledged++
					case errors.Is(err, ErrUnknown):
						unknown++
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
		c.setBlocked(true, []string{id}, rest)
		c.setBlocked(true, rest, []string{id})
		c.waitFor("another leader", func() bool { return c.leader() != id })
		c.setBlocked(false, rest, rest)
	}
	close(stop)
	wg.Wait()
	c.waitForEqual(nil)
}

// Puts and ReadLatest are linearizable while leaders are killed and partitioned.
func TestLinearizable(t *testing.T) {
	c := newVotingCluster(t, "a", "b", "c")
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
					r, err := s.Submit(setCommand("k", v), time.Second)
					op.Input, op.Output = in{true, v}, ""
					if op.Return = int64(time.Since(begin)); errors.Is(err, ErrUnknown) {
						op.Return = 1 << 62 // it may be applied at any later time
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
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond) // limits the rate of operations
			}
		}()
	}
	rest := []string{"a", "b", "c"}
	more := func() {
		mu.Lock()
		n := len(history) + 25
		mu.Unlock()
		c.waitFor("more operations", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) >= n
		})
	}
	for range 2 {
		more()
		id := c.leader()
		c.setBlocked(true, []string{id}, rest)
		c.waitFor("another leader", func() bool { return c.leader() != id })
		more()
		c.setBlocked(false, rest, rest)
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
	if got := porcupine.CheckOperationsTimeout(model, history, waitTimeout); got != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), got)
	}
}
