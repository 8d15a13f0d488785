// Package placement orders the servers of the control stream for one subscriber by rendezvous hashing: subscribers
// spread evenly, each keeps its server while that lasts, and those of a lost server spread over all others.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order is the servers in the order in which a subscriber tries them. It doesn't depend on the order in which they are
// given; a server that is given twice stands once.
func Order(subscriber string, servers []string) []string {
	out := slices.Clone(servers)
	slices.Sort(out)
	out = slices.Compact(out)
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(weight(subscriber, b), weight(subscriber, a))
	})
	return out
}

// weight is a server's for one subscriber: the highest comes first.
func weight(subscriber, server string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(subscriber) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(server)
	return h.Sum64()
}
