package admission

import "aspenshed"

// Backoff is exponential with full jitter: the delay before an attempt is uniformly distributed between 0 and a bound
// that doubles with each failure. The reconnects of clients that were disconnected at the same time are thereby spread
// out.
type Backoff struct {
	Min aspenshed.Nanos // the bound of the first delay
	Max aspenshed.Nanos // the largest bound
}

// Delay returns how long to wait after a number of previous consecutive failures, 0 for the first; random is from
// [0, 1).
func (b Backoff) Delay(failures int, random float64) aspenshed.Nanos {
	bound := b.Min
	for range failures {
		if bound >= b.Max/2 {
			bound = b.Max
			break
		}
		bound *= 2
	}
	return aspenshed.Nanos(random * float64(min(bound, b.Max)))
}
