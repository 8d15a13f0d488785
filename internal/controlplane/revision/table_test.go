package revision

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards the packed table against a map, through splits and joins of leaves, and the bound of a leaf.
func TestTableIsAMapInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := map[string]string{}
		var builder Builder
		for i := range rapid.IntRange(0, 150).Draw(t, "packed") {
			key, value := fmt.Sprintf("%04d", 2*i), strings.Repeat("v", i%120)
			if !builder.Add(Record{Key: key, Value: []byte(value)}) || builder.Add(Record{Key: key}) {
				t.Fatalf("%s: taken in no order, or not at all", key)
			}
			plain[key] = value
		}
		table := builder.State(1).records
		for range rapid.IntRange(0, 120).Draw(t, "changes") {
			key := fmt.Sprintf("%04d", rapid.IntRange(0, 300).Draw(t, "key"))
			if rapid.Bool().Draw(t, "remove") {
				table.remove(key)
				delete(plain, key)
				continue
			}
			value := strings.Repeat("w", rapid.SampledFrom([]int{0, 5, 100, 200, 1500, 9000}).Draw(t, "size"))
			table.put(entry{key: []byte(key), value: []byte(value)})
			plain[key] = value
		}
		var keys []string
		table.each(func(e entry) bool {
			if plain[string(e.key)] != string(e.value) {
				t.Fatalf("%s has %d bytes, not %d", e.key, len(e.value), len(plain[string(e.key)]))
			}
			keys = append(keys, string(e.key))
			return true
		})
		if !slices.Equal(keys, slices.Sorted(maps.Keys(plain))) || table.count != len(plain) {
			t.Fatalf("%d keys of %d: %v", table.count, len(plain), keys)
		}
		for key := range plain {
			if e, p := table.find(key); p.size == 0 || string(e.key) != key {
				t.Fatalf("%s is not found", key)
			}
		}
		for _, leaf := range table.leaves {
			if _, size := decodeEntry(leaf); len(leaf) > maxLeafBytes && size < len(leaf) {
				t.Fatalf("a leaf of %d bytes", len(leaf))
			}
		}
	})
}
