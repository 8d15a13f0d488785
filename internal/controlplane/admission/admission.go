// Package admission limits the rate of transfers that are costly to serve to many clients at once. It has a token
// bucket of bytes, which tells each rejected client an individual time to retry, and exponential backoff with full
// jitter.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"aspenshed"
)

const (
	// maxTickets bounds the open reservations: more than twice the subscribers of one of five servers at the target
	// (480). Beyond it, a rejected client gets no reservation and has to compete again when it retries.
	maxTickets = 8192
	// maxWait is the longest wait of a reservation, ns. A client that would have to wait longer gets no reservation and
	// is told to retry within that time.
	maxWait = 60 * aspenshed.Nanos(time.Second)
	// ticketTTL is how long after its start time a reservation can be used, ns: longer than a reconnect takes that fails
	// once. The bytes of a reservation that is not used by then are not returned to the bucket.
	ticketTTL = 15 * aspenshed.Nanos(time.Second)
	// jitterFraction is the largest part of a wait that is added to it at random, so that clients with equal waits don't
	// retry at the same time.
	jitterFraction = 0.1
	// distantPast is earlier than any clock reading: a clock may start at any value.
	distantPast = aspenshed.Nanos(-1 << 62)
)

// Bucket admits transfers by their size in bytes. A rejected client holds a ticket for the bytes that it has reserved,
// so that it is admitted at its time, before clients that came later. This prevents starvation.
type Bucket struct {
	limiter   *rate.Limiter
	burst     int
	tickets   map[string]ticket
	lastSweep aspenshed.Nanos
}

// ticket is a reservation that can be used from validFrom on.
type ticket struct{ validFrom aspenshed.Nanos }

// NewBucket returns a full bucket that admits bytesPerSecond on average and up to burst bytes at once.
func NewBucket(bytesPerSecond, burst float64) *Bucket {
	capacity := max(1, int(burst))
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), capacity), burst: capacity,
		tickets: map[string]ticket{}, lastSweep: distantPast}
}

// Admit reports whether a client's transfer may begin now, and otherwise how long the client has to wait before it
// retries. random is from [0, 1).
func (b *Bucket) Admit(now aspenshed.Nanos, client string, bytes int, random float64) (bool, aspenshed.Nanos) {
	b.sweep(now)
	if t, reserved := b.tickets[client]; reserved {
		if now < t.validFrom {
			return false, addJitter(t.validFrom-now, random)
		}
		delete(b.tickets, client)
		return true, 0
	}
	if wait := b.backlog(now); wait > maxWait || len(b.tickets) >= maxTickets {
		return false, maxWait/2 + aspenshed.Nanos(random*float64(maxWait/2))
	}
	wait := b.reserve(now, bytes)
	if wait == 0 {
		return true, 0
	}
	b.tickets[client] = ticket{validFrom: now + wait}
	return false, addJitter(wait, random)
}

// Tickets returns the number of open reservations.
func (b *Bucket) Tickets() int { return len(b.tickets) }

func addJitter(wait aspenshed.Nanos, random float64) aspenshed.Nanos {
	return wait + aspenshed.Nanos(jitterFraction*random*float64(wait))
}

// backlog returns how long the bytes that are already reserved take at the bucket's rate.
func (b *Bucket) backlog(now aspenshed.Nanos) aspenshed.Nanos {
	tokens := b.limiter.TokensAt(toTime(now))
	if tokens >= 0 {
		return 0
	}
	return aspenshed.Nanos(-tokens / float64(b.limiter.Limit()) * float64(time.Second))
}

// reserve takes the bytes from the bucket and returns the wait until they are available. A transfer larger than the
// burst is admitted at once if the bucket is full.
func (b *Bucket) reserve(now aspenshed.Nanos, bytes int) aspenshed.Nanos {
	at := toTime(now)
	if full := b.limiter.TokensAt(at) >= float64(b.burst); full && bytes > b.burst {
		b.reserveInParts(at, bytes)
		return 0
	}
	return b.reserveInParts(at, bytes)
}

// reserveInParts splits the reservation, as the limiter accepts at most the burst in one call.
func (b *Bucket) reserveInParts(at time.Time, bytes int) (wait aspenshed.Nanos) {
	for bytes > 0 {
		part := min(bytes, b.burst)
		wait = aspenshed.Nanos(b.limiter.ReserveN(at, part).DelayFrom(at))
		bytes -= part
	}
	return wait
}

// sweep removes expired tickets, once a second at most.
func (b *Bucket) sweep(now aspenshed.Nanos) {
	if now < b.lastSweep+aspenshed.Nanos(time.Second) {
		return
	}
	b.lastSweep = now
	for client, t := range b.tickets {
		if now > t.validFrom+ticketTTL {
			delete(b.tickets, client)
		}
	}
}

func toTime(now aspenshed.Nanos) time.Time { return time.Unix(0, int64(now)) }
