package placement

import (
	"fmt"
	"slices"
	"testing"
)

func serverAddresses(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	return out
}

func TestOrderIgnoresInputOrderAndDuplicates(t *testing.T) {
	in := serverAddresses(5)
	want := Order("g1", in)
	slices.Reverse(in)
	if got := Order("g1", append(in, in[0])); !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
	if len(Order("g1", nil)) != 0 {
		t.Error("the order of no servers is not empty")
	}
}

// Checks that subscribers are spread evenly, and that the loss of a server moves only its own subscribers and spreads
// them over all remaining servers.
func TestServerLossMovesOnlyItsSubscribers(t *testing.T) {
	const subscribers = 2400
	all := serverAddresses(5)
	first, second := map[string]int{}, map[string]int{}
	for i := range subscribers {
		id := fmt.Sprint("gateway-", i)
		order := Order(id, all)
		first[order[0]]++
		remaining := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == all[0] })
		after := Order(id, remaining)
		if order[0] != all[0] && after[0] != order[0] {
			t.Fatalf("%s moved from %s to %s although its server is available", id, order[0], after[0])
		}
		if order[0] == all[0] {
			second[after[0]]++
		}
	}
	for _, s := range all {
		if n := first[s]; n < subscribers/5*8/10 || n > subscribers/5*12/10 {
			t.Errorf("%s is first for %d of %d subscribers", s, n, subscribers)
		}
		if n := second[s]; s != all[0] && (n < first[all[0]]/4*7/10 || n > first[all[0]]/4*13/10) {
			t.Errorf("%s takes over %d of %d subscribers", s, n, first[all[0]])
		}
	}
}
