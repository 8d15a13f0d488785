package admission

import "aspenshed"

// Backoff is exponential with full jitter: the delay before an attempt is drawn evenly from nothing up to a bound that
// doubles with each failure. Those that were cut off at once then come back spread out.
type Backoff struct {
	Min aspenshed.Nanos // the first bound
	Max aspenshed.Nanos // the last
}

// Delay is how long to wait after so many failures in a row, the first being 0; random is from [0, 1).
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
