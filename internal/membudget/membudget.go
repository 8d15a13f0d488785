// Package membudget counts the bytes that a process holds for its clients and databases, by what holds them, against a
// limit.
package membudget

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Holder is what holds memory.
type Holder int

// The holders.
const (
	Partial   Holder = iota // received parts of client messages that are not complete
	Requests                // complete client commands without a response
	Responses               // responses that are expected, or wait for an earlier one on their connection
	Received                // responses of databases that are not complete
	Unsent                  // responses that the kernel has not accepted yet
)

// HolderCount is the number of holders.
const HolderCount = int(Unsent) + 1

var holderNames = [HolderCount]string{"partial", "requests", "responses", "received", "unsent"}

// String returns the name of the holder in logs and metrics.
func (h Holder) String() string { return holderNames[h] }

// Holders returns all holders.
func Holders() (all [HolderCount]Holder) {
	for i := range all {
		all[i] = Holder(i)
	}
	return all
}

// shares are the parts of the budget that the holders may use, in sixteenths.
var shares = [HolderCount]int64{Partial: 3, Requests: 3, Responses: 4, Received: 3, Unsent: 3}

const (
	shareUnit    = 16
	warnPercent  = 80          // of a holder's share in use: a warning is logged
	clearPercent = 60          // below it the next warning is possible
	warnInterval = time.Second // between warnings
)

// Budget counts the memory of a process. All methods may be called from any goroutine. A nil Budget counts nothing and
// limits nothing.
type Budget struct {
	limits    [HolderCount]int64
	used      [HolderCount]atomic.Int64
	peaks     [HolderCount]atomic.Int64 // since the last Usage
	warned    [HolderCount]atomic.Bool
	warnLimit rate.Sometimes
}

// New returns a Budget of a number of bytes.
func New(total int64) *Budget {
	b := &Budget{warnLimit: rate.Sometimes{Interval: warnInterval}}
	for h, share := range shares {
		b.limits[h] = total * share / shareUnit
	}
	return b
}

// Limit returns the share of a holder in bytes.
func (b *Budget) Limit(h Holder) int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limits[h]
}

// Used returns how many bytes a holder has in use.
func (b *Budget) Used(h Holder) int64 {
	if b == nil {
		return 0
	}
	return b.used[h].Load()
}

// Add counts n more bytes, or fewer if n is negative, whatever the limit.
func (b *Budget) Add(h Holder, n int64) {
	if b != nil && n != 0 {
		b.observe(h, b.used[h].Add(n))
	}
}

// Reserve counts n more bytes if the holder's share allows them. They are given back with Add.
func (b *Budget) Reserve(h Holder, n int64) bool { return b.ReserveWithin(h, n, b.Limit(h)) }

// ReserveWithin counts n more bytes if the holder then has no more than limit in use. They are given back with Add.
func (b *Budget) ReserveWithin(h Holder, n, limit int64) bool {
	if b == nil {
		return true
	}
	used := b.used[h].Add(n)
	if used > limit {
		b.used[h].Add(-n)
		return false
	}
	b.observe(h, used)
	return true
}

// Scarce reports whether a holder has more than half of its share in use.
func (b *Budget) Scarce(h Holder) bool { return b != nil && 2*b.used[h].Load() > b.limits[h] }

// observe records the peak of a holder and warns when its share runs out.
func (b *Budget) observe(h Holder, used int64) {
	for peak := b.peaks[h].Load(); used > peak && !b.peaks[h].CompareAndSwap(peak, used); {
		peak = b.peaks[h].Load()
	}
	switch limit := b.limits[h]; {
	case used*100 >= limit*warnPercent && !b.warned[h].Swap(true):
		b.warnLimit.Do(func() { b.warn(h) })
	case used*100 < limit*clearPercent && b.warned[h].Load():
		b.warned[h].Store(false)
	}
}

func (b *Budget) warn(full Holder) {
	fields := logrus.Fields{"holder": full.String(), "limit_kb": b.limits[full] >> 10}
	for _, h := range Holders() {
		fields[h.String()+"_kb"] = b.used[h].Load() >> 10
	}
	logrus.WithFields(fields).Warn("memory budget nearly used up")
}

// Usage is the memory of one holder in bytes.
type Usage struct{ Used, Peak, Limit int64 }

// TakeUsage returns the memory of all holders. Peaks are those since the last call.
func (b *Budget) TakeUsage() (all [HolderCount]Usage) {
	if b == nil {
		return all
	}
	for h := range all {
		used := b.used[h].Load()
		all[h] = Usage{Used: used, Peak: max(b.peaks[h].Swap(used), used), Limit: b.limits[h]}
	}
	return all
}
