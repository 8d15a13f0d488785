// Package pgwire parses and builds the messages of PostgreSQL's wire protocol, version 3, that the gateway uses:
// startup, simple queries and their responses.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"aspenshed/internal/protocol/assembler"
)

// Codes of startup packets.
const (
	ProtocolVersion3 = 196608
	CancelRequest    = 80877102
	SSLRequest       = 80877103
	GSSENCRequest    = 80877104
)

const (
	maxStartupSize = 10000 // bytes; PostgreSQL rejects a longer startup packet
	typeSize       = 1
	lengthSize     = 4
)

// Errors that end a connection.
var (
	ErrTooLong   = errors.New("message too long")
	ErrMalformed = errors.New("malformed message")
)

// Message is a message. A startup packet has type 0, and its Body begins with its code.
type Message struct {
	Type    byte
	Body    []byte
	Dropped bool // there was no memory for the body
}

// Reader splits a stream into messages. It accepts fragments of any size.
type Reader struct {
	assembler.Assembler
	Startup bool // the next message is a startup packet, which has no type byte
	MaxSize int  // maximum length of a message
}

// Feed processes the next bytes and calls f for each complete message, whose Body is only valid during the call. After
// an error it returns the same error and drops its input.
func (r *Reader) Feed(b []byte, f func(Message) error) error {
	return r.Assembler.Feed(r, b, func(frame assembler.Frame) error {
		m := Message{Body: frame.Bytes[r.HeaderSize():], Dropped: frame.Dropped}
		if !r.Startup {
			m.Type = frame.Bytes[0]
		}
		return f(m)
	})
}

// HeaderSize implements assembler.Wire.
func (r *Reader) HeaderSize() int {
	if r.Startup {
		return lengthSize
	}
	return typeSize + lengthSize
}

// FrameSize implements assembler.Wire.
func (r *Reader) FrameSize(header []byte) (int, error) {
	n := int(binary.BigEndian.Uint32(header[len(header)-lengthSize:]))
	if n < lengthSize || r.Startup && n < 2*lengthSize {
		return 0, ErrMalformed
	}
	if n > r.MaxSize || r.Startup && n > maxStartupSize {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	return len(header) - lengthSize + n, nil
}

// AppendMessage appends a message to dst.
func AppendMessage(dst []byte, typ byte, body ...string) []byte {
	n := 4
	for _, s := range body {
		n += len(s)
	}
	if typ != 0 {
		dst = append(dst, typ)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(n))
	for _, s := range body {
		dst = append(dst, s...)
	}
	return dst
}

// StartupMessage returns a startup packet.
func StartupMessage(user, database string) []byte {
	return AppendMessage(nil, 0, "\x00\x03\x00\x00user\x00", user, "\x00database\x00", database, "\x00\x00")
}

// QueryMessage returns a simple query.
func QueryMessage(sql string) []byte { return AppendMessage(nil, 'Q', sql, "\x00") }

// AppendReadyForQuery appends a ReadyForQuery outside a transaction to dst.
func AppendReadyForQuery(dst []byte) []byte { return AppendMessage(dst, 'Z', "I") }

// StartupResponse returns a server's response to a startup packet.
func StartupResponse() []byte {
	b := AppendMessage(nil, 'R', "\x00\x00\x00\x00")
	for _, kv := range [][2]string{{"server_version", "16.0"}, {"client_encoding", "UTF8"}, {"server_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		b = AppendMessage(b, 'S', kv[0], "\x00", kv[1], "\x00")
	}
	return AppendReadyForQuery(b)
}

// Error is an ErrorResponse. An empty Detail is omitted.
type Error struct{ Severity, Code, Message, Detail string }

// AppendError appends an ErrorResponse to dst.
func AppendError(dst []byte, e Error) []byte {
	s := "S" + e.Severity + "\x00V" + e.Severity + "\x00C" + e.Code + "\x00M" + e.Message + "\x00"
	if e.Detail != "" {
		s += "D" + e.Detail + "\x00"
	}
	return AppendMessage(dst, 'E', s, "\x00")
}

// ParseError parses an ErrorResponse. It must be well-formed as a whole, as severity and code determine what happens to
// a request.
func ParseError(body []byte) (e Error, ok bool) {
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		v, rest, complete := ReadCString(body[1:])
		if !complete {
			return e, false
		}
		switch body = rest; field {
		case 'S':
			e.Severity = v
		case 'C':
			e.Code = v
		case 'M':
			e.Message = v
		case 'D':
			e.Detail = v
		}
	}
	return e, len(body) == 1 && e.Severity != "" && len(e.Code) == 5
}

// ReadCString reads a null-terminated string.
func ReadCString(b []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", b, false
	}
	return string(b[:i]), b[i+1:], true
}

// ParseParameterStatus parses a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value string, ok bool) {
	name, rest, ok1 := ReadCString(body)
	value, rest, ok2 := ReadCString(rest)
	return name, value, ok1 && ok2 && len(rest) == 0
}

// IsSingleColumn reports whether a RowDescription is well-formed and describes exactly one column.
func IsSingleColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := ReadCString(body[2:])
	return ok && len(rest) == 18
}

// ParseSingleColumn parses a DataRow of one column. A null value is not ok.
func ParseSingleColumn(body []byte) (string, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return "", false
	}
	if n := int(int32(binary.BigEndian.Uint32(body[2:]))); n < 0 || len(body) != 6+n {
		return "", false
	}
	return string(body[6:]), true
}
