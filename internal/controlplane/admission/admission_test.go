package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenshed"
)

const second = aspenshed.Nanos(time.Second)

// Guards that a herd gets in at the bucket's rate, everybody within the time that the bytes take, in about the order of
// coming, whatever the clock's zero; and that a stream of newcomers does not starve those with a promise.
func TestAHerdGetsInInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		herd, size := rapid.IntRange(1, 200).Draw(t, "herd"), rapid.IntRange(1, 5000).Draw(t, "size")
		const rate, burst = 20000.0, 10000.0
		zero := aspenshed.Nanos(rng.Int64N(2e18) - 1e18)
		b := NewBucket(rate, burst)
		due, turns := make([]aspenshed.Nanos, herd), make([]int, herd)
		for i := range due {
			due[i] = zero
		}
		admitted, left := 0, herd
		for now := zero; left > 0; now += second / 20 {
			for i, at := range due {
				if now < at {
					continue
				}
				ok, wait := b.Admit(now, fmt.Sprint(i), size, rng.Float64())
				if ok {
					due[i], left = 1<<63-1, left-1
					admitted += size
					continue
				}
				if wait <= 0 {
					t.Fatalf("turned away without a time")
				}
				turns[i]++
				due[i] = now + wait
			}
			elapsed := float64(now-zero) / 1e9
			if got, most := float64(admitted), burst+rate*elapsed+float64(size); got > most {
				t.Fatalf("%.0f bytes after %.2f s, over %.0f", got, elapsed, most)
			}
			if limit := float64(herd*size)/rate*(1+jitterFraction) + 0.5; elapsed > limit {
				t.Fatalf("%d still wait after %.2f s; the bytes take %.2f", left, elapsed, limit)
			}
		}
		for i, n := range turns {
			if n > 1 {
				t.Fatalf("%d was turned away %d times", i, n)
			}
		}
	})
}

// A client that asks again before its time reserves nothing more, and one that never comes back frees its ticket.
func TestTicketsAreNotDoubledAndExpire(t *testing.T) {
	b := NewBucket(1000, 1000)
	if ok, _ := b.Admit(0, "a", 1000, 0); !ok {
		t.Fatal("a full bucket turned its first comer away")
	}
	_, first := b.Admit(0, "b", 1000, 0)
	if _, again := b.Admit(second/2, "b", 1000, 0); first != second || again != second/2 || b.Tickets() != 1 {
		t.Errorf("%v, then %v, %d tickets", first, again, b.Tickets())
	}
	b.Admit(second+ticketTTL+2*second, "c", 1, 0)
	if b.Tickets() != 0 {
		t.Errorf("%d tickets are kept", b.Tickets())
	}
}

// What is promised is bounded: nobody is promised anything that is more than a minute away.
func TestPromisesAreBounded(t *testing.T) {
	b := NewBucket(1000, 1000)
	for i := range 200 {
		if ok, wait := b.Admit(0, fmt.Sprint(i), 1000, 0.5); !ok && wait > 2*maxWait {
			t.Fatalf("comer %d waits %v", i, wait)
		}
	}
	if b.Tickets() > 62 {
		t.Errorf("%d promises", b.Tickets())
	}
}

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	b := Backoff{Min: 100, Max: 1000}
	for failures, want := range []aspenshed.Nanos{100, 200, 400, 800, 1000, 1000} {
		if got := b.Delay(failures, 0.9999999); got != want-1 {
			t.Errorf("after %d failures at most %d, not %d", failures, got, want-1)
		}
	}
	if b.Delay(1<<40, 0.5) != 500 || b.Delay(3, 0) != 0 {
		t.Error("jitter is not from nothing up to the bound")
	}
}
