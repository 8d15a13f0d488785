// Package placement ranks the servers of the control stream for one subscriber by rendezvous hashing: subscribers are
// spread evenly, each keeps its server while that server is available, and the subscribers of a lost server are spread
// over all others.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the servers in the order in which a subscriber tries them. The result doesn't depend on the order of
// the input, and duplicates are dropped.
func Order(subscriber string, servers []string) []string {
	out := slices.Clone(servers)
	slices.Sort(out)
	out = slices.Compact(out)
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(weight(subscriber, b), weight(subscriber, a))
	})
	return out
}

// weight returns a server's rendezvous weight for one subscriber; the server with the highest weight is tried first.
func weight(subscriber, server string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(subscriber) // never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(server)
	return h.Sum64()
}
