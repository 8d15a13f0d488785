// Package admission rations what is costly to serve to many at once: a token bucket of bytes that tells those whom it
// turns away when to come back, each at an instant of its own, and backoff with full jitter.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"aspenshed"
)

const (
	// maxTickets bounds the promises kept: more than twice the subscribers of one of five servers at the target (480).
	// Beyond it who is turned away has no promise and takes its chance.
	maxTickets = 8192
	// maxWait is the longest promise, ns. What would come later is told to ask again within that time.
	maxWait = 60 * aspenshed.Nanos(time.Second)
	// ticketTTL is how long after its instant a promise can be redeemed, ns: longer than a reconnect takes that fails
	// once. What is not redeemed by then is lost to the bucket.
	ticketTTL = 15 * aspenshed.Nanos(time.Second)
	// jitterFraction of a wait is added to it at random, so that clocks and equal figures don't line the comers up.
	jitterFraction = 0.1
	// distantPast is before every instant: a clock may start anywhere.
	distantPast = aspenshed.Nanos(-1 << 62)
)

// Bucket admits transfers by their bytes. Who is turned away holds a ticket for the bytes that it has reserved, so that
// it is served at its instant before those who came later: none starves.
type Bucket struct {
	limiter   *rate.Limiter
	burst     int
	tickets   map[string]ticket
	lastSweep aspenshed.Nanos
}

// ticket is bytes that are reserved from an instant on.
type ticket struct{ validFrom aspenshed.Nanos }

// NewBucket gives out so many bytes a second, and after a pause as many as burst at once.
func NewBucket(bytesPerSecond, burst float64) *Bucket {
	whole := max(1, int(burst))
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), whole), burst: whole,
		tickets: map[string]ticket{}, lastSweep: distantPast}
}

// Admit says whether a transfer may begin now, or how long its asker shall stay away. Random is from [0, 1).
func (b *Bucket) Admit(now aspenshed.Nanos, asker string, bytes int, random float64) (bool, aspenshed.Nanos) {
	b.sweep(now)
	if t, promised := b.tickets[asker]; promised {
		if now < t.validFrom {
			return false, addJitter(t.validFrom-now, random)
		}
		delete(b.tickets, asker)
		return true, 0
	}
	if wait := b.backlog(now); wait > maxWait || len(b.tickets) >= maxTickets {
		return false, maxWait/2 + aspenshed.Nanos(random*float64(maxWait/2))
	}
	wait := b.reserve(now, bytes)
	if wait == 0 {
		return true, 0
	}
	b.tickets[asker] = ticket{validFrom: now + wait}
	return false, addJitter(wait, random)
}

// Tickets is how many promises are open.
func (b *Bucket) Tickets() int { return len(b.tickets) }

func addJitter(wait aspenshed.Nanos, random float64) aspenshed.Nanos {
	return wait + aspenshed.Nanos(jitterFraction*random*float64(wait))
}

// backlog is how long the bytes reserved so far take.
func (b *Bucket) backlog(now aspenshed.Nanos) aspenshed.Nanos {
	tokens := b.limiter.TokensAt(toTime(now))
	if tokens >= 0 {
		return 0
	}
	return aspenshed.Nanos(-tokens / float64(b.limiter.Limit()) * float64(time.Second))
}

// reserve takes the bytes from the bucket in parts that fit it, and tells when the last of them is there. Who asks for
// more than the bucket holds is let in once it is full.
func (b *Bucket) reserve(now aspenshed.Nanos, bytes int) aspenshed.Nanos {
	at := toTime(now)
	if full := b.limiter.TokensAt(at) >= float64(b.burst); full && bytes > b.burst {
		b.reserveInParts(at, bytes)
		return 0
	}
	return b.reserveInParts(at, bytes)
}

func (b *Bucket) reserveInParts(at time.Time, bytes int) (wait aspenshed.Nanos) {
	for bytes > 0 {
		part := min(bytes, b.burst)
		wait = aspenshed.Nanos(b.limiter.ReserveN(at, part).DelayFrom(at))
		bytes -= part
	}
	return wait
}

// sweep forgets, once a second, the tickets that are past their time.
func (b *Bucket) sweep(now aspenshed.Nanos) {
	if now < b.lastSweep+aspenshed.Nanos(time.Second) {
		return
	}
	b.lastSweep = now
	for asker, t := range b.tickets {
		if now > t.validFrom+ticketTTL {
			delete(b.tickets, asker)
		}
	}
}

func toTime(now aspenshed.Nanos) time.Time { return time.Unix(0, int64(now)) }
