package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func message(size int) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(size)), bytes.Repeat([]byte{7}, size)...)
}

// read feeds the pieces and returns the sizes of the messages.
func read(r *Reader, pieces ...[]byte) (sizes []int, err error) {
	for _, p := range pieces {
		if err = r.Feed(p, func(m []byte) error { sizes = append(sizes, len(m)); return nil }); err != nil {
			break
		}
	}
	return sizes, err
}

func TestReader(t *testing.T) {
	three := slices.Concat(message(3), message(0), message(200))
	for name, c := range map[string]struct {
		limit   int
		pieces  [][]byte
		sizes   []int
		pending int
		tooLong int // the size that a SizeError names; 0: no error
	}{
		"nothing":                   {},
		"many in one read":          {pieces: [][]byte{three}, sizes: []int{3, 0, 200}},
		"pieces of one byte":        {pieces: slices.Collect(slices.Chunk(three, 1)), sizes: []int{3, 0, 200}},
		"pieces of seven bytes":     {pieces: slices.Collect(slices.Chunk(three, 7)), sizes: []int{3, 0, 200}},
		"truncated prefix":          {pieces: [][]byte{three, {0, 0}}, sizes: []int{3, 0, 200}, pending: 2},
		"truncated message":         {pieces: [][]byte{message(9)[:12]}, pending: 12},
		"of just the limit":         {limit: 8, pieces: [][]byte{message(8)}, sizes: []int{8}},
		"over the limit":            {limit: 8, pieces: [][]byte{message(8), message(9)[:4]}, sizes: []int{8}, tooLong: 9},
		"over the limit of all":     {pieces: [][]byte{{0, 64, 0, 1}}, tooLong: MaxSize + 1},
		"of the longest that fits":  {pieces: [][]byte{message(MaxSize)}, sizes: []int{MaxSize}},
		"a length of 32 bits":       {pieces: [][]byte{{255, 255, 255, 255}}, tooLong: 1<<32 - 1},
		"garbage is a large length": {pieces: [][]byte{[]byte("GET / HTTP/1.1\r\n")}, tooLong: 0x47455420},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{Limit: c.limit}
			sizes, err := read(r, c.pieces...)
			var size *SizeError
			switch {
			case c.tooLong == 0 && err != nil:
				t.Error(err)
			case c.tooLong != 0 && (!errors.As(err, &size) || size.Size != c.tooLong):
				t.Errorf("error %v", err)
			}
			if !slices.Equal(sizes, c.sizes) || r.Pending() != c.pending && err == nil {
				t.Errorf("messages of %v bytes, %d bytes pending", sizes, r.Pending())
			}
		})
	}
}

// What each returns ends the reading.
func TestReaderStopsAtAnError(t *testing.T) {
	refused, calls := errors.New("refused"), 0
	err := (&Reader{}).Feed(slices.Concat(message(1), message(1)), func([]byte) error { calls++; return refused })
	if !errors.Is(err, refused) || calls != 1 {
		t.Errorf("%v after %d messages", err, calls)
	}
}

func TestAppend(t *testing.T) {
	out, err := Append([]byte("before"), wrapperspb.String("text"))
	if err != nil || !bytes.HasPrefix(out, []byte("before")) {
		t.Fatalf("%q, %v", out, err)
	}
	var got wrapperspb.StringValue
	err = (&Reader{}).Feed(out[len("before"):], func(m []byte) error { return proto.Unmarshal(m, &got) })
	if err != nil || got.Value != "text" {
		t.Errorf("%q, %v", got.Value, err)
	}
	var size *SizeError
	if out, err := Append([]byte("x"), wrapperspb.Bytes(make([]byte, MaxSize))); !errors.As(err, &size) || string(out) != "x" {
		t.Errorf("a message over the limit: %v, %d bytes", err, len(out))
	}
}

// However a stream is cut, the same messages come out, and no input makes the reader fail in another way than by a
// SizeError or hold more than one message.
func FuzzReader(f *testing.F) {
	f.Add(slices.Concat(message(3), message(0), message(20)), uint8(1))
	f.Add(message(300), uint8(7))
	f.Add([]byte("GET / HTTP/1.1\r\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		const limit = 256
		whole, errWhole := read(&Reader{Limit: limit}, stream)
		r := &Reader{Limit: limit}
		cut, errCut := read(r, slices.Collect(slices.Chunk(stream, 1+int(piece)))...)
		var size *SizeError
		if (errWhole == nil) != (errCut == nil) || errWhole != nil && !errors.As(errWhole, &size) {
			t.Errorf("whole: %v; in pieces: %v", errWhole, errCut)
		}
		if !slices.Equal(whole, cut) || errCut == nil && r.Pending() >= prefixSize+limit {
			t.Errorf("whole: %v; in pieces: %v, %d pending", whole, cut, r.Pending())
		}
	})
}
