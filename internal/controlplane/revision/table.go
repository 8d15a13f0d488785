package revision

import (
	"bytes"
	"encoding/binary"
	"slices"
	"sort"
)

const (
	// maxLeafBytes is where a leaf is split: some 35 members, so that a state of 21,000 is 600 pieces of memory for the
	// collector instead of 21,000, and a change moves 4 KB at most.
	maxLeafBytes = 4096
	// minLeafBytes is where a leaf joins its neighbour, if both fit one with room for growth.
	minLeafBytes = maxLeafBytes / 4
)

// table holds entries in the order of their keys, packed into leaves. It costs some 6 bytes an entry beside key and
// value, and what splits leave unused.
type table struct {
	leaves [][]byte // none is empty
	count  int
}

// entry is a record as it is packed: four lengths and numbers as varints, then key and value. Its slices belong to the
// table and are valid until the next change.
type entry struct {
	key   []byte
	value []byte
	group uint32
	site  uint32
}

func (e entry) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(e.key)))
	b = binary.AppendUvarint(b, uint64(len(e.value)))
	b = binary.AppendUvarint(b, uint64(e.group))
	b = binary.AppendUvarint(b, uint64(e.site))
	b = append(b, e.key...)
	return append(b, e.value...)
}

// decodeEntry reads the decodeEntry entry of packed ones, and its size.
func decodeEntry(b []byte) (e entry, size int) {
	var numbers [4]uint64
	for i := range numbers {
		n, width := binary.Uvarint(b[size:])
		numbers[i] = n
		size += width
	}
	keyEnd := size + int(numbers[0])
	end := keyEnd + int(numbers[1])
	e = entry{key: b[size:keyEnd], value: b[keyEnd:end], group: uint32(numbers[2]), site: uint32(numbers[3])}
	return e, end
}

// position is where an entry is, or would be: from offset on in a leaf. Its size there is 0 if there is none.
type position struct{ leaf, offset, size int }

func (t *table) find(key string) (entry, position) {
	after := sort.Search(len(t.leaves), func(i int) bool {
		e, _ := decodeEntry(t.leaves[i])
		return string(e.key) > key
	})
	p := position{leaf: max(0, after-1)}
	if len(t.leaves) == 0 {
		return entry{}, p
	}
	for leaf := t.leaves[p.leaf]; p.offset < len(leaf); {
		e, size := decodeEntry(leaf[p.offset:])
		if order := bytes.Compare(e.key, []byte(key)); order >= 0 {
			if order == 0 {
				p.size = size
				return e, p
			}
			break
		}
		p.offset += size
	}
	return entry{}, p
}

func (t *table) put(e entry) {
	_, p := t.find(string(e.key))
	if p.size == 0 {
		t.count++
	}
	if len(t.leaves) == 0 {
		t.leaves = append(t.leaves, nil)
	}
	t.replace(p, e.append(nil))
	t.split(p.leaf)
}

func (t *table) remove(key string) {
	_, p := t.find(key)
	if p.size == 0 {
		return
	}
	t.count--
	t.replace(p, nil)
	t.merge(p.leaf)
}

// replace puts packed bytes in the place of others. A leaf that has to grow gets exactly the memory that it needs.
func (t *table) replace(p position, packed []byte) {
	leaf := t.leaves[p.leaf]
	size := len(leaf) - p.size + len(packed)
	if size > cap(leaf) {
		grown := make([]byte, 0, size)
		grown = append(grown, leaf[:p.offset]...)
		grown = append(grown, packed...)
		t.leaves[p.leaf] = append(grown, leaf[p.offset+p.size:]...)
		return
	}
	t.leaves[p.leaf] = slices.Replace(leaf, p.offset, p.offset+p.size, packed...)
}

// split cuts a leaf that is too large between two entries near its middle, until only single entries are too large.
func (t *table) split(i int) {
	leaf := t.leaves[i]
	if len(leaf) <= maxLeafBytes {
		return
	}
	_, cut := decodeEntry(leaf)
	for cut < len(leaf) {
		_, size := decodeEntry(leaf[cut:])
		if cut+size > len(leaf)/2 {
			break
		}
		cut += size
	}
	if cut == len(leaf) {
		return
	}
	right := slices.Clone(leaf[cut:])
	t.leaves[i] = slices.Clone(leaf[:cut])
	t.leaves = slices.Insert(t.leaves, i+1, right)
	t.split(i + 1)
	t.split(i)
}

// merge drops an empty leaf, and merges a small one with the next.
func (t *table) merge(i int) {
	switch {
	case len(t.leaves[i]) == 0:
		t.leaves = slices.Delete(t.leaves, i, i+1)
	case len(t.leaves[i]) < minLeafBytes && i+1 < len(t.leaves) && len(t.leaves[i+1]) < maxLeafBytes/2:
		t.leaves[i] = slices.Concat(t.leaves[i], t.leaves[i+1])
		t.leaves = slices.Delete(t.leaves, i+1, i+2)
	}
}

// each calls with the entries in the order of their keys until told to stop.
func (t *table) each(call func(entry) bool) {
	for _, leaf := range t.leaves {
		for len(leaf) > 0 {
			e, size := decodeEntry(leaf)
			if !call(e) {
				return
			}
			leaf = leaf[size:]
		}
	}
}
