// Package frame cuts a byte stream into messages: each is four bytes of length, big endian, and then a protobuf message
// of that length.
package frame

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// MaxSize is the longest message in bytes, its length prefix excluded.
const MaxSize = 4 << 20

const prefixSize = 4

// SizeError says that a message is longer than its reader or writer allows.
type SizeError struct{ Size, Limit int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, %d at most", e.Size, e.Limit)
}

// Reader cuts what a connection brings into messages. It holds at most one message that is not whole yet. After an
// error the stream can't be read on.
type Reader struct {
	Limit int // bytes of one message; 0: MaxSize

	partial []byte // the start of a message whose rest has not come
}

// Feed takes the next bytes and calls each for every message that they complete. each must copy what it keeps. The
// error is a *SizeError or the first one of each.
func (r *Reader) Feed(b []byte, each func(message []byte) error) error {
	if len(r.partial) > 0 {
		r.partial = append(r.partial, b...)
		b = r.partial
	}
	for len(b) >= prefixSize {
		size, err := r.size(b)
		if err != nil {
			return err
		}
		if len(b) < prefixSize+size {
			break
		}
		if err := each(b[prefixSize : prefixSize+size]); err != nil {
			return err
		}
		b = b[prefixSize+size:]
	}
	r.retain(b)
	return nil
}

// Pending is the number of bytes that wait for the rest of their message.
func (r *Reader) Pending() int { return len(r.partial) }

func (r *Reader) size(b []byte) (int, error) {
	limit := r.Limit
	if limit == 0 {
		limit = MaxSize
	}
	size := binary.BigEndian.Uint32(b)
	if uint64(size) > uint64(limit) {
		return 0, &SizeError{int(size), limit}
	}
	return int(size), nil
}

// retain holds the rest until more comes, and no memory where there is none.
func (r *Reader) retain(rest []byte) {
	switch {
	case len(rest) == 0:
		r.partial = nil
	case len(rest) < len(r.partial): // it lies within partial, behind what was read
		r.partial = append(r.partial[:0], rest...)
	case len(r.partial) == 0: // it lies in the caller's buffer
		r.partial = append([]byte(nil), rest...)
	}
}

// Append adds a message to dst, with its length before it.
func Append(dst []byte, m proto.Message) ([]byte, error) {
	start := len(dst)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(dst, 0, 0, 0, 0), m)
	if err != nil {
		return dst, err
	}
	size := len(out) - start - prefixSize
	if size > MaxSize {
		return dst, &SizeError{size, MaxSize}
	}
	binary.BigEndian.PutUint32(out[start:], uint32(size))
	return out, nil
}
