package accept

import (
	"hash/maphash"

	"aspenshed"
)

const (
	// minRetention is how long the ID of a request that may have run is remembered at least.
	minRetention = aspenshed.Nanos(30e9)
	// maxExecutedIDs bounds how many such IDs are remembered in one retention time. Beyond, requests that must not run twice
	// are refused.
	maxExecutedIDs = 1 << 16
)

// executedIDs remembers the client-chosen IDs of requests that may have run and must not run twice, each for one to two
// retention times.
type executedIDs struct {
	retention         aspenshed.Nanos
	seed              maphash.Seed
	current, previous map[uint64]struct{} // hashes of IDs, by retention time
	startedAt         aspenshed.Nanos     // of the current retention time
}

func newExecutedIDs(classes []aspenshed.Class) *executedIDs {
	e := &executedIDs{retention: minRetention, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
	for _, c := range classes {
		if c.RetrySafety != aspenshed.Safe {
			e.retention = max(e.retention, c.DedupWindow, c.ClientTimeout)
		}
	}
	return e
}

// rotate begins a new retention time if the current one is over.
func (e *executedIDs) rotate(now aspenshed.Nanos) {
	age := now - e.startedAt
	if age < e.retention {
		return
	}
	if e.previous = e.current; age >= 2*e.retention {
		e.previous = nil
	}
	e.current, e.startedAt = map[uint64]struct{}{}, now
}

func (e *executedIDs) add(now aspenshed.Nanos, id string) {
	e.rotate(now)
	e.current[maphash.String(e.seed, id)] = struct{}{}
}

func (e *executedIDs) contains(now aspenshed.Nanos, id string) bool {
	e.rotate(now)
	hash := maphash.String(e.seed, id)
	_, current := e.current[hash]
	_, previous := e.previous[hash]
	return current || previous
}

func (e *executedIDs) full(now aspenshed.Nanos) bool {
	e.rotate(now)
	return len(e.current) >= maxExecutedIDs
}
