// Package frame splits a byte stream into messages. Each is prefixed with its length, as four bytes in big-endian
// order, and holds a protobuf message.
package frame

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// MaxSize is the maximum size of a message in bytes, without its length prefix.
const MaxSize = 4 << 20

const prefixSize = 4

// SizeError reports a message that exceeds the limit of its reader or writer.
type SizeError struct{ Size, Limit int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, %d at most", e.Size, e.Limit)
}

// Reader splits the data of a connection into messages. It buffers at most one incomplete message. After an error the
// stream can't be read any further.
type Reader struct {
	Limit int // maximum size of a message in bytes; 0 for MaxSize

	partial []byte // the start of an incomplete message
}

// Feed processes the next bytes and calls each for every message that they complete. each must copy what it keeps. The
// error is a *SizeError or the first error of each.
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

// Pending returns the number of buffered bytes of an incomplete message.
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

// retain buffers the start of an incomplete message. It holds no memory if there is none.
func (r *Reader) retain(rest []byte) {
	switch {
	case len(rest) == 0:
		r.partial = nil
	case len(rest) < len(r.partial): // it is within partial, after the messages read
		r.partial = append(r.partial[:0], rest...)
	case len(r.partial) == 0: // it is in the caller's buffer
		r.partial = append([]byte(nil), rest...)
	}
}

// Append appends a message with its length prefix to dst.
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
