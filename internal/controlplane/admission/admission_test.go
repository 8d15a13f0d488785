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

// Checks that many concurrent clients are admitted at the bucket's rate, all of them within the time that their bytes
// take, and that none is rejected more than once, whatever the clock's zero. Without reservations, later arrivals would
// starve clients that are already waiting.
func TestConcurrentClientsAreAdmittedInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		clients, size := rapid.IntRange(1, 200).Draw(t, "clients"), rapid.IntRange(1, 5000).Draw(t, "size")
		const rate, burst = 20000.0, 10000.0
		zero := aspenshed.Nanos(rng.Int64N(2e18) - 1e18)
		b := NewBucket(rate, burst)
		retryAt, rejections := make([]aspenshed.Nanos, clients), make([]int, clients)
		for i := range retryAt {
			retryAt[i] = zero
		}
		admitted, left := 0, clients
		for now := zero; left > 0; now += second / 20 {
			for i, at := range retryAt {
				if now < at {
					continue
				}
				ok, wait := b.Admit(now, fmt.Sprint(i), size, rng.Float64())
				if ok {
					retryAt[i], left = 1<<63-1, left-1
					admitted += size
					continue
				}
				if wait <= 0 {
					t.Fatalf("rejected without a wait")
				}
				rejections[i]++
				retryAt[i] = now + wait
			}
			elapsed := float64(now-zero) / 1e9
			if got, most := float64(admitted), burst+rate*elapsed+float64(size); got > most {
				t.Fatalf("%.0f bytes admitted after %.2f s, more than %.0f", got, elapsed, most)
			}
			if limit := float64(clients*size)/rate*(1+jitterFraction) + 0.5; elapsed > limit {
				t.Fatalf("%d clients still wait after %.2f s; the limit is %.2f s", left, elapsed, limit)
			}
		}
		for i, n := range rejections {
			if n > 1 {
				t.Fatalf("client %d was rejected %d times", i, n)
			}
		}
	})
}

// A client that retries before its time makes no second reservation, and the ticket of one that never retries expires.
func TestTicketsAreReusedAndExpire(t *testing.T) {
	b := NewBucket(1000, 1000)
	if ok, _ := b.Admit(0, "a", 1000, 0); !ok {
		t.Fatal("a full bucket rejected its first client")
	}
	_, first := b.Admit(0, "b", 1000, 0)
	if _, again := b.Admit(second/2, "b", 1000, 0); first != second || again != second/2 || b.Tickets() != 1 {
		t.Errorf("wait %v, then %v, %d tickets", first, again, b.Tickets())
	}
	b.Admit(second+ticketTTL+2*second, "c", 1, 0)
	if b.Tickets() != 0 {
		t.Errorf("%d tickets after their expiry", b.Tickets())
	}
}

// The number and the wait of reservations are bounded: none is made that is more than a minute away.
func TestReservationsAreBounded(t *testing.T) {
	b := NewBucket(1000, 1000)
	for i := range 200 {
		if ok, wait := b.Admit(0, fmt.Sprint(i), 1000, 0.5); !ok && wait > 2*maxWait {
			t.Fatalf("client %d waits %v", i, wait)
		}
	}
	if b.Tickets() > 62 {
		t.Errorf("%d reservations", b.Tickets())
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	b := Backoff{Min: 100, Max: 1000}
	for failures, want := range []aspenshed.Nanos{100, 200, 400, 800, 1000, 1000} {
		if got := b.Delay(failures, 0.9999999); got != want-1 {
			t.Errorf("after %d failures the largest delay is %d, want %d", failures, got, want-1)
		}
	}
	if b.Delay(1<<40, 0.5) != 500 || b.Delay(3, 0) != 0 {
		t.Error("the jitter does not range from 0 to the bound")
	}
}
