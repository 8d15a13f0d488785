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

// read feeds the chunks and returns the sizes of the messages.
func read(r *Reader, chunks ...[]byte) (sizes []int, err error) {
	for _, p := range chunks {
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
		chunks  [][]byte
		sizes   []int
		pending int
		tooLong int // the size in the SizeError; 0 for no error
	}{
		"nothing":                  {},
		"many in one chunk":        {chunks: [][]byte{three}, sizes: []int{3, 0, 200}},
		"chunks of one byte":       {chunks: slices.Collect(slices.Chunk(three, 1)), sizes: []int{3, 0, 200}},
		"chunks of seven bytes":    {chunks: slices.Collect(slices.Chunk(three, 7)), sizes: []int{3, 0, 200}},
		"truncated prefix":         {chunks: [][]byte{three, {0, 0}}, sizes: []int{3, 0, 200}, pending: 2},
		"truncated message":        {chunks: [][]byte{message(9)[:12]}, pending: 12},
		"exactly the limit":        {limit: 8, chunks: [][]byte{message(8)}, sizes: []int{8}},
		"over the limit":           {limit: 8, chunks: [][]byte{message(8), message(9)[:4]}, sizes: []int{8}, tooLong: 9},
		"over MaxSize":             {chunks: [][]byte{{0, 64, 0, 1}}, tooLong: MaxSize + 1},
		"exactly MaxSize":          {chunks: [][]byte{message(MaxSize)}, sizes: []int{MaxSize}},
		"maximum 32-bit length":    {chunks: [][]byte{{255, 255, 255, 255}}, tooLong: 1<<32 - 1},
		"garbage read as a length": {chunks: [][]byte{[]byte("GET / HTTP/1.1\r\n")}, tooLong: 0x47455420},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{Limit: c.limit}
			sizes, err := read(r, c.chunks...)
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

// An error of the callback ends the read.
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

// However a stream is split into chunks, it must yield the same messages, and no input may cause an error other than a
// SizeError or make the reader buffer more than one message.
func FuzzReader(f *testing.F) {
	f.Add(slices.Concat(message(3), message(0), message(20)), uint8(1))
	f.Add(message(300), uint8(7))
	f.Add([]byte("GET / HTTP/1.1\r\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, chunkSize uint8) {
		const limit = 256
		whole, errWhole := read(&Reader{Limit: limit}, stream)
		r := &Reader{Limit: limit}
		chunked, errChunks := read(r, slices.Collect(slices.Chunk(stream, 1+int(chunkSize)))...)
		var size *SizeError
		if (errWhole == nil) != (errChunks == nil) || errWhole != nil && !errors.As(errWhole, &size) {
			t.Errorf("whole: %v; in chunks: %v", errWhole, errChunks)
		}
		if !slices.Equal(whole, chunked) || errChunks == nil && r.Pending() >= prefixSize+limit {
			t.Errorf("whole: %v; in chunks: %v, %d pending", whole, chunked, r.Pending())
		}
	})
}
