package publication

import (
	"fmt"
	"testing"
)

func TestSplitBySize(t *testing.T) {
	const half = MaxCommandBytes / 2
	for _, x := range []struct {
		sizes []int
		want  string
	}{
		{nil, "[]"},
		{[]int{half, half, half}, fmt.Sprint([][]int{{half, half}, {half}})},
		{[]int{1, 3 * half, 1}, fmt.Sprint([][]int{{1}, {3 * half}, {1}})}, // an oversized item is its own part
	} {
		if got := fmt.Sprint(splitBySize(x.sizes, func(n int) int { return n })); got != x.want {
			t.Errorf("%v: %s, want %s", x.sizes, got, x.want)
		}
	}
}
